//! The measured quantities that the model needs, each by its record and its name there.

/// A quantity of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Quantity {
    /// The record, by the name of its file.
    pub record: &'static str,
    /// The quantity within it.
    pub name: &'static str,
}

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
/// Messages a second among voters and members where nobody wants a duty.
pub const GROUP_QUIET: Quantity = of("couriers-group", "messages a second where nothing is wanted");
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
pub const WHOLE_LIST: Quantity = of("changes", "whole list");
/// Bytes that a change of one endpoint adds to the journal.
pub const JOURNAL_OF_A_CHANGE: Quantity = of("changes", "journal bytes of a change of one endpoint");
/// Resident memory by messages held.
pub const HELD_MEMORY: Quantity = of("held", "resident memory");
/// The journal by messages held.
pub const HELD_JOURNAL: Quantity = of("held", "journal");
/// Time from the start of a process to its readiness, by messages held.
pub const REPLAY: Quantity = of("held", "time to replay");
/// Processor time of a turn of the loop, by messages held, as released before the capacity page.
pub const HELD_TURN_BEFORE: Quantity = of("held-before", "turn");
/// ... and now.
pub const HELD_TURN: Quantity = of("held", "turn");
/// Time in which no client is served while a setting changes by a restart, by messages held.
pub const RESTART: Quantity = of("restart", "time without service");

/// What the model needs and nothing measures yet: the page says so in its place. A quantity that is measured has to leave
/// this list, and one that is on no list and in no record fails the page.
pub const NOT_MEASURED: &[Quantity] = &[
    ENDPOINTS_MEMORY_BEFORE,
    ENDPOINTS_MEMORY,
    DELIVERY,
    IDLE_SECOND,
    ENDPOINT_CHANGE,
    WHOLE_LIST,
    JOURNAL_OF_A_CHANGE,
    HELD_MEMORY,
    HELD_JOURNAL,
    REPLAY,
    HELD_TURN_BEFORE,
    HELD_TURN,
    RESTART,
];
