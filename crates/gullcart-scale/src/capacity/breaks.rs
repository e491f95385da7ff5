//! The mechanisms, ordered by the size at which each breaks, as a part of the size that is asked for.

use super::format::{figure, value, Unit};
use super::quantity::{self as q, Quantity};
use super::roles::{Role, Standing};
use super::table::table;
use super::target::{self, assumed};
use super::workbook::{CapacityError, Figure, Workbook};
use cloverstile::DestinationId;
use gullcart_engine::ASSUMED_KNOWN_AFTER;
use gullcart_group::message::MAX_WATCHED_DUTIES;
use gullcart_group::table::{MAX_DUTIES, MAX_MEMBERS};
use std::mem::size_of;

/// Processors of the daemon's loop.
const CORES: f64 = 1.0;
/// Memory that a courier's list of endpoints may take: what it may spend on control.
const LIST_MEMORY: f64 = target::CONTROL_MEMORY;
/// Time without service that a change may cost.
const LONGEST_GAP_S: f64 = 1.0;
/// Connections are worth keeping where at least this part of calls finds one.
const LEAST_REUSE: f64 = 0.5;
const BITS_OF_A_BYTE: i32 = 8;
/// Members of the group whose bytes by duties were measured.
const MEASURED_MEMBERS: f64 = 100.0;
/// ... and members that want each duty there.
const MEASURED_WISHES: f64 = 3.0;
/// A partner that comes back is pushed over by more calls than it survives.
const SURVIVED: f64 = 1.0;

/// A limit of a mechanism.
struct Break {
    mechanism: String,
    limit: String,
    counts: &'static str,
    /// Where it is met.
    at: Figure,
    /// What the target asks for.
    target: f64,
    standing: Standing,
    /// Whose mechanism it is.
    role: Role,
}

impl Break {
    /// The size at which it breaks, as a part of what is asked for.
    fn share(&self) -> Option<f64> {
        self.at.value().map(|at| at / self.target)
    }

    fn row(self) -> [String; 7] {
        let share = self.share().map_or("not measured".to_owned(), |share| value(share, Unit::Share));
        [
            self.mechanism,
            self.limit,
            self.counts.to_owned(),
            figure(&self.at, Unit::Count),
            value(self.target, Unit::Count),
            share,
            self.standing.text().to_owned(),
        ]
    }
}

/// The table, the first to break first.
pub fn breaks(workbook: &mut Workbook) -> Result<String, CapacityError> {
    let all = in_order(workbook)?;
    let header = ["mechanism", "limit", "size counts", "breaks at", "target", "of the target", "standing"];
    Ok(table(header, all.into_iter().map(Break::row).collect()))
}

/// The first limit that a role's mechanisms of today come to, as text.
pub fn first_of(role: Role, workbook: &mut Workbook) -> Result<String, CapacityError> {
    let all = in_order(workbook)?;
    let is_first = |of: &&Break| of.role == role && of.standing != Standing::Mended;
    let first = all.iter().find(is_first);
    Ok(first.map_or("none known".to_owned(), |of| {
        format!("{} {}: {}", figure(&of.at, Unit::Count), of.counts, of.limit)
    }))
}

fn in_order(workbook: &mut Workbook) -> Result<Vec<Break>, CapacityError> {
    let mut all = of_one_courier(workbook)?;
    all.extend(of_all_couriers(workbook)?);
    all.extend(of_the_group(workbook)?);
    all.push(no_distribution());
    all.sort_by(|left, right| order(left).total_cmp(&order(right)));
    Ok(all)
}

fn order(of: &Break) -> f64 {
    of.share().unwrap_or(f64::MAX)
}

/// A mechanism that is mended, by its measurements before and after.
struct Mend {
    mechanism: &'static str,
    before: Quantity,
    now: Quantity,
    /// What the quantity may come to, and how the page says it.
    most: f64,
    limit: String,
    counts: &'static str,
    target: f64,
}

