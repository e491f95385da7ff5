//! Couriers' processes: how each starts on its folder, and what its engine is told and wants done.

use crate::courier::Process;
use crate::events::Scheduled;
use crate::outcome::EmulationError;
use crate::simulation::World;
use cloverstile::EndpointId;
use gullcart_engine::{
    Answer, Effect, Engine, EngineConfig, IdleConnectionPolicy, Input, Notice, Ticket, EPOCH,
};
use gullcart_journal::simulated::Disk;
use gullcart_journal::{Journal, Options};
use gullcart_judge::trace::{At, CourierId, Ended, Event, MessageId as HandInId, Process as What, Told};
use gullcart_message::Verdict as End;
use gullcart_standins::ids;
use std::time::Duration;

/// From a process's start until it answers.
const READY: Duration = Duration::from_millis(15);
/// Unix time of the beginning of each day.
const BEGIN_MS: u64 = 1_800_000_000_000;
/// What is due at once is due after what has been put for now.
const NEXT_TURN: Duration = Duration::from_micros(1);

impl World<'_> {
    /// A process starts on its folder.
    pub fn start(&mut self, courier: usize) -> Result<(), EmulationError> {
        let (now, seed) = (self.now, self.rng.u64(..));
        self.note(Event::Process { courier: CourierId(courier as u16), what: What::Started });
        let engine = self.load_engine(courier, seed)?;
        let rev = engine.list_revision();
        let share = IdleConnectionPolicy::new(self.parsed.settings.couriers, seed);
        let place = &mut self.places[courier];
        place.epoch += 1;
        let epoch = place.epoch;
        place.process = Some(Process::new(engine, now, self.day.slots, share));
        // Its watch tells it at once what has changed since the list that it remembers.
        if place.agent.rev > rev && !place.agent.is_silent {
            let list = place.agent.list();
            self.input(courier, epoch, Input::ListUpdate(list));
        }
        if !self.places[courier].agent.is_silent {
            self.count_as_told(courier);
        }
        self.wake(courier, now);
        self.queue.put(now + READY, Scheduled::Ready(courier, epoch));
        Ok(())
    }

    /// The engine of a new process, on what its courier's journal holds.
    fn load_engine(&mut self, courier: usize, seed: u64) -> Result<Engine<Disk>, EmulationError> {
        let disk = (self.scenario.couriers.disk_mb * 1e6) as u64;
        let place = &mut self.places[courier];
        // What a process may not write, the next one may.
        place.disk.refuse_changes(false);
        let failed = |error| EmulationError::Start { courier, error };
        let journal =
            Journal::replay(place.disk.clone(), disk, Options::default(), seed | 1).map_err(failed)?;
        #[cfg(feature = "broken")]
        let broken = gullcart_engine::broken::FaultInjector::from_name(self.broken).unwrap_or_default();
        let parsed = self.parsed.clone();
        // As the daemon does.
        #[cfg(feature = "broken")]
        let parsed = broken.apply_to_settings(parsed);
        let start = EngineConfig {
            parsed_settings: parsed,
            seed,
            initial_list: place.agent.list(),
            now: EPOCH,
            epoch_ms: BEGIN_MS + self.now.0 / 1000,
            settings_checksum: 0,
            #[cfg(feature = "broken")]
            fault_injector: broken,
        };
        Ok(Engine::new(start, journal))
    }

    /// Tells a courier's engine something, and has a turn come behind it.
    pub fn input(&mut self, courier: usize, epoch: u32, input: Input) {
        let now = self.now;
        let Some(process) = self.places[courier].process(epoch) else { return };
        let time = process.time(now);
        process.engine.handle(time, input);
        self.wake(courier, now);
    }

    /// A courier's next turn comes no later than that.
    pub fn wake(&mut self, courier: usize, at: At) {
        let epoch = self.places[courier].epoch;
        let Some(process) = &mut self.places[courier].process else { return };
        if process.wake.is_none_or(|wake| at < wake) {
            process.wake = Some(at);
            self.queue.put(at, Scheduled::Turn(courier, epoch));
        }
    }

    /// A turn that is due, unless it was brought forward.
    pub fn due_turn(&mut self, courier: usize, epoch: u32) {
        let now = self.now;
        if let Some(process) = self.places[courier].process(epoch).filter(|p| p.wake == Some(now)) {
            process.wake = None;
            self.turn(courier);
        }
    }

    fn turn(&mut self, courier: usize) {
        let now = self.now;
        let epoch = self.places[courier].epoch;
        let Some(process) = &mut self.places[courier].process else { return };
        let time = process.time(now);
        let effects = match process.engine.turn(time) {
            Ok(effects) => effects,
            Err(error) => {
                self.remark(format!("courier {courier} ended by itself: {error}"));
                self.note(Event::Process { courier: CourierId(courier as u16), what: What::Crashed });
                self.places[courier].process = None;
                return;
            }
        };
        let may_end = process.is_ending && process.engine.may_exit(time);
        let next = process.engine.next_wake().map(|at| process.at(at).max(now));
        for effect in effects {
            self.effect(courier, epoch, effect);
        }
        if may_end {
            self.end_process(courier);
        } else if let Some(next) = next {
            self.wake(courier, next.max(now + NEXT_TURN));
        }
    }

    fn effect(&mut self, courier: usize, epoch: u32, effect: Effect) {
        match effect {
            Effect::Answer(Ticket(message), answer) => {
                let told = match answer {
                    Answer::Taken(_) | Answer::Held => Told::Taken,
                    Answer::Busy(after) => Told::Busy(after.map(|after| after.as_millis() as u64)),
                    Answer::Error(_) => Told::Error,
                };
                let at = self.over_there();
                self.queue.put(at, Scheduled::Told(HandInId(message), told));
            }
            Effect::StartCall(call) => self.begin(courier, epoch, &call),
            Effect::StopCall(message, reason) => self.stop(courier, epoch, message, reason),
            Effect::SendNotice(notice) => {
                let at = self.over_there();
                self.queue.put(at, Scheduled::Notice(courier, epoch, notice));
            }
            Effect::CloseIdle(endpoint) => {
                if let Some(process) = self.places[courier].process(epoch) {
                    process.close(|other: EndpointId| other == endpoint);
                }
            }
            Effect::CloseIdleUnavailable => {
                if let Some(process) = self.places[courier].process(epoch) {
                    process.close_shut();
                }
            }
            // No operator calls there yet.
            Effect::AnnounceShutdown | Effect::CommandResult(..) => {}
            #[cfg(feature = "broken")]
            Effect::DelayListUpdate(update, after) => {
                self.queue.put(self.now + after, Scheduled::HeardAtLast(courier, epoch, update));
            }
            #[cfg(feature = "broken")]
            Effect::DelayNotice(notice, at) => {
                if let Some(process) = self.places[courier].process(epoch) {
                    let at = process.at(at);
                    self.queue.put(at.max(self.now), Scheduled::Notice(courier, epoch, notice));
                }
            }
            #[cfg(feature = "broken")]
            Effect::StartUntrackedCall(call) => self.begin_unknown(courier, epoch, &call),
        }
    }

    /// A notice reaches the platform, which answers it.
    pub fn noticed(&mut self, courier: usize, epoch: u32, notice: &Notice) {
        if self.places[courier].process(epoch).is_none() {
            return;
        }
        let message = ids::message_of(&notice.id);
        let ended = match notice.verdict {
            End::Failed => Ended::Failed,
            End::Returned { after_ms } => Ended::Returned(Some(after_ms)),
        };
        self.note(Event::Notice { message, courier: CourierId(courier as u16), ended });
        if let Some(message) = message {
            self.note(Event::NoticeAnswered { message });
        }
        let at = self.over_there();
        self.queue.put(at, Scheduled::Heard(courier, epoch, notice.message));
    }
}
