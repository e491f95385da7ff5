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

/// What the model needs and nothing measures yet: the page says so in its place. A quantity that is measured has to leave
/// this list, and one that is on no list and in no record fails the page.
pub const NOT_MEASURED: &[Quantity] = &[];
