//! The courier between its sockets, its journal and its decisions: what is known, out and owed. Inputs come with the time,
//! effects are handed out once a turn is over and all that they promise is in the journal. No socket, no clock: the loop
//! round it moves bytes.

use cloverstile::*;
use gullcart_journal::{Figures, Held, Journal, JournalError, OutageNote, Store};
use gullcart_message::{Taken, Update, Verdict};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tracing::{error, info, warn};

#[cfg(feature = "broken")]
use crate::broken::{Fault, FaultInjector, LIST_UPDATE_DELAY};
use crate::clock::Clock;
use crate::destination_metrics::DestinationMetrics;
use crate::directory::Directory;
use crate::engine_snapshot::{
    self, EngineSnapshot, InFlightCall, ResumeError, SnapshotHeader, SNAPSHOT_FORMAT,
};
use crate::message_trace;
use crate::metrics::{ClassCounts, EngineMetrics, MessageCounts};
use crate::rate_limited_log::RateLimitedLog;
use crate::trial_duties::{DutyView, TrialDuties, TrialRequest};
use crate::types::{
    Answer, Call, CallResult, CommandError, Effect, Enqueue, Input, Notice, OperatorCommand, StopReason,
    Ticket,
};

/// From SIGTERM until the process ends at the latest: SIGKILL comes after 3.7 s.
const MAX_SHUTDOWN: Duration = Duration::from_millis(3200);
/// From SIGTERM until it ends at the earliest: new connections go on coming for 0.4 s.
const MIN_SHUTDOWN: Duration = Duration::from_millis(600);

/// How long a courier may be held up between reading its clock and writing.
const MAX_PAUSE: Duration = Duration::from_millis(150);

/// A message that is held.
struct HeldMessage {
    number: u32,
    /// A hand-in after the first one was told that it is held: the first can withdraw it no more.
    shared: bool,
}

/// An attempt that was not made.
const NOT_SENT: CallResult =
    CallResult { outcome: Outcome::Moot, latency: Duration::ZERO, is_final: false, allowance: None };

/// How an engine is begun.
pub struct EngineConfig {
    /// The settings.
    pub parsed_settings: Parsed,
    /// For random numbers.
    pub seed: u64,
    /// The list as the configuration has it; it may be old.
    pub initial_list: Update,
    /// The module's time now.
    pub now: Time,
    /// Unix milliseconds of [`crate::EPOCH`].
    pub epoch_ms: u64,
    /// Sum over the settings: who carries books over must have the same.
    pub settings_checksum: u32,
    /// What is broken.
    #[cfg(feature = "broken")]
    pub fault_injector: FaultInjector,
}

/// A courier.
pub struct Engine<S: Store> {
    courier: Courier,
    clock: Clock,
    journal: Journal<S>,
    directory: Directory,
    class_names: Vec<String>,
    classes: Vec<Class>,
    settings: Settings,
    fingerprint: u32,
    max_held: usize,
    /// The messages held, by their ids.
    held_by_id: HashMap<String, HeldMessage>,
    /// In order, so that the same happens wherever it is played.
    in_flight: BTreeMap<MessageId, InFlightCall>,
    /// Attempts that could not be made, of which the module hears in the next turn.
    unsent: Vec<(MessageId, EndpointId)>,
    effects: Vec<Effect>,
    ends: Option<(Time, Time)>,
    wake_up: Option<(Time, u64)>,
    actions: Vec<Action>,
    counts: MessageCounts,
    /// What of it the log has told.
    logged_counts: MessageCounts,
    destination_metrics: DestinationMetrics,
    journal_error_log: RateLimitedLog,
    outage_log: RateLimitedLog,
    /// What is remembered of outages was compared with the journal as a whole once.
    outages_synchronized: bool,
    retry_after_log: RateLimitedLog,
    #[cfg(feature = "broken")]
    fault_injector: FaultInjector,
}

impl<S: Store> Engine<S> {
    /// A courier that has taken up again all that the journal holds.
    pub fn new(start: EngineConfig, journal: Journal<S>) -> Self {
        let (now, known) = (start.now, start.initial_list.clone());
        let mut engine = Engine::without_messages(start, journal);
        engine.restore(now, known);
        engine
    }

    /// The courier of the process before, as it stopped ([`Engine::freeze`]), with the journal that this one left. Its calls
    /// out are still out here. Where the block cannot be taken up, the courier starts from the journal alone, and nothing
    /// is out; the reason is told.
    pub fn resume(start: EngineConfig, journal: Journal<S>, block: &[u8]) -> (Self, Result<(), ResumeError>) {
        let (now, known, seed) = (start.now, start.initial_list.clone(), start.seed);
        let mut engine = Engine::without_messages(start, journal);
        let carried = engine_snapshot::read(block, engine.fingerprint);
        let same = |carried: &EngineSnapshot| {
            let held = &engine.journal.image().held;
            held.iter()
                .all(|(number, held)| held.verdict.is_some() || carried.courier.holds(MessageId(*number)))
                && carried.in_flight.keys().all(|message| held.contains_key(&message.0))
        };
        let done = match carried {
            Ok(carried) if same(&carried) => {
                engine.restore_from_snapshot(now, seed, carried);
                Ok(())
            }
            other => {
                engine.restore(now, known);
                Err(other.err().unwrap_or(ResumeError::JournalMismatch))
            }
        };
        (engine, done)
    }

