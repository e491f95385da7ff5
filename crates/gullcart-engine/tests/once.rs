//! No message takes effect twice, whatever happens in whatever order:
//!
//! - Connections are established late, calls are sent in part, answered, reset, answered with malformed data, left without an
//!   answer, cancelled or withdrawn.
//! - The process is killed and restarted, or the engine is resumed in another process.
//! - Updates of the list move endpoints, and clients enqueue messages again.
//!
//! The simulated partners are the reference: they record which calls they received, and check each new call against them.

mod common;

use bytes::Bytes;
use cloverstile::{parse_settings_json, MessageId, Outcome, Time};
use common::{journal, DISK, START_UNIX_MS};
use gullcart_engine::{
    Answer, Call, CallResult, Effect, Engine, EngineConfig, Enqueue, Input, StopReason, Ticket, PROCESS_START,
};
use gullcart_journal::simulated::{Crash, Disk, Fault};
use gullcart_message::{ListingUpdate, Target, Verdict};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ENDPOINTS: u16 = 9;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const REPEAT_WINDOW: Duration = Duration::from_millis(3000);
const DEADLINE: Duration = Duration::from_millis(8000);
/// Time until a connection to an unreachable partner is established by a retry of the kernel: just before or, depending on the
/// steps of the simulated time, just after the connect timeout.
const LATE_CONNECT: Duration = Duration::from_millis(900);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Settings with a class of each kind. The repeat window is short compared to the time that a connection may take.
fn config(now: Time, start_unix_ms: u64) -> EngineConfig {
    let class = |name: &str, effect: &str, group: &str, is_ordered: bool| {
        json!({
            "Name": name, "Effect": effect, "Group": group, "RepeatWindow": REPEAT_WINDOW.as_nanos() as u64, "OneAtATime": is_ordered,
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
            "ConnectTimeout": CONNECT_TIMEOUT.as_nanos() as u64},
        "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Fall": 500_000_000_u64, "Cold": 1_000_000_000_u64},
    });
    EngineConfig {
        parsed_settings: parse_settings_json(&settings).unwrap(),
        seed: now.0 ^ start_unix_ms,
        initial_list: ListingUpdate {
            rev: 1,
            all: true,
            targets: (0..ENDPOINTS).map(|n| target(n, initial_zone(n))).collect(),
        },
        now,
        start_unix_ms,
        settings_checksum: 1,
        #[cfg(feature = "broken")]
        fault_injector: Default::default(),
    }
}

/// Index of an endpoint's zone at the start. Only the first zone is in the settings; the others are numbered in order of
/// appearance.
fn initial_zone(number: u16) -> u8 {
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

/// How much of a call has been sent.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Sent {
    Nothing,
    Part,
    All,
}

/// A call in flight, as the network code sees it.
struct NetworkCall {
    call: Call,
    started_at: Time,
    /// Zone of the endpoint, by the list, when the call was started.
    zone: u8,
    /// When the connection is established.
    connected_at: Time,
    sent: Sent,
    is_cancelled: bool,
}

/// What the partners received of one message.
#[derive(Default)]
struct Received {
    class: String,
    /// The calls that arrived completely and may have taken effect: when, and in which zone.
    may_have_run: Vec<(Time, u8)>,
    /// The platform was notified that the message was returned.
    is_returned: bool,
}

