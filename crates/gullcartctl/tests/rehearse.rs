//! `gullcartctl rehearse` as a process: exit codes, output, and the end of all couriers with it.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const CTL: &str = env!("CARGO_BIN_EXE_gullcartctl");
/// Maximum time to wait for a condition; only a failing test takes that long.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A scenario of two seconds, with a placeholder for its floor.
const SHORT_SCENARIO: &str = r#"name = "short"
seconds = 2
floor = FLOOR

[[class]]
name = "pay"
effect = "unsafe"
aim_s = 2
deadline_s = 4

[[partner]]
name = "bank"
rate = 60
pace_ms = 40

[traffic]
per_second = 20
"#;

/// Creates a folder for a test.
fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("gullcartctl-test-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Writes a scenario to a file.
fn scenario(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("scenario.toml");
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs `gullcartctl` to its end.
fn run(arguments: &[&str]) -> Output {
    assert!(
        Path::new(CTL).with_file_name("gullcart").is_file(),
        "build the workspace: the daemon is missing"
    );
    Command::new(CTL).args(arguments).stdin(Stdio::null()).output().unwrap()
}

/// Both output streams as text.
fn output_text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

#[test]
fn a_short_run_keeps_all_rules_and_is_reported() {
    let folder = folder("kept");
    let path = scenario(&folder, &SHORT_SCENARIO.replace("FLOOR", "0.5"));
    let (json, html) = (folder.join("report.json"), folder.join("report.html"));
    let to = |path: &Path| path.to_str().unwrap().to_owned();
    let output = run(&["rehearse", &to(&path), "--json", &to(&json), "--html", &to(&html)]);
    // On a machine that is too busy the run is void, which is reported and says nothing about the couriers.
    let text = output_text(&output);
    assert!(output.status.code() == Some(0) || text.contains("VOID"), "{text}");
    let report: serde_json::Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    assert_eq!(report["scenario"], "short");
    let (sent, delivered) = (report["counts"]["messages"].as_u64(), report["counts"]["delivered"].as_u64());
    assert!(sent.is_some_and(|sent| sent > 15) && delivered.is_some_and(|count| count > 15), "{report}");
    assert_eq!(report["broken"], serde_json::json!({}));
    let page = std::fs::read_to_string(&html).unwrap();
    assert!(page.contains("<svg") && page.contains("Service kept") && !page.contains("http://cdn"));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn service_under_the_floor_is_reported_by_the_exit_code() {
    let folder = folder("floor");
    // The partner never answers, so nothing can be delivered.
    let fault = "\n[[fault]]\nname = \"s\"\nkind = \"silent\"\nlength_s = 30\n";
    let path = scenario(&folder, &(SHORT_SCENARIO.replace("FLOOR", "0.9") + fault));
    let output = run(&["rehearse", path.to_str().unwrap(), "-q"]);
    let text = output_text(&output);
    assert!(
        output.status.code() == Some(1) && text.contains("UNDER THE FLOOR") || text.contains("VOID"),
        "{text}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

/// While the disk is full, messages are rejected at once. Afterwards service recovers by itself, and no rule is broken.
#[test]
fn messages_are_rejected_while_the_disk_is_full_and_service_recovers() {
    let folder = folder("full");
    let additions =
        "retries = false\n\n[couriers]\ncount = 1\n\n[[fault]]\nname = \"full\"\nkind = \"disk-full\"\n\
                start_s = 2\nlength_s = 2\ntargets = [\"courier-0\"]\n";
    let text = SHORT_SCENARIO.replace("seconds = 2", "seconds = 6").replace("FLOOR", "0.1") + additions;
    let path = scenario(&folder, &text);
    let json = folder.join("report.json");
    let output = run(&["rehearse", path.to_str().unwrap(), "-q", "--json", json.to_str().unwrap()]);
    let text = output_text(&output);
    assert!(output.status.code() == Some(0) || text.contains("VOID"), "{text}");
    let report: serde_json::Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    assert_eq!(report["broken"], serde_json::json!({}));
    let count = |name: &str| report["counts"][name].as_u64().unwrap();
    // `busy` counts the rejected messages. About 40 are expected: two seconds at twenty messages a second, drawn at random.
    assert!((20..60).contains(&count("busy")), "{report}");
    assert!(
        count("delivered") + count("busy") + 5 >= count("messages") && count("delivered") >= 50,
        "{report}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_rehearsal_that_cannot_be_run_exits_with_2_before_anything_starts() {
    let folder = folder("bad");
    let path = scenario(&folder, &SHORT_SCENARIO.replace("FLOOR", "7"));
    let output = run(&["rehearse", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let text = output_text(&output);
    assert!(text.contains("scenario.toml:3: floor: ") && text.lines().count() == 1, "{text}");
    let output = run(&["rehearse", "no-such-day"]);
    assert!(
        output.status.code() == Some(2) && output_text(&output).contains("smoke"),
        "{}",
        output_text(&output)
    );
    let output = run(&["rehearse", "smoke", "--program", "/no/such/daemon"]);
    assert!(
        output.status.code() == Some(2) && output_text(&output).contains("/no/such/daemon"),
        "{}",
        output_text(&output)
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn built_in_scenarios_are_listed_and_printed() {
    let list = output_text(&run(&["rehearse", "--list"]));
    assert!(["smoke", "christmas", "overlap", "mid-drain", "restarts", "payday"]
        .iter()
        .all(|n| list.contains(n)));
    let folder = folder("print");
    let text = output_text(&run(&["rehearse", "--print", "smoke"]));
    assert!(text.starts_with("name = \"smoke\""), "{text}");
    std::fs::remove_dir_all(folder).unwrap();
}

/// Processes whose environment names the folder of the rehearsal with this process id.
fn couriers_of(rehearsal: u32) -> Vec<u32> {
    let folder_prefix = format!("gullcart-rehearsal-{rehearsal}-");
    let mut found = Vec::new();
    for entry in std::fs::read_dir("/proc").unwrap().flatten() {
        let Some(pid) = entry.file_name().to_str().and_then(|name| name.parse::<u32>().ok()) else {
            continue;
        };
        let environment = std::fs::read(entry.path().join("environ")).unwrap_or_default();
        let state = std::fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        // A process may end between the two reads; a zombie is not running.
        let is_running = !state.contains(") Z ");
        if pid != rehearsal && is_running && String::from_utf8_lossy(&environment).contains(&folder_prefix) {
            found.push(pid);
        }
    }
    found
}

/// Waits until a condition is true.
fn wait_until(description: &str, is_true: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !is_true() {
        assert!(Instant::now() < deadline, "{description}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Starts a rehearsal, and waits until its three couriers run.
fn start_rehearsal() -> Child {
    let mut command = Command::new(CTL);
    command.args(["rehearse", "payday", "-q"]).stdout(Stdio::null()).stderr(Stdio::null());
    let child = command.spawn().unwrap();
    wait_until("three couriers run", || couriers_of(child.id()).len() == 3);
    child
}

#[test]
fn couriers_end_with_a_rehearsal_that_is_killed() {
    let mut rehearsal = start_rehearsal();
    let id = rehearsal.id();
    rehearsal.kill().unwrap();
    rehearsal.wait().unwrap();
    wait_until("all couriers have ended", || couriers_of(id).is_empty());
}

#[test]
fn couriers_end_with_a_rehearsal_that_is_interrupted() {
    let mut rehearsal = start_rehearsal();
    let id = rehearsal.id();
    let status = Command::new("/bin/sh").args(["-c", &format!("kill -INT {id}")]).status().unwrap();
    assert!(status.success());
    assert_eq!(rehearsal.wait().unwrap().code(), Some(2));
    wait_until("all couriers have ended", || couriers_of(id).is_empty());
}