impl Mend {
    /// What it was, and what it is where that is measured.
    fn breaks(self, workbook: &mut Workbook) -> Result<Vec<Break>, CapacityError> {
        let is_measured = workbook.measurement(self.now).is_some();
        let standing = if is_measured { Standing::Mended } else { Standing::BeingMended };
        let at = workbook.size_at(self.before, self.most)?;
        let mut all = vec![self.row(format!("{}, before its mend", self.mechanism), at, standing)];
        let at = workbook.size_at(self.now, self.most)?;
        if is_measured {
            all.push(self.row(self.mechanism.to_owned(), at, Standing::Built));
        }
        Ok(all)
    }

    fn row(&self, mechanism: String, at: Figure, standing: Standing) -> Break {
        Break {
            mechanism,
            role: Role::Courier,
            limit: self.limit.clone(),
            counts: self.counts,
            at,
            target: self.target,
            standing,
        }
    }
}

fn mends() -> [Mend; 3] {
    let events = target::events_a_courier();
    let busy = format!("{} for {}", value(CORES, Unit::Cores), value(events, Unit::Rate));
    [
        Mend {
            mechanism: "walk of the queue as a message is taken on",
            before: q::HELD_TAKE_BEFORE,
            now: q::HELD_TAKE,
            most: CORES / events,
            limit: busy.clone(),
            counts: "messages held by a courier",
            target: target::backlog_a_courier(),
        },
        Mend {
            mechanism: "walk of the waiting destinations on each turn",
            before: q::WAITING_TURN_BEFORE,
            now: q::WAITING_TURN,
            most: CORES / events,
            limit: busy,
            counts: "destinations with messages waiting, without scopes",
            target: target::destinations_down(),
        },
        Mend {
            mechanism: "list of endpoints in memory",
            before: q::ENDPOINTS_MEMORY_BEFORE,
            now: q::ENDPOINTS_MEMORY,
            most: LIST_MEMORY,
            limit: value(LIST_MEMORY, Unit::Bytes),
            counts: "endpoints known to a courier, without scopes",
            target: target::DESTINATIONS * assumed::ENDPOINTS_OF_A_DESTINATION,
        },
    ]
}

fn of_one_courier(workbook: &mut Workbook) -> Result<Vec<Break>, CapacityError> {
    let mut all = numbers_of_destinations();
    for mend in mends() {
        all.extend(mend.breaks(workbook)?);
    }
    all.push(Break {
        mechanism: "a setting changes by a restart".to_owned(),
        role: Role::Courier,
        limit: format!("{} without service", value(LONGEST_GAP_S, Unit::Seconds)),
        counts: "messages held by a courier",
        at: workbook.size_at_latest(q::RESTART, LONGEST_GAP_S)?,
        target: target::backlog_a_courier(),
        standing: Standing::Built,
    });
    Ok(all)
}

/// By their width in the decisions; what they were before, where they are wider now.
fn numbers_of_destinations() -> Vec<Break> {
    let numbers = |mechanism: &str, bytes: usize, standing: Standing| Break {
        mechanism: mechanism.to_owned(),
        role: Role::Courier,
        limit: format!("{bytes} bytes"),
        counts: "destinations",
        at: Figure::given(2_f64.powi(bytes as i32 * BITS_OF_A_BYTE)),
        target: target::DESTINATIONS,
        standing,
    };
    let (before, now) = (size_of::<u16>(), size_of::<DestinationId>());
    let mut all = vec![numbers("numbers of destinations", now, Standing::Built)];
    if now > before {
        all.push(numbers("numbers of destinations, before they were widened", before, Standing::Mended));
    }
    all
}

