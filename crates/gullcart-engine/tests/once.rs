//! No effect happens twice, whatever comes in whatever order: calls that come up late, are written in part, answered whole,
//! cut, spoilt or never, called off, withdrawn; a courier that is killed and replayed, or goes on in another process;
//! lists that move endpoints; messages that are handed in again. The partners' side is the truth here: it knows what of
//! each call it has got, and when, and holds every later call against that.

mod common;

use bytes::Bytes;
use cloverstile::{parse_settings_json, MessageId, Outcome, Time};
use common::{journal, DISK, START_MS};
use gullcart_engine::{
    Answer, Call, CallResult, Effect, Engine, EngineConfig, Enqueue, Input, StopReason, Ticket, EPOCH,
};
use gullcart_journal::simulated::{Crash, Disk, Fault};
use gullcart_message::{Target, Update, Verdict};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ENDPOINTS: u16 = 9;
const CONNECT: Duration = Duration::from_millis(1000);
const WINDOW: Duration = Duration::from_millis(3000);
const DEADLINE: Duration = Duration::from_millis(8000);
/// A connection to a partner that is cut off comes up when the kernel tries again, or a moment after it was given up.
const LATE: Duration = Duration::from_millis(900);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Classes of each kind, with windows that are short beside the time that a connection may take.
fn config(now: Time, epoch_ms: u64) -> EngineConfig {
    let class = |name: &str, effect: &str, group: &str, order: bool| {
        json!({
            "Name": name, "Effect": effect, "Group": group, "RepeatWindow": WINDOW.as_nanos() as u64, "OneAtATime": order,
            "Worth": 1.0, "LateShare": 0.5, "Aim": 1_000_000_000_u64, "Deadline": DEADLINE.as_nanos() as u64,
        })
    };
    let settings = json!({
        "Balancers": 1,
        "Lanes": [class("salary", "non_idempotent", "all", false), class("notice", "idempotency_key", "all", true),
            class("letter", "idempotency_key", "zone", false)],
        "MachineTypes": ["banks"], "Zones": ["kingston"], "WeightSource": "nominal",
        "FamilyInfo": {"CallsOut": 5, "KindBatch": [1], "OwnLimits": [false]},
        "Permissions": {"MostHeld": 60, "SendCap": 8, "Cancel": true, "ConnIdle": 15_000_000_000_u64,
            "ConnectTimeout": CONNECT.as_nanos() as u64},
        "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Fall": 500_000_000_u64, "Cold": 1_000_000_000_u64},
    });
    EngineConfig {
        parsed_settings: parse_settings_json(&settings).unwrap(),
        seed: now.0 ^ epoch_ms,
        initial_list: Update {
            rev: 1,
            all: true,
            targets: (0..ENDPOINTS).map(|n| target(n, zone_at_first(n))).collect(),
        },
        now,
        epoch_ms,
        settings_checksum: 1,
        #[cfg(feature = "broken")]
        fault_injector: Default::default(),
    }
}

/// The settings hold the first zone alone; the others are numbered as they come.
fn zone_at_first(number: u16) -> u8 {
    (number % 3) as u8
}

fn target(number: u16, zone: u8) -> Target {
    Target {
        uid: format!("s-{number}"),
        endpoint: format!("127.0.0.1:{}", 1000 + number),
        az: ["kingston", "montego", "ocho-rios"][usize::from(zone)].to_owned(),
        model: "banks".to_owned(),
        pod_group: (number / 3).into(),
        state: "SERVING".to_owned(),
        capacity_hint: 400.0,
    }
}

/// How much of a call has gone.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Gone {
    Nothing,
    Part,
    All,
}

/// A call as the courier's network code has it.
struct Out {
    call: Call,
    began: Time,
    /// Where the endpoint stood by the list when the call began.
    zone: u8,
    /// When its connection comes up.
    up: Time,
    gone: Gone,
    called_off: bool,
}