struct Simulation {
    disk: Disk,
    engine: Engine<Disk>,
    now: Time,
    rng: fastrand::Rng,
    in_flight: BTreeMap<MessageId, NetworkCall>,
    received: BTreeMap<String, Received>,
    /// Messages whose notices were sent and are not acknowledged.
    notices: BTreeSet<MessageId>,
    /// Zones of the endpoints in discovery's list.
    zones: Vec<u8>,
    /// States of the endpoints in discovery's list.
    states: Vec<&'static str>,
    /// The number that was used last for a message.
    last_number: u64,
    /// Revision of discovery's list.
    rev: u64,
    /// What happened so far, to be printed if a check fails.
    events: Vec<String>,
    /// Calls that arrived for messages that may have run before.
    repeats: u32,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let disk = Disk::new(DISK, Crash::Process, seed);
        let engine = Engine::new(config(PROCESS_START, START_UNIX_MS), journal(&disk, Crash::Process));
        Simulation {
            disk,
            engine,
            now: PROCESS_START,
            rng: fastrand::Rng::with_seed(seed),
            in_flight: BTreeMap::new(),
            received: BTreeMap::new(),
            notices: BTreeSet::new(),
            zones: (0..ENDPOINTS).map(initial_zone).collect(),
            states: vec!["SERVING"; usize::from(ENDPOINTS)],
            last_number: 0,
            rev: 1,
            events: Vec::new(),
            repeats: 0,
        }
    }

    /// Records an event, to be printed if a check fails.
    fn record(&mut self, event: String) {
        let at = (self.now - PROCESS_START).as_millis();
        self.events.push(format!("{at:>7} {event}"));
    }

    /// Fails the test and prints the events that concern a message.
    fn fail(&self, id: &str, violation: &str) -> ! {
        let events: Vec<&String> =
            self.events.iter().filter(|l| l.contains(&format!("{id} ")) || l.contains("**")).collect();
        panic!("{violation}: {id}\n{events:#?}")
    }

    /// A call arrives completely at its endpoint. Checks it against the earlier calls for the message.
    fn call_arrives(&mut self, message: MessageId) {
        let network_call = &self.in_flight[&message];
        let id = network_call.call.id.clone();
        let number = usize::from(network_call.call.address.port() - 1000);
        let (zone, now) = (network_call.zone, self.now);
        let received = self.received.entry(id.clone()).or_default();
        let class = received.class.clone();
        let first_call = received.may_have_run.first().copied();
        let is_returned = received.is_returned;
        received.may_have_run.push((now, zone));
        self.record(format!("{id} of class {class} arrives at endpoint {number} in zone {zone}"));
        self.repeats += u32::from(first_call.is_some());
        if is_returned {
            self.fail(&id, "sent after it was returned");
        }
        let Some((first_at, first_zone)) = first_call else { return };
        match class.as_str() {
            "salary" => self.fail(&id, "a message that must not run twice is sent again"),
            _ if now > first_at + REPEAT_WINDOW => self.fail(&id, "sent again after its repeat window"),
            "letter" if zone != first_zone => self.fail(&id, "sent again to another zone"),
            _ => {}
        }
    }

    /// The partner answers that the call never ran.
    fn never_ran(&mut self, id: &str) {
        if let Some(received) = self.received.get_mut(id) {
            received.may_have_run.pop();
        }
    }

    /// Reports the end of a call to the engine.
    fn end_call(&mut self, message: MessageId, outcome: Outcome) {
        let Some(network_call) = self.in_flight.remove(&message) else { return };
        let (id, sent) = (&network_call.call.id, network_call.sent);
        self.record(format!("{id} ends with {outcome:?}, sent: {sent:?}"));
        let is_final = matches!(outcome, Outcome::Ok);
        let result =
            CallResult { outcome, latency: self.now - network_call.started_at, is_final, allowance: None };
        self.engine.handle(self.now, Input::CallEnded(message, network_call.call.endpoint, result));
    }

    /// Ends a call without an answer, with `outcome_if_sent` if any byte of it was sent.
    fn end_unanswered(&mut self, message: MessageId, outcome_if_sent: Outcome) {
        match self.in_flight[&message].sent {
            Sent::Nothing => self.end_call(message, Outcome::ConnectFailed),
            Sent::Part | Sent::All => self.end_call(message, outcome_if_sent),
        }
    }

    /// Advances a random call in flight.
    fn advance_random_call(&mut self) {
        let Some(message) = self.rng.choice(self.in_flight.keys().copied().collect::<Vec<_>>()) else {
            return;
        };
        let network_call = &self.in_flight[&message];
        let id = network_call.call.id.clone();
        let is_too_late = network_call.call.send_by.is_some_and(|by| self.now > by);
        match (network_call.sent, self.rng.u8(..12)) {
            (Sent::Nothing | Sent::Part, _) if is_too_late => {
                let is_unsent = network_call.sent == Sent::Nothing;
                self.end_call(message, if is_unsent { Outcome::NotSent } else { Outcome::Reset });
            }
            (Sent::Nothing, 0) => self.end_call(message, Outcome::ConnectFailed),
            (Sent::Nothing, _) if self.now < network_call.connected_at => {}
            (Sent::Nothing, 5) => self.in_flight.get_mut(&message).unwrap().sent = Sent::Part,
            (Sent::Part, 0..=2) => self.end_call(message, Outcome::Reset),
            (Sent::Nothing | Sent::Part, _) => {
                self.in_flight.get_mut(&message).unwrap().sent = Sent::All;
                self.call_arrives(message);
                self.engine.handle(self.now, Input::CallWritten(message));
            }
            (Sent::All, 0..=1) => self.end_call(message, Outcome::Ok),
            (Sent::All, 2) => self.end_call(message, Outcome::Error),
            (Sent::All, 3..=4) => self.end_call(message, Outcome::Reset),
            (Sent::All, 5) => self.end_call(message, Outcome::Malformed),
            (Sent::All, 6..=8) => {
                self.never_ran(&id);
                let wait = self.rng.bool().then(|| ms(50));
                // Nine times in ten the call is rejected with backpressure; otherwise one of the three outcomes is drawn.
                let outcomes = [Outcome::Rejected(wait), Outcome::NotSent, Outcome::AttemptsExhausted];
                let outcome = outcomes[usize::from(self.rng.u8(..20) / 18) * self.rng.usize(..3)];
                self.end_call(message, outcome);
            }
            (Sent::All, _) => {}
        }
    }

    /// Makes a random event happen.
    fn trigger_random_event(&mut self) {
        match self.rng.u8(..40) {
            0..4 => self.enqueue_message(),
            4..30 => self.advance_random_call(),
            30 => {
                let acknowledged = std::mem::take(&mut self.notices);
                self.engine.handle(self.now, Input::NoticesAcknowledged(acknowledged.into_iter().collect()));
            }
            31 => {
                // An endpoint drains, disappears, comes back, or moves to another zone.
                let number = self.rng.u16(..ENDPOINTS);
                let zone = &mut self.zones[usize::from(number)];
                *zone = if self.rng.u8(..4) == 0 { self.rng.u8(..3) } else { *zone };
                let state = ["SERVING", "SERVING", "DRAINING", "DELETED"][self.rng.usize(..4)];
                let targets = vec![Target { state: state.to_owned(), ..target(number, *zone) }];
                self.states[usize::from(number)] = state;
                self.rev += 1;
                self.engine.handle(
                    self.now,
                    Input::ListUpdate(ListingUpdate { rev: self.rev, all: false, targets }),
                );
            }
            32 => {
                let operation = self.disk.operations() + self.rng.u64(1..4);
                (0..self.rng.u64(1..80))
                    .for_each(|offset| self.disk.inject_fault(operation + offset, Fault::Error));
            }
            33 | 36 => self.disk.clear_faults(),
            34 if self.rng.u8(..4) == 0 => self.kill(),
            35 if self.rng.u8(..4) == 0 => self.resume_in_other_process(),
            _ => {}
        }
    }

    /// A client enqueues a message.
    fn enqueue_message(&mut self) {
        // Sometimes a client repeats the request for a message that is held, as after a lost connection.
        let pending_ids: Vec<String> = self
            .engine
            .journal()
            .state()
            .pending
            .values()
            .map(|pending| pending.message.id.clone())
            .collect();
        let repeated_id = self.rng.choice(pending_ids).filter(|_| self.rng.u8(..6) == 0);
        let number = match &repeated_id {
            Some(id) => id[1..].parse().unwrap(),
            None => {
                self.last_number += 1;
                self.last_number
            }
        };
        let class = ["salary", "notice", "letter"][(number % 3) as usize];
        // A message that was held by a courier that died may have run there.
        let from_dead_courier = number % 7 == 0 && class != "salary";
        let time_left = if from_dead_courier { DEADLINE - ms(800) } else { DEADLINE };
        let enqueue = Enqueue {
            id: format!("m{number}"),
            order_key: if class == "notice" { 1 + number % 2 } else { 0 },
            class: class.to_owned(),
            destination: (number % 3) as u32,
            time_left,
            idempotency_key: (class != "salary").then(|| format!("k{number}")),
            from_dead_courier,
            body: Bytes::from_static(b"x"),
            client: None,
        };
        let received = self.received.entry(enqueue.id.clone()).or_default();
        if received.class.is_empty() {
            received.class = class.to_owned();
            received.may_have_run.extend(from_dead_courier.then_some((self.now - ms(800), u8::MAX)));
        }
        self.record(format!(
            "m{number} of class {class} is enqueued, from a dead courier: {from_dead_courier}, repeated: {}",
            repeated_id.is_some()
        ));
        self.engine.handle(self.now, Input::Enqueue(Ticket(self.last_number), enqueue));
    }

    /// The process is killed and restarted. Bytes that it did not send never arrive.
    fn kill(&mut self) {
        self.record("** the process is killed".to_owned());
        self.in_flight.clear();
        self.notices.clear();
        self.disk = self.disk.after_crash();
        self.disk.clear_faults();
        let downtime = ms(self.rng.u64(..1500));
        // The next process reads the wall clock anew, which was sometimes set back.
        let wall_ms = START_UNIX_MS + (self.now + downtime - PROCESS_START).as_millis() as u64;
        self.now = self.now + downtime;
        let set_back_ms = if self.rng.u8(..5) == 0 { 20_000 } else { 0 };
        // The engine's own time continues, so that it stays comparable to the simulation's.
        let passed_ms = (self.now - PROCESS_START).as_millis() as u64;
        let start_unix_ms = wall_ms - passed_ms - set_back_ms;
        self.engine = Engine::new(config(self.now, start_unix_ms), journal(&self.disk, Crash::Process));
        self.send_whole_list();
    }

    /// Discovery sends the whole list to a new process, which may have missed updates or failed to record them.
    fn send_whole_list(&mut self) {
        let listed = (0..ENDPOINTS).filter(|number| self.states[usize::from(*number)] != "DELETED");
        let entry = |number: u16| {
            let state = self.states[usize::from(number)].to_owned();
            Target { state, ..target(number, self.zones[usize::from(number)]) }
        };
        let targets = listed.map(entry).collect();
        self.engine.handle(self.now, Input::ListUpdate(ListingUpdate { rev: self.rev, all: true, targets }));
    }

    /// Hands the engine over to another process, as the daemon does.
    fn resume_in_other_process(&mut self) {
        self.record("** the engine is resumed in another process".to_owned());
        self.disk.clear_faults();
        for message in self.in_flight.keys().copied().collect::<Vec<_>>() {
            let network_call = &self.in_flight[&message];
            match (network_call.sent, network_call.is_cancelled) {
                (Sent::Nothing, _) => self.end_call(message, Outcome::NotSent),
                (_, true) => self.end_call(message, Outcome::Cancelled),
                (Sent::Part, false) => self.end_call(message, Outcome::Reset),
                (Sent::All, false) => {}
            }
        }
        // A client leaves while its call is in flight, right before the hand-over.
        if let Some(message) = self.in_flight.keys().next() {
            self.engine.handle(self.now, Input::AnswerUnacknowledged(*message));
        }
        let (effects, snapshot) = self.engine.freeze(self.now).unwrap();
        let has_unwritten_changes = self.engine.journal().has_unwritten_changes();
        self.execute_effects(effects);
        let mut snapshot = snapshot.unwrap();
        let is_damaged = self.rng.u8(..4) == 0;
        if is_damaged {
            snapshot.truncate(snapshot.len() / 2);
        }
        let journal = journal(&self.disk, Crash::Process);
        let (engine, resumed) = Engine::resume(config(self.now, START_UNIX_MS), journal, &snapshot);
        // What the journal could not write is missing in the next process.
        assert!(resumed.is_ok() || is_damaged || has_unwritten_changes, "{resumed:?}");
        assert!(resumed.is_err() || !is_damaged);
        // The engine starts from the journal alone, even if some records could not be written before.
        if resumed.is_err() {
            self.in_flight.clear();
        }
        self.notices.clear();
        self.engine = engine;
        self.send_whole_list();
    }

    /// Carries out the effects of a turn.
    fn execute_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::StartCall(call) => {
                    let (message, id) = (call.message, call.id.clone());
                    self.record(format!("{id} starts, to be sent by {:?}", call.send_by));
                    let zone = self.zones[usize::from(call.address.port() - 1000)];
                    let connect_time = [Duration::ZERO, ms(self.rng.u64(..300)), LATE_CONNECT, LATE_CONNECT]
                        [self.rng.usize(..4)];
                    let network_call = NetworkCall {
                        call,
                        started_at: self.now,
                        zone,
                        connected_at: self.now + connect_time,
                        sent: Sent::Nothing,
                        is_cancelled: false,
                    };
                    if self.in_flight.insert(message, network_call).is_some() {
                        self.fail(&id, "two calls for the message are in flight");
                    }
                    // Such a call must not even be started, as it may be sent at any time.
                    if self.received[&id].class == "salary" && !self.received[&id].may_have_run.is_empty() {
                        self.fail(&id, "a call for a message that must not run twice is started again");
                    }
                }
                Effect::StopCall(message, reason) => self.stop_call(message, reason),
                Effect::SendNotice(notice) => {
                    let (id, is_returned) = (notice.id, matches!(notice.verdict, Verdict::Returned { .. }));
                    self.record(format!("{id} gets a notice, returned: {is_returned}"));
                    self.notices.insert(notice.message);
                    let received = self.received.get_mut(&id).unwrap();
                    received.is_returned |= is_returned;
                    if is_returned && !received.may_have_run.is_empty() {
                        self.fail(&id, "returned although it may have run");
                    }
                }
                Effect::Answer(_, Answer::Taken(message)) if self.rng.u8(..30) == 0 => {
                    self.engine.handle(self.now, Input::AnswerUnacknowledged(message));
                }
                _ => {}
            }
        }
    }

    fn stop_call(&mut self, message: MessageId, reason: StopReason) {
        let Some(network_call) = self.in_flight.get_mut(&message) else { return };
        match (reason, network_call.sent) {
            (StopReason::Withdrawn, Sent::Nothing) => self.end_call(message, Outcome::NotSent),
            (StopReason::Withdrawn, _) => {}
            (StopReason::Cancelled, _) => {
                network_call.is_cancelled = true;
                // The call ends at once, or later when time passes.
                if self.rng.bool() {
                    self.end_unanswered(message, Outcome::Cancelled);
                }
            }
        }
    }

    /// Advances the time and ends calls that were cancelled, or whose connection or answer timed out.
    fn advance_time(&mut self) {
        self.now = self.now + ms(self.rng.u64(1..25));
        for message in self.in_flight.keys().copied().collect::<Vec<_>>() {
            let network_call = &self.in_flight[&message];
            let waited = self.now - network_call.started_at;
            if network_call.is_cancelled {
                self.end_unanswered(message, Outcome::Cancelled);
            } else if waited >= network_call.call.try_for
                || (network_call.sent == Sent::Nothing && waited >= CONNECT_TIMEOUT)
            {
                self.end_unanswered(message, Outcome::Timeout);
            }
        }
    }
}

