//! Damage of all kinds: told from a torn end, never a panic, and repaired as far as can be proven.

mod common;

use bytes::Bytes;
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{look, repair, Durability, Journal, JournalError, Options, Wrong};
use proptest::prelude::*;
use std::path::{Path, PathBuf};

const DISK: u64 = 128 << 10;
const OPTIONS: Options = Options { durability: Durability::Process, segment: Some(4 << 10) };

fn open(disk: &Disk) -> Result<Journal<Disk>, JournalError> {
    Journal::replay(disk.clone(), DISK, OPTIONS, 7)
}

/// Some segments full of messages that are held, none of them sent.
fn written() -> (Disk, Vec<String>) {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut journal = open(&disk).unwrap();
    for number in 0..100 {
        journal.take(common::taken(number, Bytes::from(vec![7; 100]))).unwrap();
    }
    let mut names: Vec<String> = disk.names().into_iter().filter(|name| name.ends_with(".seg")).collect();
    names.sort();
    assert!(names.len() >= 4, "{names:?}");
    (disk, names)
}

fn with(disk: &Disk, name: &str, change: impl FnOnce(&mut Vec<u8>)) -> Disk {
    let other = disk.crashed();
    let mut bytes = other.bytes(name).unwrap();
    change(&mut bytes);
    other.put(name, bytes);
    other
}

/// Where the last record ends.
fn end(bytes: &[u8]) -> usize {
    bytes.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 1)
}

#[test]
fn a_torn_end_is_cut_and_damage_before_good_records_is_an_error() {
    let (disk, names) = written();
    let (first, last) = (&names[0], names.last().unwrap());
    let size = end(&disk.bytes(last).unwrap());
    // The last record, whatever becomes of it, promised nothing yet.
    for cut in size - 40..size {
        let torn = with(&disk, last, |bytes| bytes.truncate(cut));
        assert_eq!(open(&torn).unwrap().image().held.len(), 99, "cut at {cut}");
        let flipped = with(&disk, last, |bytes| bytes[cut] ^= 1);
        assert_eq!(open(&flipped).unwrap().image().held.len(), 99, "flipped at {cut}");
    }
    // One before it had been promised.
    for (name, at) in [(last, 64), (last, 70), (last, 90), (first, 64), (first, 2000)] {
        let damaged = with(&disk, name, |bytes| bytes[at] ^= 0x10);
        match open(&damaged) {
            Err(JournalError::Damaged(damage)) => {
                assert_eq!((&damage.file, &damage.what), (name, &Wrong::Record));
                assert!(damage.offset <= at as u64 && damage.offset + 400 > at as u64, "{damage}");
            }
            other => panic!("{name} at {at}: {:?}", other.err()),
        }
        // Nothing was touched.
        assert_eq!(damaged.bytes(name).unwrap()[at] ^ 0x10, disk.bytes(name).unwrap()[at]);
    }
    let short = with(&disk, first, |bytes| bytes.truncate(1000));
    assert!(
        matches!(open(&short), Err(JournalError::Damaged(d)) if matches!(d.what, Wrong::Short | Wrong::Record))
    );
    let headless = with(&disk, first, |bytes| bytes[3] = 0);
    assert!(matches!(open(&headless), Err(JournalError::Damaged(d)) if d.what == Wrong::Header));
}

#[test]
fn a_missing_segment_and_one_of_another_journal_are_told() {
    use gullcart_journal::Store;
    let (disk, names) = written();
    for gone in [0, 1, names.len() - 2] {
        let other = disk.crashed();
        other.remove(&names[gone]).unwrap();
        match open(&other) {
            Err(JournalError::Damaged(damage)) => {
                assert_eq!((damage.file, damage.what), (names[gone].clone(), Wrong::Missing));
            }
            result => panic!("without {}: {:?}", names[gone], result.err()),
        }
        assert!(!look(&other).unwrap().is_sound());
    }
    // The same segment of another journal, whole in itself.
    let foreign = Disk::new(DISK, Crash::Process, 1);
    let mut journal = Journal::replay(foreign.clone(), DISK, OPTIONS, 8).unwrap();
    for number in 0..100 {
        journal.take(common::taken(number, Bytes::from(vec![7; 100]))).unwrap();
    }
    let mixed = with(&disk, &names[1], |bytes| *bytes = foreign.bytes(&names[1]).unwrap());
    assert!(
        matches!(open(&mixed), Err(JournalError::Damaged(d)) if d.what == Wrong::Header && d.file == names[1])
    );
}

#[test]
fn a_newer_format_is_refused_and_left_untouched() {
    let (disk, names) = written();
    let newer = with(&disk, &names[2], |bytes| bytes[8] = 2);
    let before: Vec<_> = newer.names().iter().map(|name| newer.bytes(name)).collect();
    let operations = newer.operations();
    let error = open(&newer).err().unwrap().to_string();
    assert!(error.contains(&names[2]) && error.contains("format 2") && error.contains("up to 1"), "{error}");
    assert_eq!(before, newer.names().iter().map(|name| newer.bytes(name)).collect::<Vec<_>>());
    assert_eq!(newer.operations(), operations);
}

