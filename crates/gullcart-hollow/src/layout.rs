//! The shape of a fleet: who is in which zone and region, who subscribes to what, and what the source hands out.

use crate::courier::target;
use gullcart_distribution::scope::{Key, Scope, TooLong, Value};
use gullcart_distribution::source::Edit;
use gullcart_message::Target;
use serde::{Deserialize, Serialize};
use std::ops::Range;
use thiserror::Error;

/// Shares of the destinations in one zone, unless it is said otherwise.
pub const SHARES_PER_ZONE: u32 = 180;
/// Shares that one courier serves.
const SHARES_PER_COURIER: u32 = 5;
/// Couriers that serve the same shares.
const COURIERS_PER_GROUP: u32 = 14;
/// Destinations of a share that have settings of their own: two percent of some 400.
const ENTRIES_PER_SHARE: u32 = 8;
/// Endpoints of a destination.
const ENDPOINTS_PER_ENTRY: u32 = 2;
/// Bytes of a setting that is not a destination's.
const SETTING_BYTES: usize = 64;

/// A courier's number in its fleet, from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CourierIndex(pub u32);

/// A zone's number, from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneIndex(pub u16);

/// A region's number, from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegionIndex(pub u16);

/// Why a fleet cannot have the shape that is asked for.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LayoutError {
    /// Something of it is not there at all.
    #[error("a fleet has at least one region, one zone in each, one courier and one share in each zone")]
    Empty,
}

/// The shape of a fleet. Couriers are numbered zone by zone, zones region by region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    couriers: u32,
    zones: u16,
    regions: u16,
    shares_per_zone: u32,
}

/// An entry that the source hands out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryIndex {
    /// Its scope.
    pub scope: Scope,
    /// Its number within the scope.
    pub number: u32,
}

/// What an entry of a destination holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoints(pub Vec<Target>);

impl Layout {
    /// A fleet of so many couriers in so many zones of so many regions.
    pub fn new(couriers: u32, zones: u16, regions: u16) -> Result<Self, LayoutError> {
        Self::with_shares(couriers, zones, regions, SHARES_PER_ZONE)
    }

    /// The same, with no more shares of the destinations in each zone than so many.
    pub fn with_shares(
        couriers: u32,
        zones: u16,
        regions: u16,
        most_shares: u32,
    ) -> Result<Self, LayoutError> {
        if regions == 0 || zones < regions || couriers < u32::from(zones) || most_shares == 0 {
            return Err(LayoutError::Empty);
        }
        let couriers_per_zone = couriers.div_ceil(u32::from(zones));
        let groups = couriers_per_zone.div_ceil(COURIERS_PER_GROUP);
        // Small fleets serve fewer shares, so that each share has its couriers.
        let shares_per_zone = most_shares.min(groups * SHARES_PER_COURIER);
        Ok(Layout { couriers, zones, regions, shares_per_zone })
    }

    /// How many couriers there are.
    pub fn couriers(&self) -> u32 {
        self.couriers
    }

    /// How many zones there are.
    pub fn zones(&self) -> u16 {
        self.zones
    }

    /// How many regions there are.
    pub fn regions(&self) -> u16 {
        self.regions
    }

    /// How many shares of the destinations a zone has.
    pub fn shares_per_zone(&self) -> u32 {
        self.shares_per_zone
    }

    /// The couriers of a zone.
    pub fn couriers_of(&self, zone: ZoneIndex) -> Range<u32> {
        let begin =
            |zone: u16| (u64::from(zone) * u64::from(self.couriers)).div_ceil(u64::from(self.zones)) as u32;
        begin(zone.0)..begin(zone.0 + 1)
    }

    /// The zone of a courier.
    pub fn zone_of(&self, courier: CourierIndex) -> ZoneIndex {
        let zone = u64::from(courier.0) * u64::from(self.zones) / u64::from(self.couriers);
        ZoneIndex(zone as u16)
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: ZoneIndex) -> RegionIndex {
        let region = u32::from(zone.0) * u32::from(self.regions) / u32::from(self.zones);
        RegionIndex(region as u16)
    }

    /// The zones whose relays a courier of a zone goes to: its own, and the neighbour that takes over.
    pub fn relays_for(&self, zone: ZoneIndex) -> Vec<ZoneIndex> {
        let region = self.region_of(zone);
        let all = (0..self.zones).map(ZoneIndex);
        let neighbours: Vec<ZoneIndex> = all.filter(|other| self.region_of(*other) == region).collect();
        let own = neighbours.iter().position(|other| *other == zone).unwrap_or_default();
        let next = neighbours[(own + 1) % neighbours.len()];
        if next == zone {
            vec![zone]
        } else {
            vec![zone, next]
        }
    }

