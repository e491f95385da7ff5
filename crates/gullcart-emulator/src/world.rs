//! The world in virtual time: what happens next, and to whom.

use crate::courier::{Place, Process};
use crate::queue::Queue;
use cloverstile::{parse_settings_json, EndpointId, MessageId, Outcome, Parsed};
use gullcart_engine::{Answer, Effect, Ended, Engine, IdleShare, Input, Notice, Start, Ticket, EPOCH};
use gullcart_journal::{Journal, Options};
use gullcart_judge::trace::{
    At, CallId, CourierId, Entry, Event, MessageId as HandInId, PartnerId, Process as What, State, Told,
};
use gullcart_judge::Weights;
#[cfg(feature = "broken")]
use gullcart_message::Update;
use gullcart_message::Verdict as End;
use gullcart_rehearsal::book::Book;
use gullcart_rehearsal::figures::{settings, spec, AFTERMATH, LOOK};
use gullcart_rehearsal::{Counts, Day, Lateness, Report, Sample, Scenario, Shown, Until, Verdict};
use gullcart_standins::ids;
use gullcart_standins::partner::{Fate, Partner};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// One way over the network, and what may come on top of it.
const ONE_WAY: Duration = Duration::from_micros(80);
const JITTER_US: u64 = 120;
/// From a process's start until it answers.
pub(crate) const READY: Duration = Duration::from_millis(15);
/// Unix time of the beginning of each day.
const BEGIN_MS: u64 = 1_800_000_000_000;
/// Times before a day begins: couriers start before it.
pub(crate) const LEAD: Duration = Duration::from_millis(200);

/// Where an endpoint is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Address(pub u32);

impl Address {
    pub fn text(self) -> String {
        SocketAddr::from((Ipv4Addr::from(0x7f00_0000 | self.0), 1)).to_string()
    }

    pub fn of(socket: SocketAddr) -> Option<Self> {
        match socket {
            SocketAddr::V4(v4) => Some(Address(u32::from(*v4.ip()) & 0x00ff_ffff)),
            SocketAddr::V6(_) => None,
        }
    }
}

/// An endpoint of a partner.
pub(crate) struct Standing {
    pub id: gullcart_judge::trace::EndpointId,
    /// Its place in the partner's model.
    pub place: usize,
    pub address: Address,
    pub state: State,
}

/// A call at an endpoint.
pub(crate) struct CallThere {
    pub courier: usize,
    pub epoch: u32,
    pub message: MessageId,
    pub serial: u64,
    pub partner: usize,
    pub standing: usize,
    pub fate: Fate,
}

/// A call on its way.
pub(crate) struct Arriving {
    pub courier: usize,
    pub epoch: u32,
    pub message: MessageId,
    /// 0 for one that its courier does not know of.
    pub serial: u64,
    pub address: Address,
    pub id: String,
    pub key: Option<String>,
    pub first: At,
    pub fresh: bool,
}

/// A hand-in whose client waits.
pub(crate) struct Waiting {
    pub origin: usize,
    pub courier: usize,
    pub retry: bool,
    pub again: bool,
}

/// A message that waits for its key's turn.
#[derive(Clone, Copy)]
pub(crate) struct Sending {
    pub origin: usize,
    pub retry: bool,
    pub again: bool,
    pub avoid: Option<usize>,
}

/// What is going to happen.
pub(crate) enum Due {
    /// The next message of the day is due.
    Arrival(usize),
    /// A client sends; whether it has its key's turn already.
    Send(Sending, bool),
    /// A request reaches its courier.
    Request(usize, u32, HandInId),
    /// An answer reaches its client, or the client gives up.
    Told(HandInId, Told),
    /// A courier's turn.
    Turn(usize, u32),
    /// A connection is up, and the call is written.
    Write { courier: usize, epoch: u32, message: MessageId, serial: u64, fresh: bool },
    /// The last byte of a call reaches its endpoint.
    Call(Arriving),
    /// What becomes of a call is due at its endpoint.
    Fate(CallId),
    /// A courier closes the connection of a call.
    Cut(CallId),
    /// A call's end reaches its courier; with a connection that is of further use.
    Back { courier: usize, epoch: u32, message: MessageId, serial: u64, ended: Ended, keep: bool },
    /// A courier gives a call up.
    GiveUp { courier: usize, epoch: u32, message: MessageId, serial: u64 },
    /// A call's connection does not come up in time.
    Never { courier: usize, epoch: u32, message: MessageId, serial: u64, outcome: Outcome },
    /// A notice reaches the platform.
    Notice(usize, u32, Notice),
    /// A notice's answer reaches its courier.
    Heard(usize, u32, MessageId),
    /// News of the list reaches a courier's agent.
    News(usize, usize, usize, State),
    /// News that was not told counts as told.
    ToldAtLast(usize),
    /// What is kept back by a broken courier.
    #[cfg(feature = "broken")]
    HeardAtLast(usize, u32, Update),
    /// Something is done to the world.
    Act(usize),
    /// A process starts.
    Start(usize),
    /// It answers.
    Ready(usize, u32),
    /// The front has noticed that a courier ends.
    FrontNotices(usize, u32),
    /// SIGKILL, if it is still there.
    Kill(usize, u32),
    /// A look at the run.
    Look,
}

