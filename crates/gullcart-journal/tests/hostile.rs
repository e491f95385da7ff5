//! Damaged journals: damage is distinguished from an incomplete last write, never causes a panic, and is repaired as far as
//! records can be verified.

mod common;

use bytes::Bytes;
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{inspect, repair, DamageKind, Durability, Journal, JournalError, Options};
use proptest::prelude::*;
use std::path::{Path, PathBuf};

const DISK_BYTES: u64 = 128 << 10;
const OPTIONS: Options = Options { durability: Durability::Process, segment_bytes: Some(4 << 10) };

fn open(disk: &Disk) -> Result<Journal<Disk>, JournalError> {
    Journal::replay(disk.clone(), DISK_BYTES, OPTIONS, 7)
}

/// A journal of several segments with 100 pending messages without attempts, and the names of its segments.
fn written_journal() -> (Disk, Vec<String>) {
    let disk = Disk::new(DISK_BYTES, Crash::Process, 1);
    let mut journal = open(&disk).unwrap();
    for number in 0..100 {
        journal.accept(common::message(number, Bytes::from(vec![7; 100]))).unwrap();
    }
    let mut names: Vec<String> =
        disk.file_names().into_iter().filter(|name| name.ends_with(".seg")).collect();
    names.sort();
    assert!(names.len() >= 4, "{names:?}");
    (disk, names)
}

fn with_changed_file(disk: &Disk, name: &str, change: impl FnOnce(&mut Vec<u8>)) -> Disk {
    let other = disk.after_crash();
    let mut bytes = other.file_bytes(name).unwrap();
    change(&mut bytes);
    other.put_file(name, bytes);
    other
}

/// Offset of the end of the last record.
fn records_end(bytes: &[u8]) -> usize {
    bytes.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 1)
}

#[test]
fn an_incomplete_last_write_is_truncated_and_earlier_damage_is_an_error() {
    let (disk, names) = written_journal();
    let (first, last) = (&names[0], names.last().unwrap());
    let size = records_end(&disk.file_bytes(last).unwrap());
    // Nothing relied on the last record yet, so damage to it is not an error.
    for cut in size - 40..size {
        let torn = with_changed_file(&disk, last, |bytes| bytes.truncate(cut));
        assert_eq!(open(&torn).unwrap().state().pending.len(), 99, "cut at {cut}");
        let flipped = with_changed_file(&disk, last, |bytes| bytes[cut] ^= 1);
        assert_eq!(open(&flipped).unwrap().state().pending.len(), 99, "flipped at {cut}");
    }
    // Earlier records were durable, so damage to them is an error.
    for (name, at) in [(last, 64), (last, 70), (last, 90), (first, 64), (first, 2000)] {
        let damaged = with_changed_file(&disk, name, |bytes| bytes[at] ^= 0x10);
        match open(&damaged) {
            Err(JournalError::Damaged(damage)) => {
                assert_eq!((&damage.file, &damage.kind), (name, &DamageKind::UnreadableRecord));
                assert!(damage.offset <= at as u64 && damage.offset + 400 > at as u64, "{damage}");
            }
            other => panic!("{name} at {at}: {:?}", other.err()),
        }
        // No file was changed.
        assert_eq!(damaged.file_bytes(name).unwrap()[at] ^ 0x10, disk.file_bytes(name).unwrap()[at]);
    }
    let short = with_changed_file(&disk, first, |bytes| bytes.truncate(1000));
    assert!(
        matches!(open(&short), Err(JournalError::Damaged(d)) if matches!(d.kind, DamageKind::Truncated | DamageKind::UnreadableRecord))
    );
    let without_header = with_changed_file(&disk, first, |bytes| bytes[3] = 0);
    assert!(
        matches!(open(&without_header), Err(JournalError::Damaged(d)) if d.kind == DamageKind::InvalidHeader)
    );
}

