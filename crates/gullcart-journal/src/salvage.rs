//! Reading a journal that may be damaged: all records that can be proven, and what is in doubt for those that cannot.

use crate::error::{doing, Damage, JournalError, Wrong};
use crate::frame::{Place, HEADER};
use crate::image::{Image, Record};
use crate::ledger::Ledger;
use crate::log::name;
use crate::plan::on_disk;
use crate::replay::{good_after, read, End, Form};
use crate::store::Store;
use crate::survey::{survey, Present};
use crate::window::Window;
use serde::Serialize;
use std::collections::BTreeSet;

/// A message of which something may be lost is held to have been tried so long before its time was up: a day, so that
/// no window that a partner remembers keys for is still open.
const LONG_AGO_MS: u64 = 86_400_000;

/// What was found in a segment.
#[derive(Clone, Debug, Serialize)]
pub struct SegmentReport {
    /// Its file.
    pub file: String,
    /// Its place in the order; 0 is the single file of old releases.
    pub sequence: u64,
    /// What the file counts as on the disk.
    pub on_disk: u64,
    /// Bytes of header and good records.
    pub size: u64,
    /// Good records.
    pub records: u64,
    /// Bytes of messages that stand in it and are held.
    pub live: u64,
}

/// What was found in a folder.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Oldest first.
    pub segments: Vec<SegmentReport>,
    /// All files as they count.
    pub used: u64,
    /// Messages that are owed an end.
    pub held: u64,
    /// ... with an attempt out.
    pub out: u64,
    /// ... whose end is known and was not heard yet.
    pub ending: u64,
    /// Endpoints in the list.
    pub endpoints: u64,
    /// The list's version.
    pub rev: u64,
    /// Destinations that messages are taken on for.
    pub destinations: u64,
    /// Outages that are remembered.
    pub outages: u64,
    /// Bytes at the end that a crash left behind, and that promised nothing.
    pub torn: u64,
    /// Damage to what was promised, in words and places.
    pub damage: Vec<String>,
    /// Messages that are held and of which something may be lost: they count as having run.
    pub in_doubt: Vec<u32>,
    /// Messages that later records speak of and that cannot be found.
    pub lost: Vec<u32>,
}

impl Report {
    /// Whether all that was promised is there.
    pub fn is_sound(&self) -> bool {
        self.damage.is_empty()
    }
}

/// All that can be proven of a journal.
pub(crate) struct Salvage {
    pub report: Report,
    pub image: Image,
}

/// Reads a folder, and changes nothing.
pub fn look<S: Store>(store: &S) -> Result<Report, JournalError> {
    Ok(salvage(store)?.report)
}

/// Reads a folder as far as it can be read, and changes nothing.
pub(crate) fn salvage<S: Store>(store: &S) -> Result<Salvage, JournalError> {
    let files = survey(store)?;
    let all: Vec<Present> = files.before_gap.iter().chain(&files.segments).copied().collect();
    let mut needed = files.lowest;
    loop {
        let used = all.iter().map(|segment| on_disk(segment.length)).sum::<u64>() + files.others;
        let reading = Reading::new(store, files.identity, &all, needed, used)?;
        // What says that a segment is not needed any more may come long after it.
        if reading.freed <= needed {
            return Ok(reading.finish());
        }
        needed = reading.freed;
    }
}

struct Reading {
    report: Report,
    image: Image,
    ledger: Ledger,
    /// Messages of which a record may be lost.
    doubt: BTreeSet<u32>,
    /// Messages spoken of after damage that are not known.
    lost: BTreeSet<u32>,
    damaged: bool,
    freed: u64,
}

impl Reading {
    fn new<S: Store>(
        store: &S,
        identity: Option<u64>,
        all: &[Present],
        needed: u64,
        used: u64,
    ) -> Result<Self, JournalError> {
        let mut reading = Reading {
            report: Report { used, ..Report::default() },
            image: Image::default(),
            ledger: Ledger::default(),
            doubt: BTreeSet::new(),
            lost: BTreeSet::new(),
            damaged: false,
            freed: 0,
        };
        let wanted: Vec<&Present> = all.iter().filter(|segment| segment.sequence >= needed).collect();
        let mut expected = needed;
        for (at, segment) in wanted.iter().enumerate() {
            // The first segment of a journal that never had an old file is 1.
            let is_first_ever = expected == 0 && segment.sequence == 1;
            for missing in expected..segment.sequence {
                if !is_first_ever {
                    reading.damage(&name(missing), 0, Wrong::Missing);
                }
                reading.ledger.open(missing);
            }
            expected = segment.sequence + 1;
            let next = wanted.get(at + 1);
            reading.segment(
                store,
                identity,
                segment,
                next.and_then(|next| next.previous_size),
                next.is_none(),
            )?;
        }
        Ok(reading)
    }

