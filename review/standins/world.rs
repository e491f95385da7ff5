//! Stand-ins of clients, endpoints and discovery, written from the protocol page, and a courier as a separate process.
//! Standard library only. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}
/// Asks the kernel for a signal to a process when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run: what was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
    /// When the writing of a first line with 200 was begun for a message.
    delivered: Arc<Mutex<BTreeMap<String, f64>>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).unwrap())),
            delivered: Arc::default(),
        }
    }
    /// The messages for which a first line with 200 was written, and when that was begun.
    pub fn delivered(&self) -> BTreeMap<String, f64> {
        self.delivered.lock().unwrap().clone()
    }
    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }
    pub fn line(&self, text: &str) {
        let line = format!("{:10.1} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
    /// A line that is printed too.
    pub fn say(&self, text: &str) {
        self.line(text);
        let _ = writeln!(std::io::stdout(), "{text}");
    }
}

/// Whether the run is one with the disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The temporary folder, to be removed however the run ends.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);
/// A run that takes longer could not be run.
const LONGEST_RUN: Duration = Duration::from_secs(116);

fn remove_folder() {
    let folder = FOLDER.lock().ok().and_then(|mut folder| folder.take());
    if let Some(folder) = folder.filter(|_| std::env::var_os("KEEP").is_none()) {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Ends a run that cannot be judged. The kernel ends the couriers with this process.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    remove_folder();
    record.say(&format!("RESULT could not run: {why}"));
    std::process::exit(2)
}

/// Ends a run with its verdict.
pub fn finish(record: &Record, broken: &[String]) -> ! {
    if broken.is_empty() {
        record.say("RESULT the rule held");
        std::process::exit(0)
    }
    record.say(&format!("RESULT the rule was broken {} times", broken.len()));
    broken.iter().take(40).for_each(|line| record.say(&format!("  {line}")));
    std::process::exit(1)
}

/// A free port on the loopback address.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

// ---- HTTP ----

pub struct HttpRequest {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one request; none when the connection ends before its last byte.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpRequest { line: line.trim_end().to_owned(), headers, body })
}

// ---- Endpoints ----

/// A call whose last byte has come.
#[derive(Clone, Debug)]
pub struct Call {
    /// When its last byte came, in milliseconds of the record.
    pub at: f64,
    pub id: String,
    pub key: String,
    pub endpoint: usize,
    /// The other side's port.
    pub port: u16,
    /// Calls on the connection before this one.
    pub earlier: usize,
}

/// What an endpoint does with a call.
pub enum Reply {
    /// Answers after a delay: status line behind the version, and header lines that each end in CR LF.
    Answer(Duration, String, String),
    /// Never answers, and keeps the connection until the other side ends it.
    Silence,
}

pub type Handler = Arc<dyn Fn(&Call) -> Reply + Send + Sync>;

/// Starts an endpoint; returns its address. Answers have a body of their own each.
pub fn endpoint(record: &Record, number: usize, calls: Arc<Mutex<Vec<Call>>>, handler: Handler) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    serve_endpoint(record, listener, number, calls, handler);
    address
}

pub fn serve_endpoint(
    record: &Record,
    listener: TcpListener,
    number: usize,
    calls: Arc<Mutex<Vec<Call>>>,
    handler: Handler,
) {
    static ANSWERS: AtomicU64 = AtomicU64::new(1);
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let (record, calls, handler) = (record.clone(), calls.clone(), handler.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(peer) = stream.peer_addr() else { return };
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                let mut earlier = 0;
                while let Some(request) = read_request(&mut reader) {
                    let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
                    let call = Call {
                        at: record.now(),
                        id: header("x-call-id"),
                        key: header("idempotency-key"),
                        endpoint: number,
                        port: peer.port(),
                        earlier,
                    };
                    earlier += 1;
                    record.line(&format!(
                        "endpoint {number}: call {} has come whole, from port {}, earlier calls on it {}",
                        call.id, call.port, call.earlier
                    ));
                    calls.lock().unwrap().push(call.clone());
                    match handler(&call) {
                        Reply::Silence => {
                            let mut rest = [0; 64];
                            while matches!(reader.read(&mut rest), Ok(1..)) {}
                            return;
                        }
                        Reply::Answer(delay, status, headers) => {
                            thread::sleep(delay);
                            let body = format!("{:016x}", ANSWERS.fetch_add(1, Ordering::SeqCst) * 0x9e37_79b9_7f4a_7c15 % 0xffff_ffff_ffff);
                            let text = format!(
                                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}",
                                body.len()
                            );
                            let begun = record.now();
                            let written = out.write_all(text.as_bytes()).is_ok();
                            if written && status.starts_with("200") {
                                record.delivered.lock().unwrap().entry(call.id.clone()).or_insert(begun);
                            }
                            record.line(&format!(
                                "endpoint {number}: call {} answered {status} {} (written: {written})",
                                call.id,
                                headers.trim_end()
                            ));
                            if !written {
                                return;
                            }
                        }
                    }
                }
            });
        }
    });
}

