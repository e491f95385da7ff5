//! Plays a day: couriers as real processes, stand-ins for all around them, and a judge who hears all of it. It runs on
//! one thread, inside a [`tokio::task::LocalSet`].

use crate::day::{Action, Arrival, Day};
use crate::report::{Counts, Lateness, Report, Sample, Shown, Verdict, LATE_MS};
use crate::scenario::{Effect, Replace, Scenario};
use gullcart_judge::trace::*;
use gullcart_judge::{ClassRules, Figures, Judge, Rule, Service, ServiceFigures, Weights, Worth};
use gullcart_standins::client::{Clients, HandIn};
use gullcart_standins::endpoint::{Counters, Door, Endpoint, Expect, Expected, Site};
use gullcart_standins::partner::{Limit, Partner, Spec, Trouble};
use gullcart_standins::process::{Courier, Launch, StartError};
use gullcart_standins::register::{Agent, Target};
use gullcart_standins::{ids, Recorder};
use hdrhistogram::Histogram;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A client of a courier that is away tries so many others.
const MOST_TRIES: u32 = 4;
/// Clients go on using a courier that was told to end for so long.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
/// SIGKILL comes so long after SIGTERM.
const END: Duration = Duration::from_millis(3700);
/// A restart takes so long at least.
const RESTART: Duration = Duration::from_millis(600);
/// What a dead courier held comes again to a live one after a draw from this.
const HANDED_AGAIN_MS: (u64, u64) = (410, 1700);
/// After the last end, so that what is told too late, or twice, is still heard.
const AFTERMATH: Duration = Duration::from_millis(1300);
/// Hand-ins are remembered for so long after their time, to check what arrives.
const REMEMBERED: Duration = Duration::from_secs(10);
/// From the last courier's readiness to the beginning of the day.
const LEAD: Duration = Duration::from_millis(200);
/// How often a run looks whether it may end.
const LOOK: Duration = Duration::from_millis(50);

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
    fn is_reached(self, judge: &Judge) -> bool {
        match self {
            Until::TheEnd => false,
            Until::TheFirstBreach => !judge.counts().is_empty(),
            Until::BreachOf(rule) => judge.counts().contains_key(&rule),
        }
    }
}

/// How to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// How couriers are started.
    pub launch: Launch,
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
    pub service: ServiceFigures,
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

/// A hand-in that is remembered.
struct Handed {
    origin: usize,
    courier: usize,
    taken: bool,
    delivered: Option<At>,
    over: bool,
    forget: At,
}

/// What a client meant to send; further tries belong to it.
struct Origin {
    arrival: Arrival,
    retries: u32,
    tries: u32,
    delivered: bool,
}

/// What the judge and the clients make of what happens.
struct Book {
    judge: Judge,
    service: Service,
    handed: HashMap<MessageId, Handed>,
    forget: VecDeque<MessageId>,
    calls: HashMap<CallId, MessageId>,
    origins: Vec<Origin>,
    counts: Counts,
    /// Messages that were returned, with the wait that was told.
    returned: Vec<(usize, Option<u64>)>,
    /// Latencies of the last second, in milliseconds.
    recent: Vec<f64>,
    next: u64,
}

impl Book {
    fn hear(&mut self, entry: Entry) {
        self.judge.feed(entry);
        match entry.event {
            Event::Answered { message, told } => {
                let Some(handed) = self.handed.get_mut(&message) else { return };
                match told {
                    Told::Taken => {
                        self.counts.taken += 1;
                        handed.taken = true;
                        if let Some(at) = handed.delivered {
                            let origin = handed.origin;
                            self.deliver(origin, at);
                        }
                    }
                    Told::Busy(_) => self.counts.busy += 1,
                    _ => self.counts.unanswered += 1,
                }
            }
            Event::Call { call, message: Some(message), .. } => {
                self.counts.calls += 1;
                self.calls.insert(call, message);
            }
            Event::CallCut { call, .. } => drop(self.calls.remove(&call)),
            Event::CallAnswered { call, answer } => {
                let message = self.calls.remove(&call);
                if answer == Answer::Ok {
                    if let Some(handed) = message.and_then(|message| self.handed.get_mut(&message)) {
                        handed.over = true;
                        handed.delivered.get_or_insert(entry.at);
                        if handed.taken {
                            let origin = handed.origin;
                            self.deliver(origin, entry.at);
                        }
                    }
                }
            }
            Event::Notice { message: Some(message), ended, .. } => {
                let Some(handed) = self.handed.get_mut(&message) else { return };
                if std::mem::replace(&mut handed.over, true) {
                    return;
                }
                match ended {
                    Ended::Failed => self.counts.failed += 1,
                    Ended::Returned(wait) => {
                        self.counts.returned += 1;
                        self.returned.push((handed.origin, wait));
                    }
                }
            }
            _ => {}
        }
    }

