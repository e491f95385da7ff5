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

use crate::calls::{self, ConnectionPool};
use crate::clients::{Clients, Phase};
use crate::console::ControlRequest;
use crate::group::GroupMembership;
use crate::messages::{DriverEvent, EventSender};
use crate::tracked_connection::{WriteProgress, WrittenPart};
use crate::upgrade;

/// EventSender that one run_turn takes in at most.
const MAX_EVENTS_PER_TURN: usize = 256;
/// How often idle connections are looked through, and what the log says of the load.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
const SWEEPS_PER_REPORT: u32 = 10;
/// A loop that is later than this is said to be late.
const LATENESS_WARNING: Duration = Duration::from_millis(25);
/// Idle connections that are kept, for each call slot: most endpoints have few calls out at a time, so that a
/// courier needs far more connections than slots to keep one ready at each.
pub const IDLE_CONNECTIONS_PER_SLOT: usize = 4;
/// From its last call on, a courier that channels waits so long at most for its clients to hear their answers and to close: SIGKILL
/// comes half a second after it. It looks for their channels at this pace.
const MAX_SHUTDOWN_WAIT: Duration = Duration::from_millis(250);
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a courier that moves waits for its clients' connections to be given up: none of them has anything to wait for but
/// a client that does not read.
const MAX_CLIENT_RELEASE_WAIT: Duration = Duration::from_millis(60);
/// A courier that moved cannot have been on its way for longer.
const MAX_HANDOVER_DURATION: Duration = Duration::from_secs(10);

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
    pub fn resumed(epoch_ms: u64, stopped_at: Time) -> Self {
        let now = Clock::new();
        let elapsed_before = stopped_at - EPOCH;
        // By the wall, which both processes read; but one that jumps must not move this clock back, nor far on.
        let wall_elapsed = Duration::from_millis(now.epoch_ms.saturating_sub(epoch_ms));
        let elapsed = wall_elapsed.clamp(elapsed_before, elapsed_before + MAX_HANDOVER_DURATION);
        Clock { start: now.start.checked_sub(elapsed).unwrap_or(now.start), epoch_ms }
    }

    pub fn now(&self) -> Time {
        EPOCH + self.start.elapsed()
    }

    fn instant(&self, at: Time) -> Instant {
        self.start + (at - EPOCH)
    }
}

/// A call that is out.
struct InFlightCall {
    stop: Option<oneshot::Sender<Stop>>,
    /// How much of it has gone.
    progress: Rc<WriteProgress>,
    task: AbortHandle,
    started_at: Instant,
    timeout: Duration,
}

/// Why the loop ended.
pub enum LoopExit {
    /// The process is to end.
    Terminated,
    /// Another process asks for the courier, and has greeted.
    HandOver(UnixStream),
}

/// A courier that stands still. It still has the lock of its folder.
pub struct StoppedCourier {
    pub engine: Engine<Folder>,
    /// All that is to move, without the listener and the clients.
    pub state: Baggage,
    /// The connections of its calls, in the order of the baggage.
    pub call_connections: Vec<OwnedFd>,
    /// What operators were told last.
    pub last_reading: Reading,
}

/// Where the other parts are reached.
pub struct DriverChannels {
    /// The courier's place in a group, where it has one.
    pub group: Option<GroupMembership>,
    /// What happens to this part, also by its own doing.
    pub events: EventSender,
    pub notices: Sender<Notice>,
    pub phase: watch::Sender<Phase>,
}

/// The connections to endpoints that the settings and the descriptors allow.
pub fn connection_pool(settings: &Settings, endpoint_sockets: usize, seed: u64) -> Rc<ConnectionPool> {
    Rc::new(ConnectionPool::new(
        settings.connect_timeout,
        settings.conn_idle,
        endpoint_sockets,
        // Some are left for calls, so that these need not wait for others to close.
        (IDLE_CONNECTIONS_PER_SLOT * settings.call_slots)
            .min(endpoint_sockets.saturating_sub(settings.call_slots))
            .max(1),
        IdleShare::new(settings.couriers, seed),
    ))
}

/// Waits until the group has something new; for ever without one.
async fn group_changed(group: Option<&GroupMembership>) {
    match group {
        Some(group) => group.changed().await,
        None => std::future::pending().await,
    }
}