/// What the partners have got of one message.
#[derive(Default)]
struct Got {
    class: String,
    /// Each call that came whole and may have taken effect: when, and in which zone.
    ran: Vec<(Time, u8)>,
    /// Its end, as the platform was told.
    returned: bool,
}

struct World {
    disk: Disk,
    engine: Engine<Disk>,
    now: Time,
    rng: fastrand::Rng,
    out: BTreeMap<MessageId, Out>,
    got: BTreeMap<String, Got>,
    told: BTreeSet<MessageId>,
    /// The list as discovery has it: zones and states.
    zones: Vec<u8>,
    states: Vec<&'static str>,
    next: u64,
    rev: u64,
    /// What happened to each message, for the case that something is wrong.
    story: Vec<String>,
    repeats: u32,
}

impl World {
    fn new(seed: u64) -> Self {
        let disk = Disk::new(DISK, Crash::Process, seed);
        let engine = Engine::new(config(EPOCH, START_MS), journal(&disk, Crash::Process));
        World {
            disk,
            engine,
            now: EPOCH,
            rng: fastrand::Rng::with_seed(seed),
            out: BTreeMap::new(),
            got: BTreeMap::new(),
            told: BTreeSet::new(),
            zones: (0..ENDPOINTS).map(zone_at_first).collect(),
            states: vec!["SERVING"; usize::from(ENDPOINTS)],
            next: 0,
            rev: 1,
            story: Vec::new(),
            repeats: 0,
        }
    }

    fn tell(&mut self, what: String) {
        let at = (self.now - EPOCH).as_millis();
        self.story.push(format!("{at:>7} {what}"));
    }

    fn wrong(&self, id: &str, what: &str) -> ! {
        let story: Vec<&String> =
            self.story.iter().filter(|l| l.contains(&format!("{id} ")) || l.contains("**")).collect();
        panic!("{what}: {id}\n{story:#?}")
    }

    /// The last byte of a call has come: held against all that came before.
    fn arrives(&mut self, message: MessageId) {
        let out = &self.out[&message];
        let id = out.call.id.clone();
        let number = usize::from(out.call.address.port() - 1000);
        let (zone, now) = (out.zone, self.now);
        let got = self.got.entry(id.clone()).or_default();
        let (class, before, returned) = (got.class.clone(), got.ran.first().copied(), got.returned);
        got.ran.push((now, zone));
        self.tell(format!("{id} of {class} arrives at {number} in zone {zone}"));
        self.repeats += u32::from(before.is_some());
        if returned {
            self.wrong(&id, "sent after it was handed back");
        }
        let Some((first, first_zone)) = before else { return };
        match class.as_str() {
            "salary" => self.wrong(&id, "work that may run only once is sent again"),
            _ if now > first + WINDOW => self.wrong(&id, "sent again behind its window"),
            "letter" if zone != first_zone => self.wrong(&id, "sent again outside its group"),
            _ => {}
        }
    }

    /// The partner says of a call that it has never run, in an answer that came whole.
    fn never_ran(&mut self, id: &str) {
        if let Some(got) = self.got.get_mut(id) {
            got.ran.pop();
        }
    }

    fn ended(&mut self, message: MessageId, outcome: Outcome) {
        let Some(out) = self.out.remove(&message) else { return };
        let (id, gone) = (&out.call.id, out.gone);
        self.tell(format!("{id} {outcome:?} with {gone:?} of it gone"));
        let complete = matches!(outcome, Outcome::Ok);
        let ended =
            CallResult { outcome, latency: self.now - out.began, is_final: complete, allowance: None };
        self.engine.handle(self.now, Input::CallEnded(message, out.call.endpoint, ended));
    }

    /// How the network code ends a call that is not answered.
    fn breaks(&mut self, message: MessageId, touched: Outcome) {
        match self.out[&message].gone {
            Gone::Nothing => self.ended(message, Outcome::ConnectFailed),
            Gone::Part | Gone::All => self.ended(message, touched),
        }
    }

