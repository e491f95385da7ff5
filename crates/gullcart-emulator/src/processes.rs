//! Processes of couriers: how they start from their journal, run the turns of their engine and carry out its effects.

use crate::courier::CourierProcess;
use crate::events::ScheduledEvent;
use crate::outcome::EmulationError;
use crate::simulation::Simulation;
use gullcart_engine::{
    Answer, Effect, Engine, EngineConfig, IdleConnectionPolicy, Input, Notice, Ticket, PROCESS_START,
};
use gullcart_journal::simulated::Disk;
use gullcart_journal::{Journal, Options};
use gullcart_judge::trace::{
    CourierId, EnqueueOutcome, Event, MessageId as RequestId, ProcessEvent, Timestamp, Verdict,
};
use gullcart_message::Verdict as NoticeVerdict;
use gullcart_standins::ids;
use std::time::Duration;

/// Time from the start of a process until it answers clients.
const PROCESS_START_TIME: Duration = Duration::from_millis(15);
/// Unix time of the start of each run.
const RUN_START_UNIX_MS: u64 = 1_800_000_000_000;
/// Delay of the next turn of an engine whose timer is due already, so that events already in the queue for the current time are
/// handled before that turn.
const MIN_TURN_INTERVAL: Duration = Duration::from_micros(1);

