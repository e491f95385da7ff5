//! Each role at the target size: how many there are, what they hold, and what they do on an ordinary second, in the worst
//! burst of changes, and while a zone is lost and comes back.

use super::breaks::first_of;
use super::format::{figure, value, Unit};
use super::quantity as q;
use super::table::table;
use super::target::{self, assumed};
use super::workbook::{CapacityError, Figure, Workbook};

/// Whether a mechanism is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// In the daemon today.
    Built,
    /// In the code base, and not in the daemon.
    Begun,
    /// Not there.
    Missing,
    /// Replaced by a better one.
    Mended,
    /// A better one is not measured yet.
    BeingMended,
}

impl Standing {
    /// How the page says it.
    pub fn text(self) -> &'static str {
        match self {
            Standing::Built => "built",
            Standing::Begun => "begun, not in the daemon",
            Standing::Missing => "missing",
            Standing::Mended => "mended",
            Standing::BeingMended => "being mended",
        }
    }
}

/// A role of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// What of a courier serves clients and calls partners.
    Courier,
    /// What of a courier is control.
    CourierControl,
    /// A voter of the agreement on placement.
    Voter,
    /// The source of configuration and of the state of destinations.
    Source,
    /// A relay of a region.
    RegionRelay,
    /// A relay of a zone.
    ZoneRelay,
    /// The agent that a courier asks for the list of endpoints.
    DiscoveryAgent,
    /// A partner that serves.
    Partner,
    /// A partner that is down.
    FallenPartner,
    /// The tool with which an operator looks at all couriers.
    OperatorsTool,
}

/// The moments that the page works out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// An ordinary second.
    Ordinary,
    /// A second of the worst burst of changes.
    Burst,
    /// A zone is lost: the others take its part, and its couriers come back together.
    ZoneLost,
}

/// What one instance of a role does in a second, and what it holds.
pub struct Load {
    messages: Figure,
    bytes: Figure,
    processor: Figure,
    memory: Figure,
    disk: Figure,
}

/// All roles, as the page orders them.
pub const ROLES: [Role; 10] = [
    Role::Courier,
    Role::CourierControl,
    Role::Voter,
    Role::Source,
    Role::RegionRelay,
    Role::ZoneRelay,
    Role::DiscoveryAgent,
    Role::Partner,
    Role::FallenPartner,
    Role::OperatorsTool,
];

/// Voters of the agreement at the top, each in another region.
pub const VOTERS: f64 = 5.0;
/// Relays of each zone: one may be lost.
pub const RELAYS_OF_A_ZONE: f64 = 2.0;
/// A call for the list, with its head.
const LIST_CALL: f64 = 1.0;

const NOTHING: f64 = 0.0;

