//! Compatibility with releases that had 16-bit destination numbers: integers are stored with variable length, so 32-bit
//! numbers have the same bytes.

mod common;

use bytes::Bytes;
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{Journal, Options, PersistedOutage};
use gullcart_message::{ListingUpdate, Target};

/// Written by a release with 16-bit destination numbers that was then killed: a listing, two messages, and two outages.
const FIXTURE: &[u8] = include_bytes!("fixtures/segment-16-bit-destinations");
const SEGMENT: &str = "journal-0000000000000001.seg";
const DISK_BYTES: u64 = 3_000_000;
/// The largest 16-bit number, and two that need more bits.
const WIDE_DESTINATIONS: [u32; 3] = [65_535, 65_536, 1_600_000];

fn open(disk: &Disk) -> Journal<Disk> {
    Journal::replay(disk.clone(), DISK_BYTES, Options::default(), 7).unwrap()
}

fn target(destination: u32) -> Target {
    Target {
        uid: format!("s-{destination}"),
        endpoint: "127.0.0.1:1".to_owned(),
        az: "a".to_owned(),
        model: "m".to_owned(),
        pod_group: destination,
        state: "SERVING".to_owned(),
        capacity_hint: 1.0,
    }
}

#[test]
fn a_segment_with_16_bit_destinations_is_read() {
    let disk = Disk::new(DISK_BYTES, Crash::Process, 1);
    disk.put_file(SEGMENT, FIXTURE.to_vec());
    let journal = open(&disk);
    let state = journal.state();
    assert!(state.destinations.iter().copied().eq(65_530..=65_535));
    let listed: Vec<_> = state.targets.values().map(|t| (t.uid.as_str(), t.pod_group)).collect();
    let expected: Vec<String> = (0..6).map(|number| format!("s-{number:07}")).collect();
    assert!(listed.iter().copied().eq(expected.iter().map(String::as_str).zip(65_530..)));
    let pending: Vec<_> =
        state.pending.values().map(|p| (p.message.id.as_str(), p.message.destination)).collect();
    assert_eq!(pending, [("m1", 65_530), ("m2", 65_535)]);
    assert!(state.outages().map(|outage| outage.destination).eq([65_530, 65_535]));
}

#[test]
fn wide_destinations_survive_a_crash_and_compaction() {
    let mut disk = Disk::new(DISK_BYTES, Crash::Process, 1);
    let mut journal = open(&disk);
    let targets = WIDE_DESTINATIONS.map(target).to_vec();
    journal.update_listing(&ListingUpdate { rev: 1, all: true, targets }).unwrap();
    let outage = |destination| PersistedOutage {
        destination,
        uid: Some(format!("s-{destination}")),
        since_ms: 1,
        failure_weight: 3,
        calls_were_lost: Some(true),
        slow_start_since_ms: None,
        served_per_second: 0.25,
    };
    journal.set_outages(&WIDE_DESTINATIONS.map(outage)).unwrap();
    for (number, destination) in (0..).zip(WIDE_DESTINATIONS) {
        let mut message = common::message(number, Bytes::from_static(b"x"));
        message.destination = destination;
        journal.accept(message).unwrap();
    }
    // Enough traffic that the first segments are freed and their live data is rewritten.
    for round in 0..2 {
        let state = journal.state();
        assert!(state.destinations.iter().copied().eq(WIDE_DESTINATIONS), "{round}");
        assert!(
            state.pending.values().map(|pending| pending.message.destination).eq(WIDE_DESTINATIONS),
            "{round}"
        );
        assert!(state.outages().map(|outage| outage.destination).eq(WIDE_DESTINATIONS), "{round}");
        let mut listed: Vec<u32> = state.targets.values().map(|target| target.pod_group).collect();
        listed.sort_unstable();
        assert_eq!(listed, WIDE_DESTINATIONS, "{round}");
        if round == 0 {
            for number in 10..6_000 {
                let number = journal.accept(common::message(number, Bytes::from(vec![1; 1000]))).unwrap();
                journal.complete(number).unwrap();
            }
            journal.commit().unwrap();
            assert!(journal.stats().freed_segments > 0, "{:?}", journal.stats());
            disk = disk.after_crash();
            journal = open(&disk);
        }
    }
}
