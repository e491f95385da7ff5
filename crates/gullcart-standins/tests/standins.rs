//! The stand-ins on loopback sockets, checked against the protocol with couriers.

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

/// Upper bound of each test.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on a single-threaded runtime, within [`TIMEOUT`].
fn on_loopback<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(TIMEOUT, test).await.expect("the test timed out") });
}

/// The recorded events.
type Trace = Rc<RefCell<Vec<Entry>>>;

/// A recorder whose clock runs, and its trace.
fn recorder() -> (Recorder, Trace) {
    let trace = Trace::default();
    let entries = trace.clone();
    let recorder = Recorder::new(move |entry| entries.borrow_mut().push(entry));
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
        count_rejected_calls: false,
        cold_capacity_share: 0.2,
        warm_up: Duration::from_secs(10),
        collapse_multiple: 2.5,
        collapse_window: Duration::from_secs(2),
        error_share: 0.0,
    }
}

/// An endpoint that serves a partner, and the trace.
struct EndpointFixture {
    partner: Rc<RefCell<Partner>>,
    endpoint: Rc<Endpoint>,
    listener: EndpointListener,
    trace: Trace,
}

/// An endpoint that expects messages 0 to 9, with bodies of 8 bytes or more.
fn endpoint_fixture() -> EndpointFixture {
    let (recorder, trace) = recorder();
    let expected_message = Rc::new(|message: MessageId| {
        let expected = ExpectedMessage { idempotency_key: None, body: ids::body(message.0, 8) };
        (message.0 < 10).then_some(expected)
    });
    let context = EndpointContext { recorder, expected_message, counters: Rc::new(Counters::default()) };
    let partner = Rc::new(RefCell::new(Partner::new(spec(), 1, 1)));
    let endpoint = Rc::new(Endpoint::new(EndpointId(1), PartnerId(1), partner.clone(), 0, true));
    let listener = EndpointListener::open(&context, CourierId(0), endpoint.clone()).unwrap();
    EndpointFixture { partner, endpoint, listener, trace }
}

