//! The endpoints that discovery has listed, with numeric ids for the names that the list uses.

use cloverstile::{DestinationId, Endpoint, EndpointId, KindId, Listing, Mode, ParsedSettings, ZoneId};
use gullcart_message::{ListingUpdate, Target};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use tracing::warn;

/// The listed endpoints, and the numeric ids of the names that the list uses.
#[derive(Default, Serialize, Deserialize)]
pub struct Directory {
    /// Names of zones by their number.
    zone_names: Vec<String>,
    /// Names of kinds of machines by their number.
    kind_names: Vec<String>,
    /// How many of the zone names come from the settings. Their numbers are the same in every process.
    configured_zones: usize,
    /// The endpoint id that was given out last.
    last_id: u32,
    ids_by_uid: HashMap<String, EndpointId>,
    entries: BTreeMap<EndpointId, Entry>,
    /// Endpoints that are no longer listed but still have an entry. Derived from the entries.
    #[serde(skip)]
    gone: BTreeSet<EndpointId>,
    /// Endpoints that operators have suspended. Derived from the entries.
    #[serde(skip)]
    suspended: BTreeSet<EndpointId>,
}

/// What is known of one endpoint.
#[derive(Serialize, Deserialize)]
struct Entry {
    uid: String,
    zone: ZoneId,
    destination: DestinationId,
    address: Option<SocketAddr>,
    mode: Mode,
    /// Suspended by an operator.
    is_suspended: bool,
}

impl Directory {
    /// A directory without endpoints, with the names of zones and kinds from the settings.
    pub fn new(parsed: &ParsedSettings) -> Self {
        Directory {
            zone_names: parsed.zone_names.clone(),
            configured_zones: parsed.zone_names.len(),
            kind_names: parsed.kind_names.clone(),
            last_id: 0,
            ids_by_uid: HashMap::new(),
            entries: BTreeMap::new(),
            gone: BTreeSet::new(),
            suspended: BTreeSet::new(),
        }
    }

    /// A deserialized directory, with the derived fields computed.
    pub fn resumed(self) -> Self {
        let ids_where = |predicate: fn(&Entry) -> bool| {
            self.entries.iter().filter(|(_, entry)| predicate(entry)).map(|(id, _)| *id).collect()
        };
        let gone = ids_where(|entry| entry.mode == Mode::Gone);
        let suspended = ids_where(|entry| entry.is_suspended);
        Directory { gone, suspended, ..self }
    }

