//! The loop round the engine: inputs in, effects out, timers. It moves bytes and decides nothing.

use cloverstile::{MessageId, Outcome, Settings, Time};
use gullcart_engine::{
    Answer, Call, Denied, Effect, Ended, Engine, IdleShare, Input, Notice, Reading, Seldom, Stop, Ticket,
    TrialDuties, EPOCH,
};
use gullcart_handover::{Baggage, CarriedCall};
use gullcart_journal::{Folder, JournalError};
use std::collections::{HashMap, VecDeque};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::sync::{oneshot, watch};
use tokio::task::{yield_now, AbortHandle};
use tokio::time::{interval, sleep_until, timeout_at, Instant};
use tracing::{info, warn};

use crate::calls::{self, Pool};
use crate::clients::{Clients, Phase};
use crate::console::Question;
use crate::group::Place;
use crate::upgrade;
use crate::vocabulary::{Inputs, Told};
use crate::wire::{Gone, Progress};

/// Inputs that one turn takes in at most.
const BATCH: usize = 256;
/// How often idle connections are looked through, and what the log says of the load.
const SWEEP: Duration = Duration::from_secs(1);
const REPORT_SWEEPS: u32 = 10;
/// A loop that is later than this is said to be late.
const LATE: Duration = Duration::from_millis(25);
/// Idle connections that are kept, for each call slot: most endpoints have few calls out at a time, so that a
/// courier needs far more connections than slots to keep one ready at each.
pub const IDLE_OF_SLOTS: usize = 4;
/// From its last call on, a courier that ends waits so long at most for its clients to hear their answers and to close: SIGKILL
/// comes half a second after it. It looks for their ends at this pace.
const LAST_WORDS: Duration = Duration::from_millis(250);
const LAST_LOOK: Duration = Duration::from_millis(5);
/// How long a courier that moves waits for its clients' connections to be given up: none of them has anything to wait for but
/// a client that does not read.
const STOPPING: Duration = Duration::from_millis(60);
/// A courier that moved cannot have been on its way for longer.
const LONGEST_MOVE: Duration = Duration::from_secs(10);

/// The process's clock: the module's time, which begins with it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix milliseconds of the beginning.
    pub epoch_ms: u64,
}

impl Clock {
    pub fn new() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), epoch_ms: wall.as_millis() as u64 }
    }

    /// The clock of a courier that stopped at that time of its own, in the process before.
    pub fn resumed(epoch_ms: u64, stopped: Time) -> Self {
        let now = Clock::new();
        let before = stopped - EPOCH;
        // By the wall, which both processes read; but one that jumps must not move this clock back, nor far on.
        let by_wall = Duration::from_millis(now.epoch_ms.saturating_sub(epoch_ms));
        let passed = by_wall.clamp(before, before + LONGEST_MOVE);
        Clock { start: now.start.checked_sub(passed).unwrap_or(now.start), epoch_ms }
    }

    pub fn now(&self) -> Time {
        EPOCH + self.start.elapsed()
    }

    fn instant(&self, at: Time) -> Instant {
        self.start + (at - EPOCH)
    }
}

/// A call that is out.
struct Out {
    stop: Option<oneshot::Sender<Stop>>,
    /// How much of it has gone.
    progress: Rc<Progress>,
    task: AbortHandle,
    began: Instant,
    try_for: Duration,
}

/// Why the loop ended.
pub enum End {
    /// The process is to end.
    Over,
    /// Another process asks for the courier, and has greeted.
    Move(UnixStream),
}

/// A courier that stands still. It still has the lock of its folder.
pub struct Stopped {
    pub engine: Engine<Folder>,
    /// All that is to move, without the listener and the clients.
    pub baggage: Baggage,
    /// The connections of its calls, in the order of the baggage.
    pub calls: Vec<OwnedFd>,
    /// What operators were told last.
    pub reading: Reading,
}

/// Where the other parts are reached.
pub struct Ends {
    /// The courier's place in a group, where it has one.
    pub place: Option<Place>,
    /// What happens to this part, also by its own doing.
    pub inputs: Inputs,
    pub notices: Sender<Notice>,
    pub phase: watch::Sender<Phase>,
}

/// The connections to endpoints that the settings and the descriptors allow.
pub fn pool(settings: &Settings, endpoint_sockets: usize, seed: u64) -> Rc<Pool> {
    Rc::new(Pool::new(
        settings.connect_timeout,
        settings.conn_idle,
        endpoint_sockets,
        // Some are left for calls, so that these need not wait for others to close.
        (IDLE_OF_SLOTS * settings.call_slots)
            .min(endpoint_sockets.saturating_sub(settings.call_slots))
            .max(1),
        IdleShare::new(settings.couriers, seed),
    ))
}

