//! Crash tests of the state log: simulated crashes at every file operation, during recovery too. Afterwards the log has the
//! entries that were appended, in order, and nothing else.

use gullcart_journal::simulated::{Crash, Disk, Fault};
use gullcart_journal::state_log::{StateLog, StateLogError};

const MAX_LOG_BYTES: u64 = 8 << 10;

/// The entry with this number. The state that a rewrite stores is the last entry.
fn entry(number: u64) -> Vec<u8> {
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.resize(8 + (number % 90) as usize, number as u8);
    bytes
}

/// Number of the last entry.
fn last_number(entries: &[Vec<u8>]) -> u64 {
    entries.last().map_or(0, |bytes| u64::from_le_bytes(bytes[..8].try_into().unwrap()))
}

/// Checks that the entries are consecutive and end with a number from `min` to `max`.
fn check(entries: &[Vec<u8>], min: u64, max: u64) {
    let last = last_number(entries);
    assert!((min..=max).contains(&last), "the last entry is {last}, expected {min} to {max}");
    for (position, bytes) in entries.iter().enumerate() {
        assert_eq!(*bytes, entry(last - (entries.len() - 1 - position) as u64));
    }
}

/// Opens a folder that a crash left, and continues there; with `nested`, also after crashes during that recovery. Returns
/// how many crashes were tried.
fn recover(disk: &Disk, min: u64, max: u64, nested: bool) -> u64 {
    disk.capture_crashes(usize::from(nested));
    let (mut log, entries) = StateLog::open(disk.clone(), MAX_LOG_BYTES).unwrap();
    check(&entries, min, max);
    let mut tried = 1;
    let last = last_number(&entries);
    for crashed in disk.take_captured() {
        tried += recover(&crashed, last, last, false);
    }
    disk.capture_crashes(0);
    // The log continues after its last entry.
    log.append(&entry(last + 1)).unwrap();
    drop(log);
    check(&StateLog::open(disk.clone(), MAX_LOG_BYTES).unwrap().1, last + 1, last + 1);
    tried
}

#[test]
fn appended_entries_survive_a_crash_at_every_operation() {
    let mut tried = 0;
    for seed in 0..12 {
        let disk = Disk::new(64 << 10, Crash::Machine, seed);
        disk.capture_crashes(3);
        let (mut log, _) = StateLog::open(disk.clone(), MAX_LOG_BYTES).unwrap();
        let mut rewrites = 0;
        for number in 1..150 {
            log.append(&entry(number)).unwrap();
            for crashed in disk.take_captured() {
                tried += recover(&crashed, number - 1, number, true);
            }
            if log.needs_rewrite() {
                rewrites += 1;
                log.rewrite(&entry(number)).unwrap();
                for crashed in disk.take_captured() {
                    tried += recover(&crashed, number, number, true);
                }
            }
        }
        assert!(rewrites > 2);
    }
    println!("{tried} crashes tried");
    assert!(tried > 10_000);
}

#[test]
fn a_failed_operation_loses_no_appended_entry() {
    for fault in [Fault::Error, Fault::Partial, Fault::NoSpace] {
        for operation in 0..400 {
            let disk = Disk::new(64 << 10, Crash::Machine, operation);
            let Ok((mut log, _)) = StateLog::open(disk.clone(), MAX_LOG_BYTES) else {
                panic!("a new folder opens")
            };
            disk.inject_fault(disk.operations() + operation, fault);
            let mut appended = 0;
            for number in 1..120 {
                if log.append(&entry(number)).is_err() {
                    // No further entry is accepted after a failure.
                    assert!(matches!(log.append(&entry(number)), Err(StateLogError::WriteFailed)));
                    break;
                }
                appended = number;
                if log.needs_rewrite() && log.rewrite(&entry(number)).is_err() {
                    break;
                }
            }
            drop(log);
            disk.clear_faults();
            let left = disk.after_crash();
            let (_, entries) = StateLog::open(left, MAX_LOG_BYTES).unwrap();
            check(&entries, appended, appended + 1);
        }
    }
}

#[test]
fn damage_before_valid_entries_is_not_an_incomplete_write() {
    let disk = Disk::new(64 << 10, Crash::Process, 1);
    let (mut log, _) = StateLog::open(disk.clone(), MAX_LOG_BYTES).unwrap();
    (1..10).for_each(|number| log.append(&entry(number)).unwrap());
    drop(log);
    let name = disk.file_names().into_iter().find(|name| name.starts_with("notes-")).unwrap();
    let undamaged = disk.file_bytes(&name).unwrap();
    let mut damaged = undamaged.clone();
    damaged[60] ^= 1;
    disk.put_file(&name, damaged);
    assert!(matches!(StateLog::open(disk.clone(), MAX_LOG_BYTES), Err(StateLogError::Damaged { .. })));
    let mut torn = undamaged.clone();
    torn.truncate(undamaged.len() - 3);
    disk.put_file(&name, torn);
    check(&StateLog::open(disk.clone(), MAX_LOG_BYTES).unwrap().1, 8, 8);
    let mut other_version = undamaged;
    other_version[7] = b'9';
    disk.put_file(&name, other_version);
    assert!(matches!(StateLog::open(disk, MAX_LOG_BYTES), Err(StateLogError::UnknownVersion(_))));
}

#[test]
fn the_log_stays_within_its_size_limit() {
    let disk = Disk::new(64 << 10, Crash::Process, 1);
    let (mut log, _) = StateLog::open(disk.clone(), MAX_LOG_BYTES).unwrap();
    let mut number = 1;
    while log.append(&entry(number)).is_ok() {
        number += 1;
    }
    assert!(disk.max_used_bytes() <= MAX_LOG_BYTES + 512);
    // The entry is refused, and the log remains usable.
    assert!(matches!(log.append(&entry(number)), Err(StateLogError::Full { .. })));
    check(&StateLog::open(disk, MAX_LOG_BYTES).unwrap().1, number - 1, number - 1);
}