pub(crate) struct World<'a> {
    pub scenario: &'a Scenario,
    pub seed: u64,
    pub day: Day,
    pub book: Book,
    pub now: At,
    pub queue: Queue<Due>,
    pub rng: fastrand::Rng,
    pub partners: Vec<Partner>,
    pub endpoints: Vec<Vec<Standing>>,
    pub next_endpoint: u32,
    pub places: Vec<Place>,
    pub parsed: Parsed,
    /// By key: those that wait behind the one whose turn it is.
    pub turns: BTreeMap<u64, VecDeque<Sending>>,
    /// Clients that wait for an answer.
    pub waiting: BTreeMap<HandInId, Waiting>,
    /// Clients' messages that are on their way.
    pub busy: u64,
    pub calls: BTreeMap<CallId, CallThere>,
    pub next_call: u64,
    pub next_serial: u64,
    pub counts: Counts,
    pub remarks: Vec<String>,
    arrived: bool,
    acted: bool,
    #[cfg(feature = "broken")]
    pub broken: Option<&'a str>,
    trace: crc32fast::Hasher,
    entries: u64,
}

/// How a day in virtual time went.
#[derive(Debug)]
pub struct Emulated {
    /// As of a rehearsal.
    pub report: Report,
    /// The sum of all trace lines: the same wherever the same is played.
    pub trace: u32,
    /// Trace lines.
    pub entries: u64,
    /// Things that happened in the world.
    pub steps: u64,
}

/// What stands in the way of playing a day.
#[derive(Debug, thiserror::Error)]
pub enum EmulationError {
    /// The scenario's figures are none that a courier takes.
    #[error("the couriers' settings: {0}")]
    Settings(#[from] cloverstile::SettingError),
    /// A courier cannot start.
    #[error("courier {courier} cannot start: {error}")]
    Start {
        /// Which.
        courier: usize,
        /// Why.
        error: gullcart_journal::JournalError,
    },
}

impl<'a> World<'a> {
    pub fn build(scenario: &'a Scenario, seed: u64) -> Result<Self, EmulationError> {
        let day = Day::draw(scenario, seed);
        let parsed = parse_settings_json(&settings(scenario, &day))?;
        let partner = |(place, partner): (usize, &_)| {
            let partner: &gullcart_rehearsal::Partner = partner;
            let own = seed.wrapping_mul(1009).wrapping_add(place as u64);
            Partner::new(spec(partner), partner.endpoints, own)
        };
        let disk = (scenario.couriers.disk_mb * 1e6) as u64;
        let mut world = World {
            scenario,
            seed,
            day,
            book: Book::new(scenario),
            now: At(0),
            queue: Queue::default(),
            rng: fastrand::Rng::with_seed(seed ^ 0x656d_756c_6174_6500),
            partners: scenario.partners.iter().enumerate().map(partner).collect(),
            endpoints: Vec::new(),
            next_endpoint: 1,
            places: (0..scenario.couriers.count).map(|at| Place::new(disk, seed ^ at as u64)).collect(),
            parsed,
            turns: BTreeMap::new(),
            waiting: BTreeMap::new(),
            busy: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            next_serial: 0,
            counts: Counts::default(),
            remarks: Vec::new(),
            arrived: false,
            acted: false,
            #[cfg(feature = "broken")]
            broken: None,
            trace: crc32fast::Hasher::new(),
            entries: 0,
        };
        for partner in 0..world.partners.len() {
            world.endpoints.push(Vec::new());
            for place in 0..scenario.partners[partner].endpoints {
                let standing = world.stand(partner, place, None);
                for courier in 0..world.places.len() {
                    let target = world.target(partner, &standing);
                    world.places[courier].agent.targets.insert(standing.id, target);
                }
                world.endpoints[partner].push(standing);
            }
        }
        Ok(world)
    }

    /// Something is written down.
    pub fn note(&mut self, event: Event) {
        let entry = Entry { at: self.now, event };
        self.trace.update(entry.to_string().as_bytes());
        self.entries += 1;
        self.book.hear(entry);
    }

