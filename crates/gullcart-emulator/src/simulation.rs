//! The world in virtual time: partners with their endpoints, couriers, clients, and the events to come.

use crate::courier::Place;
use crate::events::{Endpoint, EndpointCall, PendingRequest, Scheduled, Sending};
use crate::outcome::EmulationError;
use crate::queue::Queue;
use cloverstile::{parse_settings_json, ParsedSettings};
use gullcart_judge::trace::{At, CallId, Entry, Event, MessageId as HandInId, PartnerId};
use gullcart_rehearsal::book::Book;
use gullcart_rehearsal::figures::{settings, spec};
use gullcart_rehearsal::{Counts, Day, Scenario};
use gullcart_standins::partner::Partner;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// One way over the network, and what may come on top of it.
const ONE_WAY: Duration = Duration::from_micros(80);
const JITTER_US: u64 = 120;
/// Times before a day begins: couriers start before it.
pub(crate) const LEAD: Duration = Duration::from_millis(200);
/// Remarks that a report keeps.
const MOST_REMARKS: usize = 20;
/// Sets what is drawn here apart from what else is drawn from the same seed.
const SEED_MIX: u64 = 0x656d_756c_6174_6500;

/// The world while a day is played.
pub(crate) struct World<'a> {
    pub scenario: &'a Scenario,
    pub seed: u64,
    pub day: Day,
    /// The trace as it is judged.
    pub book: Book,
    /// The time of the present event.
    pub now: At,
    /// Events to come.
    pub queue: Queue<Scheduled>,
    pub rng: fastrand::Rng,
    /// Partners, in the order of the scenario.
    pub partners: Vec<Partner>,
    /// Endpoints of each partner, with those that are gone.
    pub endpoints: Vec<Vec<Endpoint>>,
    /// The number of the next endpoint.
    pub next_endpoint: u32,
    /// Where each courier runs.
    pub places: Vec<Place>,
    /// The settings of every courier.
    pub parsed: ParsedSettings,
    /// By key: those that wait behind the one whose turn it is.
    pub turns: BTreeMap<u64, VecDeque<Sending>>,
    /// Clients that wait for an answer.
    pub waiting: BTreeMap<HandInId, PendingRequest>,
    /// Clients' messages that are on their way.
    pub busy: u64,
    /// Calls at endpoints.
    pub calls: BTreeMap<CallId, EndpointCall>,
    pub next_call: u64,
    pub next_serial: u64,
    /// What is counted for the report.
    pub counts: Counts,
    /// Remarks for the report.
    pub remarks: Vec<String>,
    /// The last message of the day was sent.
    pub arrived: bool,
    /// The last fault of the day was begun or ended.
    pub acted: bool,
    #[cfg(feature = "broken")]
    pub broken: Option<&'a str>,
    /// The sum of all trace lines.
    pub trace: crc32fast::Hasher,
    /// Trace lines.
    pub entries: u64,
}

impl<'a> World<'a> {
    /// The world at the beginning of a day: every endpoint listed, and no courier started.
    pub fn build(scenario: &'a Scenario, seed: u64) -> Result<Self, EmulationError> {
        let day = Day::draw(scenario, seed);
        let parsed = parse_settings_json(&settings(scenario, &day))?;
        let partner = |(place, partner): (usize, &_)| {
            let partner: &gullcart_rehearsal::Partner = partner;
            let own = seed.wrapping_mul(1009).wrapping_add(place as u64);
            Partner::new(spec(partner), partner.endpoints, own)
        };
        let disk = (scenario.couriers.disk_mb * 1e6) as u64;
        let mut world = World {
            scenario,
            seed,
            day,
            book: Book::new(scenario),
            now: At(0),
            queue: Queue::default(),
            rng: fastrand::Rng::with_seed(seed ^ SEED_MIX),
            partners: scenario.partners.iter().enumerate().map(partner).collect(),
            endpoints: Vec::new(),
            next_endpoint: 1,
            places: (0..scenario.couriers.count).map(|at| Place::new(disk, seed ^ at as u64)).collect(),
            parsed,
            turns: BTreeMap::new(),
            waiting: BTreeMap::new(),
            busy: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            next_serial: 0,
            counts: Counts::default(),
            remarks: Vec::new(),
            arrived: false,
            acted: false,
            #[cfg(feature = "broken")]
            broken: None,
            trace: crc32fast::Hasher::new(),
            entries: 0,
        };
        world.list_endpoints();
        Ok(world)
    }

    /// Puts up the endpoints of the scenario, and has every courier's agent list them.
    fn list_endpoints(&mut self) {
        for partner in 0..self.partners.len() {
            self.endpoints.push(Vec::new());
            for place in 0..self.scenario.partners[partner].endpoints {
                let standing = self.stand(partner, place, None);
                for courier in 0..self.places.len() {
                    let target = self.target(partner, &standing);
                    self.places[courier].agent.targets.insert(standing.id, target);
                }
                self.endpoints[partner].push(standing);
            }
        }
    }

    /// Writes an event to the trace, and has it judged.
    pub fn note(&mut self, event: Event) {
        let entry = Entry { at: self.now, event };
        self.trace.update(entry.to_string().as_bytes());
        self.entries += 1;
        self.book.hear(entry);
    }

    /// Keeps a remark for the report.
    pub fn remark(&mut self, text: String) {
        if self.remarks.len() < MOST_REMARKS {
            self.remarks.push(text);
        }
    }

    /// One way over the network, from now on.
    pub fn over_there(&mut self) -> At {
        self.now + ONE_WAY + Duration::from_micros(self.rng.u64(..JITTER_US))
    }

    /// The number of a partner on the wire.
    pub fn partner_id(partner: usize) -> PartnerId {
        PartnerId(partner as u32 + 1)
    }
}
