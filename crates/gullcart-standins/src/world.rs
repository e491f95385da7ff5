//! What stands around a courier under test, on loopback sockets: endpoints whose every answer the test decides,
//! discovery, and clients. All ports are chosen by the system, and tests wait on what arrives.

use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than anything here takes; only a failing test waits for so long.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long nothing may happen where nothing should.
const QUIET: Duration = Duration::from_millis(300);

/// What the world has seen the courier do.
pub enum Seen {
    Call(Call),
    Notice(String),
}

/// A call out at an endpoint. One that is dropped unanswered hangs.
pub struct Call {
    pub endpoint: usize,
    pub id: String,
    pub body: Vec<u8>,
    headers: Vec<(String, String)>,
    answer: Sender<Option<Vec<u8>>>,
    connection: TcpStream,
}

impl Call {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn answer(self, status: &str, headers: &str) {
        self.raw(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n").as_bytes());
    }

    /// Answers with these bytes, whatever they say.
    pub fn raw(self, bytes: &[u8]) {
        let _ = self.answer.send(Some(bytes.to_vec()));
    }

    /// The endpoint's side of the connection, for what comes on it beside the answer.
    pub fn stream(&self) -> TcpStream {
        self.connection.try_clone().unwrap()
    }

    /// The courier's side of the connection that this call came on.
    pub fn connection(&self) -> SocketAddr {
        self.connection.peer_addr().unwrap()
    }

    /// Whether the courier has ended its sending on this call's connection.
    pub fn is_closed(&self) -> bool {
        let mut connection = &self.connection;
        connection.set_nonblocking(true).unwrap();
        !matches!(connection.read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    pub fn reset(self) {
        let _ = self.answer.send(None);
    }
}

struct Request {
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut text = String::new();
        stream.read_line(&mut text).ok().filter(|count| *count > 0)?;
        let Some((name, value)) = text.trim_end().split_once(": ") else { break };
        headers.push((name.to_ascii_lowercase(), value.to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = vec![0; length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(Request { line, headers, body })
}

/// Serves each connection on a thread of its own.
fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let each = each.clone();
            thread::spawn(move || each(stream));
        }
    });
}

fn serve_calls(endpoint: usize, stream: TcpStream, seen: &Sender<Seen>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(Request { headers, body, .. }) = read_request(&mut input) {
        let id = headers.iter().find(|(name, _)| name == "x-call-id").map(|(_, id)| id.clone());
        let (answer, answered) = channel();
        let Ok(connection) = out.try_clone() else { return };
        let call = Call { endpoint, id: id.unwrap_or_default(), body, headers, answer, connection };
        if seen.send(Seen::Call(call)).is_err() {
            return;
        }
        match answered.recv() {
            Ok(Some(bytes)) => drop(out.write_all(&bytes)),
            Ok(None) => drop(out.shutdown(Shutdown::Both)),
            // Hangs: until the courier closes.
            Err(_) => drop(input.read(&mut [0])),
        }
    }
}

/// An agent of discovery, and where it is.
pub struct Agent {
    state: Arc<Discovery>,
    address: SocketAddr,
}

impl Agent {
    fn start(seen: &Sender<Seen>) -> Self {
        let state = Arc::new(Discovery::default());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (shared, seen) = (state.clone(), seen.clone());
        serve(listener, move |stream| serve_discovery(&shared, stream, &seen));
        Agent { state, address }
    }
}

#[derive(Default)]
struct Discovery {
    /// What it answers when asked for the whole list.
    list: Mutex<String>,
    silent: AtomicBool,
    hold_notices: AtomicBool,
    notices: AtomicU32,
    watches: Mutex<Watches>,
}

/// Open watches, and what was told so far: one that opens later is told it first.
#[derive(Default)]
struct Watches {
    open: Vec<TcpStream>,
    told: String,
    /// Version of the last change; none is older than the one before.
    rev: u32,
}

fn serve_discovery(discovery: &Discovery, stream: TcpStream, seen: &Sender<Seen>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        if request.line.starts_with("POST /v1/notices ") {
            discovery.notices.fetch_add(1, Ordering::SeqCst);
            for line in String::from_utf8_lossy(&request.body).lines() {
                let _ = seen.send(Seen::Notice(line.to_owned()));
            }
            if !discovery.hold_notices.load(Ordering::SeqCst) {
                let _ = out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            }
        } else if request.line.starts_with("GET /v1/endpoints ") {
            let list = discovery.list.lock().unwrap();
            let _ = out.write_all(
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).as_bytes(),
            );
        } else if !discovery.silent.load(Ordering::SeqCst) {
            let mut watches = discovery.watches.lock().unwrap();
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
            let _ = out.write_all(format!("{head}{}", watches.told).as_bytes());
            if let Ok(watch) = out.try_clone() {
                watches.open.push(watch);
            }
        }
    }
}

