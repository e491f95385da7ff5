//! The courier between its sockets, its journal and its decisions: what is known, out and owed. Inputs come with the time,
//! effects are handed out once a turn is over and all that they promise is in the journal. No socket, no clock: the loop
//! round it moves bytes.

use cloverstile::*;
use gullcart_journal::{Journal, JournalError, JournalStats, PendingMessage, PersistedOutage, Store};
use gullcart_message::{AcceptedMessage, ListingUpdate, Verdict};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tracing::{error, info, warn};

#[cfg(feature = "broken")]
use crate::broken::{Broken, Fault, DEAF_FOR};
use crate::carried::{self, Carried, CarriedError, CarriedOut as Out, Label, FORMAT};
use crate::clock::Clock;
use crate::directory::Directory;
use crate::figures::{Counts, Ends, Reading};
use crate::seldom::Seldom;
use crate::tally::Tally;
use crate::trail;
use crate::trials::{DutyView, TrialDuties, TrialWish};
use crate::vocabulary::{
    Answer, Call, Denied, Effect as Doing, Ended, Enqueue, Input, Notice, Order, Stop, Ticket,
};

/// From SIGTERM until the process ends at the latest: SIGKILL comes after 3.7 s.
const CLOSING: Duration = Duration::from_millis(3200);
/// From SIGTERM until it ends at the earliest: new connections go on coming for 0.4 s.
const CLOSING_LEAST: Duration = Duration::from_millis(600);

/// How long a courier may be held up between reading its clock and writing.
const HELD_UP: Duration = Duration::from_millis(150);

/// A message that is held.
struct Known {
    number: u32,
    /// A hand-in after the first one was told that it is held: the first can withdraw it no more.
    shared: bool,
}

/// An attempt that was not made.
const NOT_MADE: Ended =
    Ended { outcome: Outcome::NotSent, latency: Duration::ZERO, complete: false, allowance: None };

/// How an engine is begun.
pub struct Start {
    /// The settings.
    pub parsed: ParsedSettings,
    /// For random numbers.
    pub seed: u64,
    /// The list as the configuration has it; it may be old.
    pub known: ListingUpdate,
    /// The module's time now.
    pub now: Time,
    /// Unix milliseconds of [`crate::EPOCH`].
    pub epoch_ms: u64,
    /// Sum over the settings: who carries books over must have the same.
    pub fingerprint: u32,
    /// What is broken.
    #[cfg(feature = "broken")]
    pub broken: Broken,
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
    most_held: usize,
    /// The messages held, by their ids.
    known: HashMap<String, Known>,
    /// In order, so that the same happens wherever it is played.
    out: BTreeMap<MessageId, Out>,
    /// Attempts that could not be made, of which the module hears in the next turn.
    not_made: Vec<(MessageId, EndpointId)>,
    effects: Vec<Doing>,
    ends: Option<(Time, Time)>,
    wake: Option<(Time, u64)>,
    actions: Vec<Action>,
    counts: Counts,
    /// What of it the log has told.
    logged: Counts,
    tally: Tally,
    journal_errors: Seldom,
    outage_lines: Seldom,
    /// What is remembered of outages was compared with the journal as a whole once.
    has_noted_outages: bool,
    wait_lines: Seldom,
    #[cfg(feature = "broken")]
    broken: Broken,
}

impl<S: Store> Engine<S> {
    /// A courier that has taken up again all that the journal holds.
    pub fn new(start: Start, journal: Journal<S>) -> Self {
        let (now, known) = (start.now, start.known.clone());
        let mut engine = Engine::empty(start, journal);
        engine.restore(now, known);
        engine
    }

    /// The courier of the process before, as it stopped ([`Engine::freeze`]), with the journal that this one left. Its calls
    /// out are still out here. Where the block cannot be taken up, the courier starts from the journal alone, and nothing
    /// is out; the reason is told.
    pub fn resume(start: Start, journal: Journal<S>, block: &[u8]) -> (Self, Result<(), CarriedError>) {
        let (now, known, seed) = (start.now, start.known.clone(), start.seed);
        let mut engine = Engine::empty(start, journal);
        let carried = carried::read(block, engine.fingerprint);
        let same = |carried: &Carried| {
            let held = &engine.journal.state().pending;
            held.iter()
                .all(|(number, held)| held.verdict.is_some() || carried.courier.holds(MessageId(*number)))
                && carried.out.keys().all(|message| held.contains_key(&message.0))
        };
        let done = match carried {
            Ok(carried) if same(&carried) => {
                engine.take_up(now, seed, carried);
                Ok(())
            }
            other => {
                engine.restore(now, known);
                Err(other.err().unwrap_or(CarriedError::Journal))
            }
        };
        (engine, done)
    }

