//! The client of discovery's agent: watches the list of endpoints, and sends the notices of undelivered messages. Each request
//! uses a new connection, since a duplicate of an earlier response could not be distinguished from its own response.

use bytes::Bytes;
use gullcart_engine::{
    DiscoveryBackoff, Input, Notice, DISCOVERY_CALL_TIMEOUT, MESSAGE_TRACE_TARGET, WATCH_SILENCE_TIMEOUT,
};
use gullcart_message::{ListingUpdate, Verdict};
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

/// How long the agent may take to acknowledge a batch of notices before the batch is sent on a new connection. The agent
/// normally answers at once, a repeated notice is harmless, and a notice counts as lost if it is more than 300 ms late. The
/// timeout is doubled with each failed attempt.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(100);
/// Upper bound on [`NOTICE_TIMEOUT`] when doubled.
const MAX_NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean delay between attempts to send notices.
const MEAN_NOTICE_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of notices in one request.
const MAX_NOTICES_PER_REQUEST: usize = 200;

/// Why a request to the agent failed.
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
    #[error("no complete line arrived in time")]
    UnfinishedLine,
    #[error("HTTP status {0}")]
    Status(StatusCode),
    #[error("the list cannot be read: {0}")]
    List(#[from] serde_json::Error),
    #[error("{0}")]
    Stream(#[from] StreamError),
    #[error("the list is incomplete or longer than {0} bytes")]
    TooLong(usize),
}

type Connection = SendRequest<Full<Bytes>>;

/// Opens a connection to the agent.
async fn connect(agent: &str) -> Result<Connection, AgentError> {
    let stream = TcpStream::connect(agent).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    Ok(sender)
}

/// The current address of discovery's agent; a change takes effect at once.
pub type AgentAddress = watch::Receiver<String>;

/// Watches the list, starting after revision `rev`, and never ends. A watch that fails is opened again at the time that
/// `pacing` determines.
pub async fn watch(
    mut agent: AgentAddress,
    mut rev: u64,
    mut pacing: DiscoveryBackoff,
    events: EventSender,
    max_list_bytes: MaxListBytes,
) {
    let mut is_broken = false;
    // Another agent may know another list, so all of it is fetched first.
    let mut needs_full_list = timeout(pacing.first_delay(), agent.changed()).await.is_ok();
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
            warn!(reason, rev, "the watch on the list broke; opening it again");
            is_broken = true;
        }
        // A watch that fails soon after it was established counts as a failed call.
        let delay = match started_at.elapsed() {
            took if was_established && took > DISCOVERY_CALL_TIMEOUT => pacing.delay_after_broken_watch(),
            took => pacing.delay_after_failure(took),
        };
        needs_full_list |= timeout(delay, agent.changed()).await.is_ok();
    }
}

/// Opens one watch and passes on its changes until it fails. First fetches the full list if `needs_full_list` is set.
async fn watch_once(
    agent: &str,
    max_list_bytes: MaxListBytes,
    needs_full_list: &mut bool,
    rev: &mut u64,
    events: &EventSender,
    is_broken: &mut bool,
    was_established: &mut bool,
) -> Result<(), AgentError> {
    let deadline = Instant::now() + DISCOVERY_CALL_TIMEOUT;
    if *needs_full_list {
        let mut connection = timeout_at(deadline, connect(agent)).await??;
        let request = Request::get("/v1/endpoints").header("Host", agent).body(Full::default())?;
        let list = timeout_at(deadline, fetch_list(&mut connection, request, max_list_bytes)).await??;
        // An agent with an older list than the previous one must not revert a drain.
        if list.rev >= *rev {
            let new_rev = list.rev;
            events.send(Input::ListUpdate(ListingUpdate { all: true, ..list })).await;
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
    // Only complete lines show that the watch is alive: bytes without a line end may arrive forever.
    let mut last_item_at = Instant::now();
    while let Some(part) = timeout_at(last_item_at + WATCH_SILENCE_TIMEOUT, body.frame()).await? {
        let Ok(data) = part?.into_data() else { continue };
        stream.feed(&data);
        while let Some(item) = stream.next()? {
            *was_established = true;
            if *is_broken {
                info!(rev, "the watch on the list of endpoints is back");
                *is_broken = false;
            }
            match item {
                StreamItem::KeepAlive => {}
                // An older change that was still on its way must not revert a newer list that came by another call.
                StreamItem::Change(update) if update.rev < *rev => {
                    warn!(rev, older = update.rev, "an older list is ignored");
                }
                StreamItem::Change(update) => {
                    let new_rev = update.rev;
                    events.send(Input::ListUpdate(update)).await;
                    *rev = new_rev;
                }
            }
            last_item_at = Instant::now();
        }
        // Checked after what had already arrived was read.
        if last_item_at.elapsed() > WATCH_SILENCE_TIMEOUT {
            return Err(AgentError::UnfinishedLine);
        }
    }
    Ok(())
}

/// Fetches the full list.
async fn fetch_list(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    max_list_bytes: MaxListBytes,
) -> Result<ListingUpdate, AgentError> {
    let response = connection.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(AgentError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), max_list_bytes.0).collect().await;
    Ok(serde_json::from_slice(&body.map_err(|_| AgentError::TooLong(max_list_bytes.0))?.to_bytes())?)
}

/// The line of a notice in a request.
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

/// Sends notices until each is acknowledged; those still pending go to the new address when it changes. Repeating a notice is
/// harmless, losing one is not.
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
                    debug!(target: MESSAGE_TRACE_TARGET, %reason, failures, patience = ?timeout_for_batch, waiting = batch.len(), "sending notices again");
                    if failures == 0 {
                        warn!(%reason, waiting = batch.len(), "discovery does not acknowledge notices; sending them again");
                    }
                    failures = failures.saturating_add(1);
                    // A single connection may have failed on its own, so the first retry is immediate.
                    if failures > 1 {
                        let _ = timeout(MEAN_NOTICE_BACKOFF.mul_f64(0.5 + rng.f64()), agent.changed()).await;
                    }
                }
            }
        }
    }
}

/// Sends a batch of notices and removes those that are acknowledged.
async fn send_batch(
    agent: &str,
    batch: &mut Vec<Notice>,
    events: &EventSender,
    time_limit: Duration,
) -> Result<(), AgentError> {
    match post_notices(agent, batch.iter().map(notice_line).collect(), time_limit).await {
        // One invalid line must not block the others: they are sent one by one, and the invalid one is dropped.
        Err(AgentError::Status(StatusCode::BAD_REQUEST)) => {}
        result => {
            result?;
            let acknowledged = batch.drain(..).map(|notice| notice.message).collect();
            events.send(Input::NoticesAcknowledged(acknowledged)).await;
            return Ok(());
        }
    }
    while let Some(notice) = batch.last() {
        match post_notices(agent, notice_line(notice), time_limit).await {
            Err(rejection @ AgentError::Status(StatusCode::BAD_REQUEST)) => {
                error!(id = notice.id, refused = %rejection, "discovery rejected a notice as invalid; it is dropped");
            }
            result => result?,
        }
        events.send(Input::NoticesAcknowledged(vec![notice.message])).await;
        batch.pop();
    }
    Ok(())
}

/// Posts lines of notices to the agent and waits for the acknowledgement.
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