/// Runs a simulation. Returns the number of repeated calls and the number of messages.
fn simulate(seed: u64, turns: u32) -> (u32, usize) {
    let mut simulation = Simulation::new(seed);
    for turn in 0..turns {
        simulation.advance_time();
        if turn % 50 == 49 {
            // The process was paused, and decides before it handles the inputs that arrived meanwhile.
            simulation.now = simulation.now + ms(simulation.rng.u64(..2500));
        }
        for _ in 0..if turn % 50 == 49 { 0 } else { simulation.rng.u8(1..5) } {
            simulation.trigger_random_event();
        }
        match simulation.engine.turn(simulation.now) {
            Ok(effects) => simulation.execute_effects(effects),
            Err(_) => simulation.kill(),
        }
    }
    (simulation.repeats, simulation.received.len())
}

/// Reads a number from an environment variable, to simulate other seeds or more of them.
fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_message_takes_effect_twice() {
    let first_seed = env_or("ONCE_SEED", 1);
    let runs = env_or("ONCE_DAYS", 16);
    let (mut repeats, mut messages) = (0, 0);
    for seed in first_seed..first_seed + runs {
        let (more_repeats, more_messages) = simulate(seed, 3000);
        repeats += more_repeats;
        messages += more_messages;
    }
    // The checks need repeated calls.
    assert!(repeats as u64 > 8 * runs, "too few: {repeats} repeated calls for {messages} messages");
}
