//! AgentState: an agent that lists endpoints, tells changes on watches and takes notices.

use super::call::CourierAction;
use super::http::{read_request, serve, Request};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};

/// An agent of discovery, and where it is.
pub struct Agent {
    pub(super) state: Arc<AgentState>,
    pub(super) address: SocketAddr,
}

impl Agent {
    /// An agent whose whole list is empty until the test sets one.
    pub(super) fn start(actions: &Sender<CourierAction>) -> Self {
        let state = Arc::new(AgentState::default());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (shared, actions) = (state.clone(), actions.clone());
        serve(listener, move |stream| serve_discovery(&shared, stream, &actions));
        Agent { state, address }
    }
}

/// What an agent says and hears.
#[derive(Default)]
pub(super) struct AgentState {
    /// What it answers when asked for the whole list.
    pub list: Mutex<String>,
    /// It takes watches and says nothing on them.
    pub silent: AtomicBool,
    /// It leaves notices unanswered.
    pub hold_notices: AtomicBool,
    /// Requests with notices so far.
    pub notices: AtomicU32,
    watches: Mutex<Watches>,
}

/// Open watches, and what was told so far: one that opens later is told it first.
#[derive(Default)]
struct Watches {
    open: Vec<TcpStream>,
    history: String,
    /// Version of the last change; none is older than the one before.
    rev: u32,
}

impl AgentState {
    /// Tells a change on every watch, open or yet to open.
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

    fn receive_notices(&self, request: &Request, actions: &Sender<CourierAction>, out: &mut TcpStream) {
        self.notices.fetch_add(1, Ordering::SeqCst);
        for line in String::from_utf8_lossy(&request.body).lines() {
            let _ = actions.send(CourierAction::Notice(line.to_owned()));
        }
        if !self.hold_notices.load(Ordering::SeqCst) {
            let _ = out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        }
    }

    fn send_list(&self, out: &mut TcpStream) {
        let list = self.list.lock().unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        let _ = out.write_all(format!("{head}{list}").as_bytes());
    }

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
