//! Numbers for the names of the list, and where each endpoint is found.

use cloverstile::{DestinationId, Endpoint, EndpointId, KindId, Listing, Mode, Parsed, ZoneId};
use gullcart_message::{Target, Update};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use tracing::warn;

/// Numbers for the names that the list uses, and where each endpoint is found.
#[derive(Default, Serialize, Deserialize)]
pub struct Directory {
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Names of zones that the settings hold: they mean the same in every process.
    configured_zones: usize,
    last_id: u32,
    ids_by_uid: HashMap<String, EndpointId>,
    entries: BTreeMap<EndpointId, Entry>,
    /// Entries that are gone and not forgotten yet. Follows from the entries, as the next one does.
    #[serde(skip)]
    gone: BTreeSet<EndpointId>,
    /// Entries that operators have taken out.
    #[serde(skip)]
    suspended: BTreeSet<EndpointId>,
}

#[derive(Serialize, Deserialize)]
struct Entry {
    uid: String,
    zone: ZoneId,
    destination: DestinationId,
    address: Option<SocketAddr>,
    mode: Mode,
    /// An operator has taken it out.
    is_suspended: bool,
}

impl Directory {
    pub fn new(parsed: &Parsed) -> Self {
        Directory {
            zones: parsed.zone_names.clone(),
            configured_zones: parsed.zone_names.len(),
            kinds: parsed.kind_names.clone(),
            last_id: 0,
            ids_by_uid: HashMap::new(),
            entries: BTreeMap::new(),
            gone: BTreeSet::new(),
            suspended: BTreeSet::new(),
        }
    }

    /// The directory of the process before, with what follows from its entries.
    pub fn resumed(self) -> Self {
        let which = |is: fn(&Entry) -> bool| {
            self.entries.iter().filter(|(_, entry)| is(entry)).map(|(id, _)| *id).collect()
        };
        let gone = which(|entry| entry.mode == Mode::Gone);
        let suspended = which(|entry| entry.is_suspended);
        Directory { gone, suspended, ..self }
    }

    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.entries.get(&id).and_then(|entry| entry.address)
    }

    /// The address of some endpoint of another destination.
    #[cfg(feature = "broken")]
    pub fn address_of_other_destination(&self, id: EndpointId) -> Option<SocketAddr> {
        let own = self.destination(id)?;
        self.entries.values().find(|entry| entry.destination != own && entry.mode == Mode::Ready)?.address
    }

    pub fn zone(&self, id: EndpointId) -> ZoneId {
        self.entries.get(&id).map_or(ZoneId(0), |entry| entry.zone)
    }

    /// A zone by the number that a process before this one gave it; none where this one may give it to another zone, as
    /// names that the settings do not hold are numbered as they come.
    pub fn configured_zone(&self, number: u8) -> Option<ZoneId> {
        (usize::from(number) < self.configured_zones).then_some(ZoneId(number)).and_then(ZoneId::known)
    }

    pub fn destination(&self, id: EndpointId) -> Option<DestinationId> {
        self.entries.get(&id).map(|entry| entry.destination)
    }

    pub fn uid(&self, id: EndpointId) -> Option<&str> {
        self.entries.get(&id).map(|entry| entry.uid.as_str())
    }

    pub fn endpoint_id(&self, uid: &str) -> Option<EndpointId> {
        self.ids_by_uid.get(uid).copied()
    }

    /// Whether an endpoint may be given new work.
    pub fn is_open(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.mode == Mode::Ready && !entry.is_suspended)
    }

    /// Endpoints in the list.
    pub fn listed_count(&self) -> usize {
        self.entries.len() - self.gone.len()
    }

    /// Marks the endpoints that operators have taken out, by uid, and names them.
    pub fn set_suspended(&mut self, out: &BTreeSet<String>) -> Vec<EndpointId> {
        let listed = out.iter().filter_map(|uid| self.endpoint_id(uid)).collect();
        let before = std::mem::replace(&mut self.suspended, listed);
        for id in before.union(&self.suspended) {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.is_suspended = self.suspended.contains(id);
            }
        }
        self.suspended.iter().copied().collect()
    }

    pub fn is_gone(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.mode == Mode::Gone)
    }

    /// Forgets the endpoints that are gone, but those that are still needed.
    pub fn forget_gone(&mut self, needed: impl Fn(EndpointId) -> bool) {
        let forgotten: Vec<EndpointId> = self.gone.iter().copied().filter(|id| !needed(*id)).collect();
        for id in forgotten {
            self.gone.remove(&id);
            self.suspended.remove(&id);
            if let Some(entry) = self.entries.remove(&id) {
                self.ids_by_uid.remove(&entry.uid);
            }
        }
    }

    /// Takes news of the list in and words them for the module.
    pub fn apply(&mut self, update: &Update) -> Listing {
        if update.all {
            // What a whole list does not name is gone.
            self.entries.values_mut().for_each(|entry| entry.mode = Mode::Gone);
            self.gone = self.entries.keys().copied().collect();
        }
        let entries = update.targets.iter().map(|target| self.entry(target)).collect();
        if update.all {
            Listing::Whole(entries)
        } else {
            Listing::Changes(entries)
        }
    }

    fn entry(&mut self, target: &Target) -> Endpoint {
        let id = *self.ids_by_uid.entry(target.uid.clone()).or_insert_with(|| {
            self.last_id += 1;
            EndpointId(self.last_id)
        });
        let address = target.endpoint.parse().ok();
        if address.is_none() {
            warn!(uid = target.uid, endpoint = target.endpoint, "an endpoint's address cannot be read");
        }
        let mode = match target.state.as_str() {
            "SERVING" if address.is_some() => Mode::Ready,
            "DELETED" => Mode::Gone,
            _ => Mode::Draining,
        };
        let zone = ZoneId(name_index(&mut self.zones, &target.az));
        let kind = KindId(name_index(&mut self.kinds, &target.model).into());
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

/// The place of a name in the settings; names that these do not hold come after them, and share the last place
/// when there are too many.
fn name_index(names: &mut Vec<String>, name: &str) -> u8 {
    let at = names.iter().position(|known| known == name).unwrap_or_else(|| {
        if names.len() < usize::from(u8::MAX) {
            warn!(name, "the list uses a name that the settings do not hold");
            names.push(name.to_owned());
            return names.len() - 1;
        }
        names.len()
    });
    u8::try_from(at).unwrap_or(u8::MAX)
}

#[cfg(test)]
mod tests;