/// A class of the settings: its name, effect, window in milliseconds, and whether it keeps its order.
fn class(aim: u64, name: &str, effect: &str, window: u64, order: bool) -> Value {
    json!({
        "Name": name, "Effect": effect, "Group": "all", "RepeatWindow": window * 1_000_000,
        "OneAtATime": order, "Worth": 1.0, "LateShare": 0.5,
        "Aim": aim * 1_000_000_000, "Deadline": aim * 8 * 1_000_000_000,
    })
}

/// A socket that is bound, and its address.
fn bound() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// A listener whose queue is full.
pub struct Hanging {
    listener: TcpListener,
    endpoint: usize,
    _fillers: Vec<TcpStream>,
}

pub struct World {
    program: String,
    folder: PathBuf,
    endpoints: Vec<SocketAddr>,
    /// Sockets that are bound and do not listen: connecting to one is refused, and nobody else gets its port.
    refusing: Vec<Socket>,
    discovery: Agent,
    seen: Receiver<Seen>,
    send: Sender<Seen>,
    aim: u64,
    pub most_held: u32,
    pub slots: u32,
    pub sockets: u32,
    /// Each endpoint has a destination of its own, from 1 on.
    pub apart: bool,
    /// Couriers that share the endpoints, as they are told.
    pub couriers: u32,
    /// Further variables that couriers are given.
    pub variables: Vec<(String, String)>,
    disk_mb: f64,
    _cleanup: Cleanup,
}

/// Removes the folder of a world at its end.
struct Cleanup(PathBuf);

impl Drop for Cleanup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl World {
    /// Endpoints of destination 1, all serving, and a disk of some size.
    pub fn new(program: &str, endpoints: usize, disk_mb: f64) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let own = format!("gullcart-test-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let folder = std::env::temp_dir().join(own);
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let (send, seen) = channel();
        let bind = || TcpListener::bind("127.0.0.1:0").unwrap();
        let mut addresses = Vec::new();
        for number in 0..endpoints {
            let listener = bind();
            addresses.push(listener.local_addr().unwrap());
            let send = send.clone();
            serve(listener, move |stream| serve_calls(number, stream, &send));
        }
        let discovery = Agent::start(&send);
        World {
            _cleanup: Cleanup(folder.clone()),
            program: program.to_owned(),
            folder,
            endpoints: addresses,
            refusing: Vec::new(),
            discovery,
            seen,
            send,
            aim: 3,
            most_held: 400,
            slots: 16,
            sockets: 1024,
            apart: false,
            couriers: 1,
            variables: Vec::new(),
            disk_mb,
        }
    }

    /// A world whose couriers have a console each, at a port of the system's choice.
    pub fn with_console(program: &str, endpoints: usize) -> Self {
        let mut world = World::new(program, endpoints, 3.0);
        world.variables.push(("BALANCER_CONSOLE".to_owned(), "127.0.0.1:0".to_owned()));
        world
    }

    /// Calls go where those of another world go, which is asked about them.
    pub fn call_where(&mut self, other: &World) {
        self.endpoints = other.endpoints.clone();
    }

    /// The next call before a moment, if one comes.
    pub fn call_until(&self, end: Instant) -> Option<Call> {
        loop {
            match self.seen.recv_timeout(end.saturating_duration_since(Instant::now())).ok()? {
                Seen::Call(call) => return Some(call),
                Seen::Notice(_) => {}
            }
        }
    }

