//! What stands around the couriers: endpoints, the list, their configuration.

use super::*;
use gullcart_standins::register::Target;
use serde_json::{json, Value};

impl World {
    /// A new endpoint at new addresses.
    pub(super) fn endpoint(&self, partner: usize, place: usize) -> io::Result<Standing> {
        let endpoint = self.new_endpoint(partner, place);
        let doors: io::Result<Vec<EndpointListener>> = (0..self.places.len())
            .map(|courier| EndpointListener::open(&self.site, CourierId(courier as u16), endpoint.clone()))
            .collect();
        Ok(Standing { endpoint, doors: Rc::new(doors?), state: Cell::new(EndpointState::Serving) })
    }

    pub(super) fn new_endpoint(&self, partner: usize, place: usize) -> Rc<Endpoint> {
        let id = EndpointId(self.next_endpoint.get());
        self.next_endpoint.set(id.0 + 1);
        let reports = self.scenario.partners[partner].reports;
        let model = self.partners[partner].clone();
        Rc::new(Endpoint::new(id, partner_id(partner), model, place, reports))
    }

    pub(super) fn target(&self, courier: usize, partner: usize, standing: &Standing) -> Target {
        let spec = &self.scenario.partners[partner];
        Target {
            endpoint: standing.endpoint.id,
            partner: partner_id(partner),
            address: standing.doors[courier].address(),
            kind: spec.kind.clone(),
            zone: ZONE.to_owned(),
            weight: self.partners[partner].borrow().spec().limit.per_second(),
            state: standing.state.get(),
        }
    }

    pub(super) fn list(&self, courier: usize) -> Vec<Target> {
        let endpoints = self.endpoints.borrow();
        let of = |(partner, all): (usize, &Vec<Standing>)| {
            all.iter().map(|standing| self.target(courier, partner, standing)).collect::<Vec<_>>()
        };
        endpoints.iter().enumerate().flat_map(of).collect()
    }

    pub(super) fn configure(&self, courier: usize) -> io::Result<PathBuf> {
        let place = &self.places[courier];
        let agent = place.agent.borrow();
        let agent = agent.as_ref().ok_or_else(|| io::Error::other("the register's agent is moving"))?;
        let known: Value = serde_json::from_str(&agent.known_list())?;
        let limits = &self.scenario.couriers;
        let seed = self.rng.borrow_mut().u64(..);
        // An upgrade needs a console; else there is none.
        let has_upgrades = self.scenario.faults.iter().any(|fault| fault.kind == FaultKind::Upgrade);
        let console = has_upgrades.then_some("127.0.0.1:0");
        let config = json!({
            "name": format!("n{courier}"), "listen": "127.0.0.1:0", "discovery": agent.address().to_string(),
            "console": console,
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets, "disk_mb": limits.disk_mb},
            "known": known, "settings": settings(&self.scenario, &self.day),
        });
        let (new, path) = (place.folder.join("config.new"), place.folder.join("config.json"));
        std::fs::write(&new, config.to_string())?;
        std::fs::rename(new, &path)?;
        Ok(path)
    }
}
