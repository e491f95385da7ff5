//! The manager of processes: its limits, and that nothing of a run outlasts it.

use gullcart_hollow::control::{Command, Probe, Report};
use gullcart_hollow::{machine, MOST_PROCESSES};
use gullcart_hollow::{Demand, Endings, Excess, Fleet, FleetError, Launch, Limits, OWN_DESCRIPTORS};
use rustix::process::{test_kill_process, Pid};
use std::io::{BufRead, BufReader, Write};
use std::process::Stdio;
use std::time::{Duration, Instant};

const MIB: u64 = 1 << 20;
const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart-hollow");

fn launch() -> Launch {
    Launch { program: PROGRAM.into(), arguments: vec!["serve".into()] }
}

fn demand() -> Demand {
    Demand { memory: 100 * MIB, processes: 3, connections: 10 }
}

fn limits() -> Limits {
    Limits { memory: 1024 * MIB, processes: MOST_PROCESSES, descriptors: Some(1024) }
}

fn block_on<Done>(work: impl std::future::Future<Output = Done>) -> Done {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(work)
}

fn is_there(process: &Pid) -> bool {
    test_kill_process(*process).is_ok()
}

/// Starts processes, and gives their ids once each has answered.
async fn start_processes(fleet: &mut Fleet, names: &[&str]) -> Result<Vec<Pid>, FleetError> {
    for name in names {
        let index = fleet.start(name)?;
        let report = fleet.process(index).call(&Command::Usage).await?;
        assert!(matches!(report, Report::Usage(_)), "{report:?}");
    }
    Ok(fleet.ids())
}

#[test]
fn a_run_beyond_the_limits_is_not_admitted() {
    let admit = |demand: &Demand| limits().admit(demand);
    assert_eq!(admit(&demand()), Ok(()));
    let memory = Demand { memory: 1025 * MIB, ..demand() };
    assert_eq!(admit(&memory), Err(Excess::Memory { wanted: 1025 * MIB, limit: 1024 * MIB }));
    let processes = Demand { processes: 301, ..demand() };
    assert_eq!(admit(&processes), Err(Excess::Processes { wanted: 301, limit: 300 }));
    let most = 1024 - OWN_DESCRIPTORS;
    assert_eq!(admit(&Demand { connections: most, ..demand() }), Ok(()));
    let descriptors = Demand { connections: most + 1, ..demand() };
    assert_eq!(admit(&descriptors), Err(Excess::Descriptors { wanted: 1025, limit: 1024 }));
}

#[test]
fn a_run_may_take_half_of_the_memory_and_no_more_than_is_to_be_had() {
    let memory = |total, available| Limits::memory_of(machine::Memory { total, available });
    assert_eq!(memory(24, 20), 12);
    assert_eq!(memory(24, 9), 9);
    let limits = Limits::of_machine().unwrap();
    assert!(limits.memory <= machine::memory().unwrap().total / 2);
    assert!(limits.descriptors.is_some());
}

#[test]
fn processes_end_by_themselves_after_a_run() {
    block_on(async {
        let fleet = Fleet::admit(launch(), limits(), &demand()).unwrap();
        let work = async |fleet: &mut Fleet| start_processes(fleet, &["first", "second"]).await;
        let (ids, endings) = fleet.run(work).await.unwrap();
        assert_eq!(ids.len(), 2);
        assert_eq!(endings, Endings { orderly: 2, killed: 0 });
        assert!(!ids.iter().any(is_there));
    });
}

#[test]
fn processes_are_ended_after_a_failed_run_also_a_paused_one() {
    block_on(async {
        let fleet = Fleet::admit(launch(), limits(), &demand()).unwrap();
        let mut ids = Vec::new();
        let work = async |fleet: &mut Fleet| {
            ids = start_processes(fleet, &["first", "second"]).await?;
            let paused = fleet.start("paused")?;
            ids.extend(fleet.process(paused).id());
            fleet.process(paused).stop()?;
            Err::<(), FleetError>(FleetError::Interrupted)
        };
        let failed = fleet.run(work).await;
        assert!(matches!(failed, Err(FleetError::Interrupted)));
        assert_eq!(ids.len(), 3);
        assert!(!ids.iter().any(is_there));
    });
}

#[test]
fn a_run_that_grows_beyond_its_memory_is_stopped() {
    block_on(async {
        let memory = 20 * MIB;
        let fleet = Fleet::admit(launch(), Limits { memory, ..limits() }, &Demand { memory, ..demand() });
        let mut ids = Vec::new();
        let work = async |fleet: &mut Fleet| {
            let index = fleet.start("growing")?;
            ids.extend(fleet.process(index).id());
            // As many as the memory cannot hold: the watch ends the run long before they are built.
            let probe = Probe { couriers: 100_000, endpoints: 100 };
            fleet.process(index).call(&Command::Probe(probe)).await?;
            Ok::<_, FleetError>(())
        };
        let stopped = fleet.unwrap().run(work).await;
        assert!(matches!(stopped, Err(FleetError::Memory { held, limit }) if held > limit), "{stopped:?}");
        assert_eq!(ids.len(), 1);
        assert!(!ids.iter().any(is_there));
    });
}

#[test]
fn no_more_processes_are_started_than_allowed() {
    block_on(async {
        let limits = Limits { processes: 3, ..limits() };
        let fleet = Fleet::admit(launch(), limits, &demand()).unwrap();
        let work = async |fleet: &mut Fleet| start_processes(fleet, &["first", "second", "third"]).await;
        let refused = fleet.run(work).await;
        let expected = Excess::Processes { wanted: 4, limit: 3 };
        assert!(matches!(refused, Err(FleetError::Excess(excess)) if excess == expected));
    });
}

#[test]
fn a_process_ends_when_its_manager_lets_go_of_it() {
    let mut child = std::process::Command::new(PROGRAM)
        .arg("serve")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    let mut output = BufReader::new(child.stdout.take().unwrap());
    let mut command = serde_json::to_vec(&Command::Usage).unwrap();
    command.push(b'\n');
    input.write_all(&command).unwrap();
    let mut answer = String::new();
    output.read_line(&mut answer).unwrap();
    assert!(matches!(serde_json::from_str(&answer), Ok(Report::Usage(_))), "{answer}");
    let closed = Instant::now();
    drop(input);
    assert!(child.wait().unwrap().success());
    assert!(closed.elapsed() < Duration::from_secs(5));
}

#[test]
fn what_is_no_command_is_answered_as_a_failure() {
    let mut child = std::process::Command::new(PROGRAM)
        .arg("serve")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(b"{\"Unknown\":1}\n").unwrap();
    let mut answer = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut answer).unwrap();
    assert!(matches!(serde_json::from_str(&answer), Ok(Report::Failed(_))), "{answer}");
    assert!(child.wait().unwrap().success());
}
