//! The main loop: handles events in the order of their time until the run is over, and builds the report.

use crate::events::ScheduledEvent;
use crate::outcome::{EmulatedRun, EmulationError};
use crate::simulation::{Simulation, STARTUP_OFFSET};
use gullcart_engine::Input;
use gullcart_judge::trace::{ProcessEvent, Timestamp};
use gullcart_judge::Weights;
use gullcart_rehearsal::figures::{AFTERMATH, END, LOOK};
use gullcart_rehearsal::{Counts, Lateness, Report, Sample, Shown, Until, Verdict};
use std::time::Duration;

/// Time after the last possible deadline at which a run ends even if messages are still pending, in seconds.
const MAX_OVERTIME_S: f64 = 5.0;
/// Interval of the samples in the report.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Collects the samples of a run.
#[derive(Default)]
struct SampleCollector {
    samples: Vec<Sample>,
    /// When the next sample is due.
    next_at: Timestamp,
    /// [`Simulation::calls_received`] at the latest sample.
    calls_received_before: u64,
    /// [`Simulation::calls_rejected`] at the latest sample.
    calls_rejected_before: u64,
}

impl Simulation<'_> {
    /// Runs the scenario. `progress` is called with the time in seconds at each sample.
    pub fn run(mut self, until: Until, mut progress: impl FnMut(f64)) -> Result<EmulatedRun, EmulationError> {
        self.schedule_first_events()?;
        let end_at = self.latest_end();
        let mut collector = SampleCollector::default();
        let mut idle_since = None;
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            let ScheduledEvent::PeriodicCheck = event else {
                self.handle(event)?;
                continue;
            };
            self.check(at);
            if at >= collector.next_at {
                self.take_sample(&mut collector);
                progress(at.as_secs_f64());
            }
            if until.is_reached(&self.book.judge) {
                break;
            }
            // An idle run goes on for `AFTERMATH`, so that late or repeated calls and notices still reach the judge.
            idle_since = if self.is_idle() { idle_since.or(Some(at)) } else { None };
            if idle_since.is_some_and(|since| at - since >= AFTERMATH) || at > end_at {
                break;
            }
            self.queue.push(at + LOOK, ScheduledEvent::PeriodicCheck);
        }
        Ok(self.into_outcome(collector.samples, until))
    }

    /// Starts the couriers, and schedules the first check, the first message and the first fault action.
    fn schedule_first_events(&mut self) -> Result<(), EmulationError> {
        for courier in 0..self.couriers.len() {
            self.start_process(courier)?;
        }
        self.queue.push(Timestamp(0), ScheduledEvent::PeriodicCheck);
        match self.plan.arrivals.first() {
            Some(first) => {
                self.queue.push(first.at + STARTUP_OFFSET, ScheduledEvent::MessageDue { index: 0 });
            }
            None => self.all_messages_sent = true,
        }
        match self.plan.actions.first() {
            Some((at, _)) => {
                self.queue.push(*at + STARTUP_OFFSET, ScheduledEvent::FaultAction { index: 0 });
            }
            None => self.all_faults_applied = true,
        }
        Ok(())
    }

    /// When the run ends at the latest.
    fn latest_end(&self) -> Timestamp {
        let deadline_s = self.scenario.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
        Timestamp(0) + Duration::from_secs_f64(self.scenario.seconds + deadline_s + MAX_OVERTIME_S)
    }

    /// Advances the judge's time, and lets clients retry the messages that were returned to them.
    fn check(&mut self, at: Timestamp) {
        self.book.judge.advance(at);
        for (origin, retry_after_ms) in std::mem::take(&mut self.book.returned) {
            self.retry_message(origin, retry_after_ms);
        }
        self.book.forget(at);
    }

    /// Whether no message and no fault is to come and no message is pending.
    fn is_idle(&self) -> bool {
        self.all_messages_sent
            && self.all_faults_applied
            && self.open_submissions == 0
            && self.book.judge.pending_messages() == 0
    }

    /// Handles one event.
    fn handle(&mut self, event: ScheduledEvent) -> Result<(), EmulationError> {
        match event {
            ScheduledEvent::MessageDue { index } => self.handle_message_due(index),
            ScheduledEvent::Submit { submission, holds_order_key } => {
                self.submit(submission, holds_order_key)
            }
            ScheduledEvent::RequestArrives { courier, incarnation, request } => {
                self.receive_request(courier, incarnation, request);
            }
            ScheduledEvent::RequestEnds { request, outcome } => self.end_request(request, outcome),
            ScheduledEvent::EngineTurn { courier, incarnation } => self.run_due_turn(courier, incarnation),
            ScheduledEvent::WriteCall { courier, incarnation, message, serial, is_new_connection } => {
                self.write_call(courier, incarnation, message, serial, is_new_connection);
            }
            ScheduledEvent::CallArrives(call) => self.receive_call(call),
            ScheduledEvent::EndpointOutcome(call) => self.finish_at_endpoint(call),
            ScheduledEvent::CallClosed(call) => self.close_call(call),
            ScheduledEvent::CallEnds { courier, incarnation, message, serial, result, is_reusable } => {
                self.end_call(courier, incarnation, message, serial, result, is_reusable);
            }
            ScheduledEvent::CallTimeout { courier, incarnation, message, serial } => {
                self.time_out_call(courier, incarnation, message, serial);
            }
            ScheduledEvent::CallUnwritten { courier, incarnation, message, serial, outcome } => {
                self.end_unwritten_call(courier, incarnation, message, serial, outcome);
            }
            ScheduledEvent::NoticeArrives { courier, incarnation, notice } => {
                self.receive_notice(courier, incarnation, &notice);
            }
            ScheduledEvent::NoticeAcknowledged { courier, incarnation, message } => {
                self.deliver_input(courier, incarnation, Input::NoticesAcknowledged(vec![message]));
            }
            ScheduledEvent::ListingChange { courier, partner, endpoint_index, state } => {
                self.receive_listing_change(courier, partner, endpoint_index, state);
            }
            ScheduledEvent::ListingChangeOverdue { courier } => self.handle_overdue_change(courier),
            #[cfg(feature = "broken")]
            ScheduledEvent::DelayedListUpdate { courier, incarnation, update } => {
                self.deliver_input(courier, incarnation, Input::DelayedListUpdate(update));
            }
            ScheduledEvent::FaultAction { index } => self.handle_fault_action(index),
            ScheduledEvent::ProcessStarts { courier } => self.start_process(courier)?,
            ScheduledEvent::ProcessReady { courier, incarnation } => {
                self.handle_process_ready(courier, incarnation);
            }
            ScheduledEvent::TerminationNoticed { courier, incarnation } => {
                self.handle_termination_noticed(courier, incarnation);
            }
            ScheduledEvent::KillDue { courier, incarnation } => {
                self.kill_if_running(courier, incarnation);
            }
            // Handled by `run`.
            ScheduledEvent::PeriodicCheck => {}
        }
        Ok(())
    }

    /// Submits a scheduled message, and schedules the next one.
    fn handle_message_due(&mut self, index: usize) {
        self.submit_scheduled(index);
        match self.plan.arrivals.get(index + 1) {
            Some(next) => {
                let event = ScheduledEvent::MessageDue { index: index + 1 };
                self.queue.push(next.at + STARTUP_OFFSET, event);
            }
            None => self.all_messages_sent = true,
        }
    }

    /// Applies a fault action, and schedules the next one.
    fn handle_fault_action(&mut self, index: usize) {
        let action = self.plan.actions[index].1.clone();
        self.apply_action(action);
        match self.plan.actions.get(index + 1) {
            Some((at, _)) => {
                let event = ScheduledEvent::FaultAction { index: index + 1 };
                self.queue.push(*at + STARTUP_OFFSET, event);
            }
            None => self.all_faults_applied = true,
        }
    }

    /// Records the unreported changes of the list as reported; see `MAX_REPORT_DELAY`. A silent agent reports them when its silence
    /// ends.
    fn handle_overdue_change(&mut self, courier: usize) {
        if !self.couriers[courier].agent.is_silent {
            self.mark_changes_reported(courier);
        }
    }

    /// A process is ready: clients send requests to it.
    fn handle_process_ready(&mut self, courier: usize, incarnation: u32) {
        if self.couriers[courier].process(incarnation).is_some() {
            self.record_process_event(courier, ProcessEvent::Ready);
            self.couriers[courier].is_serving = true;
        }
    }

    /// Clients stop sending requests to a terminating courier.
    fn handle_termination_noticed(&mut self, courier: usize, incarnation: u32) {
        if self.couriers[courier].incarnation == incarnation {
            self.couriers[courier].is_serving = false;
        }
    }

    /// Kills a process that takes too long to terminate.
    fn kill_if_running(&mut self, courier: usize, incarnation: u32) {
        if self.couriers[courier].process(incarnation).is_some() {
            self.add_remark(format!(
                "courier {courier} was still running {:.1} s after SIGTERM and was killed",
                END.as_secs_f64()
            ));
            self.end_process(courier);
        }
    }

    /// Takes a sample for the report.
    fn take_sample(&mut self, collector: &mut SampleCollector) {
        collector.next_at = collector.next_at + SAMPLE_INTERVAL;
        let mut latencies_ms = std::mem::take(&mut self.book.recent);
        latencies_ms.sort_by(f64::total_cmp);
        collector.samples.push(Sample {
            at: self.now.as_secs_f64(),
            out: self.endpoint_calls.len() as u32,
            owed: self.book.judge.pending_messages(),
            calls: self.calls_received - collector.calls_received_before,
            refused: self.calls_rejected - collector.calls_rejected_before,
            memory_mb: vec![None; self.couriers.len()],
            latency_ms: latencies_ms.last().map(|worst| (latencies_ms[latencies_ms.len() / 2], *worst)),
        });
        collector.calls_received_before = self.calls_received;
        collector.calls_rejected_before = self.calls_rejected;
    }

    /// Completes the judge's checks and builds the report.
    fn into_outcome(mut self, samples: Vec<Sample>, until: Until) -> EmulatedRun {
        let ended_early = until.is_reached(&self.book.judge);
        if !ended_early {
            self.book.judge.finish(self.now);
        }
        let service = self.book.service.scores(Weights::default());
        let broken = self.book.judge.violation_counts().clone();
        let verdict = if !broken.is_empty() {
            Verdict::Broken
        } else if service.combined < self.scenario.floor {
            Verdict::UnderFloor
        } else {
            Verdict::Kept
        };
        let class_names = self.scenario.classes.iter().map(|class| class.name.clone());
        let (book, scenario) = (&self.book, self.scenario);
        let report = Report {
            scenario: scenario.name.clone(),
            about: scenario.about.clone(),
            seed: self.seed,
            seconds: scenario.seconds,
            took: self.now.as_secs_f64(),
            ended_early,
            verdict,
            void: None,
            floor: scenario.floor,
            service,
            broken,
            breaches: book.judge.violations().iter().map(Shown::from).collect(),
            counts: Counts {
                refused: self.calls_rejected,
                connections: self.connections_opened,
                ..book.counts
            },
            latency: book.service.latency(None),
            percentiles: book.service.percentiles(),
            latency_of: class_names
                .enumerate()
                .map(|(class, name)| (name, book.service.latency(Some(class))))
                .collect(),
            by_second: book.service.seconds().to_vec(),
            samples,
            faults: self.plan.windows.clone(),
            late_clients: Lateness::default(),
            late_partners: Lateness::default(),
            remarks: self.remarks.clone(),
        };
        let scheduled_events = self.queue.pushed_count();
        EmulatedRun {
            report,
            trace_checksum: self.trace_checksum.finalize(),
            trace_lines: self.trace_lines,
            scheduled_events,
        }
    }
}
