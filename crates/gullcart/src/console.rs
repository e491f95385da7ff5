//! The operators' console on its sockets: one line to a connection, one answer, on a few descriptors of its own.

use gullcart_console::{denied, figures, no, Call, Callers, Fault, Lines, NOT_SERVING, YES};
use gullcart_engine::{Denied, Order, Reading, Seldom, EPOCH};
use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout, Instant};
use tracing::warn;

/// Callers at a time.
const CALLERS: usize = 12;
/// Descriptors of the console: its callers, one more that has just come, and the listener.
pub const SOCKETS: usize = CALLERS + 2;
/// Until when a caller's line must be whole, and how long it may take to read its answer and to close after it.
const LINE: Duration = Duration::from_secs(2);
const WRITE: Duration = Duration::from_millis(500);
const LINGER: Duration = Duration::from_millis(200);
/// How long the loop may take; a caller is owed an answer within a second.
const LOOP: Duration = Duration::from_millis(800);
/// Questions that wait for the loop: no more than there are callers.
const QUESTIONS: usize = CALLERS + 1;
/// Read at once.
const READ: usize = 256;

/// What the loop is asked.
pub enum Question {
    /// The figures.
    Figures(oneshot::Sender<Reading>),
    /// Something is to be done.
    Order(Order, oneshot::Sender<Result<(), Denied>>),
    /// A process of the same user asks for the courier.
    Move(UnixStream),
}

/// Where the loop is asked, and where it listens.
pub fn questions() -> (mpsc::Sender<Question>, mpsc::Receiver<Question>) {
    mpsc::channel(QUESTIONS)
}

/// Answers callers until the task is dropped. `serving` is true while this process takes clients.
pub async fn serve(listener: TcpListener, ask: mpsc::Sender<Question>, serving: watch::Receiver<bool>) {
    let callers = Rc::new(RefCell::new(Callers::new(CALLERS)));
    let mut failures = Seldom::default();
    let begun = Instant::now();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (give_way, leave) = oneshot::channel::<()>();
                let (number, leaves) = callers.borrow_mut().enter(give_way);
                drop(leaves);
                let (callers, ask, serving) = (callers.clone(), ask.clone(), serving.clone());
                tokio::task::spawn_local(async move {
                    let has_asked = || callers.borrow_mut().has_asked(number);
                    tokio::select! {
                        biased;
                        // A caller that breaks off is its own affair.
                        _ = call(stream, ask, serving, has_asked) => {}
                        _ = leave => {}
                    }
                    callers.borrow_mut().leave(number);
                });
            }
            Err(error) => {
                if let Some(more) = failures.due(EPOCH + begun.elapsed()) {
                    warn!(%error, more, "a caller of the console cannot be accepted");
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn call(
    mut stream: TcpStream,
    ask: mpsc::Sender<Question>,
    serving: watch::Receiver<bool>,
    has_asked: impl FnOnce(),
) -> io::Result<()> {
    let mut lines = Lines::default();
    let line = match timeout(LINE, read(&stream, &mut lines)).await {
        Ok(Ok(Some(line))) => line,
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) => return Err(error),
        Err(_) => Err(Fault::Late),
    };
    has_asked();
    let answer = match line {
        Ok(call) => answer(call, &ask, &serving).await,
        Err(fault) => no(fault),
    };
    timeout(WRITE, stream.write_all(answer.as_bytes())).await??;
    SockRef::from(&stream).shutdown(Shutdown::Write)?;
    // Closing with something unread would destroy the answer on its way.
    let mut rest = [0; READ];
    let drain = async { while matches!(read_some(&stream, &mut rest).await, Ok(1..)) {} };
    let _ = timeout(LINGER, drain).await;
    Ok(())
}

/// The caller's line; nothing where it never said anything.
async fn read(stream: &TcpStream, lines: &mut Lines) -> io::Result<Option<Result<Call, Fault>>> {
    let mut bytes = [0; READ];
    loop {
        match read_some(stream, &mut bytes).await? {
            0 => return Ok(lines.end().map(Err)),
            count => {
                if let Some(line) = lines.feed(&bytes[..count]) {
                    return Ok(Some(line));
                }
            }
        }
    }
}

async fn read_some(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

async fn answer(call: Call, ask: &mpsc::Sender<Question>, serving: &watch::Receiver<bool>) -> String {
    const BUSY: &str = "the courier does not answer; what was asked may yet be done, ask again";
    let ordered = |order: Order| async move {
        let (reply, done) = oneshot::channel();
        let asked = async { ask.send(Question::Order(order, reply)).await.ok().zip(done.await.ok()) };
        match timeout(LOOP, asked).await.ok().flatten() {
            Some((_, Ok(()))) => YES.to_owned(),
            Some((_, Err(why))) => no(denied(why)),
            None => no(BUSY),
        }
    };
    match call {
        Call::Status if *serving.borrow() => YES.to_owned(),
        Call::Status => no(NOT_SERVING),
        Call::Metrics => {
            let (reply, told) = oneshot::channel();
            let asked = async { ask.send(Question::Figures(reply)).await.ok().zip(told.await.ok()) };
            timeout(LOOP, asked)
                .await
                .ok()
                .flatten()
                .map_or_else(|| no(BUSY), |(_, reading)| figures(&reading))
        }
        Call::Suspend(id) => ordered(Order::Suspend(id)).await,
        Call::Restore(id) => ordered(Order::Restore(id)).await,
    }
}