    fn a_call_goes_on(&mut self) {
        let Some(message) = self.rng.choice(self.out.keys().copied().collect::<Vec<_>>()) else { return };
        let out = &self.out[&message];
        let id = out.call.id.clone();
        let too_late = out.call.send_by.is_some_and(|by| self.now > by);
        match (out.gone, self.rng.u8(..12)) {
            (Gone::Nothing | Gone::Part, _) if too_late => {
                let untouched = out.gone == Gone::Nothing;
                self.ended(message, if untouched { Outcome::Moot } else { Outcome::Reset });
            }
            (Gone::Nothing, 0) => self.ended(message, Outcome::ConnectFailed),
            (Gone::Nothing, _) if self.now < out.up => {}
            (Gone::Nothing, 5) => self.out.get_mut(&message).unwrap().gone = Gone::Part,
            (Gone::Part, 0..=2) => self.ended(message, Outcome::Reset),
            (Gone::Nothing | Gone::Part, _) => {
                self.out.get_mut(&message).unwrap().gone = Gone::All;
                self.arrives(message);
                self.engine.handle(self.now, Input::CallWritten(message));
            }
            (Gone::All, 0..=1) => self.ended(message, Outcome::Ok),
            (Gone::All, 2) => self.ended(message, Outcome::Error),
            (Gone::All, 3..=4) => self.ended(message, Outcome::Reset),
            (Gone::All, 5) => self.ended(message, Outcome::Spoilt),
            (Gone::All, 6..=8) => {
                self.never_ran(&id);
                let wait = self.rng.bool().then(|| ms(50));
                let outcomes = [Outcome::Full(wait), Outcome::Moot, Outcome::Spent];
                let outcome = outcomes[usize::from(self.rng.u8(..20) / 18) * self.rng.usize(..3)];
                self.ended(message, outcome);
            }
            (Gone::All, _) => {}
        }
    }

    fn something_happens(&mut self) {
        match self.rng.u8(..40) {
            0..4 => self.hands_in(),
            4..30 => self.a_call_goes_on(),
            30 => {
                let heard = std::mem::take(&mut self.told);
                self.engine.handle(self.now, Input::NoticesAcknowledged(heard.into_iter().collect()));
            }
            31 => {
                // An endpoint drains, goes, comes back, or moves into another zone.
                let number = self.rng.u16(..ENDPOINTS);
                let zone = &mut self.zones[usize::from(number)];
                *zone = if self.rng.u8(..4) == 0 { self.rng.u8(..3) } else { *zone };
                let state = ["SERVING", "SERVING", "DRAINING", "DELETED"][self.rng.usize(..4)];
                let targets = vec![Target { state: state.to_owned(), ..target(number, *zone) }];
                self.states[usize::from(number)] = state;
                self.rev += 1;
                self.engine
                    .handle(self.now, Input::ListUpdate(Update { rev: self.rev, all: false, targets }));
            }
            32 => {
                let operation = self.disk.operations() + self.rng.u64(1..4);
                (0..self.rng.u64(1..80)).for_each(|more| self.disk.fail(operation + more, Fault::Error));
            }
            33 | 36 => self.disk.mend(),
            34 if self.rng.u8(..4) == 0 => self.is_killed(),
            35 if self.rng.u8(..4) == 0 => self.moves(),
            _ => {}
        }
    }