    fn damage(&mut self, file: &str, offset: u64, what: Wrong) {
        let damage = Damage { file: file.to_owned(), offset, what };
        self.report.damage.push(damage.to_string());
        // Whatever was known up to here may have gone on in what is lost.
        self.doubt.extend(self.image.held.keys());
        self.damaged = true;
    }

    fn segment<S: Store>(
        &mut self,
        store: &S,
        identity: Option<u64>,
        segment: &Present,
        size: Option<u64>,
        is_last: bool,
    ) -> Result<(), JournalError> {
        let file = name(segment.sequence);
        let handle = store.open(&file).map_err(doing("open", &file))?;
        let mut window = Window::new(store, &handle);
        let place = Place { identity: identity.unwrap_or_default(), sequence: segment.sequence };
        self.ledger.open(segment.sequence);
        if segment.form.is_none() {
            self.damage(&file, 0, Wrong::Header);
        }
        let form = segment.form.unwrap_or(Form::Segment(place));
        let end = size.unwrap_or(segment.length);
        let (mut records, mut good) = (0, 0);
        let mut result = read(&mut window, form, end, is_last, |found| {
            records += 1;
            good = found.offset + found.bytes;
            self.take_in(segment.sequence, found.bytes, found.record);
        })
        .map_err(doing("read", &file))?;
        while let End::Damaged(offset, what) = result.clone() {
            self.damage(&file, offset, what);
            if matches!(form, Form::Legacy) {
                break;
            }
            // On from the next record that is good wherever it stands.
            let mut from = None;
            good_after(&mut window, place, offset.max(HEADER) + 1, segment.length, |at, _| {
                from = Some(at);
                true
            })
            .map_err(doing("read", &file))?;
            let Some(from) = from else { break };
            result = crate::replay::read_from(&mut window, place, from, end.max(from), is_last, |found| {
                records += 1;
                good = found.offset + found.bytes;
                self.take_in(segment.sequence, found.bytes, found.record);
            })
            .map_err(doing("read", &file))?;
        }
        if let (End::Whole(size), true) = (&result, is_last) {
            self.report.torn = torn(&mut window, *size, segment.length).map_err(doing("read", &file))?;
        }
        self.report.segments.push(SegmentReport {
            file,
            sequence: segment.sequence,
            on_disk: on_disk(segment.length),
            size: good,
            records,
            live: 0,
        });
        Ok(())
    }

    fn take_in(&mut self, segment: u64, bytes: u64, record: Record) {
        match &record {
            Record::Take(number, _) | Record::Whole(number, _) => {
                // All of it stands here.
                self.doubt.remove(number);
                self.lost.remove(number);
                self.ledger.settle(*number, segment, bytes);
            }
            Record::Over(number) => {
                self.doubt.remove(number);
                self.lost.remove(number);
                self.ledger.forget(*number);
            }
            Record::Start(number, _) | Record::Outcome(number, _) | Record::Owe(number, _)
                if self.damaged && !self.image.held.contains_key(number) =>
            {
                self.lost.insert(*number);
            }
            Record::Freed { below, .. } => self.freed = self.freed.max(*below),
            _ => {}
        }
        self.image.apply(record);
    }

    fn finish(mut self) -> Salvage {
        for number in &self.doubt {
            let Some(held) = self.image.held.get_mut(number) else { continue };
            let long_ago = held.taken.deadline_ms.saturating_sub(LONG_AGO_MS);
            held.outcome(true);
            held.maybe_ran = held.maybe_ran.or(Some((long_ago, 0)));
            held.attempts = held.attempts.max(1);
        }
        for segment in &mut self.report.segments {
            segment.live = self.ledger.live(segment.sequence);
        }
        let held = self.image.held.values();
        self.report.held = held.len() as u64;
        self.report.out = held.clone().filter(|held| held.out.is_some()).count() as u64;
        self.report.ending = held.filter(|held| held.verdict.is_some()).count() as u64;
        self.report.endpoints = self.image.targets.len() as u64;
        self.report.rev = self.image.rev;
        self.report.destinations = self.image.destinations.len() as u64;
        self.report.outages = self.image.outages.len() as u64;
        self.report.in_doubt =
            self.doubt.iter().copied().filter(|number| self.image.held.contains_key(number)).collect();
        self.report.lost = self.lost.into_iter().collect();
        Salvage { report: self.report, image: self.image }
    }
}

/// Bytes behind the last record that are not blank.
fn torn<S: Store>(window: &mut Window<'_, S>, from: u64, end: u64) -> std::io::Result<u64> {
    let (mut at, mut last) = (from, from);
    while at < end {
        let length = (end - at).min(4096) as usize;
        let Some(bytes) = window.get(at, length)? else { break };
        if let Some(place) = bytes.iter().rposition(|byte| *byte != 0) {
            last = at + place as u64 + 1;
        }
        at += length as u64;
    }
    Ok(last - from)
}
