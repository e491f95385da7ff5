//! Measures the journal beside that of releases before 0.2 and beside embedded stores, in one run. It prints Markdown
//! tables for `docs/journal.md`.
//!
//!     cargo run --release -p gullcart-journal --example measure -- 1 10 100 1000
//!     cargo run --release -p gullcart-journal --example measure -- dead

#[path = "../benches/kinds.rs"]
mod kinds;

use hdrhistogram::Histogram;
use kinds::{Fjall, Keep, New, Old, Redb, Synced, BODY};
use std::time::{Duration, Instant};

/// Cycles measured, at the least.
const CYCLES: u64 = 60_000;
/// ... but for no longer than this.
const LONGEST: Duration = Duration::from_secs(12);

fn main() {
    if std::env::args().nth(1).as_deref() == Some("dead") {
        let folder = std::env::temp_dir().join(format!("gullcart-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder can be made");
        println!("{}", replay_dead(&folder));
        std::fs::remove_dir_all(&folder).expect("it can be removed");
        return;
    }
    let sizes: Vec<u64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![1, 10, 100] } else { sizes };
    if std::env::var("MEASURE").is_err() {
        println!("| live MB | kind | cycles/s | step p50 us | step p99.9 us | longest us | written over asked | replay ms | RSS after replay MB |");
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    }
    for live in sizes {
        let messages = live * 1_000_000 / (BODY as u64 + 100);
        for kind in ["segments", "segments, synced", "one file", "redb", "fjall"] {
            // One process for each, so that memory is its own.
            if std::env::var("MEASURE").is_err() {
                let own = std::env::current_exe().expect("this program is a file");
                let status = std::process::Command::new(own)
                    .arg(live.to_string())
                    .env("MEASURE", kind)
                    .status()
                    .expect("it can be started again");
                assert!(status.success());
                continue;
            }
            if std::env::var("MEASURE").as_deref() != Ok(kind) {
                continue;
            }
            let folder = std::env::temp_dir().join(format!("gullcart-measure-{}", std::process::id()));
            std::fs::create_dir_all(&folder).expect("a folder can be made");
            let row = match kind {
                "segments" => measure::<New>(&folder, live, messages),
                "segments, synced" => measure::<Synced>(&folder, live, messages),
                "one file" => measure::<Old>(&folder, live, messages),
                "redb" => measure::<Redb>(&folder, live, messages),
                _ => measure::<Fjall>(&folder, live, messages),
            };
            println!("| {live} | {kind} | {row} |");
            std::fs::remove_dir_all(&folder).expect("it can be removed");
        }
    }
}

/// A log of a gigabyte of which next to nothing is live: what replaying it holds in memory.
fn replay_dead(folder: &std::path::Path) -> String {
    let disk = 1_060_000_000;
    let mut keep = New::open(folder, disk);
    // It lives in the oldest segment, so that nothing behind it is freed until the disk is full.
    keep.take(0);
    let mut next = 1;
    while keep.written().is_some_and(|(asked, _)| asked < 1_000_000_000) {
        let number = keep.take(next);
        keep.over(number);
        next += 1;
    }
    drop(keep);
    let before = rss_mb();
    let begun = Instant::now();
    let keep = New::open(folder, disk);
    let replay = begun.elapsed().as_secs_f64() * 1e3;
    let held = keep.held();
    format!(
        "replaying 1 GB with {held} held: {replay:.0} ms, {:.1} MB more than before it",
        rss_mb() - before
    )
}

fn measure<K: Keep>(folder: &std::path::Path, live: u64, messages: u64) -> String {
    let disk = (live as f64 * 1e6 * K::ROOM) as u64;
    let mut keep = K::open(folder, disk);
    let mut held: Vec<u32> = (0..messages).map(|number| keep.take(number)).collect();
    let mut rng = fastrand::Rng::with_seed(1);
    // Until the log has gone round once.
    let cycles = CYCLES.max(messages * 2);
    let mut next = messages;
    let mut cycle = |keep: &mut K, held: &mut Vec<u32>, steps: Option<&mut Histogram<u64>>| {
        let mut note = steps;
        let mut step = |work: &mut dyn FnMut()| {
            let begun = Instant::now();
            work();
            if let Some(histogram) = &mut note {
                let _ = histogram.record(begun.elapsed().as_nanos() as u64);
            }
        };
        let mut number = 0;
        step(&mut || number = keep.take(next));
        step(&mut || keep.start(number));
        step(&mut || keep.outcome(number));
        // Mostly the young end; of the old ones, any.
        let place = if next.is_multiple_of(10) { rng.usize(..held.len()) } else { held.len() - 1 };
        let ends = std::mem::replace(&mut held[place], number);
        step(&mut || keep.over(ends));
        next += 1;
    };
    for _ in 0..messages / 2 {
        cycle(&mut keep, &mut held, None);
    }
    let before = keep.written();
    let mut steps = Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3).expect("constant bounds");
    let begun = Instant::now();
    for _ in 0..cycles {
        cycle(&mut keep, &mut held, Some(&mut steps));
        if begun.elapsed() > LONGEST {
            break;
        }
    }
    let took = begun.elapsed().as_secs_f64();
    let done = steps.len() / 4;
    let amplification = match (before, keep.written()) {
        (Some((asked, all)), Some((asked_now, all_now))) => {
            format!("{:.2}", (all_now - all) as f64 / (asked_now - asked) as f64)
        }
        _ => "-".to_owned(),
    };
    drop(keep);
    let begun = Instant::now();
    let keep = K::open(folder, disk);
    let replay = begun.elapsed().as_secs_f64() * 1e3;
    let memory = rss_mb();
    drop(keep);
    let us = |nanos: u64| nanos as f64 / 1e3;
    format!(
        "{:.0} | {:.1} | {:.0} | {:.0} | {amplification} | {replay:.0} | {memory:.0}",
        done as f64 / took,
        us(steps.value_at_quantile(0.5)),
        us(steps.value_at_quantile(0.999)),
        us(steps.max()),
    )
}

fn rss_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:").map(str::to_owned));
    let kb: f64 = line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
    kb / 1e3
}