    pub fn remark(&mut self, text: String) {
        if self.remarks.len() < 20 {
            self.remarks.push(text);
        }
    }

    /// One way over the network, from now on.
    pub fn over_there(&mut self) -> At {
        self.now + ONE_WAY + Duration::from_micros(self.rng.u64(..JITTER_US))
    }

    /// Plays the day.
    pub fn play(mut self, until: Until, mut progress: impl FnMut(f64)) -> Result<Emulated, EmulationError> {
        for courier in 0..self.places.len() {
            self.start(courier)?;
        }
        self.queue.put(At(0), Due::Look);
        match self.day.arrivals.first() {
            Some(first) => self.queue.put(first.at + LEAD, Due::Arrival(0)),
            None => self.arrived = true,
        }
        match self.day.actions.first() {
            Some((at, _)) => self.queue.put(*at + LEAD, Due::Act(0)),
            None => self.acted = true,
        }
        let deadline = self.scenario.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
        let last = At(0) + Duration::from_secs_f64(self.scenario.seconds + deadline + 5.0);
        let mut samples = Vec::new();
        let mut next = At(0);
        let (mut calls, mut refused) = (0, 0);
        let mut quiet_since = None;
        while let Some((at, due)) = self.queue.take() {
            self.now = at;
            let Due::Look = due else {
                self.happen(due)?;
                continue;
            };
            self.book.judge.advance(at);
            for (origin, wait) in std::mem::take(&mut self.book.returned) {
                self.come_back(origin, wait);
            }
            self.book.forget(at);
            if at >= next {
                next = next + Duration::from_secs(1);
                samples.push(self.sample(&mut calls, &mut refused));
                progress(at.seconds());
            }
            if until.is_reached(&self.book.judge) {
                break;
            }
            let quiet = self.arrived && self.acted && self.busy == 0 && self.book.judge.owed() == 0;
            quiet_since = if quiet { quiet_since.or(Some(at)) } else { None };
            if quiet_since.is_some_and(|since| at - since >= AFTERMATH) || at > last {
                break;
            }
            self.queue.put(at + LOOK, Due::Look);
        }
        Ok(self.emulated(samples, until))
    }

    fn happen(&mut self, due: Due) -> Result<(), EmulationError> {
        match due {
            Due::Arrival(number) => {
                self.arrive(number);
                match self.day.arrivals.get(number + 1) {
                    Some(next) => self.queue.put(next.at + LEAD, Due::Arrival(number + 1)),
                    None => self.arrived = true,
                }
            }
            Due::Send(sending, has_turn) => self.send(sending, has_turn),
            Due::Request(courier, epoch, message) => self.request(courier, epoch, message),
            Due::Told(message, told) => self.told(message, told),
            Due::Turn(courier, epoch) => {
                let now = self.now;
                if let Some(process) = self.places[courier].process(epoch).filter(|p| p.wake == Some(now)) {
                    process.wake = None;
                    self.turn(courier);
                }
            }
            Due::Write { courier, epoch, message, serial, fresh } => {
                self.write(courier, epoch, message, serial, fresh);
            }
            Due::Call(arriving) => self.call(arriving),
            Due::Fate(call) => self.fate(call),
            Due::Cut(call) => self.cut(call),
            Due::Back { courier, epoch, message, serial, ended, keep } => {
                self.back_at(courier, epoch, message, serial, ended, keep);
            }
            Due::GiveUp { courier, epoch, message, serial } => self.give_up(courier, epoch, message, serial),
            Due::Never { courier, epoch, message, serial, outcome } => {
                self.never(courier, epoch, message, serial, outcome);
            }
            Due::Notice(courier, epoch, notice) => self.noticed(courier, epoch, &notice),
            Due::Heard(courier, epoch, message) => self.input(courier, epoch, Input::Heard(vec![message])),
            Due::News(courier, partner, standing, state) => self.news(courier, partner, standing, state),
            Due::ToldAtLast(courier) => {
                if !self.places[courier].agent.is_silent {
                    self.count_as_told(courier);
                }
            }
            #[cfg(feature = "broken")]
            Due::HeardAtLast(courier, epoch, update) => {
                self.input(courier, epoch, Input::HeardAtLast(update))
            }
            Due::Act(number) => {
                let action = self.day.actions[number].1.clone();
                self.act(action);
                match self.day.actions.get(number + 1) {
                    Some((at, _)) => self.queue.put(*at + LEAD, Due::Act(number + 1)),
                    None => self.acted = true,
                }
            }
            Due::Start(courier) => self.start(courier)?,
            Due::Ready(courier, epoch) => {
                if self.places[courier].process(epoch).is_some() {
                    self.note(Event::Process { courier: CourierId(courier as u16), what: What::Ready });
                    self.places[courier].is_serving = true;
                }
            }
            Due::FrontNotices(courier, epoch) => {
                if self.places[courier].epoch == epoch {
                    self.places[courier].is_serving = false;
                }
            }
            Due::Kill(courier, epoch) => {
                if self.places[courier].process(epoch).is_some() {
                    self.remark(format!(
                        "courier {courier} was still there 3.7 s after SIGTERM, and was killed"
                    ));
                    self.end_process(courier);
                }
            }
            Due::Look => {}
        }
        Ok(())
    }

