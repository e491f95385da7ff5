//! A fleet of the operators' size in virtual time, against their budget.
//!
//! `cargo run --release -p gullcart-distribution --example virtual_fleet -- [--json] [--seed N] [--small] [scenario ...]`

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::process::Command;
use std::time::{Duration, Instant};

use fastrand::Rng;
use gullcart_distribution::limits;
use gullcart_distribution::scope::Scope;
use peak_alloc::PeakAlloc;
use serde_json::{json, Value as Json};
use simulation::node::{Machine, NodeId, Traffic};
use simulation::plan::Plan;
use simulation::Fleet;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// 23,000 changes of configuration a day.
const CONFIGURATION_CHANGES_PER_SECOND: f64 = 23_000.0 / 86_400.0;

/// Two percent of 1.6 million destinations are down; if for half an hour on average, as many fall and return a second.
const ENDPOINT_CHANGES_PER_SECOND: f64 = 2.0 * 0.02 * 1_600_000.0 / 1_800.0;

/// The operators' budget for a courier.
const BUDGET_CORE_SHARE: f64 = 0.046;
const BUDGET_MEMORY_BYTES: u64 = 64 * 1024 * 1024;
const BUDGET_BYTES_PER_SECOND: f64 = 11_000.0;
const BUDGET_IN_FORCE_MICROS: u64 = 3_000_000;

/// Nodes of a kind whose memory is measured.
const MEMORY_SAMPLE: usize = 100;

/// A scenario: its name and what happens.
struct Scenario {
    name: &'static str,
    about: &'static str,
    play: fn(&mut Fleet, &mut Rng),
}

const SCENARIOS: [Scenario; 8] = [
    Scenario {
        name: "ordinary",
        about: "180 s, 0.27 changes of configuration a second",
        play: |fleet, random| flow(fleet, random, Duration::from_secs(180), CONFIGURATION_CHANGES_PER_SECOND, 0.0),
    },
    Scenario {
        name: "endpoints",
        about: "60 s, 0.27 changes of configuration and 35.6 of endpoint state a second",
        play: |fleet, random| {
            let span = Duration::from_secs(60);
            flow(fleet, random, span, CONFIGURATION_CHANGES_PER_SECOND, ENDPOINT_CHANGES_PER_SECOND);
        },
    },
    Scenario {
        name: "burst",
        about: "1,000 changes of configuration within a second, then 15 s",
        play: |fleet, random| {
            flow(fleet, random, Duration::from_secs(1), 1_000.0, 0.0);
            fleet.run_sampled(Duration::from_secs(15));
        },
    },
    Scenario {
        name: "zone-returns",
        about: "all couriers of a zone begin anew at once, 2 changes of configuration a second, 20 s",
        play: |fleet, random| {
            restart_zone(fleet, 0);
            flow(fleet, random, Duration::from_secs(20), 2.0, 0.0);
        },
    },
    Scenario {
        name: "relay-lost-in-snapshot",
        about: "all couriers of a zone begin anew; 1 s later their relay is lost for 3 s; 2 changes a second, 30 s",
        play: |fleet, random| {
            restart_zone(fleet, 0);
            flow(fleet, random, Duration::from_secs(1), 2.0, 0.0);
            fleet.crash_relay(fleet.plan.regions, Duration::from_secs(3));
            flow(fleet, random, Duration::from_secs(29), 2.0, 0.0);
        },
    },
    Scenario {
        name: "slow-reader",
        about: "a courier reads 4,000 bytes a second; 1,000 changes within a second, then 2 a second for 30 s",
        play: |fleet, random| {
            fleet.slow_down(0, 4_000);
            flow(fleet, random, Duration::from_secs(1), 1_000.0, 0.0);
            flow(fleet, random, Duration::from_secs(30), 2.0, 0.0);
        },
    },
    Scenario {
        name: "tenth-stopped",
        about: "a tenth of the couriers is stopped for 5 s, 2 changes of configuration a second, 20 s",
        play: |fleet, random| {
            for courier in (0..fleet.plan.couriers).step_by(10) {
                fleet.stop(NodeId::Courier(courier), Duration::from_secs(5));
            }
            flow(fleet, random, Duration::from_secs(20), 2.0, 0.0);
        },
    },
    Scenario {
        name: "two-regions-cut",
        about: "two regions are cut off for 60 s, 2 changes of configuration a second, 90 s",
        play: |fleet, random| {
            let last = fleet.plan.regions - 1;
            fleet.cut_region(0);
            fleet.cut_region(last);
            flow(fleet, random, Duration::from_secs(60), 2.0, 0.0);
            fleet.heal_region(0);
            fleet.heal_region(last);
            flow(fleet, random, Duration::from_secs(30), 2.0, 0.0);
        },
    },
];

