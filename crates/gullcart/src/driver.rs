//! The one loop that owns the decision module: events in, actions out, timers. It waits for no socket.

use cloverstile::*;
use gullcart_journal::{Figures, Held, Journal, JournalError, OutageNote};
use gullcart_message::{Taken, Update, Verdict};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::time::{interval, sleep_until, Instant};
use tracing::{error, info, warn};

#[cfg(feature = "broken")]
use crate::broken::{Broken, Fault, DEAF_FOR};
use crate::calls::{Call, Pool, Stop};
use crate::discovery::Directory;
use crate::seldom::Seldom;
use crate::vocabulary::{Answer, Ended, Enqueue, Input, Notice};

/// Events that one decision takes in at most.
const BATCH: usize = 256;
/// The module's clock at the start; times before the start are told to it after a restart.
const EPOCH: Time = Time(1_000_000_000_000_000);
/// How often idle connections are looked through, and what the log says of the load.
const SWEEP: Duration = Duration::from_secs(1);
const REPORT_SWEEPS: u32 = 10;
/// A loop that is later than this is said to be late.
const LATE: Duration = Duration::from_millis(25);
/// From SIGTERM until the process ends at the latest: SIGKILL comes after 3.7 s.
const CLOSING: Duration = Duration::from_millis(3200);
/// From SIGTERM until it ends at the earliest: new connections go on coming for 0.4 s.
const CLOSING_LEAST: Duration = Duration::from_millis(600);

/// Idle connections that are kept, for each call slot: most endpoints have few calls out at a time, so that a
/// courier needs far more connections than slots to keep one ready at each.
pub const IDLE_OF_SLOTS: usize = 4;
/// Rounds in which requests that were read before the end are still answered.
const LAST_ROUNDS: usize = 8;

/// Where the other parts are reached.
pub struct Ends {
    /// What happens to this part, also by its own doing.
    pub inputs: UnboundedSender<Input>,
    pub notices: UnboundedSender<Notice>,
    pub closing: watch::Sender<bool>,
    #[cfg(feature = "broken")]
    pub broken: Broken,
}

/// The module's clock, and wall time for what crosses processes.
struct Clock {
    start: Instant,
    wall_ms: u64,
}

impl Clock {
    fn new() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), wall_ms: wall.as_millis() as u64 }
    }

    fn now(&self) -> Time {
        EPOCH + self.start.elapsed()
    }

    fn instant(&self, at: Time) -> Instant {
        self.start + (at - EPOCH)
    }

    fn to_wall(&self, at: Time) -> u64 {
        if at >= EPOCH {
            self.wall_ms + (at - EPOCH).as_millis() as u64
        } else {
            self.wall_ms.saturating_sub((EPOCH - at).as_millis() as u64)
        }
    }

    fn of_wall(&self, ms: u64) -> Time {
        if ms >= self.wall_ms {
            EPOCH + Duration::from_millis(ms - self.wall_ms)
        } else {
            EPOCH - Duration::from_millis(self.wall_ms - ms)
        }
    }
}

/// A message that is held.
struct Known {
    number: u32,
    /// A hand-in after the first one was told that it is held: the first can withdraw it no more.
    shared: bool,
}

struct Out {
    endpoint: EndpointId,
    stop: Option<oneshot::Sender<Stop>>,
    /// Its first byte has gone.
    sent: Rc<Cell<bool>>,
    attempt: u16,
}

/// An attempt that was not made.
const NOT_MADE: Ended =
    Ended { outcome: Outcome::Moot, latency: Duration::ZERO, complete: false, allowance: None };

/// What the log tells of the load.
#[derive(Default)]
struct Counts {
    taken: u32,
    busy: u32,
    delivered: u32,
    failed: u32,
    returned: u32,
    calls: u32,
    latest: Duration,
}

pub struct Driver {
    courier: Courier,
    clock: Clock,
    journal: Journal,
    directory: Directory,
    pool: Rc<Pool>,
    class_names: Vec<String>,
    classes: Vec<Class>,
    most_held: usize,
    /// The messages held, by their ids.
    known: HashMap<String, Known>,
    out: HashMap<MessageId, Out>,
    inputs: UnboundedSender<Input>,
    notices: UnboundedSender<Notice>,
    closing: watch::Sender<bool>,
    ends: Option<(Instant, Instant)>,
    wake: Option<(Instant, u64)>,
    actions: Vec<Action>,
    counts: Counts,
    journal_errors: Seldom,
    late: Seldom,
    outage_lines: Seldom,
    wait_lines: Seldom,
    #[cfg(feature = "broken")]
    broken: Broken,
}

