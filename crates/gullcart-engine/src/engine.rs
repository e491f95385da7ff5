//! The courier's state machine: which messages it holds, which calls are in flight and which notices are pending. It connects
//! the I/O around it, the journal, and the decision logic of [`cloverstile`], which chooses when and where to send messages.
//!
//! Inputs come with the current time. Effects are returned at the end of a turn, when the journal holds everything that they
//! promise.

use cloverstile::*;
use gullcart_journal::{Journal, JournalError, JournalStats, PendingMessage, PersistedOutage, Store};
use gullcart_message::{AcceptedMessage, ListingUpdate, Verdict};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tracing::{error, info, warn};

#[cfg(feature = "broken")]
use crate::broken::{Fault, FaultInjector, LIST_UPDATE_DELAY};
use crate::client_shares::ClientShares;
use crate::clock::Clock;
use crate::destination_metrics::DestinationMetrics;
use crate::directory::Directory;
use crate::ended_messages::{EndedMessage, EndedMessages, MessageEnd};
use crate::engine_snapshot::{
    self, EngineSnapshot, InFlightCall, ResumeError, SnapshotHeader, SNAPSHOT_FORMAT,
};
use crate::message_trace;
use crate::metrics::{ClassCounts, EngineMetrics, MessageCounts};
use crate::rate_limited_log::RateLimitedLog;
use crate::trial_duties::{DutyView, TrialDuties, TrialRequest};
use crate::types::{
    Answer, Call, CallResult, ClientId, CommandError, Effect, Enqueue, Input, Notice, OperatorCommand,
    StopReason,
};

/// Longest time from SIGTERM until the process exits. The platform sends SIGKILL 3.7 s after SIGTERM.
const MAX_SHUTDOWN: Duration = Duration::from_millis(3200);
/// Shortest time from SIGTERM until the process exits. Clients keep opening connections for 0.4 s after SIGTERM.
const MIN_SHUTDOWN: Duration = Duration::from_millis(600);

/// Assumed bound of the time for which the process may stall between reading its clock and a write. Decisions leave this margin.
const MAX_PAUSE: Duration = Duration::from_millis(150);

/// Result of an attempt whose call was not started, so that nothing was sent.
const NOT_STARTED: CallResult =
    CallResult { outcome: Outcome::NotSent, latency: Duration::ZERO, is_final: false, allowance: None };

/// A message that is held.
struct HeldMessage {
    /// The message's number in the journal, which is the value of its [`MessageId`].
    number: u32,
    /// A later enqueue request was answered that the message is already held, so the first client may not drop it any more.
    is_shared: bool,
    /// The client whose share it takes; none if it was restored from the journal.
    client: Option<ClientId>,
}

/// How a message is completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Completion {
    /// It was delivered.
    Delivered,
    /// Nothing more is done for it.
    Undelivered,
}

/// What to do with a message once its call has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterCall {
    /// Nobody waits for the message: its client has left, or its notice was acknowledged.
    Complete,
    /// As above, but its client has enqueued it again since, and gets a notice unless the call delivers the message.
    NotifyUndelivered,
}

/// When the process exits after it was asked to shut down.
struct Shutdown {
    /// Not before this moment, even if nothing is held.
    earliest_exit: Time,
    /// Not after this moment, whatever is held.
    latest_exit: Time,
}

/// What an engine is created from.
pub struct EngineConfig {
    /// The settings.
    pub parsed_settings: ParsedSettings,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The list of endpoints from the configuration, which may be out of date.
    pub initial_list: ListingUpdate,
    /// The current time.
    pub now: Time,
    /// Unix time of [`crate::PROCESS_START`] in milliseconds.
    pub start_unix_ms: u64,
    /// Checksum of the settings. A snapshot can be resumed only under the same settings.
    pub settings_checksum: u32,
    /// Injects a fault for tests.
    #[cfg(feature = "broken")]
    pub fault_injector: FaultInjector,
}

/// A courier process without its I/O.
pub struct Engine<S: Store> {
    /// The decision logic.
    decision_logic: Courier,
    clock: Clock,
    journal: Journal<S>,
    directory: Directory,
    class_names: Vec<String>,
    classes: Vec<Class>,
    settings: Settings,
    settings_checksum: u32,
    /// Maximum number of messages held.
    max_held: usize,
    /// The messages that are held, by the client's id.
    held_by_id: HashMap<String, HeldMessage>,
    client_shares: ClientShares,
    /// The messages that are over, by the client's id.
    ended_messages: EndedMessages,
    /// Calls in flight. The map is ordered, so that a run can be reproduced. The journal holds the message of each of them, also
    /// if nobody waits for it any more: another process resumes the call from both.
    in_flight: BTreeMap<MessageId, InFlightCall>,
    /// What to do with messages that were over before their call had ended, once it has.
    after_call: BTreeMap<MessageId, AfterCall>,
    /// Attempts whose calls could not be started. The decision logic gets their results at the start of the next turn.
    not_started: Vec<(MessageId, EndpointId)>,
    /// Effects of the current turn.
    effects: Vec<Effect>,
    shutdown: Option<Shutdown>,
    /// When the decision logic's timer is due, and the timer's token.
    wake_up: Option<(Time, u64)>,
    /// Buffer for the actions of the decision logic, reused between turns.
    actions: Vec<Action>,
    counts: MessageCounts,
    /// The counters at the time of the last call to [`Engine::log_activity`].
    logged_counts: MessageCounts,
    destination_metrics: DestinationMetrics,
    journal_error_log: RateLimitedLog,
    outage_log: RateLimitedLog,
    /// All outages were recorded in the journal once. From then on only changed outages are.
    outages_synchronized: bool,
    retry_after_log: RateLimitedLog,
    #[cfg(feature = "broken")]
    fault_injector: FaultInjector,
}

impl<S: Store> Engine<S> {
    /// Creates an engine with the messages, endpoints and outages that the journal holds.
    pub fn new(config: EngineConfig, journal: Journal<S>) -> Self {
        let now = config.now;
        let initial_list = config.initial_list.clone();
        let mut engine = Engine::without_messages(config, journal);
        engine.restore_from_journal(now, initial_list);
        engine
    }