    fn restore_from_snapshot(&mut self, now: Time, seed: u64, carried: EngineSnapshot) {
        let EngineSnapshot { courier, directory, in_flight: out, shared_messages: shared, wake_up: wake } =
            carried;
        self.courier = courier.resumed(self.settings.clone(), seed);
        (self.directory, self.in_flight, self.wake_up) = (directory.resumed(), out, wake);
        for (number, held) in &self.journal.image().held {
            let known = HeldMessage { number: *number, shared: shared.contains(&MessageId(*number)) };
            self.held_by_id.insert(held.taken.id.clone(), known);
            self.counts.recovered += u64::from(held.verdict.is_none());
            // The platform may not have answered yet; a notice that comes twice does no harm.
            if let Some(verdict) = held.verdict {
                let (message, id) = (MessageId(*number), held.taken.id.clone());
                self.effects.push(Effect::SendNotice(Notice { message, id, verdict }));
            }
        }
        self.suspend_listed(now);
        let (held, out) = self.load();
        info!(held, out, rev = self.list_revision(), "the courier goes on in this process");
    }

    /// Stops between two turns: what happened so far is in the journal, and what it brought about is handed out, but no
    /// call is begun any more. The block is the courier for [`Engine::resume`], in another process or in this one; none
    /// where it cannot be written. Whatever is handled after this is lost with this engine.
    pub fn freeze(&mut self, now: Time) -> Result<(Vec<Effect>, Option<Vec<u8>>), JournalError> {
        for (message, endpoint) in std::mem::take(&mut self.unsent) {
            self.call_ended(now, message, endpoint, NOT_SENT, false);
        }
        self.record_outages(now);
        self.journal.commit()?;
        let effects = std::mem::take(&mut self.effects);
        let label = SnapshotHeader { format: SNAPSHOT_FORMAT, settings: self.fingerprint };
        let shared =
            self.held_by_id.values().filter(|known| known.shared).map(|known| MessageId(known.number));
        let carried = EngineSnapshot {
            shared_messages: shared.collect(),
            courier: std::mem::take(&mut self.courier),
            directory: std::mem::take(&mut self.directory),
            in_flight: std::mem::take(&mut self.in_flight),
            wake_up: self.wake_up,
        };
        Ok((effects, engine_snapshot::write(&label, &carried).ok()))
    }

    /// The courier ends soon, by its own doing.
    pub fn is_shutting_down(&self) -> bool {
        self.ends.is_some()
    }

    /// A call that is out, as it was begun; none if it is not.
    pub fn in_flight_call(&self, message: MessageId, try_for: Duration) -> Option<Call> {
        let out = self.in_flight.get(&message)?;
        let held = self.journal.image().held.get(&message.0)?;
        let address = self.directory.address(out.endpoint)?;
        let Taken { id, idempotency_key, body, .. } = held.taken.clone();
        Some(Call {
            message,
            endpoint: out.endpoint,
            address,
            id,
            idempotency_key,
            body,
            try_for,
            // All of it is sent already.
            send_by: None,
            may_have_run: held.maybe_ran.is_some(),
        })
    }

