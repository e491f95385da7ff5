//! The command as an operator meets it: exit codes, what it says, and that nothing outlives it.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const CTL: &str = env!("CARGO_BIN_EXE_gullcartctl");
/// Only a failing test waits for so long.
const PATIENCE: Duration = Duration::from_secs(60);

const SHORT: &str = r#"name = "short"
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

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("gullcartctl-test-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn scenario(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("scenario.toml");
    std::fs::write(&path, text).unwrap();
    path
}

fn run(arguments: &[&str]) -> Output {
    assert!(
        Path::new(CTL).with_file_name("gullcart").is_file(),
        "build the workspace: the daemon is missing"
    );
    Command::new(CTL).args(arguments).stdin(Stdio::null()).output().unwrap()
}

fn said(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

#[test]
fn a_short_day_is_kept_and_reported() {
    let folder = folder("kept");
    let path = scenario(&folder, &SHORT.replace("FLOOR", "0.5"));
    let (json, html) = (folder.join("report.json"), folder.join("report.html"));
    let to = |path: &Path| path.to_str().unwrap().to_owned();
    let output = run(&["rehearse", &to(&path), "--json", &to(&json), "--html", &to(&html)]);
    // A machine too busy for the kit makes the run void, which is said and is not the couriers' fault.
    let text = said(&output);
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
fn service_under_the_floor_is_told_by_the_exit_code() {
    let folder = folder("floor");
    // Silent all day: nothing can be delivered.
    let fault = "\n[[fault]]\nname = \"s\"\nkind = \"silent\"\nlength_s = 30\n";
    let path = scenario(&folder, &(SHORT.replace("FLOOR", "0.9") + fault));
    let output = run(&["rehearse", path.to_str().unwrap(), "-q"]);
    let text = said(&output);
    assert!(
        output.status.code() == Some(1) && text.contains("UNDER THE FLOOR") || text.contains("VOID"),
        "{text}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

/// While nothing can be written, messages are refused at once; then service goes on by itself, and no rule is broken.
#[test]
fn a_full_folder_is_answered_by_refusals_and_service_goes_on() {
    let folder = folder("full");
    let more =
        "retries = false\n\n[couriers]\ncount = 1\n\n[[fault]]\nname = \"full\"\nkind = \"disk-full\"\n\
                start_s = 2\nlength_s = 2\ntargets = [\"courier-0\"]\n";
    let text = SHORT.replace("seconds = 2", "seconds = 6").replace("FLOOR", "0.1") + more;
    let path = scenario(&folder, &text);
    let json = folder.join("report.json");
    let output = run(&["rehearse", path.to_str().unwrap(), "-q", "--json", json.to_str().unwrap()]);
    let text = said(&output);
    assert!(output.status.code() == Some(0) || text.contains("VOID"), "{text}");
    let report: serde_json::Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    assert_eq!(report["broken"], serde_json::json!({}));
    let count = |name: &str| report["counts"][name].as_u64().unwrap();
    // Two seconds at twenty messages a second, drawn by chance.
    assert!((20..60).contains(&count("busy")), "{report}");
    assert!(
        count("delivered") + count("busy") + 5 >= count("messages") && count("delivered") >= 50,
        "{report}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn what_cannot_be_run_exits_with_2_before_anything_starts() {
    let folder = folder("bad");
    let path = scenario(&folder, &SHORT.replace("FLOOR", "7"));
    let output = run(&["rehearse", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let text = said(&output);
    assert!(text.contains("scenario.toml:3: floor: ") && text.lines().count() == 1, "{text}");
    let output = run(&["rehearse", "no-such-day"]);
    assert!(output.status.code() == Some(2) && said(&output).contains("smoke"), "{}", said(&output));
    let output = run(&["rehearse", "smoke", "--program", "/no/such/daemon"]);
    assert!(
        output.status.code() == Some(2) && said(&output).contains("/no/such/daemon"),
        "{}",
        said(&output)
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn what_ships_is_listed_and_printed() {
    let list = said(&run(&["rehearse", "--list"]));
    assert!(["smoke", "christmas", "overlap", "mid-drain", "restarts", "payday"]
        .iter()
        .all(|n| list.contains(n)));
    let folder = folder("print");
    let text = said(&run(&["rehearse", "--print", "smoke"]));
    assert!(text.starts_with("name = \"smoke\""), "{text}");
    std::fs::remove_dir_all(folder).unwrap();
}

/// Processes whose configuration lies in a rehearsal of that kit.
fn couriers_of(kit: u32) -> Vec<u32> {
    let mark = format!("gullcart-rehearsal-{kit}-");
    let mut found = Vec::new();
    for entry in std::fs::read_dir("/proc").unwrap().flatten() {
        let Some(pid) = entry.file_name().to_str().and_then(|name| name.parse::<u32>().ok()) else {
            continue;
        };
        let environment = std::fs::read(entry.path().join("environ")).unwrap_or_default();
        let state = std::fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        // One that has ended and was not waited for has no environment, but may race with this look.
        let is_there = !state.contains(") Z ");
        if pid != kit && is_there && String::from_utf8_lossy(&environment).contains(&mark) {
            found.push(pid);
        }
    }
    found
}

fn until(what: &str, is: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !is() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn started() -> Child {
    let mut command = Command::new(CTL);
    command.args(["rehearse", "payday", "-q"]).stdout(Stdio::null()).stderr(Stdio::null());
    let child = command.spawn().unwrap();
    until("three couriers run", || couriers_of(child.id()).len() == 3);
    child
}

#[test]
fn couriers_end_with_a_kit_that_is_killed() {
    let mut kit = started();
    let id = kit.id();
    kit.kill().unwrap();
    kit.wait().unwrap();
    until("all couriers have ended", || couriers_of(id).is_empty());
}

#[test]
fn couriers_end_with_a_kit_that_is_interrupted() {
    let mut kit = started();
    let id = kit.id();
    let sent = Command::new("/bin/sh").args(["-c", &format!("kill -INT {id}")]).status().unwrap();
    assert!(sent.success());
    assert_eq!(kit.wait().unwrap().code(), Some(2));
    until("all couriers have ended", || couriers_of(id).is_empty());
}
