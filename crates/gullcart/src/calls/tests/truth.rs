//! Random calls against a partner that records what it received: the courier concludes that a call never ran only if its last
//! byte did not arrive, or if a complete response said so. Covers partly read requests, responses of all kinds (complete, cut,
//! malformed, early, late, behind interim responses, duplicated, missing), resets, and calls that are cancelled, withdrawn,
//! bounded by `send_by` or timed out, in any order on reused connections.

use super::*;
use socket2::SockRef;
use std::collections::HashMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// Calls in one sequence; as many run beside them.
const CALLS: u32 = 30;
/// More than the socket buffers hold, so that some requests are left partly sent.
const LONG_BODY: usize = 60 << 10;
/// Status lines with further headers, and whether a response with it says that the call never ran.
const RESPONSES: [(&str, bool); 8] = [
    ("200 OK", false),
    ("500 Error", false),
    ("429 Later\r\nX-Come-Back-Ms: 20", true),
    ("429 Later", true),
    ("503 Busy", true),
    ("503 Busy\r\nX-Line-Busy: 1", true),
    ("504 Spent", true),
    ("410 Over", true),
];

/// What the partner recorded of a call.
#[derive(Clone, Copy, Default)]
struct GroundTruth {
    /// Its last byte was received.
    is_complete: bool,
    /// A complete response said that it never ran.
    is_reported_never_run: bool,
    /// A status line with 200 was written.
    is_delivered: bool,
}

type Records = Rc<RefCell<HashMap<String, GroundTruth>>>;

struct Partner {
    stream: TcpStream,
    /// The last complete response on this connection.
    last: Option<String>,
    records: Records,
    rng: fastrand::Rng,
}

impl Partner {
    /// Reads a request up to `max_bytes` bytes; none if the connection has ended or the limit was reached.
    async fn read(&mut self, max_bytes: usize) -> Option<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.ok()?);
            if head.len() > max_bytes {
                return None;
            }
        }
        let text = String::from_utf8(head).ok()?;
        let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let id = field("X-Call-Id:")?.to_owned();
        let mut left: usize = field("Content-Length:")?.parse().ok()?;
        let mut read = 0;
        while left > 0 {
            if read > max_bytes {
                return None;
            }
            let mut buf = vec![0; left.min(4096)];
            let count = self.stream.read(&mut buf).await.ok().filter(|count| *count > 0)?;
            (left, read) = (left - count, read + count);
        }
        self.records.borrow_mut().entry(id.clone()).or_default().is_complete = true;
        Some(id)
    }

    async fn serve(mut self) {
        loop {
            // Most requests are read completely; of the others, some are left unread for a while, and some are reset.
            let max_bytes = if self.rng.u8(..6) == 0 { self.rng.usize(..LONG_BODY) } else { usize::MAX };
            let Some(id) = self.read(max_bytes).await else {
                if self.rng.bool() {
                    sleep(Duration::from_millis(self.rng.u64(..80))).await;
                }
                if self.rng.bool() {
                    let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
                }
                return;
            };
            sleep(Duration::from_millis([0, 0, 1, 30, 120][self.rng.usize(..5)])).await;
            if !self.answer(&id).await {
                return;
            }
        }
    }

    /// Answers a call in a random way; returns false if the connection has ended.
    async fn answer(&mut self, id: &str) -> bool {
        let (status, says_never_run) = RESPONSES[self.rng.usize(..RESPONSES.len())];
        let whole = match self.rng.u8(..3) {
            0 => {
                format!(
                    "HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{id}\r\n0\r\n\r\n",
                    id.len()
                )
            }
            _ => format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{id}", id.len()),
        };
        let copy = self.last.take().unwrap_or_default();
        let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(self.rng.usize(..3));
        let mut is_copied = false;
        let (text, is_complete) = match self.rng.u8(..12) {
            // No bytes, or bytes that are no response.
            0 => (String::new(), false),
            1 => ("\u{1}\u{2}noise\r\n\r\n".to_owned(), false),
            // Cut in the head or in the body; a complete status line counts.
            2 | 3 => (whole[..self.rng.usize(..whole.len())].to_owned(), false),
            4 => (format!("HTTP/1.1 {status}\r\nContent-Length: 50\r\n\r\nshort"), false),
            5 => (format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab"), false),
            6 => (format!("{interim}{whole}"), true),
            // Followed by a duplicate.
            7 => (format!("{whole}{whole}"), true),
            // Preceded by a copy of the previous response.
            8 => {
                is_copied = !copy.is_empty();
                (format!("{copy}{whole}"), true)
            }
            _ => (whole.clone(), true),
        };
        self.last = Some(whole.clone()).filter(|_| is_complete);
        {
            let mut records = self.records.borrow_mut();
            let truth = records.entry(id.to_owned()).or_default();
            truth.is_reported_never_run = is_complete && says_never_run;
            truth.is_delivered = match is_copied {
                true => whole.contains("HTTP/1.1 200 "),
                false => text.contains("HTTP/1.1 200 "),
            };
        }
        let (first, rest) = text.as_bytes().split_at(self.rng.usize(..=text.len()));
        if self.stream.write_all(first).await.is_err() {
            return false;
        }
        if self.rng.u8(..3) == 0 {
            sleep(Duration::from_millis(2)).await;
        }
        if self.stream.write_all(rest).await.is_err() {
            return false;
        }
        if is_complete {
            return self.rng.u8(..5) > 0;
        }
        match self.rng.u8(..3) {
            0 => sleep(Duration::from_millis(300)).await,
            1 => drop(SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))),
            _ => {}
        }
        false
    }
}