/// Waits until the group has something new; for ever without one.
async fn changed(place: Option<&Place>) {
    match place {
        Some(place) => place.changed().await,
        None => std::future::pending().await,
    }
}

/// The loop.
pub struct Driver {
    engine: Engine<Folder>,
    clock: Clock,
    pool: Rc<Pool>,
    ends: Ends,
    out: HashMap<MessageId, Out>,
    /// Clients that wait for an answer, until the end of the turn.
    waiting: HashMap<Ticket, oneshot::Sender<Answer>>,
    /// Operators that wait for theirs; no more than the console has callers.
    ordering: HashMap<Ticket, oneshot::Sender<Result<(), Denied>>>,
    tickets: u64,
    /// Notices for which there is no place yet among those being told: as many as there are messages held.
    untold: VecDeque<Notice>,
    latest: Duration,
    late: Seldom,
    denied: Seldom,
    duties: TrialDuties,
}

impl Driver {
    pub fn new(
        engine: Engine<Folder>,
        clock: Clock,
        pool: Rc<Pool>,
        ends: Ends,
        duties: TrialDuties,
    ) -> Self {
        Driver {
            engine,
            clock,
            pool,
            ends,
            out: HashMap::new(),
            waiting: HashMap::new(),
            ordering: HashMap::new(),
            tickets: 0,
            untold: VecDeque::new(),
            latest: Duration::ZERO,
            late: Seldom::default(),
            denied: Seldom::default(),
            duties,
        }
    }

    /// Runs until the process is to end.
    pub async fn run(
        &mut self,
        events: &mut Receiver<Told>,
        questions: &mut Receiver<Question>,
        clients: &Clients,
    ) -> Result<End, JournalError> {
        let mut sweep = interval(SWEEP);
        let mut sweeps = 0;
        let mut batch = Vec::with_capacity(BATCH);
        self.turn()?;
        loop {
            let wake = self.engine.next_wake().map(|at| self.clock.instant(at));
            let never = Instant::now() + SWEEP;
            tokio::select! {
                biased;
                // An operator's answer is owed whatever else waits.
                Some(question) = questions.recv() => {
                    if let Some(stream) = self.asked(question) {
                        return Ok(End::Move(stream));
                    }
                }
                _ = events.recv_many(&mut batch, BATCH) => {}
                () = changed(self.ends.place.as_ref()) => {}
                () = sleep_until(wake.unwrap_or(never)), if wake.is_some() => {}
                _ = sweep.tick() => {
                    self.pool.sweep();
                    self.engine.tell_tally(self.clock.now());
                    sweeps += 1;
                    if sweeps % REPORT_SWEEPS == 0 {
                        self.engine.report(std::mem::take(&mut self.latest));
                    }
                }
            }
            let begun = Instant::now();
            for told in batch.drain(..) {
                self.take_in(told);
            }
            if let Some(at) = wake.filter(|at| *at <= begun && *at > self.clock.start) {
                self.lateness(begun - at, "a timer was late");
            }
            self.turn()?;
            self.lateness(begun.elapsed(), "a step took long");
            if self.engine.may_end(self.clock.now()) {
                return self.finish(events, clients).await.map(|()| End::Over);
            }
        }
    }

    /// Goes on with calls that the process before had out.
    pub fn go_on(&mut self, calls: Vec<(Call, calls::CarriedCall)>) {
        for (call, carried) in calls {
            self.begin(call, Some(carried));
        }
    }

