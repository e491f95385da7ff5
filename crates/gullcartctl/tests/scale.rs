//! Small sizes of each measurement, with the daemon of this build: whole records, and slopes that are sure.

use gullcart_scale::daemon::{endpoints, Cancellation, Launch, Limits, MeasureError, Settings, NOT_REACHED};
use gullcart_scale::{Measurement, Point, RunRecord};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const CTL: &str = env!("CARGO_BIN_EXE_gullcartctl");
/// Only a failing test waits for so long.
const PATIENCE: Duration = Duration::from_secs(30);
/// What a step of the journal's compaction writes at most beside a record.
const COMPACTION_STEP: f64 = 16_384.0;

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

fn daemon() -> PathBuf {
    let daemon = Path::new(CTL).with_file_name("gullcart");
    assert!(daemon.is_file(), "build the workspace: the daemon is missing");
    daemon
}

fn scale(arguments: &[&str]) -> Output {
    daemon();
    Command::new(CTL).arg("scale").args(arguments).stdin(Stdio::null()).output().unwrap()
}

fn said(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Runs a measurement at some sizes, and reads the record that it kept.
fn measured(what: &str, sizes: &str) -> RunRecord {
    let folder = Folder::new(what);
    let results = folder.0.to_str().unwrap();
    let output =
        scale(&[what, "--sizes", sizes, "--samples", "1", "--commit", "c0ffee", "--results", results]);
    let text = said(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    let record = RunRecord::read(&folder.0.join(format!("{what}.json"))).unwrap();
    assert_eq!((record.name.as_str(), record.commit.as_str()), (what, "c0ffee"));
    assert!(record.command.contains(&format!("scale {what} --sizes {sizes}")), "{}", record.command);
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

/// What a quantity grew by from one size to another, for each one of size.
fn growth_between(first: &Point, last: &Point) -> f64 {
    (last.value - first.value) / (last.size - first.size)
}

/// The same from the smallest to the largest size.
fn growth(measurement: &Measurement) -> f64 {
    growth_between(measurement.points.first().unwrap(), measurement.points.last().unwrap())
}

#[test]
fn endpoints_cost_what_they_hold() {
    let record = measured("endpoints", "500,2000,8000");
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
    // An entry takes some dozens of bytes in the journal, and some hundreds to thousands in memory.
    let journal = growth(measurement(&record, "journal"));
    assert!((30.0..120.0).contains(&journal), "{journal} bytes of the journal an endpoint");
    let memory = measurement(&record, "resident memory");
    assert!((100.0..5_000.0).contains(&growth(memory)), "{memory:?}");
    // Were it the square, the second step would grow by four times as much an endpoint.
    let [small, middle, large] = memory.points[..] else { panic!("three sizes were asked for") };
    assert!(growth_between(&middle, &large) < 2.0 * growth_between(&small, &middle), "{memory:?}");
}

#[test]
fn messages_held_cost_what_they_hold() {
    let record = measured("held", "50,500,2000");
    let names = ["turn", "idle second", "message taken", "time to replay", "processor time to replay"];
    names.iter().for_each(|name| assert!(measurement(&record, name).points.iter().all(|p| p.value > 0.0)));
    let journal = growth(measurement(&record, "journal"));
    assert!((30.0..120.0).contains(&journal), "{journal} bytes of the journal a message");
    let memory = growth(measurement(&record, "resident memory"));
    assert!((100.0..4_000.0).contains(&memory), "{memory} bytes of memory a message");
}

#[test]
fn waiting_destinations_and_changes_are_measured() {
    let waiting = measured("waiting", "10,50,200");
    assert!(measurement(&waiting, "turn").points.iter().all(|point| point.value > 0.0));
    let changes = measured("changes", "100,200,400");
    // The 100 entries of a change are written, however long the list is.
    let written = measurement(&changes, "journal bytes of a change of 100 endpoints");
    assert!(written.points.iter().all(|point| point.value > 100.0 * 20.0), "{written:?}");
    // That of one is as long as its entry; each of the few here may come with a step of the journal's compaction.
    let one = measurement(&changes, "journal bytes of a change of one endpoint");
    let least = one.points.iter().map(|point| point.value).fold(f64::INFINITY, f64::min);
    assert!((20.0..200.0).contains(&least), "{one:?}");
    assert!(one.points.iter().all(|point| point.value < COMPACTION_STEP + 200.0), "{one:?}");
}

#[test]
fn a_size_that_is_not_reached_is_recorded() {
    let folder = Folder::new("late");
    let results = folder.0.to_str().unwrap();
    let output =
        scale(&["held", "--sizes", "1000000", "--samples", "1", "--limit", "500ms", "--results", results]);
    assert_eq!(output.status.code(), Some(1), "{}", said(&output));
    let record = RunRecord::read(&folder.0.join("held.json")).unwrap();
    let reasons: Vec<&String> =
        record.parameters.keys().filter(|name| name.starts_with(NOT_REACHED)).collect();
    assert_eq!(reasons.len(), 1, "{:?}", record.parameters);
    assert!(reasons[0].contains("1000000"), "{reasons:?}");
}

fn settings(cancellation: Cancellation) -> Settings {
    let launch = Launch { program: daemon(), guard: vec![CTL.into(), "courier-guard".into()] };
    Settings { launch, samples: 1, limit: PATIENCE, cancellation }
}

#[test]
fn a_daemon_beyond_the_bound_on_memory_is_ended() {
    const BOUND: u64 = 1 << 20;
    let limits = Limits::with_memory(BOUND);
    let collector =
        endpoints::measure(&[10], &settings(Cancellation::default()), &limits, &mut |_| {}).unwrap();
    let refusal = collector.not_reached_reasons().next().unwrap();
    assert!(refusal.contains(&format!("{BOUND} bytes of memory")), "{refusal}");
    assert!(matches!(limits.check_memory(BOUND + 1), Err(MeasureError::ExpectedMemory { .. })));
    assert!(limits.check_memory(BOUND).is_ok());
}

#[test]
fn a_cancelled_run_ends_with_an_error() {
    let (cancellation, limits) = (Cancellation::default(), Limits::of_this_machine().unwrap());
    cancellation.cancel();
    let measured = endpoints::measure(&[10], &settings(cancellation), &limits, &mut |_| {});
    assert!(matches!(measured, Err(MeasureError::Interrupted)));
}

/// Processes whose state lies in a folder of that run.
fn daemons_of(run: u32) -> usize {
    let mark = format!("gullcart-scale-{run}-");
    let environments = std::fs::read_dir("/proc").unwrap().flatten().filter(|entry| {
        let is_process = entry.file_name().to_str().is_some_and(|name| name.parse::<u32>().is_ok());
        let environment = std::fs::read(entry.path().join("environ")).unwrap_or_default();
        is_process && String::from_utf8_lossy(&environment).contains(&mark)
    });
    environments.count()
}

fn until(what: &str, is: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !is() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Starts a long run, sends it a signal once its daemon is there, and returns its exit code; the daemon has ended.
fn ended_by(signal: &str) -> Option<i32> {
    daemon();
    let mut command = Command::new(CTL);
    command.args(["scale", "couriers", "--sizes", "10", "--results", "/nonexistent"]);
    let mut run = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    until("the daemon runs", || daemons_of(run.id()) > 0);
    let words = format!("kill -{signal} {}", run.id());
    assert!(Command::new("/bin/sh").args(["-c", &words]).status().unwrap().success());
    let status = run.wait().unwrap();
    until("the daemon has ended", || daemons_of(run.id()) == 0);
    status.code()
}

#[test]
fn daemons_end_with_a_run_that_is_interrupted() {
    assert_eq!(ended_by("INT"), Some(2));
}

#[test]
fn daemons_end_with_a_run_that_is_killed() {
    assert_eq!(ended_by("KILL"), None);
}

#[test]
fn what_cannot_be_measured_exits_with_2() {
    let output = scale(&["endpoints", "--daemon", "/no/such/daemon"]);
    assert!(
        output.status.code() == Some(2) && said(&output).contains("/no/such/daemon"),
        "{}",
        said(&output)
    );
    let output = scale(&["endpoints", "--sizes", "0,1"]);
    assert!(output.status.code() == Some(2) && said(&output).contains("sizes"), "{}", said(&output));
}