fn restart_zone(fleet: &mut Fleet, zone: usize) {
    for courier in 0..fleet.plan.couriers {
        if fleet.plan.zone_of(courier) == zone {
            fleet.restart_courier(courier, Duration::from_millis(100));
        }
    }
}

/// Changes at these rates, at random moments.
fn flow(fleet: &mut Fleet, random: &mut Rng, span: Duration, configuration: f64, endpoints: f64) {
    let begin = fleet.now;
    let end = begin + simulation::micros(span);
    let rate = configuration + endpoints;
    let mut next_sample = begin + 1_000_000;
    let mut next_change = begin;
    while fleet.now < end {
        next_change += (-(1.0 - random.f64()).ln() / rate * 1e6) as u64;
        while next_sample <= next_change.min(end) {
            fleet.run_until(next_sample);
            fleet.sample();
            next_sample += 1_000_000;
        }
        fleet.run_until(next_change.min(end));
        if next_change >= end {
            return;
        }
        if random.f64() * rate < configuration {
            change_configuration(fleet, random);
        } else {
            change_endpoint(fleet, random);
        }
    }
}

/// Half of the changes concern all, a fifth each a region or a zone, a tenth one courier.
fn change_configuration(fleet: &mut Fleet, random: &mut Rng) {
    let courier = random.usize(0..fleet.plan.couriers);
    let scopes = fleet.plan.scopes_of(courier);
    let (scope, entries) = match random.u8(0..10) {
        0..=4 => (scopes[0], fleet.plan.global_entries),
        5 | 6 => (scopes[1], fleet.plan.region_entries),
        7 | 8 => (scopes[2], fleet.plan.zone_entries),
        _ => (scopes[3], 5),
    };
    fleet.set(scope, random.usize(0..entries));
}

/// A destination falls or returns.
fn change_endpoint(fleet: &mut Fleet, random: &mut Rng) {
    let zone = random.usize(0..fleet.plan.zones);
    let share: Scope = fleet.plan.share(zone, random.usize(0..fleet.plan.shares_per_zone));
    let number = random.usize(0..2 * fleet.plan.down_per_share);
    if random.bool() {
        fleet.set(share, number);
    } else {
        fleet.remove(share, number);
    }
}

fn percentile(sorted: &[u64], share: f64) -> Option<u64> {
    let last = sorted.len().checked_sub(1)?;
    Some(sorted[(last as f64 * share).round() as usize])
}

fn traffic(nodes: &[Traffic], seconds: f64) -> Json {
    let count = nodes.len().max(1) as f64;
    let bytes: u64 = nodes.iter().map(|node| node.bytes).sum();
    let messages: u64 = nodes.iter().map(|node| node.messages).sum();
    json!({
        "nodes": nodes.len(),
        "bytes_per_second_mean": bytes as f64 / count / seconds,
        "bytes_per_second_of_the_busiest": nodes.iter().map(|node| node.bytes).max().unwrap_or(0) as f64 / seconds,
        "bytes_in_the_busiest_second_of_any": nodes.iter().map(|node| node.most_bytes_in_second).max(),
        "messages_per_second_mean": messages as f64 / count / seconds,
    })
}

fn traffic_of(fleet: &Fleet, wanted: impl Fn(&NodeId) -> bool) -> Vec<Traffic> {
    fleet.nodes().filter(|(id, _)| wanted(id)).map(|(_, node)| node.traffic).collect()
}