fn of_all_couriers(workbook: &mut Workbook) -> Result<Vec<Break>, CapacityError> {
    let within = target::IN_FORCE_WITHIN.as_secs_f64();
    Ok(vec![
        Break {
            mechanism: "each courier tries a fallen partner by itself".to_owned(),
            role: Role::FallenPartner,
            limit: format!("a trial of each courier within {}", value(within, Unit::Seconds)),
            counts: "couriers that have messages for one partner",
            at: workbook.at(q::TRIALS, target::COURIERS)? * within,
            target: target::COURIERS,
            standing: Standing::Built,
        },
        Break {
            mechanism: "slow start at a partner that is back, by each courier for itself".to_owned(),
            role: Role::FallenPartner,
            limit: "more calls than it survives".to_owned(),
            counts: "couriers that have messages for one partner",
            at: workbook.size_at(q::RETURN_CALLS, SURVIVED)?,
            target: target::COURIERS,
            standing: Standing::Built,
        },
        Break {
            mechanism: "idle connections bounded over all couriers".to_owned(),
            role: Role::Partner,
            limit: format!("{} of calls find an open connection", value(LEAST_REUSE, Unit::Share)),
            counts: "couriers that call one partner",
            at: workbook.at(q::IDLE_CONNECTIONS, target::COURIERS)? * (1.0 / LEAST_REUSE),
            target: target::COURIERS,
            standing: Standing::Built,
        },
        Break {
            mechanism: "calls for the list, spread by chance".to_owned(),
            role: Role::DiscoveryAgent,
            limit: format!(
                "{} until the last courier has it",
                value(ASSUMED_KNOWN_AFTER.as_secs_f64(), Unit::Seconds)
            ),
            counts: "couriers",
            at: workbook.size_at(q::LIST_DELAY, ASSUMED_KNOWN_AFTER.as_secs_f64())?,
            target: target::COURIERS,
            standing: Standing::Built,
        },
    ])
}

fn of_the_group(workbook: &mut Workbook) -> Result<Vec<Break>, CapacityError> {
    let of_all = target::CONTROL_NETWORK * MEASURED_MEMBERS;
    let duties = value(MAX_DUTIES as f64, Unit::Count);
    Ok(vec![
        Break {
            mechanism: "one group of all couriers".to_owned(),
            role: Role::Voter,
            limit: format!("{} members", value(MAX_MEMBERS as f64, Unit::Count)),
            counts: "couriers",
            at: Figure::given(MAX_MEMBERS as f64),
            target: target::COURIERS,
            standing: Standing::Built,
        },
        Break {
            mechanism: "one log for all duties".to_owned(),
            role: Role::Voter,
            limit: format!("{duties} duties"),
            counts: "partners that are down",
            at: Figure::given(MAX_DUTIES as f64),
            target: target::destinations_down(),
            standing: Standing::Built,
        },
        Break {
            mechanism: "wishes of one member, without scopes".to_owned(),
            role: Role::Voter,
            limit: format!("{} duties", value(MAX_WATCHED_DUTIES as f64, Unit::Count)),
            counts: "partners that are down",
            at: Figure::given(MAX_WATCHED_DUTIES as f64),
            target: target::destinations_down(),
            standing: Standing::Built,
        },
        Break {
            mechanism: "processor time of a voter".to_owned(),
            role: Role::Voter,
            limit: format!("{} at a voter", value(CORES, Unit::Cores)),
            counts: "partners that are down",
            at: workbook.size_at(q::DUTIES_PROCESSOR, CORES)?,
            target: target::destinations_down(),
            standing: Standing::Built,
        },
        Break {
            mechanism: "each heartbeat names all wishes".to_owned(),
            role: Role::Voter,
            limit: format!(
                "{} a member, {} members, {} of them for each duty",
                value(target::CONTROL_NETWORK, Unit::ByteRate),
                value(MEASURED_MEMBERS, Unit::Count),
                value(MEASURED_WISHES, Unit::Count)
            ),
            counts: "partners that are down",
            at: workbook.size_at(q::DUTIES_BYTES, of_all)?,
            target: target::destinations_down(),
            standing: Standing::Built,
        },
    ])
}

fn no_distribution() -> Break {
    Break {
        mechanism: "distribution of configuration by scope, today".to_owned(),
        role: Role::CourierControl,
        limit: format!("in force within {}", value(target::IN_FORCE_WITHIN.as_secs_f64(), Unit::Seconds)),
        counts: "couriers",
        at: Figure::given(0.0),
        target: target::COURIERS,
        standing: Standing::Begun,
    }
}