    fn hands_in(&mut self) {
        // Now and then under an id that is held, as one whose connection closed over it does.
        let held: Vec<String> =
            self.engine.journal().image().held.values().map(|h| h.taken.id.clone()).collect();
        let again = self.rng.choice(held).filter(|_| self.rng.u8(..6) == 0);
        let number = match &again {
            Some(id) => id[1..].parse().unwrap(),
            None => {
                self.next += 1;
                self.next
            }
        };
        let class = ["salary", "notice", "letter"][(number % 3) as usize];
        // One that a courier had which died may have run there since it was handed in.
        let from_dead = number % 7 == 0 && class != "salary";
        let left = if from_dead { DEADLINE - ms(800) } else { DEADLINE };
        let enqueue = Enqueue {
            id: format!("m{number}"),
            order_key: if class == "notice" { 1 + number % 2 } else { 0 },
            class: class.to_owned(),
            destination: (number % 3) as u32,
            time_left: left,
            idempotency_key: (class != "salary").then(|| format!("k{number}")),
            from_dead_courier: from_dead,
            body: Bytes::from_static(b"x"),
        };
        let got = self.got.entry(enqueue.id.clone()).or_default();
        if got.class.is_empty() {
            got.class = class.to_owned();
            got.ran.extend(from_dead.then_some((self.now - ms(800), u8::MAX)));
        }
        self.tell(format!("m{number} of {class} is handed in, dead {from_dead}, again {}", again.is_some()));
        self.engine.handle(self.now, Input::Enqueue(Ticket(self.next), enqueue));
    }

    /// The process dies. What it has written stays with the partners; what it has not never comes.
    fn is_killed(&mut self) {
        self.tell("** killed".to_owned());
        self.out.clear();
        self.told.clear();
        self.disk = self.disk.crashed();
        self.disk.mend();
        let down = ms(self.rng.u64(..1500));
        // The next process has a clock of its own; now and then the wall was put back.
        let wall = START_MS + (self.now + down - EPOCH).as_millis() as u64;
        self.now = self.now + down;
        let put_back = if self.rng.u8(..5) == 0 { 20_000 } else { 0 };
        // Its own time goes on as this world's, so that the two stay comparable.
        let passed = (self.now - EPOCH).as_millis() as u64;
        let epoch_ms = wall - passed - put_back;
        self.engine = Engine::new(config(self.now, epoch_ms), journal(&self.disk, Crash::Process));
        self.hears_the_list();
    }

    /// A new process asks discovery for what it may have missed, or could not write down.
    fn hears_the_list(&mut self) {
        let listed = (0..ENDPOINTS).filter(|number| self.states[usize::from(*number)] != "DELETED");
        let entry = |number: u16| {
            let state = self.states[usize::from(number)].to_owned();
            Target { state, ..target(number, self.zones[usize::from(number)]) }
        };
        let targets = listed.map(entry).collect();
        self.engine.handle(self.now, Input::ListUpdate(Update { rev: self.rev, all: true, targets }));
    }

