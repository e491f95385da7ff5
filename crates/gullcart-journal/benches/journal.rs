//! Append, the mixed cycle and replay, beside the journal of releases before 0.2 and embedded stores.
//!
//!     cargo bench -p gullcart-journal

mod kinds;

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use kinds::{Fjall, Keep, New, Old, Redb};
use std::path::PathBuf;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gullcart-bench-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder can be made");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const MESSAGES: u64 = 1000;
const DISK: u64 = 8_000_000;

fn cycle<K: Keep>(criterion: &mut Criterion, name: &str) {
    let folder = Folder::new(name);
    let mut keep = K::open(&folder.0, DISK);
    let mut held: std::collections::VecDeque<u32> = (0..MESSAGES).map(|number| keep.take(number)).collect();
    let mut next = MESSAGES;
    criterion.bench_function(&format!("cycle/{name}"), |bencher| {
        bencher.iter(|| {
            let number = keep.take(next);
            keep.start(number);
            keep.outcome(number);
            held.push_back(number);
            if let Some(oldest) = held.pop_front() {
                keep.over(oldest);
            }
            next += 1;
        });
    });
}

fn append<K: Keep>(criterion: &mut Criterion, name: &str) {
    let folder = Folder::new(name);
    let mut keep = K::open(&folder.0, DISK);
    let number = keep.take(1);
    criterion.bench_function(&format!("append/{name}"), |bencher| bencher.iter(|| keep.start(number)));
}

fn replay<K: Keep>(criterion: &mut Criterion, name: &str) {
    let folder = Folder::new(name);
    let mut keep = K::open(&folder.0, DISK);
    for number in 0..3000 {
        let number = keep.take(number);
        keep.start(number);
    }
    drop(keep);
    criterion.bench_function(&format!("replay 3 MB/{name}"), |bencher| {
        bencher.iter_batched(|| (), |()| K::open(&folder.0, DISK), BatchSize::PerIteration);
    });
}

fn all(criterion: &mut Criterion) {
    cycle::<New>(criterion, "segments");
    cycle::<Old>(criterion, "one file");
    cycle::<Redb>(criterion, "redb");
    cycle::<Fjall>(criterion, "fjall");
    append::<New>(criterion, "segments");
    append::<Old>(criterion, "one file");
    replay::<New>(criterion, "segments");
    replay::<Old>(criterion, "one file");
}

criterion_group! {
    name = journal;
    config = Criterion::default().sample_size(20).without_plots();
    targets = all
}
criterion_main!(journal);
