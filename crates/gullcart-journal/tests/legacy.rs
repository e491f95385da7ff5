//! Migration from the single file of releases before 0.2: the file is read as those releases read it, its live records are
//! rewritten into segments while traffic flows, and a crash at any point of that loses nothing.

mod common;

#[path = "../benches/legacy_journal.rs"]
mod legacy_journal;

use bytes::Bytes;
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{inspect, Journal, JournalError, JournalState, Options};

/// Written by release 0.1 under load, and copied while it ran.
const FIXTURE: &[u8] = include_bytes!("fixtures/journal-0.1");
const DISK_BYTES: u64 = 3_000_000;

fn open(disk: &Disk, disk_bytes: u64) -> Result<Journal<Disk>, JournalError> {
    Journal::replay(disk.clone(), disk_bytes, Options::default(), 7)
}

fn disk_with_legacy_file(bytes: &[u8]) -> Disk {
    let disk = Disk::new(DISK_BYTES, Crash::Process, 1);
    disk.put_file("journal", bytes.to_vec());
    disk
}

/// Describes a state with the fields that both releases have.
fn describe(state: &JournalState) -> String {
    let pending: Vec<_> = state
        .pending
        .iter()
        .map(|(n, p)| (n, &p.message, p.attempts, p.may_have_run, p.in_flight, p.verdict))
        .collect();
    let outages: Vec<_> = state
        .outages()
        .map(|o| (o.destination, &o.uid, o.since_ms, o.failure_weight, o.calls_were_lost))
        .collect();
    format!(
        "{pending:?} {} {} {:?} {:?} {outages:?}",
        state.last_number, state.listing_rev, state.targets, state.destinations
    )
}

fn describe_legacy(state: &legacy_journal::JournalState) -> String {
    let pending: Vec<_> = state
        .pending
        .iter()
        .map(|(n, p)| (n, &p.message, p.attempts, p.may_have_run, p.in_flight, p.verdict))
        .collect();
    let mut outages: Vec<_> = state
        .outages
        .iter()
        .map(|o| (o.destination, &o.uid, o.since_ms, o.failure_weight, o.calls_were_lost))
        .collect();
    outages.sort();
    format!(
        "{pending:?} {} {} {:?} {:?} {outages:?}",
        state.last_number, state.listing_rev, state.targets, state.destinations
    )
}

/// The state to which the legacy journal replays the same bytes, as [`describe_legacy`] shows it.
fn replay_legacy(bytes: &[u8], name: &str) -> String {
    let folder = std::env::temp_dir().join(format!("gullcart-legacy-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("journal"), bytes).unwrap();
    let journal = legacy_journal::Journal::open(&folder, DISK_BYTES).unwrap();
    let description = describe_legacy(&journal.state);
    std::fs::remove_dir_all(folder).unwrap();
    description
}

#[test]
fn the_legacy_file_replays_to_the_same_state() {
    let journal = open(&disk_with_legacy_file(FIXTURE), DISK_BYTES).unwrap();
    assert!(journal.state().pending.len() > 5 && journal.state().targets.len() > 5);
    assert_eq!(describe(journal.state()), replay_legacy(FIXTURE, "whole"));
    // Truncated at any offset, as a crash of that release may have left it.
    for at in (0..FIXTURE.len()).step_by(FIXTURE.len() / 40) {
        let journal = open(&disk_with_legacy_file(&FIXTURE[..at]), DISK_BYTES).unwrap();
        assert_eq!(describe(journal.state()), replay_legacy(&FIXTURE[..at], "cut"), "cut at {at}");
    }
    assert_eq!(inspect(&disk_with_legacy_file(FIXTURE)).unwrap().damage, Vec::<String>::new());
}

/// The legacy file stays unchanged until all its live records have been rewritten; then it is removed. A crash at any
/// operation until then loses nothing.
#[test]
fn the_legacy_file_is_rewritten_while_traffic_flows() {
    // So small a disk that the space of the legacy file is needed.
    let disk_bytes = (FIXTURE.len() as u64 + 80_000) / 512 * 512;
    let disk = Disk::new(disk_bytes, Crash::Process, 1);
    disk.put_file("journal", FIXTURE.to_vec());
    let mut journal = open(&disk, disk_bytes).unwrap();
    let legacy_messages: Vec<u32> = journal.state().pending.keys().copied().collect();
    disk.capture_crashes(1);
    let mut tried = 0;
    let mut next_message = 0;
    while disk.file_bytes("journal").is_some() {
        let before = journal.state().clone();
        let number = journal.accept(common::message(next_message, Bytes::from(vec![1; 500])));
        if let Ok(number) = number {
            journal.complete(number).unwrap();
        }
        next_message += 1;
        assert!(next_message < 5000, "the legacy file is never removed: {:?}", journal.stats());
        for crashed in disk.take_captured() {
            tried += 1;
            let reopened = open(&crashed, disk_bytes).unwrap();
            for number in &legacy_messages {
                assert_eq!(
                    reopened.state().pending.get(number),
                    before.pending.get(number),
                    "message {number}"
                );
            }
            assert_eq!(
                (&reopened.state().targets, reopened.state().listing_rev),
                (&before.targets, before.listing_rev)
            );
        }
    }
    assert!(tried > 100, "{tried}");
    assert!(disk.max_used_bytes() <= disk_bytes);
    let reopened = open(&disk.after_crash(), disk_bytes).unwrap();
    assert!(legacy_messages.iter().all(|number| reopened.state().pending.contains_key(number)));
}
