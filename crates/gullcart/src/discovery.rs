//! The list of endpoints, the watch on it, and the notices that end messages.

use bytes::Bytes;
use cloverstile::{DestinationId, Endpoint, EndpointId, KindId, Listing, Mode, Parsed, ZoneId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::timeout;
use tracing::{error, info, warn};

use crate::vocabulary::{Input, Notice};
use gullcart_message::{Target, Update, Verdict};

/// The agent is on this machine: what it does not answer in this time it does not answer now.
const ANSWER: Duration = Duration::from_millis(500);
/// The watch has an empty line every 2 s; silence for this long is an outage of discovery. What was missed counts
/// as told after 6 s, so that there is no time for a longer wait.
const SILENCE: Duration = Duration::from_secs(3);
/// Between tries to reach the agent.
const BACK_OFF: Duration = Duration::from_millis(100);
/// Notices that go in one request at most.
const NOTICES: usize = 200;
/// A list, or a line of the watch, that is longer is damage.
const LONGEST_LIST: usize = 4 << 20;

/// Numbers for the names that the list uses, and where each endpoint is found.
pub struct Directory {
    zones: Vec<String>,
    kinds: Vec<String>,
    last: u32,
    numbers: HashMap<String, EndpointId>,
    entries: BTreeMap<EndpointId, Entry>,
}

struct Entry {
    uid: String,
    zone: ZoneId,
    destination: DestinationId,
    address: Option<SocketAddr>,
    mode: Mode,
}

impl Directory {
    pub fn new(parsed: &Parsed) -> Self {
        Directory {
            zones: parsed.zone_names.clone(),
            kinds: parsed.kind_names.clone(),
            last: 0,
            numbers: HashMap::new(),
            entries: BTreeMap::new(),
        }
    }

    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.entries.get(&id).and_then(|entry| entry.address)
    }

    /// The address of some endpoint of another destination.
    #[cfg(feature = "broken")]
    pub fn elsewhere(&self, id: EndpointId) -> Option<SocketAddr> {
        let own = self.destination(id)?;
        self.entries.values().find(|entry| entry.destination != own && entry.mode == Mode::Ready)?.address
    }

    pub fn zone(&self, id: EndpointId) -> ZoneId {
        self.entries.get(&id).map_or(ZoneId(0), |entry| entry.zone)
    }

    pub fn destination(&self, id: EndpointId) -> Option<DestinationId> {
        self.entries.get(&id).map(|entry| entry.destination)
    }

    pub fn uid(&self, id: EndpointId) -> Option<&str> {
        self.entries.get(&id).map(|entry| entry.uid.as_str())
    }

    pub fn number(&self, uid: &str) -> Option<EndpointId> {
        self.numbers.get(uid).copied()
    }

    /// Whether an endpoint may be given new work.
    pub fn is_open(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.mode == Mode::Ready)
    }

    pub fn is_gone(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.mode == Mode::Gone)
    }

    /// Forgets the endpoints that are gone, but those that are still needed.
    pub fn forget_gone(&mut self, needed: impl Fn(EndpointId) -> bool) {
        self.entries.retain(|id, entry| entry.mode != Mode::Gone || needed(*id));
        self.numbers.retain(|_, id| self.entries.contains_key(id));
    }

    /// Takes news of the list in and words them for the module.
    pub fn apply(&mut self, update: &Update) -> Listing {
        if update.all {
            // What a whole list does not name is gone.
            self.entries.values_mut().for_each(|entry| entry.mode = Mode::Gone);
        }
        let entries = update.targets.iter().map(|target| self.entry(target)).collect();
        if update.all {
            Listing::Whole(entries)
        } else {
            Listing::Changes(entries)
        }
    }

    fn entry(&mut self, target: &Target) -> Endpoint {
        let id = *self.numbers.entry(target.uid.clone()).or_insert_with(|| {
            self.last += 1;
            EndpointId(self.last)
        });
        let address = target.endpoint.parse().ok();
        if address.is_none() {
            warn!(uid = target.uid, endpoint = target.endpoint, "an endpoint's address cannot be read");
        }
        let mode = match target.state.as_str() {
            "SERVING" if address.is_some() => Mode::Ready,
            "DELETED" => Mode::Gone,
            _ => Mode::Draining,
        };
        let zone = ZoneId(place(&mut self.zones, &target.az));
        let kind = KindId(place(&mut self.kinds, &target.model).into());
        let (uid, destination) = (target.uid.clone(), DestinationId(target.pod_group));
        self.entries.insert(id, Entry { uid, zone, destination, address, mode });
        Endpoint { id, zone, kind, destination, mode, weight: target.capacity_hint }
    }
}