// ---- Discovery ----

#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub address: String,
    pub destination: u32,
    pub state: String,
    /// Calls a second that the destination takes from all couriers together.
    pub rate: f64,
}

impl Target {
    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"a\",\"model\":\"banks\",\"pod_group\":{},\"state\":\"{}\",\"capacity_hint\":{:.1},\"boot_ms\":0}}",
            self.uid, self.address, self.destination, self.state, self.rate
        )
    }
}

pub fn list_json(rev: u64, all: bool, targets: &[Target]) -> String {
    let entries: Vec<String> = targets.iter().map(Target::json).collect();
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}", entries.join(","))
}

#[derive(Default)]
struct AgentState {
    rev: u64,
    targets: Vec<Target>,
    watches: Vec<TcpStream>,
    notices: Vec<(f64, String)>,
}

/// Discovery's agent: answers at once with what it has.
#[derive(Clone)]
pub struct Agent {
    pub address: String,
    record: Record,
    name: String,
    state: Arc<Mutex<AgentState>>,
    silent: Arc<AtomicBool>,
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\r\n", line.len())
}

impl Agent {
    pub fn start(record: &Record, name: &str, rev: u64, targets: Vec<Target>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let agent = Agent {
            address: listener.local_addr().unwrap().to_string(),
            record: record.clone(),
            name: name.to_owned(),
            state: Arc::new(Mutex::new(AgentState { rev, targets, ..AgentState::default() })),
            silent: Arc::default(),
        };
        let served = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = served.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        let beating = agent.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_secs(2));
            let mut state = beating.state.lock().unwrap();
            if !beating.silent.load(Ordering::SeqCst) {
                state.watches.retain_mut(|watch| watch.write_all(chunk("\n").as_bytes()).is_ok());
            }
        });
        agent
    }

    /// Silent as while discovery is down: no list and nothing on watches; notices are answered all the same.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if request.line.starts_with("POST /v1/notices") {
                let now = self.record.now();
                for line in String::from_utf8_lossy(&request.body).lines() {
                    self.record.line(&format!("{}: notice {line}", self.name));
                    self.state.lock().unwrap().notices.push((now, line.to_owned()));
                }
                let _ = out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            } else if self.silent.load(Ordering::SeqCst) {
                let mut rest = [0; 64];
                while matches!(reader.read(&mut rest), Ok(1..)) {}
                return;
            } else if request.line.starts_with("GET /v1/endpoints?watch=1") {
                self.record.line(&format!("{}: {}", self.name, request.line));
                let after = request.line.split("after=").nth(1).unwrap_or("0");
                let after: u64 = after.split(|c: char| !c.is_ascii_digit()).next().unwrap_or("0").parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                let _ = out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                // The whole list where the versions differ, and an empty line otherwise.
                let first = match after == state.rev {
                    true => "\n".to_owned(),
                    false => list_json(state.rev, true, &state.targets) + "\n",
                };
                let _ = out.write_all(chunk(&first).as_bytes());
                state.watches.push(out);
                drop(state);
                let mut rest = [0; 64];
                while matches!(reader.read(&mut rest), Ok(1..)) {}
                return;
            } else if request.line.starts_with("GET /v1/endpoints") {
                self.record.line(&format!("{}: {}", self.name, request.line));
                let state = self.state.lock().unwrap();
                let body = list_json(state.rev, true, &state.targets);
                let _ = write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            } else {
                let _ = out.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    /// Changes entries and tells them on all watches. Returns when that was written.
    pub fn change(&self, changed: &[Target]) -> f64 {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        for target in changed {
            state.targets.retain(|known| known.uid != target.uid);
            if target.state != "DELETED" {
                state.targets.push(target.clone());
            }
        }
        let line = list_json(state.rev, false, changed) + "\n";
        self.record.line(&format!("{}: tells {}", self.name, line.trim_end()));
        if !self.silent.load(Ordering::SeqCst) {
            state.watches.retain_mut(|watch| watch.write_all(chunk(&line).as_bytes()).is_ok());
        }
        self.record.now()
    }

    pub fn notices(&self) -> Vec<(f64, String)> {
        self.state.lock().unwrap().notices.clone()
    }
}

