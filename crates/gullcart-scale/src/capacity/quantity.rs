//! The measured quantities that the model needs, each by its record and its name there.

/// A quantity of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Quantity {
    /// The record, by the name of its file.
    pub record: &'static str,
    /// The quantity within it.
    pub name: &'static str,
}

impl Quantity {
    /// The same quantity of the daemon as it was released before the capacity page.
    pub fn before(self) -> Option<Quantity> {
        let pair = BEFORE.iter().find(|(now, _)| *now == self.record)?;
        Some(Quantity { record: pair.1, name: self.name })
    }
}

/// Records of the daemon now, and as it was released before the capacity page.
const BEFORE: [(&str, &str); 5] = [
    ("endpoints", "endpoints-before"),
    ("held", "held-before"),
    ("changes", "changes-before"),
    ("restart", "restart-before"),
    ("waiting", "waiting-before"),
];

const fn of(record: &'static str, name: &'static str) -> Quantity {
    Quantity { record, name }
}

/// Calls for the list of one second of an outage of discovery, at the most, over all couriers.
pub const LIST_CALLS: Quantity = of("couriers-lists", "calls a second in an outage of discovery");
/// Time until the last courier has the list again.
pub const LIST_DELAY: Quantity = of("couriers-lists", "longest time until the last has the list");
/// Calls for the list in the worst second of a common start.
pub const FIRST_CALLS: Quantity = of("couriers-lists", "calls in the worst second of a common start");
/// Idle connections at one endpoint, over all couriers, in the mean.
pub const IDLE_CONNECTIONS: Quantity = of("couriers-idle", "idle connections at an endpoint, mean");
/// ... and at the most.
pub const IDLE_PEAK: Quantity = of("couriers-idle", "idle connections at an endpoint, most");
/// Trial calls a second at a partner that is down, over all couriers that have messages for it.
pub const TRIALS: Quantity = of("couriers-trials", "trial calls a second at a partner that is down");
/// Calls of the worst moment of a partner's return, as a part of those that it survives.
pub const RETURN_CALLS: Quantity =
    of("couriers-trials", "most calls of a return, of what the partner survives");
/// Time from a return until the middle one of the couriers has delivered.
pub const RETURN_MIDDLE: Quantity =
    of("couriers-trials", "time from a return until the middle courier has delivered");
/// ... and until the last one has.
pub const RETURN_LAST: Quantity =
    of("couriers-trials", "time from a return until the last courier has delivered");
/// Messages a second where each member wants the duty of one fallen partner.
pub const GROUP_MESSAGES: Quantity = of("couriers-group", "messages a second where all want one duty");
/// ... and their bytes.
pub const GROUP_BYTES: Quantity = of("couriers-group", "bytes a second where all want one duty");

/// Processor time of the voter that computes most, where each member wants the duty of one fallen partner.
pub const GROUP_PROCESSOR: Quantity =
    of("couriers-group", "processor time of a voter where all want one duty");
/// Bytes a second among the voters of a group in which nothing is wanted, by voters.
pub const VOTERS_BYTES: Quantity = of("couriers-group", "bytes a second by voters");
/// ... and messages.
pub const VOTERS_MESSAGES: Quantity = of("couriers-group", "messages a second by voters");
/// Bytes a second of a group by the duties that are held in it.
pub const DUTIES_BYTES: Quantity = of("couriers-group", "bytes a second by duties");
/// ... and processor time of the voter that computes most.
pub const DUTIES_PROCESSOR: Quantity = of("couriers-group", "processor time of a voter by duties");

/// Resident memory of a daemon by endpoints, as released before the capacity page.
pub const ENDPOINTS_MEMORY_BEFORE: Quantity = of("endpoints-before", "resident memory");
/// ... and now.
pub const ENDPOINTS_MEMORY: Quantity = of("endpoints", "resident memory");
/// Processor time of one message, taken and delivered, by endpoints.
pub const DELIVERY: Quantity = of("endpoints", "message taken and delivered");
/// Processor time of a second in which nothing happens, by endpoints.
pub const IDLE_SECOND: Quantity = of("endpoints", "idle second");
/// Processor time of a change of one endpoint, by endpoints.
pub const ENDPOINT_CHANGE: Quantity = of("changes", "change of one endpoint");
/// Processor time of a whole list, by endpoints.
pub const WHOLE_LIST: Quantity = of("changes", "whole list with all changed");
/// Bytes that a change of one endpoint adds to the journal.
pub const JOURNAL_OF_A_CHANGE: Quantity = of("changes", "journal bytes of a change of one endpoint");
/// Resident memory by messages held.
pub const HELD_MEMORY: Quantity = of("held", "resident memory");
/// The journal by messages held.
pub const HELD_JOURNAL: Quantity = of("held", "journal");
/// Time from the start of a process to its readiness, by messages held.
pub const REPLAY: Quantity = of("held", "time to replay");
/// Processor time of a message that is taken on, by messages held.
pub const HELD_TAKE: Quantity = of("held", "message taken");
/// Processor time of a turn of the loop, by messages held.
pub const HELD_TURN: Quantity = of("held", "turn");
/// The same of the daemon as it was released before the capacity page: memory ...
pub const HELD_MEMORY_BEFORE: Quantity = of("held-before", "resident memory");
/// ... the journal ...
pub const HELD_JOURNAL_BEFORE: Quantity = of("held-before", "journal");
/// ... the time from a start to readiness ...
pub const REPLAY_BEFORE: Quantity = of("held-before", "time to replay");
/// ... a message that is taken on ...
pub const HELD_TAKE_BEFORE: Quantity = of("held-before", "message taken");
/// ... and a turn.
pub const HELD_TURN_BEFORE: Quantity = of("held-before", "turn");
/// Memory of a store of settings and states, by the destinations that it holds.
pub const STORE_MEMORY: Quantity = of("hollow-destinations", "store/memory");
/// Time in which no client is served while a setting changes by a restart, by messages held.
pub const RESTART: Quantity = of("restart", "time without service");