    fn take_up(&mut self, now: Time, seed: u64, carried: Carried) {
        let Carried { courier, directory, out, shared, wake } = carried;
        self.courier = courier.resumed(self.settings.clone(), seed);
        (self.directory, self.out, self.wake) = (directory.resumed(), out, wake);
        for (number, held) in &self.journal.state().pending {
            let known = Known { number: *number, shared: shared.contains(&MessageId(*number)) };
            self.known.insert(held.message.id.clone(), known);
            self.counts.found += u64::from(held.verdict.is_none());
            // The platform may not have answered yet; a notice that comes twice does no harm.
            if let Some(verdict) = held.verdict {
                let (message, id) = (MessageId(*number), held.message.id.clone());
                self.effects.push(Doing::Tell(Notice { message, id, verdict }));
            }
        }
        self.suspend_listed(now);
        let (held, out) = self.load();
        info!(held, out, rev = self.rev(), "the courier goes on in this process");
    }

    /// Stops between two turns: what happened so far is in the journal, and what it brought about is handed out, but no
    /// call is begun any more. The block is the courier for [`Engine::resume`], in another process or in this one; none
    /// where it cannot be written. Whatever is handled after this is lost with this engine.
    pub fn freeze(&mut self, now: Time) -> Result<(Vec<Doing>, Option<Vec<u8>>), JournalError> {
        for (message, endpoint) in std::mem::take(&mut self.not_made) {
            self.ended(now, message, endpoint, NOT_MADE, false);
        }
        self.note_outages(now);
        self.journal.commit()?;
        let effects = std::mem::take(&mut self.effects);
        let label = Label { format: FORMAT, settings: self.fingerprint };
        let shared = self.known.values().filter(|known| known.shared).map(|known| MessageId(known.number));
        let carried = Carried {
            shared: shared.collect(),
            courier: std::mem::take(&mut self.courier),
            directory: std::mem::take(&mut self.directory),
            out: std::mem::take(&mut self.out),
            wake: self.wake,
        };
        Ok((effects, carried::write(&label, &carried).ok()))
    }

    /// The courier ends soon, by its own doing.
    pub fn is_ending(&self) -> bool {
        self.ends.is_some()
    }

