//! Calls on real sockets: what is concluded of each, held against what came at the other side.

use super::response::parse_load_report;
use super::*;
use cloverstile::{Allowance, MessageId};
use socket2::{Domain, Socket, Type};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

mod truth;

/// A listener behind which nobody accepts, and all places in front of it are taken: who comes now comes up late, as the
/// kernel sends its first word again after a second.
struct FullListenQueue {
    listener: TcpListener,
    address: SocketAddr,
    _queued: Vec<Socket>,
}

impl FullListenQueue {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let mut waiting = Vec::new();
        loop {
            let one = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            let is_connected = one.connect_timeout(&address.into(), Duration::from_millis(100)).is_ok();
            if !is_connected {
                break;
            }
            waiting.push(one);
            assert!(waiting.len() < 16, "the queue never fills");
        }
        FullListenQueue { listener, address, _queued: waiting }
    }

    /// Lets everybody in after a while, and counts what they send until it is over.
    fn accept_and_count(self, over: &AtomicBool) -> usize {
        std::thread::sleep(Duration::from_millis(500));
        self.listener.set_nonblocking(true).unwrap();
        let (mut accepted, mut bytes) = (Vec::new(), 0);
        while !over.load(Ordering::Relaxed) {
            accepted.extend(self.listener.accept().ok().map(|(stream, _)| stream));
            for mut stream in accepted.iter() {
                stream.set_nonblocking(true).unwrap();
                bytes += std::io::Read::read(&mut stream, &mut [0; 1024]).unwrap_or(0);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        bytes
    }
}

fn pool() -> Rc<ConnectionPool> {
    let share = IdleShare::new(1, 1);
    let timeout = Duration::from_secs(10);
    Rc::new(ConnectionPool::new(timeout, timeout, 8, 4, share))
}

fn call(address: SocketAddr) -> Call {
    let (message, endpoint, body) = (MessageId(1), EndpointId(1), Bytes::from_static(b"x"));
    let (id, try_for) = ("a".to_owned(), Duration::from_secs(4));
    Call {
        message,
        endpoint,
        address,
        id,
        idempotency_key: None,
        body,
        try_for,
        send_by: None,
        may_have_run: false,
    }
}

fn run<F: std::future::Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Split day, `split+brink+mass` 623858784409: a repeat was decided on 4.4 s after the first attempt, its connection came
/// up a second later as a cut ended, and it took effect again behind the window of 5 s.
#[test]
fn a_call_whose_connection_comes_up_too_late_is_never_sent() {
    for is_bound in [true, false] {
        let full_queue = FullListenQueue::new();
        let address = full_queue.address;
        let over = Arc::new(AtomicBool::new(false));
        let counting = std::thread::spawn({
            let over = over.clone();
            move || full_queue.accept_and_count(&over)
        });
        let send_by = is_bound.then(|| Instant::now() + Duration::from_millis(300));
        let ended = run(async {
            let (_stop, stopped) = oneshot::channel();
            pool().call(call(address), send_by, stopped, Rc::default(), None).await.outcome
        });
        over.store(true, Ordering::Relaxed);
        // That it never came up in time is no fault of the endpoint. Without a bound it is sent, late: the fault is there.
        assert_eq!(ended, if is_bound { Outcome::Moot } else { Outcome::Timeout });
        assert_eq!(counting.join().unwrap() == 0, is_bound);
    }
}

/// ... and one whose connection never comes up ends then.
#[test]
fn a_call_waits_no_longer_for_its_connection_than_it_may_be_sent() {
    let full_queue = FullListenQueue::new();
    let ended = run(async {
        let (_stop, stopped) = oneshot::channel();
        let send_by = Instant::now() + Duration::from_millis(50);
        pool().call(call(full_queue.address), Some(send_by), stopped, Rc::default(), None).await
    });
    assert_eq!(ended.outcome, Outcome::Moot);
}

/// A courier that goes on in another process may call a carried call off at once, before that has looked at it: it was
/// sent all the same, by the process before.
#[test]
fn a_carried_call_that_is_called_off_at_once_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.set_nonblocking(true).unwrap();
    let ended = run(async {
        let (stop, stopped) = oneshot::channel();
        stop.send(Stop::CalledOff).unwrap();
        let carried = ResumedCall {
            stream: Some(stream),
            response_bytes: Vec::new(),
            earlier_answers: ConnectionAnswers::default(),
            elapsed: Duration::from_millis(20),
        };
        let progress = Rc::new(WriteProgress::handed_over());
        pool().call(call(listener.local_addr().unwrap()), None, stopped, progress, Some(carried)).await
    });
    assert_eq!(ended.outcome, Outcome::Cancelled);
}

/// The moment may also pass between the connection and the first byte, as when the process stands still.
#[test]
fn a_call_is_not_written_behind_its_time() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (ended, progress) = run(async {
        let (_stop, stopped) = oneshot::channel();
        let progress: Rc<WriteProgress> = Rc::default();
        let past = Instant::now().checked_sub(Duration::from_millis(1));
        let connection =
            connect(address, DescriptorPermit::new(&Rc::default(), &Rc::default())).await.unwrap();
        let pool = pool();
        let rested = Instant::now().checked_sub(REUSE_DELAY).unwrap();
        pool.idle.borrow_mut().insert(EndpointId(1), vec![Connection { idle_since: rested, ..connection }]);
        (pool.call(call(address), past, stopped, progress.clone(), None).await, progress)
    });
    assert_eq!(ended.outcome, Outcome::Moot);
    assert!(!progress.is_unreported());
    let (mut accepted, _) = listener.accept().unwrap();
    assert_eq!(std::io::Read::read(&mut accepted, &mut [0; 1024]).unwrap_or(0), 0, "it was sent");
}