/// Heap that is given back when nodes are dropped.
fn heap_of(fleet: &mut Fleet, nodes: impl Iterator<Item = NodeId>) -> Json {
    let mut sizes = Vec::new();
    for id in nodes {
        let Some(node) = fleet.take_node(id) else {
            continue;
        };
        let before = ALLOCATOR.current_usage();
        drop(node);
        sizes.push((before - ALLOCATOR.current_usage()) as u64);
    }
    sizes.sort_unstable();
    json!({ "nodes": sizes.len(), "bytes_p50": percentile(&sizes, 0.5), "bytes_worst": sizes.last() })
}

fn run(scenario: &Scenario, plan: Plan) -> Json {
    let wall = Instant::now();
    let mut random = Rng::with_seed(plan.seed ^ 0x5eed);
    let mut fleet = Fleet::new(plan);
    fleet.run_for(Duration::from_secs(15));
    let started = fleet.converged();
    fleet.reset_counters();
    fleet.measure_processor = true;
    let begin = fleet.now;
    (scenario.play)(&mut fleet, &mut random);
    let seconds = (fleet.now - begin) as f64 / 1e6;
    let processor = fleet.processor;
    let regions = fleet.plan.regions;
    let couriers = traffic_of(&fleet, |id| matches!(id, NodeId::Courier(_)));
    let region_relays = traffic_of(&fleet, |id| matches!(id, NodeId::Relay(number) if *number < regions));
    let zone_relays = traffic_of(&fleet, |id| matches!(id, NodeId::Relay(number) if *number >= regions));
    let source = traffic_of(&fleet, |id| matches!(id, NodeId::Source(_)));
    let not_current = fleet.not_current_samples as f64 / fleet.samples.max(1) as f64;
    let peaks: Vec<_> = fleet
        .nodes()
        .filter_map(|(_, node)| match &node.machine {
            Machine::Relay(relay) => Some(relay.peaks()),
            _ => None,
        })
        .collect();
    let errors = json!(fleet.errors);
    let mut in_force = fleet.judge.in_force_micros.clone();
    in_force.sort_unstable();
    fleet.run_for(Duration::from_secs(10));
    let converged = fleet.converged();
    let violations: Vec<String> =
        fleet.judge.examples.iter().map(|(kind, example)| format!("{kind:?}: {example}")).collect();
    let courier_core = processor.couriers.as_secs_f64() / couriers.len() as f64 / seconds;
    let relay_core =
        processor.relays.as_secs_f64() / (region_relays.len() + zone_relays.len()) as f64 / seconds;
    let source_core = processor.sources.as_secs_f64() / seconds;
    let all = couriers.len();
    let courier_heap =
        heap_of(&mut fleet, (0..all).step_by((all / MEMORY_SAMPLE).max(1)).map(NodeId::Courier));
    let zone_heap = heap_of(&mut fleet, (regions..regions + zone_relays.len()).map(NodeId::Relay));
    let region_heap = heap_of(&mut fleet, (0..regions).map(NodeId::Relay));
    let worst_in_force = in_force.last().copied().unwrap_or(0);
    let courier_traffic = traffic(&couriers, seconds);
    let busiest = courier_traffic["bytes_per_second_of_the_busiest"].as_f64().unwrap_or(f64::MAX);
    let worst_heap = courier_heap["bytes_worst"].as_u64().unwrap_or(u64::MAX);
    json!({
        "scenario": scenario.name,
        "about": scenario.about,
        "virtual_seconds": seconds,
        "wall_seconds": wall.elapsed().as_secs_f64(),
        "in_force_micros": {
            "changes": in_force.len(), "p50": percentile(&in_force, 0.5), "p99": percentile(&in_force, 0.99),
            "worst": worst_in_force,
        },
        "share_of_couriers_not_current_sampled_each_second": not_current,
        "traffic_sent_and_received": {
            "couriers": courier_traffic, "zone_relays": traffic(&zone_relays, seconds),
            "region_relays": traffic(&region_relays, seconds), "source": traffic(&source, seconds),
        },
        "share_of_a_core_with_codec": { "per_courier": courier_core, "per_relay": relay_core, "source": source_core },
        "heap": { "per_courier": courier_heap, "per_zone_relay": zone_heap, "per_region_relay": region_heap },
        "relay_peaks_since_start": {
            "window_bytes_of_one_subscriber": peaks.iter().map(|peaks| peaks.window_bytes).max(),
            "snapshots_under_way": peaks.iter().map(|peaks| peaks.snapshots).max(),
            "messages_waiting_for_the_driver": peaks.iter().map(|peaks| peaks.output_messages).max(),
        },
        "protocol_errors": errors,
        "violations": violations,
        "converged_before": started.err(),
        "converged_10_s_after": converged.err(),
        "within_budget": {
            "in_force_worst_within_3_s": worst_in_force <= BUDGET_IN_FORCE_MICROS,
            "courier_core": courier_core <= BUDGET_CORE_SHARE,
            "courier_heap": worst_heap <= BUDGET_MEMORY_BYTES,
            "courier_bytes_per_second_of_the_busiest": busiest <= BUDGET_BYTES_PER_SECOND,
        },
    })
}

