//! Stand-ins on loopback sockets, against what the protocol page owes each side.

use gullcart_judge::trace::*;
use gullcart_standins::client::{Clients, EnqueueRequest};
use gullcart_standins::endpoint::{Counters, Endpoint, EndpointContext, EndpointListener, ExpectedMessage};
use gullcart_standins::partner::{Limit, Partner, PartnerFault, PartnerSpec};
use gullcart_standins::register::{Agent, Target};
use gullcart_standins::{ids, Recorder};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{timeout, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

fn on_loopback<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(TIMEOUT, test).await.expect("the test ends") });
}

type Trace = Rc<RefCell<Vec<Entry>>>;

fn recorder() -> (Recorder, Trace) {
    let trace = Trace::default();
    let heard = trace.clone();
    let recorder = Recorder::new(move |entry| heard.borrow_mut().push(entry));
    recorder.begin(Instant::now());
    (recorder, trace)
}

fn events(trace: &Trace) -> Vec<Event> {
    trace.borrow().iter().map(|entry| entry.event).collect()
}

fn spec() -> PartnerSpec {
    PartnerSpec {
        limit: Limit::Rate(1000.0),
        capacity_factor: 1.2,
        mean_service_time: Duration::from_millis(20),
        queue_capacity: 10,
        retry_after_share: 1.0,
        min_retry_after: Duration::from_millis(300),
        rejected_calls_count: false,
        cold_capacity_share: 0.2,
        warm_up: Duration::from_secs(10),
        collapse_multiple: 2.5,
        collapse_window: Duration::from_secs(2),
        error_share: 0.0,
    }
}

struct Stand {
    partner: Rc<RefCell<Partner>>,
    endpoint: Rc<Endpoint>,
    listener: EndpointListener,
    trace: Trace,
}

fn stand() -> Stand {
    let (recorder, trace) = recorder();
    let expected_message = Rc::new(|message: MessageId| {
        let expected = ExpectedMessage { idempotency_key: None, body: ids::body(message.0, 8) };
        (message.0 < 10).then_some(expected)
    });
    let context = EndpointContext { recorder, expected_message, counters: Rc::new(Counters::default()) };
    let partner = Rc::new(RefCell::new(Partner::new(spec(), 1, 1)));
    let endpoint = Rc::new(Endpoint::new(EndpointId(1), PartnerId(1), partner.clone(), 0, true));
    let listener = EndpointListener::open(&context, CourierId(0), endpoint.clone()).unwrap();
    Stand { partner, endpoint, listener, trace }
}

async fn send(stream: &mut TcpStream, message: u64, body: &[u8]) {
    let head = format!(
        "POST /hook HTTP/1.1\r\nX-Call-Id: {}\r\nContent-Length: {}\r\n\r\n",
        ids::wire_id(MessageId(message)),
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
}

/// The head of an answer; empty where the connection ended.
async fn answer(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => text.push(byte[0]),
            _ => return String::new(),
        }
    }
    let head = String::from_utf8(text).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).await.unwrap();
    head + std::str::from_utf8(&body).unwrap()
}

#[test]
fn a_call_is_answered_and_written_down() {
    on_loopback(async {
        let stand = stand();
        let mut stream = TcpStream::connect(stand.listener.address()).await.unwrap();
        send(&mut stream, 3, &ids::body(3, 8)).await;
        let text = answer(&mut stream).await;
        assert!(text.starts_with("HTTP/1.1 200 ") && text.contains("X-Load-Report: x0="), "{text}");
        assert!(text.ends_with("\r\n\r\n0000000000000001"), "its body names the call: {text}");
        // The same connection serves the next one; a body that was changed is seen, and so is a foreign id.
        send(&mut stream, 4, b"changed!").await;
        assert!(answer(&mut stream).await.starts_with("HTTP/1.1 200 "));
        send(&mut stream, 99, b"").await;
        assert!(answer(&mut stream).await.starts_with("HTTP/1.1 400 "));
        let calls: Vec<(Option<MessageId>, bool)> = events(&stand.trace)
            .into_iter()
            .filter_map(|event| match event {
                Event::Call { message, intact, .. } => Some((message, intact)),
                _ => None,
            })
            .collect();
        assert_eq!(calls, [(Some(MessageId(3)), true), (Some(MessageId(4)), false), (None, false)]);
    });
}

#[test]
fn a_shut_partner_tells_its_wait_and_a_silent_one_nothing() {
    on_loopback(async {
        let stand = stand();
        stand.partner.borrow_mut().begin_fault(1, PartnerFault::Closed(true), None, At::ms(3_600_000));
        let mut stream = TcpStream::connect(stand.listener.address()).await.unwrap();
        send(&mut stream, 1, &ids::body(1, 8)).await;
        let text = answer(&mut stream).await;
        let wait =
            text.split("X-Come-Back-Ms: ").nth(1).and_then(|rest| rest.lines().next()?.parse::<u64>().ok());
        assert!(text.starts_with("HTTP/1.1 429 ") && wait.is_some_and(|ms| ms > 3_500_000), "{text}");
        stand.partner.borrow_mut().end_fault(1);
        stand.partner.borrow_mut().begin_fault(2, PartnerFault::Silent, None, At::ms(3_600_000));
        send(&mut stream, 2, &ids::body(2, 8)).await;
        assert!(timeout(Duration::from_millis(300), answer(&mut stream)).await.is_err());
        // It is given up by ending the sending side; that is seen.
        stream.shutdown().await.unwrap();
        assert_eq!(answer(&mut stream).await, "");
        let last = events(&stand.trace).pop();
        assert!(matches!(last, Some(Event::CallCut { by: By::Courier, .. })), "{last:?}");
    });
}

