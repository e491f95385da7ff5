//! The event loop around the engine: it passes events to the engine and carries out the effects that the engine returns.
//! All decisions are the engine's; this module only moves bytes and keeps time.

use cloverstile::{MessageId, Outcome, Settings, Time};
use gullcart_engine::{
    Answer, Call, CallResult, CommandError, Effect, Engine, EngineMetrics, IdleConnectionPolicy, Input,
    Notice, RateLimitedLog, StopReason, Ticket, TrialDuties, PROCESS_START,
};
use gullcart_handover::HandoverState;
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
use crate::tracked_connection::WriteProgress;
use crate::upgrade;

use detached_call::{CallFate, DetachedCall};

/// Maximum number of events handled in one turn of the loop.
const MAX_EVENTS_PER_TURN: usize = 256;
/// How often idle connections are checked and metrics are logged.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The load is logged once in this many sweeps.
const SWEEPS_PER_REPORT: u32 = 10;
/// A timer that is later than this, or a turn of the loop that takes longer, is logged.
const LATENESS_WARNING_THRESHOLD: Duration = Duration::from_millis(25);
/// Idle connections kept for each call slot. Most endpoints have few calls in flight at a time, so keeping one connection ready
/// at each takes far more connections than slots.
pub const IDLE_CONNECTIONS_PER_SLOT: usize = 4;
/// On shutdown, the longest time to wait, after the last call, for clients to read their replies and close: SIGKILL follows
/// half a second after the last call.
const MAX_SHUTDOWN_WAIT: Duration = Duration::from_millis(250);
/// How often a shutdown checks whether all clients have closed.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a hand-over waits for the clients' connections to be released: only a client that does not read its replies takes
/// longer.
const MAX_CLIENT_RELEASE_WAIT: Duration = Duration::from_millis(60);
/// Upper bound on the duration of a hand-over, in case the wall clock jumps.
const MAX_HANDOVER_DURATION: Duration = Duration::from_secs(10);

/// The courier's monotonic clock, which starts at [`PROCESS_START`].
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix time at which the clock started, in milliseconds.
    pub start_unix_ms: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_unix_ms: wall.as_millis() as u64 }
    }

    /// Continues the clock of a courier that was stopped at `stopped_at` in the previous process.
    pub fn resumed(start_unix_ms: u64, stopped_at: Time) -> Self {
        let now = Clock::new();
        let elapsed_before = stopped_at - PROCESS_START;
        // Both processes read the wall clock; the clamp keeps a jump of it from moving this clock back or far ahead.
        let wall_elapsed = Duration::from_millis(now.start_unix_ms.saturating_sub(start_unix_ms));
        let elapsed = wall_elapsed.clamp(elapsed_before, elapsed_before + MAX_HANDOVER_DURATION);
        Clock { start: now.start.checked_sub(elapsed).unwrap_or(now.start), start_unix_ms }
    }

    /// The time on this clock.
    pub fn now(&self) -> Time {
        PROCESS_START + self.start.elapsed()
    }

    fn instant(&self, at: Time) -> Instant {
        self.start + (at - PROCESS_START)
    }
}

/// A call in flight: its end has not been reported yet.
struct InFlightCall {
    /// Stops the call; none once it was asked to stop.
    stop: Option<oneshot::Sender<StopReason>>,
    /// How much of the request has been written.
    progress: Rc<WriteProgress>,
    /// The task that makes the call.
    task: AbortHandle,
    /// When the call started, in the previous process if it was handed over.
    started_at: Instant,
    /// The time that the call may take.
    timeout: Duration,
}

/// Why [`Driver::run`] returned.
pub enum LoopExit {
    /// The courier has shut down.
    Terminated,
    /// Another process asked for the courier and has sent its hello.
    HandOver(UnixStream),
}

/// A courier stopped for a hand-over. It still holds the lock of its folder.
pub struct StoppedCourier {
    /// The engine, which must be dropped to release the lock.
    pub engine: Engine<Folder>,
    /// The state to hand over, without the listener and the clients.
    pub state: HandoverState,
    /// The connections of the calls, in the order in which `state` lists them.
    pub call_connections: Vec<OwnedFd>,
    /// The metrics at the time of the stop.
    pub last_metrics: EngineMetrics,
}

