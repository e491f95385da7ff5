//! A daemon among its stand-ins, and the costs that several measurements take of it.

use super::client::{self, Clients};
use super::collector::Sampled;
use super::discovery::Agent;
use super::error::MeasureError;
use super::limits::{Cancellation, Limits};
use super::partner::{Behaviour, Partners};
use super::process::{Daemon, Launch};
use super::site::{Deployment, DeploymentSize, EndpointState, Site, CLASS, FIRST_VERSION};
use std::net::SocketAddr;
use std::path::Path;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Operations whose processor time is taken together, for one sample.
const OPERATIONS: u32 = 20;
/// How long the daemon may go on working after what was asked of it.
const SETTLE: Duration = Duration::from_secs(60);
/// How long one step may take.
const STEP: Duration = Duration::from_secs(60);
/// How long an idle daemon is watched for a sample: a multiple of the second at which it looks through what it has.
const IDLE: Duration = Duration::from_secs(2);
/// By then a daemon has found out that partners do not deliver.
const OUTAGE_FOUND: Duration = Duration::from_secs(4);
const LOOK: Duration = Duration::from_millis(50);
/// How long a probe waits for its answer, and how often one is sent.
const PROBE: Duration = Duration::from_secs(2);
const PROBE_INTERVAL: Duration = Duration::from_millis(1);
const IDLE_SAMPLES: u32 = 3;
const NO_SAMPLES: MeasureError = MeasureError::Sizes("no samples were asked for");
const UNKNOWN_DESTINATION: &str = "-ERR unknown destination";

/// How a run measures.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How daemons are started.
    pub launch: Launch,
    /// Samples of each cost.
    pub samples: u32,
    /// How long one size may take to set up.
    pub limit: Duration,
    /// Ends the run.
    pub cancellation: Cancellation,
}

/// A daemon, its partners, discovery and clients.
pub struct Bench<'a> {
    settings: &'a Settings,
    limits: &'a Limits,
    /// What the daemon is told of.
    pub deployment: Deployment,
    /// Its folder.
    pub site: Site,
    /// Where its calls go.
    pub partners: Partners,
    /// Where it hears of the list.
    pub agent: Agent,
    /// The process.
    pub daemon: Daemon,
    /// Who hands messages in.
    pub clients: Clients,
    version: u64,
}

impl<'a> Bench<'a> {
    /// Starts the daemon on a new folder; it watches the list once this returns.
    pub fn start(
        settings: &'a Settings,
        limits: &'a Limits,
        behaviour: Behaviour,
        size: DeploymentSize,
    ) -> Result<Self, MeasureError> {
        let (site, partners) = (Site::create()?, Partners::start(behaviour)?);
        let deployment = Deployment::new(size, partners.address());
        let agent = Agent::start(deployment.whole_list(FIRST_VERSION, EndpointState::Serving))?;
        let configuration = site.configure(&deployment, agent.address())?;
        let daemon = run(settings, limits, &site, &configuration)?;
        let clients = Clients::new(daemon.address(), CLASS);
        let version = FIRST_VERSION;
        let mut bench =
            Bench { settings, limits, deployment, site, partners, agent, daemon, clients, version };
        bench.wait_until_watched()?;
        Ok(bench)
    }

    /// Ends the daemon as a crash would, and starts it again on the same folder.
    pub fn crash_and_restart(&mut self) -> Result<(), MeasureError> {
        self.daemon.kill();
        let configuration = self.site.configure(&self.deployment, self.agent.address())?;
        self.start_again(&configuration)?;
        self.wait_until_watched()
    }

    /// Hands messages in until so many are held.
    pub fn hold(
        &mut self,
        destinations: impl Iterator<Item = u32>,
        messages: usize,
        deadline: Instant,
    ) -> Result<(), MeasureError> {
        let cancellation = &self.settings.cancellation;
        let taken = self.clients.hand_in_all(destinations, deadline, || cancellation.check())?;
        if taken < messages as u64 {
            return Err(MeasureError::HeldOnly { taken, limit: self.settings.limit });
        }
        Ok(())
    }

    /// Waits until the daemon has found out that partners are silent: it rests then, but for trials.
    pub fn wait_for_outages(&mut self) -> Result<(), MeasureError> {
        self.wait(OUTAGE_FOUND)
    }

    /// Starts another process on the same folder.
    fn start_again(&mut self, configuration: &Path) -> Result<(), MeasureError> {
        self.daemon = run(self.settings, self.limits, &self.site, configuration)?;
        self.clients.find(self.daemon.address());
        Ok(())
    }