    /// A process starts on its folder.
    fn start(&mut self, courier: usize) -> Result<(), EmulationError> {
        let (now, seed) = (self.now, self.rng.u64(..));
        self.note(Event::Process { courier: CourierId(courier as u16), what: What::Started });
        let disk = (self.scenario.couriers.disk_mb * 1e6) as u64;
        let place = &mut self.places[courier];
        // What a process may not write, the next one may.
        place.disk.refuse(false);
        let failed = |error| EmulationError::Start { courier, error };
        let journal =
            Journal::replay(place.disk.clone(), disk, Options::default(), seed | 1).map_err(failed)?;
        #[cfg(feature = "broken")]
        let broken = gullcart_engine::broken::Broken::chosen(self.broken).unwrap_or_default();
        let parsed = self.parsed.clone();
        // As the daemon does.
        #[cfg(feature = "broken")]
        let parsed = broken.settings(parsed);
        let start = Start {
            parsed,
            seed,
            known: place.agent.list(),
            now: EPOCH,
            epoch_ms: BEGIN_MS + now.0 / 1000,
            fingerprint: 0,
            #[cfg(feature = "broken")]
            broken,
        };
        let engine = Engine::new(start, journal);
        let rev = engine.rev();
        place.epoch += 1;
        let epoch = place.epoch;
        let share = IdleShare::new(self.parsed.settings.couriers, seed);
        place.process = Some(Process::new(engine, now, self.day.slots, share));
        // Its watch tells it at once what has changed since the list that it remembers.
        if place.agent.rev > rev && !place.agent.is_silent {
            let list = place.agent.list();
            self.input(courier, epoch, Input::Listed(list));
        }
        if !self.places[courier].agent.is_silent {
            self.count_as_told(courier);
        }
        self.wake(courier, now);
        self.queue.put(now + READY, Due::Ready(courier, epoch));
        Ok(())
    }

    /// Tells a courier's engine something, and has a turn come behind it.
    pub fn input(&mut self, courier: usize, epoch: u32, input: Input) {
        let now = self.now;
        let Some(process) = self.places[courier].process(epoch) else { return };
        let time = process.time(now);
        process.engine.handle(time, input);
        self.wake(courier, now);
    }

    /// A courier's next turn comes no later than that.
    pub fn wake(&mut self, courier: usize, at: At) {
        let epoch = self.places[courier].epoch;
        let Some(process) = &mut self.places[courier].process else { return };
        if process.wake.is_none_or(|wake| at < wake) {
            process.wake = Some(at);
            self.queue.put(at, Due::Turn(courier, epoch));
        }
    }

    fn turn(&mut self, courier: usize) {
        let now = self.now;
        let epoch = self.places[courier].epoch;
        let Some(process) = &mut self.places[courier].process else { return };
        let time = process.time(now);
        let effects = match process.engine.turn(time) {
            Ok(effects) => effects,
            Err(error) => {
                self.remark(format!("courier {courier} ended by itself: {error}"));
                self.note(Event::Process { courier: CourierId(courier as u16), what: What::Crashed });
                self.places[courier].process = None;
                return;
            }
        };
        let may_end = process.is_ending && process.engine.may_end(time);
        let next = process.engine.next_wake().map(|at| process.at(at).max(now));
        for effect in effects {
            self.effect(courier, epoch, effect);
        }
        if may_end {
            self.end_process(courier);
        } else if let Some(next) = next {
            // What is due at once is due after what has been put for now.
            self.wake(courier, next.max(now + Duration::from_micros(1)));
        }
    }

