//! The command itself: nothing of a run outlasts it, however it ends.

use rustix::process::{kill_process, test_kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The processes of a run that do not end by then never will.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// The source, relays of regions, relays of zones, and two of couriers.
const PROCESSES: usize = 5;

/// A run that plays for a minute, once its phases have begun.
fn start_run() -> Child {
    let mut run = Command::new(env!("CARGO_BIN_EXE_gullcart-hollow"))
        .args(["fleet", "--couriers", "30", "--zones", "1", "--regions", "1", "--quiet", "60"])
        .args(["--results", env!("CARGO_TARGET_TMPDIR")])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(run.stderr.take().unwrap()).lines();
    assert!(lines.map_while(Result::ok).any(|line| line.starts_with("playing")));
    run
}

fn id(child: &Child) -> Pid {
    Pid::from_raw(child.id() as i32).unwrap()
}

/// The processes that a process has started and that have not ended.
fn children_of(parent: Pid) -> Vec<Pid> {
    let parent = parent.as_raw_nonzero();
    let path = format!("/proc/{parent}/task/{parent}/children");
    let ids = std::fs::read_to_string(path).unwrap();
    ids.split_whitespace().map(|id| Pid::from_raw(id.parse().unwrap()).unwrap()).collect()
}

fn wait_until_gone(processes: &[Pid]) {
    let deadline = Instant::now() + END_TIMEOUT;
    while processes.iter().any(|process| test_kill_process(*process).is_ok()) {
        assert!(Instant::now() < deadline, "processes of the run are still there");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_killed_run_takes_its_processes_along_also_a_paused_one() {
    let mut run = start_run();
    let processes = children_of(id(&run));
    assert_eq!(processes.len(), PROCESSES);
    kill_process(processes[0], Signal::STOP).unwrap();
    run.kill().unwrap();
    run.wait().unwrap();
    wait_until_gone(&processes);
}

#[test]
fn an_interrupted_run_ends_its_processes_and_fails() {
    let mut run = start_run();
    let processes = children_of(id(&run));
    kill_process(id(&run), Signal::TERM).unwrap();
    assert!(!run.wait().unwrap().success());
    wait_until_gone(&processes);
}

#[test]
fn a_fleet_beyond_the_limits_is_refused() {
    let refuse = |arguments: &[&str]| {
        let fleet = Command::new(env!("CARGO_BIN_EXE_gullcart-hollow")).arg("fleet").args(arguments).output();
        let output = fleet.unwrap();
        assert!(!output.status.success());
        String::from_utf8(output.stderr).unwrap()
    };
    let processes = refuse(&["--couriers", "1000", "--processes", "300"]);
    assert!(processes.contains("processes, and may have 300"), "{processes}");
    let memory = refuse(&["--couriers", "10000000", "--processes", "100"]);
    assert!(memory.contains("bytes of memory, and may take"), "{memory}");
    let shape = refuse(&["--couriers", "3"]);
    assert!(shape.contains("at least one region"), "{shape}");
}