    /// Stops between two turns, for another process: what was read is answered, clients' connections are given up, and calls
    /// of which nothing has gone have not been made.
    pub async fn stop(
        mut self,
        events: &mut Receiver<Told>,
        clients: &Clients,
    ) -> Result<Stopped, JournalError> {
        self.ends.phase.send_replace(Phase::Moving);
        let until = Instant::now() + STOPPING;
        loop {
            while let Ok(told) = events.try_recv() {
                self.take_in(told);
            }
            self.turn()?;
            yield_now().await;
            if (clients.in_use() == 0 && events.is_empty()) || Instant::now() >= until {
                break;
            }
        }
        while let Ok(told) = events.try_recv() {
            self.take_in(told);
        }
        let now = self.clock.now();
        let mut baggage = Baggage { epoch_ms: self.clock.epoch_ms, stopped_ns: now.0, ..Baggage::default() };
        let mut calls = Vec::new();
        for (message, out) in std::mem::take(&mut self.out) {
            out.task.abort();
            if out.progress.is_untold() {
                self.engine.handle(now, Input::Written(message));
            }
            let elapsed = out.began.elapsed();
            let outcome = match (out.progress.gone(), out.stop.is_some()) {
                (Gone::Nothing, _) => Outcome::Moot,
                // The courier has called it off already.
                (_, false) => Outcome::Cancelled,
                (Gone::Part, true) => Outcome::Reset,
                (Gone::All, true) => match out.progress.carry() {
                    Some(carried) => {
                        calls.push(carried.connection);
                        baggage.calls.push(CarriedCall {
                            message: message.0,
                            try_for_us: out.try_for.as_micros() as u64,
                            elapsed_us: elapsed.as_micros() as u64,
                            answer: carried.answer,
                            earlier_answers: carried.earlier_answers,
                        });
                        continue;
                    }
                    None => Outcome::Reset,
                },
            };
            let out = self.engine.calls_out().find(|(other, _)| *other == message);
            if let Some((_, endpoint)) = out {
                let ended = Ended { outcome, latency: elapsed, complete: false, allowance: None };
                self.engine.handle(now, Input::Ended(message, endpoint, ended));
            }
        }
        // What is counted here stays here; what is in flight moves.
        let reading = Reading { in_flight: 0, ..self.engine.reading(now) };
        let (effects, books) = self.engine.freeze(now)?;
        for effect in effects {
            self.act(effect);
        }
        baggage.books = books.unwrap_or_default();
        Ok(Stopped { engine: self.engine, baggage, calls, reading })
    }

    /// Answers the requests that have come, and waits for no more: ending a connection before would lose their messages.
    /// The next process finds them in the journal. Then the connections are shut, and their clients have some time to hear
    /// that and to close: an end over what they still send would reset what they were answered.
    async fn finish(&mut self, events: &mut Receiver<Told>, clients: &Clients) -> Result<(), JournalError> {
        let begun = Instant::now();
        self.engine.call_no_more(self.clock.now());
        self.ends.phase.send_replace(Phase::Over);
        loop {
            while let Ok(told) = events.try_recv() {
                self.take_in(told);
            }
            self.turn()?;
            // The tasks of the connections write what they were given.
            yield_now().await;
            // Connections that wait to be accepted are seen in one look, and their requests in the next.
            let is_quiet = begun.elapsed() > 3 * LAST_LOOK && clients.open() == 0 && events.is_empty();
            if is_quiet || begun.elapsed() >= LAST_WORDS {
                break;
            }
            let mut batch = Vec::new();
            if let Ok(1..) = timeout_at(Instant::now() + LAST_LOOK, events.recv_many(&mut batch, BATCH)).await
            {
                batch.into_iter().for_each(|told| self.take_in(told));
            }
        }
        let (held, out) = self.engine.load();
        info!(held, out, "the courier ends");
        Ok(())
    }

    fn lateness(&mut self, late: Duration, what: &str) {
        self.latest = self.latest.max(late);
        if late > LATE {
            if let Some(more) = self.late.due(self.clock.now()) {
                warn!(?late, more, "{what}");
            }
        }
    }

    /// Answers a question; the process that asks for the courier, if it may have it.
    fn asked(&mut self, question: Question) -> Option<UnixStream> {
        match question {
            Question::Figures(reply) => {
                // Who does not wait any more has given up.
                let _ = reply.send(self.engine.reading(self.clock.now()));
            }
            Question::Order(order, reply) => {
                self.tickets += 1;
                self.ordering.insert(Ticket(self.tickets), reply);
                self.engine.handle(self.clock.now(), Input::Order(Ticket(self.tickets), order));
            }
            Question::Move(mut stream) => {
                if self.engine.is_ending() {
                    // It asks again until this process has ended.
                    if let Some(more) = self.denied.due(self.clock.now()) {
                        info!(more, "another process asks for the courier, which ends; it can start when this one has ended");
                    }
                } else if upgrade::is_greeted(&mut stream) {
                    return Some(stream);
                }
            }
        }
        None
    }

    fn take_in(&mut self, told: Told) {
        let input = match told {
            // Whoever does not wait any more hands it in elsewhere.
            Told::HandIn(_, reply) if reply.is_closed() => return,
            Told::HandIn(enqueue, reply) => {
                self.tickets += 1;
                self.waiting.insert(Ticket(self.tickets), reply);
                Input::Enqueue(Ticket(self.tickets), enqueue)
            }
            Told::Input(input) => input,
        };
        if let Input::Ended(message, ..) = &input {
            self.out.remove(message);
        }
        self.engine.handle(self.clock.now(), input);
    }

