//! The watch on the list of endpoints, and the notices that end messages. Each request has a connection to itself: nothing tells
//! its answer from a second copy of the one before.

use bytes::Bytes;
use gullcart_engine::{CallsForLists, Input, Notice, CALL, SILENCE, TRAIL};
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

use crate::update_stream::{LongestList, Piece, StreamError, UpdateStream};
use crate::vocabulary::Inputs;

/// How long the agent may take to answer a batch of notices before it is told on a new connection: it answers at once, a notice
/// that comes twice does no harm, and one is lost that comes 300 ms too late. Doubled with each batch that is not answered, ...
const PATIENCE: Duration = Duration::from_millis(100);
/// ... up to this.
const LONGEST_PATIENCE: Duration = Duration::from_millis(500);
/// Mean wait between tries to tell the agent of notices.
const BACK_OFF: Duration = Duration::from_millis(100);
/// Notices that go in one request at most.
const NOTICES: usize = 200;

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
    Endless,
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("the list cannot be read: {0}")]
    List(#[from] serde_json::Error),
    #[error("{0}")]
    Stream(#[from] StreamError),
    #[error("broken off, or longer than {0} bytes")]
    Long(usize),
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
pub type Agent = watch::Receiver<String>;

/// Watches the list from the last version on. Ends never: what breaks is begun anew when `calls` says.
pub async fn watch(
    mut agent: Agent,
    mut rev: u64,
    mut calls: CallsForLists,
    driver: Inputs,
    longest: LongestList,
) {
    let mut down = false;
    // Another agent may know another list: it is asked for the whole of it first.
    let mut whole = timeout(calls.first(), agent.changed()).await.is_ok();
    loop {
        let address = agent.borrow_and_update().clone();
        let (begun, mut lasts) = (Instant::now(), false);
        let watching = watch_once(&address, longest, &mut whole, &mut rev, &driver, &mut down, &mut lasts);
        let result = tokio::select! {
            result = watching => result,
            changed = agent.changed() => {
                if changed.is_err() {
                    return;
                }
                (whole, down) = (true, false);
                continue;
            }
        };
        let reason = result.err().map_or_else(|| "ended".to_owned(), |error| error.to_string());
        if !down {
            warn!(reason, rev, "the watch on the list broke");
            down = true;
        }
        // One that breaks as soon as it is heard is a call that failed.
        let wait = match begun.elapsed() {
            took if lasts && took > CALL => calls.after_break(),
            took => calls.after_failure(took),
        };
        whole |= timeout(wait, agent.changed()).await.is_ok();
    }
}

async fn watch_once(
    agent: &str,
    longest: LongestList,
    whole: &mut bool,
    rev: &mut u64,
    driver: &Inputs,
    down: &mut bool,
    lasts: &mut bool,
) -> Result<(), AgentError> {
    let by = Instant::now() + CALL;
    if *whole {
        let mut connection = timeout_at(by, connect(agent)).await??;
        let request = Request::get("/v1/endpoints").header("Host", agent).body(Full::default())?;
        let list = timeout_at(by, fetch(&mut connection, request, longest)).await??;
        // An agent that has heard less than the one before must not take back a drain.
        if list.rev >= *rev {
            let told = list.rev;
            driver.tell(Input::Listed(ListingUpdate { all: true, ..list })).await;
            *rev = told;
        }
        *whole = false;
    }
    let mut connection = timeout_at(by, connect(agent)).await??;
    let request = Request::get(format!("/v1/endpoints?watch=1&after={rev}"))
        .header("Host", agent)
        .body(Full::default())?;
    let response = timeout_at(by, async {
        connection.ready().await?;
        connection.send_request(request).await
    });
    let response = response.await??;
    if response.status() != StatusCode::OK {
        return Err(AgentError::Status(response.status()));
    }
    let mut body = response.into_body();
    let mut stream = UpdateStream::new(longest);
    // Whole lines alone say that the watch lasts: bytes without an end may come for ever.
    let mut heard = Instant::now();
    while let Some(part) = timeout_at(heard + SILENCE, body.frame()).await? {
        let Ok(data) = part?.into_data() else { continue };
        stream.feed(&data);
        while let Some(piece) = stream.next()? {
            *lasts = true;
            if *down {
                info!(rev, "the list is being watched again");
                *down = false;
            }
            match piece {
                Piece::KeepAlive => {}
                // It was on its way when a newer one came by another call: it must not take back what that one told.
                Piece::Change(update) if update.rev < *rev => {
                    warn!(rev, older = update.rev, "an older list is left");
                }
                Piece::Change(update) => {
                    let told = update.rev;
                    driver.tell(Input::Listed(update)).await;
                    *rev = told;
                }
            }
            heard = Instant::now();
        }
        // What is there already is read before the clock is looked at.
        if heard.elapsed() > SILENCE {
            return Err(AgentError::Endless);
        }
    }
    Ok(())
}

/// The whole list.
async fn fetch(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    longest: LongestList,
) -> Result<ListingUpdate, AgentError> {
    let response = connection.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(AgentError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), longest.0).collect().await;
    Ok(serde_json::from_slice(&body.map_err(|_| AgentError::Long(longest.0))?.to_bytes())?)
}

fn line(notice: &Notice) -> String {
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
    mut agent: Agent,
    mut queue: Receiver<Notice>,
    driver: Inputs,
    mut chance: fastrand::Rng,
) {
    let mut batch = Vec::new();
    let mut failures = 0_u32;
    while queue.recv_many(&mut batch, NOTICES).await > 0 {
        while !batch.is_empty() {
            let address = agent.borrow_and_update().clone();
            let patience = (PATIENCE * (1 << failures.min(8))).min(LONGEST_PATIENCE);
            let told = tokio::select! {
                told = tell(&address, &mut batch, &driver, patience) => told,
                Ok(()) = agent.changed() => continue,
            };
            match told {
                Ok(()) => failures = 0,
                Err(reason) => {
                    debug!(target: TRAIL, %reason, failures, ?patience, waiting = batch.len(), "notices go once more");
                    if failures == 0 {
                        warn!(%reason, waiting = batch.len(), "notices are not answered");
                    }
                    failures = failures.saturating_add(1);
                    // One connection may have fallen silent by itself: another one is tried at once.
                    if failures > 1 {
                        let _ = timeout(BACK_OFF.mul_f64(0.5 + chance.f64()), agent.changed()).await;
                    }
                }
            }
        }
    }
}

/// Sends a batch of notices; those that are answered leave it.
async fn tell(
    agent: &str,
    batch: &mut Vec<Notice>,
    driver: &Inputs,
    patience: Duration,
) -> Result<(), AgentError> {
    match post(agent, batch.iter().map(line).collect(), patience).await {
        // One bad line must not hold up the others: they go one by one, and it is let go.
        Err(AgentError::Status(StatusCode::BAD_REQUEST)) => {}
        result => {
            result?;
            let heard = batch.drain(..).map(|notice| notice.message).collect();
            driver.tell(Input::Heard(heard)).await;
            return Ok(());
        }
    }
    while let Some(notice) = batch.last() {
        match post(agent, line(notice), patience).await {
            Err(refused @ AgentError::Status(StatusCode::BAD_REQUEST)) => {
                error!(id = notice.id, %refused, "a notice is not understood");
            }
            result => result?,
        }
        driver.tell(Input::Heard(vec![notice.message])).await;
        batch.pop();
    }
    Ok(())
}

async fn post(agent: &str, lines: String, patience: Duration) -> Result<(), AgentError> {
    let by = Instant::now() + patience;
    let mut connection = timeout_at(by, connect(agent)).await??;
    let request = Request::post("/v1/notices").header("Host", agent).body(Full::new(Bytes::from(lines)))?;
    let exchange = async {
        connection.ready().await?;
        let response: Response<Incoming> = connection.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        Ok::<_, hyper::Error>(status)
    };
    let status = timeout_at(by, exchange).await??;
    if status == StatusCode::NO_CONTENT {
        Ok(())
    } else {
        Err(AgentError::Status(status))
    }
}