impl Role {
    fn name(self) -> &'static str {
        match self {
            Role::Courier => "courier: clients and calls",
            Role::CourierControl => "courier: control",
            Role::Voter => "group voter",
            Role::Source => "source of changes",
            Role::RegionRelay => "relay of a region",
            Role::ZoneRelay => "relay of a zone",
            Role::DiscoveryAgent => "discovery agent",
            Role::Partner => "partner that serves",
            Role::FallenPartner => "partner that is down",
            Role::OperatorsTool => "operator's tool",
        }
    }

    fn count(self) -> Option<f64> {
        match self {
            Role::Courier | Role::CourierControl => Some(target::COURIERS),
            Role::Voter => Some(VOTERS),
            Role::Source => Some(1.0),
            Role::RegionRelay => Some(target::REGIONS),
            Role::ZoneRelay => Some(RELAYS_OF_A_ZONE * target::ZONES),
            Role::DiscoveryAgent => Some(1.0),
            Role::Partner => Some(target::DESTINATIONS - target::destinations_down()),
            Role::FallenPartner => Some(target::destinations_down()),
            Role::OperatorsTool => None,
        }
    }

    fn holds(self) -> String {
        let count = |number: f64| value(number, Unit::Count);
        match self {
            Role::Courier => format!(
                "{} messages at the worst, {} destinations, {} endpoints",
                count(target::backlog_a_courier()),
                count(target::destinations_a_courier()),
                count(target::endpoints_a_courier()),
            ),
            Role::CourierControl => {
                "its scopes: settings, and the state of what it serves; one lease".to_owned()
            }
            Role::Voter => "placement: shards, their replica sets, epochs".to_owned(),
            Role::Source => "all settings, and the state of what is down; an epoch of its own".to_owned(),
            Role::RegionRelay => "the scopes that its zones want, one lease of the source".to_owned(),
            Role::ZoneRelay => format!(
                "the scopes of {} couriers, their leases and acknowledged positions",
                count(target::couriers_of_a_zone())
            ),
            Role::DiscoveryAgent => {
                format!("{} destinations, {} watches", count(target::DESTINATIONS), count(target::COURIERS))
            }
            Role::Partner | Role::FallenPartner => {
                format!("connections of {} couriers", count(target::replicas()))
            }
            Role::OperatorsTool => format!("nothing; one look is {} calls", count(target::COURIERS)),
        }
    }

    fn mechanism(self) -> (&'static str, Standing) {
        match self {
            Role::Courier => {
                ("engine and journal, each destination on a replica set of couriers", Standing::Missing)
            }
            Role::CourierControl => ("subscription by scope with lease, delta and digest", Standing::Begun),
            Role::Voter => ("quorum over one log (`gullcart-group`)", Standing::Built),
            Role::Source => {
                ("changes numbered by epoch and revision (`gullcart-distribution`)", Standing::Begun)
            }
            Role::RegionRelay | Role::ZoneRelay => {
                ("relays by region and zone (`gullcart-distribution`)", Standing::Begun)
            }
            Role::DiscoveryAgent => ("whole list and watch for each courier", Standing::Built),
            Role::Partner => ("idle connections bounded over all couriers by chance", Standing::Built),
            Role::FallenPartner => ("trials bounded over all couriers by chance", Standing::Built),
            Role::OperatorsTool => ("a call to each console", Standing::Built),
        }
    }

    fn load(self, moment: Moment, workbook: &mut Workbook) -> Result<Load, CapacityError> {
        match self {
            Role::Courier => courier(moment, workbook),
            Role::CourierControl => courier_control(moment, workbook),
            Role::Voter => voter(workbook),
            Role::Source => part(moment, &q::SOURCE_USUAL, &q::SOURCE_BURST, workbook),
            Role::RegionRelay => part(moment, &q::REGION_RELAY_USUAL, &q::REGION_RELAY_BURST, workbook),
            Role::ZoneRelay => zone_relay(moment, workbook),
            Role::DiscoveryAgent => discovery_agent(moment, workbook),
            Role::Partner => Ok(partner()),
            Role::FallenPartner => fallen_partner(workbook),
            Role::OperatorsTool => Ok(Load::open()),
        }
    }
}

impl Load {
    fn open() -> Load {
        let open = || Figure::Open;
        Load { messages: open(), bytes: open(), processor: open(), memory: open(), disk: open() }
    }
}

impl Moment {
    /// Messages that one courier holds: those of its aim on an ordinary second, the worst backlog while a zone is lost.
    fn backlog(self) -> f64 {
        match self {
            Moment::Ordinary | Moment::Burst => target::events_a_courier() * assumed::HELD_FOR_S,
            Moment::ZoneLost => target::backlog_a_courier() * self.share_of_events(),
        }
    }

    /// How much of its ordinary events a courier takes.
    fn share_of_events(self) -> f64 {
        match self {
            Moment::Ordinary | Moment::Burst => 1.0,
            Moment::ZoneLost => target::ZONES / (target::ZONES - 1.0),
        }
    }
}

fn courier(moment: Moment, workbook: &mut Workbook) -> Result<Load, CapacityError> {
    let events = target::events_a_courier() * moment.share_of_events();
    let delivery = workbook.latest(q::DELIVERY, target::endpoints_a_courier())?;
    let endpoints = workbook.latest(q::ENDPOINTS_MEMORY, target::endpoints_a_courier())?;
    let backlog = moment.backlog();
    let held = workbook.each(q::HELD_MEMORY, backlog)? * backlog;
    Ok(Load {
        messages: Figure::given(events),
        bytes: Figure::Open,
        processor: delivery * events,
        memory: endpoints + held,
        disk: workbook.latest(q::HELD_JOURNAL, backlog)?,
    })
}

/// The journal grows by each change that is taken in, in a day.
fn courier_control(moment: Moment, workbook: &mut Workbook) -> Result<Load, CapacityError> {
    let load = part(moment, &q::COURIER_USUAL, &q::COURIER_BURST, workbook)?;
    let change = workbook.latest(q::JOURNAL_OF_A_CHANGE, target::endpoints_a_courier())?;
    Ok(Load { disk: change * target::CHANGES_A_DAY, ..load })
}