#[test]
fn a_missing_segment_and_one_of_another_journal_are_reported() {
    use gullcart_journal::Store;
    let (disk, names) = written_journal();
    for missing in [0, 1, names.len() - 2] {
        let other = disk.after_crash();
        other.remove(&names[missing]).unwrap();
        match open(&other) {
            Err(JournalError::Damaged(damage)) => {
                assert_eq!((damage.file, damage.kind), (names[missing].clone(), DamageKind::Missing));
            }
            result => panic!("without {}: {:?}", names[missing], result.err()),
        }
        assert!(!inspect(&other).unwrap().is_undamaged());
    }
    // The same segment of another journal, undamaged in itself.
    let foreign = Disk::new(DISK_BYTES, Crash::Process, 1);
    let mut journal = Journal::replay(foreign.clone(), DISK_BYTES, OPTIONS, 8).unwrap();
    for number in 0..100 {
        journal.accept(common::message(number, Bytes::from(vec![7; 100]))).unwrap();
    }
    let mixed = with_changed_file(&disk, &names[1], |bytes| *bytes = foreign.file_bytes(&names[1]).unwrap());
    assert!(
        matches!(open(&mixed), Err(JournalError::Damaged(d)) if d.kind == DamageKind::InvalidHeader && d.file == names[1])
    );
}

#[test]
fn a_newer_format_is_refused_and_left_unchanged() {
    let (disk, names) = written_journal();
    let newer = with_changed_file(&disk, &names[2], |bytes| bytes[8] = 2);
    let before: Vec<_> = newer.file_names().iter().map(|name| newer.file_bytes(name)).collect();
    let operations = newer.operations();
    let error = open(&newer).err().unwrap().to_string();
    assert!(error.contains(&names[2]) && error.contains("format 2") && error.contains("up to 1"), "{error}");
    assert_eq!(before, newer.file_names().iter().map(|name| newer.file_bytes(name)).collect::<Vec<_>>());
    assert_eq!(newer.operations(), operations);
}

/// A temporary folder that is removed when dropped.
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

fn flip_bit(path: &Path, at: usize) {
    let mut bytes = std::fs::read(path).unwrap();
    bytes[at] ^= 0x10;
    std::fs::write(path, bytes).unwrap();
}

/// A repair recovers all records that can be verified. A message of which a record may be lost counts as attempted.
#[test]
fn a_repair_recovers_verified_records_and_keeps_the_damaged_files() {
    let scratch = Scratch::new("repair");
    let mut journal = Journal::open(&scratch.0, DISK_BYTES, OPTIONS).unwrap();
    for number in 0..100 {
        journal.accept(common::message(number, Bytes::from(vec![7; 100]))).unwrap();
    }
    journal.complete(5).unwrap();
    drop(journal);
    let segments = scratch.segments();
    flip_bit(&segments[1], 1500);
    assert!(matches!(Journal::open(&scratch.0, DISK_BYTES, OPTIONS), Err(JournalError::Damaged(_))));
    let outcome = repair(&scratch.0, DISK_BYTES, OPTIONS).unwrap();
    let backup_folder = outcome.backup_folder.unwrap();
    assert_eq!(std::fs::read_dir(&backup_folder).unwrap().count(), segments.len());
    assert_eq!(outcome.report.damage.len(), 1);
    let journal = Journal::open(&scratch.0, DISK_BYTES, OPTIONS).unwrap();
    let pending = &journal.state().pending;
    // The message in the damaged record is lost, and the completed one stays completed.
    assert_eq!(pending.len(), 98);
    assert!(!pending.contains_key(&5));
    let in_doubt: Vec<u32> =
        pending.iter().filter(|(_, pending)| pending.may_have_run.is_some()).map(|(n, _)| *n).collect();
    assert_eq!(in_doubt, outcome.report.in_doubt);
    assert!(in_doubt.len() > 10 && in_doubt.len() < 60, "{in_doubt:?}");
    assert!(pending.values().all(|pending| pending.may_have_run.is_some() == (pending.attempts > 0)));
    assert_eq!(journal.state().last_number, 100);
    drop(journal);
    // An undamaged journal is left as it is.
    assert!(repair(&scratch.0, DISK_BYTES, OPTIONS).unwrap().backup_folder.is_none());
}

