//! The single file of releases before 0.2: read as that release reads it, rewritten segment by segment while traffic
//! flows, and safe from a crash at any point of that.

mod common;

#[path = "../benches/before.rs"]
mod before;

use bytes::Bytes;
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{look, Image, Journal, JournalError, Options};

/// Written by release 0.1 in the midst of a rehearsal, and copied while it ran.
const FIXTURE: &[u8] = include_bytes!("fixtures/journal-0.1");
const DISK: u64 = 3_000_000;

fn open(disk: &Disk, size: u64) -> Result<Journal<Disk>, JournalError> {
    Journal::replay(disk.clone(), size, Options::default(), 7)
}

fn with(bytes: &[u8]) -> Disk {
    let disk = Disk::new(DISK, Crash::Process, 1);
    disk.put("journal", bytes.to_vec());
    disk
}

/// All that an image says, in words that both releases share.
fn told(image: &Image) -> String {
    let held: Vec<_> =
        image.held.iter().map(|(n, h)| (n, &h.taken, h.attempts, h.maybe_ran, h.out, h.verdict)).collect();
    let outages: Vec<_> =
        image.outages().map(|o| (o.destination, &o.uid, o.since_ms, o.evidence, o.lost)).collect();
    format!("{held:?} {} {} {:?} {:?} {outages:?}", image.last, image.rev, image.targets, image.destinations)
}

fn told_before(image: &before::Image) -> String {
    let held: Vec<_> =
        image.held.iter().map(|(n, h)| (n, &h.taken, h.attempts, h.maybe_ran, h.out, h.verdict)).collect();
    let mut outages: Vec<_> =
        image.outages.iter().map(|o| (o.destination, &o.uid, o.since_ms, o.evidence, o.lost)).collect();
    outages.sort();
    format!("{held:?} {} {} {:?} {:?} {outages:?}", image.last, image.rev, image.targets, image.destinations)
}

/// What that release makes of the same bytes.
fn before(bytes: &[u8], name: &str) -> String {
    let folder = std::env::temp_dir().join(format!("gullcart-legacy-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("journal"), bytes).unwrap();
    let journal = before::Journal::open(&folder, DISK).unwrap();
    let told = told_before(&journal.image);
    std::fs::remove_dir_all(folder).unwrap();
    told
}

#[test]
fn the_old_file_is_read_as_it_was() {
    let journal = open(&with(FIXTURE), DISK).unwrap();
    assert!(journal.image().held.len() > 5 && journal.image().targets.len() > 5);
    assert_eq!(told(journal.image()), before(FIXTURE, "whole"));
    // Cut off anywhere, as a crash of that release may have left it.
    for at in (0..FIXTURE.len()).step_by(FIXTURE.len() / 40) {
        let journal = open(&with(&FIXTURE[..at]), DISK).unwrap();
        assert_eq!(told(journal.image()), before(&FIXTURE[..at], "cut"), "cut at {at}");
    }
    assert_eq!(look(&with(FIXTURE)).unwrap().damage, Vec::<String>::new());
}

/// The old file stays as it is until all that is live of it stands elsewhere; then it goes. At every operation on the
/// way a crash finds everything.
#[test]
fn the_old_file_is_rewritten_while_traffic_flows() {
    // So small a folder that the old file has to give way.
    let small = (FIXTURE.len() as u64 + 80_000) / 512 * 512;
    let disk = Disk::new(small, Crash::Process, 1);
    disk.put("journal", FIXTURE.to_vec());
    let mut journal = open(&disk, small).unwrap();
    let old: Vec<u32> = journal.image().held.keys().copied().collect();
    disk.capture(1);
    let mut tried = 0;
    let mut next = 0;
    while disk.bytes("journal").is_some() {
        let before = journal.image().clone();
        let number = journal.take(common::taken(next, Bytes::from(vec![1; 500])));
        if let Ok(number) = number {
            journal.over(number).unwrap();
        }
        next += 1;
        assert!(next < 5000, "it never goes: {:?}", journal.figures());
        for crashed in disk.captured() {
            tried += 1;
            let again = open(&crashed, small).unwrap();
            for number in &old {
                assert_eq!(again.image().held.get(number), before.held.get(number), "message {number}");
            }
            assert_eq!((&again.image().targets, again.image().rev), (&before.targets, before.rev));
        }
    }
    assert!(tried > 100, "{tried}");
    assert!(disk.most_used() <= small);
    let again = open(&disk.crashed(), small).unwrap();
    assert!(old.iter().all(|number| again.image().held.contains_key(number)));
}