impl Driver {
    /// A courier that has taken up again all that the journal holds.
    pub fn new(
        mut parsed: Parsed,
        seed: u64,
        known: Update,
        journal: Journal,
        endpoint_sockets: usize,
        ends: Ends,
    ) -> Self {
        let Ends { inputs, notices, closing, .. } = ends;
        parsed.settings.answers_take_time = true;
        let directory = Directory::new(&parsed);
        let settings = parsed.settings;
        let pool = Rc::new(Pool::new(
            settings.connect_timeout,
            settings.conn_idle,
            endpoint_sockets,
            // Some are left for calls, so that these need not wait for others to close.
            (IDLE_OF_SLOTS * settings.call_slots)
                .min(endpoint_sockets.saturating_sub(settings.call_slots))
                .max(1),
        ));
        let mut driver = Driver {
            class_names: parsed.class_names,
            classes: settings.classes.clone(),
            most_held: settings.most_held,
            courier: Courier::new(settings, seed),
            clock: Clock::new(),
            journal,
            directory,
            pool,
            known: HashMap::new(),
            out: HashMap::new(),
            inputs,
            notices,
            closing,
            ends: None,
            wake: None,
            actions: Vec::new(),
            counts: Counts::default(),
            journal_errors: Seldom::default(),
            late: Seldom::default(),
            outage_lines: Seldom::default(),
            wait_lines: Seldom::default(),
            #[cfg(feature = "broken")]
            broken: ends.broken,
        };
        driver.restore(known);
        driver
    }

    /// The version of the list that the courier has.
    pub fn rev(&self) -> u64 {
        self.journal.image().rev
    }

    fn restore(&mut self, known: Update) {
        let now = self.clock.now();
        let written = self.journal.destinations(known.targets.iter().map(|target| target.pod_group));
        self.note(written);
        let image = self.journal.image();
        // What was told before the restart counts as told: the list that comes with the start may be older.
        if image.rev == 0 || image.rev < known.rev {
            let update = Update { all: true, ..known };
            let listing = self.directory.apply(&update);
            self.courier.handle(now, Event::Listed(listing));
            let written = self.journal.targets(&update);
            self.note(written);
        } else {
            let targets = image.targets.values().cloned().collect();
            let listing = self.directory.apply(&Update { rev: image.rev, all: true, targets });
            self.courier.handle(now, Event::Listed(listing));
        }
        let notes: Vec<OutageNote> = self.journal.image().outages().cloned().collect();
        for note in notes {
            let endpoint = note.uid.as_ref().and_then(|uid| self.directory.number(uid));
            if note.uid.is_some() && endpoint.is_none() {
                continue;
            }
            let outage = Outage {
                destination: DestinationId(note.destination),
                endpoint,
                since: self.clock.of_wall(note.since_ms),
                evidence: note.evidence,
                lost: note.lost,
                returned: note.returned_ms.map(|ms| self.clock.of_wall(ms)),
                share: note.share,
            };
            self.courier.handle(now, Event::Recalled(outage));
        }
        let held: Vec<(u32, Held)> = self.journal.image().held.iter().map(|(n, h)| (*n, h.clone())).collect();
        #[cfg(feature = "broken")]
        let held: Vec<(u32, Held)> = match () {
            () if self.broken.is(Fault::ForgetsAtRestart) => Vec::new(),
            () if self.broken.is(Fault::ReordersAtRestart) => held.into_iter().rev().collect(),
            () => held,
        };
        for (number, held) in &held {
            self.restore_message(now, *number, held);
        }
        info!(held = held.len(), rev = self.rev(), "the journal was replayed");
    }

    fn restore_message(&mut self, now: Time, number: u32, held: &Held) {
        self.known.insert(held.taken.id.clone(), Known { number, shared: false });
        let message = MessageId(number);
        let Some(taken) = self.accepted(number, &held.taken) else {
            warn!(class = held.taken.class, "a message of a class that is not known any more is given up");
            self.owe(message, Verdict::Failed);
            return;
        };
        // An attempt without an outcome may have run, also if its process died before the first byte.
        if held.out.is_some() {
            let written = self.journal.outcome(number, true);
            self.note(written);
        }
        let maybe_ran = held.maybe_ran.or(held.out).map(|(ms, zone)| (self.clock.of_wall(ms), ZoneId(zone)));
        let answered = held.verdict.is_some();
        let restored = Restored { taken, attempts: held.attempts, maybe_ran, answered };
        self.courier.handle(now, Event::Restored(restored));
        if let Some(verdict) = held.verdict {
            let _ = self.notices.send(Notice { message, id: held.taken.id.clone(), verdict });
        }
    }