/// A repair that is interrupted after any of its renames is finished by the next one; until then the journal does not open.
#[test]
fn an_interrupted_repair_is_finished_by_the_next() {
    for moved in 0..3 {
        let scratch = Scratch::new(&format!("cut-{moved}"));
        let mut journal = Journal::open(&scratch.0, DISK_BYTES, OPTIONS).unwrap();
        for number in 0..60 {
            journal.accept(common::message(number, Bytes::from(vec![7; 100]))).unwrap();
        }
        drop(journal);
        flip_bit(&scratch.segments()[1], 1500);
        repair(&scratch.0, DISK_BYTES, OPTIONS).unwrap();
        let expected = Journal::open(&scratch.0, DISK_BYTES, OPTIONS).unwrap().state().clone();
        // Restores the folder as it was when the repair had moved `moved` of the new files.
        let backup_folder = scratch.0.join("journal.damaged-1");
        let repaired = scratch.0.join("journal.repaired");
        std::fs::create_dir(&repaired).unwrap();
        for new in scratch.segments().iter().skip(moved) {
            std::fs::rename(new, repaired.join(new.file_name().unwrap())).unwrap();
        }
        if moved == 0 {
            for old in std::fs::read_dir(&backup_folder).unwrap() {
                let old = old.unwrap();
                std::fs::rename(old.path(), scratch.0.join(old.file_name())).unwrap();
            }
            std::fs::remove_dir(&backup_folder).unwrap();
        }
        assert!(matches!(
            Journal::open(&scratch.0, DISK_BYTES, OPTIONS),
            Err(JournalError::UnfinishedRepair(_))
        ));
        repair(&scratch.0, DISK_BYTES, OPTIONS).unwrap();
        assert_eq!(
            Journal::open(&scratch.0, DISK_BYTES, OPTIONS).unwrap().state(),
            &expected,
            "after {moved}"
        );
        assert!(!repaired.exists());
    }
}

#[test]
fn a_folder_in_use_is_refused() {
    let scratch = Scratch::new("lock");
    let journal = Journal::open(&scratch.0, DISK_BYTES, OPTIONS).unwrap();
    let error = Journal::open(&scratch.0, DISK_BYTES, OPTIONS).err().unwrap().to_string();
    assert!(error.contains("in use"), "{error}");
    drop(journal);
    Journal::open(&scratch.0, DISK_BYTES, OPTIONS).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Any change of the files' bytes: opening does not panic, and a journal that opens has only messages that were accepted.
    #[test]
    fn any_damage_is_survived(
        changes in prop::collection::vec((0usize..8, 0usize..5000, any::<u8>(), 0u8..4), 1..6),
        legacy in any::<bool>(),
    ) {
        let (disk, names) = written_journal();
        for (file, at, byte, kind) in changes {
            let name = &names[file % names.len()];
            let mut bytes = disk.file_bytes(name).unwrap();
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
            disk.put_file(name, bytes);
        }
        if legacy {
            let bytes = disk.file_bytes(&names[0]).unwrap();
            disk.put_file("journal", bytes);
        }
        let report = inspect(&disk);
        let is_undamaged = report.as_ref().is_ok_and(|report| report.is_undamaged());
        if let Ok(journal) = open(&disk) {
            prop_assert!(is_undamaged, "the journal opens, but is reported as damaged: {report:?}");
            for pending in journal.state().pending.values() {
                let number = u64::from_str_radix(&pending.message.id, 16).unwrap();
                prop_assert_eq!(&pending.message, &common::message(number, Bytes::from(vec![7; 100])));
            }
        }
    }
}