// ---- Clients ----

/// A message to hand in.
#[derive(Clone, Debug)]
pub struct Message {
    pub id: String,
    pub class: String,
    /// The key of the order; 0 for none.
    pub key: u64,
    pub destination: u32,
    pub budget_ms: u64,
    pub body: String,
}

/// What became of a message at the door.
#[derive(Clone, Debug)]
pub struct HandedIn {
    pub message: Message,
    /// When the last byte of the request was written, for the last time that it was sent.
    pub sent_at: f64,
    /// How often the request was written.
    pub times_sent: u32,
    pub answered_at: f64,
    /// Empty when there was none.
    pub answer: String,
}

fn bulk(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n", word.len()).into_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

pub fn enqueue_bytes(message: &Message) -> Vec<u8> {
    let key = format!("{:016x}", message.key);
    let mut fields = format!("c={},d={}", message.class, message.budget_ms);
    if message.class == "pay-notice" {
        fields += &format!(",k=k{}", message.id);
    }
    fields += &format!(",dest={}", message.destination);
    bulk(&[b"ENQUEUE", key.as_bytes(), message.id.as_bytes(), fields.as_bytes(), message.body.as_bytes()])
}

/// One line of an answer; none when the connection ended or the time was up.
fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(1..) if line.ends_with('\n') => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

pub fn ping(address: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(ms(400)));
    if stream.write_all(&bulk(&[b"PING"])).is_err() {
        return false;
    }
    read_line(&mut BufReader::new(stream)).as_deref() == Some("+PONG")
}

/// A client's connection.
pub struct Client {
    address: String,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
}

impl Client {
    pub fn new(address: &str) -> Self {
        Client { address: address.to_owned(), connection: None }
    }

    fn connect(&mut self) -> Option<()> {
        let stream = TcpStream::connect(&self.address).ok()?;
        stream.set_nodelay(true).ok()?;
        // A client waits 400 ms for its answer.
        stream.set_read_timeout(Some(ms(400))).ok()?;
        self.connection = Some((stream.try_clone().ok()?, BufReader::new(stream)));
        Some(())
    }

    /// Closes the connection if the courier has shut it down meanwhile.
    fn drop_if_shut(&mut self) {
        let is_shut = self.connection.as_ref().is_some_and(|(stream, _)| {
            let _ = stream.set_nonblocking(true);
            let peeked = stream.peek(&mut [0]);
            let _ = stream.set_nonblocking(false);
            !matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
        });
        if is_shut {
            self.connection = None;
        }
    }

    /// Hands a message in, and waits for the answer. A request that crosses the end of a connection that was used before is
    /// sent once more on a new one.
    pub fn hand_in(&mut self, record: &Record, message: &Message) -> HandedIn {
        let began_at = record.now();
        let (mut sent_at, mut times_sent) = (began_at, 0);
        let mut answer = String::new();
        for _ in 0..2 {
            self.drop_if_shut();
            let was_used = self.connection.is_some();
            if !was_used && self.connect().is_none() {
                break;
            }
            let Some((stream, reader)) = &mut self.connection else { break };
            let written = stream.write_all(&enqueue_bytes(message));
            (sent_at, times_sent) = (record.now(), times_sent + 1);
            let line = written.ok().and_then(|()| read_line(reader));
            if let Some(line) = line {
                answer = line;
                break;
            }
            self.connection = None;
            let is_late = record.now() - began_at >= 399.0;
            if !was_used || is_late {
                break;
            }
        }
        let answered_at = record.now();
        record.line(&format!(
            "client: {} class {} key {:x} dest {} sent at {sent_at:.1}, answer {answer:?}",
            message.id, message.class, message.key, message.destination
        ));
        HandedIn { message: message.clone(), sent_at, times_sent, answered_at, answer }
    }
}

/// Hands messages to a front.
#[derive(Clone)]
pub struct FrontSender(Arc<(Mutex<VecDeque<Message>>, Condvar)>);

impl FrontSender {
    pub fn send(&self, message: Message) {
        self.0 .0.lock().unwrap().push_back(message);
        self.0 .1.notify_one();
    }
}