    /// Calls that are out.
    pub fn calls_in_flight(&self) -> impl Iterator<Item = (MessageId, EndpointId)> + '_ {
        self.in_flight.iter().map(|(message, out)| (*message, out.endpoint))
    }

    fn without_messages(start: EngineConfig, journal: Journal<S>) -> Self {
        let EngineConfig {
            parsed_settings: mut parsed, seed, epoch_ms, settings_checksum: fingerprint, ..
        } = start;
        parsed.settings.answers_take_time = true;
        parsed.settings.held_up = MAX_PAUSE;
        let directory = Directory::new(&parsed);
        let settings = parsed.settings;
        let mut engine = Engine {
            class_names: parsed.class_names,
            classes: settings.classes.clone(),
            max_held: settings.most_held,
            settings: settings.clone(),
            fingerprint,
            courier: Courier::new(settings, seed),
            clock: Clock::new(epoch_ms),
            journal,
            directory,
            held_by_id: HashMap::new(),
            in_flight: BTreeMap::new(),
            unsent: Vec::new(),
            effects: Vec::new(),
            ends: None,
            wake_up: None,
            actions: Vec::new(),
            counts: MessageCounts::default(),
            logged_counts: MessageCounts::default(),
            destination_metrics: DestinationMetrics::default(),
            journal_error_log: RateLimitedLog::default(),
            outage_log: RateLimitedLog::default(),
            outages_synchronized: false,
            retry_after_log: RateLimitedLog::default(),
            #[cfg(feature = "broken")]
            fault_injector: start.fault_injector,
        };
        engine.counts = MessageCounts::new(engine.classes.len());
        engine.logged_counts = engine.counts.clone();
        engine
    }

    /// The version of the list that the courier has.
    pub fn list_revision(&self) -> u64 {
        self.journal.image().rev
    }

    /// Messages held, and calls out.
    pub fn load(&self) -> (usize, usize) {
        (self.journal.image().held.len(), self.in_flight.len())
    }

    /// What is in the journal.
    pub fn journal(&self) -> &Journal<S> {
        &self.journal
    }

    /// Whether an endpoint may be given new work.
    pub fn is_open(&self, endpoint: EndpointId) -> bool {
        self.directory.is_open(endpoint)
    }

    /// When the next turn is due at the latest, if nothing happens before.
    pub fn next_wake(&self) -> Option<Time> {
        if !self.unsent.is_empty() {
            return Some(Time::ZERO);
        }
        let ends = self.ends.map(|(_, last)| last);
        self.wake_up.map(|(at, _)| at).into_iter().chain(ends).min()
    }

    /// Ends a turn: timers that are due, decisions, and what they bring about. Nothing of what happened since the turn
    /// before has left until its effects are taken. An error is final: nobody can know what of the journal will last.
    pub fn turn(&mut self, now: Time) -> Result<Vec<Effect>, JournalError> {
        for (message, endpoint) in std::mem::take(&mut self.unsent) {
            self.call_ended(now, message, endpoint, NOT_SENT, false);
        }
        if let Some((_, token)) = self.wake_up.filter(|(at, _)| *at <= now) {
            self.wake_up = None;
            self.courier.handle(now, Event::TickDue(token));
        }
        self.decide(now);
        if let Some(error) = self.journal.trouble() {
            self.log_journal_error(now, Err(error));
        }
        self.journal.commit()?;
        Ok(std::mem::take(&mut self.effects))
    }

    /// Looks at the duties that couriers agree on, before a turn: what is to be asked of the group. `asked` are those that it
    /// has been asked for, `view` is how each stands.
    pub fn update_trial_duties(
        &mut self,
        now: Time,
        duties: &mut TrialDuties,
        asked: impl IntoIterator<Item = DestinationId>,
        view: impl Fn(DestinationId) -> Option<DutyView>,
    ) -> Vec<TrialRequest> {
        let (events, wishes) = duties.update(now, &self.courier, asked, view);
        events.into_iter().for_each(|event| self.courier.handle(now, event));
        wishes
    }

    /// Whether the process may end now.
    pub fn may_exit(&self, now: Time) -> bool {
        let Some((least, last)) = self.ends else { return false };
        let (held, out) = self.load();
        now >= last || (now >= least && held == 0 && out == 0)
    }

    /// The process is about to end: what is taken on from now on is called by the next one.
    pub fn stop_calling(&mut self, now: Time) {
        self.courier.handle(now, Event::Closing(now));
    }

    fn restore(&mut self, now: Time, known: Update) {
        let written = self.journal.destinations(known.targets.iter().map(|target| target.pod_group));
        self.log_journal_error(now, written);
        let image = self.journal.image();
        // What was told before the restart counts as told: the list that comes with the start may be older.
        if image.rev == 0 || image.rev < known.rev {
            let update = Update { all: true, ..known };
            let listing = self.directory.apply(&update);
            self.courier.handle(now, Event::Listed(listing));
            let written = self.journal.targets(&update);
            self.log_journal_error(now, written);
        } else {
            let targets = image.targets.values().cloned().collect();
            let listing = self.directory.apply(&Update { rev: image.rev, all: true, targets });
            self.courier.handle(now, Event::Listed(listing));
        }
        self.suspend_listed(now);
        let notes: Vec<OutageNote> = self.journal.image().outages().cloned().collect();
        for note in notes {
            let endpoint = note.uid.as_ref().and_then(|uid| self.directory.endpoint_id(uid));
            if note.uid.is_some() && endpoint.is_none() {
                continue;
            }
            let outage = Outage {
                destination: DestinationId(note.destination),
                endpoint,
                since: self.clock.from_unix_ms(note.since_ms),
                evidence: note.evidence,
                lost: note.lost,
                returned: note.returned_ms.map(|ms| self.clock.from_unix_ms(ms)),
                share: note.share,
            };
            self.courier.handle(now, Event::Recalled(outage));
        }
        let held: Vec<(u32, Held)> = self.journal.image().held.iter().map(|(n, h)| (*n, h.clone())).collect();
        #[cfg(feature = "broken")]
        let held: Vec<(u32, Held)> = match () {
            () if self.fault_injector.is_active(Fault::ForgetsAtRestart) => Vec::new(),
            () if self.fault_injector.is_active(Fault::ReordersAtRestart) => held.into_iter().rev().collect(),
            () => held,
        };
        for (number, held) in &held {
            self.counts.recovered += u64::from(held.verdict.is_none());
            self.restore_message(now, *number, held);
        }
        info!(held = held.len(), rev = self.list_revision(), "the journal was replayed");
    }

    fn restore_message(&mut self, now: Time, number: u32, held: &Held) {
        self.held_by_id.insert(held.taken.id.clone(), HeldMessage { number, shared: false });
        let message = MessageId(number);
        let Some(taken) = self.accepted(number, &held.taken) else {
            warn!(class = held.taken.class, "a message of a class that is not known any more is given up");
            self.decide_end(now, message, Verdict::Failed);
            return;
        };
        // An attempt without an outcome may have run, also if its process died before the first byte.
        if held.out.is_some() {
            let written = self.journal.outcome(number, true);
            self.log_journal_error(now, written);
        }
        message_trace::recovered(number, held);
        let maybe_ran = held.maybe_ran.or(held.out).map(|(ms, zone)| {
            // Sent after now: the wall clock was put back, and how long ago it was cannot be told.
            let sent = Some(self.clock.from_unix_ms(ms)).filter(|sent| *sent <= now).unwrap_or(Time::ZERO);
            (sent, self.directory.configured_zone(zone))
        });
        let answered = held.verdict.is_some();
        let restored = Restored { taken, attempts: held.attempts, maybe_ran, answered };
        self.courier.handle(now, Event::Restored(restored));
        if let Some(verdict) = held.verdict {
            self.effects.push(Effect::SendNotice(Notice { message, id: held.taken.id.clone(), verdict }));
        }
    }

    fn accepted(&self, number: u32, taken: &Taken) -> Option<Accepted> {
        let class = self.class(&taken.class)?;
        Some(Accepted {
            id: MessageId(number),
            class,
            destination: DestinationId(taken.destination),
            key: (taken.key != 0).then_some(OrderKey(taken.key)),
            deadline: self.clock.from_unix_ms(taken.deadline_ms),
            from_dead_courier: taken.again,
            tenant: TenantId(0),
        })
    }

    fn class(&self, name: &str) -> Option<ClassId> {
        self.class_names.iter().position(|known| known == name).map(|at| ClassId(at as u8))
    }

    /// Something has happened. Its effects come with the end of the turn.
    pub fn handle(&mut self, now: Time, input: Input) {
        match input {
            Input::Enqueue(ticket, enqueue) => {
                let class = self.class(&enqueue.class);
                let answer = self.enqueue(now, enqueue);
                let ends = self.counts.class_mut(class.map(|class| usize::from(class.0)));
                match &answer {
                    Answer::Busy(_) => ends.rejected += 1,
                    Answer::Error(_) => ends.invalid += 1,
                    Answer::Taken(_) | Answer::Held => {}
                }
                self.answer(ticket, answer);
            }
            Input::AnswerUnacknowledged(message) => self.answer_unacknowledged(now, message),
            Input::Command(ticket, order) => {
                let done = self.execute(now, order);
                self.effects.push(Effect::CommandResult(ticket, done));
            }
            Input::CallWritten(message) => {
                self.counts.calls_written += u64::from(self.in_flight.contains_key(&message));
            }
            #[cfg(feature = "broken")]
            Input::ListUpdate(update)
                if self.fault_injector.is_active(Fault::LateToDrains) && !update.all =>
            {
                // A whole list is not held up.
                self.effects.push(Effect::DelayListUpdate(update, LIST_UPDATE_DELAY));
            }
            #[cfg(feature = "broken")]
            Input::DelayedListUpdate(update) => self.apply_list_update(now, update),
            Input::ListUpdate(update) => self.apply_list_update(now, update),
            Input::CallEnded(message, endpoint, ended) => {
                self.call_ended(now, message, endpoint, ended, true)
            }
            Input::NoticesAcknowledged(messages) => {
                for message in messages {
                    if let Some(held) = self.journal.image().held.get(&message.0) {
                        message_trace::notice_acknowledged(&held.taken.id);
                    }
                    self.complete(now, message);
                    self.courier.handle(now, Event::Heard(message));
                }
            }
            Input::Terminate if self.ends.is_some() => {}
            Input::Terminate => {
                let (held, out) = self.load();
                info!(held, out, "told to end");
                self.ends = Some((now + MIN_SHUTDOWN, now + MAX_SHUTDOWN));
                self.courier.handle(now, Event::Closing(now + MAX_SHUTDOWN));
                self.effects.push(Effect::AnnounceShutdown);
            }
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.effects.push(Effect::Answer(ticket, answer));
    }

    fn enqueue(&mut self, now: Time, enqueue: Enqueue) -> Answer {
        let most = match self.check_admission(now, &enqueue) {
            Ok(most) => most,
            Err(answer) => {
                message_trace::not_accepted(&enqueue, &answer, self.journal.image().held.len());
                return answer;
            }
        };
        self.accept(now, enqueue, most)
    }

    /// Whether a message may be taken on, and then the longest time that its class may have; the answer of one that may not.
    fn check_admission(&mut self, now: Time, enqueue: &Enqueue) -> Result<Duration, Answer> {
        let Some(class) = self.class(&enqueue.class) else { return Err(Answer::Error("unknown class")) };
        if let Some(known) = self.held_by_id.get_mut(&enqueue.id) {
            // Sent once more on a new connection; or by somebody else, to whom the id does not belong.
            let held = self.journal.image().held.get(&known.number);
            if !held.is_some_and(|held| enqueue.is_same(&held.taken)) {
                return Err(Answer::Error("the id is in use for another message"));
            }
            known.shared = true;
            return Err(Answer::Held);
        }
        let destination = DestinationId(enqueue.destination);
        if !self.journal.image().destinations.contains(&enqueue.destination) {
            return Err(Answer::Error("unknown destination"));
        }
        let admitted = self.courier.admits(class);
        let class = &self.classes[usize::from(class.0)];
        if class.effect == cloverstile::Effect::Keyed && enqueue.idempotency_key.is_none() {
            return Err(Answer::Error("k is missing"));
        }
        let most = class.deadline;
        if !admitted || self.journal.image().held.len() >= self.max_held {
            return Err(Answer::Busy(Some(self.courier.come_back(now, destination))));
        }
        Ok(most)
    }

    fn accept(&mut self, now: Time, enqueue: Enqueue, most: Duration) -> Answer {
        let destination = DestinationId(enqueue.destination);
        let taken = Taken {
            id: enqueue.id,
            key: enqueue.order_key,
            class: enqueue.class,
            destination: enqueue.destination,
            idempotency_key: enqueue.idempotency_key,
            deadline_ms: self.clock.to_unix_ms(now + enqueue.time_left.min(most)),
            again: enqueue.from_dead_courier,
            body: enqueue.body,
        };
        let id = taken.id.clone();
        match self.journal.take(taken) {
            Ok(number) => {
                self.counts.accepted += 1;
                self.destination_metrics.message_accepted(destination);
                self.held_by_id.insert(id, HeldMessage { number, shared: false });
                let taken = self.journal.image().held.get(&number).map(|held| &held.taken);
                taken.into_iter().for_each(|taken| message_trace::accepted(number, taken));
                #[cfg(feature = "broken")]
                let taken = taken.filter(|_| !self.fault_injector.fires(Fault::Swallows));
                if let Some(accepted) = taken.and_then(|taken| self.accepted(number, taken)) {
                    self.courier.handle(now, Event::Accept(accepted));
                }
                Answer::Taken(MessageId(number))
            }
            Err(error) => {
                self.log_journal_error(now, Err(error));
                let answer = Answer::Busy(Some(self.courier.come_back(now, destination)));
                message_trace::not_recorded(&id, &answer);
                answer
            }
        }
    }

    /// A message of which its client never heard that it was taken on: nobody waits for its end, unless another
    /// hand-in of it was answered meanwhile.
    fn answer_unacknowledged(&mut self, now: Time, message: MessageId) {
        let id = self.journal.image().held.get(&message.0).map(|held| &held.taken.id);
        let known = id.and_then(|id| self.held_by_id.get(id));
        if let (Some(id), Some(known)) = (id, known) {
            message_trace::answer_unacknowledged(id, known.shared);
        }
        if known.is_some_and(|known| !known.shared) {
            self.counts.abandoned += u64::from(self.is_undecided(message));
            self.complete(now, message);
            self.courier.handle(now, Event::ClientGone(message));
        }
    }

    fn apply_list_update(&mut self, now: Time, update: Update) {
        #[cfg(feature = "broken")]
        let update = self.fault_injector.alter_list_update(update);
        // A watch that begins anew often has nothing new to tell.
        if update.targets.is_empty() && !update.all {
            return;
        }
        let listing = self.directory.apply(&update);
        self.courier.handle(now, Event::Listed(listing));
        self.suspend_listed(now);
        let (rev, changed) = (update.rev, update.targets.len());
        let written = self.journal.targets(&update);
        self.log_journal_error(now, written);
        info!(rev, changed, "the list has changed");
        self.effects.push(Effect::CloseIdleUnavailable);
        self.withdraw_unsent_calls(|endpoint, directory| !directory.is_open(endpoint));
        self.forget_gone();
    }

    /// What operators took out stays out, whatever the list says of it.
    fn suspend_listed(&mut self, now: Time) {
        for id in self.directory.set_suspended(&self.journal.image().suspended) {
            self.courier.handle(now, Event::Suspended(id));
        }
    }

    /// Carries out what an operator wants. It is in the journal before the answer, and nothing has changed without one.
    fn execute(&mut self, now: Time, order: OperatorCommand) -> Result<(), CommandError> {
        let (uid, is_out) = match &order {
            OperatorCommand::Suspend(uid) => (uid, true),
            OperatorCommand::Restore(uid) => (uid, false),
        };
        if !self.journal.image().was_listed(uid) {
            return Err(CommandError::UnknownEndpoint);
        }
        let is_new = self.journal.image().suspended.contains(uid) != is_out;
        if let Err(error) = self.journal.suspend(uid, is_out) {
            self.log_journal_error(now, Err(error));
            return Err(CommandError::NotRecorded);
        }
        if is_new {
            info!(uid, is_out, "an operator's word on an endpoint");
        }
        self.suspend_listed(now);
        let id = self.directory.endpoint_id(uid);
        if is_out {
            self.effects.extend(id.map(Effect::CloseIdle));
            self.withdraw_unsent_calls(|endpoint, directory| !directory.is_open(endpoint));
        } else if let Some(id) = id {
            self.courier.handle(now, Event::Reinstated(id));
        }
        Ok(())
    }

    /// Forgets the endpoints that are gone, once none of their calls is out.
    fn forget_gone(&mut self) {
        let out = &self.in_flight;
        self.directory.forget_gone(|endpoint| out.values().any(|out| out.endpoint == endpoint));
    }

    /// Takes back the calls to some endpoints that are still connecting: by the time their connections are up
    /// they would be new work for an endpoint that drains, or calls inside a told wait.
    fn withdraw_unsent_calls(&mut self, which: impl Fn(EndpointId, &Directory) -> bool) {
        for (message, out) in &self.in_flight {
            if !out.is_cancel_requested && which(out.endpoint, &self.directory) {
                self.effects.push(Effect::StopCall(*message, StopReason::Withdrawn));
            }
        }
    }

    /// An attempt is over, of which the journal has the beginning, or not.
    fn call_ended(
        &mut self,
        now: Time,
        message: MessageId,
        endpoint: EndpointId,
        ended: CallResult,
        is_written: bool,
    ) {
        #[cfg(feature = "broken")]
        let ended = self.fault_injector.alter_call_result(ended);
        let Some(out) = self.in_flight.remove(&message) else { return };
        let never = matches!(
            ended.outcome,
            Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Moot | Outcome::Spent
        );
        if let Some(held) = self.journal.image().held.get(&message.0) {
            message_trace::attempt_ended(&held.taken.id, out.attempt, ended.outcome, ended.latency, !never);
        }
        if let Some(destination) = self.directory.destination(endpoint) {
            self.destination_metrics.call_ended(destination, ended.outcome, ended.allowance);
        }
        if let Outcome::Full(Some(wait)) = ended.outcome {
            let destination = self.directory.destination(endpoint);
            if let Some(more) = self.retry_after_log.due(now) {
                info!(?destination, ?wait, more, "told to wait");
            }
            self.withdraw_unsent_calls(|other, directory| directory.destination(other) == destination);
        }
        if ended.is_final {
            if self.is_undecided(message) {
                match ended.outcome {
                    Outcome::Ok => self.class_counts(message).served += 1,
                    _ => self.counts.abandoned += 1,
                }
            }
            if ended.outcome == Outcome::Ok && !self.courier.is_surely_in_time(now, message) {
                let written = self.journal.owe(message.0, Verdict::Failed);
                self.log_journal_error(now, written);
                self.send_notice(message, Verdict::Failed);
            } else {
                self.complete(now, message);
            }
        } else if is_written {
            // One that is not written has no outcome there either: it would be taken for that of the attempt before, which may
            // have run, where its own could not be written.
            let written = self.journal.outcome(message.0, !never);
            self.log_journal_error(now, written);
        }
        self.courier.handle(
            now,
            Event::Finished(Finished {
                message,
                endpoint,
                attempt: out.attempt,
                outcome: ended.outcome,
                latency: ended.latency,
                complete: ended.is_final,
                allowance: ended.allowance,
            }),
        );
        if self.directory.is_gone(endpoint) {
            self.forget_gone();
        }
    }

    /// A message is held, and its end is not decided.
    fn is_undecided(&self, message: MessageId) -> bool {
        self.journal.image().held.get(&message.0).is_some_and(|held| held.verdict.is_none())
    }

    fn class_counts(&mut self, message: MessageId) -> &mut ClassCounts {
        let held = self.journal.image().held.get(&message.0);
        let class = held.and_then(|held| self.class(&held.taken.class));
        self.counts.class_mut(class.map(|class| usize::from(class.0)))
    }

    /// Nothing more is owed for a message.
    fn complete(&mut self, now: Time, message: MessageId) {
        if let Some(held) = self.journal.image().held.get(&message.0) {
            message_trace::completed(&held.taken.id);
            self.held_by_id.remove(&held.taken.id);
            let written = self.journal.over(message.0);
            self.log_journal_error(now, written);
        }
    }

    fn decide(&mut self, now: Time) {
        let mut actions = std::mem::take(&mut self.actions);
        self.courier.decide(now, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
        self.record_outages(now);
    }

    fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::Route { message, endpoint, try_for, send_by } => {
                self.route(now, message, endpoint, try_for, send_by);
            }
            Action::StopAttempt { message, .. } => {
                // A message has one attempt out at most.
                if let Some(out) = self.in_flight.get_mut(&message).filter(|out| !out.is_cancel_requested) {
                    out.is_cancel_requested = true;
                    self.effects.push(Effect::StopCall(message, StopReason::Cancelled));
                }
            }
            Action::Busy { message, after } => {
                self.decide_end(now, message, Verdict::Returned { after_ms: after.as_millis() as u64 });
            }
            Action::ReportFailure { message } => {
                self.decide_end(now, message, Verdict::Failed);
            }
            Action::Wake { after, token } => self.wake_up = Some((now + after, token)),
            Action::CloseIdle { endpoint } => self.effects.push(Effect::CloseIdle(endpoint)),
            Action::Log { text } => info!("{text}"),
            // The watch is always on, and the deployment permits neither probes nor notes.
            Action::KeepInformed { .. } | Action::Refresh | Action::Probe { .. } | Action::Tell { .. } => {}
        }
    }

    fn route(
        &mut self,
        now: Time,
        message: MessageId,
        endpoint: EndpointId,
        try_for: Duration,
        send_by: Option<Time>,
    ) {
        let held = self.journal.image().held.get(&message.0);
        let attempt = held.map_or(0, |held| held.attempts as u16);
        let taken = held.map(|held| held.taken.clone());
        let may_have_run = held.is_some_and(|held| held.maybe_ran.or(held.out).is_some());
        self.in_flight.insert(message, InFlightCall { endpoint, attempt, is_cancel_requested: false });
        // An attempt that the next process would not know of is not made.
        let start = (self.clock.to_unix_ms(now), self.directory.zone(endpoint).0);
        let written = self.journal.start(message.0, start);
        let known = taken.zip(self.directory.address(endpoint)).filter(|_| written.is_ok());
        self.log_journal_error(now, written);
        let Some((taken, address)) = known else {
            self.unsent.push((message, endpoint));
            return;
        };
        self.counts.calls_started += 1;
        #[cfg(feature = "broken")]
        let address = match self.fault_injector.fires(Fault::GoesAstray) {
            true => self.directory.address_of_other_destination(endpoint).unwrap_or(address),
            false => address,
        };
        let Taken { id, idempotency_key, body, .. } = taken;
        #[cfg(feature = "broken")]
        let idempotency_key =
            idempotency_key.map(|key| match attempt > 0 && self.fault_injector.is_active(Fault::NewKey) {
                true => format!("{key}{attempt}"),
                false => key,
            });
        #[cfg(feature = "broken")]
        let send_by = send_by.filter(|_| !self.fault_injector.is_active(Fault::LateRepeats));
        let call =
            Call { message, endpoint, address, id, idempotency_key, body, try_for, send_by, may_have_run };
        message_trace::attempt_started(&call, attempt);
        #[cfg(feature = "broken")]
        if self.fault_injector.is_active(Fault::SideBySide) {
            self.effects.push(Effect::StartUntrackedCall(call.clone()));
        }
        self.effects.push(Effect::StartCall(call));
    }

    /// Gives a message its end. It is in the journal before it is told: who was told that a message came back
    /// may hand it in again, and it must not be sent after that.
    fn decide_end(&mut self, now: Time, message: MessageId, verdict: Verdict) {
        #[cfg(feature = "broken")]
        let verdict = self.fault_injector.alter_verdict(verdict);
        let is_new = self.is_undecided(message);
        let (mut verdict, mut written) = (verdict, self.journal.owe(message.0, verdict));
        if written.is_err() && verdict != Verdict::Failed {
            // The next process would not know that it was handed back, and might send it beside what its client hands in anew.
            // Who is told of a failure does not come again.
            verdict = Verdict::Failed;
            written = self.journal.owe(message.0, verdict);
        }
        if is_new {
            let ends = self.class_counts(message);
            match verdict {
                Verdict::Failed => ends.failed += 1,
                Verdict::Returned { .. } => ends.returned += 1,
            }
        }
        self.log_journal_error(now, written);
        self.send_notice(message, verdict);
    }

    /// Tells the end of a message, which is in the journal.
    fn send_notice(&mut self, message: MessageId, verdict: Verdict) {
        if let Some(held) = self.journal.image().held.get(&message.0) {
            message_trace::notice_pending(&held.taken.id, verdict);
            #[cfg(feature = "broken")]
            if let Some(instead) = self.faulty_notices(message, held, verdict) {
                return self.effects.extend(instead);
            }
            let notice = Notice { message, id: held.taken.id.clone(), verdict };
            self.effects.push(Effect::SendNotice(notice));
        }
    }

    /// What is done in place of telling an end, where that is broken.
    #[cfg(feature = "broken")]
    fn faulty_notices(&self, message: MessageId, held: &Held, verdict: Verdict) -> Option<Vec<Effect>> {
        let notice = |verdict| Notice { message, id: held.taken.id.clone(), verdict };
        if self.fault_injector.is_active(Fault::EndsTwice) {
            let other = match verdict {
                Verdict::Failed => Verdict::Returned { after_ms: 100 },
                Verdict::Returned { .. } => Verdict::Failed,
            };
            return Some(vec![Effect::SendNotice(notice(other)), Effect::SendNotice(notice(verdict))]);
        }
        if self.fault_injector.is_active(Fault::KeepsBack) && verdict == Verdict::Failed {
            let due = self.clock.from_unix_ms(held.taken.deadline_ms) - Duration::from_millis(100);
            return Some(vec![Effect::DelayNotice(notice(verdict), due)]);
        }
        (self.fault_injector.is_active(Fault::NeverTells) && verdict == Verdict::Failed).then(Vec::new)
    }

    /// Writes down what is to be remembered of outages, when it has changed. A turn goes over the destinations that may have
    /// changed; all of them are gone over where the journal does not hold what it was told before.
    fn record_outages(&mut self, now: Time) {
        let changed = self.courier.take_changed_outages();
        if !self.outages_synchronized || self.journal.is_behind() {
            let notes = self.outages_for_journal(self.courier.outages());
            let is_lost = |note: &&OutageNote| note.lost.is_some();
            let before = self.journal.image().outages().filter(is_lost).count();
            self.log_outage_count(now, before, notes.iter().filter(is_lost).count());
            let written = self.journal.outages(&notes);
            self.outages_synchronized = true;
            return self.log_journal_error(now, written);
        }
        let notes = self.outages_for_journal(changed.iter().flat_map(|to| self.courier.outages_of(*to)));
        let destinations: Vec<u32> = changed.iter().map(|to| to.0).collect();
        let lost_before = self.journal.image().lost_among(&destinations);
        let lost_now = notes.iter().filter(|note| note.lost.is_some()).count();
        if lost_before != lost_now {
            let before = self.journal.image().outages().filter(|note| note.lost.is_some()).count();
            self.log_outage_count(now, before, before - lost_before + lost_now);
        }
        let written = self.journal.outages_of(&destinations, &notes);
        self.log_journal_error(now, written);
        debug_assert!(
            self.journal_has_all_outages(),
            "an outage changed at a destination that was not named"
        );
    }

    /// Whether the journal holds what there is to be remembered of outages, unless it could not be written.
    fn journal_has_all_outages(&self) -> bool {
        let notes = self.outages_for_journal(self.courier.outages());
        self.journal.is_behind() || self.journal.image().has_outages(&notes)
    }

    /// Outages as the journal keeps them.
    fn outages_for_journal(&self, outages: impl Iterator<Item = Outage>) -> Vec<OutageNote> {
        let note = |outage: Outage| OutageNote {
            destination: outage.destination.0,
            uid: outage.endpoint.and_then(|id| self.directory.uid(id)).map(str::to_owned),
            since_ms: self.clock.to_unix_ms(outage.since),
            evidence: outage.evidence,
            lost: outage.lost,
            returned_ms: outage.returned.map(|at| self.clock.to_unix_ms(at)),
            share: outage.share,
        };
        outages.map(note).collect()
    }

    /// Says in the log how many destinations are held to be out, where that has changed.
    fn log_outage_count(&mut self, now: Time, before: usize, after: usize) {
        if before != after {
            if let Some(more) = self.outage_log.due(now) {
                info!(before, after, more, "destinations held to be out");
            }
        }
    }

    fn log_journal_error(&mut self, now: Time, written: Result<(), JournalError>) {
        if let Err(error) = written {
            if let Some(more) = self.journal_error_log.due(now) {
                error!(%error, more, "the journal cannot be written");
            }
        }
    }

    /// What is counted, since this process began.
    pub fn counts(&self) -> &MessageCounts {
        &self.counts
    }

    /// What an operator is told.
    pub fn metrics(&self, now: Time) -> EngineMetrics {
        let classes = self.class_names.iter().zip(&self.counts.classes);
        EngineMetrics {
            classes: classes.map(|(name, ends)| (name.clone(), *ends)).collect(),
            attempts: self.counts.calls_written,
            in_flight: self.journal.image().held.values().filter(|held| held.verdict.is_none()).count(),
            endpoints_known: self.directory.listed_count(),
            endpoints_excluded: self.courier.excluded(now),
        }
    }

    /// Says in the log what each destination was given and what waits for it, where [`crate::TALLY`] is switched on. To be
    /// called once a second.
    pub fn log_destination_metrics(&mut self, now: Time) {
        self.destination_metrics.log(self.courier.standings(now));
    }

    /// Says in the log what has happened since the last time, and how late the loop was at the most.
    pub fn log_activity(&mut self, latest: Duration) {
        let (sum, before) = (self.counts.total(), self.logged_counts.total());
        let taken = self.counts.accepted - self.logged_counts.accepted;
        let busy = sum.rejected - before.rejected;
        let delivered = sum.served - before.served;
        let failed = sum.failed - before.failed;
        let returned = sum.returned - before.returned;
        let calls = self.counts.calls_started - self.logged_counts.calls_started;
        self.logged_counts = self.counts.clone();
        let (held, out) = self.load();
        info!(taken, busy, delivered, failed, returned, calls, held, out, ?latest, "load");
        let Figures { appended, rewritten, freed, segments, used, live, unwritten } = self.journal.figures();
        info!(appended, rewritten, freed, segments, used, live, unwritten, "journal");
    }
}