/// The channels by which the driver reaches the other parts of the daemon.
pub struct DriverChannels {
    /// The courier's membership in a group, if it has one.
    pub group: Option<GroupMembership>,
    /// Events for the driver itself.
    pub events: EventSender,
    /// Notices for the task that sends them to discovery's agent.
    pub notices: Sender<Notice>,
    /// The phase that the clients' connections follow.
    pub phase: watch::Sender<Phase>,
}

/// Creates the connection pool with the limits that the settings and the descriptor budget allow.
pub fn connection_pool(settings: &Settings, endpoint_sockets: usize, seed: u64) -> Rc<ConnectionPool> {
    Rc::new(ConnectionPool::new(
        settings.connect_timeout,
        settings.connection_idle_timeout,
        endpoint_sockets,
        // Leaves descriptors for calls, so that these need not wait until an idle connection has closed.
        (IDLE_CONNECTIONS_PER_SLOT * settings.call_slots)
            .min(endpoint_sockets.saturating_sub(settings.call_slots))
            .max(1),
        IdleConnectionPolicy::new(settings.couriers, seed),
    ))
}

/// Waits until something in the group has changed; forever for a courier without a group.
async fn group_changed(group: Option<&GroupMembership>) {
    match group {
        Some(group) => group.changed().await,
        None => std::future::pending().await,
    }
}

/// The event loop and everything it keeps between two turns.
pub struct Driver {
    engine: Engine<Folder>,
    clock: Clock,
    pool: Rc<ConnectionPool>,
    channels: DriverChannels,
    in_flight_calls: HashMap<MessageId, InFlightCall>,
    /// Clients waiting for the reply to an enqueue, which they get at the end of the turn.
    waiting_clients: HashMap<Ticket, oneshot::Sender<Answer>>,
    /// Operators waiting for the result of a command; bounded by the number of console connections.
    waiting_operators: HashMap<Ticket, oneshot::Sender<Result<(), CommandError>>>,
    last_ticket: u64,
    /// Notices for which the sender's queue has no capacity; bounded by the number of messages held.
    unsent_notices: VecDeque<Notice>,
    /// The longest delay of a timer, or duration of a turn, since the last report.
    max_lateness: Duration,
    lateness_log: RateLimitedLog,
    refused_handover_log: RateLimitedLog,
    trial_duties: TrialDuties,
}

