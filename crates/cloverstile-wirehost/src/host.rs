//! Table of courier instances. Translates wire records to events and actions to wire replies.

use crate::wire::{Entry, FinishedRecord, Record, Reply, WireError};
use cloverstile::*;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// Flag of an accept record: a courier that died held the message before.
const FROM_DEAD_COURIER: u8 = 16;

/// A courier, and the positions of the known values in load reports.
struct Instance {
    courier: Courier,
    remaining_share_index: Option<usize>,
    limit_index: Option<usize>,
}

/// All courier instances of this process, and the numbered endpoint lists that records refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    endpoint_lists: BTreeMap<u16, Vec<Endpoint>>,
}

/// Why a batch cannot be processed.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// An instance has invalid settings.
    #[error("instance {instance}: {error}")]
    Setting { instance: u16, error: SettingError },
    /// A record has an invalid value.
    #[error(transparent)]
    Wire(#[from] WireError),
}

impl Host {
    /// Passes the records of a batch to their instances, lets each affected instance decide once, and returns the replies.
    pub fn run(&mut self, clock: u64, records: Vec<Record>) -> Result<Vec<Reply>, HostError> {
        let now = Time(clock);
        let mut affected = Vec::new();
        let mut replies = Vec::new();
        for record in records {
            let Some((id, event)) = self.translate(record)? else {
                continue;
            };
            if let Some(instance) = self.instances.get_mut(&id) {
                if !affected.contains(&id) {
                    affected.push(id);
                }
                catch_panic(id, &mut replies, || instance.courier.handle(now, event));
            }
        }
        let mut actions = Vec::new();
        for id in affected {
            let Some(instance) = self.instances.get_mut(&id) else {
                continue;
            };
            catch_panic(id, &mut replies, || instance.courier.decide(now, &mut actions));
            replies.extend(actions.drain(..).map(|action| reply(id, action)));
        }
        Ok(replies)
    }

    /// The event of a record and its instance, or `None` if the record only changes the tables.
    fn translate(&mut self, record: Record) -> Result<Option<(u16, Event)>, HostError> {
        Ok(Some(match record {
            Record::NewInstance { instance, seed, settings } => {
                let ParsedSettings { settings, remaining_share_index, limit_index, .. } =
                    parse_settings(&settings).map_err(|error| HostError::Setting { instance, error })?;
                let courier = Courier::new(settings, seed);
                self.instances.insert(instance, Instance { courier, remaining_share_index, limit_index });
                return Ok(None);
            }
            Record::RemoveInstance { instance } => {
                self.instances.remove(&instance);
                return Ok(None);
            }
            Record::EndpointList { list_number, entries } => {
                let entries = entries.iter().map(endpoint).collect::<Result<_, _>>()?;
                self.endpoint_lists.insert(list_number, entries);
                return Ok(None);
            }
            Record::ListingChanged { instance, list_number, kind, .. } => {
                let list = || self.endpoint_lists.get(&list_number).cloned().unwrap_or_default();
                let listing = match kind {
                    0 => Listing::Changes(list()),
                    1 | 2 => Listing::Whole(list()),
                    3 => Listing::Failed,
                    other => return Err(unknown_value("Kind", u32::from(other))),
                };
                (instance, Event::Listed(listing))
            }
            Record::Accept {
                instance, message, class, destination, key, deadline, options, tenant, ..
            } => {
                let accepted = Accepted {
                    id: MessageId(message),
                    class: ClassId(class),
                    destination: DestinationId(destination as u32),
                    key: (key != 0).then_some(OrderKey(key)),
                    deadline: Time(deadline),
                    from_dead_courier: options & FROM_DEAD_COURIER != 0,
                    tenant: TenantId(tenant),
                };
                (instance, Event::Accept(accepted))
            }
            Record::Probed { instance, code, latency, endpoint, .. } => {
                let outcome = outcome(code, 0)?;
                let endpoint = EndpointId(endpoint);
                (instance, Event::Probed { endpoint, outcome, latency: Duration::from_nanos(latency) })
            }
            Record::ClientGone { instance, message } => (instance, Event::ClientGone(MessageId(message))),
            Record::FirstByte { instance, message, .. } => (instance, Event::FirstByte(MessageId(message))),
            Record::Finished(record) => (record.instance, self.finished(&record)?),
            Record::TimerExpired { instance, token } => (instance, Event::TimerExpired(token)),
            Record::Note { instance, from, text } => (instance, Event::Note { from, text }),
        }))
    }

