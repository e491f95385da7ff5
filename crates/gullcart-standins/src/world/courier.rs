//! The courier under test: its process, its log and the signals that tests send.

use super::agent::Agent;
use super::client::Client;
use super::harness::World;
use super::TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

impl World {
    /// Starts a courier, and waits until it listens.
    pub fn start(&self) -> Courier<'_> {
        self.configure(&self.discovery);
        Courier::start(self)
    }

    /// Starts a courier with discovery at this agent, and waits until it listens.
    pub fn start_with_agent(&self, agent: &Agent) -> Courier<'_> {
        self.configure(agent);
        Courier::start(self)
    }

    /// Writes the configuration, runs a courier that is expected to exit, and returns its log and exit status.
    pub fn run_to_exit(&self) -> (String, ExitStatus) {
        self.configure(&self.discovery);
        let output = self.command().output().unwrap();
        (String::from_utf8_lossy(&output.stderr).into_owned(), output.status)
    }

    /// Runs a courier with the existing configuration file until it exits, and returns its log and exit status.
    pub fn run_to_exit_as_configured(&self) -> (String, ExitStatus) {
        let output = self.command().output().unwrap();
        (String::from_utf8_lossy(&output.stderr).into_owned(), output.status)
    }

    /// Runs a courier until it exits, checks that it failed, and returns its log.
    pub fn expect_failed_start(&self) -> String {
        self.configure(&self.discovery);
        let output = self.command().output().unwrap();
        assert!(!output.status.success());
        String::from_utf8_lossy(&output.stderr).into_owned()
    }

    /// The command that starts a courier.
    fn command(&self) -> Command {
        let mut command = match self.descriptor_limit {
            None => Command::new(&self.program),
            Some(limit) => with_descriptor_limit(&self.program, limit),
        };
        command
            .env("BALANCER_STATE", self.state_folder())
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .envs(self.environment.iter().map(|(name, value)| (name, value)));
        command
    }
}

/// A command that runs a program with a limit of open descriptors. The shell gets its commands as an argument rather than as
/// a script file: a process that another test forks at that moment may hold the new file open for writing, and executing it
/// would then fail.
fn with_descriptor_limit(program: &str, descriptor_limit: u32) -> Command {
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("ulimit -n {descriptor_limit} && exec \"$0\"")).arg(program);
    command
}

/// The lines that a courier has logged so far.
#[derive(Default)]
struct LogLines {
    lines: Mutex<Vec<String>>,
    added: Condvar,
}

/// A running courier; it is killed when dropped.
pub struct Courier<'a> {
    world: &'a World,
    child: Child,
    log: Arc<LogLines>,
    address: SocketAddr,
}

impl<'a> Courier<'a> {
    /// Starts the process and waits until its log names its address.
    fn start(world: &'a World) -> Self {
        let mut child = world.command().stderr(Stdio::piped()).spawn().unwrap();
        let log = Arc::new(LogLines::default());
        let (errors, shared) = (BufReader::new(child.stderr.take().unwrap()), log.clone());
        thread::spawn(move || {
            for line in errors.lines().map_while(Result::ok) {
                shared.lines.lock().unwrap().push(line);
                shared.added.notify_all();
            }
        });
        let mut courier = Courier { world, child, log, address: SocketAddr::from(([127, 0, 0, 1], 0)) };
        let line = courier.wait_for_log("listening");
        let address = line.split_once("address=").map(|(_, rest)| rest.split_whitespace().next());
        courier.address = address.flatten().unwrap().parse().unwrap();
        courier
    }

    /// Waits for a log line that contains this text, and returns it.
    pub fn wait_for_log(&self, text: &str) -> String {
        self.wait_for_nth_log(text, 1)
    }

    /// Waits for `count` lines that contain this text, and returns the last of them.
    pub fn wait_for_nth_log(&self, text: &str, count: usize) -> String {
        let end = Instant::now() + TIMEOUT;
        let mut lines = self.log.lines.lock().unwrap();
        loop {
            if let Some(line) = lines.iter().filter(|line| line.contains(text)).nth(count - 1) {
                return line.clone();
            }
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "the log has fewer than {count} lines with '{text}': {lines:#?}");
            lines = self.log.added.wait_timeout(lines, left).unwrap().0;
        }
    }

    /// Waits for a log line that contains both texts, and returns it.
    pub fn wait_for_log_with_both(&self, text: &str, other_text: &str) -> String {
        let mut count = 1;
        loop {
            let line = self.wait_for_nth_log(text, count);
            if line.contains(other_text) {
                return line;
            }
            count += 1;
        }
    }

    /// The address of the console.
    pub fn console(&self) -> SocketAddr {
        let line = self.wait_for_log("the console is open");
        let address = line.split_once("address=").and_then(|(_, rest)| rest.split_whitespace().next());
        address.unwrap().trim_matches('"').parse().unwrap()
    }

    /// Sends a line to the console, and returns all that it answers.
    pub fn ask_console(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.console()).unwrap();
        stream.write_all(line.as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    }

    /// Connects a client to the courier.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Kills the process with SIGKILL.
    pub fn kill(mut self) -> KilledCourier<'a> {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        KilledCourier { world: self.world }
    }

    /// Kills the process and starts another one with the same folder.
    pub fn kill_and_restart(self) -> Courier<'a> {
        self.kill().restart()
    }

    /// Calls `act` while the process is stopped by SIGSTOP. The signal takes a moment to stop all threads, so this waits
    /// until it has done so.
    pub fn while_stopped(&self, act: impl FnOnce()) {
        self.signal("STOP");
        let end = Instant::now() + TIMEOUT;
        while !self.is_stopped() {
            assert!(Instant::now() < end, "the process does not stop");
            thread::yield_now();
        }
        act();
        self.signal("CONT");
    }

    /// Whether all threads of the process are stopped by a signal.
    fn is_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        tasks.map(|task| std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap()).all(|stat| {
            // The state follows the name, which is in parentheses.
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        })
    }

    /// Names of the threads of the process.
    pub fn thread_names(&self) -> Vec<String> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let names = tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("comm")).ok());
        names.map(|name| name.trim().to_owned()).collect()
    }

    /// Number of open descriptors of the process.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Processor time of the process so far, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        // User and system time are the 12th and 13th fields after the name, which is in parentheses.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Resident memory of the process, in KiB.
    pub fn resident_kib(&self) -> u64 {
        self.memory_kib("VmRSS:")
    }

    /// Peak of the resident memory so far, in KiB.
    pub fn peak_resident_kib(&self) -> u64 {
        self.memory_kib("VmHWM:")
    }

    fn memory_kib(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal("HUP");
    }

    /// Sends a signal, given by its name without SIG.
    pub fn signal(&self, name: &str) {
        let signal = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &signal]).status().unwrap().success());
    }

    /// Waits for the process to exit by itself, for `limit` at most.
    pub fn wait_for_exit(&mut self, limit: Duration) -> ExitStatus {
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

/// A courier whose process was killed.
pub struct KilledCourier<'a> {
    world: &'a World,
}

impl<'a> KilledCourier<'a> {
    /// Starts another process with the same folder and configuration.
    pub fn restart(self) -> Courier<'a> {
        Courier::start(self.world)
    }
}
