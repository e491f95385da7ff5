//! The stand-in for the partner register, which is the service discovery of couriers. Each courier has its own agent, which
//! serves the list of endpoints, advertises its changes on watches and receives notices.

use crate::http::{Request, RequestReader};
use crate::{ids, Recorder};
use gullcart_judge::trace::*;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Instant};

/// Interval of the empty lines that keep a watch alive while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// A change that the courier has not been sent after this time is recorded in the trace as advertised nonetheless, so that a
/// courier without an open watch does not escape the checks. While the agent is silent, it is not recorded.
const MAX_ADVERTISE_DELAY: Duration = Duration::from_secs(6);

/// An entry of the list, as one courier sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The partner that it belongs to.
    pub partner: PartnerId,
    /// Its address for this courier.
    pub address: SocketAddr,
    /// The partner's kind.
    pub kind: String,
    /// The zone.
    pub zone: String,
    /// The weight of the endpoint, in calls a second; the list has it as `capacity_hint`.
    pub weight: f64,
    /// The current state.
    pub state: EndpointState,
}

impl Target {
    fn json(&self) -> Value {
        let state = match self.state {
            EndpointState::Serving => "SERVING",
            EndpointState::Draining => "DRAINING",
            EndpointState::Gone => "DELETED",
        };
        json!({
            "uid": format!("s-{:08x}", self.endpoint.0), "endpoint": self.address.to_string(), "az": self.zone,
            "model": self.kind, "pod_group": self.partner.0, "state": state, "capacity_hint": self.weight,
            "boot_ms": 0,
        })
    }
}

/// A change of the list. `advertised` is set once the trace has the change as [`Event::Listed`].
struct Change {
    rev: u64,
    target: Target,
    advertised: Cell<bool>,
}

/// What an agent shares with its connections.
struct AgentState {
    courier: CourierId,
    recorder: Recorder,
    targets: RefCell<BTreeMap<EndpointId, Target>>,
    /// All changes of the run in order, never trimmed: a rehearsal has a few hundred at most.
    changes: RefCell<Vec<Change>>,
    rev: watch::Sender<u64>,
    silent: watch::Sender<bool>,
}

impl AgentState {
    /// The whole list as JSON.
    fn list(&self) -> String {
        let targets = self.targets.borrow();
        let listed: Vec<Value> =
            targets.values().filter(|target| target.state != EndpointState::Gone).map(Target::json).collect();
        json!({"rev": *self.rev.borrow(), "all": true, "targets": listed}).to_string()
    }

    /// Records that the state of an endpoint was advertised to the courier.
    fn record_listed(&self, endpoint: EndpointId, state: EndpointState) {
        self.recorder.record(Event::ListingUpdated { courier: self.courier, endpoint, state });
    }

    /// The changes after revision `after` as a line of the watch, with its revision. They are recorded as advertised.
    fn line_after(&self, after: u64) -> Option<(u64, String)> {
        let changes = self.changes.borrow();
        let new: Vec<&Change> = changes.iter().filter(|change| change.rev > after).collect();
        let last = new.last()?.rev;
        let targets: Vec<Value> = new.iter().map(|change| change.target.json()).collect();
        for change in &new {
            change.advertised.set(true);
            self.record_listed(change.target.endpoint, change.target.state);
        }
        Some((last, format!("{}\n", json!({"rev": last, "all": false, "targets": targets}))))
    }
}

/// The register's agent for one courier.
pub struct Agent {
    state: Rc<AgentState>,
    address: SocketAddr,
    serving: JoinHandle<()>,
}

impl Agent {
    /// Starts an agent with these list entries on a new port.
    pub async fn start(recorder: &Recorder, courier: CourierId, targets: Vec<Target>) -> io::Result<Self> {
        let state = Rc::new(AgentState {
            courier,
            recorder: recorder.clone(),
            targets: RefCell::new(targets.into_iter().map(|target| (target.endpoint, target)).collect()),
            changes: RefCell::default(),
            rev: watch::Sender::new(1),
            silent: watch::Sender::new(false),
        });
        Self::listen(state).await
    }

    /// Closes all connections, and serves the same list on a new port.
    pub async fn restart_at_new_address(self) -> io::Result<Self> {
        self.serving.abort();
        Self::listen(self.state.clone()).await
    }