    fn accepted(&self, number: u32, taken: &Taken) -> Option<Accepted> {
        let class = self.class(&taken.class)?;
        Some(Accepted {
            id: MessageId(number),
            class,
            destination: DestinationId(taken.destination),
            key: (taken.key != 0).then_some(OrderKey(taken.key)),
            deadline: self.clock.of_wall(taken.deadline_ms),
            from_dead_courier: taken.again,
            tenant: TenantId(0),
        })
    }

    fn class(&self, name: &str) -> Option<ClassId> {
        self.class_names.iter().position(|known| known == name).map(|at| ClassId(at as u8))
    }

    /// Runs until the process is to end.
    pub async fn run(mut self, mut events: UnboundedReceiver<Input>) -> Result<(), JournalError> {
        let mut sweep = interval(SWEEP);
        let mut sweeps = 0;
        let mut batch = Vec::with_capacity(BATCH);
        self.decide();
        self.commit()?;
        loop {
            let wake = self.wake.map(|(at, _)| at);
            let never = Instant::now() + SWEEP;
            let end = self.ends.map(|(_, last)| last);
            tokio::select! {
                biased;
                _ = events.recv_many(&mut batch, BATCH) => {}
                () = sleep_until(wake.unwrap_or(never)), if wake.is_some() => {}
                () = sleep_until(end.unwrap_or(never)), if end.is_some() => {}
                _ = sweep.tick() => {
                    self.pool.sweep();
                    sweeps += 1;
                    if sweeps % REPORT_SWEEPS == 0 {
                        self.report();
                    }
                }
            }
            let begun = Instant::now();
            for input in batch.drain(..) {
                self.handle(input);
            }
            if let Some((at, token)) = self.wake.filter(|(at, _)| *at <= begun) {
                self.wake = None;
                self.lateness(begun - at, "a timer was late");
                self.courier.handle(self.clock.now(), Event::TickDue(token));
            }
            self.decide();
            self.commit()?;
            self.lateness(begun.elapsed(), "a step took long");
            if self.may_end() {
                return self.finish(&mut events).await;
            }
        }
    }

    /// Answers the requests that have been read but not answered: ending a connection before would lose their
    /// messages. The next process finds them in the journal.
    async fn finish(&mut self, events: &mut UnboundedReceiver<Input>) -> Result<(), JournalError> {
        for _ in 0..LAST_ROUNDS {
            while let Ok(input) = events.try_recv() {
                self.handle(input);
            }
            self.commit()?;
            // The tasks of the connections write what they were given.
            tokio::task::yield_now().await;
        }
        info!(held = self.journal.image().held.len(), out = self.out.len(), "the courier ends");
        Ok(())
    }

    fn lateness(&mut self, late: Duration, what: &str) {
        self.counts.latest = self.counts.latest.max(late);
        if late > LATE {
            if let Some(more) = self.late.due() {
                warn!(?late, more, "{what}");
            }
        }
    }

    fn may_end(&self) -> bool {
        let Some((least, last)) = self.ends else { return false };
        let now = Instant::now();
        let idle = self.out.is_empty() && self.journal.image().held.is_empty();
        now >= last || (now >= least && idle)
    }

    fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Enqueue(enqueue, reply) => {
                let answer = self.enqueue(now, enqueue);
                if let Err(Answer::Taken(message)) = reply.send(answer) {
                    self.unheard(now, message);
                }
            }
            Input::Unheard(message) => self.unheard(now, message),
            #[cfg(feature = "broken")]
            Input::Listed(update) if self.broken.is(Fault::LateToDrains) && !update.all => {
                let inputs = self.inputs.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(DEAF_FOR).await;
                    // Once more around: a whole list is not held up.
                    let _ = inputs.send(Input::HeardAtLast(update));
                });
            }
            #[cfg(feature = "broken")]
            Input::HeardAtLast(update) => self.listed(now, update),
            Input::Listed(update) => self.listed(now, update),
            Input::Ended(message, endpoint, ended) => self.ended(now, message, endpoint, ended),
            Input::Heard(messages) => {
                for message in messages {
                    self.over(message);
                    self.courier.handle(now, Event::Heard(message));
                }
            }
            Input::Terminate if self.ends.is_some() => {}
            Input::Terminate => {
                let begun = Instant::now();
                info!(held = self.journal.image().held.len(), out = self.out.len(), "told to end");
                self.ends = Some((begun + CLOSING_LEAST, begun + CLOSING));
                self.courier.handle(now, Event::Closing(now + CLOSING));
                self.closing.send_replace(true);
            }
        }
    }

    fn enqueue(&mut self, now: Time, enqueue: Enqueue) -> Answer {
        let Some(class) = self.class(&enqueue.class) else { return Answer::Error("unknown class") };
        if let Some(known) = self.known.get_mut(&enqueue.id) {
            // Sent once more on a new connection; or by somebody else, to whom the id does not belong.
            let held = self.journal.image().held.get(&known.number);
            if !held.is_some_and(|held| enqueue.is_same(&held.taken)) {
                return Answer::Error("the id is in use for another message");
            }
            known.shared = true;
            return Answer::Held;
        }
        let destination = DestinationId(enqueue.destination);
        if !self.journal.image().destinations.contains(&enqueue.destination) {
            return Answer::Error("unknown destination");
        }
        let class = &self.classes[usize::from(class.0)];
        if class.effect == Effect::Keyed && enqueue.idempotency_key.is_none() {
            return Answer::Error("k is missing");
        }
        let most = class.deadline;
        if self.journal.image().held.len() >= self.most_held {
            self.counts.busy += 1;
            return Answer::Busy(Some(self.courier.come_back(now, destination)));
        }
        let taken = Taken {
            id: enqueue.id,
            key: enqueue.key,
            class: enqueue.class,
            destination: enqueue.destination,
            idempotency_key: enqueue.idempotency_key,
            deadline_ms: self.clock.to_wall(now + enqueue.left.min(most)),
            again: enqueue.again,
            body: enqueue.body,
        };
        let id = taken.id.clone();
        match self.journal.take(taken) {
            Ok(number) => {
                self.counts.taken += 1;
                self.known.insert(id, Known { number, shared: false });
                let taken = self.journal.image().held.get(&number).map(|held| &held.taken);
                #[cfg(feature = "broken")]
                let taken = taken.filter(|_| !self.broken.is_seldom(Fault::Swallows));
                if let Some(accepted) = taken.and_then(|taken| self.accepted(number, taken)) {
                    self.courier.handle(now, Event::Accept(accepted));
                }
                Answer::Taken(MessageId(number))
            }
            Err(error) => {
                self.note(Err(error));
                self.counts.busy += 1;
                Answer::Busy(Some(self.courier.come_back(now, destination)))
            }
        }
    }

    /// A message of which its client never heard that it was taken on: nobody waits for its end, unless another
    /// hand-in of it was answered meanwhile.
    fn unheard(&mut self, now: Time, message: MessageId) {
        let id = self.journal.image().held.get(&message.0).map(|held| &held.taken.id);
        if id.and_then(|id| self.known.get(id)).is_some_and(|known| !known.shared) {
            self.over(message);
            self.courier.handle(now, Event::ClientGone(message));
        }
    }

    fn listed(&mut self, now: Time, update: Update) {
        #[cfg(feature = "broken")]
        let update = self.broken.listed(update);
        // A watch that begins anew often has nothing new to tell.
        if update.targets.is_empty() && !update.all {
            return;
        }
        let listing = self.directory.apply(&update);
        self.courier.handle(now, Event::Listed(listing));
        let (rev, changed) = (update.rev, update.targets.len());
        let written = self.journal.targets(&update);
        self.note(written);
        info!(rev, changed, "the list has changed");
        self.pool.keep_only(|endpoint| self.directory.is_open(endpoint));
        self.withdraw(|endpoint, directory| !directory.is_open(endpoint));
        self.forget_gone();
    }

    /// Forgets the endpoints that are gone, once none of their calls is out.
    fn forget_gone(&mut self) {
        let out = &self.out;
        self.directory.forget_gone(|endpoint| out.values().any(|out| out.endpoint == endpoint));
    }

    /// Takes back the calls to some endpoints that are still connecting: by the time their connections are up
    /// they would be new work for an endpoint that drains, or calls inside a told wait.
    fn withdraw(&mut self, which: impl Fn(EndpointId, &Directory) -> bool) {
        let unsent = |out: &&mut Out| !out.sent.get() && which(out.endpoint, &self.directory);
        for out in self.out.values_mut().filter(unsent) {
            if let Some(stop) = out.stop.take() {
                let _ = stop.send(Stop::Withdrawn);
            }
        }
    }

    fn ended(&mut self, now: Time, message: MessageId, endpoint: EndpointId, ended: Ended) {
        #[cfg(feature = "broken")]
        let ended = self.broken.ended(ended);
        let Some(out) = self.out.remove(&message) else { return };
        if let Outcome::Full(Some(wait)) = ended.outcome {
            let destination = self.directory.destination(endpoint);
            if let Some(more) = self.wait_lines.due() {
                info!(?destination, ?wait, more, "told to wait");
            }
            self.withdraw(|other, directory| directory.destination(other) == destination);
        }
        if ended.complete {
            self.counts.delivered += u32::from(ended.outcome == Outcome::Ok);
            self.over(message);
        } else {
            let never = matches!(
                ended.outcome,
                Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Moot | Outcome::Spent
            );
            let written = self.journal.outcome(message.0, !never);
            self.note(written);
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
                allowance: ended.allowance,
            }),
        );
        if self.directory.is_gone(endpoint) {
            self.forget_gone();
        }
    }

    /// Nothing more is owed for a message.
    fn over(&mut self, message: MessageId) {
        if let Some(held) = self.journal.image().held.get(&message.0) {
            self.known.remove(&held.taken.id);
            let written = self.journal.over(message.0);
            self.note(written);
        }
    }

    fn decide(&mut self) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.courier.decide(now, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
        self.note_outages();
    }

    fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::Route { message, endpoint, try_for } => self.route(now, message, endpoint, try_for),
            Action::StopAttempt { message, .. } => {
                // A message has one attempt out at most.
                if let Some(stop) = self.out.get_mut(&message).and_then(|out| out.stop.take()) {
                    let _ = stop.send(Stop::CalledOff);
                }
            }
            Action::Busy { message, after } => {
                self.counts.returned += 1;
                self.owe(message, Verdict::Returned { after_ms: after.as_millis() as u64 });
            }
            Action::ReportFailure { message } => {
                self.counts.failed += 1;
                self.owe(message, Verdict::Failed);
            }
            Action::Wake { after, token } => self.wake = Some((self.clock.instant(now + after), token)),
            Action::CloseIdle { endpoint } => self.pool.close(endpoint),
            Action::Log { text } => info!("{text}"),
            // The watch is always on, and the deployment permits neither probes nor notes.
            Action::KeepInformed { .. } | Action::Refresh | Action::Probe { .. } | Action::Tell { .. } => {}
        }
    }

    fn route(&mut self, now: Time, message: MessageId, endpoint: EndpointId, try_for: Duration) {
        let (stop, stopped) = oneshot::channel();
        let sent = Rc::new(Cell::new(false));
        let held = self.journal.image().held.get(&message.0);
        let attempt = held.map_or(0, |held| held.attempts as u16);
        let taken = held.map(|held| held.taken.clone());
        self.out.insert(message, Out { endpoint, stop: Some(stop), sent: sent.clone(), attempt });
        // An attempt that the next process would not know of is not made.
        let start = (self.clock.to_wall(now), self.directory.zone(endpoint).0);
        let written = self.journal.start(message.0, start);
        let known = taken.zip(self.directory.address(endpoint)).filter(|_| written.is_ok());
        self.note(written);
        let Some((taken, address)) = known else {
            let _ = self.inputs.send(Input::Ended(message, endpoint, NOT_MADE));
            return;
        };
        self.counts.calls += 1;
        #[cfg(feature = "broken")]
        let address = match self.broken.is_seldom(Fault::GoesAstray) {
            true => self.directory.elsewhere(endpoint).unwrap_or(address),
            false => address,
        };
        let Taken { id, idempotency_key, body, .. } = taken;
        #[cfg(feature = "broken")]
        let idempotency_key = idempotency_key.map(|key| match attempt > 0 && self.broken.is(Fault::NewKey) {
            true => format!("{key}{attempt}"),
            false => key,
        });
        #[cfg(feature = "broken")]
        if self.broken.is(Fault::SideBySide) {
            let (id, idempotency_key, body) = (id.clone(), idempotency_key.clone(), body.clone());
            let beside = Call { endpoint, address, id, idempotency_key, body, try_for };
            let pool = self.pool.clone();
            tokio::task::spawn_local(async move {
                let (_never, stopped) = oneshot::channel();
                pool.call(beside, stopped, Rc::default()).await;
            });
        }
        let call = Call { endpoint, address, id, idempotency_key, body, try_for };
        let (pool, inputs) = (self.pool.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let ended = pool.call(call, stopped, sent).await;
            let _ = inputs.send(Input::Ended(message, endpoint, ended));
        });
    }

    /// Gives a message its end. It is in the journal before it is told: who was told that a message came back
    /// may hand it in again, and it must not be sent after that.
    fn owe(&mut self, message: MessageId, verdict: Verdict) {
        #[cfg(feature = "broken")]
        let verdict = self.broken.verdict(verdict);
        let written = self.journal.owe(message.0, verdict);
        self.note(written);
        if let Some(held) = self.journal.image().held.get(&message.0) {
            #[cfg(feature = "broken")]
            if self.tells_badly(message, held, verdict) {
                return;
            }
            let _ = self.notices.send(Notice { message, id: held.taken.id.clone(), verdict });
        }
    }

    /// Whether an end is told in a broken way, or not at all.
    #[cfg(feature = "broken")]
    fn tells_badly(&self, message: MessageId, held: &Held, verdict: Verdict) -> bool {
        let (id, notices) = (held.taken.id.clone(), self.notices.clone());
        if self.broken.is(Fault::EndsTwice) {
            let verdict = match verdict {
                Verdict::Failed => Verdict::Returned { after_ms: 100 },
                Verdict::Returned { .. } => Verdict::Failed,
            };
            let _ = notices.send(Notice { message, id, verdict });
            return false;
        }
        if self.broken.is(Fault::KeepsBack) && verdict == Verdict::Failed {
            let due = self.clock.instant(self.clock.of_wall(held.taken.deadline_ms));
            tokio::task::spawn_local(async move {
                sleep_until(due - Duration::from_millis(100)).await;
                let _ = notices.send(Notice { message, id, verdict });
            });
            return true;
        }
        self.broken.is(Fault::NeverTells) && verdict == Verdict::Failed
    }

    /// Writes down what is to be remembered of outages, when it has changed.
    fn note_outages(&mut self) {
        let clock = &self.clock;
        let note = |outage: Outage| OutageNote {
            destination: outage.destination.0,
            uid: outage.endpoint.and_then(|id| self.directory.uid(id)).map(str::to_owned),
            since_ms: clock.to_wall(outage.since),
            evidence: outage.evidence,
            lost: outage.lost,
            returned_ms: outage.returned.map(|at| clock.to_wall(at)),
            share: outage.share,
        };
        let notes: Vec<OutageNote> = self.courier.outages().map(note).collect();
        let before = self.journal.image().outages().filter(|note| note.lost.is_some()).count();
        let after = notes.iter().filter(|note| note.lost.is_some()).count();
        if before != after {
            if let Some(more) = self.outage_lines.due() {
                info!(before, after, more, "destinations held to be out");
            }
        }
        let written = self.journal.outages(&notes);
        self.note(written);
    }

    /// Before anything that a turn has brought about leaves the process: no other task runs until then, so that all
    /// of it is synced at once where it has to be.
    fn commit(&mut self) -> Result<(), JournalError> {
        if let Some(error) = self.journal.trouble() {
            self.note(Err(error));
        }
        self.journal.commit()
    }

    fn note(&mut self, written: Result<(), JournalError>) {
        if let Err(error) = written {
            if let Some(more) = self.journal_errors.due() {
                error!(%error, more, "the journal cannot be written");
            }
        }
    }

    fn report(&mut self) {
        let Counts { taken, busy, delivered, failed, returned, calls, latest } =
            std::mem::take(&mut self.counts);
        let (held, out) = (self.journal.image().held.len(), self.out.len());
        info!(taken, busy, delivered, failed, returned, calls, held, out, ?latest, "load");
        let Figures { appended, rewritten, freed, segments, used, live, unwritten } = self.journal.figures();
        info!(appended, rewritten, freed, segments, used, live, unwritten, "journal");
    }
}