#[test]
fn reports_that_make_no_sense_are_ignored() {
    assert_eq!(parse_load_report("x0=0.4,x1=25"), Some(Allowance { left: 0.4, limit: 25.0 }));
    for text in ["", "x0=0.4", "x0=-1,x1=25", "x0=0.4,x1=-3", "x0=0.4,x1=1e30", "x0=nan,x1=25", "x0=7e5,x1=2"]
    {
        assert_eq!(parse_load_report(text), None, "{text}");
    }
}

/// What lies on a connection before a call is written is no answer to it, and would be taken for one.
#[test]
fn nothing_is_written_where_bytes_lie_that_belong_to_no_call() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    run(async {
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut accepted, _) = listener.accept().unwrap();
        std::io::Write::write_all(&mut accepted, b"HTTP/1.1 503 Busy\r\n").unwrap();
        stream.readable().await.unwrap();
        let connection =
            Rc::new(TrackedConnection::new(stream, DescriptorPermit::new(&Rc::default(), &Rc::default())));
        connection.begin_call(0, Rc::default(), None);
        let written = tokio::io::AsyncWriteExt::write(&mut TrackedStream(connection.clone()), b"POST").await;
        assert!(written.is_err() && connection.is_unwritten(), "{written:?}");
    });
}

/// Reads a call to its last byte.
fn read_call(stream: &mut std::net::TcpStream) {
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\nx") {
        let mut piece = [0; 1024];
        let count = std::io::Read::read(stream, &mut piece).unwrap();
        seen.extend_from_slice(&piece[..count]);
    }
}

/// The process stands still across the end of a call, and finds its answer and its end at once. Whether the answer came in time
/// cannot be told: it was held to be a delivery, and a message whose time was up before got no end at all.
#[test]
fn an_answer_that_is_read_behind_the_end_of_its_call_delivers_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (call_read, is_call_read) = std::sync::mpsc::channel();
    let (go, may_go) = std::sync::mpsc::channel();
    let (done, is_done) = std::sync::mpsc::channel();
    let endpoint = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_call(&mut stream);
        call_read.send(()).unwrap();
        let () = may_go.recv().unwrap();
        std::io::Write::write_all(&mut stream, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        done.send(()).unwrap();
        // Until the courier has ended its sending.
        while std::io::Read::read(&mut stream, &mut [0; 64]).is_ok_and(|count| count > 0) {}
    });
    let ended = run(async move {
        let begun = Instant::now();
        let call = Call { try_for: Duration::from_millis(300), ..call(address) };
        let end = begun + Duration::from_millis(400);
        let (_never, stop) = oneshot::channel();
        let pool = pool();
        let calling =
            tokio::task::spawn_local(async move { pool.call(call, None, stop, Rc::default(), None).await });
        while is_call_read.try_recv().is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        // Nothing of the runtime runs here, as in a process that is stopped.
        std::thread::sleep(end - Instant::now());
        go.send(()).unwrap();
        is_done.recv().unwrap();
        calling.await.unwrap()
    });
    endpoint.join().unwrap();
    assert_eq!((ended.outcome, ended.complete), (Outcome::Timeout, false));
}

/// Answers one call with that, and keeps its connection open; the connection, once the call has come.
fn answer_and_stay(
    listener: TcpListener,
    answer: &'static [u8],
) -> std::thread::JoinHandle<std::net::TcpStream> {
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_call(&mut stream);
        std::io::Write::write_all(&mut stream, answer).unwrap();
        stream
    })
}

/// Order of keys, incident 64b87a: a call that the courier breaks off was over before its connection was let go, and the rest
/// of its key began too early.
#[test]
fn a_call_is_over_only_once_its_connection_is_let_go() {
    let answers: [&[u8]; 5] = [
        b"HTTP/1",
        b"noise\r\n\r\n",
        b"HTTP/1.1 500 Oops\r\nContent-Length: 50\r\n\r\nshort",
        b"HTTP/1.1 500 Oops\r\nContent-Length: 90000\r\n\r\nshort",
        b"HTTP/1.1 503 Busy\r\nContent-Length: 50\r\n\r\nshort",
    ];
    for answer in answers {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let endpoint = answer_and_stay(listener, answer);
        let (outcome, is_let_go) = run(async {
            let (_stop, stopped) = oneshot::channel();
            let ended = pool().call(call(address), None, stopped, Rc::default(), None).await;
            // Nothing else of the courier has run since.
            let mut stream = endpoint.join().unwrap();
            stream.set_nonblocking(true).unwrap();
            let read = std::io::Read::read(&mut stream, &mut [0; 64]);
            (ended.outcome, !matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock))
        });
        let answer = String::from_utf8_lossy(answer);
        assert!(is_let_go, "{answer}: {outcome:?}, and its connection is open");
        // It may still run at the endpoint.
        assert_eq!(outcome, Outcome::Spoilt, "{answer}");
    }
}

/// Rule on lost requests: an answer that stopped short was waited for behind the end of its call, and the message's end was
/// told half a second after its time.
#[test]
fn an_answer_that_stops_short_ends_with_its_call() {
    const TRY_FOR: Duration = Duration::from_millis(150);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = answer_and_stay(listener, b"HTTP/1.1 503 Busy\r\nContent-Length: 50\r\n\r\nshort");
    let begun = Instant::now();
    let ended = run(async {
        let (_stop, stopped) = oneshot::channel();
        let call = Call { try_for: TRY_FOR, ..call(address) };
        pool().call(call, None, stopped, Rc::default(), None).await
    });
    let took = begun.elapsed();
    drop(endpoint.join().unwrap());
    assert_eq!(ended.outcome, Outcome::Spoilt);
    assert!(took < BODY_TIMEOUT, "told {took:?} after a call of {TRY_FOR:?} began");
}