    /// What a courier subscribes to.
    pub fn scopes_of(&self, courier: CourierIndex) -> Vec<Scope> {
        let zone = self.zone_of(courier);
        let settings = [Scope::Global, Scope::Region(self.region_of(zone).0), Scope::Zone(zone.0)];
        let shares = self.shares_of(courier).map(Scope::Destinations);
        settings.into_iter().chain(shares).chain([Scope::Courier(courier.0)]).collect()
    }

    /// Whether a courier subscribes to a scope.
    pub fn subscribes(&self, courier: CourierIndex, scope: Scope) -> bool {
        let zone = self.zone_of(courier);
        match scope {
            Scope::Global => true,
            Scope::Region(region) => region == self.region_of(zone).0,
            Scope::Zone(number) => number == zone.0,
            Scope::Destinations(share) => self.shares_of(courier).any(|own| own == share),
            Scope::Courier(own) => own == courier.0,
        }
    }

    /// The couriers that subscribe to a scope.
    pub fn subscribers_of(&self, scope: Scope) -> impl Iterator<Item = CourierIndex> + '_ {
        let candidates = match scope {
            Scope::Zone(zone) => self.couriers_of(ZoneIndex(zone)),
            Scope::Destinations(share) => self.couriers_of(ZoneIndex((share / self.shares_per_zone) as u16)),
            Scope::Courier(courier) => courier..courier + 1,
            Scope::Global | Scope::Region(_) => 0..self.couriers,
        };
        candidates.map(CourierIndex).filter(move |courier| self.subscribes(*courier, scope))
    }

    /// All scopes in which there is something.
    pub fn scopes(&self) -> Vec<Scope> {
        let regions = (0..self.regions).map(Scope::Region);
        let zones = (0..self.zones).map(Scope::Zone);
        let shares = (0..u32::from(self.zones) * self.shares_per_zone).map(Scope::Destinations);
        let couriers = (0..self.couriers).map(Scope::Courier);
        [Scope::Global].into_iter().chain(regions).chain(zones).chain(shares).chain(couriers).collect()
    }

    /// The entries of a scope.
    pub fn entries_of(&self, scope: Scope) -> impl Iterator<Item = EntryIndex> {
        let count = match scope {
            Scope::Destinations(_) => ENTRIES_PER_SHARE,
            _ => 1,
        };
        (0..count).map(move |number| EntryIndex { scope, number })
    }

    /// Endpoints that a courier is told of.
    pub fn endpoints_per_courier(&self) -> u32 {
        self.shares_per_zone.min(SHARES_PER_COURIER) * ENTRIES_PER_SHARE * ENDPOINTS_PER_ENTRY
    }

    fn shares_of(&self, courier: CourierIndex) -> impl Iterator<Item = u32> {
        let zone = self.zone_of(courier);
        let group = (courier.0 - self.couriers_of(zone).start) / COURIERS_PER_GROUP;
        let first = u32::from(zone.0) * self.shares_per_zone;
        let (count, shares) = (self.shares_per_zone.min(SHARES_PER_COURIER), self.shares_per_zone);
        (0..count).map(move |number| first + (group * SHARES_PER_COURIER + number) % shares)
    }
}

/// Why an entry cannot be written.
#[derive(Debug, Error)]
pub enum EntryError {
    /// It is longer than the distribution allows.
    #[error(transparent)]
    TooLong(#[from] TooLong),
    /// It cannot be encoded.
    #[error("an entry cannot be encoded: {0}")]
    Encoding(#[from] postcard::Error),
}

impl EntryIndex {
    /// Sets the entry, for the `version`-th time. Each version has other content than the one before.
    pub fn edit(&self, version: u32) -> Result<Edit, EntryError> {
        let value = match self.scope {
            Scope::Destinations(share) => postcard::to_stdvec(&self.endpoints(share, version))?,
            _ => (0..SETTING_BYTES as u32).map(|place| (place + version) as u8).collect(),
        };
        let key = Key::new(format!("entry-{}", self.number))?;
        Ok(Edit { scope: self.scope, key, value: Some(Value::new(value)?) })
    }

    fn endpoints(&self, share: u32, version: u32) -> Endpoints {
        let destination = share * ENTRIES_PER_SHARE + self.number;
        let endpoint = |place: u32| {
            let is_serving = place > 0 || version.is_multiple_of(2);
            target(format!("endpoint-{destination}-{place}"), destination, is_serving)
        };
        Endpoints((0..ENDPOINTS_PER_ENTRY).map(endpoint).collect())
    }
}
