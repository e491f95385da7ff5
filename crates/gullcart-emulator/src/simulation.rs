//! The state of the simulation: partners with their endpoints, couriers, clients, and the queue of events.

use crate::courier::Courier;
use crate::events::{Endpoint, EndpointCall, PendingRequest, ScheduledEvent, Submission};
use crate::outcome::EmulationError;
use crate::queue::EventQueue;
use cloverstile::{parse_settings_json, ParsedSettings};
use gullcart_judge::trace::{CallId, Entry, Event, MessageId as RequestId, PartnerId, Timestamp};
use gullcart_rehearsal::book::Book;
use gullcart_rehearsal::figures::{settings, spec};
use gullcart_rehearsal::{Day, Scenario};
use gullcart_standins::partner::Partner;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Minimum one-way delay of the network.
const MIN_NETWORK_DELAY: Duration = Duration::from_micros(80);
/// A random delay below this is added to each one-way delay.
const NETWORK_JITTER_US: u64 = 120;
/// Offset of all scheduled messages and faults, so that the couriers are ready before the first one.
pub(crate) const STARTUP_OFFSET: Duration = Duration::from_millis(200);
/// Maximum number of remarks in a report.
const MAX_REMARKS: usize = 20;
/// Makes the simulation's own random draws independent of those of the plan and of the partners, which use the same seed.
const SEED_MIX: u64 = 0x656d_756c_6174_6500;

/// Factor of the run's seed in the seed of a partner's model, the same as in a rehearsal with real processes.
const PARTNER_SEED_FACTOR: u64 = 1009;

/// The state of a run.
pub(crate) struct Simulation<'a> {
    /// The scenario that is run.
    pub scenario: &'a Scenario,
    /// The seed of all random draws.
    pub seed: u64,
    /// The messages and fault actions of the run, drawn from the seed.
    pub plan: Day,
    /// The judge's and the clients' view of the run, updated from the trace.
    pub book: Book,
    /// Time of the current event.
    pub now: Timestamp,
    /// Events to come.
    pub queue: EventQueue<ScheduledEvent>,
    /// Random draws of network delays, couriers, retry delays and faults.
    pub rng: fastrand::Rng,
    /// Models of the partners, in the order of the scenario.
    pub partners: Vec<Partner>,
    /// The endpoints of each partner, including those that are gone.
    pub endpoints: Vec<Vec<Endpoint>>,
    /// Id of the next endpoint that is created.
    pub next_endpoint_id: u32,
    /// Couriers, running or not.
    pub couriers: Vec<Courier>,
    /// The settings of every courier.
    pub parsed_settings: ParsedSettings,
    /// Submissions by order key that wait until an earlier one with the same key has its answer. A key is present, with an empty
    /// queue if no other one waits, while one of its messages is being enqueued.
    pub waiting_by_key: BTreeMap<u64, VecDeque<Submission>>,
    /// Enqueue requests without an answer.
    pub pending_requests: BTreeMap<RequestId, PendingRequest>,
    /// Number of submissions that are not completed: scheduled, waiting for their order key or pending.
    pub open_submissions: u64,
    /// Calls that endpoints have received and not completed yet.
    pub endpoint_calls: BTreeMap<CallId, EndpointCall>,
    /// Number of calls that endpoints have received, and id of the latest of them.
    pub calls_received: u64,
    /// Serial number of the latest call of any courier.
    pub last_serial: u64,
    /// Number of calls that endpoints have rejected.
    pub calls_rejected: u64,
    /// Number of connections that couriers have opened to endpoints.
    pub connections_opened: u64,
    /// Remarks for the report.
    pub remarks: Vec<String>,
    /// The last scheduled message was submitted.
    pub all_messages_sent: bool,
    /// The last scheduled fault action was applied.
    pub all_faults_applied: bool,
    /// Name of the fault that is injected into every courier.
    #[cfg(feature = "broken")]
    pub injected_fault: Option<&'a str>,
    /// Checksum of all trace lines.
    pub trace_checksum: crc32fast::Hasher,
    /// Number of trace lines.
    pub trace_lines: u64,
}

impl<'a> Simulation<'a> {
    /// The state at the start of a run: every endpoint is listed, and no courier is running.
    pub fn new(scenario: &'a Scenario, seed: u64) -> Result<Self, EmulationError> {
        let plan = Day::draw(scenario, seed);
        let parsed_settings = parse_settings_json(&settings(scenario, &plan))?;
        let partner = |(index, partner): (usize, &_)| {
            let partner: &gullcart_rehearsal::Partner = partner;
            let partner_seed = seed.wrapping_mul(PARTNER_SEED_FACTOR).wrapping_add(index as u64);
            Partner::new(spec(partner), partner.endpoints, partner_seed)
        };
        let disk_bytes = (scenario.couriers.disk_mb * 1e6) as u64;
        let courier = |index| Courier::new(disk_bytes, seed ^ index as u64);
        let mut simulation = Simulation {
            scenario,
            seed,
            plan,
            book: Book::new(scenario),
            now: Timestamp(0),
            queue: EventQueue::default(),
            rng: fastrand::Rng::with_seed(seed ^ SEED_MIX),
            partners: scenario.partners.iter().enumerate().map(partner).collect(),
            endpoints: Vec::new(),
            next_endpoint_id: 1,
            couriers: (0..scenario.couriers.count).map(courier).collect(),
            parsed_settings,
            waiting_by_key: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            open_submissions: 0,
            endpoint_calls: BTreeMap::new(),
            calls_received: 0,
            last_serial: 0,
            calls_rejected: 0,
            connections_opened: 0,
            remarks: Vec::new(),
            all_messages_sent: false,
            all_faults_applied: false,
            #[cfg(feature = "broken")]
            injected_fault: None,
            trace_checksum: crc32fast::Hasher::new(),
            trace_lines: 0,
        };
        simulation.add_initial_endpoints();
        Ok(simulation)
    }

    /// Adds the endpoints of the scenario, and lists them at the register's agent of every courier.
    fn add_initial_endpoints(&mut self) {
        for partner in 0..self.partners.len() {
            self.endpoints.push(Vec::new());
            for model_index in 0..self.scenario.partners[partner].endpoints {
                let endpoint = self.new_endpoint(model_index, None);
                for courier in 0..self.couriers.len() {
                    let target = self.listed_target(partner, &endpoint);
                    self.couriers[courier].agent.targets.insert(endpoint.id, target);
                }
                self.endpoints[partner].push(endpoint);
            }
        }
    }

    /// Writes an event to the trace and passes it to the judge.
    pub fn record(&mut self, event: Event) {
        let entry = Entry { at: self.now, event };
        self.trace_checksum.update(entry.to_string().as_bytes());
        self.trace_lines += 1;
        self.book.hear(entry);
    }

    /// Adds a remark to the report.
    pub fn add_remark(&mut self, text: String) {
        if self.remarks.len() < MAX_REMARKS {
            self.remarks.push(text);
        }
    }

    /// Draws when something that is sent now arrives at the other side.
    pub fn draw_arrival_time(&mut self) -> Timestamp {
        self.now + MIN_NETWORK_DELAY + Duration::from_micros(self.rng.u64(..NETWORK_JITTER_US))
    }

    /// The number of a partner on the wire.
    pub fn partner_id(partner: usize) -> PartnerId {
        PartnerId(partner as u32 + 1)
    }
}