    /// A world in which the module waits long before it gives anything up.
    pub fn patient(program: &str, endpoints: usize, disk_mb: f64) -> Self {
        World { aim: 100, ..World::new(program, endpoints, disk_mb) }
    }

    /// Puts an address that refuses connections in an endpoint's place.
    pub fn refuse_connections(&mut self, endpoint: usize) {
        let (socket, address) = bound();
        self.endpoints[endpoint] = address;
        self.refusing.push(socket);
    }

    /// Puts an address in an endpoint's place where connections do not come up: the queue of those that wait to
    /// be accepted is full. They do once the returned listener is served.
    pub fn hang_connections(&mut self, endpoint: usize) -> Hanging {
        let (socket, address) = bound();
        socket.listen(0).unwrap();
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, QUIET) {
            fillers.push(filler);
        }
        self.endpoints[endpoint] = address;
        Hanging { listener: socket.into(), endpoint, _fillers: fillers }
    }

    /// Lets the connections come up that hang.
    pub fn release(&self, hanging: Hanging) {
        let (send, endpoint) = (self.send.clone(), hanging.endpoint);
        serve(hanging.listener, move |stream| serve_calls(endpoint, stream, &send));
    }

    /// Tells the watch that other endpoints, at the same address, have come in the place of one: so many, one
    /// after the other, under ids with this number in them.
    pub fn replace(&self, endpoint: usize, number: u32, times: u32) {
        let mut targets = Vec::new();
        let entry = |uid: String, state| {
            let mut target = self.target(endpoint, state);
            target["uid"] = uid.into();
            target
        };
        targets.push(self.target(endpoint, "DELETED"));
        for time in 0..times {
            targets.push(entry(format!("s-{endpoint}-{number}-{time}"), "SERVING"));
            if time + 1 < times {
                targets.push(entry(format!("s-{endpoint}-{number}-{time}"), "DELETED"));
            }
        }
        if number > 0 {
            targets.push(entry(format!("s-{endpoint}-{}-{}", number - 1, times - 1), "DELETED"));
        }
        self.tell(10 + number, &targets);
    }

    fn target(&self, endpoint: usize, state: &str) -> Value {
        let destination = if self.apart { endpoint + 1 } else { 1 };
        json!({
            "uid": format!("s-{endpoint}"), "endpoint": self.endpoints[endpoint].to_string(), "az": "kingston",
            "model": "banks", "pod_group": destination, "state": state, "capacity_hint": 1000.0, "boot_ms": 0,
        })
    }

    pub fn start(&self) -> Courier<'_> {
        self.configure(&self.discovery);
        Courier::start(self)
    }

    pub fn start_at(&self, agent: &Agent) -> Courier<'_> {
        self.configure(agent);
        Courier::start(self)
    }

    /// An agent whose every byte the test decides: it is given each connection, with its number from zero on.
    pub fn raw_agent(&self, each: impl Fn(usize, TcpStream) + Clone + Send + 'static) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let count = Arc::new(AtomicU32::new(0));
        serve(listener, move |stream| each(count.fetch_add(1, Ordering::SeqCst) as usize, stream));
        Agent { state: Arc::default(), address }
    }

    /// A change of the list that tells the state of one endpoint.
    pub fn change(&self, rev: u32, endpoint: usize, state: &str) -> Value {
        json!({"rev": rev, "all": false, "targets": [self.target(endpoint, state)]})
    }

    /// Another agent, which knows that an endpoint drains.
    pub fn agent_with_drain(&self, endpoint: usize) -> Agent {
        let agent = Agent::start(&self.send);
        let state = |at| if at == endpoint { "DRAINING" } else { "SERVING" };
        let targets: Vec<Value> = (0..self.endpoints.len()).map(|at| self.target(at, state(at))).collect();
        *agent.state.list.lock().unwrap() = json!({"rev": 5, "all": true, "targets": targets}).to_string();
        agent
    }

    /// Puts other words in the place of the configuration.
    pub fn spoil_configuration(&self) {
        std::fs::write(self.folder.join("config.json"), "{\"name\":").unwrap();
    }

    /// Writes the configuration, with discovery at some agent.
    pub fn configure(&self, agent: &Agent) {
        let targets: Vec<Value> = (0..self.endpoints.len()).map(|at| self.target(at, "SERVING")).collect();
        let classes = [
            class(self.aim, "notice", "idempotency_key", 10_000, true),
            class(self.aim, "brief", "idempotency_key", 400, true),
            class(self.aim, "salary", "non_idempotent", 0, false),
        ];
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": agent.address.to_string(), "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets, "disk_mb": self.disk_mb},
            "known": {"rev": 1, "all": true, "targets": targets},
            "settings": {
                "Balancers": self.couriers, "Lanes": classes, "MachineTypes": ["banks"], "Zones": ["kingston"],
                "WeightSource": "nominal", "FamilyInfo": {"CallsOut": self.slots, "KindBatch": [1], "OwnLimits": [false]},
                "Permissions": {"MostHeld": self.most_held, "SendCap": 8, "Cancel": true, "ConnIdle": 15_000_000_000_u64, "ConnectTimeout": 5_000_000_000_u64},
                "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Fall": 2_000_000_000},
            },
        });
        let new = self.folder.join("config.new");
        std::fs::write(&new, config.to_string()).unwrap();
        std::fs::rename(new, self.folder.join("config.json")).unwrap();
    }

    /// The next thing that the courier does.
    pub fn call_or_notice(&self) -> Seen {
        self.seen.recv_timeout(PATIENCE).expect("the courier does something")
    }

    pub fn call(&self) -> Call {
        match self.call_or_notice() {
            Seen::Call(call) => call,
            Seen::Notice(line) => panic!("a call was due, not the notice {line}"),
        }
    }

    /// The next call; notices may be repeated meanwhile.
    pub fn call_among_notices(&self) -> Call {
        loop {
            if let Seen::Call(call) = self.call_or_notice() {
                return call;
            }
        }
    }

    pub fn notice(&self) -> String {
        match self.call_or_notice() {
            Seen::Notice(line) => line,
            Seen::Call(call) => panic!("a notice was due, not a call for {}", call.id),
        }
    }

    /// No call for a while; notices may be repeated.
    pub fn no_call(&self) {
        let end = Instant::now() + QUIET;
        while let Ok(seen) = self.seen.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if let Seen::Call(call) = seen {
                panic!("nothing was to be sent, but {} was", call.id);
            }
        }
    }

    pub fn nothing(&self) {
        match self.seen.recv_timeout(QUIET) {
            Ok(Seen::Call(call)) => panic!("nothing was to be sent, but {} was", call.id),
            Ok(Seen::Notice(line)) => panic!("nothing was to be told, but {line} was"),
            Err(_) => {}
        }
    }

    /// How many requests with notices an agent has had.
    pub fn notices_at(&self, agent: &Agent) -> u32 {
        agent.state.notices.load(Ordering::SeqCst)
    }

    pub fn hold_notices(&self, hold: bool) {
        self.discovery.state.hold_notices.store(hold, Ordering::SeqCst);
    }

    /// Tells the watch that an endpoint drains.
    pub fn drain(&self, endpoint: usize) {
        self.tell(2, &[self.target(endpoint, "DRAINING")]);
    }

    /// Tells the watch that an endpoint is gone.
    pub fn remove(&self, endpoint: usize) {
        self.tell(2, &[self.target(endpoint, "DELETED")]);
    }

    pub fn tell(&self, rev: u32, targets: &[Value]) {
        let mut watches = self.discovery.state.watches.lock().unwrap();
        watches.rev = watches.rev.max(rev);
        let update = json!({"rev": watches.rev, "all": false, "targets": targets});
        let line = format!("{update}\n");
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        watches.told.push_str(&chunk);
        for watch in &mut watches.open {
            let _ = watch.write_all(chunk.as_bytes());
        }
    }

    /// So many more endpoints, all at the address of the first one, at destinations from 2 on.
    fn many(&self, count: usize, state: &str) -> Vec<Value> {
        let entry = |number: usize| {
            let mut target = self.target(0, state);
            target["uid"] = format!("many-{number}").into();
            target["pod_group"] = (2 + number / 2).into();
            target
        };
        (0..count).map(entry).collect()
    }

    /// Tells the watch of so many more endpoints in one change.
    pub fn tell_many(&self, rev: u32, count: usize, state: &str) {
        self.tell(rev, &self.many(count, state));
    }

    /// Another agent, with so many more endpoints in its whole list.
    pub fn agent_with_many(&self, rev: u32, count: usize, state: &str) -> Agent {
        let agent = Agent::start(&self.send);
        let targets = [vec![self.target(0, "SERVING")], self.many(count, state)].concat();
        *agent.state.list.lock().unwrap() = json!({"rev": rev, "all": true, "targets": targets}).to_string();
        agent
    }

    /// Discovery takes connections and says nothing.
    pub fn silence_discovery(&self, silent: bool) {
        self.discovery.state.silent.store(silent, Ordering::SeqCst);
    }

    pub fn disk_used(&self) -> u64 {
        let files = std::fs::read_dir(self.folder.join("state")).unwrap();
        files.map(|file| file.unwrap().metadata().map_or(0, |data| data.len().div_ceil(512) * 512)).sum()
    }

    /// What a courier says that does not start, and its exit status.
    pub fn refuse_to_start(&self) -> (String, ExitStatus) {
        self.configure(&self.discovery);
        let output = Command::new(&self.program)
            .env("BALANCER_STATE", self.state())
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .envs(self.variables.iter().map(|(name, value)| (name, value)))
            .output()
            .unwrap();
        (String::from_utf8_lossy(&output.stderr).into_owned(), output.status)
    }

    /// The folder that outlasts the courier.
    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Where the configuration lies, and other files may.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// What a courier says that does not start with the configuration as it lies there, and its exit status.
    pub fn start_as_configured(&self) -> (String, ExitStatus) {
        let output = self.command().output().unwrap();
        (String::from_utf8_lossy(&output.stderr).into_owned(), output.status)
    }

    /// Starts a courier that ends at once; what it says of that.
    pub fn start_fails(&self) -> String {
        self.configure(&self.discovery);
        let output = self.command().output().unwrap();
        assert!(!output.status.success());
        String::from_utf8_lossy(&output.stderr).into_owned()
    }

    fn command(&self) -> Command {
        let mut command = Command::new(&self.program);
        command
            .env("BALANCER_STATE", self.state())
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .envs(self.variables.iter().map(|(name, value)| (name, value)));
        command
    }

    /// Writes behind the last record of the journal.
    pub fn append_to_journal(&self, bytes: &[u8]) {
        let files = std::fs::read_dir(self.state()).unwrap().map(|file| file.unwrap().path());
        let last = files.filter(|path| path.extension().is_some_and(|end| end == "seg")).max().unwrap();
        let mut all = std::fs::read(&last).unwrap();
        // A record may end in a few zeros.
        all.truncate(all.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 8));
        all.extend_from_slice(bytes);
        std::fs::write(last, all).unwrap();
    }
}

