//! Case 1: an upgrade beside the running process, while messages arrive.
#[path = "../standins/world.rs"]
mod world;

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use world::*;

const DESTINATIONS: u32 = 14;
const ENDPOINTS: usize = 28;
/// Client programs, with a connection each.
const CONNECTIONS: usize = 50;
/// Messages a second at this courier, usually and while traffic jumps to 2.5 times the usual.
const USUAL: u64 = 55;
const JUMP: u64 = 137;
/// How long the courier is held up. The page allows 150 ms.
const HELD_UP: Duration = Duration::from_millis(120);
const UPGRADES: usize = 8;

fn main() {
    let root = std::env::current_dir().unwrap();
    run(&root.join("review/1/record.txt"), |record, folder| play(record, folder, &root))
}

fn play(record: &Record, folder: &Path, root: &Path) -> Result<Vec<String>, String> {
    let calls = Arc::new(Mutex::new(Vec::new()));
    let handler: Handler = Arc::new(|call: &Call| {
        // 120 to 200 ms at a partner of usual pace.
        let spread = call.id.bytes().fold(0u64, |sum, byte| sum * 31 % 8191 + u64::from(byte)) % 80;
        Reply::Answer(ms(120 + spread), "200 OK".into(), String::new())
    });
    let targets: Vec<Target> = (0..ENDPOINTS)
        .map(|number| Target {
            uid: format!("s-{number}"),
            address: endpoint(record, number, calls.clone(), handler.clone()),
            destination: number as u32 % DESTINATIONS + 1,
            state: "SERVING".into(),
            rate: 20.0,
        })
        .collect();
    let agent = Agent::start(record, "discovery", 2, targets.clone());
    let setup = Setup {
        root: root.to_owned(),
        folder: folder.to_owned(),
        name: "n1".into(),
        listen: format!("127.0.0.1:{}", free_port()),
        discovery: agent.address.clone(),
        known: list_json(2, true, &targets),
        settings: settings(2, 40, 800),
        disk_mb: 3.0,
        environment: Vec::new(),
        log: "gullcart::trail=debug".into(),
    };
    setup.write_config();
    let mut console = format!("127.0.0.1:{}", free_port());
    let mut running = setup.start(record, Some(&console));
    wait_ready(record, &setup.listen, Duration::from_secs(10));
    let front = Front::new(record, &setup.listen, CONNECTIONS);
    let rate = Arc::new(AtomicU64::new(USUAL));
    let generator = (front.sender(), rate.clone());
    std::thread::spawn(move || {
        let mut due = Instant::now();
        for number in 1u64.. {
            sleep(due.saturating_duration_since(Instant::now()));
            due += Duration::from_micros(1_000_000 / generator.1.load(Ordering::SeqCst));
            let is_salary = number % 25 < 11;
            generator.0.send(Message {
                id: format!("m{number:06}"),
                class: if is_salary { "salary-payment".into() } else { "pay-notice".into() },
                key: if is_salary { 0 } else { 0x1000 + number },
                destination: (number % u64::from(DESTINATIONS)) as u32 + 1,
                budget_ms: 24_000,
                body: "x".repeat(300),
            });
        }
    });
    sleep(Duration::from_secs(7));
    let mut old_processes = Vec::new();
    for _ in 0..UPGRADES {
        rate.store(JUMP, Ordering::SeqCst);
        sleep(Duration::from_secs(1));
        if with_trouble() {
            let next_console = format!("127.0.0.1:{}", free_port());
            running.signal(SIGSTOP);
            let stopped_at = Instant::now();
            let new = setup.start(record, Some(&next_console));
            sleep(HELD_UP.saturating_sub(stopped_at.elapsed()));
            running.signal(SIGCONT);
            let held_up = stopped_at.elapsed();
            record.line(&format!("the courier was held up for {held_up:?}"));
            if held_up > ms(150) {
                return Err("the courier was held up for longer than the page allows".into());
            }
            if !wait_yes(&next_console, Duration::from_secs(6)) {
                return Err("the new process does not say yes".into());
            }
            running.signal(SIGTERM);
            old_processes.push(std::mem::replace(&mut running, new));
            console = next_console;
        }
        sleep(ms(2500));
        rate.store(USUAL, Ordering::SeqCst);
        sleep(Duration::from_secs(3));
    }
    let _ = console;
    sleep(Duration::from_secs(3));
    for process in old_processes.iter().chain([&running]) {
        process.record_log(&["handed over", "resumed", "WARN", "ERROR"]);
    }
    let broken = judge(record, &front, &calls)?;
    // What the processes' own logs say of the messages that were run twice.
    let ids: Vec<&str> = broken.iter().filter_map(|line| line.split(' ').nth(1)).collect();
    if !ids.is_empty() {
        old_processes.iter().chain([&running]).for_each(|process| process.record_log(&ids));
    }
    Ok(broken)
}

/// An unsafe message may be called again only once it is certain that no call before took effect. All calls here are answered
/// with 200 or not at all, so that no call is ever certain not to have run: a second whole call breaks the rule.
fn judge(record: &Record, front: &Front, calls: &Mutex<Vec<Call>>) -> Result<Vec<String>, String> {
    let done = front.done.lock().unwrap();
    let taken = done.iter().filter(|one| one.answer.starts_with("+OK")).count();
    let mut by_id: BTreeMap<String, Vec<Call>> = BTreeMap::new();
    for call in calls.lock().unwrap().iter() {
        by_id.entry(call.id.clone()).or_default().push(call.clone());
    }
    let (mut broken, mut salaries, mut notices) = (Vec::new(), 0, 0);
    for one in done.iter().filter(|one| one.was_taken_once()) {
        let Some(calls) = by_id.get(&one.message.id).filter(|calls| calls.len() > 1) else { continue };
        let text: Vec<String> = calls
            .iter()
            .map(|call| format!("at {:.1} ms on endpoint {} from port {}", call.at, call.endpoint, call.port))
            .collect();
        let line = format!("{} {} was run {} times: {}", one.message.class, one.message.id, calls.len(), text.join("; "));
        if one.message.class == "salary-payment" {
            salaries += 1;
            broken.push(line);
        } else {
            notices += 1;
            record.line(&format!("repeated, which its class allows: {line}"));
        }
    }
    record.say(&format!(
        "handed in {}, taken {taken}, calls {}, salary-payment run twice {salaries}, pay-notice run twice {notices}",
        done.len(),
        by_id.values().map(Vec::len).sum::<usize>()
    ));
    if taken * 10 < done.len() * 9 {
        return Err("fewer than nine in ten messages were taken".into());
    }
    Ok(broken)
}