    /// Waits until the daemon watches the list, and rests.
    fn wait_until_watched(&mut self) -> Result<(), MeasureError> {
        let end = Instant::now() + STEP;
        while !self.agent.is_watched() {
            self.daemon.check()?;
            if Instant::now() >= end {
                return Err(MeasureError::Late { what: "the watch on the list".to_owned(), limit: STEP });
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.settle()
    }

    /// Waits until the daemon has done all that was asked of it.
    pub fn settle(&mut self) -> Result<(), MeasureError> {
        self.daemon.settle(SETTLE)
    }

    /// Processor time of an operation: the median of samples, each the mean of so many operations.
    pub fn cost_of(
        &mut self,
        operations: u32,
        operation: &mut impl FnMut(&mut Self, u32) -> Result<(), MeasureError>,
    ) -> Result<Sampled, MeasureError> {
        let begun = Instant::now();
        let mut samples = Vec::new();
        for sample in 0..self.settings.samples {
            self.settle()?;
            let before = self.daemon.processor_time()?;
            for number in 0..operations {
                operation(self, sample * operations + number)?;
            }
            self.settle()?;
            samples.push((self.daemon.processor_time()? - before) / operations);
            // The median of fewer samples, where one takes long.
            if begun.elapsed() > STEP {
                break;
            }
        }
        Sampled::of(samples).ok_or(NO_SAMPLES)
    }

    /// Processor time of a turn of the daemon's loop that changes nothing: a hand-in that is refused for its unknown
    /// destination, with the client's request and answer.
    pub fn turn_cost(&mut self) -> Result<Sampled, MeasureError> {
        self.cost_of(OPERATIONS, &mut |bench, _| bench.refused_hand_in())
    }

    fn refused_hand_in(&mut self) -> Result<(), MeasureError> {
        match self.clients.ask(self.deployment.unknown_destination())? {
            answer if answer == UNKNOWN_DESTINATION => Ok(()),
            answer => Err(MeasureError::Answer(answer)),
        }
    }

    /// Processor time of a second in which nothing is asked of the daemon.
    pub fn idle_second_cost(&mut self) -> Result<Sampled, MeasureError> {
        let mut samples = Vec::new();
        for _ in 0..self.settings.samples.min(IDLE_SAMPLES) {
            let (before, start) = (self.daemon.processor_time()?, Instant::now());
            self.wait(IDLE)?;
            let used = self.daemon.processor_time()? - before;
            samples.push(used.div_f64(start.elapsed().as_secs_f64()));
        }
        Sampled::of(samples).ok_or(NO_SAMPLES)
    }

    /// Waits for so long, unless the daemon or the run ends.
    pub fn wait(&mut self, span: Duration) -> Result<(), MeasureError> {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.daemon.check()?;
            thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Tells the daemon of a change of some endpoints, and waits until it has taken it in.
    pub fn change(&mut self, endpoints: &[usize], state: EndpointState) -> Result<(), MeasureError> {
        self.version += 1;
        let change = self.deployment.change(self.version, endpoints, state);
        self.tell(&change)
    }

    /// Tells the daemon of the whole list, with all endpoints in one state, and waits until it has taken it in.
    pub fn tell_whole_list(&mut self, state: EndpointState) -> Result<(), MeasureError> {
        self.version += 1;
        let list = self.deployment.whole_list(self.version, state);
        self.tell(&list)
    }

    fn tell(&mut self, change: &str) -> Result<(), MeasureError> {
        let from = self.daemon.log_end();
        self.agent.tell(change);
        let word = format!("rev={}", self.version);
        let is_answer = |line: &str| is_change(line, &word) || is_refusal(line);
        let line = self.daemon.wait_for_line("taking in the list", STEP, from, is_answer)?;
        match is_refusal(&line) {
            true => Err(MeasureError::ListRefused { log: line }),
            false => Ok(()),
        }
    }

    /// Tells the daemon to read its configuration again, and waits until it has.
    pub fn reload(&mut self) -> Result<(), MeasureError> {
        let from = self.daemon.log_end();
        self.daemon.hang_up();
        let is_read = |line: &str| line.contains("the configuration was read again");
        self.daemon.wait_for_line("reading the configuration again", STEP, from, is_read)?;
        Ok(())
    }

    /// Restarts the daemon as for a changed setting, and returns how long no client was answered.
    pub fn restart_for_a_setting(&mut self) -> Result<Outage, MeasureError> {
        self.deployment.most_held += 1;
        let configuration = self.site.configure(&self.deployment, self.agent.address())?;
        let prober = Prober::start(self.daemon.address());
        let told = Instant::now();
        self.daemon.terminate(STEP)?;
        let ending = told.elapsed();
        let last_answer = prober.last_answer();
        self.start_again(&configuration)?;
        while !client::answers(self.daemon.address(), PROBE) {
            self.daemon.check()?;
        }
        let without_service = last_answer.elapsed();
        self.wait_until_watched()?;
        Ok(Outage { ending, without_service })
    }
}

/// What a restart took, in wall time.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// From the signal to the end of the process.
    pub ending: Duration,
    /// From the last answer of the old process to the first one of the new process.
    pub without_service: Duration,
}

/// Asks a daemon until it does not answer any more.
struct Prober(JoinHandle<Instant>);

impl Prober {
    fn start(address: SocketAddr) -> Self {
        Prober(thread::spawn(move || {
            let mut last = Instant::now();
            while client::answers(address, PROBE) {
                last = Instant::now();
                thread::sleep(PROBE_INTERVAL);
            }
            last
        }))
    }

    /// When the last answer came; waits until none comes any more.
    fn last_answer(self) -> Instant {
        self.0.join().unwrap_or_else(|_| Instant::now())
    }
}

fn is_change(line: &str, word: &str) -> bool {
    line.contains("the list has changed") && line.split_whitespace().any(|other| other == word)
}

fn is_refusal(line: &str) -> bool {
    line.contains("the watch on the list broke")
}

fn run(
    settings: &Settings,
    limits: &Limits,
    site: &Site,
    configuration: &Path,
) -> Result<Daemon, MeasureError> {
    let (launch, cancellation) = (&settings.launch, &settings.cancellation);
    Daemon::start(launch, limits, cancellation, configuration, &site.state(), settings.limit)
}