#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    more: Condvar,
}

/// A running courier; it is killed when dropped.
pub struct Courier<'a> {
    world: &'a World,
    child: Child,
    log: Arc<Log>,
    address: SocketAddr,
}

impl<'a> Courier<'a> {
    fn start(world: &'a World) -> Self {
        let mut child = world.command().stderr(Stdio::piped()).spawn().unwrap();
        let log = Arc::new(Log::default());
        let (errors, shared) = (BufReader::new(child.stderr.take().unwrap()), log.clone());
        thread::spawn(move || {
            for line in errors.lines().map_while(Result::ok) {
                shared.lines.lock().unwrap().push(line);
                shared.more.notify_all();
            }
        });
        let mut courier = Courier { world, child, log, address: SocketAddr::from(([127, 0, 0, 1], 0)) };
        let line = courier.log_until("listening");
        let address = line.split_once("address=").map(|(_, rest)| rest.split_whitespace().next());
        courier.address = address.flatten().unwrap().parse().unwrap();
        courier
    }

    /// Waits for a line of the log that holds some words, and returns it.
    pub fn log_until(&self, words: &str) -> String {
        self.log_times(words, 1)
    }

    /// Waits for so many such lines, and returns the last of them.
    pub fn log_times(&self, words: &str, times: usize) -> String {
        let end = Instant::now() + PATIENCE;
        let mut lines = self.log.lines.lock().unwrap();
        loop {
            if let Some(line) = lines.iter().filter(|line| line.contains(words)).nth(times - 1) {
                return line.clone();
            }
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "the log never says '{words}': {lines:#?}");
            lines = self.log.more.wait_timeout(lines, left).unwrap().0;
        }
    }

    /// Waits for a line of the log that holds both words, and returns it.
    pub fn log_until_both(&self, words: &str, more: &str) -> String {
        let mut times = 1;
        loop {
            let line = self.log_times(words, times);
            if line.contains(more) {
                return line;
            }
            times += 1;
        }
    }

    /// Where its console listens.
    pub fn console(&self) -> SocketAddr {
        let line = self.log_until("the console is open");
        let address = line.split_once("address=").and_then(|(_, rest)| rest.split_whitespace().next());
        address.unwrap().trim_matches('"').parse().unwrap()
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { stream: BufReader::new(stream) }
    }

    pub fn kill(mut self) -> Stopped<'a> {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        Stopped { world: self.world }
    }

    pub fn kill_and_restart(self) -> Courier<'a> {
        self.kill().restart()
    }

    /// Stops the process for as long as something is done.
    pub fn while_stopped(&self, act: impl FnOnce()) {
        self.signal("STOP");
        act();
        self.signal("CONT");
    }

    /// Names of the threads of the process.
    pub fn threads(&self) -> Vec<String> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let names = tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("comm")).ok());
        names.map(|name| name.trim().to_owned()).collect()
    }

    /// Descriptors that the process holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Processor time of the process so far, in clock ticks.
    pub fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        // Behind the name, which ends in a bracket: the twelfth and thirteenth field.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Memory of the process that is in use, in KiB.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn hang_up(&self) {
        self.signal("HUP");
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let signal = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &signal]).status().unwrap().success());
    }

    /// Waits for the process to end by itself.
    pub fn wait(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "the process did not end in {limit:?}");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Courier<'_> {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Stopped<'a> {
    world: &'a World,
}