    fn effect(&mut self, courier: usize, epoch: u32, effect: Effect) {
        match effect {
            Effect::Answer(Ticket(message), answer) => {
                let told = match answer {
                    Answer::Taken(_) | Answer::Held => Told::Taken,
                    Answer::Busy(after) => Told::Busy(after.map(|after| after.as_millis() as u64)),
                    Answer::Error(_) => Told::Error,
                };
                let at = self.over_there();
                self.queue.put(at, Due::Told(HandInId(message), told));
            }
            Effect::Begin(call) => self.begin(courier, epoch, &call),
            Effect::Stop(message, reason) => self.stop(courier, epoch, message, reason),
            Effect::Tell(notice) => {
                let at = self.over_there();
                self.queue.put(at, Due::Notice(courier, epoch, notice));
            }
            Effect::CloseIdle(endpoint) => {
                if let Some(process) = self.places[courier].process(epoch) {
                    process.close(|other: EndpointId| other == endpoint);
                }
            }
            Effect::CloseShut => {
                if let Some(process) = self.places[courier].process(epoch) {
                    process.close_shut();
                }
            }
            // No operator calls there yet.
            Effect::Closing | Effect::Ordered(..) => {}
            #[cfg(feature = "broken")]
            Effect::HearLater(update, after) => {
                self.queue.put(self.now + after, Due::HeardAtLast(courier, epoch, update));
            }
            #[cfg(feature = "broken")]
            Effect::TellLater(notice, at) => {
                if let Some(process) = self.places[courier].process(epoch) {
                    let at = process.at(at);
                    self.queue.put(at.max(self.now), Due::Notice(courier, epoch, notice));
                }
            }
            #[cfg(feature = "broken")]
            Effect::BeginUnknown(call) => self.begin_unknown(courier, epoch, &call),
        }
    }

    fn noticed(&mut self, courier: usize, epoch: u32, notice: &Notice) {
        if self.places[courier].process(epoch).is_none() {
            return;
        }
        let message = ids::message_of(&notice.id);
        let ended = match notice.verdict {
            End::Failed => gullcart_judge::trace::Ended::Failed,
            End::Returned { after_ms } => gullcart_judge::trace::Ended::Returned(Some(after_ms)),
        };
        self.note(Event::Notice { message, courier: CourierId(courier as u16), ended });
        if let Some(message) = message {
            self.note(Event::NoticeAnswered { message });
        }
        let at = self.over_there();
        self.queue.put(at, Due::Heard(courier, epoch, notice.message));
    }

    fn sample(&mut self, calls: &mut u64, refused: &mut u64) -> Sample {
        let mut recent = std::mem::take(&mut self.book.recent);
        recent.sort_by(f64::total_cmp);
        let sample = Sample {
            at: self.now.seconds(),
            out: self.calls.len() as u32,
            owed: self.book.judge.owed(),
            calls: self.next_call - *calls,
            refused: self.counts.refused - *refused,
            memory_mb: vec![None; self.places.len()],
            latency_ms: recent.last().map(|worst| (recent[recent.len() / 2], *worst)),
        };
        (*calls, *refused) = (self.next_call, self.counts.refused);
        sample
    }

    fn emulated(mut self, samples: Vec<Sample>, until: Until) -> Emulated {
        let ended_early = until.is_reached(&self.book.judge);
        if !ended_early {
            self.book.judge.finish(self.now);
        }
        let service = self.book.service.figures(Weights::default());
        let broken = self.book.judge.counts().clone();
        let verdict = if !broken.is_empty() {
            Verdict::Broken
        } else if service.service < self.scenario.floor {
            Verdict::UnderFloor
        } else {
            Verdict::Kept
        };
        let names = self.scenario.classes.iter().map(|class| class.name.clone());
        let (book, scenario) = (&self.book, self.scenario);
        let report = Report {
            scenario: scenario.name.clone(),
            about: scenario.about.clone(),
            seed: self.seed,
            seconds: scenario.seconds,
            took: self.now.seconds(),
            ended_early,
            verdict,
            void: None,
            floor: scenario.floor,
            service,
            broken,
            breaches: book.judge.breaches().iter().map(Shown::from).collect(),
            counts: Counts {
                refused: self.counts.refused,
                connections: self.counts.connections,
                ..book.counts
            },
            latency: book.service.latency(None),
            percentiles: book.service.percentiles(),
            latency_of: names.enumerate().map(|(at, name)| (name, book.service.latency(Some(at)))).collect(),
            by_second: book.service.seconds().to_vec(),
            samples,
            faults: self.day.windows.clone(),
            late_clients: Lateness::default(),
            late_partners: Lateness::default(),
            remarks: self.remarks.clone(),
        };
        let steps = self.queue.put_so_far();
        Emulated { report, trace: self.trace.finalize(), entries: self.entries, steps }
    }

    pub fn partner_id(partner: usize) -> PartnerId {
        PartnerId(partner as u32 + 1)
    }
}