    /// The courier goes on in another process, as the daemon's loop hands it over.
    fn moves(&mut self) {
        self.tell("** moves".to_owned());
        self.disk.mend();
        for message in self.out.keys().copied().collect::<Vec<_>>() {
            let out = &self.out[&message];
            match (out.gone, out.called_off) {
                (Gone::Nothing, _) => self.ended(message, Outcome::Moot),
                (_, true) => self.ended(message, Outcome::Cancelled),
                (Gone::Part, false) => self.ended(message, Outcome::Reset),
                (Gone::All, false) => {}
            }
        }
        let (effects, block) = self.engine.freeze(self.now).unwrap();
        self.carry_out(effects);
        let mut block = block.unwrap();
        let is_damaged = self.rng.u8(..4) == 0;
        if is_damaged {
            block.truncate(block.len() / 2);
        }
        let journal = journal(&self.disk, Crash::Process);
        let (engine, resumed) = Engine::resume(config(self.now, START_MS), journal, &block);
        assert!(resumed.is_err() || !is_damaged);
        // The courier starts from its journal alone: also where something of that could not be written before.
        if resumed.is_err() {
            self.out.clear();
        }
        self.told.clear();
        self.engine = engine;
        self.hears_the_list();
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::StartCall(call) => {
                    let (message, id) = (call.message, call.id.clone());
                    self.tell(format!("{id} begins, to be sent by {:?}", call.send_by));
                    let zone = self.zones[usize::from(call.address.port() - 1000)];
                    let late = [Duration::ZERO, ms(self.rng.u64(..300)), LATE, LATE][self.rng.usize(..4)];
                    let (began, up, gone) = (self.now, self.now + late, Gone::Nothing);
                    let out = Out { call, began, zone, up, gone, called_off: false };
                    if self.out.insert(message, out).is_some() {
                        self.wrong(&id, "two of its calls are out");
                    }
                    // What can never be allowed is wrong before it is written.
                    if self.got[&id].class == "salary" && !self.got[&id].ran.is_empty() {
                        self.wrong(&id, "work that may run only once begins again");
                    }
                }
                Effect::StopCall(message, reason) => self.stops(message, reason),
                Effect::SendNotice(notice) => {
                    let (id, is_returned) = (notice.id, matches!(notice.verdict, Verdict::Returned { .. }));
                    self.tell(format!("{id} ends, handed back {is_returned}"));
                    self.told.insert(notice.message);
                    let got = self.got.get_mut(&id).unwrap();
                    got.returned |= is_returned;
                    if is_returned && !got.ran.is_empty() {
                        self.wrong(&id, "handed back although it may have run");
                    }
                }
                Effect::Answer(_, Answer::Taken(message)) if self.rng.u8(..30) == 0 => {
                    self.engine.handle(self.now, Input::AnswerUnacknowledged(message));
                }
                _ => {}
            }
        }
    }

    fn stops(&mut self, message: MessageId, reason: StopReason) {
        let Some(out) = self.out.get_mut(&message) else { return };
        match (reason, out.gone) {
            (StopReason::Withdrawn, Gone::Nothing) => self.ended(message, Outcome::Moot),
            (StopReason::Withdrawn, _) => {}
            (StopReason::Cancelled, _) => {
                out.called_off = true;
                // Its end is told at once, or after what else happens meanwhile.
                if self.rng.bool() {
                    self.breaks(message, Outcome::Cancelled);
                }
            }
        }
    }

    /// What runs out: connections that do not come up, calls that are not answered, calls that were called off.
    fn time_passes(&mut self) {
        self.now = self.now + ms(self.rng.u64(1..25));
        for message in self.out.keys().copied().collect::<Vec<_>>() {
            let out = &self.out[&message];
            let waited = self.now - out.began;
            if out.called_off {
                self.breaks(message, Outcome::Cancelled);
            } else if waited >= out.call.try_for || (out.gone == Gone::Nothing && waited >= CONNECT) {
                self.breaks(message, Outcome::Timeout);
            }
        }
    }
}

fn a_day(seed: u64, turns: u32) -> (u32, usize) {
    let mut world = World::new(seed);
    for turn in 0..turns {
        world.time_passes();
        if turn % 50 == 49 {
            // It stood still, and decides before it hears what came meanwhile.
            world.now = world.now + ms(world.rng.u64(..2500));
        }
        for _ in 0..if turn % 50 == 49 { 0 } else { world.rng.u8(1..5) } {
            world.something_happens();
        }
        match world.engine.turn(world.now) {
            Ok(effects) => world.carry_out(effects),
            Err(_) => world.is_killed(),
        }
    }
    (world.repeats, world.got.len())
}

/// Days to play, and the first one.
fn wanted(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

#[test]
fn no_effect_happens_twice_whatever_comes_between() {
    let (first, days) = (wanted("ONCE_SEED", 1), wanted("ONCE_DAYS", 16));
    let (mut repeats, mut messages) = (0, 0);
    for seed in first..first + days {
        let (more, handed) = a_day(seed, 3000);
        (repeats, messages) = (repeats + more, messages + handed);
    }
    // Where nothing is repeated nothing is shown.
    assert!(repeats as u64 > 8 * days, "{repeats} repeats of {messages} messages prove little");
}