fn output_of(program: &str, arguments: &[&str]) -> String {
    let output = Command::new(program).args(arguments).output();
    output.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_string()).unwrap_or_default()
}

fn constants() -> Json {
    json!({
        "lease_millis": limits::LEASE.as_millis(), "clock_drift_divisor": limits::CLOCK_DRIFT_DIVISOR,
        "relay_renew_millis": limits::RELAY_RENEW_INTERVAL.as_millis(),
        "subscriber_renew_millis": limits::SUBSCRIBER_RENEW_INTERVAL.as_millis(),
        "frame_interval_millis": limits::FRAME_INTERVAL.as_millis(), "frame_bytes": limits::FRAME_BYTES,
        "window_bytes": limits::WINDOW_BYTES, "window_frames": limits::WINDOW_FRAMES,
        "snapshots_per_second": limits::SNAPSHOTS_PER_SECOND, "snapshot_burst": limits::SNAPSHOT_BURST,
        "max_snapshots_under_way": limits::MAX_SNAPSHOTS_UNDER_WAY, "buckets": limits::BUCKETS,
    })
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let has = |flag: &str| arguments.iter().any(|argument| argument == flag);
    let seed_place = arguments.iter().position(|argument| argument == "--seed");
    let seed = seed_place.and_then(|place| arguments.get(place + 1)?.parse().ok()).unwrap_or(1);
    let plan = if has("--small") { Plan::small(seed) } else { Plan::full(seed) };
    let named: Vec<&Scenario> = SCENARIOS.iter().filter(|scenario| has(scenario.name)).collect();
    let chosen = if named.is_empty() { SCENARIOS.iter().collect() } else { named };
    // Before the run, as the tree may move on meanwhile.
    let commit = output_of("git", &["rev-parse", "HEAD"]);
    let changed_files = output_of("git", &["status", "--porcelain"]);
    let date = output_of("date", &["-u", "+%FT%TZ"]);
    let mut results = Vec::new();
    for scenario in chosen {
        let result = run(scenario, plan.clone());
        if !has("--json") {
            println!("{result:#}");
        }
        results.push(result);
    }
    if has("--json") {
        let command = "cargo run --release -p gullcart-distribution --example virtual_fleet --";
        let record = json!({
            "command": format!("{command} {}", arguments.join(" ")),
            "commit": commit,
            "changed_files": changed_files,
            "date": date,
            "processors": std::thread::available_parallelism().map_or(0, |count| count.get()),
            "load_average_at_the_end": std::fs::read_to_string("/proc/loadavg").unwrap_or_default().trim(),
            "plan": plan.to_json(),
            "constants": constants(),
            "budget": {
                "in_force_micros": BUDGET_IN_FORCE_MICROS, "core_share": BUDGET_CORE_SHARE,
                "memory_bytes": BUDGET_MEMORY_BYTES, "bytes_per_second": BUDGET_BYTES_PER_SECOND,
            },
            "scenarios": results,
        });
        println!("{record:#}");
    }
}