    /// A call that is out, as it was begun; none if it is not.
    pub fn call(&self, message: MessageId, try_for: Duration) -> Option<Call> {
        let out = self.out.get(&message)?;
        let held = self.journal.state().pending.get(&message.0)?;
        let address = self.directory.address(out.endpoint)?;
        let AcceptedMessage { id, idempotency_key, body, .. } = held.message.clone();
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
            may_have_run: held.may_have_run.is_some(),
        })
    }

    /// Calls that are out.
    pub fn calls_out(&self) -> impl Iterator<Item = (MessageId, EndpointId)> + '_ {
        self.out.iter().map(|(message, out)| (*message, out.endpoint))
    }

    fn empty(start: Start, journal: Journal<S>) -> Self {
        let Start { mut parsed, seed, epoch_ms, fingerprint, .. } = start;
        parsed.settings.acknowledged_answers = true;
        parsed.settings.max_pause = HELD_UP;
        let directory = Directory::new(&parsed);
        let settings = parsed.settings;
        let mut engine = Engine {
            class_names: parsed.class_names,
            classes: settings.classes.clone(),
            most_held: settings.max_held,
            settings: settings.clone(),
            fingerprint,
            courier: Courier::new(settings, seed),
            clock: Clock::new(epoch_ms),
            journal,
            directory,
            known: HashMap::new(),
            out: BTreeMap::new(),
            not_made: Vec::new(),
            effects: Vec::new(),
            ends: None,
            wake: None,
            actions: Vec::new(),
            counts: Counts::default(),
            logged: Counts::default(),
            tally: Tally::default(),
            journal_errors: Seldom::default(),
            outage_lines: Seldom::default(),
            has_noted_outages: false,
            wait_lines: Seldom::default(),
            #[cfg(feature = "broken")]
            broken: start.broken,
        };
        engine.counts = Counts::new(engine.classes.len());
        engine.logged = engine.counts.clone();
        engine
    }

    /// The version of the list that the courier has.
    pub fn rev(&self) -> u64 {
        self.journal.state().listing_rev
    }

    /// Messages held, and calls out.
    pub fn load(&self) -> (usize, usize) {
        (self.journal.state().pending.len(), self.out.len())
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
        if !self.not_made.is_empty() {
            return Some(Time::ZERO);
        }
        let ends = self.ends.map(|(_, last)| last);
        self.wake.map(|(at, _)| at).into_iter().chain(ends).min()
    }

    /// Ends a turn: timers that are due, decisions, and what they bring about. Nothing of what happened since the turn
    /// before has left until its effects are taken. An error is final: nobody can know what of the journal will last.
    pub fn turn(&mut self, now: Time) -> Result<Vec<Doing>, JournalError> {
        for (message, endpoint) in std::mem::take(&mut self.not_made) {
            self.ended(now, message, endpoint, NOT_MADE, false);
        }
        if let Some((_, token)) = self.wake.filter(|(at, _)| *at <= now) {
            self.wake = None;
            self.courier.handle(now, Event::TimerExpired(token));
        }
        self.decide(now);
        if let Some(error) = self.journal.take_maintenance_error() {
            self.note(now, Err(error));
        }
        self.journal.commit()?;
        Ok(std::mem::take(&mut self.effects))
    }

    /// Looks at the duties that couriers agree on, before a turn: what is to be asked of the group. `asked` are those that it
    /// has been asked for, `view` is how each stands.
    pub fn look_at_duties(
        &mut self,
        now: Time,
        duties: &mut TrialDuties,
        asked: impl IntoIterator<Item = DestinationId>,
        view: impl Fn(DestinationId) -> Option<DutyView>,
    ) -> Vec<TrialWish> {
        let (events, wishes) = duties.look(now, &self.courier, asked, view);
        events.into_iter().for_each(|event| self.courier.handle(now, event));
        wishes
    }

    /// Whether the process may end now.
    pub fn may_end(&self, now: Time) -> bool {
        let Some((least, last)) = self.ends else { return false };
        let (held, out) = self.load();
        now >= last || (now >= least && held == 0 && out == 0)
    }

    /// The process is about to end: what is taken on from now on is called by the next one.
    pub fn call_no_more(&mut self, now: Time) {
        self.courier.handle(now, Event::ShutdownAt(now));
    }

    fn restore(&mut self, now: Time, known: ListingUpdate) {
        let written = self.journal.add_destinations(known.targets.iter().map(|target| target.pod_group));
        self.note(now, written);
        let image = self.journal.state();
        // What was told before the restart counts as told: the list that comes with the start may be older.
        if image.listing_rev == 0 || image.listing_rev < known.rev {
            let update = ListingUpdate { all: true, ..known };
            let listing = self.directory.apply(&update);
            self.courier.handle(now, Event::Listed(listing));
            let written = self.journal.update_listing(&update);
            self.note(now, written);
        } else {
            let targets = image.targets.values().cloned().collect();
            let listing = self.directory.apply(&ListingUpdate { rev: image.listing_rev, all: true, targets });
            self.courier.handle(now, Event::Listed(listing));
        }
        self.suspend_listed(now);
        let notes: Vec<PersistedOutage> = self.journal.state().outages().cloned().collect();
        for note in notes {
            let endpoint = note.uid.as_ref().and_then(|uid| self.directory.number(uid));
            if note.uid.is_some() && endpoint.is_none() {
                continue;
            }
            let outage = OutageRecord {
                destination: DestinationId(note.destination),
                endpoint,
                since: self.clock.of_wall(note.since_ms),
                evidence: note.failure_weight,
                calls_lost: note.calls_were_lost,
                slow_start_since: note.slow_start_since_ms.map(|ms| self.clock.of_wall(ms)),
                served_rate: note.served_per_second,
            };
            self.courier.handle(now, Event::OutageRestored(outage));
        }
        let held: Vec<(u32, PendingMessage)> =
            self.journal.state().pending.iter().map(|(n, h)| (*n, h.clone())).collect();
        #[cfg(feature = "broken")]
        let held: Vec<(u32, Held)> = match () {
            () if self.broken.is(Fault::ForgetsAtRestart) => Vec::new(),
            () if self.broken.is(Fault::ReordersAtRestart) => held.into_iter().rev().collect(),
            () => held,
        };
        for (number, held) in &held {
            self.counts.found += u64::from(held.verdict.is_none());
            self.restore_message(now, *number, held);
        }
        info!(held = held.len(), rev = self.rev(), "the journal was replayed");
    }

    fn restore_message(&mut self, now: Time, number: u32, held: &PendingMessage) {
        self.known.insert(held.message.id.clone(), Known { number, shared: false });
        let message = MessageId(number);
        let Some(taken) = self.accepted(number, &held.message) else {
            warn!(class = held.message.class, "a message of a class that is not known any more is given up");
            self.owe(now, message, Verdict::Failed);
            return;
        };
        // An attempt without an outcome may have run, also if its process died before the first byte.
        if held.in_flight.is_some() {
            let written = self.journal.finish_attempt(number, true);
            self.note(now, written);
        }
        trail::found(number, held);
        let maybe_ran = held.may_have_run.or(held.in_flight).map(|(ms, zone)| {
            // Sent after now: the wall clock was put back, and how long ago it was cannot be told.
            let sent = Some(self.clock.of_wall(ms)).filter(|sent| *sent <= now).unwrap_or(Time::ZERO);
            (sent, self.directory.lasting_zone(zone))
        });
        let answered = held.verdict.is_some();
        let restored =
            Restored { accepted: taken, attempts: held.attempts, may_have_run: maybe_ran, answered };
        self.courier.handle(now, Event::Restored(restored));
        if let Some(verdict) = held.verdict {
            self.effects.push(Doing::Tell(Notice { message, id: held.message.id.clone(), verdict }));
        }
    }

    fn accepted(&self, number: u32, taken: &AcceptedMessage) -> Option<Accepted> {
        let class = self.class(&taken.class)?;
        Some(Accepted {
            id: MessageId(number),
            class,
            destination: DestinationId(taken.destination),
            key: (taken.order_key != 0).then_some(OrderKey(taken.order_key)),
            deadline: self.clock.of_wall(taken.deadline_ms),
            from_dead_courier: taken.from_failed_courier,
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
                let answer = self.hand_in(now, enqueue);
                let ends = self.counts.of(class.map(|class| usize::from(class.0)));
                match &answer {
                    Answer::Busy(_) => ends.turned_away += 1,
                    Answer::Error(_) => ends.unfit += 1,
                    Answer::Taken(_) | Answer::Held => {}
                }
                self.answer(ticket, answer);
            }
            Input::Unheard(message) => self.unheard(now, message),
            Input::Order(ticket, order) => {
                let done = self.order(now, order);
                self.effects.push(Doing::Ordered(ticket, done));
            }
            Input::Written(message) => {
                self.counts.attempts += u64::from(self.out.contains_key(&message));
            }
            #[cfg(feature = "broken")]
            Input::Listed(update) if self.broken.is(Fault::LateToDrains) && !update.all => {
                // A whole list is not held up.
                self.effects.push(Doing::HearLater(update, DEAF_FOR));
            }
            #[cfg(feature = "broken")]
            Input::HeardAtLast(update) => self.listed(now, update),
            Input::Listed(update) => self.listed(now, update),
            Input::Ended(message, endpoint, ended) => self.ended(now, message, endpoint, ended, true),
            Input::Heard(messages) => {
                for message in messages {
                    if let Some(held) = self.journal.state().pending.get(&message.0) {
                        trail::heard(&held.message.id);
                    }
                    self.over(now, message);
                    self.courier.handle(now, Event::AnswerAcknowledged(message));
                }
            }
            Input::Terminate if self.ends.is_some() => {}
            Input::Terminate => {
                let (held, out) = self.load();
                info!(held, out, "told to end");
                self.ends = Some((now + CLOSING_LEAST, now + CLOSING));
                self.courier.handle(now, Event::ShutdownAt(now + CLOSING));
                self.effects.push(Doing::Closing);
            }
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.effects.push(Doing::Answer(ticket, answer));
    }

    fn hand_in(&mut self, now: Time, enqueue: Enqueue) -> Answer {
        let most = match self.admit(now, &enqueue) {
            Ok(most) => most,
            Err(answer) => {
                trail::not_taken(&enqueue, &answer, self.journal.state().pending.len());
                return answer;
            }
        };
        self.take_on(now, enqueue, most)
    }

    /// Whether a message may be taken on, and then the longest time that its class may have; the answer of one that may not.
    fn admit(&mut self, now: Time, enqueue: &Enqueue) -> Result<Duration, Answer> {
        let Some(class) = self.class(&enqueue.class) else { return Err(Answer::Error("unknown class")) };
        if let Some(known) = self.known.get_mut(&enqueue.id) {
            // Sent once more on a new connection; or by somebody else, to whom the id does not belong.
            let held = self.journal.state().pending.get(&known.number);
            if !held.is_some_and(|held| enqueue.is_same(&held.message)) {
                return Err(Answer::Error("the id is in use for another message"));
            }
            known.shared = true;
            return Err(Answer::Held);
        }
        let destination = DestinationId(enqueue.destination);
        if !self.journal.state().destinations.contains(&enqueue.destination) {
            return Err(Answer::Error("unknown destination"));
        }
        let admitted = self.courier.admits(class);
        let class = &self.classes[usize::from(class.0)];
        if class.effect == Effect::Keyed && enqueue.idempotency_key.is_none() {
            return Err(Answer::Error("k is missing"));
        }
        let most = class.deadline;
        if !admitted || self.journal.state().pending.len() >= self.most_held {
            return Err(Answer::Busy(Some(self.courier.retry_after(now, destination))));
        }
        Ok(most)
    }

    fn take_on(&mut self, now: Time, enqueue: Enqueue, most: Duration) -> Answer {
        let destination = DestinationId(enqueue.destination);
        let taken = AcceptedMessage {
            id: enqueue.id,
            order_key: enqueue.key,
            class: enqueue.class,
            destination: enqueue.destination,
            idempotency_key: enqueue.idempotency_key,
            deadline_ms: self.clock.to_wall(now + enqueue.left.min(most)),
            from_failed_courier: enqueue.again,
            body: enqueue.body,
        };
        let id = taken.id.clone();
        match self.journal.accept(taken) {
            Ok(number) => {
                self.counts.taken += 1;
                self.tally.taken(destination);
                self.known.insert(id, Known { number, shared: false });
                let taken = self.journal.state().pending.get(&number).map(|held| &held.message);
                taken.into_iter().for_each(|taken| trail::taken(number, taken));
                #[cfg(feature = "broken")]
                let taken = taken.filter(|_| !self.broken.is_seldom(Fault::Swallows));
                if let Some(accepted) = taken.and_then(|taken| self.accepted(number, taken)) {
                    self.courier.handle(now, Event::Accept(accepted));
                }
                Answer::Taken(MessageId(number))
            }
            Err(error) => {
                self.note(now, Err(error));
                let answer = Answer::Busy(Some(self.courier.retry_after(now, destination)));
                trail::not_written(&id, &answer);
                answer
            }
        }
    }

    /// A message of which its client never heard that it was taken on: nobody waits for its end, unless another
    /// hand-in of it was answered meanwhile.
    fn unheard(&mut self, now: Time, message: MessageId) {
        let id = self.journal.state().pending.get(&message.0).map(|held| &held.message.id);
        let known = id.and_then(|id| self.known.get(id));
        if let (Some(id), Some(known)) = (id, known) {
            trail::unheard(id, known.shared);
        }
        if known.is_some_and(|known| !known.shared) {
            self.counts.abandoned += u64::from(self.has_no_end(message));
            self.over(now, message);
            self.courier.handle(now, Event::ClientGone(message));
        }
    }

    fn listed(&mut self, now: Time, update: ListingUpdate) {
        #[cfg(feature = "broken")]
        let update = self.broken.listed(update);
        // A watch that begins anew often has nothing new to tell.
        if update.targets.is_empty() && !update.all {
            return;
        }
        let listing = self.directory.apply(&update);
        self.courier.handle(now, Event::Listed(listing));
        self.suspend_listed(now);
        let (rev, changed) = (update.rev, update.targets.len());
        let written = self.journal.update_listing(&update);
        self.note(now, written);
        info!(rev, changed, "the list has changed");
        self.effects.push(Doing::CloseShut);
        self.withdraw(|endpoint, directory| !directory.is_open(endpoint));
        self.forget_gone();
    }

    /// What operators took out stays out, whatever the list says of it.
    fn suspend_listed(&mut self, now: Time) {
        for id in self.directory.suspend(&self.journal.state().suspended_uids) {
            self.courier.handle(now, Event::Suspended(id));
        }
    }

    /// Carries out what an operator wants. It is in the journal before the answer, and nothing has changed without one.
    fn order(&mut self, now: Time, order: Order) -> Result<(), Denied> {
        let (uid, is_out) = match &order {
            Order::Suspend(uid) => (uid, true),
            Order::Restore(uid) => (uid, false),
        };
        if !self.journal.state().was_listed(uid) {
            return Err(Denied::Unknown);
        }
        let is_new = self.journal.state().suspended_uids.contains(uid) != is_out;
        if let Err(error) = self.journal.set_suspended(uid, is_out) {
            self.note(now, Err(error));
            return Err(Denied::Unwritten);
        }
        if is_new {
            info!(uid, is_out, "an operator's word on an endpoint");
        }
        self.suspend_listed(now);
        let id = self.directory.number(uid);
        if is_out {
            self.effects.extend(id.map(Doing::CloseIdle));
            self.withdraw(|endpoint, directory| !directory.is_open(endpoint));
        } else if let Some(id) = id {
            self.courier.handle(now, Event::Reinstated(id));
        }
        Ok(())
    }

    /// Forgets the endpoints that are gone, once none of their calls is out.
    fn forget_gone(&mut self) {
        let out = &self.out;
        self.directory.forget_gone(|endpoint| out.values().any(|out| out.endpoint == endpoint));
    }

    /// Takes back the calls to some endpoints that are still connecting: by the time their connections are up
    /// they would be new work for an endpoint that drains, or calls inside a told wait.
    fn withdraw(&mut self, which: impl Fn(EndpointId, &Directory) -> bool) {
        for (message, out) in &self.out {
            if !out.is_stopped && which(out.endpoint, &self.directory) {
                self.effects.push(Doing::Stop(*message, Stop::Withdrawn));
            }
        }
    }

    /// An attempt is over, of which the journal has the beginning, or not.
    fn ended(&mut self, now: Time, message: MessageId, endpoint: EndpointId, ended: Ended, is_written: bool) {
        #[cfg(feature = "broken")]
        let ended = self.broken.ended(ended);
        let Some(out) = self.out.remove(&message) else { return };
        let never = matches!(
            ended.outcome,
            Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::NotSent | Outcome::AttemptsExhausted
        );
        if let Some(held) = self.journal.state().pending.get(&message.0) {
            trail::ended(&held.message.id, out.attempt, ended.outcome, ended.latency, !never);
        }
        if let Some(destination) = self.directory.destination(endpoint) {
            self.tally.ended(destination, ended.outcome, ended.allowance);
        }
        if let Outcome::Rejected(Some(wait)) = ended.outcome {
            let destination = self.directory.destination(endpoint);
            if let Some(more) = self.wait_lines.due(now) {
                info!(?destination, ?wait, more, "told to wait");
            }
            self.withdraw(|other, directory| directory.destination(other) == destination);
        }
        if ended.complete {
            if self.has_no_end(message) {
                match ended.outcome {
                    Outcome::Ok => self.ends_of(message).served += 1,
                    _ => self.counts.abandoned += 1,
                }
            }
            if ended.outcome == Outcome::Ok && !self.courier.is_certainly_in_time(now, message) {
                let written = self.journal.set_verdict(message.0, Verdict::Failed);
                self.note(now, written);
                self.tell(message, Verdict::Failed);
            } else {
                self.over(now, message);
            }
        } else if is_written {
            // One that is not written has no outcome there either: it would be taken for that of the attempt before, which may
            // have run, where its own could not be written.
            let written = self.journal.finish_attempt(message.0, !never);
            self.note(now, written);
        }
        self.courier.handle(
            now,
            Event::Finished(Finished {
                message,
                endpoint,
                attempt: out.attempt,
                outcome: ended.outcome,
                latency: ended.latency,
                complete: ended.complete,
                limit_report: ended.allowance,
            }),
        );
        if self.directory.is_gone(endpoint) {
            self.forget_gone();
        }
    }

    /// A message is held, and its end is not decided.
    fn has_no_end(&self, message: MessageId) -> bool {
        self.journal.state().pending.get(&message.0).is_some_and(|held| held.verdict.is_none())
    }

    fn ends_of(&mut self, message: MessageId) -> &mut Ends {
        let held = self.journal.state().pending.get(&message.0);
        let class = held.and_then(|held| self.class(&held.message.class));
        self.counts.of(class.map(|class| usize::from(class.0)))
    }

    /// Nothing more is owed for a message.
    fn over(&mut self, now: Time, message: MessageId) {
        if let Some(held) = self.journal.state().pending.get(&message.0) {
            trail::over(&held.message.id);
            self.known.remove(&held.message.id);
            let written = self.journal.complete(message.0);
            self.note(now, written);
        }
    }

    fn decide(&mut self, now: Time) {
        let mut actions = std::mem::take(&mut self.actions);
        self.courier.decide(now, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
        self.note_outages(now);
    }

    fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::Route { message, endpoint, timeout: try_for, send_by } => {
                self.route(now, message, endpoint, try_for, send_by);
            }
            Action::CancelAttempt { message, .. } => {
                // A message has one attempt out at most.
                if let Some(out) = self.out.get_mut(&message).filter(|out| !out.is_stopped) {
                    out.is_stopped = true;
                    self.effects.push(Doing::Stop(message, Stop::CalledOff));
                }
            }
            Action::Return { message, retry_after: after } => {
                self.owe(now, message, Verdict::Returned { after_ms: after.as_millis() as u64 });
            }
            Action::ReportFailure { message } => {
                self.owe(now, message, Verdict::Failed);
            }
            Action::SetTimer { after, token } => self.wake = Some((now + after, token)),
            Action::CloseIdle { endpoint } => self.effects.push(Doing::CloseIdle(endpoint)),
            Action::Log { text } => info!("{text}"),
            // The watch is always on, and the deployment permits neither probes nor notes.
            Action::SubscribeListing { .. }
            | Action::RefreshListing
            | Action::Probe { .. }
            | Action::SendNote { .. } => {}
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
        let held = self.journal.state().pending.get(&message.0);
        let attempt = held.map_or(0, |held| held.attempts as u16);
        let taken = held.map(|held| held.message.clone());
        let may_have_run = held.is_some_and(|held| held.may_have_run.or(held.in_flight).is_some());
        self.out.insert(message, Out { endpoint, attempt, is_stopped: false });
        // An attempt that the next process would not know of is not made.
        let start = (self.clock.to_wall(now), self.directory.zone(endpoint).0);
        let written = self.journal.start_attempt(message.0, start);
        let known = taken.zip(self.directory.address(endpoint)).filter(|_| written.is_ok());
        self.note(now, written);
        let Some((taken, address)) = known else {
            self.not_made.push((message, endpoint));
            return;
        };
        self.counts.calls += 1;
        #[cfg(feature = "broken")]
        let address = match self.broken.is_seldom(Fault::GoesAstray) {
            true => self.directory.elsewhere(endpoint).unwrap_or(address),
            false => address,
        };
        let AcceptedMessage { id, idempotency_key, body, .. } = taken;
        #[cfg(feature = "broken")]
        let idempotency_key = idempotency_key.map(|key| match attempt > 0 && self.broken.is(Fault::NewKey) {
            true => format!("{key}{attempt}"),
            false => key,
        });
        #[cfg(feature = "broken")]
        let send_by = send_by.filter(|_| !self.broken.is(Fault::LateRepeats));
        let call =
            Call { message, endpoint, address, id, idempotency_key, body, try_for, send_by, may_have_run };
        trail::begins(&call, attempt);
        #[cfg(feature = "broken")]
        if self.broken.is(Fault::SideBySide) {
            self.effects.push(Doing::BeginUnknown(call.clone()));
        }
        self.effects.push(Doing::Begin(call));
    }

    /// Gives a message its end. It is in the journal before it is told: who was told that a message came back
    /// may hand it in again, and it must not be sent after that.
    fn owe(&mut self, now: Time, message: MessageId, verdict: Verdict) {
        #[cfg(feature = "broken")]
        let verdict = self.broken.verdict(verdict);
        let is_new = self.has_no_end(message);
        let (mut verdict, mut written) = (verdict, self.journal.set_verdict(message.0, verdict));
        if written.is_err() && verdict != Verdict::Failed {
            // The next process would not know that it was handed back, and might send it beside what its client hands in anew.
            // Who is told of a failure does not come again.
            verdict = Verdict::Failed;
            written = self.journal.set_verdict(message.0, verdict);
        }
        if is_new {
            let ends = self.ends_of(message);
            match verdict {
                Verdict::Failed => ends.failed += 1,
                Verdict::Returned { .. } => ends.handed_back += 1,
            }
        }
        self.note(now, written);
        self.tell(message, verdict);
    }

    /// Tells the end of a message, which is in the journal.
    fn tell(&mut self, message: MessageId, verdict: Verdict) {
        if let Some(held) = self.journal.state().pending.get(&message.0) {
            trail::owed(&held.message.id, verdict);
            #[cfg(feature = "broken")]
            if let Some(instead) = self.tells_badly(message, held, verdict) {
                return self.effects.extend(instead);
            }
            let notice = Notice { message, id: held.message.id.clone(), verdict };
            self.effects.push(Doing::Tell(notice));
        }
    }

    /// What is done in place of telling an end, where that is broken.
    #[cfg(feature = "broken")]
    fn tells_badly(&self, message: MessageId, held: &Held, verdict: Verdict) -> Option<Vec<Doing>> {
        let notice = |verdict| Notice { message, id: held.taken.id.clone(), verdict };
        if self.broken.is(Fault::EndsTwice) {
            let other = match verdict {
                Verdict::Failed => Verdict::Returned { after_ms: 100 },
                Verdict::Returned { .. } => Verdict::Failed,
            };
            return Some(vec![Doing::Tell(notice(other)), Doing::Tell(notice(verdict))]);
        }
        if self.broken.is(Fault::KeepsBack) && verdict == Verdict::Failed {
            let due = self.clock.of_wall(held.taken.deadline_ms) - Duration::from_millis(100);
            return Some(vec![Doing::TellLater(notice(verdict), due)]);
        }
        (self.broken.is(Fault::NeverTells) && verdict == Verdict::Failed).then(Vec::new)
    }

    /// Writes down what is to be remembered of outages, when it has changed. A turn goes over the destinations that may have
    /// changed; all of them are gone over where the journal does not hold what it was told before.
    fn note_outages(&mut self, now: Time) {
        let changed = self.courier.take_changed_outages();
        if !self.has_noted_outages || self.journal.is_behind() {
            let notes = self.outage_notes(self.courier.outages());
            let is_lost = |note: &&PersistedOutage| note.calls_were_lost.is_some();
            let before = self.journal.state().outages().filter(is_lost).count();
            self.tell_outages(now, before, notes.iter().filter(is_lost).count());
            let written = self.journal.set_outages(&notes);
            self.has_noted_outages = true;
            return self.note(now, written);
        }
        let notes = self.outage_notes(changed.iter().flat_map(|to| self.courier.outages_of(*to)));
        let destinations: Vec<u32> = changed.iter().map(|to| to.0).collect();
        let lost_before = self.journal.state().count_confirmed_outages(&destinations);
        let lost_now = notes.iter().filter(|note| note.calls_were_lost.is_some()).count();
        if lost_before != lost_now {
            let before = self.journal.state().outages().filter(|note| note.calls_were_lost.is_some()).count();
            self.tell_outages(now, before, before - lost_before + lost_now);
        }
        let written = self.journal.set_outages_of(&destinations, &notes);
        self.note(now, written);
        debug_assert!(self.holds_all_outages(), "an outage changed at a destination that was not named");
    }

    /// Whether the journal holds what there is to be remembered of outages, unless it could not be written.
    fn holds_all_outages(&self) -> bool {
        let notes = self.outage_notes(self.courier.outages());
        self.journal.is_behind() || self.journal.state().outages_match(&notes)
    }

    /// Outages as the journal keeps them.
    fn outage_notes(&self, outages: impl Iterator<Item = OutageRecord>) -> Vec<PersistedOutage> {
        let note = |outage: OutageRecord| PersistedOutage {
            destination: outage.destination.0,
            uid: outage.endpoint.and_then(|id| self.directory.uid(id)).map(str::to_owned),
            since_ms: self.clock.to_wall(outage.since),
            failure_weight: outage.evidence,
            calls_were_lost: outage.calls_lost,
            slow_start_since_ms: outage.slow_start_since.map(|at| self.clock.to_wall(at)),
            served_per_second: outage.served_rate,
        };
        outages.map(note).collect()
    }

    /// Says in the log how many destinations are held to be out, where that has changed.
    fn tell_outages(&mut self, now: Time, before: usize, after: usize) {
        if before != after {
            if let Some(more) = self.outage_lines.due(now) {
                info!(before, after, more, "destinations held to be out");
            }
        }
    }

    fn note(&mut self, now: Time, written: Result<(), JournalError>) {
        if let Err(error) = written {
            if let Some(more) = self.journal_errors.due(now) {
                error!(%error, more, "the journal cannot be written");
            }
        }
    }

    /// What is counted, since this process began.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// What an operator is told.
    pub fn reading(&self, now: Time) -> Reading {
        let classes = self.class_names.iter().zip(&self.counts.classes);
        Reading {
            classes: classes.map(|(name, ends)| (name.clone(), *ends)).collect(),
            attempts: self.counts.attempts,
            in_flight: self.journal.state().pending.values().filter(|held| held.verdict.is_none()).count(),
            endpoints_known: self.directory.listed(),
            endpoints_excluded: self.courier.excluded_endpoints(now),
        }
    }

    /// Says in the log what each destination was given and what waits for it, where [`crate::TALLY`] is switched on. To be
    /// called once a second.
    pub fn tell_tally(&mut self, now: Time) {
        self.tally.tell(self.courier.destination_statuses(now));
    }

    /// Says in the log what has happened since the last time, and how late the loop was at the most.
    pub fn report(&mut self, latest: Duration) {
        let (sum, before) = (self.counts.sum(), self.logged.sum());
        let taken = self.counts.taken - self.logged.taken;
        let busy = sum.turned_away - before.turned_away;
        let delivered = sum.served - before.served;
        let failed = sum.failed - before.failed;
        let returned = sum.handed_back - before.handed_back;
        let calls = self.counts.calls - self.logged.calls;
        self.logged = self.counts.clone();
        let (held, out) = self.load();
        info!(taken, busy, delivered, failed, returned, calls, held, out, ?latest, "load");
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