/// While its zone comes back, a relay says as much as in the busiest second of that in virtual time.
fn zone_relay(moment: Moment, workbook: &mut Workbook) -> Result<Load, CapacityError> {
    let load = part(moment, &q::ZONE_RELAY_USUAL, &q::ZONE_RELAY_BURST, workbook)?;
    match moment {
        Moment::Ordinary | Moment::Burst => Ok(load),
        Moment::ZoneLost => Ok(Load { bytes: workbook.read_figure(q::VIRTUAL_ZONE_BACK_BYTES)?, ..load }),
    }
}

/// A part of the distribution.
fn part(
    moment: Moment,
    usual: &q::PartCost,
    burst: &q::PartCost,
    workbook: &mut Workbook,
) -> Result<Load, CapacityError> {
    let cost = match moment {
        Moment::Ordinary | Moment::ZoneLost => usual,
        Moment::Burst => burst,
    };
    Ok(Load {
        messages: workbook.at(cost.messages, target::COURIERS)?,
        bytes: workbook.at(cost.bytes, target::COURIERS)?,
        processor: workbook.at(cost.core, target::COURIERS)?,
        memory: workbook.at(cost.memory, target::COURIERS)?,
        disk: Figure::given(NOTHING),
    })
}

fn voter(workbook: &mut Workbook) -> Result<Load, CapacityError> {
    Ok(Load {
        messages: workbook.at(q::VOTERS_MESSAGES, VOTERS)? * (2.0 / VOTERS),
        bytes: workbook.at(q::VOTERS_BYTES, VOTERS)? * (2.0 / VOTERS),
        processor: workbook.at(q::GROUP_PROCESSOR, RELAYS_OF_A_ZONE * target::ZONES)?,
        memory: Figure::Open,
        disk: Figure::Open,
    })
}

fn discovery_agent(moment: Moment, workbook: &mut Workbook) -> Result<Load, CapacityError> {
    let calls = match moment {
        Moment::Ordinary | Moment::Burst => Figure::given(NOTHING),
        Moment::ZoneLost => workbook.at(q::FIRST_CALLS, target::couriers_of_a_zone())? * LIST_CALL,
    };
    let told = Figure::given(target::state_changes_a_second() * target::COURIERS);
    Ok(Load {
        messages: calls + told.clone(),
        bytes: told * assumed::BYTES_OF_A_STATE_CHANGE,
        processor: Figure::Open,
        memory: Figure::given(target::DESTINATIONS * assumed::BYTES_OF_A_DESTINATION),
        disk: Figure::given(NOTHING),
    })
}

fn partner() -> Load {
    Load { messages: Figure::given(target::EVENTS_A_SECOND / target::DESTINATIONS), ..Load::open() }
}

/// As it is today: all couriers have messages for it.
fn fallen_partner(workbook: &mut Workbook) -> Result<Load, CapacityError> {
    Ok(Load { messages: workbook.at(q::TRIALS, target::COURIERS)?, ..Load::open() })
}

/// The roles, with what carries each and the first limit that today's mechanism comes to.
pub fn roles(workbook: &mut Workbook) -> Result<String, CapacityError> {
    let mut rows = Vec::new();
    for role in ROLES {
        let (mechanism, standing) = role.mechanism();
        let count = role.count().map(|count| value(count, Unit::Count));
        rows.push([
            role.name().to_owned(),
            count.unwrap_or("one for each operator".to_owned()),
            role.holds(),
            mechanism.to_owned(),
            standing.text().to_owned(),
            first_of(role, workbook)?,
        ]);
    }
    let header = ["role", "how many", "state held", "mechanism", "standing", "today's breaks first at"];
    Ok(table(header, rows))
}

/// What one instance of each role does at a moment.
pub fn loads(moment: Moment, workbook: &mut Workbook) -> Result<String, CapacityError> {
    let mut rows = Vec::new();
    for role in ROLES {
        let load = role.load(moment, workbook)?;
        rows.push([
            role.name().to_owned(),
            figure(&load.messages, Unit::Rate),
            figure(&load.bytes, Unit::ByteRate),
            figure(&load.processor, Unit::Cores),
            figure(&load.memory, Unit::Bytes),
            figure(&load.disk, Unit::Bytes),
        ]);
    }
    Ok(table(["one of each role", "messages", "bytes", "processor", "memory", "disk"], rows))
}
