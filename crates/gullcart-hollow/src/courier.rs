//! The part of a hollow courier that acts on what it is told: a real engine on a journal in memory, without messages.

use cloverstile::{parse_settings_json, ParsedSettings, Time};
use gullcart_engine::{Engine, EngineConfig, Input, PROCESS_START};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{Journal, JournalError, Options};
use gullcart_message::{ListingUpdate, Target};
use serde_json::json;
use std::time::{Duration, Instant};
use thiserror::Error;

/// The room of a courier's journal. It holds the list of endpoints, and no messages.
const JOURNAL_BYTES: u64 = 256 << 10;
/// Wall time at the start of each courier, in Unix milliseconds. Without messages it is told to nobody.
const START_MS: u64 = 1_790_000_000_000;
/// The name of the only kind of endpoint.
const KIND: &str = "partner";
/// The name of the only zone of endpoints.
const ZONE: &str = "zone";
/// The state of an endpoint that takes messages.
const SERVING: &str = "SERVING";
/// The state of an endpoint that is taken out of service.
const DRAINING: &str = "DRAINING";

/// Why a courier cannot run.
#[derive(Debug, Error)]
pub enum CourierError {
    /// Its settings cannot be read.
    #[error("the settings of the hollow couriers: {0}")]
    Settings(String),
    /// Its journal cannot be kept.
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// Settings that all hollow couriers share.
#[derive(Clone)]
pub struct CourierSettings(ParsedSettings);

impl CourierSettings {
    /// The settings of a fleet of so many couriers.
    pub fn for_fleet(couriers: u32) -> Result<Self, CourierError> {
        let second = 1_000_000_000_u64;
        let class = json!({
            "Name": "notice", "Effect": "idempotency_key", "Group": "all", "RepeatWindow": 10 * second,
            "OneAtATime": true, "Worth": 1.0, "LateShare": 0.5, "Aim": 3 * second, "Deadline": 24 * second,
        });
        let settings = json!({
            "Balancers": couriers, "Lanes": [class], "MachineTypes": [KIND], "Zones": [ZONE],
            "WeightSource": "nominal",
            "FamilyInfo": {"CallsOut": 8, "KindBatch": [1], "OwnLimits": [false]},
            "Permissions": {"MostHeld": 60, "SendCap": 8, "Cancel": true, "ConnIdle": 15 * second,
                "ConnectTimeout": second},
            "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Fall": 2 * second},
        });
        let parsed = parse_settings_json(&settings);
        parsed.map(CourierSettings).map_err(|error| CourierError::Settings(error.to_string()))
    }
}

/// An endpoint as a courier's engine is told of it.
pub fn target(uid: String, destination: u32, is_serving: bool) -> Target {
    Target {
        uid,
        // Nothing is ever sent there.
        endpoint: "127.0.0.1:9".to_owned(),
        az: ZONE.to_owned(),
        model: KIND.to_owned(),
        pod_group: destination,
        state: if is_serving { SERVING } else { DRAINING }.to_owned(),
        capacity_hint: 20.0,
    }
}

/// A courier's engine with its clock.
pub struct HollowEngine {
    engine: Engine<Disk>,
    started: Instant,
}

impl HollowEngine {
    /// An engine that knows no endpoints yet.
    pub fn new(settings: &CourierSettings, seed: u64) -> Result<Self, CourierError> {
        let disk = Disk::new(JOURNAL_BYTES, Crash::Process, seed);
        let journal = Journal::replay(disk, JOURNAL_BYTES, Options::default(), seed | 1)?;
        let start = EngineConfig {
            parsed_settings: settings.0.clone(),
            seed,
            initial_list: ListingUpdate::default(),
            now: PROCESS_START,
            start_unix_ms: START_MS,
            settings_checksum: 0,
        };
        Ok(HollowEngine { engine: Engine::new(start, journal), started: Instant::now() })
    }

    /// Takes news of the list in. It is in force when this returns.
    pub fn apply(&mut self, update: ListingUpdate) -> Result<(), CourierError> {
        let now = self.time();
        self.engine.handle(now, Input::ListUpdate(update));
        self.turn()
    }

    /// Ends a turn of the engine. Without messages its effects concern nobody.
    pub fn turn(&mut self) -> Result<(), CourierError> {
        self.engine.turn(self.time())?;
        Ok(())
    }

    /// How long from now the next turn is due at the latest; none if only news makes one due.
    pub fn next_turn(&self) -> Option<Duration> {
        let wake = self.engine.next_wake()?;
        let now = self.time();
        Some(if wake > now { wake - now } else { Duration::ZERO })
    }

    /// Endpoints that the engine knows.
    pub fn endpoints(&self) -> usize {
        self.engine.metrics(self.time()).endpoints_known
    }

    fn time(&self) -> Time {
        PROCESS_START + self.started.elapsed()
    }
}
