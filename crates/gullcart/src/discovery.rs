//! The watch on the list of endpoints, and the notices that end messages.

use bytes::Bytes;
use gullcart_engine::{CallsForLists, Input, Notice};
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
use tokio::time::timeout;
use tracing::{error, info, warn};

use crate::vocabulary::Inputs;

/// The agent is on this machine: what it does not answer in this time it does not answer now.
const ANSWER: Duration = Duration::from_millis(500);
/// The watch has an empty line every 2 s; silence for this long is an outage of discovery. What was missed counts
/// as told after 6 s, so that there is no time for a longer wait.
const SILENCE: Duration = Duration::from_secs(3);
/// Between tries to tell the agent of notices.
const BACK_OFF: Duration = Duration::from_millis(100);
/// Notices that go in one request at most.
const NOTICES: usize = 200;
/// A list, or a line of the watch, that is longer is damage.
const LONGEST_LIST: usize = 4 << 20;

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
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("a line cannot be read: {0}")]
    Line(#[from] serde_json::Error),
    #[error("broken off, or longer than {LONGEST_LIST} bytes")]
    Long,
}

type Connection = SendRequest<Full<Bytes>>;

async fn connect(agent: &str) -> Result<Connection, AgentError> {
    let stream = timeout(ANSWER, TcpStream::connect(agent)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    Ok(sender)
}

/// Where discovery's agent is now; a new address is gone over to at once.
pub type Agent = watch::Receiver<String>;

/// Watches the list from the last version on. Ends never: what breaks is begun anew when `calls` says.
pub async fn watch(mut agent: Agent, mut rev: u64, mut calls: CallsForLists, driver: Inputs) {
    let mut down = false;
    // Another agent may know another list: it is asked for the whole of it first.
    let mut whole = timeout(calls.first(), agent.changed()).await.is_ok();
    loop {
        let address = agent.borrow_and_update().clone();
        let watching = watch_once(&address, &mut whole, &mut rev, &driver, &mut down, &mut calls);
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
        whole |= timeout(calls.after_failure(), agent.changed()).await.is_ok();
    }
}

async fn watch_once(
    agent: &str,
    whole: &mut bool,
    rev: &mut u64,
    driver: &Inputs,
    down: &mut bool,
    calls: &mut CallsForLists,
) -> Result<(), AgentError> {
    let mut connection = connect(agent).await?;
    if *whole {
        let request = Request::get("/v1/endpoints").header("Host", agent).body(Full::default())?;
        let list = timeout(ANSWER, fetch(&mut connection, request)).await??;
        // An agent that has heard less than the one before must not take back a drain.
        if list.rev >= *rev {
            *rev = list.rev;
            driver.tell(Input::Listed(Update { all: true, ..list })).await;
        }
        *whole = false;
        timeout(ANSWER, connection.ready()).await??;
    }
    let request = Request::get(format!("/v1/endpoints?watch=1&after={rev}"))
        .header("Host", agent)
        .body(Full::default())?;
    let response = timeout(ANSWER, connection.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(AgentError::Status(response.status()));
    }
    let mut body = response.into_body();
    let mut buffer = Vec::new();
    while let Some(part) = timeout(SILENCE, body.frame()).await? {
        calls.is_heard();
        if *down {
            info!(rev, "the list is being watched again");
            *down = false;
        }
        let Ok(data) = part?.into_data() else { continue };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            if !line.trim_ascii().is_empty() {
                let update: Update = serde_json::from_slice(&line)?;
                *rev = update.rev;
                driver.tell(Input::Listed(update)).await;
            }
        }
        if buffer.len() > LONGEST_LIST {
            return Err(AgentError::Long);
        }
    }
    Ok(())
}

/// The whole list.
async fn fetch(connection: &mut Connection, request: Request<Full<Bytes>>) -> Result<Update, AgentError> {
    let response = connection.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(AgentError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), LONGEST_LIST).collect().await;
    Ok(serde_json::from_slice(&body.map_err(|_| AgentError::Long)?.to_bytes())?)
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
pub async fn notices(mut agent: Agent, mut queue: Receiver<Notice>, driver: Inputs) {
    let mut connection = None;
    let mut batch = Vec::new();
    let mut down = false;
    while queue.recv_many(&mut batch, NOTICES).await > 0 {
        while !batch.is_empty() {
            if agent.has_changed().unwrap_or_default() {
                connection = None;
            }
            let address = agent.borrow_and_update().clone();
            let told = tokio::select! {
                told = tell(&address, &mut connection, &mut batch, &driver) => told,
                Ok(()) = agent.changed() => {
                    connection = None;
                    continue;
                }
            };
            match told {
                Ok(()) => down = false,
                Err(reason) => {
                    connection = None;
                    if !down {
                        warn!(%reason, waiting = batch.len(), "notices are not answered");
                        down = true;
                    }
                    let _ = timeout(BACK_OFF, agent.changed()).await;
                }
            }
        }
    }
}

/// Sends a batch of notices; those that are answered leave it.
async fn tell(
    agent: &str,
    connection: &mut Option<Connection>,
    batch: &mut Vec<Notice>,
    driver: &Inputs,
) -> Result<(), AgentError> {
    match post(agent, connection, batch.iter().map(line).collect()).await {
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
        match post(agent, connection, line(notice)).await {
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

async fn post(agent: &str, kept: &mut Option<Connection>, lines: String) -> Result<(), AgentError> {
    let mut connection = match kept.take().filter(|connection| !connection.is_closed()) {
        Some(connection) => connection,
        None => connect(agent).await?,
    };
    let request = Request::post("/v1/notices").header("Host", agent).body(Full::new(Bytes::from(lines)))?;
    let exchange = async {
        connection.ready().await?;
        let response: Response<Incoming> = connection.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        Ok::<_, hyper::Error>(status)
    };
    let status = timeout(ANSWER, exchange).await??;
    *kept = Some(connection);
    if status == StatusCode::NO_CONTENT {
        Ok(())
    } else {
        Err(AgentError::Status(status))
    }
}
