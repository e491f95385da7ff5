//! `gullcartctl scale` at small sizes, with the daemon of this build: complete records, and slopes within known bounds.

use gullcart_scale::daemon::{endpoints, Cancellation, Launch, Limits, MeasureError, Settings, NOT_REACHED};
use gullcart_scale::{Measurement, Point, RunRecord};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const CTL: &str = env!("CARGO_BIN_EXE_gullcartctl");
/// Maximum time to wait for a condition; only a failing test takes that long.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of bytes that a step of the journal's compaction writes besides a record.
const COMPACTION_STEP_BYTES: f64 = 16_384.0;

/// A folder that is removed at the end of its test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gullcartctl-scale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The daemon in the folder of `gullcartctl`.
fn daemon() -> PathBuf {
    let daemon = Path::new(CTL).with_file_name("gullcart");
    assert!(daemon.is_file(), "build the workspace: the daemon is missing");
    daemon
}

/// Runs `gullcartctl scale` to its end.
fn scale(arguments: &[&str]) -> Output {
    daemon();
    Command::new(CTL).arg("scale").args(arguments).stdin(Stdio::null()).output().unwrap()
}

/// Both output streams as text.
fn output_text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Runs a benchmark at some sizes, and reads the record that it wrote.
fn run_benchmark(name: &str, sizes: &str) -> RunRecord {
    let folder = Folder::new(name);
    let results = folder.0.to_str().unwrap();
    let output =
        scale(&[name, "--sizes", sizes, "--samples", "1", "--commit", "c0ffee", "--results", results]);
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    let record = RunRecord::read(&folder.0.join(format!("{name}.json"))).unwrap();
    assert_eq!((record.name.as_str(), record.commit.as_str()), (name, "c0ffee"));
    assert!(record.command.contains(&format!("scale {name} --sizes {sizes}")), "{}", record.command);
    assert!(record.machine.memory_bytes > 0 && record.machine.cores > 0);
    assert!(record.figures.is_empty(), "a quantity was not measured at all sizes: {:?}", record.figures);
    for measurement in &record.measurements {
        assert_eq!(measurement.points.len(), sizes.split(',').count(), "{}", measurement.name);
        assert!(text.contains(&measurement.name), "the table leaves {} out", measurement.name);
    }
    record
}

fn measurement<'a>(record: &'a RunRecord, name: &str) -> &'a Measurement {
    record.measurement(name).unwrap_or_else(|| panic!("{name} was not measured"))
}

/// The growth of a quantity from one size to another, per unit of size.
fn growth_between(first: &Point, last: &Point) -> f64 {
    (last.value - first.value) / (last.size - first.size)
}

/// The growth from the smallest to the largest size, per unit of size.
fn growth(measurement: &Measurement) -> f64 {
    growth_between(measurement.points.first().unwrap(), measurement.points.last().unwrap())
}

#[test]
fn endpoints_cost_a_bounded_amount_each() {
    let record = run_benchmark("endpoints", "500,2000,8000");
    let names = [
        "time to ready",
        "processor time to ready",
        "turn",
        "idle second",
        "change of one endpoint",
        "message taken and delivered",
        "whole list without news",
    ];
    names.iter().for_each(|name| assert!(measurement(&record, name).points.iter().all(|p| p.value > 0.0)));
    // An endpoint takes some dozens of bytes in the journal, and some hundreds to thousands in memory.
    let journal = growth(measurement(&record, "journal"));
    assert!((30.0..120.0).contains(&journal), "{journal} bytes of the journal an endpoint");
    let memory = measurement(&record, "resident memory");
    assert!((100.0..5_000.0).contains(&growth(memory)), "{memory:?}");
    // With quadratic growth, the second step would grow by four times as much per endpoint as the first.
    let [small, middle, large] = memory.points[..] else { panic!("three sizes were asked for") };
    assert!(growth_between(&middle, &large) < 2.0 * growth_between(&small, &middle), "{memory:?}");
}

#[test]
fn held_messages_cost_a_bounded_amount_each() {
    let record = run_benchmark("held", "50,500,2000");
    let names = ["turn", "idle second", "message taken", "time to replay", "processor time to replay"];
    names.iter().for_each(|name| assert!(measurement(&record, name).points.iter().all(|p| p.value > 0.0)));
    let journal = growth(measurement(&record, "journal"));
    assert!((30.0..120.0).contains(&journal), "{journal} bytes of the journal a message");
    let memory = growth(measurement(&record, "resident memory"));
    assert!((100.0..4_000.0).contains(&memory), "{memory} bytes of memory a message");
}