    /// The address of an endpoint, if it is known and the list gave a valid one.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.entries.get(&id).and_then(|entry| entry.address)
    }

    /// The address of any ready endpoint of another destination.
    #[cfg(feature = "broken")]
    pub fn address_of_other_destination(&self, id: EndpointId) -> Option<SocketAddr> {
        let own = self.destination(id)?;
        self.entries.values().find(|entry| entry.destination != own && entry.mode == Mode::Ready)?.address
    }

    /// The zone of an endpoint; zone 0 if the endpoint is unknown.
    pub fn zone(&self, id: EndpointId) -> ZoneId {
        self.entries.get(&id).map_or(ZoneId(0), |entry| entry.zone)
    }

    /// The zone with a number that an earlier process assigned. `None` if the settings do not define the zone: other zones are
    /// numbered in order of appearance, so this process may have given the number to another zone.
    pub fn configured_zone(&self, number: u8) -> Option<ZoneId> {
        (usize::from(number) < self.configured_zones).then_some(ZoneId(number)).and_then(ZoneId::known)
    }

    /// The destination of an endpoint.
    pub fn destination(&self, id: EndpointId) -> Option<DestinationId> {
        self.entries.get(&id).map(|entry| entry.destination)
    }

    /// The uid by which discovery lists an endpoint.
    pub fn uid(&self, id: EndpointId) -> Option<&str> {
        self.entries.get(&id).map(|entry| entry.uid.as_str())
    }

    /// The id of the endpoint with this uid.
    pub fn endpoint_id(&self, uid: &str) -> Option<EndpointId> {
        self.ids_by_uid.get(uid).copied()
    }

    /// Whether an endpoint may be given new work.
    pub fn is_open(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.mode == Mode::Ready && !entry.is_suspended)
    }

    /// Number of endpoints in the list.
    pub fn listed_count(&self) -> usize {
        self.entries.len() - self.gone.len()
    }

    /// Marks exactly the endpoints with these uids as suspended, and returns their ids.
    pub fn set_suspended(&mut self, uids: &BTreeSet<String>) -> Vec<EndpointId> {
        let listed = uids.iter().filter_map(|uid| self.endpoint_id(uid)).collect();
        let before = std::mem::replace(&mut self.suspended, listed);
        for id in before.union(&self.suspended) {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.is_suspended = self.suspended.contains(id);
            }
        }
        self.suspended.iter().copied().collect()
    }

    /// Whether an endpoint is no longer listed.
    pub fn is_gone(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.mode == Mode::Gone)
    }

    /// Removes the entries of endpoints that are no longer listed, unless they are still needed.
    pub fn remove_gone(&mut self, is_needed: impl Fn(EndpointId) -> bool) {
        let removed: Vec<EndpointId> = self.gone.iter().copied().filter(|id| !is_needed(*id)).collect();
        for id in removed {
            self.gone.remove(&id);
            self.suspended.remove(&id);
            if let Some(entry) = self.entries.remove(&id) {
                self.ids_by_uid.remove(&entry.uid);
            }
        }
    }

    /// Applies an update of the list and returns it with numeric ids.
    pub fn apply(&mut self, update: &ListingUpdate) -> Listing {
        if update.all {
            // Endpoints that a complete list does not contain are gone.
            self.entries.values_mut().for_each(|entry| entry.mode = Mode::Gone);
            self.gone = self.entries.keys().copied().collect();
        }
        let entries = update.targets.iter().map(|target| self.apply_target(target)).collect();
        if update.all {
            Listing::Whole(entries)
        } else {
            Listing::Changes(entries)
        }
    }

    /// Adds or updates the entry of one endpoint.
    fn apply_target(&mut self, target: &Target) -> Endpoint {
        let id = *self.ids_by_uid.entry(target.uid.clone()).or_insert_with(|| {
            self.last_id += 1;
            EndpointId(self.last_id)
        });
        let address = target.endpoint.parse().ok();
        if address.is_none() {
            warn!(uid = target.uid, endpoint = target.endpoint, "invalid address of an endpoint in the list");
        }
        let mode = match target.state.as_str() {
            "SERVING" if address.is_some() => Mode::Ready,
            "DELETED" => Mode::Gone,
            _ => Mode::Draining,
        };
        let zone = ZoneId(name_index(&mut self.zone_names, &target.az));
        let kind = KindId(name_index(&mut self.kind_names, &target.model).into());
        let (uid, destination) = (target.uid.clone(), DestinationId(target.pod_group));
        match mode {
            Mode::Gone => self.gone.insert(id),
            Mode::Ready | Mode::Draining => self.gone.remove(&id),
        };
        let is_suspended = self.entries.get(&id).is_some_and(|entry| entry.is_suspended);
        self.entries.insert(id, Entry { uid, zone, destination, address, mode, is_suspended });
        Endpoint { id, zone, kind, destination, mode, weight: target.capacity_hint }
    }
}

/// The index of a name. A name that is not in the settings is appended; once the indexes run out, all further names share the
/// last one.
fn name_index(names: &mut Vec<String>, name: &str) -> u8 {
    let index = names.iter().position(|known| known == name).unwrap_or_else(|| {
        if names.len() < usize::from(u8::MAX) {
            warn!(name, "the list uses a name of a zone or kind that is not in the settings");
            names.push(name.to_owned());
            return names.len() - 1;
        }
        names.len()
    });
    u8::try_from(index).unwrap_or(u8::MAX)
}

#[cfg(test)]
mod tests;