/// The record of hollow couriers by their number, over sockets of one machine.
const HOLLOW: &str = "hollow-slope";
/// The record of faults among hollow couriers at the full size.
const HOLLOW_FAULTS: &str = "hollow-11000-faults";
/// The record of a fleet of the full size in virtual time, where nothing fails.
const VIRTUAL: &str = "distribution-virtual-steady";
/// ... and of faults there.
const VIRTUAL_FAULTS: &str = "distribution-virtual-disturbed";
/// Processor time of a turn of the loop, by the destinations that have messages waiting.
pub const WAITING_TURN: Quantity = of("waiting", "turn");
/// ... as it was released before the capacity page.
pub const WAITING_TURN_BEFORE: Quantity = of("waiting-before", "turn");
/// What each part of the distribution takes in a phase, by couriers.
pub struct PartCost {
    /// Messages a second, both ways.
    pub messages: Quantity,
    /// Bytes a second, both ways.
    pub bytes: Quantity,
    /// Part of a core.
    pub core: Quantity,
    /// Resident memory.
    pub memory: Quantity,
}

/// A courier where changes come at the usual rate.
pub const COURIER_USUAL: PartCost = PartCost {
    messages: of(HOLLOW, "usual/courier_messages_per_second"),
    bytes: of(HOLLOW, "usual/courier_bytes_per_second"),
    core: of(HOLLOW, "usual/courier_core_share"),
    memory: of(HOLLOW, "usual/courier_resident"),
};
/// ... and in the burst.
pub const COURIER_BURST: PartCost = PartCost {
    messages: of(HOLLOW, "burst/courier_messages_per_second"),
    bytes: of(HOLLOW, "burst/courier_bytes_per_second"),
    core: of(HOLLOW, "burst/courier_core_share"),
    memory: of(HOLLOW, "burst/courier_resident"),
};
/// A relay of a zone where changes come at the usual rate.
pub const ZONE_RELAY_USUAL: PartCost = PartCost {
    messages: of(HOLLOW, "usual/zone_relay_messages_per_second"),
    bytes: of(HOLLOW, "usual/zone_relay_bytes_per_second"),
    core: of(HOLLOW, "usual/zone_relay_core_share"),
    memory: of(HOLLOW, "usual/zone_relay_resident"),
};
/// ... and in the burst.
pub const ZONE_RELAY_BURST: PartCost = PartCost {
    messages: of(HOLLOW, "burst/zone_relay_messages_per_second"),
    bytes: of(HOLLOW, "burst/zone_relay_bytes_per_second"),
    core: of(HOLLOW, "burst/zone_relay_core_share"),
    memory: of(HOLLOW, "burst/zone_relay_resident"),
};
/// A relay of a region where changes come at the usual rate.
pub const REGION_RELAY_USUAL: PartCost = PartCost {
    messages: of(HOLLOW, "usual/region_relay_messages_per_second"),
    bytes: of(HOLLOW, "usual/region_relay_bytes_per_second"),
    core: of(HOLLOW, "usual/region_relay_core_share"),
    memory: of(HOLLOW, "usual/region_relay_resident"),
};
/// ... and in the burst.
pub const REGION_RELAY_BURST: PartCost = PartCost {
    messages: of(HOLLOW, "burst/region_relay_messages_per_second"),
    bytes: of(HOLLOW, "burst/region_relay_bytes_per_second"),
    core: of(HOLLOW, "burst/region_relay_core_share"),
    memory: of(HOLLOW, "burst/region_relay_resident"),
};
/// The source where changes come at the usual rate.
pub const SOURCE_USUAL: PartCost = PartCost {
    messages: of(HOLLOW, "usual/source_messages_per_second"),
    bytes: of(HOLLOW, "usual/source_bytes_per_second"),
    core: of(HOLLOW, "usual/source_core_share"),
    memory: of(HOLLOW, "usual/source_resident"),
};
/// ... and in the burst.
pub const SOURCE_BURST: PartCost = PartCost {
    messages: of(HOLLOW, "burst/source_messages_per_second"),
    bytes: of(HOLLOW, "burst/source_bytes_per_second"),
    core: of(HOLLOW, "burst/source_core_share"),
    memory: of(HOLLOW, "burst/source_resident"),
};
/// Time until a change of the usual rate was in force at all couriers, at the worst.
pub const IN_FORCE_USUAL: Quantity = of(HOLLOW, "usual/in_force_everywhere_worst");
/// ... and one of the burst.
pub const IN_FORCE_BURST: Quantity = of(HOLLOW, "burst/in_force_everywhere_worst");
/// Time until the source knew that a change of the burst was in force, at the worst.
pub const KNOWN_BURST: Quantity = of(HOLLOW, "burst/in_force_known_worst");
/// What a fault among hollow couriers at the full size was like.
pub struct FaultCost {
    /// Until all couriers were current again after its end.
    pub back: Quantity,
    /// The worst change meanwhile: until it was in force everywhere.
    pub in_force: Quantity,
}

