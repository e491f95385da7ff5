//! The server of the operators' console: one line and one answer for each connection, on a small number of descriptors.

use gullcart_console::{
    command_error_text, metrics_text, no_with_reason, ConsoleCommand, ConsoleConnections, LineError,
    LineParser, NOT_SERVING, YES,
};
use gullcart_engine::{CommandError, EngineMetrics, OperatorCommand, RateLimitedLog, PROCESS_START};
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

/// Maximum number of connections at a time.
const MAX_CONNECTIONS: usize = 12;
/// Descriptors of the console: the connections, one more that was just accepted, and the listener.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 2;
/// How long a client may take to send its line.
const LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client may take to read its answer.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a client may take to close after its answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long to wait for the driver; operators are promised an answer within a second.
const DRIVER_TIMEOUT: Duration = Duration::from_millis(800);
/// Capacity of the driver's request queue, which the number of connections bounds.
const MAX_QUEUED_REQUESTS: usize = MAX_CONNECTIONS + 1;
/// Bytes read at a time.
const READ_CHUNK_BYTES: usize = 256;

/// A request to the driver, of an operator or of another process.
pub enum ControlRequest {
    /// Returns the metrics.
    Metrics(oneshot::Sender<EngineMetrics>),
    /// Carries out a command of an operator.
    Command(OperatorCommand, oneshot::Sender<Result<(), CommandError>>),
    /// Hands the courier over to the process, of the same user, at the other end of the connection.
    HandOver(UnixStream),
}

/// The channel for requests to the driver.
pub fn control_channel() -> (mpsc::Sender<ControlRequest>, mpsc::Receiver<ControlRequest>) {
    mpsc::channel(MAX_QUEUED_REQUESTS)
}

/// Serves connections until the task is dropped. `serving` is true while this process serves clients.
pub async fn serve(
    listener: TcpListener,
    requests: mpsc::Sender<ControlRequest>,
    serving: watch::Receiver<bool>,
) {
    let connections = Rc::new(RefCell::new(ConsoleConnections::new(MAX_CONNECTIONS)));
    let mut accept_errors = RateLimitedLog::default();
    let started_at = Instant::now();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (evict, evicted_signal) = oneshot::channel::<()>();
                let (id, evicted) = connections.borrow_mut().add(evict);
                drop(evicted);
                let (connections, requests, serving) =
                    (connections.clone(), requests.clone(), serving.clone());
                tokio::task::spawn_local(async move {
                    let mark_command_received = || connections.borrow_mut().command_received(id);
                    tokio::select! {
                        biased;
                        // An error concerns this connection alone.
                        _ = serve_connection(stream, requests, serving, mark_command_received) => {}
                        _ = evicted_signal => {}
                    }
                    connections.borrow_mut().remove(id);
                });
            }
            Err(error) => {
                if let Some(more) = accept_errors.due(PROCESS_START + started_at.elapsed()) {
                    warn!(%error, more, "cannot accept a connection to the console");
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Reads one line, answers it and closes the connection.
async fn serve_connection(
    mut stream: TcpStream,
    requests: mpsc::Sender<ControlRequest>,
    serving: watch::Receiver<bool>,
    mark_command_received: impl FnOnce(),
) -> io::Result<()> {
    let mut lines = LineParser::default();
    let line = match timeout(LINE_TIMEOUT, read_line(&stream, &mut lines)).await {
        Ok(Ok(Some(line))) => line,
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) => return Err(error),
        Err(_) => Err(LineError::TimedOut),
    };
    mark_command_received();
    let answer = match line {
        Ok(command) => answer(command, &requests, &serving).await,
        Err(error) => no_with_reason(error),
    };
    timeout(WRITE_TIMEOUT, stream.write_all(answer.as_bytes())).await??;
    SockRef::from(&stream).shutdown(Shutdown::Write)?;
    // Closing with unread bytes would reset the connection and destroy the answer on its way.
    let mut rest = [0; READ_CHUNK_BYTES];
    let drain = async { while matches!(read_some(&stream, &mut rest).await, Ok(1..)) {} };
    let _ = timeout(CLOSE_TIMEOUT, drain).await;
    Ok(())
}

/// Reads the client's line; none if it closes without sending anything.
async fn read_line(
    stream: &TcpStream,
    lines: &mut LineParser,
) -> io::Result<Option<Result<ConsoleCommand, LineError>>> {
    let mut bytes = [0; READ_CHUNK_BYTES];
    loop {
        match read_some(stream, &mut bytes).await? {
            0 => return Ok(lines.end_of_input().map(Err)),
            count => {
                if let Some(line) = lines.feed(&bytes[..count]) {
                    return Ok(Some(line));
                }
            }
        }
    }
}

/// Reads the bytes that have arrived, and waits for some.
async fn read_some(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// The answer to a command.
async fn answer(
    command: ConsoleCommand,
    requests: &mpsc::Sender<ControlRequest>,
    serving: &watch::Receiver<bool>,
) -> String {
    const NO_ANSWER: &str = "the courier does not answer; what was asked may yet be done, ask again";
    let send_command = |command: OperatorCommand| async move {
        let (reply, result) = oneshot::channel();
        let exchange = async {
            requests.send(ControlRequest::Command(command, reply)).await.ok().zip(result.await.ok())
        };
        match timeout(DRIVER_TIMEOUT, exchange).await.ok().flatten() {
            Some((_, Ok(()))) => YES.to_owned(),
            Some((_, Err(error))) => no_with_reason(command_error_text(error)),
            None => no_with_reason(NO_ANSWER),
        }
    };
    match command {
        ConsoleCommand::Status if *serving.borrow() => YES.to_owned(),
        ConsoleCommand::Status => no_with_reason(NOT_SERVING),
        ConsoleCommand::Metrics => {
            let (reply, metrics) = oneshot::channel();
            let exchange =
                async { requests.send(ControlRequest::Metrics(reply)).await.ok().zip(metrics.await.ok()) };
            timeout(DRIVER_TIMEOUT, exchange)
                .await
                .ok()
                .flatten()
                .map_or_else(|| no_with_reason(NO_ANSWER), |(_, metrics)| metrics_text(&metrics))
        }
        ConsoleCommand::Suspend(id) => send_command(OperatorCommand::Suspend(id)).await,
        ConsoleCommand::Restore(id) => send_command(OperatorCommand::Unsuspend(id)).await,
    }
}
