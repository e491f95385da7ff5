//! Instance table: records to events of the module, its actions to replies. Translates only.

use crate::wire::{Entry, FinishedRecord, Record, Reply, WireError};
use cloverstile::*;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

struct Instance {
    courier: Courier,
    left_at: Option<usize>,
    limit_at: Option<usize>,
}

/// All instances of this process, and the numbered lists that they refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    sheets: BTreeMap<u16, Vec<Endpoint>>,
}

/// A batch that cannot be carried out.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    #[error("instance {who}: {error}")]
    Setting { who: u16, error: SettingError },
    #[error(transparent)]
    Wire(#[from] WireError),
}

impl Host {
    /// Hands the records of a batch to their instances and returns what these do.
    pub fn run(&mut self, clock: u64, records: Vec<Record>) -> Result<Vec<Reply>, HostError> {
        let now = Time(clock);
        let mut touched = Vec::new();
        let mut replies = Vec::new();
        for record in records {
            let Some((who, event)) = self.translate(record)? else {
                continue;
            };
            if let Some(instance) = self.instances.get_mut(&who) {
                if !touched.contains(&who) {
                    touched.push(who);
                }
                guarded(who, &mut replies, || instance.courier.handle(now, event));
            }
        }
        let mut actions = Vec::new();
        for who in touched {
            let Some(instance) = self.instances.get_mut(&who) else {
                continue;
            };
            guarded(who, &mut replies, || instance.courier.decide(now, &mut actions));
            replies.extend(actions.drain(..).map(|action| reply(who, action)));
        }
        Ok(replies)
    }

    /// The event of a record, or none where the record concerns the table alone.
    fn translate(&mut self, record: Record) -> Result<Option<(u16, Event)>, HostError> {
        Ok(Some(match record {
            Record::NewInstance { who, nonce, config } => {
                let Parsed { settings, left_at, limit_at, .. } =
                    parse_settings(&config).map_err(|error| HostError::Setting { who, error })?;
                let courier = Courier::new(settings, nonce);
                self.instances.insert(who, Instance { courier, left_at, limit_at });
                return Ok(None);
            }
            Record::Teardown { who } => {
                self.instances.remove(&who);
                return Ok(None);
            }
            Record::Sheet { slot, entries } => {
                let entries = entries.iter().map(endpoint).collect::<Result<_, _>>()?;
                self.sheets.insert(slot, entries);
                return Ok(None);
            }
            Record::Members { who, slot, kind, .. } => {
                let entries = || self.sheets.get(&slot).cloned().unwrap_or_default();
                let listing = match kind {
                    0 => Listing::Changes(entries()),
                    1 | 2 => Listing::Whole(entries()),
                    3 => Listing::Failed,
                    other => return Err(unknown("Kind", u32::from(other))),
                };
                (who, Event::Listed(listing))
            }
            Record::Accept { who, call, profile, dest, key, deadline, opts, owner, .. } => {
                let accepted = Accepted {
                    id: MessageId(call),
                    class: ClassId(profile),
                    destination: DestinationId(dest as u32),
                    key: (key != 0).then_some(OrderKey(key)),
                    deadline: Time(deadline),
                    from_dead_courier: opts & 16 != 0,
                    tenant: TenantId(owner),
                };
                (who, Event::Accept(accepted))
            }
            Record::ProbeDone { who, code, delay, endpoint, .. } => {
                let outcome = outcome(code, 0)?;
                let endpoint = EndpointId(endpoint);
                (who, Event::Probed { endpoint, outcome, latency: Duration::from_nanos(delay) })
            }
            Record::ClientGone { who, call } => (who, Event::ClientGone(MessageId(call))),
            Record::FirstByte { who, call, .. } => (who, Event::FirstByte(MessageId(call))),
            Record::Finished(record) => (record.who, self.finished(&record)?),
            Record::TickDue { who, cookie } => (who, Event::TickDue(cookie)),
            Record::NoteFrom { who, from, msg } => (who, Event::Note { from, text: msg }),
        }))
    }

    fn finished(&self, record: &FinishedRecord) -> Result<Event, HostError> {
        let instance = self.instances.get(&record.who);
        let value = |at: Option<usize>| at.and_then(|at| record.report.get(at)).map(|v| f64::from(*v));
        let left = value(instance.and_then(|i| i.left_at));
        let limit = value(instance.and_then(|i| i.limit_at));
        Ok(Event::Finished(Finished {
            message: MessageId(record.call),
            endpoint: EndpointId(record.endpoint),
            attempt: record.trial,
            outcome: outcome(record.code, record.detail)?,
            latency: Duration::from_nanos(record.delay),
            complete: record.complete,
            allowance: left.zip(limit).map(|(left, limit)| Allowance { left, limit }),
        }))
    }
}

/// Runs a step of the module; its panic becomes a reply with the text.
fn guarded(who: u16, replies: &mut Vec<Reply>, step: impl FnOnce()) {
    if let Err(cause) = catch_unwind(AssertUnwindSafe(step)) {
        let text = cause.downcast_ref::<&str>().map(|s| (*s).to_owned());
        let text = text.or_else(|| cause.downcast_ref::<String>().cloned());
        replies.push(Reply::Panic { who, words: text.unwrap_or_else(|| "panic without a text".to_owned()) });
    }
}

fn unknown(field: &'static str, value: u32) -> HostError {
    HostError::Wire(WireError::Value { at: 0, field, value })
}

fn outcome(code: u16, detail: u32) -> Result<Outcome, HostError> {
    Ok(match code {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Full((detail > 0).then(|| Duration::from_millis(u64::from(detail)))),
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::Moot,
        other => return Err(unknown("Code", u32::from(other))),
    })
}

fn endpoint(entry: &Entry) -> Result<Endpoint, HostError> {
    Ok(Endpoint {
        id: EndpointId(entry.endpoint),
        zone: ZoneId(entry.zone),
        kind: KindId(entry.kind),
        destination: DestinationId(entry.cell.into()),
        mode: match entry.mode {
            3 => Mode::Ready,
            1 => Mode::Draining,
            2 => Mode::Gone,
            other => return Err(unknown("Mode", u32::from(other))),
        },
        weight: f64::from(entry.weight),
    })
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// A time-out of zero means none on the wire, so the shortest one is a nanosecond.
fn reply(who: u16, action: Action) -> Reply {
    match action {
        // Nothing lies between a route and its sending on the simulator's wire.
        Action::Route { message, endpoint, try_for, send_by: _ } => {
            Reply::Route { who, call: message.0, endpoint: endpoint.0, try_for: nanos(try_for).max(1) }
        }
        Action::Busy { message, after } => Reply::Busy { who, call: message.0, stay_away: nanos(after) },
        Action::ReportFailure { message } => Reply::ReportFailure { who, call: message.0 },
        Action::StopAttempt { message, attempt } => {
            Reply::StopAttempt { who, call: message.0, trial: attempt }
        }
        Action::Wake { after, token } => Reply::After { who, after: nanos(after), cookie: token },
        Action::CloseIdle { endpoint } => Reply::CloseIdle { who, endpoint: endpoint.0 },
        Action::Probe { endpoint } => Reply::SoundOut { who, endpoint: endpoint.0 },
        Action::Tell { to, text } => Reply::Tell { who, peer: to.unwrap_or(u16::MAX), msg: text },
        Action::Log { text } => Reply::Log { who, words: text },
        Action::KeepInformed { active } => Reply::KeepInformed { who, active },
        Action::Refresh => Reply::Refresh { who },
    }
}