/// A courier is lost and returns.
pub const LOST_COURIER: FaultCost = FaultCost {
    back: of(HOLLOW_FAULTS, "lost_courier/all_current_after_end"),
    in_force: of(HOLLOW_FAULTS, "lost_courier/in_force_everywhere_worst"),
};
/// A rack is lost and returns.
pub const LOST_RACK: FaultCost = FaultCost {
    back: of(HOLLOW_FAULTS, "lost_rack/all_current_after_end"),
    in_force: of(HOLLOW_FAULTS, "lost_rack/in_force_everywhere_worst"),
};
/// A zone is lost and returns.
pub const LOST_ZONE: FaultCost = FaultCost {
    back: of(HOLLOW_FAULTS, "lost_zone/all_current_after_end"),
    in_force: of(HOLLOW_FAULTS, "lost_zone/in_force_everywhere_worst"),
};
/// A relay of a zone is lost, and others take its couriers in.
pub const LOST_RELAY: FaultCost = FaultCost {
    back: of(HOLLOW_FAULTS, "lost_relay/all_current_after_loss"),
    in_force: of(HOLLOW_FAULTS, "lost_relay/in_force_everywhere_worst"),
};
/// All regions are cut off from the source.
pub const CUT_REGIONS: FaultCost = FaultCost {
    back: of(HOLLOW_FAULTS, "cut_tier/all_current_after_end"),
    in_force: of(HOLLOW_FAULTS, "cut_tier/in_force_everywhere_worst"),
};
/// Most bytes that a zone's relay heard and said in a second as its couriers came back, in virtual time.
pub const VIRTUAL_ZONE_BACK_BYTES: Quantity = of(
    VIRTUAL_FAULTS,
    "zone-returns/traffic_sent_and_received/zone_relays/bytes_in_the_busiest_second_of_any",
);
/// ... a region's relay, where two regions were cut off.
pub const VIRTUAL_REGIONS_BACK_BYTES: Quantity = of(
    VIRTUAL_FAULTS,
    "two-regions-cut/traffic_sent_and_received/region_relays/bytes_in_the_busiest_second_of_any",
);
/// Most bytes that one courier heard and said in a second of the burst, in virtual time.
pub const VIRTUAL_BURST_BYTES: Quantity =
    of(VIRTUAL_FAULTS, "burst/traffic_sent_and_received/couriers/bytes_in_the_busiest_second_of_any");
/// ... and a zone's relay.
pub const VIRTUAL_BURST_RELAY_BYTES: Quantity =
    of(VIRTUAL_FAULTS, "burst/traffic_sent_and_received/zone_relays/bytes_in_the_busiest_second_of_any");
/// The worst change of the burst, in virtual time.
pub const VIRTUAL_BURST_IN_FORCE: Quantity = of(VIRTUAL_FAULTS, "burst/in_force_micros/worst");
/// The worst change of the burst in another run over sockets: until it was in force everywhere ...
pub const IN_FORCE_BURST_AGAIN: Quantity = of("hollow-11000", "burst/in_force_everywhere_worst");
/// ... and until the source knew of it.
pub const KNOWN_BURST_AGAIN: Quantity = of("hollow-11000", "burst/in_force_known_worst");
/// Bytes a second of a courier where destinations fall and return as well, in virtual time.
pub const VIRTUAL_STATES_BYTES: Quantity =
    of(VIRTUAL, "endpoints/traffic_sent_and_received/couriers/bytes_per_second_mean");
/// The worst change of an ordinary time, with the latencies of networks, in virtual time.
pub const VIRTUAL_IN_FORCE: Quantity = of(VIRTUAL, "ordinary/in_force_micros/worst");
/// ... and where destinations fall and return as well.
pub const VIRTUAL_STATES_IN_FORCE: Quantity = of(VIRTUAL, "endpoints/in_force_micros/worst");

/// What the model needs and nothing measures yet: the page says so in its place. A quantity that is measured has to leave
/// this list, and one that is on no list and in no record fails the page.
pub const NOT_MEASURED: &[Quantity] = &[];
