//! Calls on real sockets: the outcome that the courier concludes, compared with what the endpoint received.

use super::response::parse_load_report;
use super::*;
use cloverstile::{LimitReport, MessageId};
use socket2::{Domain, Socket, Type};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

mod truth;

/// A listener that accepts nothing and whose queue is full: a connection to it is established late, since the kernel repeats
/// the first packet only after a second.
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

    /// Accepts all connections after a while, and counts the bytes received until `over` is set.
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

/// A pool with generous limits.
fn pool() -> Rc<ConnectionPool> {
    let share = IdleConnectionPolicy::new(1, 1);
    let timeout = Duration::from_secs(10);
    Rc::new(ConnectionPool::new(timeout, timeout, 8, 4, share))
}

/// Opens a connection to `address` and adds it to the pool's idle ones, ready for a call. Returns the connection below the HTTP
/// library.
pub(crate) async fn add_idle_connection(
    pool: &ConnectionPool,
    endpoint: EndpointId,
    address: SocketAddr,
) -> Rc<TrackedConnection> {
    let descriptor = DescriptorPermit::new(&pool.open_descriptors, &pool.descriptor_released);
    let mut connection = connect(address, descriptor).await.unwrap();
    connection.sender.ready().await.unwrap();
    connection.idle_since = Instant::now().checked_sub(REUSE_DELAY).unwrap();
    let stream = connection.stream.clone();
    pool.idle.borrow_mut().entry(endpoint).or_default().push(connection);
    stream
}

/// A call of an unsafe message to `address`.
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

/// Runs a future on a runtime with one thread.
pub(crate) fn run<F: std::future::Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Guards against a repeat behind the repeat window. A repeat was decided on 4.4 s after the first attempt, its connection was
/// established a second later when a network partition ended, and the message took effect again after the window of 5 s
/// (scenario `split+brink+mass`, seed 623858784409).
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
        // Without a bound the call is sent late, which shows that the test reproduces the failure.
        assert_eq!(ended, if is_bound { Outcome::NotSent } else { Outcome::Timeout });
        assert_eq!(counting.join().unwrap() == 0, is_bound);
    }
}

/// A call whose connection is never established ends at `send_by`.
#[test]
fn a_call_waits_no_longer_for_its_connection_than_it_may_be_sent() {
    let full_queue = FullListenQueue::new();
    let ended = run(async {
        let (_stop, stopped) = oneshot::channel();
        let send_by = Instant::now() + Duration::from_millis(50);
        pool().call(call(full_queue.address), Some(send_by), stopped, Rc::default(), None).await
    });
    assert_eq!(ended.outcome, Outcome::NotSent);
}

/// After a hand-over, the courier may cancel a call before its task has run for the first time. The previous process has sent
/// the call all the same.
#[test]
fn a_handed_over_call_that_is_cancelled_at_once_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.set_nonblocking(true).unwrap();
    let ended = run(async {
        let (stop, stopped) = oneshot::channel();
        stop.send(StopReason::Cancelled).unwrap();
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

/// `send_by` may also pass between the connection and the first byte, as when the process is stalled.
#[test]
fn a_call_is_not_written_after_send_by() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (ended, progress) = run(async {
        let (_stop, stopped) = oneshot::channel();
        let progress: Rc<WriteProgress> = Rc::default();
        let past = Instant::now().checked_sub(Duration::from_millis(1));
        let pool = pool();
        add_idle_connection(&pool, EndpointId(1), address).await;
        (pool.call(call(address), past, stopped, progress.clone(), None).await, progress)
    });
    assert_eq!(ended.outcome, Outcome::NotSent);
    assert!(!progress.is_unreported());
    let (mut accepted, _) = listener.accept().unwrap();
    assert_eq!(std::io::Read::read(&mut accepted, &mut [0; 1024]).unwrap_or(0), 0, "it was sent");
}

#[test]
fn implausible_load_reports_are_ignored() {
    assert_eq!(parse_load_report("x0=0.4,x1=25"), Some(LimitReport { remaining_share: 0.4, limit: 25.0 }));
    for text in ["", "x0=0.4", "x0=-1,x1=25", "x0=0.4,x1=-3", "x0=0.4,x1=1e30", "x0=nan,x1=25", "x0=7e5,x1=2"]
    {
        assert_eq!(parse_load_report(text), None, "{text}");
    }
}

/// Bytes that arrive before a call is written must not be taken for its response.
#[test]
fn nothing_is_written_to_a_connection_with_stray_bytes() {
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

/// Reads a call up to its last byte.
pub(crate) fn read_call(stream: &mut std::net::TcpStream) {
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\nx") {
        let mut piece = [0; 1024];
        let count = std::io::Read::read(stream, &mut piece).unwrap();
        seen.extend_from_slice(&piece[..count]);
    }
}

/// A process that is stalled over the end of a call finds the response and the timeout at once, and cannot tell whether the
/// response was in time. When it was taken for a delivery, a message whose time was up was neither delivered nor reported.
#[test]
fn a_response_read_after_the_end_of_its_call_delivers_nothing() {
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
        // Until the courier has shut its sending side down.
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
        // Blocks the runtime, as in a process that is stopped.
        std::thread::sleep(end - Instant::now());
        go.send(()).unwrap();
        is_done.recv().unwrap();
        calling.await.unwrap()
    });
    endpoint.join().unwrap();
    assert_eq!((ended.outcome, ended.is_final), (Outcome::Timeout, false));
}

/// Answers one call with the given bytes and keeps its connection open. Returns the connection once the call has been read.
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

/// Guards the order of keys (incident 64b87a): a call that the courier broke off was reported as ended before its connection
/// was closed, so the next message of the key was sent too early.
#[test]
fn a_call_has_ended_only_once_its_connection_is_closed() {
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
            // No other task of the courier has run since.
            let mut stream = endpoint.join().unwrap();
            stream.set_nonblocking(true).unwrap();
            let read = std::io::Read::read(&mut stream, &mut [0; 64]);
            (ended.outcome, !matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock))
        });
        let answer = String::from_utf8_lossy(answer);
        assert!(is_let_go, "{answer}: {outcome:?}, and its connection is open");
        // The call may still run at the endpoint.
        assert_eq!(outcome, Outcome::Malformed, "{answer}");
    }
}

/// Guards against late notices: an incomplete response was waited for beyond the end of its call, and the message's end was
/// reported half a second late.
#[test]
fn an_incomplete_response_ends_with_its_call() {
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
    assert_eq!(ended.outcome, Outcome::Malformed);
    assert!(took < BODY_TIMEOUT, "ended {took:?} after the start of a call with a timeout of {TRY_FOR:?}");
}