impl Simulation<'_> {
    /// Starts a courier's process from what its disk holds.
    pub fn start_process(&mut self, courier: usize) -> Result<(), EmulationError> {
        let (now, seed) = (self.now, self.rng.u64(..));
        self.record_process_event(courier, ProcessEvent::Started);
        let engine = self.load_engine(courier, seed)?;
        let known_revision = engine.list_revision();
        let idle_policy = IdleConnectionPolicy::new(self.parsed_settings.settings.couriers, seed);
        let state = &mut self.couriers[courier];
        state.incarnation += 1;
        let incarnation = state.incarnation;
        state.process = Some(CourierProcess::new(engine, now, self.plan.slots, idle_policy));
        // If the list has changed since the one that the journal holds, the register's agent sends it at once.
        if state.agent.revision > known_revision && !state.agent.is_silent {
            let list = state.agent.full_list();
            self.deliver_input(courier, incarnation, Input::ListUpdate(list));
        }
        if !self.couriers[courier].agent.is_silent {
            self.mark_changes_reported(courier);
        }
        self.schedule_turn(courier, now);
        let ready = ScheduledEvent::ProcessReady { courier, incarnation };
        self.queue.push(now + PROCESS_START_TIME, ready);
        Ok(())
    }

    /// Creates the engine of a new process from its courier's journal.
    fn load_engine(&mut self, courier: usize, seed: u64) -> Result<Engine<Disk>, EmulationError> {
        let disk_bytes = (self.scenario.couriers.disk_mb * 1e6) as u64;
        let state = &mut self.couriers[courier];
        // A fault that makes the disk refuse writes ends with the process.
        state.disk.refuse_changes(false);
        let start_error = |error| EmulationError::Start { courier, error };
        // The lowest bit is set so that the id of a new journal is not zero.
        let journal = Journal::replay(state.disk.clone(), disk_bytes, Options::default(), seed | 1)
            .map_err(start_error)?;
        #[cfg(feature = "broken")]
        let fault_injector =
            gullcart_engine::broken::FaultInjector::from_name(self.injected_fault).unwrap_or_default();
        let parsed_settings = self.parsed_settings.clone();
        // Like the daemon, applies the faults that change settings before the engine starts.
        #[cfg(feature = "broken")]
        let parsed_settings = fault_injector.apply_to_settings(parsed_settings);
        let config = EngineConfig {
            parsed_settings,
            seed,
            initial_list: state.agent.full_list(),
            now: PROCESS_START,
            // The run's time is in microseconds.
            start_unix_ms: RUN_START_UNIX_MS + self.now.0 / 1000,
            settings_checksum: 0,
            #[cfg(feature = "broken")]
            fault_injector,
        };
        Ok(Engine::new(config, journal))
    }

    /// Passes an input to the engine of a courier's process and schedules a turn after it.
    pub fn deliver_input(&mut self, courier: usize, incarnation: u32, input: Input) {
        let now = self.now;
        let Some(process) = self.couriers[courier].process(incarnation) else { return };
        let time = process.engine_time(now);
        process.engine.handle(time, input);
        self.schedule_turn(courier, now);
    }

    /// Schedules the next turn of a courier's engine, unless it is due earlier anyway.
    pub fn schedule_turn(&mut self, courier: usize, at: Timestamp) {
        let incarnation = self.couriers[courier].incarnation;
        let Some(process) = &mut self.couriers[courier].process else { return };
        if process.next_turn.is_none_or(|next_turn| at < next_turn) {
            process.next_turn = Some(at);
            self.queue.push(at, ScheduledEvent::EngineTurn { courier, incarnation });
        }
    }

    /// Runs a scheduled turn, unless an earlier turn has replaced it.
    pub fn run_due_turn(&mut self, courier: usize, incarnation: u32) {
        let now = self.now;
        let process = self.couriers[courier].process(incarnation);
        if let Some(process) = process.filter(|process| process.next_turn == Some(now)) {
            process.next_turn = None;
            self.run_turn(courier);
        }
    }

    /// Runs a turn of a courier's engine, carries out its effects and schedules the next turn.
    fn run_turn(&mut self, courier: usize) {
        let now = self.now;
        let incarnation = self.couriers[courier].incarnation;
        let Some(process) = &mut self.couriers[courier].process else { return };
        let time = process.engine_time(now);
        let effects = match process.engine.turn(time) {
            Ok(effects) => effects,
            Err(error) => {
                // An engine without its journal is not expected in a run. The remark reports it, and the run goes on without the
                // process; its calls and its disk are left as they are.
                self.add_remark(format!("the process of courier {courier} failed: {error}"));
                self.record_process_event(courier, ProcessEvent::Crashed);
                self.couriers[courier].process = None;
                return;
            }
        };
        let may_exit = process.is_terminating && process.engine.may_exit(time);
        let next_turn = process.engine.next_wake().map(|at| process.run_time(at).max(now));
        for effect in effects {
            self.apply_effect(courier, incarnation, effect);
        }
        if may_exit {
            self.end_process(courier);
        } else if let Some(next_turn) = next_turn {
            self.schedule_turn(courier, next_turn.max(now + MIN_TURN_INTERVAL));
        }
    }

    /// Carries out an effect of a courier's engine.
    fn apply_effect(&mut self, courier: usize, incarnation: u32, effect: Effect) {
        match effect {
            Effect::Answer(Ticket(request), answer) => {
                let outcome = match answer {
                    Answer::Taken(_) | Answer::Held => EnqueueOutcome::Accepted,
                    Answer::Busy(retry_after) => {
                        EnqueueOutcome::Busy(retry_after.map(|wait| wait.as_millis() as u64))
                    }
                    Answer::Error(_) => EnqueueOutcome::Error,
                };
                let at = self.draw_arrival_time();
                let event = ScheduledEvent::RequestEnds { request: RequestId(request), outcome };
                self.queue.push(at, event);
            }
            Effect::StartCall(call) => self.start_call(courier, incarnation, &call),
            Effect::StopCall(message, reason) => self.stop_call(courier, incarnation, message, reason),
            Effect::SendNotice(notice) => {
                let at = self.draw_arrival_time();
                self.queue.push(at, ScheduledEvent::NoticeArrives { courier, incarnation, notice });
            }
            Effect::CloseIdle(endpoint) => {
                if let Some(process) = self.couriers[courier].process(incarnation) {
                    process.close_idle_connections(endpoint);
                }
            }
            Effect::CloseIdleUnavailable => {
                if let Some(process) = self.couriers[courier].process(incarnation) {
                    process.close_idle_unavailable();
                }
            }
            // Operator commands are not emulated, and clients notice a shutdown by `TerminationNoticed`.
            Effect::AnnounceShutdown | Effect::CommandResult(..) => {}
            #[cfg(feature = "broken")]
            Effect::DelayListUpdate(update, delay) => {
                let event = ScheduledEvent::DelayedListUpdate { courier, incarnation, update };
                self.queue.push(self.now + delay, event);
            }
            #[cfg(feature = "broken")]
            Effect::DelayNotice(notice, not_before) => {
                if let Some(process) = self.couriers[courier].process(incarnation) {
                    let at = process.run_time(not_before).max(self.now);
                    self.queue.push(at, ScheduledEvent::NoticeArrives { courier, incarnation, notice });
                }
            }
            #[cfg(feature = "broken")]
            Effect::StartUntrackedCall(call) => self.start_untracked_call(courier, incarnation, &call),
        }
    }

    /// A notice reaches the platform, which acknowledges it. A notice is lost if its process is gone by then.
    pub fn receive_notice(&mut self, courier: usize, incarnation: u32, notice: &Notice) {
        if self.couriers[courier].process(incarnation).is_none() {
            return;
        }
        let request = ids::parse_wire_id(&notice.id);
        let verdict = match notice.verdict {
            NoticeVerdict::Failed => Verdict::Failed,
            NoticeVerdict::Returned { after_ms } => Verdict::Returned(Some(after_ms)),
        };
        self.record(Event::Notice { message: request, courier: CourierId(courier as u16), verdict });
        if let Some(request) = request {
            self.record(Event::NoticeAnswered { message: request });
        }
        let at = self.draw_arrival_time();
        let event = ScheduledEvent::NoticeAcknowledged { courier, incarnation, message: notice.message };
        self.queue.push(at, event);
    }
}