    /// Creates an engine from the snapshot of another process ([`Engine::freeze`]) and the journal that this process left.
    /// Calls that were in flight there are in flight here. If the snapshot cannot be used, the engine starts from the journal
    /// alone without any call in flight, and the reason is returned with it.
    pub fn resume(
        config: EngineConfig,
        journal: Journal<S>,
        snapshot: &[u8],
    ) -> (Self, Result<(), ResumeError>) {
        let now = config.now;
        let initial_list = config.initial_list.clone();
        let seed = config.seed;
        let mut engine = Engine::without_messages(config, journal);
        let snapshot = engine_snapshot::read(snapshot, engine.settings_checksum);
        let result = snapshot.and_then(|snapshot| {
            engine.compare_with_journal(&snapshot)?;
            engine.restore_from_snapshot(now, seed, snapshot);
            Ok(())
        });
        if result.is_err() {
            engine.restore_from_journal(now, initial_list);
        }
        (engine, result)
    }

    /// Checks that a snapshot and the journal hold the same messages.
    fn compare_with_journal(&self, snapshot: &EngineSnapshot) -> Result<(), ResumeError> {
        let all_pending = &self.journal.state().pending;
        let is_missing_in_snapshot = |(number, pending): &(&u32, &PendingMessage)| {
            pending.verdict.is_none() && !snapshot.decision_logic.holds(MessageId(**number))
        };
        let only_in_journal = all_pending.iter().filter(is_missing_in_snapshot).count();
        let calls = snapshot.in_flight.keys();
        let calls_without_message = calls.filter(|message| !all_pending.contains_key(&message.0)).count();
        match (only_in_journal, calls_without_message) {
            (0, 0) => Ok(()),
            _ => Err(ResumeError::JournalMismatch { only_in_journal, calls_without_message }),
        }
    }

    fn restore_from_snapshot(&mut self, now: Time, seed: u64, snapshot: EngineSnapshot) {
        let EngineSnapshot { decision_logic, directory, in_flight, shared_messages, wake_up, ended_messages } =
            snapshot;
        self.decision_logic = decision_logic.resumed(self.settings.clone(), seed);
        self.directory = directory.resumed();
        self.in_flight = in_flight;
        self.wake_up = wake_up;
        self.ended_messages = ended_messages;
        for (number, pending) in &self.journal.state().pending {
            let is_shared = shared_messages.contains(&MessageId(*number));
            let held = HeldMessage { number: *number, is_shared, client: None };
            self.held_by_id.insert(pending.message.id.clone(), held);
            self.counts.recovered += u64::from(pending.verdict.is_none());
            // The platform may not have acknowledged the notice yet. Receiving it twice is harmless.
            if let Some(verdict) = pending.verdict {
                let (message, id) = (MessageId(*number), pending.message.id.clone());
                self.effects.push(Effect::SendNotice(Notice { message, id, verdict }));
            }
        }
        self.suspend_listed(now);
        let (pending_count, in_flight_count) = self.load();
        info!(
            held = pending_count,
            out = in_flight_count,
            rev = self.list_revision(),
            "resumed from the snapshot of another process"
        );
    }

    /// Stops the engine between two turns. Commits the journal and returns the remaining effects, among which no call is
    /// started, and a snapshot for [`Engine::resume`] in this or another process; no snapshot if it cannot be serialized.
    /// Inputs that this engine handles afterwards are lost.
    pub fn freeze(&mut self, now: Time) -> Result<(Vec<Effect>, Option<Vec<u8>>), JournalError> {
        for (message, endpoint) in std::mem::take(&mut self.not_started) {
            self.call_ended(now, message, endpoint, NOT_STARTED, false);
        }
        self.record_outages(now);
        self.journal.commit()?;
        let effects = std::mem::take(&mut self.effects);
        let header = SnapshotHeader { format: SNAPSHOT_FORMAT, settings_checksum: self.settings_checksum };
        let shared = self.held_by_id.values().filter(|held| held.is_shared);
        let snapshot = EngineSnapshot {
            shared_messages: shared.map(|held| MessageId(held.number)).collect(),
            decision_logic: std::mem::take(&mut self.decision_logic),
            directory: std::mem::take(&mut self.directory),
            in_flight: std::mem::take(&mut self.in_flight),
            wake_up: self.wake_up,
            ended_messages: std::mem::take(&mut self.ended_messages),
        };
        Ok((effects, engine_snapshot::write(&header, &snapshot).ok()))
    }

    /// Whether the process was asked to shut down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// The call in flight for a message, to continue it after [`Engine::resume`]. `try_for` is the rest of the call's time limit,
    /// which the caller got from the previous process.
    pub fn in_flight_call(&self, message: MessageId, try_for: Duration) -> Option<Call> {
        let in_flight = self.in_flight.get(&message)?;
        let pending = self.journal.state().pending.get(&message.0)?;
        let address = self.directory.address(in_flight.endpoint)?;
        let AcceptedMessage { id, idempotency_key, body, .. } = pending.message.clone();
        Some(Call {
            message,
            endpoint: in_flight.endpoint,
            address,
            id,
            idempotency_key,
            body,
            try_for,
            // All bytes of the call have been sent.
            send_by: None,
            may_have_run: pending.may_have_run.is_some(),
        })
    }