impl Driver {
    /// A driver with no call in flight.
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
            lateness_log: RateLimitedLog::default(),
            refused_handover_log: RateLimitedLog::default(),
            trial_duties,
        }
    }

    /// Runs until the courier has shut down or another process asks for it.
    pub async fn run(
        &mut self,
        events: &mut Receiver<DriverEvent>,
        control_requests: &mut Receiver<ControlRequest>,
        clients: &Clients,
    ) -> Result<LoopExit, JournalError> {
        let mut sweep = interval(SWEEP_INTERVAL);
        let mut sweeps = 0;
        let mut batch = Vec::with_capacity(MAX_EVENTS_PER_TURN);
        self.run_turn()?;
        loop {
            let wake = self.engine.next_wake().map(|at| self.clock.instant(at));
            // Only a placeholder: without a wake-up time the branch below is disabled.
            let fallback_wake = Instant::now() + SWEEP_INTERVAL;
            tokio::select! {
                biased;
                // First, as the console promises operators a reply within a second.
                Some(request) = control_requests.recv() => {
                    if let Some(stream) = self.handle_control_request(request) {
                        return Ok(LoopExit::HandOver(stream));
                    }
                }
                _ = events.recv_many(&mut batch, MAX_EVENTS_PER_TURN) => {}
                () = group_changed(self.channels.group.as_ref()) => {}
                () = sleep_until(wake.unwrap_or(fallback_wake)), if wake.is_some() => {}
                _ = sweep.tick() => {
                    self.pool.close_expired();
                    self.engine.log_destination_metrics(self.clock.now());
                    sweeps += 1;
                    if sweeps % SWEEPS_PER_REPORT == 0 {
                        self.engine.log_activity(std::mem::take(&mut self.max_lateness));
                    }
                }
            }
            let turn_start = Instant::now();
            for event in batch.drain(..) {
                self.handle_event(event);
            }
            // A wake-up at the start of the clock means "at once", which cannot be late.
            if let Some(at) = wake.filter(|at| *at <= turn_start && *at > self.clock.start) {
                self.record_lateness(turn_start - at, "a timer was late");
            }
            self.run_turn()?;
            self.record_lateness(turn_start.elapsed(), "a turn of the event loop took too long");
            if self.engine.may_exit(self.clock.now()) {
                return self.finish(events, clients).await.map(|()| LoopExit::Terminated);
            }
        }
    }

    /// Resumes the calls that were in flight in the previous process.
    pub fn resume_calls(&mut self, calls: Vec<(Call, calls::ResumedCall)>) {
        for (call, resumed) in calls {
            self.start_call(call, Some(resumed));
        }
    }

    /// Stops between two turns for a hand-over: requests that were read get their reply, the clients' connections are released,
    /// and calls of which nothing was written count as not sent.
    pub async fn stop(
        mut self,
        events: &mut Receiver<DriverEvent>,
        clients: &Clients,
    ) -> Result<StoppedCourier, JournalError> {
        self.release_clients(events, clients).await?;
        let detached: Vec<DetachedCall> = std::mem::take(&mut self.in_flight_calls)
            .into_iter()
            .map(|(message, call)| call.detach(message))
            .collect();
        // Read after the calls have ended at their endpoints: the order of keys counts from it.
        let now = self.clock.now();
        let mut state = HandoverState {
            clock_epoch_ms: self.clock.start_unix_ms,
            stopped_at_ns: now.0,
            ..HandoverState::default()
        };
        let mut call_connections = Vec::new();
        for DetachedCall { message, is_write_unreported, elapsed, fate } in detached {
            if is_write_unreported {
                self.engine.handle(now, Input::CallWritten(message));
            }
            match fate {
                CallFate::HandedOver(call, connection) => {
                    state.calls.push(call);
                    call_connections.push(connection);
                }
                CallFate::Ended(outcome) => self.report_detached_end(now, message, outcome, elapsed),
            }
        }
        // The counters stay with this process; the calls in flight move to the next one.
        let last_metrics = EngineMetrics { messages_pending: 0, ..self.engine.metrics(now) };
        let (effects, snapshot) = self.engine.freeze(now)?;
        for effect in effects {
            self.apply_effect(effect);
        }
        state.engine_state = snapshot.unwrap_or_default();
        Ok(StoppedCourier { engine: self.engine, state, call_connections, last_metrics })
    }

    /// Answers the requests that were read, and waits until the clients' connections are released.
    async fn release_clients(
        &mut self,
        events: &mut Receiver<DriverEvent>,
        clients: &Clients,
    ) -> Result<(), JournalError> {
        self.channels.phase.send_replace(Phase::Moving);
        let until = Instant::now() + MAX_CLIENT_RELEASE_WAIT;
        loop {
            self.handle_queued_events(events);
            self.run_turn()?;
            yield_now().await;
            if (clients.active_count() == 0 && events.is_empty()) || Instant::now() >= until {
                break;
            }
        }
        self.handle_queued_events(events);
        Ok(())
    }

    /// Passes all events in the queue to the engine.
    fn handle_queued_events(&mut self, events: &mut Receiver<DriverEvent>) {
        while let Ok(event) = events.try_recv() {
            self.handle_event(event);
        }
    }

    /// Reports the end of a call that the next process does not continue.
    fn report_detached_end(&mut self, now: Time, message: MessageId, outcome: Outcome, latency: Duration) {
        let in_flight = self.engine.calls_in_flight().find(|(other, _)| *other == message);
        if let Some((_, endpoint)) = in_flight {
            let result = CallResult { outcome, latency, is_final: false, allowance: None };
            self.engine.handle(now, Input::CallEnded(message, endpoint, result));
        }
    }

    /// Ends the service: answers the requests that have arrived, as closing a connection with a request on it would lose the
    /// message. Messages accepted here are delivered by the next process, from the journal. Then shuts the connections down for
    /// writing and gives clients time to close: closing while a client still sends would reset the connection and destroy the
    /// replies on their way.
    async fn finish(
        &mut self,
        events: &mut Receiver<DriverEvent>,
        clients: &Clients,
    ) -> Result<(), JournalError> {
        let started_at = Instant::now();
        self.engine.stop_calling(self.clock.now());
        self.channels.phase.send_replace(Phase::Over);
        loop {
            self.handle_queued_events(events);
            self.run_turn()?;
            // Lets the connections' tasks write the replies.
            yield_now().await;
            // One round accepts the connections in the listen queue, and the next one reads their requests.
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
        let (pending_count, in_flight_count) = self.engine.load();
        info!(held = pending_count, out = in_flight_count, "the courier has shut down");
        Ok(())
    }

    /// Keeps the maximum for the report, and logs a delay that is too long.
    fn record_lateness(&mut self, lateness: Duration, message: &str) {
        self.max_lateness = self.max_lateness.max(lateness);
        if lateness > LATENESS_WARNING_THRESHOLD {
            if let Some(more) = self.lateness_log.due(self.clock.now()) {
                warn!(late = ?lateness, more, "{message}");
            }
        }
    }

    /// Handles a request of the console or of another process. Returns the connection of a process to which the courier is to be
    /// handed over.
    fn handle_control_request(&mut self, request: ControlRequest) -> Option<UnixStream> {
        match request {
            ControlRequest::Metrics(reply) => {
                // An error means that the connection of the console was closed.
                let _ = reply.send(self.engine.metrics(self.clock.now()));
            }
            ControlRequest::Command(command, reply) => {
                self.last_ticket += 1;
                self.waiting_operators.insert(Ticket(self.last_ticket), reply);
                self.engine.handle(self.clock.now(), Input::Command(Ticket(self.last_ticket), command));
            }
            ControlRequest::HandOver(mut stream) => {
                if self.engine.is_shutting_down() {
                    // The other process repeats its request until this one has ended.
                    if let Some(more) = self.refused_handover_log.due(self.clock.now()) {
                        info!(more, "hand-over refused during shutdown; the new process can start once this one has ended");
                    }
                } else if !self.engine.journal().is_in_place() {
                    // The new process has a folder of its own, whose inode may be the same.
                    if let Some(more) = self.refused_handover_log.due(self.clock.now()) {
                        warn!(more, "hand-over refused: the state folder was replaced, and the new process belongs to another courier");
                    }
                } else if upgrade::receive_hello(&mut stream) {
                    return Some(stream);
                }
            }
        }
        None
    }

    /// Passes an event to the engine.
    fn handle_event(&mut self, event: DriverEvent) {
        let input = match event {
            // A client that no longer waits enqueues its message elsewhere.
            DriverEvent::Enqueue(_, reply) if reply.is_closed() => return,
            DriverEvent::Enqueue(enqueue, reply) => {
                self.last_ticket += 1;
                self.waiting_clients.insert(Ticket(self.last_ticket), reply);
                Input::Enqueue(Ticket(self.last_ticket), enqueue)
            }
            DriverEvent::Input(input) => input,
        };
        if let Input::CallEnded(message, ..) = &input {
            self.in_flight_calls.remove(message);
        }
        self.engine.handle(self.clock.now(), input);
    }

    /// Ends a turn and carries out its effects. No other task runs in between, so nothing leaves the process before the journal
    /// has recorded what it depends on.
    fn run_turn(&mut self) -> Result<(), JournalError> {
        if let Some(group) = &self.channels.group {
            // The engine decides on duties right after this, and starts the calls in the same turn, so that the view is
            // current.
            let now = self.clock.now();
            let view = |destination| group.duty_view(now, destination);
            let requests =
                self.engine.update_trial_duties(now, &mut self.trial_duties, group.requested_duties(), view);
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

    /// Carries out one effect of a turn.
    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Answer(ticket, answer) => {
                let reply = self.waiting_clients.remove(&ticket);
                if let Some(Err(Answer::Taken(message))) = reply.map(|reply| reply.send(answer)) {
                    // The client has gone; the engine learns of it in the next turn.
                    let events = self.channels.events.clone();
                    tokio::task::spawn_local(async move {
                        events.send(Input::AnswerUnacknowledged(message)).await
                    });
                }
            }
            Effect::CommandResult(ticket, result) => {
                if let Some(reply) = self.waiting_operators.remove(&ticket) {
                    let _ = reply.send(result);
                }
            }
            Effect::StartCall(call) => self.start_call(call, None),
            Effect::StopCall(message, reason) => {
                let Some(call) = self.in_flight_calls.get_mut(&message) else { return };
                if reason == StopReason::Withdrawn && call.progress.is_started() {
                    return;
                }
                if let Some(stop) = call.stop.take() {
                    let _ = stop.send(reason);
                }
            }
            Effect::SendNotice(notice) => self.unsent_notices.push_back(notice),
            Effect::CloseIdle(endpoint) => self.pool.close_idle(endpoint),
            Effect::CloseIdleUnavailable => {
                self.pool.retain_endpoints(|endpoint| self.engine.is_open(endpoint))
            }
            Effect::AnnounceShutdown => drop(self.channels.phase.send_replace(Phase::Closing)),
            #[cfg(feature = "broken")]
            Effect::DelayListUpdate(update, after) => {
                let events = self.channels.events.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(after).await;
                    events.send(Input::DelayedListUpdate(update)).await;
                });
            }
            #[cfg(feature = "broken")]
            Effect::DelayNotice(notice, at) => {
                let (notices, at) = (self.channels.notices.clone(), self.clock.instant(at));
                tokio::task::spawn_local(async move {
                    sleep_until(at).await;
                    let _ = notices.send(notice).await;
                });
            }
            #[cfg(feature = "broken")]
            Effect::StartUntrackedCall(call) => {
                let pool = self.pool.clone();
                tokio::task::spawn_local(async move {
                    let (_never, stopped) = oneshot::channel();
                    pool.call(call, None, stopped, Rc::default(), None).await;
                });
            }
        }
    }

    /// Starts a call, or resumes one that was handed over, in a task of its own.
    fn start_call(&mut self, call: Call, resumed: Option<calls::ResumedCall>) {
        let (stop, stopped) = oneshot::channel();
        let progress = Rc::new(match &resumed {
            Some(_) => WriteProgress::handed_over(),
            None => WriteProgress::default(),
        });
        let elapsed = resumed.as_ref().map_or(Duration::ZERO, |resumed| resumed.elapsed);
        let started_at = Instant::now().checked_sub(elapsed).unwrap_or_else(Instant::now);
        let (message, endpoint, timeout) = (call.message, call.endpoint, call.try_for);
        let send_by = call.send_by.map(|at| self.clock.instant(at));
        let (pool, events, task_progress) =
            (self.pool.clone(), self.channels.events.clone(), progress.clone());
        let task = tokio::task::spawn_local(async move {
            let call = pin!(pool.call(call, send_by, stopped, task_progress.clone(), resumed));
            // Reports the last byte and then never completes, so that only the end of the call ends the task.
            let report_written = async {
                task_progress.wait_until_written().await;
                events.send(Input::CallWritten(message)).await;
                std::future::pending().await
            };
            // The call comes first: it must not wait for the driver to take the `CallWritten` event.
            let result = tokio::select! {
                biased;
                result = call => result,
                () = report_written => return,
            };
            if task_progress.is_unreported() {
                events.send(Input::CallWritten(message)).await;
            }
            events.send(Input::CallEnded(message, endpoint, result)).await;
        });
        let task = task.abort_handle();
        self.in_flight_calls
            .insert(message, InFlightCall { stop: Some(stop), progress, task, started_at, timeout });
    }
}

mod detached_call;
#[cfg(test)]
mod tests;
