//! Playing a day: events in the order of their time, until the day is over.

use crate::events::Scheduled;
use crate::outcome::{Emulated, EmulationError};
use crate::simulation::{World, LEAD};
use gullcart_engine::Input;
use gullcart_judge::trace::{At, CourierId, Event, Process as What};
use gullcart_judge::Weights;
use gullcart_rehearsal::figures::{AFTERMATH, LOOK};
use gullcart_rehearsal::{Counts, Lateness, Report, Sample, Shown, Until, Verdict};
use std::time::Duration;

/// A day ends so long after the last deadline, whatever is still owed, in seconds.
const LONGEST_AFTERMATH: f64 = 5.0;
/// Between two samples for the report.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// The samples of a day so far, and the totals at the last one.
#[derive(Default)]
struct Samples {
    taken: Vec<Sample>,
    next: At,
    calls: u64,
    refused: u64,
}

impl World<'_> {
    /// Plays the day; `progress` is told each second of it.
    pub fn play(mut self, until: Until, mut progress: impl FnMut(f64)) -> Result<Emulated, EmulationError> {
        self.begin_day()?;
        let last = self.latest_end();
        let mut samples = Samples::default();
        let mut quiet_since = None;
        while let Some((at, event)) = self.queue.take() {
            self.now = at;
            let Scheduled::Look = event else {
                self.handle(event)?;
                continue;
            };
            self.look(at);
            if at >= samples.next {
                self.sample(&mut samples);
                progress(at.seconds());
            }
            if until.is_reached(&self.book.judge) {
                break;
            }
            quiet_since = if self.is_quiet() { quiet_since.or(Some(at)) } else { None };
            if quiet_since.is_some_and(|since| at - since >= AFTERMATH) || at > last {
                break;
            }
            self.queue.put(at + LOOK, Scheduled::Look);
        }
        Ok(self.emulated(samples.taken, until))
    }

    /// Starts the couriers, and schedules the first message and the first fault.
    fn begin_day(&mut self) -> Result<(), EmulationError> {
        for courier in 0..self.places.len() {
            self.start(courier)?;
        }
        self.queue.put(At(0), Scheduled::Look);
        match self.day.arrivals.first() {
            Some(first) => self.queue.put(first.at + LEAD, Scheduled::Arrival(0)),
            None => self.arrived = true,
        }
        match self.day.actions.first() {
            Some((at, _)) => self.queue.put(*at + LEAD, Scheduled::Act(0)),
            None => self.acted = true,
        }
        Ok(())
    }

    /// When the day ends at the latest.
    fn latest_end(&self) -> At {
        let deadline = self.scenario.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
        At(0) + Duration::from_secs_f64(self.scenario.seconds + deadline + LONGEST_AFTERMATH)
    }

    /// Has the judge look at the time, and clients send again what came back to them.
    fn look(&mut self, at: At) {
        self.book.judge.advance(at);
        for (origin, wait) in std::mem::take(&mut self.book.returned) {
            self.come_back(origin, wait);
        }
        self.book.forget(at);
    }

    /// Whether nothing is to come and nothing is owed.
    fn is_quiet(&self) -> bool {
        self.arrived && self.acted && self.busy == 0 && self.book.judge.owed() == 0
    }

    fn handle(&mut self, event: Scheduled) -> Result<(), EmulationError> {
        match event {
            Scheduled::Arrival(number) => self.next_arrival(number),
            Scheduled::Send(sending, has_turn) => self.send(sending, has_turn),
            Scheduled::Request(courier, epoch, message) => self.request(courier, epoch, message),
            Scheduled::Told(message, told) => self.told(message, told),
            Scheduled::Turn(courier, epoch) => self.due_turn(courier, epoch),
            Scheduled::Write { courier, epoch, message, serial, fresh } => {
                self.write(courier, epoch, message, serial, fresh);
            }
            Scheduled::Call(arriving) => self.call(arriving),
            Scheduled::Fate(call) => self.fate(call),
            Scheduled::Cut(call) => self.cut(call),
            Scheduled::Back { courier, epoch, message, serial, ended, keep } => {
                self.back_at(courier, epoch, message, serial, ended, keep);
            }
            Scheduled::GiveUp { courier, epoch, message, serial } => {
                self.give_up(courier, epoch, message, serial);
            }
            Scheduled::Never { courier, epoch, message, serial, outcome } => {
                self.never(courier, epoch, message, serial, outcome);
            }
            Scheduled::Notice(courier, epoch, notice) => self.noticed(courier, epoch, &notice),
            Scheduled::Heard(courier, epoch, message) => {
                self.input(courier, epoch, Input::NoticesAcknowledged(vec![message]));
            }
            Scheduled::News(courier, partner, standing, state) => {
                self.news(courier, partner, standing, state);
            }
            Scheduled::ToldAtLast(courier) => self.told_at_last(courier),
            #[cfg(feature = "broken")]
            Scheduled::HeardAtLast(courier, epoch, update) => {
                self.input(courier, epoch, Input::DelayedListUpdate(update));
            }
            Scheduled::Act(number) => self.next_action(number),
            Scheduled::Start(courier) => self.start(courier)?,
            Scheduled::Ready(courier, epoch) => self.ready(courier, epoch),
            Scheduled::FrontNotices(courier, epoch) => self.front_notices(courier, epoch),
            Scheduled::Kill(courier, epoch) => self.kill_if_there(courier, epoch),
            Scheduled::Look => {}
        }
        Ok(())
    }

    /// A message is due; the next one is scheduled.
    fn next_arrival(&mut self, number: usize) {
        self.arrive(number);
        match self.day.arrivals.get(number + 1) {
            Some(next) => self.queue.put(next.at + LEAD, Scheduled::Arrival(number + 1)),
            None => self.arrived = true,
        }
    }

    /// A fault begins or ends; the next one is scheduled.
    fn next_action(&mut self, number: usize) {
        let action = self.day.actions[number].1.clone();
        self.act(action);
        match self.day.actions.get(number + 1) {
            Some((at, _)) => self.queue.put(*at + LEAD, Scheduled::Act(number + 1)),
            None => self.acted = true,
        }
    }

    /// What the register did not tell counts as told, unless it is still silent.
    fn told_at_last(&mut self, courier: usize) {
        if !self.places[courier].agent.is_silent {
            self.count_as_told(courier);
        }
    }

    /// A process answers: clients are sent to it.
    fn ready(&mut self, courier: usize, epoch: u32) {
        if self.places[courier].process(epoch).is_some() {
            self.note(Event::Process { courier: CourierId(courier as u16), what: What::Ready });
            self.places[courier].is_serving = true;
        }
    }

    /// Clients are no longer sent to a courier that ends.
    fn front_notices(&mut self, courier: usize, epoch: u32) {
        if self.places[courier].epoch == epoch {
            self.places[courier].is_serving = false;
        }
    }

    /// A process that takes too long to end is killed.
    fn kill_if_there(&mut self, courier: usize, epoch: u32) {
        if self.places[courier].process(epoch).is_some() {
            self.remark(format!("courier {courier} was still there 3.7 s after SIGTERM, and was killed"));
            self.end_process(courier);
        }
    }

    fn sample(&mut self, samples: &mut Samples) {
        samples.next = samples.next + SAMPLE_INTERVAL;
        let mut recent = std::mem::take(&mut self.book.recent);
        recent.sort_by(f64::total_cmp);
        samples.taken.push(Sample {
            at: self.now.seconds(),
            out: self.calls.len() as u32,
            owed: self.book.judge.owed(),
            calls: self.next_call - samples.calls,
            refused: self.counts.refused - samples.refused,
            memory_mb: vec![None; self.places.len()],
            latency_ms: recent.last().map(|worst| (recent[recent.len() / 2], *worst)),
        });
        (samples.calls, samples.refused) = (self.next_call, self.counts.refused);
    }

    /// What is told of the day.
    fn emulated(mut self, samples: Vec<Sample>, until: Until) -> Emulated {
        let ended_early = until.is_reached(&self.book.judge);
        if !ended_early {
            self.book.judge.finish(self.now);
        }
        let service = self.book.service.figures(Weights::default());
        let broken = self.book.judge.counts().clone();
        let verdict = if !broken.is_empty() {
            Verdict::Broken
        } else if service.service < self.scenario.floor {
            Verdict::UnderFloor
        } else {
            Verdict::Kept
        };
        let names = self.scenario.classes.iter().map(|class| class.name.clone());
        let (book, scenario) = (&self.book, self.scenario);
        let report = Report {
            scenario: scenario.name.clone(),
            about: scenario.about.clone(),
            seed: self.seed,
            seconds: scenario.seconds,
            took: self.now.seconds(),
            ended_early,
            verdict,
            void: None,
            floor: scenario.floor,
            service,
            broken,
            breaches: book.judge.breaches().iter().map(Shown::from).collect(),
            counts: Counts {
                refused: self.counts.refused,
                connections: self.counts.connections,
                ..book.counts
            },
            latency: book.service.latency(None),
            percentiles: book.service.percentiles(),
            latency_of: names.enumerate().map(|(at, name)| (name, book.service.latency(Some(at)))).collect(),
            by_second: book.service.seconds().to_vec(),
            samples,
            faults: self.day.windows.clone(),
            late_clients: Lateness::default(),
            late_partners: Lateness::default(),
            remarks: self.remarks.clone(),
        };
        let steps = self.queue.put_so_far();
        Emulated { report, trace: self.trace.finalize(), entries: self.entries, steps }
    }
}
