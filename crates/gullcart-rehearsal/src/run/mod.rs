//! Plays a day: couriers as real processes, stand-ins for all around them, and a judge who hears all of it. It runs on
//! one thread, inside a [`tokio::task::LocalSet`].

mod clients;
mod couriers;
mod faults;
mod stand;

use crate::book::{Book, Handed, Origin};
use crate::day::Day;
use crate::figures::{
    settings, spec, AFTERMATH, END, FRONT_NOTICES, HANDED_AGAIN_MS, LOOK, MOST_TRIES, REMEMBERED, RESTART,
    ZONE,
};
use crate::report::{Counts, Lateness, Report, Sample, Shown, Verdict, LATE_MS};
use crate::scenario::{Effect, FaultKind, Scenario};
use gullcart_judge::trace::*;
use gullcart_judge::{Judge, Rule, ServiceScores, Weights};
use gullcart_standins::client::Clients;
use gullcart_standins::endpoint::{
    Counters, Endpoint, EndpointContext, EndpointListener, ExpectedMessage, ExpectedMessageLookup,
};
use gullcart_standins::partner::Partner;
use gullcart_standins::process::{Courier, LaunchOptions, StartError};
use gullcart_standins::register::Agent;
use gullcart_standins::{ids, Recorder};
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

/// From the last courier's readiness to the beginning of the day.
const LEAD: Duration = Duration::from_millis(200);
/// When a run ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Until {
    /// When the day is over.
    TheEnd,
    /// At the first breach, if that comes sooner.
    TheFirstBreach,
    /// At the first breach of one rule, if that comes sooner.
    BreachOf(Rule),
}

impl Until {
    /// Whether it is reached.
    pub fn is_reached(self, judge: &Judge) -> bool {
        match self {
            Until::TheEnd => false,
            Until::TheFirstBreach => !judge.violation_counts().is_empty(),
            Until::BreachOf(rule) => judge.violation_counts().contains_key(&rule),
        }
    }
}

/// How to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// How couriers are started.
    pub launch: LaunchOptions,
    /// What everything is drawn from.
    pub seed: u64,
    /// When to end.
    pub until: Until,
}

/// How far a run is.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Seconds since the first message was due.
    pub at: f64,
    /// Seconds that messages come in.
    pub of: f64,
    /// Service of the messages whose time is not open any more.
    pub service: ServiceScores,
    /// Breaches so far.
    pub breaches: u64,
    /// Messages that are owed an end.
    pub owed: usize,
    /// Faults in force.
    pub faults: Vec<String>,
}

/// Why a rehearsal could not be run.
#[derive(Debug, Error)]
pub enum RunError {
    /// A courier did not start.
    #[error("courier {courier}: {error}")]
    Start {
        /// Which.
        courier: usize,
        /// Why.
        error: StartError,
    },
    /// Something around it failed.
    #[error("{what}: {error}")]
    Io {
        /// What was done.
        what: &'static str,
        /// Why it failed.
        error: io::Error,
    },
}

fn doing(what: &'static str) -> impl Fn(io::Error) -> RunError {
    move |error| RunError::Io { what, error }
}

/// A courier's place: its folder, its clients, its agent of the register, and its process while it runs.
struct Place {
    folder: PathBuf,
    clients: Rc<Clients>,
    agent: RefCell<Option<Agent>>,
    process: RefCell<Option<Courier>>,
    /// Whether the front sends clients to it.
    serving: Cell<bool>,
    /// Whether its process may end; each process has its own.
    ending: RefCell<Rc<Cell<bool>>>,
    signalled: Cell<Option<Instant>>,
    /// Whether its process is stopped.
    suspended: Cell<bool>,
}

/// An endpoint and its addresses, one for each courier.
struct Standing {
    endpoint: Rc<Endpoint>,
    doors: Rc<Vec<EndpointListener>>,
    state: Cell<EndpointState>,
}

struct World {
    scenario: Scenario,
    seed: u64,
    launch: LaunchOptions,
    day: Day,
    book: Rc<RefCell<Book>>,
    recorder: Recorder,
    site: EndpointContext,
    partners: Vec<Rc<RefCell<Partner>>>,
    /// By partner, in the order of the file; those that come in their place later on stand behind.
    endpoints: RefCell<Vec<Vec<Standing>>>,
    next_endpoint: Cell<u32>,
    places: Vec<Place>,
    keys: RefCell<HashMap<u64, Rc<Mutex<()>>>>,
    rng: RefCell<fastrand::Rng>,
    late: RefCell<Histogram<u64>>,
    /// Clients' tasks that are under way.
    busy: Cell<u64>,
    remarks: RefCell<Vec<String>>,
}