impl<'a> Stopped<'a> {
    pub fn restart(self) -> Courier<'a> {
        Courier::start(self.world)
    }
}

pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn send(&mut self, bytes: &[u8]) {
        // A courier that has had enough of bad input may close before all of it is written.
        let _ = self.try_send(bytes);
    }

    pub fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Ends the sending side.
    pub fn end(&mut self) {
        self.stream.get_mut().shutdown(Shutdown::Write).unwrap();
    }

    /// Limits how long a read may take.
    pub fn within(self, limit: Duration) -> Self {
        self.stream.get_ref().set_read_timeout(Some(limit)).unwrap();
        self
    }

    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.stream.read_line(&mut line).unwrap();
        line.trim_end().to_owned()
    }

    pub fn ask<W: AsRef<[u8]>>(&mut self, words: &[W]) -> String {
        self.command(words);
        self.line()
    }

    fn command<W: AsRef<[u8]>>(&mut self, words: &[W]) {
        let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
        for word in words.iter().map(AsRef::as_ref) {
            bytes.extend(format!("${}\r\n", word.len()).as_bytes());
            bytes.extend(word);
            bytes.extend(b"\r\n");
        }
        self.send(&bytes);
    }

    /// Hands a message in; `class` may carry further fields.
    pub fn enqueue(&mut self, id: &str, key: &str, class: &str, destination: u32, body: &[u8]) -> String {
        self.begin_enqueue(id, key, class, destination, body);
        self.line()
    }

    /// Sends a hand-in without waiting for its answer.
    pub fn begin_enqueue(&mut self, id: &str, key: &str, class: &str, destination: u32, body: &[u8]) {
        let fields = format!("d=20000,c={class},dest={destination}");
        self.command(&[b"ENQUEUE", key.as_bytes(), id.as_bytes(), fields.as_bytes(), body]);
    }

    /// Waits until the courier has ended its sending: the bytes that came before that.
    pub fn until_end(&mut self) -> std::io::Result<String> {
        let mut rest = String::new();
        self.stream.read_to_string(&mut rest)?;
        Ok(rest)
    }

    /// Whether the courier closes the connection without a word.
    pub fn is_closed(&mut self) -> bool {
        match self.stream.read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }
}
