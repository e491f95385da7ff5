//! The watch on the list of endpoints, and the notices that end messages. Each request has a connection to itself: nothing tells
//! its answer from a second copy of the one before.

use bytes::Bytes;
use gullcart_engine::{CallsForLists, Input, Notice, CALL, SILENCE, TRAIL};
use gullcart_message::{Update, Verdict};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::sync::watch;
use tokio::time::{timeout, timeout_at, Instant};
use tracing::{debug, error, info, warn};

use crate::messages::EventSender;
use crate::update_stream::{MaxListBytes, StreamError, StreamItem, UpdateStream};

/// How long the agent may take to answer a batch of notices before it is told on a new connection: it answers at once, a notice
/// that comes twice does no harm, and one is lost that comes 300 ms too late. Doubled with each batch that is not answered, ...
const NOTICE_TIMEOUT: Duration = Duration::from_millis(100);
/// ... up to this.
const MAX_NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean wait between tries to tell the agent of notices.
const MEAN_NOTICE_BACKOFF: Duration = Duration::from_millis(100);
/// Notices that go in one request at most.
const MAX_NOTICES_PER_REQUEST: usize = 200;

#[derive(Debug, Error)]
enum AgentError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    #[error("silent")]
    Silent(#[from] tokio::time::error::Elapsed),
    #[error("no line of it came to its end in time")]
    UnfinishedLine,
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("the list cannot be read: {0}")]
    List(#[from] serde_json::Error),
    #[error("{0}")]
    Stream(#[from] StreamError),
    #[error("broken off, or longer than {0} bytes")]
    TooLong(usize),
}

type Connection = SendRequest<Full<Bytes>>;

async fn connect(agent: &str) -> Result<Connection, AgentError> {
    let stream = TcpStream::connect(agent).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    Ok(sender)
}

/// Where discovery's agent is now; a new address is gone over to at once.
pub type AgentAddress = watch::Receiver<String>;

/// Watches the list from the last version on. DriverChannels never: what breaks is started_at anew when `calls` says.
pub async fn watch(
    mut agent: AgentAddress,
    mut rev: u64,
    mut pacing: CallsForLists,
    events: EventSender,
    max_list_bytes: MaxListBytes,
) {
    let mut is_broken = false;
    // Another agent may know another list: it is asked for the needs_full_list of it first.
    let mut needs_full_list = timeout(pacing.first(), agent.changed()).await.is_ok();
    loop {
        let address = agent.borrow_and_update().clone();
        let (started_at, mut was_established) = (Instant::now(), false);
        let watching = watch_once(
            &address,
            max_list_bytes,
            &mut needs_full_list,
            &mut rev,
            &events,
            &mut is_broken,
            &mut was_established,
        );
        let result = tokio::select! {
            result = watching => result,
            changed = agent.changed() => {
                if changed.is_err() {
                    return;
                }
                (needs_full_list, is_broken) = (true, false);
                continue;
            }
        };
        let reason = result.err().map_or_else(|| "ended".to_owned(), |error| error.to_string());
        if !is_broken {
            warn!(reason, rev, "the watch on the list broke");
            is_broken = true;
        }
        // One that breaks as soon as it is heard is a call that failed.
        let delay = match started_at.elapsed() {
            took if was_established && took > CALL => pacing.after_break(),
            took => pacing.after_failure(took),
        };
        needs_full_list |= timeout(delay, agent.changed()).await.is_ok();
    }
}

async fn watch_once(
    agent: &str,
    max_list_bytes: MaxListBytes,
    needs_full_list: &mut bool,
    rev: &mut u64,
    events: &EventSender,
    is_broken: &mut bool,
    was_established: &mut bool,
) -> Result<(), AgentError> {
    let deadline = Instant::now() + CALL;
    if *needs_full_list {
        let mut connection = timeout_at(deadline, connect(agent)).await??;
        let request = Request::get("/v1/endpoints").header("Host", agent).body(Full::default())?;
        let list = timeout_at(deadline, fetch_list(&mut connection, request, max_list_bytes)).await??;
        // An agent that has heard less than the one before must not take back a drain.
        if list.rev >= *rev {
            let new_rev = list.rev;
            events.send(Input::Listed(Update { all: true, ..list })).await;
            *rev = new_rev;
        }
        *needs_full_list = false;
    }
    let mut connection = timeout_at(deadline, connect(agent)).await??;
    let request = Request::get(format!("/v1/endpoints?watch=1&after={rev}"))
        .header("Host", agent)
        .body(Full::default())?;
    let response = timeout_at(deadline, async {
        connection.ready().await?;
        connection.send_request(request).await
    });
    let response = response.await??;
    if response.status() != StatusCode::OK {
        return Err(AgentError::Status(response.status()));
    }
    let mut body = response.into_body();
    let mut stream = UpdateStream::new(max_list_bytes);
    // Whole lines alone say that the watch was_established: bytes without an end may come for ever.
    let mut last_item_at = Instant::now();
    while let Some(part) = timeout_at(last_item_at + SILENCE, body.frame()).await? {
        let Ok(data) = part?.into_data() else { continue };
        stream.feed(&data);
        while let Some(piece) = stream.next()? {
            *was_established = true;
            if *is_broken {
                info!(rev, "the list is being watched again");
                *is_broken = false;
            }
            match piece {
                StreamItem::KeepAlive => {}
                // It was on its way when a newer one came by another call: it must not take back what that one told.
                StreamItem::Change(update) if update.rev < *rev => {
                    warn!(rev, older = update.rev, "an older list is left");
                }
                StreamItem::Change(update) => {
                    let new_rev = update.rev;
                    events.send(Input::Listed(update)).await;
                    *rev = new_rev;
                }
            }
            last_item_at = Instant::now();
        }
        // What is there already is read before the clock is looked at.
        if last_item_at.elapsed() > SILENCE {
            return Err(AgentError::UnfinishedLine);
        }
    }
    Ok(())
}

/// The needs_full_list list.
async fn fetch_list(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    max_list_bytes: MaxListBytes,
) -> Result<Update, AgentError> {
    let response = connection.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(AgentError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), max_list_bytes.0).collect().await;
    Ok(serde_json::from_slice(&body.map_err(|_| AgentError::TooLong(max_list_bytes.0))?.to_bytes())?)
}