    fn finished(&self, record: &FinishedRecord) -> Result<Event, HostError> {
        let instance = self.instances.get(&record.instance);
        let value =
            |index: Option<usize>| index.and_then(|index| record.report.get(index)).map(|v| f64::from(*v));
        let remaining_share = value(instance.and_then(|i| i.remaining_share_index));
        let limit = value(instance.and_then(|i| i.limit_index));
        Ok(Event::Finished(Finished {
            message: MessageId(record.message),
            endpoint: EndpointId(record.endpoint),
            attempt: record.attempt,
            outcome: outcome(record.code, record.detail)?,
            latency: Duration::from_nanos(record.latency),
            complete: record.complete,
            limit_report: remaining_share
                .zip(limit)
                .map(|(remaining_share, limit)| LimitReport { remaining_share, limit }),
        }))
    }
}

/// Runs a call into a courier. A panic becomes a reply with its message.
fn catch_panic(instance: u16, replies: &mut Vec<Reply>, step: impl FnOnce()) {
    if let Err(cause) = catch_unwind(AssertUnwindSafe(step)) {
        let text = cause.downcast_ref::<&str>().map(|s| (*s).to_owned());
        let text = text.or_else(|| cause.downcast_ref::<String>().cloned());
        replies
            .push(Reply::Panic { instance, text: text.unwrap_or_else(|| "panic without a text".to_owned()) });
    }
}

fn unknown_value(field: &'static str, value: u32) -> HostError {
    HostError::Wire(WireError::UnknownValue { at: 0, field, value })
}

fn outcome(code: u16, detail: u32) -> Result<Outcome, HostError> {
    Ok(match code {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Rejected((detail > 0).then(|| Duration::from_millis(u64::from(detail)))),
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        other => return Err(unknown_value("Code", u32::from(other))),
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
            other => return Err(unknown_value("Mode", u32::from(other))),
        },
        weight: f64::from(entry.weight),
    })
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// The wire record of an action. A timeout of zero would mean no timeout on the wire, so the minimum is a nanosecond.
fn reply(instance: u16, action: Action) -> Reply {
    match action {
        // The simulator sends a routed message at once, so `send_by` cannot be exceeded.
        Action::Route { message, endpoint, timeout, send_by: _ } => Reply::Route {
            instance,
            message: message.0,
            endpoint: endpoint.0,
            timeout: nanos(timeout).max(1),
        },
        Action::Return { message, retry_after } => {
            Reply::Return { instance, message: message.0, retry_after: nanos(retry_after) }
        }
        Action::ReportFailure { message } => Reply::ReportFailure { instance, message: message.0 },
        Action::CancelAttempt { message, attempt } => {
            Reply::CancelAttempt { instance, message: message.0, attempt }
        }
        Action::SetTimer { after, token } => Reply::SetTimer { instance, after: nanos(after), token },
        Action::CloseIdle { endpoint } => Reply::CloseIdle { instance, endpoint: endpoint.0 },
        Action::Probe { endpoint } => Reply::Probe { instance, endpoint: endpoint.0 },
        Action::SendNote { to, text } => Reply::SendNote { instance, peer: to.unwrap_or(u16::MAX), text },
        Action::Log { text } => Reply::Log { instance, text },
        Action::SubscribeListing { active } => Reply::SubscribeListing { instance, active },
        Action::RefreshListing => Reply::RefreshListing { instance },
    }
}