    fn deliver(&mut self, origin: usize, at: At) {
        let origin = &mut self.origins[origin];
        if !std::mem::replace(&mut origin.delivered, true) {
            let arrival = origin.arrival;
            self.counts.delivered += 1;
            self.service.delivered(arrival.class, arrival.at, at);
            self.recent.push((at - arrival.at).as_secs_f64() * 1e3);
        }
    }

    fn forget(&mut self, now: At) {
        while let Some(first) = self.forget.front() {
            if self.handed.get(first).is_some_and(|handed| handed.forget > now) {
                break;
            }
            self.handed.remove(first);
            self.forget.pop_front();
        }
    }
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
}

/// An endpoint and its addresses, one for each courier.
struct Standing {
    endpoint: Rc<Endpoint>,
    doors: Rc<Vec<Door>>,
    state: Cell<State>,
}

struct World {
    scenario: Scenario,
    seed: u64,
    launch: Launch,
    day: Day,
    book: Rc<RefCell<Book>>,
    recorder: Recorder,
    site: Site,
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

fn rules(scenario: &Scenario) -> Figures {
    let classes = scenario.classes.iter().map(|class| ClassRules {
        effect: match class.effect {
            Effect::Safe => gullcart_judge::Effect::Safe,
            Effect::Keyed => {
                gullcart_judge::Effect::Keyed { window: Duration::from_secs_f64(class.window_s) }
            }
            Effect::Unsafe => gullcart_judge::Effect::Unsafe,
        },
        in_order: class.in_order,
    });
    Figures::new(classes.collect())
}

fn worths(scenario: &Scenario) -> Vec<Worth> {
    let worth = |class: &crate::scenario::Class| Worth {
        worth: class.worth,
        aim: Duration::from_secs_f64(class.aim_s),
        deadline: Duration::from_secs_f64(class.deadline_s),
        late_share: class.late_share,
    };
    scenario.classes.iter().map(worth).collect()
}

fn spec(partner: &crate::scenario::Partner) -> Spec {
    let figures = Figures::new(Vec::new());
    let span = Duration::from_secs_f64(partner.span_s);
    Spec {
        limit: match (partner.rate, partner.count) {
            (Some(rate), _) => Limit::Rate(rate),
            (None, count) => Limit::Count { calls: count.unwrap_or(1), span },
        },
        spare: partner.spare,
        pace: Duration::from_secs_f64(partner.pace_ms / 1e3),
        queue: partner.queue,
        tells_wait: partner.tells_wait,
        wait: Duration::from_secs_f64(partner.wait_ms / 1e3),
        refused_count: partner.refused_count,
        cold_from: partner.cold_from,
        cold: Duration::from_secs_f64(partner.cold_s),
        fall_multiple: figures.fall_multiple,
        fall_window: figures.fall_window,
        errors: partner.errors,
    }
}

const ZONE: &str = "kingston-dc";

impl World {
    async fn build(scenario: &Scenario, options: Options, folder: &Path) -> Result<Rc<Self>, RunError> {
        let Options { launch, seed, .. } = options;
        let day = Day::draw(scenario, seed);
        let book = Rc::new(RefCell::new(Book {
            judge: Judge::new(rules(scenario)),
            service: Service::new(worths(scenario)),
            handed: HashMap::new(),
            forget: VecDeque::new(),
            calls: HashMap::new(),
            origins: Vec::new(),
            counts: Counts::default(),
            returned: Vec::new(),
            recent: Vec::new(),
            next: 0,
        }));
        let heard = book.clone();
        let recorder = Recorder::new(move |entry| heard.borrow_mut().hear(entry));
        let (asked, classes) = (book.clone(), scenario.classes.clone());
        let size = scenario.traffic.body;
        let expect: Expect = Rc::new(move |message| {
            let book = asked.borrow();
            let origin = book.handed.get(&message)?.origin;
            let class = &classes[book.origins[origin].arrival.class];
            let keyed = class.effect == Effect::Keyed;
            Some(Expected {
                idempotency_key: keyed.then(|| ids::idempotency_key(origin as u64)),
                body: ids::body(origin as u64, size),
            })
        });
        let counters = Rc::new(Counters::default());
        let site = Site { recorder: recorder.clone(), expect, counters };
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
            let agent = Agent::start(&world.recorder, CourierId(courier as u8), list).await;
            *world.places[courier].agent.borrow_mut() = Some(agent.map_err(doing("the register's address"))?);
        }
        Ok(world)
    }