/// The loop.
pub struct Driver {
    engine: Engine<Folder>,
    clock: Clock,
    pool: Rc<ConnectionPool>,
    channels: DriverChannels,
    in_flight_calls: HashMap<MessageId, InFlightCall>,
    /// Clients that wait for an answer, until the end of the run_turn.
    waiting_clients: HashMap<Ticket, oneshot::Sender<Answer>>,
    /// Operators that wait for theirs; no more than the console has callers.
    waiting_operators: HashMap<Ticket, oneshot::Sender<Result<(), Denied>>>,
    last_ticket: u64,
    /// Notices for which there is no place yet among those being told: as many as there are messages held.
    unsent_notices: VecDeque<Notice>,
    max_lateness: Duration,
    lateness_log: Seldom,
    denied_log: Seldom,
    trial_duties: TrialDuties,
}

impl Driver {
    pub fn new(
        engine: Engine<Folder>,
        clock: Clock,
        pool: Rc<ConnectionPool>,
        channels: DriverChannels,
        trial_duties: TrialDuties,
    ) -> Self {
        Driver {
            engine,
            clock,
            pool,
            channels,
            in_flight_calls: HashMap::new(),
            waiting_clients: HashMap::new(),
            waiting_operators: HashMap::new(),
            last_ticket: 0,
            unsent_notices: VecDeque::new(),
            max_lateness: Duration::ZERO,
            lateness_log: Seldom::default(),
            denied_log: Seldom::default(),
            trial_duties,
        }
    }

    /// Runs until the process is to end.
    pub async fn run(
        &mut self,
        events: &mut Receiver<DriverEvent>,
        questions: &mut Receiver<ControlRequest>,
        clients: &Clients,
    ) -> Result<LoopExit, JournalError> {
        let mut sweep = interval(SWEEP_INTERVAL);
        let mut sweeps = 0;
        let mut batch = Vec::with_capacity(MAX_EVENTS_PER_TURN);
        self.run_turn()?;
        loop {
            let wake = self.engine.next_wake().map(|at| self.clock.instant(at));
            let fallback_wake = Instant::now() + SWEEP_INTERVAL;
            tokio::select! {
                biased;
                // An operator's answer is owed whatever else waits.
                Some(question) = questions.recv() => {
                    if let Some(stream) = self.handle_question(question) {
                        return Ok(LoopExit::HandOver(stream));
                    }
                }
                _ = events.recv_many(&mut batch, MAX_EVENTS_PER_TURN) => {}
                () = group_changed(self.channels.group.as_ref()) => {}
                () = sleep_until(wake.unwrap_or(fallback_wake)), if wake.is_some() => {}
                _ = sweep.tick() => {
                    self.pool.close_expired();
                    self.engine.tell_tally(self.clock.now());
                    sweeps += 1;
                    if sweeps % SWEEPS_PER_REPORT == 0 {
                        self.engine.report(std::mem::take(&mut self.max_lateness));
                    }
                }
            }
            let step_start = Instant::now();
            for event in batch.drain(..) {
                self.handle_event(event);
            }
            if let Some(at) = wake.filter(|at| *at <= step_start && *at > self.clock.start) {
                self.record_lateness(step_start - at, "a timer was late");
            }
            self.run_turn()?;
            self.record_lateness(step_start.elapsed(), "a step took long");
            if self.engine.may_end(self.clock.now()) {
                return self.finish(events, clients).await.map(|()| LoopExit::Terminated);
            }
        }
    }

    /// Goes on with calls that the process before had out.
    pub fn resume_calls(&mut self, calls: Vec<(Call, calls::CarriedCall)>) {
        for (call, carried) in calls {
            self.start_call(call, Some(carried));
        }
    }

