//! Opens and inspects a journal whose files have arbitrary bytes: this must not panic, nor take much more memory than the
//! bytes themselves.
//!
//!     cargo install cargo-fuzz && cargo fuzz run -s none replay -- -max_total_time=60
#![no_main]

use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{inspect, Journal, Options};
use libfuzzer_sys::fuzz_target;

/// A valid header for the segment with this sequence number.
fn header(sequence: u64, previous_size: u64) -> Vec<u8> {
    let disk = Disk::new(1 << 20, Crash::Process, 1);
    let mut journal = Journal::replay(disk.clone(), 1 << 20, Options::default(), 7).expect("an empty folder opens");
    journal.add_destinations([1]).expect("there is space");
    let mut bytes = disk.file_bytes("journal-0000000000000001.seg").unwrap_or_default();
    bytes.truncate(64);
    bytes[24..32].copy_from_slice(&sequence.to_le_bytes());
    bytes[32..40].copy_from_slice(&previous_size.to_le_bytes());
    let sum = crc32(&bytes[..48]);
    bytes[48..52].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// CRC-32 as in IEEE 802.3, computed bit by bit.
fn crc32(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(u32::MAX, |sum, byte| {
        (0..8).fold(sum ^ u32::from(*byte), |sum, _| if sum & 1 == 1 { sum >> 1 ^ 0xedb8_8320 } else { sum >> 1 })
    })
}

fuzz_target!(|data: &[u8]| {
    let Some((kind, rest)) = data.split_first() else { return };
    let disk = Disk::new(1 << 24, Crash::Process, 1);
    match kind % 4 {
        // The single file of releases before 0.2.
        0 => disk.put_file("journal", rest.to_vec()),
        // A segment of arbitrary bytes.
        1 => disk.put_file("journal-0000000000000001.seg", rest.to_vec()),
        // A segment with a valid header and arbitrary records.
        2 => disk.put_file("journal-0000000000000001.seg", [header(1, 0), rest.to_vec()].concat()),
        // The same, followed by another segment.
        _ => {
            let first = [header(1, 0), rest.to_vec()].concat();
            disk.put_file("journal-0000000000000002.seg", header(2, first.len() as u64));
            disk.put_file("journal-0000000000000001.seg", first);
        }
    }
    let _ = inspect(&disk);
    if let Ok(mut journal) = Journal::replay(disk, 1 << 24, Options::default(), 7) {
        let _ = journal.add_destinations(0..9);
    }
});