/// A folder that is removed at the end.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gullcart-journal-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Scratch(path)
    }

    fn segments(&self) -> Vec<PathBuf> {
        let files = std::fs::read_dir(&self.0).unwrap().map(|file| file.unwrap().path());
        let mut files: Vec<PathBuf> =
            files.filter(|path| path.extension().is_some_and(|e| e == "seg")).collect();
        files.sort();
        files
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn flip(path: &Path, at: usize) {
    let mut bytes = std::fs::read(path).unwrap();
    bytes[at] ^= 0x10;
    std::fs::write(path, bytes).unwrap();
}

/// What can be proven is taken over; a message of which a record may be lost counts as having run.
#[test]
fn a_repair_takes_over_what_can_be_proven_and_keeps_the_files() {
    let scratch = Scratch::new("repair");
    let mut journal = Journal::open(&scratch.0, DISK, OPTIONS).unwrap();
    for number in 0..100 {
        journal.take(common::taken(number, Bytes::from(vec![7; 100]))).unwrap();
    }
    journal.over(5).unwrap();
    drop(journal);
    let segments = scratch.segments();
    flip(&segments[1], 1500);
    assert!(matches!(Journal::open(&scratch.0, DISK, OPTIONS), Err(JournalError::Damaged(_))));
    let done = repair(&scratch.0, DISK, OPTIONS).unwrap();
    let kept = done.kept.unwrap();
    assert_eq!(std::fs::read_dir(&kept).unwrap().count(), segments.len());
    assert_eq!(done.report.damage.len(), 1);
    let journal = Journal::open(&scratch.0, DISK, OPTIONS).unwrap();
    let held = &journal.image().held;
    // One message stood in the damaged record; the one that was over stays over.
    assert_eq!(held.len(), 98);
    assert!(!held.contains_key(&5));
    let doubtful: Vec<u32> =
        held.iter().filter(|(_, held)| held.maybe_ran.is_some()).map(|(n, _)| *n).collect();
    assert_eq!(doubtful, done.report.in_doubt);
    assert!(doubtful.len() > 10 && doubtful.len() < 60, "{doubtful:?}");
    assert!(held.values().all(|held| held.maybe_ran.is_some() == (held.attempts > 0)));
    assert_eq!(journal.image().last, 100);
    drop(journal);
    // A sound journal is left as it is.
    assert!(repair(&scratch.0, DISK, OPTIONS).unwrap().kept.is_none());
}

/// A repair that is cut off after any of its renames is finished by the next, and no courier starts before.
#[test]
fn a_repair_that_was_cut_off_is_finished_by_the_next() {
    for moved in 0..3 {
        let scratch = Scratch::new(&format!("cut-{moved}"));
        let mut journal = Journal::open(&scratch.0, DISK, OPTIONS).unwrap();
        for number in 0..60 {
            journal.take(common::taken(number, Bytes::from(vec![7; 100]))).unwrap();
        }
        drop(journal);
        flip(&scratch.segments()[1], 1500);
        repair(&scratch.0, DISK, OPTIONS).unwrap();
        let expected = Journal::open(&scratch.0, DISK, OPTIONS).unwrap().image().clone();
        // Back to where the repair had moved so many of the new files.
        let (kept, built) = (scratch.0.join("journal.damaged-1"), scratch.0.join("journal.repaired"));
        std::fs::create_dir(&built).unwrap();
        for new in scratch.segments().iter().skip(moved) {
            std::fs::rename(new, built.join(new.file_name().unwrap())).unwrap();
        }
        if moved == 0 {
            for old in std::fs::read_dir(&kept).unwrap() {
                let old = old.unwrap();
                std::fs::rename(old.path(), scratch.0.join(old.file_name())).unwrap();
            }
            std::fs::remove_dir(&kept).unwrap();
        }
        assert!(matches!(Journal::open(&scratch.0, DISK, OPTIONS), Err(JournalError::Unfinished(_))));
        repair(&scratch.0, DISK, OPTIONS).unwrap();
        assert_eq!(Journal::open(&scratch.0, DISK, OPTIONS).unwrap().image(), &expected, "after {moved}");
        assert!(!built.exists());
    }
}

#[test]
fn a_folder_in_use_is_refused() {
    let scratch = Scratch::new("lock");
    let journal = Journal::open(&scratch.0, DISK, OPTIONS).unwrap();
    let error = Journal::open(&scratch.0, DISK, OPTIONS).err().unwrap().to_string();
    assert!(error.contains("in use"), "{error}");
    drop(journal);
    Journal::open(&scratch.0, DISK, OPTIONS).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Whatever is done to the bytes of a folder: no panic; and what opens holds nothing that was never taken.
    #[test]
    fn any_damage_is_survived(
        changes in prop::collection::vec((0usize..8, 0usize..5000, any::<u8>(), 0u8..4), 1..6),
        legacy in any::<bool>(),
    ) {
        let (disk, names) = written();
        for (file, at, byte, kind) in changes {
            let name = &names[file % names.len()];
            let mut bytes = disk.bytes(name).unwrap();
            let at = at % bytes.len().max(1);
            match kind {
                0 if !bytes.is_empty() => bytes[at] ^= byte,
                1 => bytes.truncate(at),
                2 => bytes.insert(at.min(bytes.len()), byte),
                _ => {
                    let piece: Vec<u8> = bytes.iter().skip(at).take(usize::from(byte)).copied().collect();
                    bytes.extend(piece);
                }
            }
            disk.put(name, bytes);
        }
        if legacy {
            let bytes = disk.bytes(&names[0]).unwrap();
            disk.put("journal", bytes);
        }
        let report = look(&disk);
        let sound = report.as_ref().is_ok_and(|report| report.is_sound());
        if let Ok(journal) = open(&disk) {
            prop_assert!(sound, "it opens, and is said to be damaged: {report:?}");
            for held in journal.image().held.values() {
                let number = u64::from_str_radix(&held.taken.id, 16).unwrap();
                prop_assert_eq!(&held.taken, &common::taken(number, Bytes::from(vec![7; 100])));
            }
        }
    }
}