    /// Stops between two turns, for another process: what was read is answered, clients' connections are given up, and calls
    /// of which nothing has gone have not been made.
    pub async fn stop(
        mut self,
        events: &mut Receiver<DriverEvent>,
        clients: &Clients,
    ) -> Result<StoppedCourier, JournalError> {
        self.channels.phase.send_replace(Phase::Moving);
        let until = Instant::now() + MAX_CLIENT_RELEASE_WAIT;
        loop {
            while let Ok(event) = events.try_recv() {
                self.handle_event(event);
            }
            self.run_turn()?;
            yield_now().await;
            if (clients.active_count() == 0 && events.is_empty()) || Instant::now() >= until {
                break;
            }
        }
        while let Ok(event) = events.try_recv() {
            self.handle_event(event);
        }
        let now = self.clock.now();
        let mut state = Baggage { epoch_ms: self.clock.epoch_ms, stopped_ns: now.0, ..Baggage::default() };
        let mut call_connections = Vec::new();
        for (message, call) in std::mem::take(&mut self.in_flight_calls) {
            call.task.abort();
            if call.progress.is_unreported() {
                self.engine.handle(now, Input::Written(message));
            }
            let elapsed = call.started_at.elapsed();
            let outcome = match (call.progress.written_part(), call.stop.is_some()) {
                (WrittenPart::Nothing, _) => Outcome::Moot,
                // The courier has called it off already.
                (_, false) => Outcome::Cancelled,
                (WrittenPart::Part, true) => Outcome::Reset,
                (WrittenPart::All, true) => match call.progress.to_handover() {
                    Some(carried) => {
                        call_connections.push(carried.connection);
                        state.calls.push(CarriedCall {
                            message: message.0,
                            try_for_us: call.timeout.as_micros() as u64,
                            elapsed_us: elapsed.as_micros() as u64,
                            answer: carried.response_bytes,
                            earlier_answers: carried.earlier_answers,
                        });
                        continue;
                    }
                    None => Outcome::Reset,
                },
            };
            let in_flight = self.engine.calls_out().find(|(other, _)| *other == message);
            if let Some((_, endpoint)) = in_flight {
                let ended = Ended { outcome, latency: elapsed, complete: false, allowance: None };
                self.engine.handle(now, Input::Ended(message, endpoint, ended));
            }
        }
        // What is counted here stays here; what is in flight moves.
        let last_reading = Reading { in_flight: 0, ..self.engine.reading(now) };
        let (effects, books) = self.engine.freeze(now)?;
        for effect in effects {
            self.apply_effect(effect);
        }
        state.books = books.unwrap_or_default();
        Ok(StoppedCourier { engine: self.engine, state, call_connections, last_reading })
    }

    /// Answers the requests that have come, and waits for no more: ending a connection before would lose their messages.
    /// The next process finds them in the journal. Then the connections are shut, and their clients have some time to hear
    /// that and to close: an end over what they still send would reset what they were answered.
    async fn finish(
        &mut self,
        events: &mut Receiver<DriverEvent>,
        clients: &Clients,
    ) -> Result<(), JournalError> {
        let started_at = Instant::now();
        self.engine.call_no_more(self.clock.now());
        self.channels.phase.send_replace(Phase::Over);
        loop {
            while let Ok(event) = events.try_recv() {
                self.handle_event(event);
            }
            self.run_turn()?;
            // The tasks of the connections write what they were given.
            yield_now().await;
            // Connections that wait to be accepted are seen in one look, and their requests in the next.
            let is_quiet = started_at.elapsed() > 3 * SHUTDOWN_POLL_INTERVAL
                && clients.open_count() == 0
                && events.is_empty();
            if is_quiet || started_at.elapsed() >= MAX_SHUTDOWN_WAIT {
                break;
            }
            let mut batch = Vec::new();
            if let Ok(1..) = timeout_at(
                Instant::now() + SHUTDOWN_POLL_INTERVAL,
                events.recv_many(&mut batch, MAX_EVENTS_PER_TURN),
            )
            .await
            {
                batch.into_iter().for_each(|event| self.handle_event(event));
            }
        }
        let (held, in_flight) = self.engine.load();
        info!(held, out = in_flight, "the courier ends");
        Ok(())
    }

    fn record_lateness(&mut self, lateness: Duration, what: &str) {
        self.max_lateness = self.max_lateness.max(lateness);
        if lateness > LATENESS_WARNING {
            if let Some(more) = self.lateness_log.due(self.clock.now()) {
                warn!(late = ?lateness, more, "{what}");
            }
        }
    }

    /// Answers a question; the process that asks for the courier, if it may have it.
    fn handle_question(&mut self, question: ControlRequest) -> Option<UnixStream> {
        match question {
            ControlRequest::Figures(reply) => {
                // Who does not wait any more has given up.
                let _ = reply.send(self.engine.reading(self.clock.now()));
            }
            ControlRequest::Order(order, reply) => {
                self.last_ticket += 1;
                self.waiting_operators.insert(Ticket(self.last_ticket), reply);
                self.engine.handle(self.clock.now(), Input::Order(Ticket(self.last_ticket), order));
            }
            ControlRequest::HandOver(mut stream) => {
                if self.engine.is_ending() {
                    // It asks again until this process has ended.
                    if let Some(more) = self.denied_log.due(self.clock.now()) {
                        info!(more, "another process asks for the courier, which ends; it can start when this one has ended");
                    }
                } else if upgrade::receive_hello(&mut stream) {
                    return Some(stream);
                }
            }
        }
        None
    }

