//! A small fleet over sockets, in the processes of a large one: the plain case and one lost zone.

use gullcart_hollow::layout::Layout;
use gullcart_hollow::{broken_promises, run, Endings, Launch, RunPlan, RunResult, Scenario, Spans, Spread};
use std::time::Duration;
use tokio::task::LocalSet;

const COURIERS: u32 = 200;
const ZONES: u16 = 3;
const REGIONS: u16 = 2;
/// The source, relays of regions, relays of zones, and two of couriers.
const PROCESSES: usize = 5;

fn plan() -> RunPlan {
    RunPlan {
        layout: Layout::new(COURIERS, ZONES, REGIONS).unwrap(),
        spread: Spread { courier_processes: 2, relay_processes: 1 },
        scenarios: vec![Scenario::Plain, Scenario::LostZone],
        spans: Spans {
            quiet: Duration::from_millis(200),
            usual: Duration::from_secs(2),
            burst: Duration::from_secs(1),
            fault: Duration::from_secs(1),
            around: Duration::from_millis(500),
        },
        seed: 1,
    }
}

fn play() -> RunResult {
    let launch =
        Launch { program: env!("CARGO_BIN_EXE_gullcart-hollow").into(), arguments: vec!["serve".into()] };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, run(&launch, &plan())).unwrap()
}

fn value(result: &RunResult, name: &str) -> f64 {
    let found = result.figures.iter().find(|figure| figure.name == name);
    found.unwrap_or_else(|| panic!("no figure {name}")).value
}

#[test]
fn a_small_fleet_keeps_its_promises_plain_and_with_a_lost_zone() {
    let result = play();
    assert_eq!(result.failure, None);
    assert_eq!(broken_promises(&result.figures), []);
    assert_eq!(value(&result, "usual/changes"), 1.0);
    assert_eq!(value(&result, "burst/changes"), 1000.0);
    assert_eq!(value(&result, "lost_zone/affected"), 67.0);
    assert!(value(&result, "lost_zone/changes") > 0.0);
    assert!(value(&result, "peak_memory") < value(&result, "memory_limit"));
    assert_eq!(result.endings, Endings { orderly: PROCESSES, killed: 0 });
}
