//! That a call never ran is concluded only where its last byte did not come, or where it was said in a whole answer: for
//! requests that are read in part, answers of all kinds (whole, cut, spoilt, early, late, behind interim ones, two at a time,
//! none), resets, and calls that are called off, withdrawn, bounded or out of time, in any order on kept connections.

use super::*;
use socket2::SockRef;
use std::collections::HashMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

const CALLS: u32 = 30;
/// More than the sockets in between hold, so that some requests stand still half way.
const LONG_BODY: usize = 60 << 10;
const ANSWERS: [(&str, bool); 8] = [
    ("200 OK", false),
    ("500 Error", false),
    ("429 Later\r\nX-Come-Back-Ms: 20", true),
    ("429 Later", true),
    ("503 Busy", true),
    ("503 Busy\r\nX-Line-Busy: 1", true),
    ("504 Spent", true),
    ("410 Over", true),
];

/// What the partner knows of a call.
#[derive(Clone, Copy, Default)]
struct Truth {
    /// Its last byte has come.
    is_whole: bool,
    /// It was told whole that it never ran.
    is_denied: bool,
    /// A first line with 200 was written.
    is_delivered: bool,
}

type Book = Rc<RefCell<HashMap<String, Truth>>>;

struct Partner {
    stream: TcpStream,
    /// Its last whole answer on this connection.
    last: Option<String>,
    book: Book,
    rng: fastrand::Rng,
}

impl Partner {
    /// Reads a request as far as it pleases; none where the connection is over.
    async fn read(&mut self, most: usize) -> Option<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.ok()?);
            if head.len() > most {
                return None;
            }
        }
        let text = String::from_utf8(head).ok()?;
        let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let id = field("X-Call-Id:")?.to_owned();
        let mut left: usize = field("Content-Length:")?.parse().ok()?;
        let mut read = 0;
        while left > 0 {
            if read > most {
                return None;
            }
            let mut buf = vec![0; left.min(4096)];
            let count = self.stream.read(&mut buf).await.ok().filter(|count| *count > 0)?;
            (left, read) = (left - count, read + count);
        }
        self.book.borrow_mut().entry(id.clone()).or_default().is_whole = true;
        Some(id)
    }

    async fn serve(mut self) {
        loop {
            // Most requests are read to their end; some are left standing half way, and some broken off there.
            let most = if self.rng.u8(..6) == 0 { self.rng.usize(..LONG_BODY) } else { usize::MAX };
            let Some(id) = self.read(most).await else {
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

    /// Answers a call in some way; false where the connection is over.
    async fn answer(&mut self, id: &str) -> bool {
        let (status, is_never) = ANSWERS[self.rng.usize(..ANSWERS.len())];
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
        let (text, is_whole) = match self.rng.u8(..12) {
            // Nothing at all, or nothing that is an answer.
            0 => (String::new(), false),
            1 => ("\u{1}\u{2}noise\r\n\r\n".to_owned(), false),
            // Cut, in its head or in its body; a first line that is there counts.
            2 | 3 => (whole[..self.rng.usize(..whole.len())].to_owned(), false),
            4 => (format!("HTTP/1.1 {status}\r\nContent-Length: 50\r\n\r\nshort"), false),
            5 => (format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab"), false),
            6 => (format!("{interim}{whole}"), true),
            // Another one right behind it.
            7 => (format!("{whole}{whole}"), true),
            // Behind a copy of the answer before.
            8 => {
                is_copied = !copy.is_empty();
                (format!("{copy}{whole}"), true)
            }
            _ => (whole.clone(), true),
        };
        self.last = Some(whole.clone()).filter(|_| is_whole);
        {
            let mut book = self.book.borrow_mut();
            let truth = book.entry(id.to_owned()).or_default();
            truth.is_denied = is_whole && is_never;
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
        if is_whole {
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

/// One call, in the way that the loop makes and stops it.
async fn one(
    pool: Rc<ConnectionPool>,
    address: SocketAddr,
    number: u32,
    rng: &mut fastrand::Rng,
) -> (String, Ended) {
    let id = format!("c{number}");
    let body = Bytes::from(vec![b'x'; if rng.u8(..3) == 0 { LONG_BODY } else { rng.usize(..200) }]);
    let try_for = Duration::from_millis([40, 200, 1000][rng.usize(..3)]);
    let call = Call { message: MessageId(number), id: id.clone(), body, try_for, ..super::call(address) };
    let send_by = (rng.u8(..3) == 0).then(|| Instant::now() + Duration::from_millis(rng.u64(..30)));
    let (stop, stopped) = oneshot::channel();
    let progress: Rc<WriteProgress> = Rc::default();
    let reason = [None, None, Some(Stop::CalledOff), Some(Stop::Withdrawn)][rng.usize(..4)];
    let after = Duration::from_millis(rng.u64(..40));
    let stopping = async {
        let Some(reason) = reason else { return std::future::pending().await };
        sleep(after).await;
        if reason == Stop::CalledOff || !progress.is_started() {
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

fn a_day(seed: u64) -> (u32, u32) {
    run(async {
        let mut rng = fastrand::Rng::with_seed(seed);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(64).unwrap();
        socket.set_nonblocking(true).unwrap();
        let listener = tokio::net::TcpListener::from_std(socket.into()).unwrap();
        let address = listener.local_addr().unwrap();
        let book: Book = Rc::default();
        let serving = tokio::task::spawn_local({
            let (book, mut rng) = (book.clone(), rng.fork());
            async move {
                let mut inside = tokio::task::JoinSet::new();
                while let Ok((stream, _)) = listener.accept().await {
                    let partner = Partner { stream, last: None, book: book.clone(), rng: rng.fork() };
                    inside.spawn_local(partner.serve());
                }
            }
        });
        let pool = pool();
        let mut ends = Vec::new();
        for number in 0..CALLS {
            let (mut other, pool) = (rng.fork(), pool.clone());
            let beside = async {
                // Two at a time, so that kept connections change hands.
                one(pool.clone(), address, CALLS + number, &mut other).await
            };
            let (one, other) = tokio::join!(one(pool.clone(), address, number, &mut rng), beside);
            ends.extend([one, other]);
        }
        // What is on its way still comes.
        sleep(Duration::from_millis(150)).await;
        serving.abort();
        let (mut never, mut maybe) = (0, 0);
        for (id, ended) in ends {
            let truth = book.borrow().get(&id).copied().unwrap_or_default();
            let may_have_run = truth.is_whole && !truth.is_denied;
            match ended.outcome {
                Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Moot | Outcome::Spent => {
                    assert!(!may_have_run, "seed {seed}, {id}: {:?}, and it may have run", ended.outcome);
                    never += 1;
                }
                Outcome::Ok => assert!(truth.is_delivered, "seed {seed}, {id}: it was not delivered"),
                _ => maybe += u32::from(may_have_run),
            }
        }
        (never, maybe)
    })
}

#[test]
fn what_is_held_to_have_never_run_has_not() {
    let days: Vec<_> = (0..16).map(|seed| std::thread::spawn(move || a_day(seed))).collect();
    let days = days.into_iter().map(|day| day.join().unwrap());
    let (never, maybe) = days.fold((0, 0), |sum, day| (sum.0 + day.0, sum.1 + day.1));
    // Both kinds came often, or little is shown.
    assert!(never > 50 && maybe > 50, "{never} never ran, {maybe} may have run");
}