    fn handle_event(&mut self, event: DriverEvent) {
        let input = match event {
            // Whoever does not wait any more hands it in elsewhere.
            DriverEvent::Enqueue(_, reply) if reply.is_closed() => return,
            DriverEvent::Enqueue(enqueue, reply) => {
                self.last_ticket += 1;
                self.waiting_clients.insert(Ticket(self.last_ticket), reply);
                Input::Enqueue(Ticket(self.last_ticket), enqueue)
            }
            DriverEvent::Input(input) => input,
        };
        if let Input::Ended(message, ..) = &input {
            self.in_flight_calls.remove(message);
        }
        self.engine.handle(self.clock.now(), input);
    }

    /// DriverChannels a run_turn and does what it brought about. No other task runs meanwhile, so that nothing leaves the process
    /// before the journal has what it promises.
    fn run_turn(&mut self) -> Result<(), JournalError> {
        if let Some(group) = &self.channels.group {
            // Right before what it decides, and its calls leave within the same run_turn.
            let now = self.clock.now();
            let view = |destination| group.duty_view(now, destination);
            let requests =
                self.engine.look_at_duties(now, &mut self.trial_duties, group.requested_duties(), view);
            requests.into_iter().for_each(|request| group.request(request));
        }
        for effect in self.engine.turn(self.clock.now())? {
            self.apply_effect(effect);
        }
        while let Ok(permit) = self.channels.notices.try_reserve() {
            let Some(notice) = self.unsent_notices.pop_front() else { break };
            permit.send(notice);
        }
        Ok(())
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Answer(ticket, answer) => {
                let reply = self.waiting_clients.remove(&ticket);
                if let Some(Err(Answer::Taken(message))) = reply.map(|reply| reply.send(answer)) {
                    // Heard in the next run_turn.
                    let events = self.channels.events.clone();
                    tokio::task::spawn_local(async move { events.send(Input::Unheard(message)).await });
                }
            }
            Effect::Ordered(ticket, done) => {
                if let Some(reply) = self.waiting_operators.remove(&ticket) {
                    let _ = reply.send(done);
                }
            }
            Effect::Begin(call) => self.start_call(call, None),
            Effect::Stop(message, reason) => {
                let Some(call) = self.in_flight_calls.get_mut(&message) else { return };
                if reason == Stop::Withdrawn && call.progress.is_started() {
                    return;
                }
                if let Some(stop) = call.stop.take() {
                    let _ = stop.send(reason);
                }
            }
            Effect::Tell(notice) => self.unsent_notices.push_back(notice),
            Effect::CloseIdle(endpoint) => self.pool.close_idle(endpoint),
            Effect::CloseShut => self.pool.retain_endpoints(|endpoint| self.engine.is_open(endpoint)),
            Effect::Closing => drop(self.channels.phase.send_replace(Phase::Closing)),
            #[cfg(feature = "broken")]
            Effect::HearLater(update, after) => {
                let events = self.channels.events.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(after).await;
                    events.send(Input::HeardAtLast(update)).await;
                });
            }
            #[cfg(feature = "broken")]
            Effect::TellLater(notice, at) => {
                let (notices, at) = (self.channels.notices.clone(), self.clock.instant(at));
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

    fn start_call(&mut self, call: Call, carried: Option<calls::CarriedCall>) {
        let (stop, stopped) = oneshot::channel();
        let progress = Rc::new(match &carried {
            Some(_) => WriteProgress::handed_over(),
            None => WriteProgress::default(),
        });
        let elapsed = carried.as_ref().map_or(Duration::ZERO, |carried| carried.elapsed);
        let started_at = Instant::now().checked_sub(elapsed).unwrap_or_else(Instant::now);
        let (message, endpoint, timeout) = (call.message, call.endpoint, call.try_for);
        let send_by = call.send_by.map(|at| self.clock.instant(at));
        let (pool, events, task_progress) =
            (self.pool.clone(), self.channels.events.clone(), progress.clone());
        let task = tokio::task::spawn_local(async move {
            let call = pin!(pool.call(call, send_by, stopped, task_progress.clone(), carried));
            let written = async {
                task_progress.wait_until_written().await;
                events.send(Input::Written(message)).await;
                std::future::pending().await
            };
            // First the call: what its task waits for must not wait for the loop.
            let ended = tokio::select! {
                biased;
                ended = call => ended,
                () = written => return,
            };
            if task_progress.is_unreported() {
                events.send(Input::Written(message)).await;
            }
            events.send(Input::Ended(message, endpoint, ended)).await;
        });
        let task = task.abort_handle();
        self.in_flight_calls
            .insert(message, InFlightCall { stop: Some(stop), progress, task, started_at, timeout });
    }
}