/// Sends a call for a message.
async fn send(stream: &mut TcpStream, message: u64, body: &[u8]) {
    let head = format!(
        "POST /hook HTTP/1.1\r\nX-Call-Id: {}\r\nContent-Length: {}\r\n\r\n",
        ids::wire_id(MessageId(message)),
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
}

/// Reads an answer, head and body; empty if the connection ended.
async fn read_answer(stream: &mut TcpStream) -> String {
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
fn a_call_is_answered_and_recorded() {
    on_loopback(async {
        let fixture = endpoint_fixture();
        let mut stream = TcpStream::connect(fixture.listener.address()).await.unwrap();
        send(&mut stream, 3, &ids::body(3, 8)).await;
        let text = read_answer(&mut stream).await;
        assert!(text.starts_with("HTTP/1.1 200 ") && text.contains("X-Load-Report: x0="), "{text}");
        assert!(text.ends_with("\r\n\r\n0000000000000001"), "the body is not the call id: {text}");
        // The same connection serves further calls. A changed body and an unknown id are recorded as such.
        send(&mut stream, 4, b"changed!").await;
        assert!(read_answer(&mut stream).await.starts_with("HTTP/1.1 200 "));
        send(&mut stream, 99, b"").await;
        assert!(read_answer(&mut stream).await.starts_with("HTTP/1.1 400 "));
        let calls: Vec<(Option<MessageId>, bool)> = events(&fixture.trace)
            .into_iter()
            .filter_map(|event| match event {
                Event::CallReceived { message, intact, .. } => Some((message, intact)),
                _ => None,
            })
            .collect();
        assert_eq!(calls, [(Some(MessageId(3)), true), (Some(MessageId(4)), false), (None, false)]);
    });
}

#[test]
fn a_closed_partner_sends_retry_after_and_a_silent_one_nothing() {
    on_loopback(async {
        let fixture = endpoint_fixture();
        fixture.partner.borrow_mut().begin_fault(
            1,
            PartnerFault::Closed(true),
            None,
            Timestamp::from_millis(3_600_000),
        );
        let mut stream = TcpStream::connect(fixture.listener.address()).await.unwrap();
        send(&mut stream, 1, &ids::body(1, 8)).await;
        let text = read_answer(&mut stream).await;
        let retry_after_ms =
            text.split("X-Come-Back-Ms: ").nth(1).and_then(|rest| rest.lines().next()?.parse::<u64>().ok());
        assert!(
            text.starts_with("HTTP/1.1 429 ") && retry_after_ms.is_some_and(|ms| ms > 3_500_000),
            "{text}"
        );
        fixture.partner.borrow_mut().end_fault(1);
        fixture.partner.borrow_mut().begin_fault(
            2,
            PartnerFault::Silent,
            None,
            Timestamp::from_millis(3_600_000),
        );
        send(&mut stream, 2, &ids::body(2, 8)).await;
        assert!(timeout(Duration::from_millis(300), read_answer(&mut stream)).await.is_err());
        // The courier gives up the call by closing its sending side, which is recorded.
        stream.shutdown().await.unwrap();
        assert_eq!(read_answer(&mut stream).await, "");
        let last = events(&fixture.trace).pop();
        assert!(matches!(last, Some(Event::CallAborted { closed_by: ClosedBy::Courier, .. })), "{last:?}");
    });
}

#[test]
fn connections_are_reset_or_refused_and_the_port_is_kept() {
    on_loopback(async {
        let fixture = endpoint_fixture();
        fixture.partner.borrow_mut().begin_fault(
            1,
            PartnerFault::Silent,
            None,
            Timestamp::from_millis(3_600_000),
        );
        let mut stream = TcpStream::connect(fixture.listener.address()).await.unwrap();
        send(&mut stream, 1, &ids::body(1, 8)).await;
        while !events(&fixture.trace).iter().any(|event| matches!(event, Event::CallReceived { .. })) {
            tokio::task::yield_now().await;
        }
        fixture.endpoint.reset_connections();
        assert_eq!(read_answer(&mut stream).await, "");
        let last = events(&fixture.trace).pop();
        assert!(matches!(last, Some(Event::CallAborted { closed_by: ClosedBy::Partner, .. })), "{last:?}");
        fixture.listener.refuse_connections();
        tokio::task::yield_now().await;
        assert!(TcpStream::connect(fixture.listener.address()).await.is_err());
        fixture.listener.reopen().unwrap();
        assert!(TcpStream::connect(fixture.listener.address()).await.is_ok());
    });
}

/// A list entry in this state.
fn target(state: EndpointState) -> Target {
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

/// Opens a watch of the changes after revision 1.
async fn open_watch(address: SocketAddr) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET /v1/endpoints?watch=1&after=1 HTTP/1.1\r\n\r\n").await.unwrap();
    BufReader::new(stream)
}

/// Reads up to the next line that contains this text.
async fn read_line_with(watch: &mut BufReader<TcpStream>, text: &str) -> String {
    loop {
        let mut line = String::new();
        assert!(watch.read_line(&mut line).await.unwrap() > 0, "the watch ended");
        if line.contains(text) {
            return line;
        }
    }
}

#[test]
fn a_change_is_recorded_when_it_is_sent_and_a_silent_agent_sends_nothing() {
    on_loopback(async {
        let (recorder, trace) = recorder();
        let agent =
            Agent::start(&recorder, CourierId(0), vec![target(EndpointState::Serving)]).await.unwrap();
        let mut watching = open_watch(agent.address()).await;
        read_line_with(&mut watching, "200 OK").await;
        agent.set_silent(true);
        agent.update_target(target(EndpointState::Draining));
        let silent = timeout(Duration::from_millis(300), read_line_with(&mut watching, "DRAINING")).await;
        assert!(silent.is_err() && events(&trace).is_empty());
        agent.set_silent(false);
        assert!(read_line_with(&mut watching, "DRAINING").await.contains("\"rev\":2"));
        assert!(matches!(events(&trace)[..], [Event::ListingUpdated { state: EndpointState::Draining, .. }]));
        // A new watch is sent the changes since its revision.
        let agent = agent.restart_at_new_address().await.unwrap();
        assert!(read_line_with(&mut open_watch(agent.address()).await, "DRAINING")
            .await
            .contains("s-00000007"));
    });
}

#[test]
fn notices_are_recorded_and_malformed_ones_rejected() {
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
            assert!(read_answer(&mut stream).await.starts_with(&format!("HTTP/1.1 {status} ")));
        }
        let message = MessageId(5);
        let ended = Verdict::Returned(Some(40));
        let notice = Event::Notice { message: Some(message), courier: CourierId(0), verdict: ended };
        assert_eq!(events(&trace), [notice, Event::NoticeAnswered { message }]);
    });
}

/// A fake courier. It accepts one connection for each of these replies, writes the reply to the first request and closes the
/// connection; for an empty reply it closes the connection without writing.
async fn fake_courier(replies: Vec<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        for reply in replies {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(reply.as_bytes()).await;
            if reply.is_empty() {
                continue;
            }
            // The client still has the connection in its pool, and its next request on it fails.
            drop(stream);
        }
    });
    address
}

#[test]
fn clients_send_once_more_when_a_connection_was_closed() {
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
        assert_eq!(clients.enqueue(&request).await, EnqueueOutcome::Unreachable);
        clients.set_address(Some(fake_courier(vec!["+OK\r\n", "-BUSY 30\r\n"]).await));
        assert_eq!(clients.enqueue(&request).await, EnqueueOutcome::Accepted);
        assert_eq!(clients.enqueue(&request).await, EnqueueOutcome::Busy(Some(30)));
        // A new connection is closed without a reply: accepted at the second attempt.
        let clients = Clients::default();
        clients.set_address(Some(fake_courier(vec!["", "+OK\r\n"]).await));
        assert_eq!(clients.enqueue(&request).await, EnqueueOutcome::Accepted);
        // Two connections are closed without a reply: the client cannot know the outcome.
        let clients = Clients::default();
        clients.set_address(Some(fake_courier(vec!["", ""]).await));
        assert_eq!(clients.enqueue(&request).await, EnqueueOutcome::ConnectionLost);
    });
}
