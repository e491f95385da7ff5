//! A courier under test: its process, its log and the signals that it is sent.

use super::agent::Agent;
use super::client::Client;
use super::harness::World;
use super::TIMEOUT;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
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

    /// Starts a courier whose discovery is at some agent.
    pub fn start_with_agent(&self, agent: &Agent) -> Courier<'_> {
        self.configure(agent);
        Courier::start(self)
    }

    /// What a courier says that does not start, and its exit status.
    pub fn run_to_exit(&self) -> (String, ExitStatus) {
        self.configure(&self.discovery);
        let output = self.command().output().unwrap();
        (String::from_utf8_lossy(&output.stderr).into_owned(), output.status)
    }

    /// What a courier says that does not start with the configuration as it lies there, and its exit status.
    pub fn run_to_exit_as_configured(&self) -> (String, ExitStatus) {
        let output = self.command().output().unwrap();
        (String::from_utf8_lossy(&output.stderr).into_owned(), output.status)
    }

    /// Starts a courier that ends at once; what it says of that.
    pub fn expect_failed_start(&self) -> String {
        self.configure(&self.discovery);
        let output = self.command().output().unwrap();
        assert!(!output.status.success());
        String::from_utf8_lossy(&output.stderr).into_owned()
    }

    /// What starts a courier.
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

/// A program that the system holds to so many descriptors. The shell is not asked to run a script of ours: a process that
/// another test forks meanwhile may hold such a file open for writing, and then it cannot be executed.
fn with_descriptor_limit(program: &str, descriptors: u32) -> Command {
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("ulimit -n {descriptors} && exec \"$0\"")).arg(program);
    command
}

/// The lines that a courier has written to its log.
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

    /// Waits for a line of the log that holds some words, and returns it.
    pub fn wait_for_log(&self, words: &str) -> String {
        self.wait_for_nth_log(words, 1)
    }

    /// Waits for so many such lines, and returns the last of them.
    pub fn wait_for_nth_log(&self, words: &str, times: usize) -> String {
        let end = Instant::now() + TIMEOUT;
        let mut lines = self.log.lines.lock().unwrap();
        loop {
            if let Some(line) = lines.iter().filter(|line| line.contains(words)).nth(times - 1) {
                return line.clone();
            }
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "the log never says '{words}': {lines:#?}");
            lines = self.log.added.wait_timeout(lines, left).unwrap().0;
        }
    }

    /// Waits for a line of the log that holds both words, and returns it.
    pub fn wait_for_log_with_both(&self, words: &str, other_words: &str) -> String {
        let mut times = 1;
        loop {
            let line = self.wait_for_nth_log(words, times);
            if line.contains(other_words) {
                return line;
            }
            times += 1;
        }
    }

    /// Where its console listens.
    pub fn console(&self) -> SocketAddr {
        let line = self.wait_for_log("the console is open");
        let address = line.split_once("address=").and_then(|(_, rest)| rest.split_whitespace().next());
        address.unwrap().trim_matches('"').parse().unwrap()
    }

    /// A connection to the courier.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Kills the process.
    pub fn kill(mut self) -> KilledCourier<'a> {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        KilledCourier { world: self.world }
    }

    /// Kills the process, and starts another one on the same folder.
    pub fn kill_and_restart(self) -> Courier<'a> {
        self.kill().restart()
    }

    /// Stops the process for as long as something is done. The signal is on its way for a moment, in which the process runs on.
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

    /// Whether all threads of the process stand still by a signal.
    fn is_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        tasks.map(|task| std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap()).all(|stat| {
            // The state stands behind the name, which ends in a bracket.
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        })
    }

    /// Names of the threads of the process.
    pub fn thread_names(&self) -> Vec<String> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let names = tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("comm")).ok());
        names.map(|name| name.trim().to_owned()).collect()
    }

    /// Descriptors that the process holds.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Processor time of the process so far, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        // Behind the name, which ends in a bracket: the twelfth and thirteenth field.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Memory of the process that is in use, in KiB.
    pub fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
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

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let signal = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &signal]).status().unwrap().success());
    }

    /// Waits for the process to end by itself.
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
    /// Starts another process on the same folder.
    pub fn restart(self) -> Courier<'a> {
        Courier::start(self.world)
    }
}