#[test]
fn a_broken_endpoint_resets_and_a_shut_door_refuses_and_keeps_its_port() {
    on_loopback(async {
        let stand = stand();
        stand.partner.borrow_mut().begin_fault(1, PartnerFault::Silent, None, At::ms(3_600_000));
        let mut stream = TcpStream::connect(stand.listener.address()).await.unwrap();
        send(&mut stream, 1, &ids::body(1, 8)).await;
        while !events(&stand.trace).iter().any(|event| matches!(event, Event::Call { .. })) {
            tokio::task::yield_now().await;
        }
        stand.endpoint.reset_connections();
        assert_eq!(answer(&mut stream).await, "");
        let last = events(&stand.trace).pop();
        assert!(matches!(last, Some(Event::CallCut { by: By::Partner, .. })), "{last:?}");
        stand.listener.refuse_connections();
        tokio::task::yield_now().await;
        assert!(TcpStream::connect(stand.listener.address()).await.is_err());
        stand.listener.reopen().unwrap();
        assert!(TcpStream::connect(stand.listener.address()).await.is_ok());
    });
}

fn target(state: State) -> Target {
    Target {
        endpoint: EndpointId(7),
        partner: PartnerId(1),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        kind: "banks".to_owned(),
        zone: "a".to_owned(),
        weight: 5.0,
        state,
    }
}

async fn watch(address: SocketAddr) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET /v1/endpoints?watch=1&after=1 HTTP/1.1\r\n\r\n").await.unwrap();
    BufReader::new(stream)
}

/// The next line that holds some words.
async fn line(watch: &mut BufReader<TcpStream>, words: &str) -> String {
    loop {
        let mut line = String::new();
        assert!(watch.read_line(&mut line).await.unwrap() > 0, "the watch ended");
        if line.contains(words) {
            return line;
        }
    }
}

#[test]
fn a_change_is_told_when_it_is_written_and_a_silent_register_writes_nothing() {
    on_loopback(async {
        let (recorder, trace) = recorder();
        let agent = Agent::start(&recorder, CourierId(0), vec![target(State::Serving)]).await.unwrap();
        let mut watching = watch(agent.address()).await;
        line(&mut watching, "200 OK").await;
        agent.set_silent(true);
        agent.update_target(target(State::Draining));
        let silent = timeout(Duration::from_millis(300), line(&mut watching, "DRAINING")).await;
        assert!(silent.is_err() && events(&trace).is_empty());
        agent.set_silent(false);
        assert!(line(&mut watching, "DRAINING").await.contains("\"rev\":2"));
        assert!(matches!(events(&trace)[..], [Event::Listed { state: State::Draining, .. }]));
        // A watch that begins anew is told what it has missed.
        let agent = agent.restart_at_new_address().await.unwrap();
        assert!(line(&mut watch(agent.address()).await, "DRAINING").await.contains("s-00000007"));
    });
}

#[test]
fn notices_are_taken_and_bad_ones_are_refused() {
    on_loopback(async {
        let (recorder, trace) = recorder();
        let agent = Agent::start(&recorder, CourierId(0), Vec::new()).await.unwrap();
        let mut stream = TcpStream::connect(agent.address()).await.unwrap();
        let id = ids::wire_id(MessageId(5));
        for (body, status) in [
            (format!("{{\"id\":\"{id}\",\"state\":\"returned\",\"after_ms\":40}}\n"), "204"),
            ("{\"id\":\"x\",\"state\":\"lost\"}\n".to_owned(), "400"),
            ("no json".to_owned(), "400"),
        ] {
            let head = format!("POST /v1/notices HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
            assert!(answer(&mut stream).await.starts_with(&format!("HTTP/1.1 {status} ")));
        }
        let message = MessageId(5);
        let ended = Ended::Returned(Some(40));
        let told = Event::Notice { message: Some(message), courier: CourierId(0), ended };
        assert_eq!(events(&trace), [told, Event::NoticeAnswered { message }]);
    });
}

/// A courier that answers each request of a connection in a set way, then closes it.
async fn courier(answers: Vec<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            if answer.is_empty() {
                continue;
            }
            // Closed before the next request on it: that crosses the closing.
            drop(stream);
        }
    });
    address
}

#[test]
fn clients_go_once_more_where_a_connection_was_closed() {
    on_loopback(async {
        let request = EnqueueRequest {
            id: "a",
            order_key: 0,
            class: "pay",
            partner: 1,
            time_left: Duration::from_secs(1),
            idempotency_key: None,
            retry: false,
            from_dead_courier: false,
            body: b"x",
        }
        .encode();
        let clients = Clients::default();
        assert_eq!(clients.enqueue(&request).await, Told::Unreached);
        clients.set_address(Some(courier(vec!["+OK\r\n", "-BUSY 30\r\n"]).await));
        assert_eq!(clients.enqueue(&request).await, Told::Taken);
        assert_eq!(clients.enqueue(&request).await, Told::Busy(Some(30)));
        // A new connection that is closed without an answer: taken on at the second try.
        let clients = Clients::default();
        clients.set_address(Some(courier(vec!["", "+OK\r\n"]).await));
        assert_eq!(clients.enqueue(&request).await, Told::Taken);
        // Closed without an answer on two connections: the message is lost.
        let clients = Clients::default();
        clients.set_address(Some(courier(vec!["", ""]).await));
        assert_eq!(clients.enqueue(&request).await, Told::Cut);
    });
}