/// Makes one call and may stop it, as the driver does.
async fn make_call(
    pool: Rc<ConnectionPool>,
    address: SocketAddr,
    number: u32,
    rng: &mut fastrand::Rng,
) -> (String, CallResult) {
    let id = format!("c{number}");
    let body = Bytes::from(vec![b'x'; if rng.u8(..3) == 0 { LONG_BODY } else { rng.usize(..200) }]);
    let try_for = Duration::from_millis([40, 200, 1000][rng.usize(..3)]);
    let call = Call { message: MessageId(number), id: id.clone(), body, try_for, ..super::call(address) };
    let send_by = (rng.u8(..3) == 0).then(|| Instant::now() + Duration::from_millis(rng.u64(..30)));
    let (stop, stopped) = oneshot::channel();
    let progress: Rc<WriteProgress> = Rc::default();
    let reason = [None, None, Some(StopReason::Cancelled), Some(StopReason::Withdrawn)][rng.usize(..4)];
    let after = Duration::from_millis(rng.u64(..40));
    let stopping = async {
        let Some(reason) = reason else { return std::future::pending().await };
        sleep(after).await;
        if reason == StopReason::Cancelled || !progress.is_started() {
            let _ = stop.send(reason);
        }
        std::future::pending().await
    };
    let ended = tokio::select! {
        ended = pool.call(call, send_by, stopped, progress.clone(), None) => ended,
        () = stopping => unreachable!("it is pending"),
    };
    (id, ended)
}

/// Plays a sequence of calls. Returns how many were found to have never run, and how many of the others may have run.
fn play_calls(seed: u64) -> (u32, u32) {
    run(async {
        let mut rng = fastrand::Rng::with_seed(seed);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(64).unwrap();
        socket.set_nonblocking(true).unwrap();
        let listener = tokio::net::TcpListener::from_std(socket.into()).unwrap();
        let address = listener.local_addr().unwrap();
        let records: Records = Rc::default();
        let serving = tokio::task::spawn_local({
            let (records, mut rng) = (records.clone(), rng.fork());
            async move {
                let mut connections = tokio::task::JoinSet::new();
                while let Ok((stream, _)) = listener.accept().await {
                    let partner = Partner { stream, last: None, records: records.clone(), rng: rng.fork() };
                    connections.spawn_local(partner.serve());
                }
            }
        });
        let pool = pool();
        let mut ends = Vec::new();
        for number in 0..CALLS {
            let (mut other, pool) = (rng.fork(), pool.clone());
            let parallel = async {
                // Two at a time, so that connections are reused by different calls.
                make_call(pool.clone(), address, CALLS + number, &mut other).await
            };
            let (one, other) = tokio::join!(make_call(pool.clone(), address, number, &mut rng), parallel);
            ends.extend([one, other]);
        }
        // Lets bytes on their way arrive.
        sleep(Duration::from_millis(150)).await;
        serving.abort();
        let (mut never_run, mut ambiguous) = (0, 0);
        for (id, ended) in ends {
            let truth = records.borrow().get(&id).copied().unwrap_or_default();
            let may_have_run = truth.is_complete && !truth.is_reported_never_run;
            match ended.outcome {
                Outcome::Rejected(_)
                | Outcome::ConnectFailed
                | Outcome::NotSent
                | Outcome::AttemptsExhausted => {
                    assert!(!may_have_run, "seed {seed}, {id}: {:?}, and it may have run", ended.outcome);
                    never_run += 1;
                }
                Outcome::Ok => assert!(truth.is_delivered, "seed {seed}, {id}: it was not delivered"),
                _ => ambiguous += u32::from(may_have_run),
            }
        }
        (never_run, ambiguous)
    })
}

#[test]
fn calls_concluded_as_never_run_have_not_run() {
    let plays: Vec<_> = (0..16).map(|seed| std::thread::spawn(move || play_calls(seed))).collect();
    let plays = plays.into_iter().map(|play| play.join().unwrap());
    let (never_run, ambiguous) = plays.fold((0, 0), |sum, play| (sum.0 + play.0, sum.1 + play.1));
    // Both kinds must occur often for the test to be meaningful.
    assert!(never_run > 50 && ambiguous > 50, "{never_run} never ran, {ambiguous} may have run");
}