    /// Serves the agent on a new port.
    async fn listen(state: Rc<AgentState>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let agent = state.clone();
        let serving = spawn_local(async move {
            // Dropped with this task, so that connections end when the agent changes its address.
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => {
                            let agent = agent.clone();
                            // Errors are ignored: they occur when a courier ends with open connections.
                            connections.spawn_local(async move { drop(serve(&agent, stream).await) });
                        }
                        Err(_) => sleep(Duration::from_millis(20)).await,
                    },
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(Agent { state, address, serving })
    }

    /// The address of the agent.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The current list, as JSON for the configuration's `known`.
    pub fn known_list(&self) -> String {
        self.state.list()
    }

    /// Adds or replaces a list entry, and advertises it. See [`MAX_ADVERTISE_DELAY`] for when it is recorded.
    pub fn update_target(&self, target: Target) {
        let rev = *self.state.rev.borrow() + 1;
        self.state.targets.borrow_mut().insert(target.endpoint, target.clone());
        self.state.changes.borrow_mut().push(Change { rev, target, advertised: Cell::new(false) });
        self.state.rev.send_replace(rev);
        let agent = self.state.clone();
        spawn_local(async move {
            sleep(MAX_ADVERTISE_DELAY).await;
            let mut silent = agent.silent.subscribe();
            let _ = silent.wait_for(|silent| !silent).await;
            let unadvertised = agent
                .changes
                .borrow()
                .iter()
                .find(|change| change.rev == rev && !change.advertised.get())
                .map(|change| {
                    change.advertised.set(true);
                    (change.target.endpoint, change.target.state)
                });
            if let Some((endpoint, state)) = unadvertised {
                agent.record_listed(endpoint, state);
            }
        });
    }

    /// Makes the agent silent, or ends its silence. A silent agent accepts connections and notices, but sends no list and no
    /// changes.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.send_replace(silent);
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

/// Serves the requests of one connection.
async fn serve(agent: &AgentState, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = RequestReader::default();
    while let Some(request) = reader.next(&mut stream, || agent.recorder.now()).await? {
        if request.method == "POST" && request.path == "/v1/notices" {
            receive_notices(agent, &mut stream, &request).await?;
        } else if request.method == "GET" && request.path == "/v1/endpoints" {
            wait_until_not_silent(agent).await;
            // The list advertises these states too: a draining endpoint has its state in it, a deleted one is left out.
            // Serving entries add no restriction and are not recorded.
            for target in
                agent.targets.borrow().values().filter(|target| target.state != EndpointState::Serving)
            {
                agent.record_listed(target.endpoint, target.state);
            }
            let list = agent.list();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            stream.write_all(format!("{head}{list}").as_bytes()).await?;
        } else if let Some(after) = request.path.strip_prefix("/v1/endpoints?watch=1&after=") {
            let after = after.parse().map_err(|_| io::Error::other("the revision is not a number"))?;
            return watch_from(agent, stream, after).await;
        } else {
            stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
        }
    }
    Ok(())
}

/// Waits while the agent is silent.
async fn wait_until_not_silent(agent: &AgentState) {
    let mut silent = agent.silent.subscribe();
    // This cannot fail: the agent holds the sender.
    let _ = silent.wait_for(|silent| !silent).await;
}

/// Sends the changes after revision `after` on a watch until the courier closes it.
async fn watch_from(agent: &AgentState, mut stream: TcpStream, mut after: u64) -> io::Result<()> {
    let chunk = |line: &str| format!("{:x}\r\n{line}\r\n", line.len());
    wait_until_not_silent(agent).await;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut rev = agent.rev.subscribe();
    let mut keepalive_due = Instant::now();
    loop {
        wait_until_not_silent(agent).await;
        rev.borrow_and_update();
        if let Some((last, line)) = agent.line_after(after) {
            after = last;
            stream.write_all(chunk(&line).as_bytes()).await?;
            keepalive_due = Instant::now() + KEEPALIVE_INTERVAL;
        }
        if Instant::now() >= keepalive_due {
            stream.write_all(chunk("\n").as_bytes()).await?;
            keepalive_due = Instant::now() + KEEPALIVE_INTERVAL;
        }
        let mut byte = [0];
        tokio::select! {
            changed = rev.changed() => changed.map_err(io::Error::other)?,
            () = sleep_until(keepalive_due) => {}
            readable = stream.readable() => {
                readable?;
                if matches!(stream.try_read(&mut byte), Ok(0)) {
                    return Ok(());
                }
            }
        }
    }
}

/// Records a request with notices and answers it. Notices before one that cannot be parsed are recorded too.
async fn receive_notices(agent: &AgentState, stream: &mut TcpStream, request: &Request) -> io::Result<()> {
    let mut received = Vec::new();
    for line in request.body.split(|byte| *byte == b'\n').filter(|line| !line.trim_ascii().is_empty()) {
        let Some((id, ended)) = read_notice(line) else {
            return stream.write_all(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").await;
        };
        let message = ids::parse_wire_id(&id);
        agent.recorder.record(Event::Notice { message, courier: agent.courier, verdict: ended });
        received.extend(message);
    }
    stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await?;
    for message in received {
        agent.recorder.record(Event::NoticeAnswered { message });
    }
    Ok(())
}

/// Parses a notice into the message id and the verdict.
fn read_notice(line: &[u8]) -> Option<(String, Verdict)> {
    let value: Value = serde_json::from_slice(line).ok()?;
    let ended = match value.get("state")?.as_str()? {
        "failed" => Verdict::Failed,
        "returned" => Verdict::Returned(value.get("after_ms").and_then(Value::as_u64)),
        _ => return None,
    };
    Some((value.get("id")?.as_str()?.to_owned(), ended))
}
