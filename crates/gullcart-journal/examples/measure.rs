//! Measures the journal, that of releases before 0.2 and embedded stores in one run. Prints the Markdown tables of
//! `docs/journal.md`. Arguments are sizes of live data in MB; `dead` measures the replay of a log without live data.
//!
//!     cargo run --release -p gullcart-journal --example measure -- 1 10 100 1000
//!     cargo run --release -p gullcart-journal --example measure -- dead

#[path = "../benches/backends.rs"]
mod backends;

use backends::{Backend, Fjall, Redb, SegmentedJournal, SingleFileJournal, SyncedJournal, BODY_BYTES};
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Least number of cycles that are measured, unless [`MAX_DURATION`] ends the measurement.
const MIN_CYCLES: u64 = 60_000;
/// Longest duration of one measurement.
const MAX_DURATION: Duration = Duration::from_secs(12);

fn main() {
    if std::env::args().nth(1).as_deref() == Some("dead") {
        let folder = std::env::temp_dir().join(format!("gullcart-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        println!("{}", replay_dead(&folder));
        std::fs::remove_dir_all(&folder).expect("the folder can be removed");
        return;
    }
    let sizes: Vec<u64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![1, 10, 100] } else { sizes };
    // Without `MEASURE` this is the parent: it prints the header, and starts a child for each size and kind with `MEASURE`
    // set to the kind.
    if std::env::var("MEASURE").is_err() {
        println!("| live MB | kind | cycles/s | step p50 us | step p99.9 us | longest us | written over asked | replay ms | RSS after replay MB |");
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    }
    for live_mb in sizes {
        let messages = live_mb * 1_000_000 / (BODY_BYTES as u64 + 100);
        for kind in ["segments", "segments, synced", "one file", "redb", "fjall"] {
            // Each kind runs in a process of its own, so that memory is measured separately.
            if std::env::var("MEASURE").is_err() {
                let own = std::env::current_exe().expect("the path of this program is known");
                let status = std::process::Command::new(own)
                    .arg(live_mb.to_string())
                    .env("MEASURE", kind)
                    .status()
                    .expect("the program can be started again");
                assert!(status.success());
                continue;
            }
            if std::env::var("MEASURE").as_deref() != Ok(kind) {
                continue;
            }
            let folder = std::env::temp_dir().join(format!("gullcart-measure-{}", std::process::id()));
            std::fs::create_dir_all(&folder).expect("the folder can be created");
            let row = match kind {
                "segments" => measure::<SegmentedJournal>(&folder, live_mb, messages),
                "segments, synced" => measure::<SyncedJournal>(&folder, live_mb, messages),
                "one file" => measure::<SingleFileJournal>(&folder, live_mb, messages),
                "redb" => measure::<Redb>(&folder, live_mb, messages),
                _ => measure::<Fjall>(&folder, live_mb, messages),
            };
            println!("| {live_mb} | {kind} | {row} |");
            std::fs::remove_dir_all(&folder).expect("the folder can be removed");
        }
    }
}

/// Measures time and memory of replaying a log of 1 GB with almost no live data.
fn replay_dead(folder: &std::path::Path) -> String {
    let disk_bytes = 1_060_000_000;
    let mut journal = SegmentedJournal::open(folder, disk_bytes);
    // This message stays pending in the oldest segment, so that no segment is freed until the disk is full.
    journal.accept(0);
    let mut next = 1;
    while journal.written_bytes().is_some_and(|(appended, _)| appended < 1_000_000_000) {
        let number = journal.accept(next);
        journal.complete(number);
        next += 1;
    }
    drop(journal);
    let before = rss_mb();
    let begun = Instant::now();
    let journal = SegmentedJournal::open(folder, disk_bytes);
    let replay = begun.elapsed().as_secs_f64() * 1e3;
    let pending = journal.pending_messages();
    format!(
        "replaying 1 GB with {pending} held: {replay:.0} ms, {:.1} MB more than before it",
        rss_mb() - before
    )
}

/// Measures one backend with `live_mb` MB of pending messages; returns a row of the table.
fn measure<B: Backend>(folder: &std::path::Path, live_mb: u64, messages: u64) -> String {
    let disk_bytes = (live_mb as f64 * 1e6 * B::DISK_PER_LIVE) as u64;
    let mut backend = B::open(folder, disk_bytes);
    let mut pending: Vec<u32> = (0..messages).map(|number| backend.accept(number)).collect();
    let mut rng = fastrand::Rng::with_seed(1);
    // Enough cycles that the whole log has been rewritten once.
    let cycles = MIN_CYCLES.max(messages * 2);
    let mut next = messages;
    let mut cycle = |backend: &mut B, pending: &mut Vec<u32>, steps: Option<&mut Histogram<u64>>| {
        let mut histogram = steps;
        let mut step = |work: &mut dyn FnMut()| {
            let begun = Instant::now();
            work();
            if let Some(histogram) = &mut histogram {
                let _ = histogram.record(begun.elapsed().as_nanos() as u64);
            }
        };
        let mut number = 0;
        step(&mut || number = backend.accept(next));
        step(&mut || backend.start_attempt(number));
        step(&mut || backend.finish_attempt(number));
        // Mostly the most recent message is completed, and sometimes a random one.
        let index = if next.is_multiple_of(10) { rng.usize(..pending.len()) } else { pending.len() - 1 };
        let completed = std::mem::replace(&mut pending[index], number);
        step(&mut || backend.complete(completed));
        next += 1;
    };
    for _ in 0..messages / 2 {
        cycle(&mut backend, &mut pending, None);
    }
    let before = backend.written_bytes();
    let mut steps = Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3).expect("constant bounds");
    let begun = Instant::now();
    for _ in 0..cycles {
        cycle(&mut backend, &mut pending, Some(&mut steps));
        if begun.elapsed() > MAX_DURATION {
            break;
        }
    }
    let elapsed = begun.elapsed().as_secs_f64();
    let done = steps.len() / 4;
    let amplification = match (before, backend.written_bytes()) {
        (Some((appended, all)), Some((appended_now, all_now))) => {
            format!("{:.2}", (all_now - all) as f64 / (appended_now - appended) as f64)
        }
        _ => "-".to_owned(),
    };
    drop(backend);
    let begun = Instant::now();
    let backend = B::open(folder, disk_bytes);
    let replay = begun.elapsed().as_secs_f64() * 1e3;
    let memory = rss_mb();
    drop(backend);
    let us = |nanos: u64| nanos as f64 / 1e3;
    format!(
        "{:.0} | {:.1} | {:.0} | {:.0} | {amplification} | {replay:.0} | {memory:.0}",
        done as f64 / elapsed,
        us(steps.value_at_quantile(0.5)),
        us(steps.value_at_quantile(0.999)),
        us(steps.max()),
    )
}

/// Resident memory of this process, in MB.
fn rss_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:").map(str::to_owned));
    let kb: f64 = line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
    kb / 1e3
}
