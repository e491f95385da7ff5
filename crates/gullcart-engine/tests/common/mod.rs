//! An engine on a simulated folder, with destinations 0 to 3 of two endpoints each.
#![allow(dead_code)]

use bytes::Bytes;
use cloverstile::{parse_settings_json, Time};
use gullcart_engine::{Engine, EngineConfig, Enqueue};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{Durability, Journal, Options};
use gullcart_message::{Target, Update};
use serde_json::json;
use std::time::Duration;

pub const DISK: u64 = 256 << 10;
pub const START_MS: u64 = 1_790_000_000_000;

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

pub fn options(crash: Crash) -> Options {
    let durability = match crash {
        Crash::Process => Durability::Process,
        Crash::Machine => Durability::Machine,
    };
    Options { durability, segment: None }
}

pub fn journal(disk: &Disk, crash: Crash) -> Journal<Disk> {
    Journal::replay(disk.clone(), DISK, options(crash), 7).unwrap()
}

pub fn engine(disk: &Disk, crash: Crash, now: Time) -> Engine<Disk> {
    Engine::new(config(now), journal(disk, crash))
}

pub fn config(now: Time) -> EngineConfig {
    let class = |name: &str, effect: &str, order: bool| {
        json!({
            "Name": name, "Effect": effect, "Group": "all", "RepeatWindow": 10_000_000_000_u64, "OneAtATime": order,
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
        initial_list: Update { rev: 1, all: true, targets },
        now,
        epoch_ms: START_MS,
        settings_checksum: 1,
        #[cfg(feature = "broken")]
        fault_injector: Default::default(),
    }
}

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
    }
}