/// The place of a name in the settings; names that these do not hold come after them, and share the last place
/// when there are too many.
fn place(names: &mut Vec<String>, name: &str) -> u8 {
    let at = names.iter().position(|known| known == name).unwrap_or_else(|| {
        if names.len() < usize::from(u8::MAX) {
            warn!(name, "the list uses a name that the settings do not hold");
            names.push(name.to_owned());
            return names.len() - 1;
        }
        names.len()
    });
    u8::try_from(at).unwrap_or(u8::MAX)
}

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
    #[error("broken off or without end")]
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

/// Watches the list from the last version on. Ends never: what breaks is begun anew after a short pause.
pub async fn watch(mut agent: Agent, mut rev: u64, driver: UnboundedSender<Input>) {
    let mut down = false;
    // Another agent may know another list: it is asked for the whole of it first.
    let mut whole = false;
    loop {
        let address = agent.borrow_and_update().clone();
        let watching = watch_once(&address, &mut whole, &mut rev, &driver, &mut down);
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
        whole |= timeout(BACK_OFF, agent.changed()).await.is_ok();
    }
}

async fn watch_once(
    agent: &str,
    whole: &mut bool,
    rev: &mut u64,
    driver: &UnboundedSender<Input>,
    down: &mut bool,
) -> Result<(), AgentError> {
    let mut connection = connect(agent).await?;
    if *whole {
        let request = Request::get("/v1/endpoints").header("Host", agent).body(Full::default())?;
        let list = timeout(ANSWER, fetch(&mut connection, request)).await??;
        // An agent that has heard less than the one before must not take back a drain.
        if list.rev >= *rev {
            *rev = list.rev;
            let _ = driver.send(Input::Listed(Update { all: true, ..list }));
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
                let _ = driver.send(Input::Listed(update));
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

impl Notice {
    fn line(&self) -> String {
        let mut value = match self.verdict {
            Verdict::Failed => serde_json::json!({"id": self.id, "state": "failed"}),
            Verdict::Returned { after_ms } => {
                serde_json::json!({"id": self.id, "state": "returned", "after_ms": after_ms})
            }
        }
        .to_string();
        value.push('\n');
        value
    }
}

/// Sends notices until each is answered, at a new address those that the old one has not answered. A notice that
/// comes twice does no harm, one that never comes does.
pub async fn notices(mut agent: Agent, mut queue: UnboundedReceiver<Notice>, driver: UnboundedSender<Input>) {
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
    driver: &UnboundedSender<Input>,
) -> Result<(), AgentError> {
    match post(agent, connection, batch.iter().map(Notice::line).collect()).await {
        // One bad line must not hold up the others: they go one by one, and it is let go.
        Err(AgentError::Status(StatusCode::BAD_REQUEST)) => {}
        result => {
            result?;
            let heard = batch.drain(..).map(|notice| notice.message).collect();
            let _ = driver.send(Input::Heard(heard));
            return Ok(());
        }
    }
    while let Some(notice) = batch.last() {
        match post(agent, connection, notice.line()).await {
            Err(refused @ AgentError::Status(StatusCode::BAD_REQUEST)) => {
                error!(id = notice.id, %refused, "a notice is not understood");
            }
            result => result?,
        }
        let _ = driver.send(Input::Heard(vec![notice.message]));
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