    /// Ends a turn and does what it brought about. No other task runs meanwhile, so that nothing leaves the process
    /// before the journal has what it promises.
    fn turn(&mut self) -> Result<(), JournalError> {
        if let Some(place) = &self.ends.place {
            // Right before what it decides, and its calls leave within the same turn.
            let now = self.clock.now();
            let view = |to| place.view(now, to);
            let wishes = self.engine.look_at_duties(now, &mut self.duties, place.asked(), view);
            wishes.into_iter().for_each(|wish| place.wish(wish));
        }
        for effect in self.engine.turn(self.clock.now())? {
            self.act(effect);
        }
        while let Ok(place) = self.ends.notices.try_reserve() {
            let Some(notice) = self.untold.pop_front() else { break };
            place.send(notice);
        }
        Ok(())
    }

    fn act(&mut self, effect: Effect) {
        match effect {
            Effect::Answer(ticket, answer) => {
                let reply = self.waiting.remove(&ticket);
                if let Some(Err(Answer::Taken(message))) = reply.map(|reply| reply.send(answer)) {
                    // Heard in the next turn.
                    let inputs = self.ends.inputs.clone();
                    tokio::task::spawn_local(async move { inputs.tell(Input::Unheard(message)).await });
                }
            }
            Effect::Ordered(ticket, done) => {
                if let Some(reply) = self.ordering.remove(&ticket) {
                    let _ = reply.send(done);
                }
            }
            Effect::Begin(call) => self.begin(call, None),
            Effect::Stop(message, reason) => {
                let Some(out) = self.out.get_mut(&message) else { return };
                if reason == Stop::Withdrawn && out.progress.is_begun() {
                    return;
                }
                if let Some(stop) = out.stop.take() {
                    let _ = stop.send(reason);
                }
            }
            Effect::Tell(notice) => self.untold.push_back(notice),
            Effect::CloseIdle(endpoint) => self.pool.close(endpoint),
            Effect::CloseShut => self.pool.keep_only(|endpoint| self.engine.is_open(endpoint)),
            Effect::Closing => drop(self.ends.phase.send_replace(Phase::Closing)),
            #[cfg(feature = "broken")]
            Effect::HearLater(update, after) => {
                let inputs = self.ends.inputs.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(after).await;
                    inputs.tell(Input::HeardAtLast(update)).await;
                });
            }
            #[cfg(feature = "broken")]
            Effect::TellLater(notice, at) => {
                let (notices, at) = (self.ends.notices.clone(), self.clock.instant(at));
                tokio::task::spawn_local(async move {
                    sleep_until(at).await;
                    let _ = notices.send(notice).await;
                });
            }
            #[cfg(feature = "broken")]
            Effect::BeginUnknown(call) => {
                let pool = self.pool.clone();
                tokio::task::spawn_local(async move {
                    let (_never, stopped) = oneshot::channel();
                    pool.call(call, None, stopped, Rc::default(), None).await;
                });
            }
        }
    }

    fn begin(&mut self, call: Call, carried: Option<calls::CarriedCall>) {
        let (stop, stopped) = oneshot::channel();
        let progress = Rc::new(match &carried {
            Some(_) => Progress::carried_over(),
            None => Progress::default(),
        });
        let elapsed = carried.as_ref().map_or(Duration::ZERO, |carried| carried.elapsed);
        let began = Instant::now().checked_sub(elapsed).unwrap_or_else(Instant::now);
        let (message, endpoint, try_for) = (call.message, call.endpoint, call.try_for);
        let send_by = call.send_by.map(|at| self.clock.instant(at));
        let (pool, inputs, told) = (self.pool.clone(), self.ends.inputs.clone(), progress.clone());
        let task = tokio::task::spawn_local(async move {
            let call = pin!(pool.call(call, send_by, stopped, told.clone(), carried));
            let written = async {
                told.written().await;
                inputs.tell(Input::Written(message)).await;
                std::future::pending().await
            };
            // First the call: what its task waits for must not wait for the loop.
            let ended = tokio::select! {
                biased;
                ended = call => ended,
                () = written => return,
            };
            if told.is_untold() {
                inputs.tell(Input::Written(message)).await;
            }
            inputs.tell(Input::Ended(message, endpoint, ended)).await;
        });
        let task = task.abort_handle();
        self.out.insert(message, Out { stop: Some(stop), progress, task, began, try_for });
    }
}
