//! Destinations have numbers of 32 bits. Releases that knew 16 bits wrote the same bytes, which are read as they were.

mod common;

use bytes::Bytes;
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{Journal, Options, OutageNote};
use gullcart_message::{Target, Update};

/// Written by a release with numbers of 16 bits, which was killed: a list, two messages, and an outage of each destination.
const FIXTURE: &[u8] = include_bytes!("fixtures/segment-16-bit-destinations");
const SEGMENT: &str = "journal-0000000000000001.seg";
const DISK: u64 = 3_000_000;
const WIDE: [u32; 3] = [65_535, 65_536, 1_600_000];

fn open(disk: &Disk) -> Journal<Disk> {
    Journal::replay(disk.clone(), DISK, Options::default(), 7).unwrap()
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
fn a_segment_of_a_release_with_16_bits_is_read_as_it_was() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    disk.put(SEGMENT, FIXTURE.to_vec());
    let journal = open(&disk);
    let image = journal.image();
    assert!(image.destinations.iter().copied().eq(65_530..=65_535));
    let listed: Vec<_> = image.targets.values().map(|t| (t.uid.as_str(), t.pod_group)).collect();
    let expected: Vec<String> = (0..6).map(|number| format!("s-{number:07}")).collect();
    assert!(listed.iter().copied().eq(expected.iter().map(String::as_str).zip(65_530..)));
    let held: Vec<_> =
        image.held.values().map(|held| (held.taken.id.as_str(), held.taken.destination)).collect();
    assert_eq!(held, [("m1", 65_530), ("m2", 65_535)]);
    assert!(image.outages().map(|note| note.destination).eq([65_530, 65_535]));
}

#[test]
fn wide_destinations_are_there_after_a_crash_and_when_all_was_written_anew() {
    let mut disk = Disk::new(DISK, Crash::Process, 1);
    let mut journal = open(&disk);
    journal.targets(&Update { rev: 1, all: true, targets: WIDE.map(target).to_vec() }).unwrap();
    let note = |destination| OutageNote {
        destination,
        uid: Some(format!("s-{destination}")),
        since_ms: 1,
        evidence: 3,
        lost: Some(true),
        returned_ms: None,
        share: 0.25,
    };
    journal.outages(&WIDE.map(note)).unwrap();
    for (number, destination) in (0..).zip(WIDE) {
        let mut taken = common::taken(number, Bytes::from_static(b"x"));
        taken.destination = destination;
        journal.take(taken).unwrap();
    }
    // Enough traffic that its first segments are freed, and the list is written anew.
    for round in 0..2 {
        let image = journal.image();
        assert!(image.destinations.iter().copied().eq(WIDE), "{round}");
        assert!(image.held.values().map(|held| held.taken.destination).eq(WIDE), "{round}");
        assert!(image.outages().map(|note| note.destination).eq(WIDE), "{round}");
        let mut listed: Vec<u32> = image.targets.values().map(|target| target.pod_group).collect();
        listed.sort_unstable();
        assert_eq!(listed, WIDE, "{round}");
        if round == 0 {
            for number in 10..6_000 {
                let number = journal.take(common::taken(number, Bytes::from(vec![1; 1000]))).unwrap();
                journal.over(number).unwrap();
            }
            journal.commit().unwrap();
            assert!(journal.figures().freed > 0, "{:?}", journal.figures());
            disk = disk.crashed();
            journal = open(&disk);
        }
    }
}
