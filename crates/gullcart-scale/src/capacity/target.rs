//! The size that the operators ask to design for, and what the model has to assume beside it.

use std::time::Duration;

/// Couriers.
pub const COURIERS: f64 = 11_000.0;
/// Events that all couriers take in a second.
pub const EVENTS_A_SECOND: f64 = 5.9e6;
/// Destinations.
pub const DESTINATIONS: f64 = 1.6e6;
/// Part of the destinations that is down at any time.
pub const SHARE_DOWN: f64 = 0.02;
/// Events that wait at the worst, over all couriers.
pub const BACKLOG: f64 = 36e9;
/// Regions.
pub const REGIONS: f64 = 11.0;
/// Zones.
pub const ZONES: f64 = 23.0;
/// Changes of configuration in a day.
pub const CHANGES_A_DAY: f64 = 23_000.0;
/// Within this a change is in force everywhere.
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
/// Machines that fail on an ordinary day.
pub const FAILURES_A_DAY: f64 = 14.0;
/// Couriers that are restarted or replaced in a day.
pub const RESTARTS_A_DAY: f64 = 970.0;

/// What a courier may spend on control, as a part of a core.
pub const CONTROL_CORE: f64 = 0.046;
/// ... of memory, in bytes.
pub const CONTROL_MEMORY: f64 = 64e6;
/// ... on the network, in bytes a second.
pub const CONTROL_NETWORK: f64 = 11e3;
/// Machines that are set aside for control.
pub const CONTROL_MACHINES: f64 = 20.0;

/// What the letter does not say. Each is shown on the page as assumed.
pub mod assumed {
    /// Shards of the destinations in each zone.
    pub const SHARDS_OF_A_ZONE: f64 = 180.0;
    /// Shards that a courier serves.
    pub const SHARDS_OF_A_COURIER: f64 = 5.0;
    /// Endpoints of a destination.
    pub const ENDPOINTS_OF_A_DESTINATION: f64 = 2.0;
    /// How long a message is held in the mean where nothing is wrong, in seconds.
    pub const HELD_FOR_S: f64 = 3.0;
    /// Changes of configuration within one second at the worst.
    pub const BURST_CHANGES: f64 = 1_000.0;
    /// How long a destination is down in the mean, in seconds: with those that are down, it tells how often one falls.
    pub const OUTAGE_S: f64 = 1_800.0;
    /// Bytes that a courier keeps of a destination at the least: a number, a state, an epoch and a place among others.
    pub const BYTES_OF_A_DESTINATION: f64 = 40.0;
    /// Bytes of a change of a destination's state on its way: a number, a state and a version.
    pub const BYTES_OF_A_STATE_CHANGE: f64 = 24.0;
    /// Bytes of a setting that changes.
    pub const BYTES_OF_A_CHANGE: f64 = 256.0;
    /// Couriers of a rack.
    pub const RACK: f64 = 40.0;
    /// For how long two regions lose each other, in seconds.
    pub const REGIONS_APART_S: f64 = 300.0;
}

/// Seconds of a day.
pub const DAY_S: f64 = 86_400.0;

/// Events that one courier takes in a second.
pub fn events_a_courier() -> f64 {
    EVENTS_A_SECOND / COURIERS
}

/// Events that wait at one courier at the worst.
pub fn backlog_a_courier() -> f64 {
    BACKLOG / COURIERS
}

/// Destinations that are down at any time.
pub fn destinations_down() -> f64 {
    DESTINATIONS * SHARE_DOWN
}

/// Shards of the destinations.
pub fn shards() -> f64 {
    assumed::SHARDS_OF_A_ZONE * ZONES
}

/// Destinations of a shard.
pub fn destinations_a_shard() -> f64 {
    DESTINATIONS / shards()
}

/// Couriers that serve a shard: its replica set.
pub fn replicas() -> f64 {
    COURIERS * assumed::SHARDS_OF_A_COURIER / shards()
}

/// Destinations that one courier serves.
pub fn destinations_a_courier() -> f64 {
    destinations_a_shard() * assumed::SHARDS_OF_A_COURIER
}

/// Endpoints that one courier knows.
pub fn endpoints_a_courier() -> f64 {
    destinations_a_courier() * assumed::ENDPOINTS_OF_A_DESTINATION
}

/// Changes of configuration in a second, in the mean.
pub fn changes_a_second() -> f64 {
    CHANGES_A_DAY / DAY_S
}

/// Destinations that fall or come back in a second.
pub fn state_changes_a_second() -> f64 {
    2.0 * destinations_down() / assumed::OUTAGE_S
}

/// Couriers of a zone.
pub fn couriers_of_a_zone() -> f64 {
    (COURIERS / ZONES).ceil()
}

/// Couriers of a region.
pub fn couriers_of_a_region() -> f64 {
    COURIERS / REGIONS
}