fn notice_line(notice: &Notice) -> String {
    let mut value = match notice.verdict {
        Verdict::Failed => serde_json::json!({"id": notice.id, "state": "failed"}),
        Verdict::Returned { after_ms } => {
            serde_json::json!({"id": notice.id, "state": "returned", "after_ms": after_ms})
        }
    }
    .to_string();
    value.push('\n');
    value
}

/// Sends notices until each is answered, at a new address those that the old one has not answered. A notice that
/// comes twice does no harm, one that never comes does.
pub async fn notices(
    mut agent: AgentAddress,
    mut queue: Receiver<Notice>,
    events: EventSender,
    mut rng: fastrand::Rng,
) {
    let mut batch = Vec::new();
    let mut failures = 0_u32;
    while queue.recv_many(&mut batch, MAX_NOTICES_PER_REQUEST).await > 0 {
        while !batch.is_empty() {
            let address = agent.borrow_and_update().clone();
            let timeout_for_batch = (NOTICE_TIMEOUT * (1 << failures.min(8))).min(MAX_NOTICE_TIMEOUT);
            let result = tokio::select! {
                result = send_batch(&address, &mut batch, &events, timeout_for_batch) => result,
                Ok(()) = agent.changed() => continue,
            };
            match result {
                Ok(()) => failures = 0,
                Err(reason) => {
                    debug!(target: TRAIL, %reason, failures, patience = ?timeout_for_batch, waiting = batch.len(), "notices go once more");
                    if failures == 0 {
                        warn!(%reason, waiting = batch.len(), "notices are not answered");
                    }
                    failures = failures.saturating_add(1);
                    // One connection may have fallen silent by itself: another one is tried at once.
                    if failures > 1 {
                        let _ = timeout(MEAN_NOTICE_BACKOFF.mul_f64(0.5 + rng.f64()), agent.changed()).await;
                    }
                }
            }
        }
    }
}

/// Sends a batch of notices; those that are answered leave it.
async fn send_batch(
    agent: &str,
    batch: &mut Vec<Notice>,
    events: &EventSender,
    time_limit: Duration,
) -> Result<(), AgentError> {
    match post_notices(agent, batch.iter().map(notice_line).collect(), time_limit).await {
        // One bad line must not hold up the others: they go one by one, and it is let go.
        Err(AgentError::Status(StatusCode::BAD_REQUEST)) => {}
        result => {
            result?;
            let acknowledged = batch.drain(..).map(|notice| notice.message).collect();
            events.send(Input::Heard(acknowledged)).await;
            return Ok(());
        }
    }
    while let Some(notice) = batch.last() {
        match post_notices(agent, notice_line(notice), time_limit).await {
            Err(rejection @ AgentError::Status(StatusCode::BAD_REQUEST)) => {
                error!(id = notice.id, refused = %rejection, "a notice is not understood");
            }
            result => result?,
        }
        events.send(Input::Heard(vec![notice.message])).await;
        batch.pop();
    }
    Ok(())
}

async fn post_notices(agent: &str, lines: String, time_limit: Duration) -> Result<(), AgentError> {
    let deadline = Instant::now() + time_limit;
    let mut connection = timeout_at(deadline, connect(agent)).await??;
    let request = Request::post("/v1/notices").header("Host", agent).body(Full::new(Bytes::from(lines)))?;
    let exchange = async {
        connection.ready().await?;
        let response: Response<Incoming> = connection.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        Ok::<_, hyper::Error>(status)
    };
    let status = timeout_at(deadline, exchange).await??;
    if status == StatusCode::NO_CONTENT {
        Ok(())
    } else {
        Err(AgentError::Status(status))
    }
}
