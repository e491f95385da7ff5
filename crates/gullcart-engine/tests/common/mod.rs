//! An engine on a simulated folder, with the destinations 0 to 3, which have two endpoints each.
#![allow(dead_code)]

use bytes::Bytes;
use cloverstile::{parse_settings_json, Time};
use gullcart_engine::{Engine, EngineConfig, Enqueue};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{Durability, Journal, Options};
use gullcart_message::{ListingUpdate, Target};
use serde_json::json;
use std::time::Duration;

/// Size of the simulated folder in bytes.
pub const DISK: u64 = 256 << 10;
/// Unix time of `PROCESS_START` in milliseconds.
pub const START_UNIX_MS: u64 = 1_790_000_000_000;

/// The list's entry of endpoint `s-<number>`, which listens on port 1000 + `number`.
pub fn target(number: u32, state: &str) -> Target {
    Target {
        uid: format!("s-{number}"),
        endpoint: format!("127.0.0.1:{}", 1000 + number),
        az: "kingston".to_owned(),
        model: "banks".to_owned(),
        pod_group: number / 2,
        state: state.to_owned(),
        capacity_hint: 20.0,
    }
}

/// The journal's options that make its records survive this kind of crash.
pub fn options(crash: Crash) -> Options {
    let durability = match crash {
        Crash::Process => Durability::Process,
        Crash::Machine => Durability::Machine,
    };
    Options { durability, segment_bytes: None }
}

/// Replays the journal on `disk`.
pub fn journal(disk: &Disk, crash: Crash) -> Journal<Disk> {
    Journal::replay(disk.clone(), DISK, options(crash), 7).unwrap()
}

/// An engine with what the journal on `disk` holds.
pub fn engine(disk: &Disk, crash: Crash, now: Time) -> Engine<Disk> {
    Engine::new(config(now), journal(disk, crash))
}

/// Settings with the ordered class `notice`, whose messages have an idempotency key, and the unordered class `salary`, whose
/// messages must not be sent twice.
pub fn config(now: Time) -> EngineConfig {
    let class = |name: &str, effect: &str, is_ordered: bool| {
        json!({
            "Name": name, "Effect": effect, "Group": "all", "RepeatWindow": 10_000_000_000_u64, "OneAtATime": is_ordered,
            "Worth": 1.0, "LateShare": 0.5, "Aim": 3_000_000_000_u64, "Deadline": 24_000_000_000_u64,
        })
    };
    let settings = json!({
        "Balancers": 1, "Lanes": [class("notice", "idempotency_key", true), class("salary", "non_idempotent", false)],
        "MachineTypes": ["banks"], "Zones": ["kingston"], "WeightSource": "nominal",
        "FamilyInfo": {"CallsOut": 8, "KindBatch": [1], "OwnLimits": [false]},
        "Permissions": {"MostHeld": 60, "SendCap": 8, "Cancel": true, "ConnIdle": 15_000_000_000_u64,
            "ConnectTimeout": 1_000_000_000_u64},
        "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Fall": 2_000_000_000_u64},
    });
    let targets = (0..8).map(|number| target(number, "SERVING")).collect();
    EngineConfig {
        parsed_settings: parse_settings_json(&settings).unwrap(),
        seed: 7,
        initial_list: ListingUpdate { rev: 1, all: true, targets },
        now,
        start_unix_ms: START_UNIX_MS,
        settings_checksum: 1,
        #[cfg(feature = "broken")]
        fault_injector: Default::default(),
    }
}

/// An enqueue request for message `m<number>`.
pub fn enqueue(number: u64, class: &str, destination: u32) -> Enqueue {
    Enqueue {
        id: format!("m{number}"),
        order_key: if class == "notice" { 1 + number % 3 } else { 0 },
        class: class.to_owned(),
        destination,
        time_left: Duration::from_secs(20),
        idempotency_key: (class == "notice").then(|| format!("k{number}")),
        from_dead_courier: false,
        body: Bytes::from_static(b"x"),
        client: None,
    }
}