    /// A new endpoint at new addresses.
    fn endpoint(&self, partner: usize, place: usize) -> io::Result<Standing> {
        let endpoint = self.new_endpoint(partner, place);
        let doors: io::Result<Vec<Door>> = (0..self.places.len())
            .map(|courier| Door::open(&self.site, CourierId(courier as u8), endpoint.clone()))
            .collect();
        Ok(Standing { endpoint, doors: Rc::new(doors?), state: Cell::new(State::Serving) })
    }

    fn new_endpoint(&self, partner: usize, place: usize) -> Rc<Endpoint> {
        let id = EndpointId(self.next_endpoint.get());
        self.next_endpoint.set(id.0 + 1);
        let reports = self.scenario.partners[partner].reports;
        let model = self.partners[partner].clone();
        Rc::new(Endpoint::new(id, partner_id(partner), model, place, reports))
    }

    fn target(&self, courier: usize, partner: usize, standing: &Standing) -> Target {
        let spec = &self.scenario.partners[partner];
        Target {
            endpoint: standing.endpoint.id,
            partner: partner_id(partner),
            address: standing.doors[courier].address(),
            kind: spec.kind.clone(),
            zone: ZONE.to_owned(),
            weight: self.partners[partner].borrow().spec().limit.per_second(),
            state: standing.state.get(),
        }
    }

    fn list(&self, courier: usize) -> Vec<Target> {
        let endpoints = self.endpoints.borrow();
        let of = |(partner, all): (usize, &Vec<Standing>)| {
            all.iter().map(|standing| self.target(courier, partner, standing)).collect::<Vec<_>>()
        };
        endpoints.iter().enumerate().flat_map(of).collect()
    }