#[test]
fn waiting_destinations_and_changes_are_measured() {
    let waiting = run_benchmark("waiting", "10,50,200");
    assert!(measurement(&waiting, "turn").points.iter().all(|point| point.value > 0.0));
    let changes = run_benchmark("changes", "100,200,400");
    // A change writes its 100 entries, however long the list is.
    let written = measurement(&changes, "journal bytes of a change of 100 endpoints");
    assert!(written.points.iter().all(|point| point.value > 100.0 * 20.0), "{written:?}");
    // A change of one endpoint writes one entry; any of the few here may include a step of the journal's compaction.
    let one_endpoint = measurement(&changes, "journal bytes of a change of one endpoint");
    let min = one_endpoint.points.iter().map(|point| point.value).fold(f64::INFINITY, f64::min);
    assert!((20.0..200.0).contains(&min), "{one_endpoint:?}");
    assert!(
        one_endpoint.points.iter().all(|point| point.value < COMPACTION_STEP_BYTES + 200.0),
        "{one_endpoint:?}"
    );
}

#[test]
fn a_size_that_is_not_reached_is_recorded() {
    let folder = Folder::new("late");
    let results = folder.0.to_str().unwrap();
    let output =
        scale(&["held", "--sizes", "1000000", "--samples", "1", "--limit", "500ms", "--results", results]);
    assert_eq!(output.status.code(), Some(1), "{}", output_text(&output));
    let record = RunRecord::read(&folder.0.join("held.json")).unwrap();
    let reasons: Vec<&String> =
        record.parameters.keys().filter(|name| name.starts_with(NOT_REACHED)).collect();
    assert_eq!(reasons.len(), 1, "{:?}", record.parameters);
    assert!(reasons[0].contains("1000000"), "{reasons:?}");
}

fn settings(cancellation: Cancellation) -> Settings {
    let launch = Launch { program: daemon(), guard: vec![CTL.into(), "courier-guard".into()] };
    Settings { launch, samples: 1, limit: TIMEOUT, cancellation }
}

#[test]
fn a_daemon_beyond_the_memory_limit_is_stopped() {
    const MAX_MEMORY_BYTES: u64 = 1 << 20;
    let limits = Limits::with_memory(MAX_MEMORY_BYTES);
    let collector =
        endpoints::measure(&[10], &settings(Cancellation::default()), &limits, &mut |_| {}).unwrap();
    let reason = collector.not_reached_reasons().next().unwrap();
    assert!(reason.contains(&format!("{MAX_MEMORY_BYTES} bytes of memory")), "{reason}");
    assert!(matches!(limits.check_memory(MAX_MEMORY_BYTES + 1), Err(MeasureError::ExpectedMemory { .. })));
    assert!(limits.check_memory(MAX_MEMORY_BYTES).is_ok());
}

#[test]
fn a_cancelled_run_ends_with_an_error() {
    let (cancellation, limits) = (Cancellation::default(), Limits::of_this_machine().unwrap());
    cancellation.cancel();
    let result = endpoints::measure(&[10], &settings(cancellation), &limits, &mut |_| {});
    assert!(matches!(result, Err(MeasureError::Interrupted)));
}

/// Number of processes whose environment names a folder of the run with this process id.
fn daemons_of(run: u32) -> usize {
    let folder_prefix = format!("gullcart-scale-{run}-");
    let environments = std::fs::read_dir("/proc").unwrap().flatten().filter(|entry| {
        let is_process = entry.file_name().to_str().is_some_and(|name| name.parse::<u32>().is_ok());
        let environment = std::fs::read(entry.path().join("environ")).unwrap_or_default();
        is_process && String::from_utf8_lossy(&environment).contains(&folder_prefix)
    });
    environments.count()
}

/// Waits until a condition is true.
fn wait_until(description: &str, is_true: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !is_true() {
        assert!(Instant::now() < deadline, "{description}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Starts a long run, sends it a signal once its daemon runs, waits until both have ended, and returns the run's exit code.
fn exit_code_after(signal: &str) -> Option<i32> {
    daemon();
    let mut command = Command::new(CTL);
    command.args(["scale", "couriers", "--sizes", "10", "--results", "/nonexistent"]);
    let mut run = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    wait_until("the daemon runs", || daemons_of(run.id()) > 0);
    let kill = format!("kill -{signal} {}", run.id());
    assert!(Command::new("/bin/sh").args(["-c", &kill]).status().unwrap().success());
    let status = run.wait().unwrap();
    wait_until("the daemon has ended", || daemons_of(run.id()) == 0);
    // A killed run leaves its folder behind.
    let _ = std::fs::remove_dir_all(std::env::temp_dir().join(format!("gullcart-scale-{}-0", run.id())));
    status.code()
}

#[test]
fn daemons_end_with_a_run_that_is_interrupted() {
    assert_eq!(exit_code_after("INT"), Some(2));
}

#[test]
fn daemons_end_with_a_run_that_is_killed() {
    assert_eq!(exit_code_after("KILL"), None);
}

#[test]
fn a_benchmark_that_cannot_be_run_exits_with_2() {
    let output = scale(&["endpoints", "--daemon", "/no/such/daemon"]);
    assert!(
        output.status.code() == Some(2) && output_text(&output).contains("/no/such/daemon"),
        "{}",
        output_text(&output)
    );
    let output = scale(&["endpoints", "--sizes", "0,1"]);
    assert!(
        output.status.code() == Some(2) && output_text(&output).contains("sizes"),
        "{}",
        output_text(&output)
    );
}