impl HandedIn {
    /// Whether its client sent it once and heard that it is taken on. What a client does not hear of counts for nothing.
    pub fn was_taken_once(&self) -> bool {
        self.times_sent == 1 && self.answer.starts_with("+OK")
    }
}

/// Client programs with a connection each. A message goes to one that is free.
pub struct Front {
    jobs: Arc<(Mutex<VecDeque<Message>>, Condvar)>,
    pub done: Arc<Mutex<Vec<HandedIn>>>,
}

impl Front {
    pub fn new(record: &Record, address: &str, connections: usize) -> Self {
        let front = Front { jobs: Arc::default(), done: Arc::default() };
        for _ in 0..connections {
            let (jobs, done, record) = (front.jobs.clone(), front.done.clone(), record.clone());
            let mut client = Client::new(address);
            thread::spawn(move || loop {
                let message = {
                    let mut queue = jobs.0.lock().unwrap();
                    loop {
                        if let Some(message) = queue.pop_front() {
                            break message;
                        }
                        queue = jobs.1.wait(queue).unwrap();
                    }
                };
                let handed_in = client.hand_in(&record, &message);
                done.lock().unwrap().push(handed_in);
            });
        }
        front
    }

    pub fn sender(&self) -> FrontSender {
        FrontSender(self.jobs.clone())
    }

    pub fn send(&self, message: Message) {
        self.sender().send(message);
    }
}

// ---- Couriers ----

/// Settings like those of a small deployment: a few couriers, a few dozen endpoints.
pub fn settings(couriers: u32, slots: u32, held: u32) -> String {
    format!(
        r#"{{"Balancers":{couriers},"Family":"deliver","Discovery":"push","WeightSource":"nominal","Zones":["a"],
"MachineTypes":["banks"],"Tick":5000000,
"FamilyInfo":{{"CallsOut":{slots},"Decay":"line","KindBatch":[1],"OwnLimits":[false]}},
"Lanes":[
{{"Name":"pay-notice","Effect":"idempotency_key","Group":"all","RepeatWindow":10000000000,"OneAtATime":true,"Worth":1.0,"LateShare":0.5,"Aim":3000000000,"Deadline":24000000000}},
{{"Name":"salary-payment","Effect":"non_idempotent","Group":"all","RepeatWindow":5000000000,"Worth":3.0,"LateShare":0.4,"Aim":3000000000,"Deadline":24000000000}}],
"Permissions":{{"Cancel":true,"ConnIdle":15000000000,"ConnectTimeout":1000000000,"MostHeld":{held},"SendCap":8,"Probes":false,"Peers":false,"RetryAfter":false,"SecondCopies":false,"MaxStreams":1,"MaxRetryAfter":2000000000}},
"Report":{{"Source":"piggyback","Fields":["x0","x1"]}},
"Rules":{{"AnswerSlack":20000000,"Cold":14000000000,"ColdFrom":0.16,"Fall":2000000000,"OrderSettle":100000000,"StopSendingWithin":2000000000,"TipMultiple":2.5}}}}"#
    )
}

/// What a courier is started with.
#[derive(Clone)]
pub struct Setup {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub name: String,
    pub listen: String,
    pub discovery: String,
    pub known: String,
    pub settings: String,
    pub disk_mb: f64,
    pub environment: Vec<(String, String)>,
    pub log: String,
}

impl Setup {
    pub fn write_config(&self) {
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{seed:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":{}}},\"known\":{},\"settings\":{}}}",
            self.name, self.listen, self.discovery, self.disk_mb, self.known, self.settings
        );
        let new = self.folder.join(format!("{}.new", self.name));
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, self.config_path()).unwrap();
    }

    pub fn config_path(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    pub fn state_path(&self) -> PathBuf {
        self.folder.join(format!("{}.state", self.name))
    }

    /// Starts the program with the deploy file's `run` command.
    pub fn start(&self, record: &Record, console: Option<&str>) -> Process {
        static STARTED: AtomicU64 = AtomicU64::new(1);
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        std::fs::create_dir_all(self.state_path()).unwrap();
        let log = self.folder.join(format!("{}.{number}.log", self.name));
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "exec target/release/gullcart"])
            .current_dir(&self.root)
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_LISTEN", &self.listen)
            .env("BALANCER_DISCOVERY", &self.discovery)
            .env("BALANCER_STATE", self.state_path())
            .env("BALANCER_CONFIG", self.config_path())
            .env("GULLCART_LOG", &self.log)
            .envs(self.environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).unwrap());
        if let Some(console) = console {
            command.env("BALANCER_CONSOLE", console);
        }
        // No courier outlives the play, even if that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = match command.spawn() {
            Ok(child) => child,
            Err(error) => cannot_run(record, &format!("the program does not start: {error}")),
        };
        record.line(&format!("{}: process {number} started, pid {}", self.name, child.id()));
        Process { child: Some(child), name: format!("{}/{number}", self.name), log, record: record.clone() }
    }
}

