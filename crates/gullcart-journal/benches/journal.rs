//! Benchmarks of a full message cycle, of appends and of replay, compared with the journal of releases before 0.2 and with
//! embedded stores.
//!
//!     cargo bench -p gullcart-journal

mod backends;

use backends::{Backend, Fjall, Redb, SegmentedJournal, SingleFileJournal};
use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use std::path::PathBuf;

/// A temporary folder that is removed when dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gullcart-bench-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("the folder can be created");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const MESSAGES: u64 = 1000;
const DISK_BYTES: u64 = 8_000_000;

fn cycle<B: Backend>(criterion: &mut Criterion, name: &str) {
    let folder = TempFolder::new(name);
    let mut backend = B::open(&folder.0, DISK_BYTES);
    let mut pending: std::collections::VecDeque<u32> =
        (0..MESSAGES).map(|number| backend.accept(number)).collect();
    let mut next = MESSAGES;
    criterion.bench_function(&format!("cycle/{name}"), |bencher| {
        bencher.iter(|| {
            let number = backend.accept(next);
            backend.start_attempt(number);
            backend.finish_attempt(number);
            pending.push_back(number);
            if let Some(oldest) = pending.pop_front() {
                backend.complete(oldest);
            }
            next += 1;
        });
    });
}

fn append<B: Backend>(criterion: &mut Criterion, name: &str) {
    let folder = TempFolder::new(name);
    let mut backend = B::open(&folder.0, DISK_BYTES);
    let number = backend.accept(1);
    criterion
        .bench_function(&format!("append/{name}"), |bencher| bencher.iter(|| backend.start_attempt(number)));
}

fn replay<B: Backend>(criterion: &mut Criterion, name: &str) {
    let folder = TempFolder::new(name);
    let mut backend = B::open(&folder.0, DISK_BYTES);
    for number in 0..3000 {
        let number = backend.accept(number);
        backend.start_attempt(number);
    }
    drop(backend);
    criterion.bench_function(&format!("replay 3 MB/{name}"), |bencher| {
        bencher.iter_batched(|| (), |()| B::open(&folder.0, DISK_BYTES), BatchSize::PerIteration);
    });
}

fn all(criterion: &mut Criterion) {
    cycle::<SegmentedJournal>(criterion, "segments");
    cycle::<SingleFileJournal>(criterion, "one file");
    cycle::<Redb>(criterion, "redb");
    cycle::<Fjall>(criterion, "fjall");
    append::<SegmentedJournal>(criterion, "segments");
    append::<SingleFileJournal>(criterion, "one file");
    replay::<SegmentedJournal>(criterion, "segments");
    replay::<SingleFileJournal>(criterion, "one file");
}

criterion_group! {
    name = journal;
    config = Criterion::default().sample_size(20).without_plots();
    targets = all
}
criterion_main!(journal);