    /// The messages and endpoints of all calls in flight.
    pub fn calls_in_flight(&self) -> impl Iterator<Item = (MessageId, EndpointId)> + '_ {
        self.in_flight.iter().map(|(message, call)| (*message, call.endpoint))
    }

    /// An engine without messages, endpoints and outages.
    fn without_messages(config: EngineConfig, journal: Journal<S>) -> Self {
        let EngineConfig { parsed_settings: mut parsed, seed, start_unix_ms, settings_checksum, .. } = config;
        // Notices have to be acknowledged, and the process may stall.
        parsed.settings.acknowledged_answers = true;
        parsed.settings.max_pause = MAX_PAUSE;
        let directory = Directory::new(&parsed);
        let settings = parsed.settings;
        let max_held = settings.max_held;
        let mut engine = Engine {
            class_names: parsed.class_names,
            classes: settings.classes.clone(),
            max_held,
            settings: settings.clone(),
            settings_checksum,
            decision_logic: Courier::new(settings, seed),
            clock: Clock::new(start_unix_ms),
            journal,
            directory,
            held_by_id: HashMap::new(),
            client_shares: ClientShares::new(max_held),
            ended_messages: EndedMessages::default(),
            in_flight: BTreeMap::new(),
            after_call: BTreeMap::new(),
            not_started: Vec::new(),
            effects: Vec::new(),
            shutdown: None,
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
            fault_injector: config.fault_injector,
        };
        engine.counts = MessageCounts::new(engine.classes.len());
        engine.logged_counts = engine.counts.clone();
        engine
    }

    /// Revision of the list of endpoints that the courier knows.
    pub fn list_revision(&self) -> u64 {
        self.journal.state().listing_rev
    }

    /// The number of messages held and the number of calls in flight.
    pub fn load(&self) -> (usize, usize) {
        (self.journal.state().pending.len(), self.in_flight.len())
    }

    /// The journal.
    pub fn journal(&self) -> &Journal<S> {
        &self.journal
    }

    /// Whether an endpoint may get new work.
    pub fn is_open(&self, endpoint: EndpointId) -> bool {
        self.directory.is_open(endpoint)
    }

    /// When the next turn is due if no input arrives before. A moment in the past, like `Time::ZERO`, means at once.
    pub fn next_wake(&self) -> Option<Time> {
        if !self.not_started.is_empty() {
            return Some(Time::ZERO);
        }
        let latest_exit = self.shutdown.as_ref().map(|shutdown| shutdown.latest_exit);
        self.wake_up.map(|(at, _)| at).into_iter().chain(latest_exit).min()
    }

    /// Ends a turn: runs due timers, makes decisions, commits the journal and returns the effects of everything since the
    /// previous turn. No effect leaves the engine in any other way. After an error the engine must not be used any more, since
    /// it is unknown which records of the journal are durable.
    pub fn turn(&mut self, now: Time) -> Result<Vec<Effect>, JournalError> {
        for (message, endpoint) in std::mem::take(&mut self.not_started) {
            self.call_ended(now, message, endpoint, NOT_STARTED, false);
        }
        if let Some((_, token)) = self.wake_up.filter(|(at, _)| *at <= now) {
            self.wake_up = None;
            self.decision_logic.handle(now, Event::TimerExpired(token));
        }
        self.apply_decisions(now);
        if let Some(error) = self.journal.take_maintenance_error() {
            self.log_journal_error(now, Err(error));
        }
        self.journal.commit()?;
        Ok(std::mem::take(&mut self.effects))
    }

    /// Updates the trial duties that this courier shares with the other couriers of its group. To be called before each turn.
    /// `registered` are the duties for which the group has this courier registered, `view` returns a duty's state. Returns the
    /// requests to send to the group.
    pub fn update_trial_duties(
        &mut self,
        now: Time,
        duties: &mut TrialDuties,
        registered: impl IntoIterator<Item = DestinationId>,
        view: impl Fn(DestinationId) -> Option<DutyView>,
    ) -> Vec<TrialRequest> {
        let (events, requests) = duties.update(now, &self.decision_logic, registered, view);
        events.into_iter().for_each(|event| self.decision_logic.handle(now, event));
        requests
    }

    /// Whether the process may exit now.
    pub fn may_exit(&self, now: Time) -> bool {
        let Some(Shutdown { earliest_exit, latest_exit }) = self.shutdown else { return false };
        let is_idle = self.load() == (0, 0);
        now >= latest_exit || (now >= earliest_exit && is_idle)
    }

    /// Starts no more calls, as this process is about to exit. It may still accept messages, which the next process finds in the
    /// journal and sends.
    pub fn stop_calling(&mut self, now: Time) {
        self.decision_logic.handle(now, Event::ShutdownAt(now));
    }

    /// Restores the state from the journal alone. `initial_list` is the list of endpoints from the configuration.
    fn restore_from_journal(&mut self, now: Time, initial_list: ListingUpdate) {
        let written =
            self.journal.add_destinations(initial_list.targets.iter().map(|target| target.pod_group));
        self.log_journal_error(now, written);
        let state = self.journal.state();
        // The list in the journal takes precedence unless it is older: discovery assumes that this courier knows it.
        if state.listing_rev == 0 || state.listing_rev < initial_list.rev {
            let update = ListingUpdate { all: true, ..initial_list };
            let listing = self.directory.apply(&update);
            self.decision_logic.handle(now, Event::Listed(listing));
            let written = self.journal.update_listing(&update);
            self.log_journal_error(now, written);
        } else {
            let targets = state.targets.values().cloned().collect();
            let listing = self.directory.apply(&ListingUpdate { rev: state.listing_rev, all: true, targets });
            self.decision_logic.handle(now, Event::Listed(listing));
        }
        self.suspend_listed(now);
        let persisted_outages: Vec<PersistedOutage> = self.journal.state().outages().cloned().collect();
        for persisted in persisted_outages {
            let endpoint = persisted.uid.as_ref().and_then(|uid| self.directory.endpoint_id(uid));
            if persisted.uid.is_some() && endpoint.is_none() {
                continue;
            }
            let outage = OutageRecord {
                destination: DestinationId(persisted.destination),
                endpoint,
                since: self.clock.from_unix_ms(persisted.since_ms),
                evidence: persisted.failure_weight,
                calls_lost: persisted.calls_were_lost,
                slow_start_since: persisted.slow_start_since_ms.map(|ms| self.clock.from_unix_ms(ms)),
                served_rate: persisted.served_per_second,
            };
            self.decision_logic.handle(now, Event::OutageRestored(outage));
        }
        let pending: Vec<(u32, PendingMessage)> =
            self.journal.state().pending.iter().map(|(number, message)| (*number, message.clone())).collect();
        #[cfg(feature = "broken")]
        let pending: Vec<(u32, PendingMessage)> = match () {
            () if self.fault_injector.is_active(Fault::ForgetsAtRestart) => Vec::new(),
            () if self.fault_injector.is_active(Fault::ReordersAtRestart) => {
                pending.into_iter().rev().collect()
            }
            () => pending,
        };
        for (number, message) in &pending {
            self.counts.recovered += u64::from(message.verdict.is_none());
            self.restore_message(now, *number, message);
        }
        info!(held = pending.len(), rev = self.list_revision(), "the journal was replayed");
    }

    fn restore_message(&mut self, now: Time, number: u32, pending: &PendingMessage) {
        let held = HeldMessage { number, is_shared: false, client: None };
        self.held_by_id.insert(pending.message.id.clone(), held);
        let message = MessageId(number);
        let Some(accepted) = self.to_accepted(number, &pending.message) else {
            warn!(
                class = pending.message.class,
                "the class of a held message is not in the settings; the message fails"
            );
            self.end_undelivered(now, message, Verdict::Failed);
            return;
        };
        // An attempt without a recorded outcome counts as one that may have run, even if its process died before the first byte.
        if pending.in_flight.is_some() {
            let written = self.journal.finish_attempt(number, true);
            self.log_journal_error(now, written);
        }
        message_trace::recovered(number, pending);
        let may_have_run = pending.may_have_run.or(pending.in_flight).map(|(ms, zone)| {
            // A moment in the future means that the wall clock was set back, and that the age of the attempt is unknown.
            let sent = Some(self.clock.from_unix_ms(ms)).filter(|sent| *sent <= now).unwrap_or(Time::ZERO);
            (sent, self.directory.configured_zone(zone))
        });
        let answered = pending.verdict.is_some();
        let restored = Restored { accepted, attempts: pending.attempts, may_have_run, answered };
        self.decision_logic.handle(now, Event::Restored(restored));
        if let Some(verdict) = pending.verdict {
            self.effects.push(Effect::SendNotice(Notice {
                message,
                id: pending.message.id.clone(),
                verdict,
            }));
        }
    }

    /// A message in the form of the decision logic; `None` if its class is not in the settings.
    fn to_accepted(&self, number: u32, accepted: &AcceptedMessage) -> Option<Accepted> {
        let class = self.class_id(&accepted.class)?;
        Some(Accepted {
            id: MessageId(number),
            class,
            destination: DestinationId(accepted.destination),
            key: (accepted.order_key != 0).then_some(OrderKey(accepted.order_key)),
            deadline: self.clock.from_unix_ms(accepted.deadline_ms),
            from_dead_courier: accepted.from_dead_courier,
            tenant: TenantId(0),
        })
    }

    /// The index of a class in the settings.
    fn class_id(&self, name: &str) -> Option<ClassId> {
        self.class_names.iter().position(|class| class == name).map(|index| ClassId(index as u8))
    }

    /// Handles an input. Its effects are returned at the end of the turn.
    pub fn handle(&mut self, now: Time, input: Input) {
        match input {
            Input::Enqueue(ticket, enqueue) => {
                let class = self.class_id(&enqueue.class);
                let answer = self.enqueue(now, enqueue);
                let counts = self.counts.class_mut(class.map(|class| usize::from(class.0)));
                match &answer {
                    Answer::Busy(_) => counts.rejected += 1,
                    Answer::Error(_) => counts.invalid += 1,
                    Answer::Taken(_) | Answer::Held => {}
                }
                self.effects.push(Effect::Answer(ticket, answer));
            }
            Input::AnswerUnacknowledged(message) => self.answer_unacknowledged(now, message),
            Input::Command(ticket, command) => {
                let result = self.execute(now, command);
                self.effects.push(Effect::CommandResult(ticket, result));
            }
            Input::CallWritten(message) => {
                self.counts.calls_written += u64::from(self.in_flight.contains_key(&message));
            }
            #[cfg(feature = "broken")]
            Input::ListUpdate(update)
                if self.fault_injector.is_active(Fault::LateToDrains) && !update.all =>
            {
                // A complete list is not delayed.
                self.effects.push(Effect::DelayListUpdate(update, LIST_UPDATE_DELAY));
            }
            #[cfg(feature = "broken")]
            Input::DelayedListUpdate(update) => self.apply_list_update(now, update),
            Input::ListUpdate(update) => self.apply_list_update(now, update),
            Input::CallEnded(message, endpoint, result) => {
                self.call_ended(now, message, endpoint, result, true)
            }
            Input::NoticesAcknowledged(messages) => {
                for message in messages {
                    if let Some(pending) = self.journal.state().pending.get(&message.0) {
                        message_trace::notice_acknowledged(&pending.message.id);
                    }
                    self.complete(now, message, Completion::Undelivered);
                    self.decision_logic.handle(now, Event::AnswerAcknowledged(message));
                }
            }
            Input::Terminate if self.shutdown.is_some() => {}
            Input::Terminate => {
                let (pending_count, in_flight_count) = self.load();
                info!(held = pending_count, out = in_flight_count, "shutdown requested");
                let latest_exit = now + MAX_SHUTDOWN;
                self.shutdown = Some(Shutdown { earliest_exit: now + MIN_SHUTDOWN, latest_exit });
                self.decision_logic.handle(now, Event::ShutdownAt(latest_exit));
                self.effects.push(Effect::AnnounceShutdown);
            }
        }
    }

    /// Answers an enqueue request, and accepts the message if possible.
    fn enqueue(&mut self, now: Time, enqueue: Enqueue) -> Answer {
        let max_time_left = match self.check_admission(now, &enqueue) {
            Ok(max_time_left) => max_time_left,
            Err(answer) => {
                message_trace::not_accepted(&enqueue, &answer, self.journal.state().pending.len());
                return answer;
            }
        };
        self.accept(now, enqueue, max_time_left)
    }

    /// Whether a message may be accepted. Returns the longest deadline that its class allows, or the answer to the client.
    fn check_admission(&mut self, now: Time, enqueue: &Enqueue) -> Result<Duration, Answer> {
        let Some(class) = self.class_id(&enqueue.class) else { return Err(Answer::Error("unknown class")) };
        if let Some(same_id) = self.held_by_id.get_mut(&enqueue.id) {
            // Either the client repeats its request on a new connection, or the id is used for a second message.
            let pending = self.journal.state().pending.get(&same_id.number);
            if !pending.is_some_and(|pending| enqueue.is_same(&pending.message)) {
                return Err(Answer::Error("the id is in use for another message"));
            }
            same_id.is_shared = true;
            if let Some(after_call) = self.after_call.get_mut(&MessageId(same_id.number)) {
                *after_call = AfterCall::NotifyUndelivered;
            }
            return Err(Answer::Held);
        }
        match self.ended_messages.find(now, self.longest_deadline(), enqueue) {
            // Nothing more is owed for it.
            Some(EndedMessage::Same(MessageEnd::Delivered)) => return Err(Answer::Held),
            Some(EndedMessage::Same(MessageEnd::MayHaveRun)) => {
                return Err(Answer::Error("the message has ended and may have run"))
            }
            Some(EndedMessage::Other) => return Err(Answer::Error("the id was used for another message")),
            None => {}
        }
        let destination = DestinationId(enqueue.destination);
        if !self.journal.state().destinations.contains(&enqueue.destination) {
            return Err(Answer::Error("unknown destination"));
        }
        let admitted = self.decision_logic.admits(class);
        let class = &self.classes[usize::from(class.0)];
        if class.effect == cloverstile::Effect::Keyed && enqueue.idempotency_key.is_none() {
            return Err(Answer::Error("k is missing"));
        }
        // It could only be answered as accepted and then end by a notice.
        if enqueue.time_left.is_zero() {
            return Err(Answer::Error("no time is left"));
        }
        let max_time_left = class.deadline;
        let free_places = self.max_held.saturating_sub(self.journal.state().pending.len());
        if !admitted || !self.client_shares.admits(now, enqueue.client, free_places) {
            return Err(Answer::Busy(Some(self.decision_logic.retry_after(now, destination))));
        }
        Ok(max_time_left)
    }

    /// The longest time that a message of any class may take; its client may come back with its id for so long.
    fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Records a message in the journal and accepts it. Its deadline is at most `max_time_left` away.
    fn accept(&mut self, now: Time, enqueue: Enqueue, max_time_left: Duration) -> Answer {
        let (destination, client) = (DestinationId(enqueue.destination), enqueue.client);
        let accepted = AcceptedMessage {
            id: enqueue.id,
            order_key: enqueue.order_key,
            class: enqueue.class,
            destination: enqueue.destination,
            idempotency_key: enqueue.idempotency_key,
            deadline_ms: self.clock.to_unix_ms(now + enqueue.time_left.min(max_time_left)),
            from_dead_courier: enqueue.from_dead_courier,
            body: enqueue.body,
        };
        let id = accepted.id.clone();
        match self.journal.accept(accepted) {
            Ok(number) => {
                self.counts.accepted += 1;
                self.destination_metrics.message_accepted(destination);
                self.held_by_id.insert(id, HeldMessage { number, is_shared: false, client });
                self.client_shares.add(now, client);
                let accepted = self.journal.state().pending.get(&number).map(|pending| &pending.message);
                accepted.into_iter().for_each(|accepted| message_trace::accepted(number, accepted));
                #[cfg(feature = "broken")]
                let accepted = accepted.filter(|_| !self.fault_injector.fires(Fault::Swallows));
                if let Some(accepted) = accepted.and_then(|accepted| self.to_accepted(number, accepted)) {
                    self.decision_logic.handle(now, Event::Accept(accepted));
                }
                Answer::Taken(MessageId(number))
            }
            Err(error) => {
                self.log_journal_error(now, Err(error));
                let answer = Answer::Busy(Some(self.decision_logic.retry_after(now, destination)));
                message_trace::not_recorded(&id, &answer);
                answer
            }
        }
    }

    /// The client did not receive the answer that its message was accepted. No client waits for the message then, and it is
    /// dropped once it has no call in flight, unless another enqueue request for it was answered since.
    fn answer_unacknowledged(&mut self, now: Time, message: MessageId) {
        let id = self.journal.state().pending.get(&message.0).map(|pending| &pending.message.id);
        let held = id.and_then(|id| self.held_by_id.get(id));
        if let (Some(id), Some(held)) = (id, held) {
            message_trace::answer_unacknowledged(id, held.is_shared);
        }
        if held.is_some_and(|held| !held.is_shared) {
            self.counts.abandoned += u64::from(self.is_undecided(message));
            if self.in_flight.contains_key(&message) && self.is_undecided(message) {
                // A process that replays the journal before the call has ended must not send the message again.
                let written = self.journal.set_verdict(message.0, Verdict::Failed);
                self.log_journal_error(now, written);
            }
            self.complete(now, message, Completion::Undelivered);
            self.decision_logic.handle(now, Event::ClientGone(message));
        }
    }

    /// Applies an update of the list to the directory, the decision logic, the journal and the connections.
    fn apply_list_update(&mut self, now: Time, update: ListingUpdate) {
        #[cfg(feature = "broken")]
        let update = self.fault_injector.alter_list_update(update);
        // A watch that is reopened often starts with an empty update.
        if update.targets.is_empty() && !update.all {
            return;
        }
        let listing = self.directory.apply(&update);
        self.decision_logic.handle(now, Event::Listed(listing));
        self.suspend_listed(now);
        let (rev, changed) = (update.rev, update.targets.len());
        let written = self.journal.update_listing(&update);
        self.log_journal_error(now, written);
        info!(rev, changed, "the list has changed");
        self.effects.push(Effect::CloseIdleUnavailable);
        self.withdraw_unsent_calls(|endpoint, directory| !directory.is_open(endpoint));
        self.remove_gone_endpoints();
    }

    /// Applies the operators' suspensions, which apply regardless of the endpoints' state in the list.
    fn suspend_listed(&mut self, now: Time) {
        for id in self.directory.set_suspended(&self.journal.state().suspended_uids) {
            self.decision_logic.handle(now, Event::Suspended(id));
        }
    }

    /// Executes an operator's command. The journal records it before it is answered; if it cannot, nothing changes.
    fn execute(&mut self, now: Time, command: OperatorCommand) -> Result<(), CommandError> {
        let (uid, suspend) = match &command {
            OperatorCommand::Suspend(uid) => (uid, true),
            OperatorCommand::Unsuspend(uid) => (uid, false),
        };
        if !self.journal.state().was_listed(uid) {
            return Err(CommandError::UnknownEndpoint);
        }
        let is_changed = self.journal.state().suspended_uids.contains(uid) != suspend;
        if let Err(error) = self.journal.set_suspended(uid, suspend) {
            self.log_journal_error(now, Err(error));
            return Err(CommandError::NotRecorded);
        }
        if is_changed {
            info!(uid, is_out = suspend, "an operator suspended or unsuspended an endpoint");
        }
        self.suspend_listed(now);
        let id = self.directory.endpoint_id(uid);
        if suspend {
            self.effects.extend(id.map(Effect::CloseIdle));
            self.withdraw_unsent_calls(|endpoint, directory| !directory.is_open(endpoint));
        } else if let Some(id) = id {
            self.decision_logic.handle(now, Event::Reinstated(id));
        }
        Ok(())
    }

    /// Removes endpoints that are no longer listed and have no call in flight.
    fn remove_gone_endpoints(&mut self) {
        let in_flight = &self.in_flight;
        self.directory.remove_gone(|endpoint| in_flight.values().any(|call| call.endpoint == endpoint));
    }

    /// Stops calls to the selected endpoints, unless a byte of them was sent. Once their connections are established, they
    /// would be new work for a draining endpoint, or calls before the end of a retry-after time.
    fn withdraw_unsent_calls(&mut self, is_selected: impl Fn(EndpointId, &Directory) -> bool) {
        for (message, call) in &self.in_flight {
            if !call.is_cancel_requested && is_selected(call.endpoint, &self.directory) {
                self.effects.push(Effect::StopCall(*message, StopReason::Withdrawn));
            }
        }
    }

    /// Handles the end of a call. `is_start_recorded` tells whether the journal has recorded the attempt's start.
    fn call_ended(
        &mut self,
        now: Time,
        message: MessageId,
        endpoint: EndpointId,
        result: CallResult,
        is_start_recorded: bool,
    ) {
        #[cfg(feature = "broken")]
        let result = self.fault_injector.alter_call_result(result);
        let Some(call) = self.in_flight.remove(&message) else { return };
        let after_call = self.after_call.remove(&message);
        // These outcomes rule out that the endpoint processed the message; all others do not.
        let may_have_run = !matches!(
            result.outcome,
            Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::NotSent | Outcome::AttemptsExhausted
        );
        if let Some(pending) = self.journal.state().pending.get(&message.0) {
            let id = &pending.message.id;
            message_trace::attempt_ended(id, call.attempt, result.outcome, result.latency, may_have_run);
        }
        if let Some(destination) = self.directory.destination(endpoint) {
            self.destination_metrics.call_ended(destination, result.outcome, result.allowance);
        }
        if let Outcome::Rejected(Some(wait)) = result.outcome {
            let destination = self.directory.destination(endpoint);
            if let Some(more) = self.retry_after_log.due(now) {
                info!(?destination, ?wait, more, "retry-after received");
            }
            self.withdraw_unsent_calls(|other, directory| directory.destination(other) == destination);
        }
        if result.is_final {
            if self.is_undecided(message) {
                // Another final result means that no client waits for the message.
                match result.outcome {
                    Outcome::Ok => self.class_counts(message).served += 1,
                    _ => self.counts.abandoned += 1,
                }
            }
            // A delivery that may have come after the deadline, because this process was paused, still gets a failure notice.
            if result.outcome == Outcome::Ok
                && after_call.is_none()
                && !self.decision_logic.is_certainly_in_time(now, message)
            {
                let written = self.journal.set_verdict(message.0, Verdict::Failed);
                self.log_journal_error(now, written);
                self.send_notice(message, Verdict::Failed);
            } else {
                let is_delivered = result.outcome == Outcome::Ok;
                let completion = if is_delivered { Completion::Delivered } else { Completion::Undelivered };
                self.complete(now, message, completion);
            }
        } else if is_start_recorded {
            // Without a recorded start the journal would apply the outcome to the previous attempt, which may have run and
            // whose own outcome may be missing.
            let written = self.journal.finish_attempt(message.0, may_have_run);
            self.log_journal_error(now, written);
        }
        match after_call {
            Some(AfterCall::Complete) => self.complete(now, message, Completion::Undelivered),
            Some(AfterCall::NotifyUndelivered) => self.resend_notice(message),
            None => {}
        }
        self.decision_logic.handle(
            now,
            Event::Finished(Finished {
                message,
                endpoint,
                attempt: call.attempt,
                outcome: result.outcome,
                latency: result.latency,
                complete: result.is_final,
                limit_report: result.allowance,
            }),
        );
        if self.directory.is_gone(endpoint) {
            self.remove_gone_endpoints();
        }
    }

    /// Whether a message is pending and has no verdict.
    fn is_undecided(&self, message: MessageId) -> bool {
        self.journal.state().pending.get(&message.0).is_some_and(|pending| pending.verdict.is_none())
    }

    /// The counters of a message's class.
    fn class_counts(&mut self, message: MessageId) -> &mut ClassCounts {
        let pending = self.journal.state().pending.get(&message.0);
        let class = pending.and_then(|pending| self.class_id(&pending.message.class));
        self.counts.class_mut(class.map(|class| usize::from(class.0)))
    }

    /// Stops holding a message: it was delivered, its notice was acknowledged, or no client waits for it. A message whose call is
    /// in flight is held until the call has ended.
    fn complete(&mut self, now: Time, message: MessageId, completion: Completion) {
        if self.in_flight.contains_key(&message) {
            self.after_call.insert(message, AfterCall::Complete);
            return;
        }
        if let Some(pending) = self.journal.state().pending.get(&message.0) {
            message_trace::completed(&pending.message.id);
            let may_have_run = pending.may_have_run.or(pending.in_flight).is_some();
            let end = match completion {
                Completion::Delivered => Some(MessageEnd::Delivered),
                Completion::Undelivered => may_have_run.then_some(MessageEnd::MayHaveRun),
            };
            if let Some(end) = end {
                self.ended_messages.record(now, self.longest_deadline(), &pending.message, end);
            }
            if let Some(held) = self.held_by_id.remove(&pending.message.id) {
                self.client_shares.remove(held.client);
            }
            let written = self.journal.complete(message.0);
            self.log_journal_error(now, written);
        }
    }

    /// Runs the decision logic, carries out its actions and records the outages that changed.
    fn apply_decisions(&mut self, now: Time) {
        let mut actions = std::mem::take(&mut self.actions);
        self.decision_logic.decide(now, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(now, action);
        }
        self.actions = actions;
        self.record_outages(now);
    }

    /// Carries out an action of the decision logic.
    fn apply_action(&mut self, now: Time, action: Action) {
        match action {
            Action::Route { message, endpoint, timeout: try_for, send_by } => {
                self.start_call(now, message, endpoint, try_for, send_by);
            }
            Action::CancelAttempt { message, .. } => {
                // A message has at most one call in flight.
                let call = self.in_flight.get_mut(&message);
                if let Some(call) = call.filter(|call| !call.is_cancel_requested) {
                    call.is_cancel_requested = true;
                    self.effects.push(Effect::StopCall(message, StopReason::Cancelled));
                }
            }
            Action::Return { message, retry_after: after } => {
                self.end_undelivered(now, message, Verdict::Returned { after_ms: after.as_millis() as u64 });
            }
            Action::ReportFailure { message } => {
                self.end_undelivered(now, message, Verdict::Failed);
            }
            Action::SetTimer { after, token } => self.wake_up = Some((now + after, token)),
            Action::CloseIdle { endpoint } => self.effects.push(Effect::CloseIdle(endpoint)),
            Action::Log { text } => info!("{text}"),
            // The watch of the list is always open, and the deployment permits neither probes nor messages between couriers.
            Action::SubscribeListing { .. }
            | Action::RefreshListing
            | Action::Probe { .. }
            | Action::SendNote { .. } => {}
        }
    }

    /// Records the start of an attempt in the journal and starts its call.
    fn start_call(
        &mut self,
        now: Time,
        message: MessageId,
        endpoint: EndpointId,
        try_for: Duration,
        send_by: Option<Time>,
    ) {
        let pending = self.journal.state().pending.get(&message.0);
        let attempt = pending.map_or(0, |pending| pending.attempts as u16);
        let accepted = pending.map(|pending| pending.message.clone());
        let may_have_run =
            pending.is_some_and(|pending| pending.may_have_run.or(pending.in_flight).is_some());
        self.in_flight.insert(message, InFlightCall { endpoint, attempt, is_cancel_requested: false });
        // An attempt whose start the journal cannot record is not made: a restarted process would not know of it.
        let start = (self.clock.to_unix_ms(now), self.directory.zone(endpoint).0);
        let written = self.journal.start_attempt(message.0, start);
        let call_data = accepted.zip(self.directory.address(endpoint)).filter(|_| written.is_ok());
        self.log_journal_error(now, written);
        let Some((accepted, address)) = call_data else {
            self.not_started.push((message, endpoint));
            return;
        };
        self.counts.calls_started += 1;
        #[cfg(feature = "broken")]
        let address = match self.fault_injector.fires(Fault::GoesAstray) {
            true => self.directory.address_of_other_destination(endpoint).unwrap_or(address),
            false => address,
        };
        let AcceptedMessage { id, idempotency_key, body, .. } = accepted;
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

    /// Ends an undelivered message with a verdict. The journal records it before the notice is sent: a client whose message was
    /// returned may enqueue it again, and this courier must not send it after that, not even after a restart.
    fn end_undelivered(&mut self, now: Time, message: MessageId, verdict: Verdict) {
        #[cfg(feature = "broken")]
        let verdict = self.fault_injector.alter_verdict(verdict);
        let was_undecided = self.is_undecided(message);
        let mut verdict = verdict;
        let mut written = self.journal.set_verdict(message.0, verdict);
        if written.is_err() && verdict != Verdict::Failed {
            // A restarted process would not know that the message was returned, and could send it in addition to the one that
            // its client enqueues again. A client does not enqueue a failed message again.
            verdict = Verdict::Failed;
            written = self.journal.set_verdict(message.0, verdict);
        }
        if was_undecided {
            let counts = self.class_counts(message);
            match verdict {
                Verdict::Failed => counts.failed += 1,
                Verdict::Returned { .. } => counts.returned += 1,
            }
        }
        self.log_journal_error(now, written);
        self.send_notice(message, verdict);
    }

    /// Sends the notice for a verdict that was passed to the journal.
    fn send_notice(&mut self, message: MessageId, verdict: Verdict) {
        if let Some(pending) = self.journal.state().pending.get(&message.0) {
            message_trace::notice_pending(&pending.message.id, verdict);
            #[cfg(feature = "broken")]
            if let Some(effects) = self.faulty_notices(message, pending, verdict) {
                return self.effects.extend(effects);
            }
            let notice = Notice { message, id: pending.message.id.clone(), verdict };
            self.effects.push(Effect::SendNotice(notice));
        }
    }

    /// Sends the notice for a verdict that the journal holds; nothing if the message is completed.
    fn resend_notice(&mut self, message: MessageId) {
        let verdict = self.journal.state().pending.get(&message.0).and_then(|pending| pending.verdict);
        if let Some(verdict) = verdict {
            self.send_notice(message, verdict);
        }
    }

    /// The effects that replace a notice under an injected fault; `None` if the notice is to be sent as it is.
    #[cfg(feature = "broken")]
    fn faulty_notices(
        &self,
        message: MessageId,
        pending: &PendingMessage,
        verdict: Verdict,
    ) -> Option<Vec<Effect>> {
        let notice = |verdict| Notice { message, id: pending.message.id.clone(), verdict };
        if self.fault_injector.is_active(Fault::EndsTwice) {
            let other = match verdict {
                Verdict::Failed => Verdict::Returned { after_ms: 100 },
                Verdict::Returned { .. } => Verdict::Failed,
            };
            return Some(vec![Effect::SendNotice(notice(other)), Effect::SendNotice(notice(verdict))]);
        }
        if self.fault_injector.is_active(Fault::KeepsBack) && verdict == Verdict::Failed {
            let due = self.clock.from_unix_ms(pending.message.deadline_ms) - Duration::from_millis(100);
            return Some(vec![Effect::DelayNotice(notice(verdict), due)]);
        }
        (self.fault_injector.is_active(Fault::NeverTells) && verdict == Verdict::Failed).then(Vec::new)
    }

    /// Records outages in the journal: those of the destinations where the decision logic reports a change. All outages are
    /// recorded at the first time, and as long as the journal has failed to write earlier records.
    fn record_outages(&mut self, now: Time) {
        let changed = self.decision_logic.take_changed_outages();
        if !self.outages_synchronized || self.journal.has_unwritten_changes() {
            let outages = self.outages_for_journal(self.decision_logic.outages());
            let is_lost = |outage: &&PersistedOutage| outage.calls_were_lost.is_some();
            let before = self.journal.state().outages().filter(is_lost).count();
            self.log_outage_count(now, before, outages.iter().filter(is_lost).count());
            let written = self.journal.set_outages(&outages);
            self.outages_synchronized = true;
            return self.log_journal_error(now, written);
        }
        let outages =
            self.outages_for_journal(changed.iter().flat_map(|to| self.decision_logic.outages_of(*to)));
        let destinations: Vec<u32> = changed.iter().map(|to| to.0).collect();
        let lost_before = self.journal.state().count_confirmed_outages(&destinations);
        let lost_now = outages.iter().filter(|outage| outage.calls_were_lost.is_some()).count();
        if lost_before != lost_now {
            let before =
                self.journal.state().outages().filter(|outage| outage.calls_were_lost.is_some()).count();
            self.log_outage_count(now, before, before - lost_before + lost_now);
        }
        let written = self.journal.set_outages_of(&destinations, &outages);
        self.log_journal_error(now, written);
        debug_assert!(
            self.journal_has_all_outages(),
            "an outage changed at a destination that the decision logic did not report as changed"
        );
    }

    /// Whether the journal holds the current outages, or could not write them.
    fn journal_has_all_outages(&self) -> bool {
        let outages = self.outages_for_journal(self.decision_logic.outages());
        self.journal.has_unwritten_changes() || self.journal.state().outages_match(&outages)
    }

    /// Converts outages to the journal's format.
    fn outages_for_journal(&self, outages: impl Iterator<Item = OutageRecord>) -> Vec<PersistedOutage> {
        let to_persisted = |outage: OutageRecord| PersistedOutage {
            destination: outage.destination.0,
            uid: outage.endpoint.and_then(|id| self.directory.uid(id)).map(str::to_owned),
            since_ms: self.clock.to_unix_ms(outage.since),
            failure_weight: outage.evidence,
            calls_were_lost: outage.calls_lost,
            slow_start_since_ms: outage.slow_start_since.map(|at| self.clock.to_unix_ms(at)),
            served_per_second: outage.served_rate,
        };
        outages.map(to_persisted).collect()
    }

    /// Logs the number of destinations in an outage if it changed.
    fn log_outage_count(&mut self, now: Time, before: usize, after: usize) {
        if before != after {
            if let Some(more) = self.outage_log.due(now) {
                info!(before, after, more, "the number of destinations in an outage changed");
            }
        }
    }

    /// Logs the error if the journal could not write a record.
    fn log_journal_error(&mut self, now: Time, written: Result<(), JournalError>) {
        if let Err(error) = written {
            if let Some(more) = self.journal_error_log.due(now) {
                error!(%error, more, "the journal cannot be written");
            }
        }
    }

    /// The counters since the process started.
    pub fn counts(&self) -> &MessageCounts {
        &self.counts
    }

    /// The metrics for the console.
    pub fn metrics(&self, now: Time) -> EngineMetrics {
        let classes = self.class_names.iter().zip(&self.counts.classes);
        EngineMetrics {
            classes: classes.map(|(name, counts)| (name.clone(), *counts)).collect(),
            calls_written: self.counts.calls_written,
            messages_pending: self
                .journal
                .state()
                .pending
                .values()
                .filter(|pending| pending.verdict.is_none())
                .count(),
            endpoints_known: self.directory.listed_count(),
            endpoints_excluded: self.decision_logic.excluded_endpoints(now),
        }
    }

    /// Logs the counters and the waiting messages of each destination, if [`crate::DESTINATION_METRICS_TARGET`] is enabled. To
    /// be called once a second.
    pub fn log_destination_metrics(&mut self, now: Time) {
        self.destination_metrics.log(self.decision_logic.destination_statuses(now));
    }

    /// Logs what the counters gained since the last call. `max_delay` is the longest delay of the caller's loop since then.
    pub fn log_activity(&mut self, max_delay: Duration) {
        let (total, logged) = (self.counts.total(), self.logged_counts.total());
        let accepted = self.counts.accepted - self.logged_counts.accepted;
        let rejected = total.rejected - logged.rejected;
        let delivered = total.served - logged.served;
        let failed = total.failed - logged.failed;
        let returned = total.returned - logged.returned;
        let calls = self.counts.calls_started - self.logged_counts.calls_started;
        self.logged_counts = self.counts.clone();
        let (pending_count, in_flight_count) = self.load();
        info!(
            taken = accepted, busy = rejected, delivered, failed, returned, calls, held = pending_count,
            out = in_flight_count, latest = ?max_delay, "load"
        );
        let JournalStats {
            appended_bytes: appended,
            rewritten_bytes: rewritten,
            freed_segments: freed,
            segments,
            used_bytes: used,
            live_bytes: live,
            unwritten_changes: unwritten,
        } = self.journal.stats();
        info!(appended, rewritten, freed, segments, used, live, unwritten, "journal");
    }
}