/// A process of a courier, killed when dropped.
pub struct Process {
    child: Option<Child>,
    pub name: String,
    pub log: PathBuf,
    record: Record,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, signal: i32) {
        let Some(child) = &self.child else { return };
        self.record.line(&format!("{}: signal {signal}", self.name));
        unsafe { kill(child.id() as i32, signal) };
    }

    /// The same, with the record behind the signal.
    pub fn signal_fast(&self, signal: i32) {
        let Some(child) = &self.child else { return };
        unsafe { kill(child.id() as i32, signal) };
        self.record.line(&format!("{}: signal {signal}", self.name));
    }

    /// Whether it has ended, and how.
    pub fn has_ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Waits for the end; none when it did not come in time.
    pub fn wait(&mut self, most: Duration) -> Option<String> {
        let until = Instant::now() + most;
        loop {
            if let Some(status) = self.has_ended() {
                self.record.line(&format!("{}: ended, {status}", self.name));
                return Some(status);
            }
            if Instant::now() > until {
                return None;
            }
            thread::sleep(ms(2));
        }
    }

    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            if child.try_wait().ok().flatten().is_none() {
                self.record.line(&format!("{}: killed", self.name));
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Puts the log's lines that have one of these words into the record.
    pub fn record_log(&self, words: &[&str]) {
        for line in self.log_text().lines().filter(|line| words.iter().any(|word| line.contains(word))) {
            self.record.line(&format!("{} log: {line}", self.name));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a courier answers PING.
pub fn wait_ready(record: &Record, address: &str, most: Duration) {
    let until = Instant::now() + most;
    while !ping(address) {
        if Instant::now() > until {
            cannot_run(record, "the courier does not answer PING");
        }
        thread::sleep(ms(5));
    }
}

/// The console's answer to a line.
pub fn ask(console: &str, line: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(console) else { return String::new() };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let mut text = String::new();
    let _ = stream.write_all(format!("{line}\n").as_bytes());
    let _ = stream.read_to_string(&mut text);
    let _ = stream.shutdown(Shutdown::Both);
    text.trim_end().to_owned()
}

/// A process's STATUS; empty if it does not answer within 60 ms.
pub fn ask_briefly(console: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(console) else { return String::new() };
    let _ = stream.set_read_timeout(Some(ms(60)));
    let _ = stream.write_all(b"STATUS\n");
    let mut bytes = [0; 200];
    let count = stream.read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..count]).trim_end().to_owned()
}

/// Whether a process has the folder's lock file open.
pub fn has_folder(pid: u32) -> bool {
    let Ok(entries) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    entries.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok()).any(|file| file.ends_with("journal.lock"))
}

/// Waits until a process says on its console that it takes clients.
pub fn wait_yes(console: &str, most: Duration) -> bool {
    let until = Instant::now() + most;
    while Instant::now() < until {
        if ask(console, "STATUS").starts_with("YES") {
            return true;
        }
        thread::sleep(ms(10));
    }
    false
}

/// Runs `play` and removes the folder and all processes before the verdict ends this process. A run that panics or takes too long
/// could not be run.
pub fn run(record_path: &Path, play: impl FnOnce(&Record, &Path) -> Result<Vec<String>, String>) -> ! {
    let record = Record::new(record_path);
    let folder = std::env::temp_dir().join(format!("gullcart-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        cannot_run(&record, &format!("no temporary folder: {error}"));
    }
    *FOLDER.lock().unwrap() = Some(folder.clone());
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        cannot_run(&watched, "it takes too long");
    });
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&record, &folder)));
    remove_folder();
    match result {
        Ok(Ok(broken)) => finish(&record, &broken),
        Ok(Err(why)) => cannot_run(&record, &why),
        Err(_) => cannot_run(&record, "the play failed"),
    }
}