    fn configure(&self, courier: usize) -> io::Result<PathBuf> {
        let place = &self.places[courier];
        let agent = place.agent.borrow();
        let agent = agent.as_ref().ok_or_else(|| io::Error::other("the register's agent is moving"))?;
        let known: Value = serde_json::from_str(&agent.known())?;
        let limits = &self.scenario.couriers;
        let seed = self.rng.borrow_mut().u64(..);
        let config = json!({
            "name": format!("n{courier}"), "listen": "127.0.0.1:0", "discovery": agent.address().to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets, "disk_mb": limits.disk_mb},
            "known": known, "settings": settings(&self.scenario, &self.day),
        });
        let (new, path) = (place.folder.join("config.new"), place.folder.join("config.json"));
        std::fs::write(&new, config.to_string())?;
        std::fs::rename(new, &path)?;
        Ok(path)
    }

    fn process(&self, courier: usize, what: Process) {
        self.recorder.note(Event::Process { courier: CourierId(courier as u8), what });
    }

    async fn start(self: &Rc<Self>, courier: usize) -> Result<(), RunError> {
        let place = &self.places[courier];
        let config = self.configure(courier).map_err(doing("a courier's configuration"))?;
        self.process(courier, Process::Started);
        let ending = Rc::new(Cell::new(false));
        *place.ending.borrow_mut() = ending.clone();
        let started = Courier::start(&self.launch, &config, &place.folder.join("state")).await;
        let process = started.map_err(|error| RunError::Start { courier, error })?;
        place.clients.find(Some(process.address()));
        let mut ended = process.ended();
        let log = process.log();
        *place.process.borrow_mut() = Some(process);
        let world = self.clone();
        spawn_local(async move {
            // The sender goes only after it has told.
            let _ = ended.wait_for(|ended| *ended).await;
            let place = &world.places[courier];
            if !ending.get() {
                world.process(courier, Process::Crashed);
                place.serving.set(false);
                place.clients.find(None);
                let last = log.borrow().back().cloned().unwrap_or_default();
                world.remark(format!("courier {courier} ended by itself; its last line: {last}"));
            }
        });
        while !place.clients.ping().await {
            if place.process.borrow().as_ref().is_none_or(Courier::has_ended) {
                return Ok(());
            }
            sleep(Duration::from_millis(5)).await;
        }
        self.process(courier, Process::Ready);
        place.serving.set(true);
        Ok(())
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
        let last = At(0) + Duration::from_secs_f64(self.scenario.seconds + deadline + 5.0);
        let mut samples = Vec::new();
        let mut next = At(0);
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
                && self.book.borrow().judge.owed() == 0;
            quiet_since = if quiet { quiet_since.or(Some(now)) } else { None };
            if quiet_since.is_some_and(|since| now - since >= AFTERMATH) || now > last {
                arriving.abort();
                acting.abort();
                return samples;
            }
        }
    }

    fn sample(&self, now: At, calls: &mut u64, refused: &mut u64) -> Sample {
        let counters = &self.site.counters;
        let mut recent = std::mem::take(&mut self.book.borrow_mut().recent);
        recent.sort_by(f64::total_cmp);
        let memory = |place: &Place| {
            let kb = place.process.borrow().as_ref().and_then(Courier::memory_kb);
            kb.map(|kb| kb as f64 / 1024.0)
        };
        let sample = Sample {
            at: now.seconds(),
            out: counters.out.get(),
            owed: self.book.borrow().judge.owed(),
            calls: counters.calls.get() - *calls,
            refused: counters.refused.get() - *refused,
            memory_mb: self.places.iter().map(memory).collect(),
            latency_ms: recent.last().map(|worst| (recent[recent.len() / 2], *worst)),
        };
        (*calls, *refused) = (counters.calls.get(), counters.refused.get());
        sample
    }

    fn progress(&self, now: At, sample: &Sample) -> Progress {
        let at = now.seconds();
        let book = self.book.borrow();
        let in_force = self.day.windows.iter().filter(|window| (window.from..window.to).contains(&at));
        Progress {
            at,
            of: self.scenario.seconds,
            service: book.service.figures(Weights::default()),
            breaches: book.judge.counts().values().sum(),
            owed: sample.owed,
            faults: in_force.map(|window| window.name.clone()).collect(),
        }
    }

    /// Open loop: each message is sent when it is due, whatever became of those before.
    async fn arrive(self: &Rc<Self>) {
        for place in 0..self.day.arrivals.len() {
            let arrival = self.day.arrivals[place];
            sleep_until(self.recorder.instant(arrival.at)).await;
            let late = self.recorder.now() - arrival.at;
            self.late.borrow_mut().saturating_record((late.as_micros() as u64).max(1));
            let origin = {
                let mut book = self.book.borrow_mut();
                book.counts.messages += 1;
                book.service.asked(arrival.class, arrival.at);
                let retries = u32::from(self.scenario.traffic.retries);
                book.origins.push(Origin { arrival, retries, tries: 0, delivered: false });
                book.origins.len() - 1
            };
            self.send(origin, false, false, Duration::ZERO);
        }
    }

    /// Hands a message in after a while.
    fn send(self: &Rc<Self>, origin: usize, retry: bool, again: bool, after: Duration) {
        let world = self.clone();
        self.busy.set(self.busy.get() + 1);
        spawn_local(async move {
            sleep(after).await;
            world.hand_in(origin, retry, again).await;
            world.busy.set(world.busy.get() - 1);
        });
    }

    /// Who gets a message: those of one key go to one courier while it runs.
    fn front(&self, key: Option<u64>, avoid: Option<usize>) -> usize {
        let count = self.places.len();
        let first = match key {
            Some(key) => (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % count,
            None => self.rng.borrow_mut().usize(0..count),
        };
        let order = (0..count).map(|step| (first + step) % count);
        let serving = order.clone().find(|at| self.places[*at].serving.get() && Some(*at) != avoid);
        serving.or_else(|| order.clone().find(|at| self.places[*at].serving.get())).unwrap_or(first)
    }

    async fn hand_in(self: &Rc<Self>, origin: usize, retry: bool, again: bool) {
        let arrival = self.book.borrow().origins[origin].arrival;
        let class = self.scenario.classes[arrival.class].clone();
        // Messages of one key are handed in one after another, each when the one before has its answer.
        let turn = arrival.key.map(|key| self.keys.borrow_mut().entry(key).or_default().clone());
        let _turn = match &turn {
            Some(turn) => Some(turn.lock().await),
            None => None,
        };
        let mut avoid = None;
        let mut again = again;
        loop {
            let deadline = arrival.at + Duration::from_secs_f64(class.deadline_s);
            let now = self.recorder.now();
            let (left, tries) = (deadline - now, self.book.borrow().origins[origin].tries);
            if left < Duration::from_millis(10) || tries > MOST_TRIES {
                return;
            }
            let courier = self.front(arrival.key, avoid);
            let message = {
                let mut book = self.book.borrow_mut();
                let message = MessageId(book.next);
                book.next += 1;
                book.counts.hand_ins += 1;
                book.origins[origin].tries += 1;
                let forget = deadline + REMEMBERED;
                let handed = Handed { origin, courier, taken: false, delivered: None, over: false, forget };
                book.handed.insert(message, handed);
                book.forget.push_back(message);
                message
            };
            let keyed = class.effect == Effect::Keyed;
            let idempotency_key = keyed.then(|| ids::idempotency_key(origin as u64));
            let request = HandIn {
                id: &ids::wire_id(message),
                key: arrival.key.unwrap_or(0),
                class: &class.name,
                partner: partner_id(arrival.partner).0,
                left,
                idempotency_key: idempotency_key.as_deref(),
                retry,
                again,
                body: &ids::body(origin as u64, self.scenario.traffic.body),
            }
            .request();
            self.recorder.note(Event::HandIn {
                message,
                courier: CourierId(courier as u8),
                class: ClassId(arrival.class as u8),
                key: arrival.key.map(OrderKey),
                partner: partner_id(arrival.partner),
                deadline,
            });
            let mut told = self.places[courier].clients.hand_in(&request).await;
            if told == Told::Cut && self.is_away(courier).await {
                told = Told::Unreached;
            }
            self.recorder.note(Event::Answered { message, told });
            match told {
                Told::Taken | Told::Error => return,
                Told::Busy(wait) => {
                    self.come_back(origin, wait);
                    return;
                }
                Told::GaveUp | Told::Cut | Told::Unreached => {
                    (avoid, again) = (Some(courier), true);
                    // A client that cannot reach anybody does not ask all the time.
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Whether a courier's process has ended, or does so in a moment.
    async fn is_away(&self, courier: usize) -> bool {
        let ended = self.places[courier].process.borrow().as_ref().map(Courier::ended);
        match ended {
            Some(mut ended) => {
                timeout(Duration::from_millis(100), ended.wait_for(|ended| *ended)).await.is_ok()
            }
            None => true,
        }
    }

    /// A refused message comes again once, after the longer of what was told and the client's own wait.
    fn come_back(self: &Rc<Self>, origin: usize, wait: Option<u64>) {
        let retries = {
            let mut book = self.book.borrow_mut();
            let origin = &mut book.origins[origin];
            let retries = origin.retries;
            origin.retries = retries.saturating_sub(1);
            retries
        };
        if retries == 0 {
            return;
        }
        let [from, to] = self.scenario.traffic.retry_ms;
        let own = from + (to - from) * self.rng.borrow_mut().f64();
        let wait = own.max(wait.unwrap_or(0) as f64);
        self.send(origin, true, false, Duration::from_secs_f64(wait / 1e3));
    }

    fn serve_returned(self: &Rc<Self>) {
        let returned = std::mem::take(&mut self.book.borrow_mut().returned);
        for (origin, wait) in returned {
            self.come_back(origin, wait);
        }
    }

    fn act(self: &Rc<Self>, action: Action) {
        let now = self.recorder.now();
        match action {
            Action::Begin { id, trouble, partner, endpoint, until } => {
                self.partners[partner].borrow_mut().begin(id, trouble, endpoint, until);
                if trouble == Trouble::Down {
                    self.reopen(partner);
                }
            }
            Action::End { id, partner } => {
                self.partners[partner].borrow_mut().end(id);
                self.reopen(partner);
            }
            Action::Out(partner) => {
                self.recorder.note(Event::Out { partner: partner_id(partner) });
            }
            Action::Back(partner) => self.back(partner, now),
            Action::Drain { partner, endpoint, replace } => self.drain(partner, endpoint, replace),
            Action::Gone { partner, endpoint, replace } => self.gone(partner, endpoint, replace),
            Action::Silence(courier, silent) => {
                if let Some(agent) = &*self.places[courier].agent.borrow() {
                    agent.silence(silent);
                }
            }
            Action::Move(courier) => {
                let world = self.clone();
                spawn_local(async move { world.move_agent(courier).await });
            }
            Action::Term(courier) => {
                let world = self.clone();
                spawn_local(async move { world.terminate(courier).await });
            }
            Action::Kill { courier, folder_lost } => self.kill(courier, folder_lost),
            Action::Start(courier) => {
                let world = self.clone();
                spawn_local(async move { world.start_again(courier).await });
            }
            Action::Full(courier, full) => self.full(courier, full),
        }
    }

    /// Opens or shuts the addresses of a partner's endpoints, as they are up or down.
    fn reopen(&self, partner: usize) {
        for standing in &self.endpoints.borrow()[partner] {
            if standing.state.get() == State::Gone {
                continue;
            }
            if self.partners[partner].borrow().is_down(standing.endpoint.place) {
                standing.doors.iter().for_each(Door::shut);
                standing.endpoint.break_connections();
            } else if let Some(error) = standing.doors.iter().find_map(|door| door.reopen().err()) {
                self.remark(format!("an endpoint's address could not be opened again: {error}"));
            }
        }
    }

    fn back(&self, partner: usize, now: At) {
        let mut model = self.partners[partner].borrow_mut();
        model.come_back(now);
        let (capacity, spec) = (model.capacity(), model.spec().clone());
        drop(model);
        // Calls of before hang no more.
        self.endpoints.borrow()[partner].iter().for_each(|standing| standing.endpoint.break_connections());
        self.recorder.note(Event::Back {
            partner: partner_id(partner),
            capacity,
            cold_from: spec.cold_from,
            warm: now + spec.cold,
        });
    }

    fn tell(self: &Rc<Self>, partner: usize, place: usize) {
        for courier in 0..self.places.len() {
            let target = self.target(courier, partner, &self.endpoints.borrow()[partner][place]);
            let [from, to] = self.scenario.register.late_s;
            let late = from + (to - from) * self.rng.borrow_mut().f64();
            let world = self.clone();
            spawn_local(async move {
                sleep(Duration::from_secs_f64(late)).await;
                if let Some(agent) = &*world.places[courier].agent.borrow() {
                    agent.change(target);
                }
            });
        }
    }

    fn drain(self: &Rc<Self>, partner: usize, place: usize, replace: Replace) {
        self.endpoints.borrow()[partner][place].state.set(State::Draining);
        self.tell(partner, place);
        if replace == Replace::New {
            let model = self.partners[partner].borrow_mut().add_endpoint();
            match self.endpoint(partner, model) {
                Ok(standing) => {
                    self.endpoints.borrow_mut()[partner].push(standing);
                    let place = self.endpoints.borrow()[partner].len() - 1;
                    self.tell(partner, place);
                }
                Err(error) => self.remark(format!("no new endpoint could be opened: {error}")),
            }
        }
    }

    fn gone(self: &Rc<Self>, partner: usize, place: usize, replace: Replace) {
        {
            let endpoints = self.endpoints.borrow();
            let standing = &endpoints[partner][place];
            standing.state.set(State::Gone);
            standing.endpoint.break_connections();
            if replace != Replace::SameAddress {
                standing.doors.iter().for_each(Door::shut);
            }
        }
        self.tell(partner, place);
        if replace == Replace::SameAddress {
            let model = self.partners[partner].borrow_mut().add_endpoint();
            let endpoint = self.new_endpoint(partner, model);
            let doors = self.endpoints.borrow()[partner][place].doors.clone();
            doors.iter().for_each(|door| door.hand_over(endpoint.clone()));
            let standing = Standing { endpoint, doors, state: Cell::new(State::Serving) };
            self.endpoints.borrow_mut()[partner].push(standing);
            let place = self.endpoints.borrow()[partner].len() - 1;
            self.tell(partner, place);
        }
    }

    async fn move_agent(&self, courier: usize) {
        let place = &self.places[courier];
        let Some(agent) = place.agent.borrow_mut().take() else { return };
        match agent.move_on().await {
            Ok(agent) => *place.agent.borrow_mut() = Some(agent),
            Err(error) => return self.remark(format!("the register could not move: {error}")),
        }
        match self.configure(courier) {
            Ok(_) => {
                if let Some(process) = &*place.process.borrow() {
                    process.signal(Signal::HUP);
                }
            }
            Err(error) => self.remark(format!("no new configuration could be written: {error}")),
        }
    }

    async fn terminate(self: &Rc<Self>, courier: usize) {
        let place = &self.places[courier];
        place.ending.borrow().set(true);
        place.signalled.set(Some(Instant::now()));
        self.process(courier, Process::Terminated);
        let ended = {
            let process = place.process.borrow();
            let Some(process) = &*process else { return };
            process.signal(Signal::TERM);
            process.ended()
        };
        sleep(FRONT_NOTICES).await;
        place.serving.set(false);
        let mut waiting = ended;
        if timeout(END - FRONT_NOTICES, waiting.wait_for(|ended| *ended)).await.is_err() {
            self.remark(format!("courier {courier} was still there 3.7 s after SIGTERM, and was killed"));
            if let Some(process) = &*place.process.borrow() {
                process.signal(Signal::KILL);
            }
        }
        place.clients.find(None);
        self.process(courier, Process::Ended);
    }

    fn kill(self: &Rc<Self>, courier: usize, folder_lost: bool) {
        let place = &self.places[courier];
        place.ending.borrow().set(true);
        place.signalled.set(Some(Instant::now()));
        place.serving.set(false);
        if let Some(process) = &*place.process.borrow() {
            process.signal(Signal::KILL);
        }
        place.clients.find(None);
        self.process(courier, Process::Ended);
        if folder_lost {
            let state = place.folder.join("state");
            let lost = std::fs::remove_dir_all(&state).and_then(|()| std::fs::create_dir_all(&state));
            if let Err(error) = lost {
                self.remark(format!("a courier's folder could not be lost: {error}"));
            }
            self.hand_again(courier);
            self.process(courier, Process::FolderLost);
        }
    }

    /// What a lost courier held comes again to a live one, but what must not be repeated and may have run.
    fn hand_again(self: &Rc<Self>, courier: usize) {
        let held: Vec<usize> = {
            let book = self.book.borrow();
            let of = |(message, handed): (&MessageId, &Handed)| {
                let class = book.origins[handed.origin].arrival.class;
                let unsafe_class = self.scenario.classes[class].effect == Effect::Unsafe;
                let mine = handed.courier == courier && handed.taken && !handed.over;
                (mine && !(unsafe_class && book.judge.may_have_run(*message))).then_some(handed.origin)
            };
            book.handed.iter().filter_map(of).collect()
        };
        for origin in held {
            let (from, to) = HANDED_AGAIN_MS;
            let after = self.rng.borrow_mut().u64(from..to);
            self.send(origin, false, true, Duration::from_millis(after));
        }
    }

    async fn start_again(self: &Rc<Self>, courier: usize) {
        let place = &self.places[courier];
        let ended = place.process.borrow().as_ref().map(Courier::ended);
        if let Some(mut ended) = ended {
            let _ = ended.wait_for(|ended| *ended).await;
        }
        if let Some(signalled) = place.signalled.get() {
            sleep_until(signalled + RESTART).await;
        }
        if let Err(error) = self.start(courier).await {
            self.remark(format!("a courier did not start again: {error}"));
            self.process(courier, Process::Crashed);
        }
    }

    fn full(&self, courier: usize, full: bool) {
        let place = &self.places[courier];
        let largest = || -> io::Result<u64> {
            let mut most = 0;
            for file in std::fs::read_dir(place.folder.join("state"))? {
                most = most.max(file?.metadata()?.len());
            }
            Ok(most)
        };
        let limit = if full { largest().map(Some) } else { Ok(None) };
        let process = place.process.borrow();
        let Some(process) = &*process else { return };
        if let Err(error) = limit.and_then(|limit| process.limit_files(limit)) {
            self.remark(format!("the folder of courier {courier} could not be filled: {error}"));
        }
    }

    /// Ends all couriers as a planned end would.
    async fn end(&self) {
        for (courier, place) in self.places.iter().enumerate() {
            place.ending.borrow().set(true);
            if place.process.borrow().as_ref().is_some_and(|process| !process.has_ended()) {
                self.process(courier, Process::Terminated);
            }
            if let Some(process) = &*place.process.borrow() {
                process.signal(Signal::TERM);
            }
        }
        let until = Instant::now() + END;
        for (courier, place) in self.places.iter().enumerate() {
            let Some(process) = place.process.borrow_mut().take() else { continue };
            let left = until.saturating_duration_since(Instant::now());
            if !process.wait(left).await {
                self.remark(format!("courier {courier} was still there 3.7 s after SIGTERM, and was killed"));
                process.signal(Signal::KILL);
                process.wait(END).await;
            }
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
        let (clients, partners) = (lateness(&self.late.borrow()), lateness(&counters.late.borrow()));
        let late = clients.p99.max(partners.p99);
        let void = (late > LATE_MS).then(|| {
            format!(
                "the kit itself was late by {late:.0} ms at p99; over {LATE_MS:.0} ms nothing can be said"
            )
        });
        let service = book.service.figures(Weights::default());
        let broken = book.judge.counts().clone();
        let verdict = if void.is_some() {
            Verdict::Void
        } else if !broken.is_empty() {
            Verdict::Broken
        } else if service.service < self.scenario.floor {
            Verdict::UnderFloor
        } else {
            Verdict::Kept
        };
        let breaches = book.judge.breaches().iter().map(Shown::from).collect();
        let names = self.scenario.classes.iter().map(|class| class.name.clone());
        Report {
            scenario: self.scenario.name.clone(),
            about: self.scenario.about.clone(),
            seed: self.seed,
            seconds: self.scenario.seconds,
            took: now.seconds(),
            ended_early,
            verdict,
            void,
            floor: self.scenario.floor,
            service,
            broken,
            breaches,
            counts: Counts {
                refused: counters.refused.get(),
                connections: counters.connections.get(),
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
    PartnerId(place as u16 + 1)
}

fn lateness(histogram: &Histogram<u64>) -> Lateness {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Lateness { p50: at(0.5), p99: at(0.99), max: histogram.max() as f64 / 1e3 }
}

fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

/// The settings that couriers are given, in the names of the operators' wire.
fn settings(scenario: &Scenario, day: &Day) -> Value {
    let figures = rules(scenario);
    let lanes: Vec<Value> = scenario
        .classes
        .iter()
        .map(|class| {
            let effect = match class.effect {
                Effect::Safe => "read_like",
                Effect::Keyed => "idempotency_key",
                Effect::Unsafe => "non_idempotent",
            };
            let window = if class.effect == Effect::Keyed { nanos(class.window_s) } else { 0 };
            json!({
                "Name": class.name, "Effect": effect, "Group": "all", "RepeatWindow": window,
                "OneAtATime": class.in_order, "Worth": class.worth, "LateShare": class.late_share,
                "Aim": nanos(class.aim_s), "Deadline": nanos(class.deadline_s),
            })
        })
        .collect();
    let mut kinds: Vec<&str> = scenario.partners.iter().map(|partner| partner.kind.as_str()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let cold_from = scenario.partners.iter().map(|partner| partner.cold_from).fold(1.0, f64::min);
    let cold = scenario.partners.iter().map(|partner| partner.cold_s).fold(0.0, f64::max);
    json!({
        "Balancers": scenario.couriers.count, "Lanes": lanes, "MachineTypes": kinds, "Zones": [ZONE],
        "WeightSource": "nominal",
        "Report": {"Fields": ["x0", "x1"]},
        "FamilyInfo": {
            "CallsOut": day.slots, "KindBatch": vec![1; kinds.len()], "OwnLimits": vec![false; kinds.len()],
        },
        "Permissions": {
            "MostHeld": day.most_held, "SendCap": 8, "Cancel": true, "ConnIdle": nanos(15.0),
            "ConnectTimeout": nanos(1.0),
        },
        "Rules": {
            "AnswerSlack": 20_000_000, "OrderSettle": figures.order_settle.as_nanos() as u64,
            "Fall": figures.fall_window.as_nanos() as u64, "TipMultiple": figures.fall_multiple,
            "Cold": nanos(cold), "ColdFrom": cold_from,
            "StopSendingWithin": figures.drain_grace.as_nanos() as u64,
        },
    })
}
