//! The stand-in for discovery: an agent that serves the list of endpoints, advertises changes on watches and receives
//! notices.

use super::call::CourierAction;
use super::http::{read_request, serve, Request};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};

/// A discovery agent and its address.
pub struct Agent {
    pub(super) state: Arc<AgentState>,
    pub(super) address: SocketAddr,
}

impl Agent {
    /// Starts an agent whose list is an empty text until the test sets it.
    pub(super) fn start(actions: &Sender<CourierAction>) -> Self {
        let state = Arc::new(AgentState::default());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (shared, actions) = (state.clone(), actions.clone());
        serve(listener, move |stream| serve_discovery(&shared, stream, &actions));
        Agent { state, address }
    }
}

/// What an agent shares with its connections.
#[derive(Default)]
pub(super) struct AgentState {
    /// The whole list as JSON.
    pub list: Mutex<String>,
    /// Whether requests for watches are left unanswered. The whole list is served nonetheless.
    pub silent: AtomicBool,
    /// Whether notices are left unanswered.
    pub ignore_notices: AtomicBool,
    /// Number of requests with notices so far.
    pub notice_requests: AtomicU32,
    watches: Mutex<Watches>,
}

/// Open watches, and all changes so far, which a new watch is sent first.
#[derive(Default)]
struct Watches {
    open: Vec<TcpStream>,
    /// All changes so far, as chunks of the response.
    history: String,
    /// Revision of the last change. It never decreases.
    rev: u32,
}

impl AgentState {
    /// Advertises a change on all watches, open ones and later ones.
    pub fn advertise(&self, rev: u32, targets: &[Value]) {
        let mut watches = self.watches.lock().unwrap();
        watches.rev = watches.rev.max(rev);
        let update = json!({"rev": watches.rev, "all": false, "targets": targets});
        let line = format!("{update}\n");
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        watches.history.push_str(&chunk);
        for watch in &mut watches.open {
            let _ = watch.write_all(chunk.as_bytes());
        }
    }

    /// Passes each notice of a request to the test, and answers the request.
    fn receive_notices(&self, request: &Request, actions: &Sender<CourierAction>, out: &mut TcpStream) {
        self.notice_requests.fetch_add(1, Ordering::SeqCst);
        for line in String::from_utf8_lossy(&request.body).lines() {
            let _ = actions.send(CourierAction::Notice(line.to_owned()));
        }
        if !self.ignore_notices.load(Ordering::SeqCst) {
            let _ = out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        }
    }

    /// Answers a request for the whole list.
    fn send_list(&self, out: &mut TcpStream) {
        let list = self.list.lock().unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        let _ = out.write_all(format!("{head}{list}").as_bytes());
    }

    /// Answers a request for a watch, with an empty line and all changes so far.
    fn open_watch(&self, out: &mut TcpStream) {
        let mut watches = self.watches.lock().unwrap();
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
        let _ = out.write_all(format!("{head}{}", watches.history).as_bytes());
        if let Ok(watch) = out.try_clone() {
            watches.open.push(watch);
        }
    }
}

/// Serves the requests of one connection.
fn serve_discovery(discovery: &AgentState, stream: TcpStream, actions: &Sender<CourierAction>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        if request.line.starts_with("POST /v1/notices ") {
            discovery.receive_notices(&request, actions, &mut out);
        } else if request.line.starts_with("GET /v1/endpoints ") {
            discovery.send_list(&mut out);
        } else if !discovery.silent.load(Ordering::SeqCst) {
            discovery.open_watch(&mut out);
        }
    }
}