/// Plays a day. `progress` is told every second.
pub async fn run(
    scenario: &Scenario,
    options: Options,
    mut progress: impl FnMut(&Progress),
) -> Result<Report, RunError> {
    let folder = Folder::new().map_err(doing("the rehearsal's folder"))?;
    let world = World::build(scenario, options.clone(), folder.path()).await?;
    for courier in 0..world.places.len() {
        world.start(courier).await?;
    }
    // Times count from here; what came before was the start of the couriers.
    world.recorder.begin(Instant::now() + LEAD);
    let samples = world.clone().play(options.until, &mut progress).await;
    world.end().await;
    Ok(world.report(samples, options.until))
}

/// A folder that is removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new() -> io::Result<Self> {
        let random = fastrand::u64(..);
        let path = std::env::temp_dir().join(format!("gullcart-rehearsal-{}-{random:x}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl World {
    async fn build(scenario: &Scenario, options: Options, folder: &Path) -> Result<Rc<Self>, RunError> {
        let Options { launch, seed, .. } = options;
        let day = Day::draw(scenario, seed);
        let book = Rc::new(RefCell::new(Book::new(scenario)));
        let heard = book.clone();
        let recorder = Recorder::new(move |entry| heard.borrow_mut().hear(entry));
        let (asked, classes) = (book.clone(), scenario.classes.clone());
        let size = scenario.traffic.body;
        let expect: ExpectedMessageLookup = Rc::new(move |message| {
            let book = asked.borrow();
            let origin = book.handed.get(&message)?.origin;
            let class = &classes[book.origins[origin].arrival.class];
            let keyed = class.effect == Effect::Keyed;
            Some(ExpectedMessage {
                idempotency_key: keyed.then(|| ids::idempotency_key(origin as u64)),
                body: ids::body(origin as u64, size),
            })
        });
        let counters = Rc::new(Counters::default());
        let site = EndpointContext { recorder: recorder.clone(), expected_message: expect, counters };
        let partners: Vec<Rc<RefCell<Partner>>> = scenario
            .partners
            .iter()
            .enumerate()
            .map(|(place, partner)| {
                let seed = seed.wrapping_mul(1009).wrapping_add(place as u64);
                Rc::new(RefCell::new(Partner::new(spec(partner), partner.endpoints, seed)))
            })
            .collect();
        let mut places = Vec::new();
        for courier in 0..scenario.couriers.count {
            let folder = folder.join(format!("courier-{courier}"));
            std::fs::create_dir_all(folder.join("state")).map_err(doing("a courier's folder"))?;
            places.push(Place {
                folder,
                clients: Rc::default(),
                agent: RefCell::default(),
                process: RefCell::default(),
                serving: Cell::new(false),
                ending: RefCell::default(),
                signalled: Cell::default(),
                suspended: Cell::default(),
            });
        }
        let late = Histogram::new_with_bounds(1, 60_000_000, 3);
        let world = Rc::new(World {
            scenario: scenario.clone(),
            seed,
            launch,
            day,
            book,
            recorder,
            site,
            partners,
            endpoints: RefCell::default(),
            next_endpoint: Cell::new(1),
            places,
            keys: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed ^ 0x6b69_7400)),
            late: RefCell::new(late.expect("the bounds are constants that the histogram allows")),
            busy: Cell::new(0),
            remarks: RefCell::default(),
        });
        for partner in 0..world.partners.len() {
            world.endpoints.borrow_mut().push(Vec::new());
            for place in 0..scenario.partners[partner].endpoints {
                let standing = world.endpoint(partner, place).map_err(doing("an endpoint's address"))?;
                world.endpoints.borrow_mut()[partner].push(standing);
            }
        }
        for courier in 0..world.places.len() {
            let list = world.list(courier);
            let agent = Agent::start(&world.recorder, CourierId(courier as u16), list).await;
            *world.places[courier].agent.borrow_mut() = Some(agent.map_err(doing("the register's address"))?);
        }
        Ok(world)
    }

    fn remark(&self, text: String) {
        let mut remarks = self.remarks.borrow_mut();
        if remarks.len() < 20 {
            remarks.push(text);
        }
    }

    /// Plays the day until nothing is owed any more.
    async fn play(self: Rc<Self>, until: Until, progress: &mut impl FnMut(&Progress)) -> Vec<Sample> {
        let world = self.clone();
        let arriving = spawn_local(async move { world.arrive().await });
        let world = self.clone();
        let acting = spawn_local(async move {
            for (at, action) in world.day.actions.clone() {
                sleep_until(world.recorder.instant(at)).await;
                world.act(action);
            }
        });
        let deadline = self.scenario.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
        // A courier that was away tells late ends only after it is back.
        let last = Timestamp(0) + Duration::from_secs_f64(self.scenario.seconds + deadline + 5.0);
        let mut samples = Vec::new();
        let mut next = Timestamp(0);
        let (mut calls, mut refused) = (0, 0);
        let mut quiet_since = None;
        loop {
            sleep(LOOK).await;
            let now = self.recorder.now();
            self.book.borrow_mut().judge.advance(now);
            self.serve_returned();
            self.book.borrow_mut().forget(now);
            if now >= next {
                next = next + Duration::from_secs(1);
                let sample = self.sample(now, &mut calls, &mut refused);
                progress(&self.progress(now, &sample));
                samples.push(sample);
            }
            if until.is_reached(&self.book.borrow().judge) {
                arriving.abort();
                acting.abort();
                return samples;
            }
            let quiet = arriving.is_finished()
                && acting.is_finished()
                && self.busy.get() == 0
                && self.book.borrow().judge.pending_messages() == 0;
            quiet_since = if quiet { quiet_since.or(Some(now)) } else { None };
            if quiet_since.is_some_and(|since| now - since >= AFTERMATH) || now > last {
                arriving.abort();
                acting.abort();
                return samples;
            }
        }
    }

    fn sample(&self, now: Timestamp, calls: &mut u64, refused: &mut u64) -> Sample {
        let counters = &self.site.counters;
        let mut recent = std::mem::take(&mut self.book.borrow_mut().recent);
        recent.sort_by(f64::total_cmp);
        let memory = |place: &Place| {
            let kb = place.process.borrow().as_ref().and_then(Courier::resident_kib);
            kb.map(|kb| kb as f64 / 1024.0)
        };
        let sample = Sample {
            at: now.as_secs_f64(),
            out: counters.calls_in_flight.get(),
            owed: self.book.borrow().judge.pending_messages(),
            calls: counters.calls_received.get() - *calls,
            refused: counters.calls_rejected.get() - *refused,
            memory_mb: self.places.iter().map(memory).collect(),
            latency_ms: recent.last().map(|worst| (recent[recent.len() / 2], *worst)),
        };
        (*calls, *refused) = (counters.calls_received.get(), counters.calls_rejected.get());
        sample
    }

    fn progress(&self, now: Timestamp, sample: &Sample) -> Progress {
        let at = now.as_secs_f64();
        let book = self.book.borrow();
        let in_force = self.day.windows.iter().filter(|window| (window.from..window.to).contains(&at));
        Progress {
            at,
            of: self.scenario.seconds,
            service: book.service.scores(Weights::default()),
            breaches: book.judge.violation_counts().values().sum(),
            owed: sample.owed,
            faults: in_force.map(|window| window.name.clone()).collect(),
        }
    }

    fn report(&self, samples: Vec<Sample>, until: Until) -> Report {
        let now = self.recorder.now();
        let mut book = self.book.borrow_mut();
        let ended_early = until.is_reached(&book.judge);
        if !ended_early {
            book.judge.finish(now);
        }
        let counters = &self.site.counters;
        let (clients, partners) = (lateness(&self.late.borrow()), lateness(&counters.lateness_us.borrow()));
        let late = clients.p99.max(partners.p99);
        let void = (late > LATE_MS).then(|| {
            format!(
                "the kit itself was late by {late:.0} ms at p99; over {LATE_MS:.0} ms nothing can be said"
            )
        });
        let service = book.service.scores(Weights::default());
        let broken = book.judge.violation_counts().clone();
        let verdict = if void.is_some() {
            Verdict::Void
        } else if !broken.is_empty() {
            Verdict::Broken
        } else if service.combined < self.scenario.floor {
            Verdict::UnderFloor
        } else {
            Verdict::Kept
        };
        let breaches = book.judge.violations().iter().map(Shown::from).collect();
        let names = self.scenario.classes.iter().map(|class| class.name.clone());
        Report {
            scenario: self.scenario.name.clone(),
            about: self.scenario.about.clone(),
            seed: self.seed,
            seconds: self.scenario.seconds,
            took: now.as_secs_f64(),
            ended_early,
            verdict,
            void,
            floor: self.scenario.floor,
            service,
            broken,
            breaches,
            counts: Counts {
                refused: counters.calls_rejected.get(),
                connections: counters.connections_accepted.get(),
                ..book.counts
            },
            latency: book.service.latency(None),
            percentiles: book.service.percentiles(),
            latency_of: names.enumerate().map(|(at, name)| (name, book.service.latency(Some(at)))).collect(),
            by_second: book.service.seconds().to_vec(),
            samples,
            faults: self.day.windows.clone(),
            late_clients: clients,
            late_partners: partners,
            remarks: self.remarks.borrow().clone(),
        }
    }
}

fn partner_id(place: usize) -> PartnerId {
    PartnerId(place as u32 + 1)
}

fn lateness(histogram: &Histogram<u64>) -> Lateness {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Lateness { p50: at(0.5), p99: at(0.99), max: histogram.max() as f64 / 1e3 }
}
