//! The journal as its users see it: records before what they promise, and the image that they add up to.

use crate::error::{doing, Damage, JournalError, Wrong};
use crate::frame::FRAME;
use crate::image::{Held, Image, OutageChanges, OutageNote, OutagePlace, Record, Sent, MOST_SUSPENDED};
use crate::ledger::{Ledger, Next};
use crate::log::{name, Active, Log, Sealed, Start};
use crate::parts::parts;
use crate::plan::{cost, on_disk, Plan, Purpose, Room};
use crate::repaired_folder::unfinished_repair;
use crate::replay::{read, End, Form};
use crate::store::{Folder, Store};
use crate::survey::survey;
use crate::window::Window;
use crate::{Durability, Options};
use gullcart_message::{Taken, Update, Verdict};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::path::Path;

/// Entries of the list, destinations or outages in one record.
const ENTRIES: usize = 64;
const DESTINATIONS: usize = 2048;
/// The list is written anew once it stands so many times its size behind, or its changes take so much.
const STATE_BEHIND: u64 = 16;
const STATE_CHANGES: u64 = 16 << 10;

/// What was written and what of it is live, for people and measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Bytes of records that were written for what happened.
    pub appended: u64,
    /// Bytes of records that were rewritten to free their segments.
    pub rewritten: u64,
    /// Segments freed.
    pub freed: u64,
    /// Segments there are.
    pub segments: u64,
    /// All files as they count.
    pub used: u64,
    /// What is held, as it counts against what may be promised.
    pub live: u64,
    /// What could not be written yet: messages of which something is missing, one more for the list, and one for what a
    /// failed write left behind.
    pub unwritten: u64,
}

/// Where the list, the destinations and the outages stand.
#[derive(Debug, Default)]
struct State {
    /// The oldest segment that has a part of it.
    since: u64,
    /// Bytes that it takes, changes since it was written anew included.
    bytes: u64,
    /// ... and when it was written anew.
    bytes_anew: u64,
    /// Something of it could not be written.
    stale: bool,
    /// What went meanwhile: writing the rest anew does not say so. Bounded by what there was.
    gone: (BTreeSet<String>, BTreeSet<OutagePlace>),
    pass: Option<Pass>,
}

/// The list, the destinations and the outages are being written anew.
#[derive(Debug)]
struct Pass {
    /// The segment that was written when it began.
    began: u64,
    bytes: u64,
    at: At,
}

#[derive(Clone, Debug)]
enum At {
    Targets(Option<String>),
    Destinations(Option<u32>),
    Outages(Option<(u32, Option<String>)>),
    Suspended(Option<String>),
    /// So many of them are written.
    Former(usize),
}

/// A journal in a folder.
pub struct Journal<S: Store = Folder> {
    log: Log<S>,
    plan: Plan,
    image: Image,
    ledger: Ledger,
    /// What messages held count as.
    live: u64,
    state: State,
    /// How far the oldest segment's messages have been gone through.
    place: usize,
    /// Its end was written down, and it is still there.
    is_dead: bool,
    /// What is to be rewritten in the next step.
    due: u64,
    /// Messages of which something could not be written.
    unwritten: BTreeSet<u32>,
    trouble: Option<JournalError>,
    figures: Figures,
    payload: Vec<u8>,
    #[cfg(feature = "broken")]
    early_ok: bool,
}

impl Journal<Folder> {
    /// Opens the journal of a folder that nobody else uses, and replays it.
    pub fn open(folder: &Path, disk: u64, options: Options) -> Result<Self, JournalError> {
        let store = Folder::lock(folder).map_err(JournalError::Folder)?;
        if let Some(unfinished) = unfinished_repair(folder) {
            return Err(JournalError::Unfinished(unfinished));
        }
        Self::replay(store, disk, options, fastrand::u64(1..))
    }
}

impl<S: Store> Journal<S> {
    /// Reads what a folder holds. A torn end promised nothing, and is cut off; damage is an error, and changes
    /// nothing. A journal that is begun gets that identity.
    pub fn replay(store: S, disk: u64, options: Options, identity: u64) -> Result<Self, JournalError> {
        let plan = Plan::new(disk, options.segment);
        let files = survey(&store)?;
        let headless = files.segments.iter().find(|segment| segment.form.is_none());
        if let Some(segment) = headless {
            let file = name(segment.sequence);
            return Err(JournalError::Damaged(Damage { file, offset: 0, what: Wrong::Header }));
        }
        let mut image = Image::default();
        let mut ledger = Ledger::default();
        let mut sealed: VecDeque<Sealed> = VecDeque::new();
        let mut active = None;
        let (mut lowest, mut state_since, mut state_bytes) = (files.lowest, None, 0);
        let count = files.segments.len();
        for (at, segment) in files.segments.iter().enumerate() {
            let is_last = at + 1 == count;
            let file = name(segment.sequence);
            let handle = store.open(&file).map_err(doing("open", &file))?;
            let end =
                files.segments.get(at + 1).and_then(|next| next.previous_size).unwrap_or(segment.length);
            let damaged = |offset, what| JournalError::Damaged(Damage { file: file.clone(), offset, what });
            ledger.open(segment.sequence);
            let mut window = Window::new(&store, &handle);
            let form = segment.form.unwrap_or(Form::Legacy);
            let result = read(&mut window, form, end, is_last, |found| {
                match &found.record {
                    Record::Take(number, _) | Record::Whole(number, _) => {
                        ledger.settle(*number, segment.sequence, found.bytes);
                    }
                    Record::Over(number) => ledger.forget(*number),
                    Record::Freed { below, .. } => lowest = lowest.max(*below),
                    Record::List { .. }
                    | Record::Destinations(_)
                    | Record::Outages { .. }
                    | Record::Suspended { .. }
                    | Record::Former(_)
                    | Record::Told(_)
                    | Record::Remembered(_) => {
                        state_since.get_or_insert(segment.sequence);
                        state_bytes += found.bytes;
                    }
                    Record::Start(..) | Record::Outcome(..) | Record::Owe(..) => {}
                }
                image.apply(found.record);
            });
            let size = match result.map_err(doing("read", &file))? {
                End::Whole(size) => size,
                End::Damaged(offset, what) => return Err(damaged(offset, what)),
            };
            if is_last && segment.sequence > 0 {
                active = Some(Active {
                    file: handle,
                    sequence: segment.sequence,
                    size,
                    length: segment.length,
                    settled: size,
                });
            } else {
                let on_disk = on_disk(segment.length);
                sealed.push_back(Sealed { sequence: segment.sequence, size, on_disk });
            }
        }
        if let Some(first) = files.segments.first().filter(|first| first.sequence > lowest) {
            let file = name(first.sequence - 1);
            return Err(JournalError::Damaged(Damage { file, offset: 0, what: Wrong::Missing }));
        }
        // All that follows may be cut off anywhere, and is done again at the next start.
        for name in &files.leftovers {
            store.remove(name).map_err(doing("remove", name))?;
        }
        if let Some(active) = &mut active {
            store.set_length(&active.file, active.size).map_err(doing("cut", &name(active.sequence)))?;
            active.length = active.size;
        }
        if options.durability == Durability::Machine {
            // What the process before left may not be on the disk yet, nor the names of its files.
            if let Some(active) = &active {
                store.sync(&active.file).map_err(doing("sync", &name(active.sequence)))?;
            }
            store.sync_names().map_err(JournalError::Folder)?;
        }
        if files.segments.is_empty() {
            lowest = 1;
        }
        let live = image.held.values().map(held_cost).sum();
        let start = Start { identity: files.identity.unwrap_or(identity), sealed, active, lowest };
        let log = Log::new(store, plan, options.durability, files.others, start);
        let since = state_since.unwrap_or(log.current());
        let state = State { since, bytes: state_bytes, ..State::default() };
        Ok(Journal {
            log,
            plan,
            image,
            ledger,
            live,
            state,
            place: 0,
            is_dead: false,
            due: 0,
            unwritten: BTreeSet::new(),
            trouble: None,
            figures: Figures::default(),
            payload: Vec::new(),
            #[cfg(feature = "broken")]
            early_ok: false,
        })
    }

    /// A journal that says that a message is written when it is not.
    #[cfg(feature = "broken")]
    pub fn answering_early(self, early_ok: bool) -> Self {
        Journal { early_ok, ..self }
    }

    /// Takes over what another journal held.
    pub(crate) fn adopt(&mut self, image: Image) -> Result<(), JournalError> {
        self.destinations(image.destinations)?;
        let notes: Vec<OutageNote> = image.outages.into_values().collect();
        self.outages(&notes)?;
        self.targets(&Update { rev: image.rev, all: true, targets: image.targets.into_values().collect() })?;
        let former: Vec<String> = image.former.into();
        self.state_records(former.chunks(ENTRIES).map(|part| Record::Former(part.to_vec())).collect())?;
        let suspended: Vec<String> = image.suspended.into_iter().collect();
        let record = |part: &[String]| Record::Suspended { set: part.to_vec(), gone: Vec::new() };
        self.state_records(suspended.chunks(ENTRIES).map(record).collect())?;
        for (number, held) in image.held {
            self.live += held_cost(&held);
            let written = self.write(Purpose::Progress, Record::Whole(number, held))?;
            self.tend(written);
        }
        self.write(Purpose::Progress, Record::Freed { below: 0, last: image.last })?;
        self.commit()
    }

    /// What the records add up to.
    pub fn image(&self) -> &Image {
        &self.image
    }

    /// What was written so far, and how things stand.
    pub fn figures(&self) -> Figures {
        Figures {
            segments: self.log.sealed().len() as u64 + 1,
            used: self.log.used(),
            live: self.live + self.state.bytes,
            unwritten: self.unwritten.len() as u64
                + u64::from(self.state.stale)
                + u64::from(self.log.is_suspect()),
            ..self.figures
        }
    }

    /// Takes a message on and gives it its number; after this it outlasts the process.
    pub fn take(&mut self, taken: Taken) -> Result<u32, JournalError> {
        let number = self.image.last.checked_add(1).ok_or(JournalError::Full)?;
        let cost = taken_cost(&taken);
        let record = Record::Take(number, taken);
        #[cfg(feature = "broken")]
        if self.early_ok {
            self.image.apply(record);
            return Ok(number);
        }
        if !self.plan.may_promise(&self.room(), cost) {
            return Err(JournalError::Full);
        }
        let written = self.write(Purpose::Promise, record)?;
        self.live += cost;
        self.tend(written);
        Ok(number)
    }

    /// An attempt begins. If this fails it must not be made: the next process would not know of it.
    pub fn start(&mut self, number: u32, sent: Sent) -> Result<(), JournalError> {
        let written = self.write(Purpose::Progress, Record::Start(number, sent))?;
        self.tend(written);
        Ok(())
    }

    /// The attempt that was out has an outcome; whether it may have run.
    pub fn outcome(&mut self, number: u32, may_have_run: bool) -> Result<(), JournalError> {
        self.fact(number, Record::Outcome(number, may_have_run))
    }

    /// The end that is to be told.
    pub fn owe(&mut self, number: u32, verdict: Verdict) -> Result<(), JournalError> {
        self.fact(number, Record::Owe(number, verdict))
    }

    /// A message has its end: it was delivered, its notice was answered, or nobody wants it.
    pub fn over(&mut self, number: u32) -> Result<(), JournalError> {
        let Some(held) = self.image.held.get(&number) else { return Ok(()) };
        self.live = self.live.saturating_sub(held_cost(held));
        self.fact(number, Record::Over(number))
    }

    /// The list of endpoints was told, or what changed in it.
    pub fn targets(&mut self, update: &Update) -> Result<(), JournalError> {
        let (set, gone, destinations) = self.image.changes(update);
        let mut records = Vec::new();
        records.extend(parts(destinations, DESTINATIONS).map(Record::Destinations));
        let removed = |gone| Record::List { rev: None, set: Vec::new(), gone };
        records.extend(parts(gone, ENTRIES).map(removed));
        let listed = |set| Record::List { rev: None, set, gone: Vec::new() };
        records.extend(parts(set, ENTRIES).map(listed));
        // The version comes last: a start before that asks for all of it once more.
        match records.last_mut() {
            Some(Record::List { rev, set, .. }) if !set.is_empty() => *rev = Some(update.rev),
            _ => records.push(Record::List { rev: Some(update.rev), set: Vec::new(), gone: Vec::new() }),
        }
        self.state_records(records)
    }

    /// Destinations that messages may be taken on for, besides those of the list.
    pub fn destinations(&mut self, destinations: impl IntoIterator<Item = u32>) -> Result<(), JournalError> {
        let known = &self.image.destinations;
        let more: Vec<u32> = destinations.into_iter().filter(|number| !known.contains(number)).collect();
        self.state_records(
            more.chunks(DESTINATIONS).map(|part| Record::Destinations(part.to_vec())).collect(),
        )
    }

    /// Something that was told has not been written: all of it has to be told once more.
    pub fn is_behind(&self) -> bool {
        self.state.stale || self.log.is_suspect() || !self.unwritten.is_empty()
    }

    /// All that is to be remembered of outages now.
    pub fn outages(&mut self, notes: &[OutageNote]) -> Result<(), JournalError> {
        if !self.is_behind() && self.image.has_outages(notes) {
            return Ok(());
        }
        let changes = self.image.outage_changes(notes);
        self.write_outages(changes)
    }

    /// All that is to be remembered now of the outages of some destinations, where those of all others are as they were told.
    pub fn outages_of(&mut self, destinations: &[u32], notes: &[OutageNote]) -> Result<(), JournalError> {
        let changes = self.image.outage_changes_of(destinations, notes);
        if changes.set.is_empty() && changes.gone.is_empty() {
            return Ok(());
        }
        self.write_outages(changes)
    }

    fn write_outages(&mut self, OutageChanges { set, gone }: OutageChanges) -> Result<(), JournalError> {
        let mut records: Vec<Record> = Vec::new();
        records.extend(parts(gone, ENTRIES).map(|gone| Record::Outages { set: Vec::new(), gone }));
        records.extend(parts(set, ENTRIES).map(|set| Record::Outages { set, gone: Vec::new() }));
        self.state_records(records)
    }

    /// An endpoint is out by an operator's word, or back. Nothing has changed where this fails.
    pub fn suspend(&mut self, uid: &str, is_out: bool) -> Result<(), JournalError> {
        if self.image.suspended.contains(uid) == is_out {
            return Ok(());
        }
        if is_out && self.image.suspended.len() >= MOST_SUSPENDED {
            return Err(JournalError::Full);
        }
        let uids = vec![uid.to_owned()];
        let record = match is_out {
            true => Record::Suspended { set: uids, gone: Vec::new() },
            false => Record::Suspended { set: Vec::new(), gone: uids },
        };
        let written = self.write(Purpose::Progress, record)?;
        self.tend(written);
        Ok(())
    }

    /// All that was written outlasts what it is to outlast: before anything that it promises leaves the process. A
    /// failure is final, as nobody can know what is on the disk; the process has to end.
    pub fn commit(&mut self) -> Result<(), JournalError> {
        self.log.commit()
    }

    /// What went wrong while room was made, if anything did since the last time.
    pub fn trouble(&mut self) -> Option<JournalError> {
        self.trouble.take()
    }

    fn room(&self) -> Room {
        let need = self.log.oldest().map(|oldest| {
            let state = if self.state.since <= oldest.sequence { self.state.bytes } else { 0 };
            self.ledger.live(oldest.sequence) + state
        });
        Room {
            used: self.log.used(),
            aside: self.log.aside(),
            need,
            held: self.image.held.len() as u64,
            live: self.live + self.state.bytes,
            is_tight: self.log.is_tight(),
        }
    }

    /// Something that has happened, whether it can be written or not: it is written later if not now.
    fn fact(&mut self, number: u32, record: Record) -> Result<(), JournalError> {
        match self.write(Purpose::End, record.clone()) {
            Ok(written) => {
                self.tend(written);
                Ok(())
            }
            Err(error) => {
                if matches!(record, Record::Over(_)) {
                    self.ledger.forget(number);
                }
                self.image.apply(record);
                self.unwritten.insert(number);
                Err(error)
            }
        }
    }

    fn state_records(&mut self, records: Vec<Record>) -> Result<(), JournalError> {
        let mut result = Ok(0);
        for record in records {
            if let Ok(before) = result {
                result = self.write(Purpose::Progress, record.clone()).map(|written| before + written);
            }
            if result.is_err() {
                // Known all the same, and written anew from the beginning as soon as that can be.
                match &record {
                    Record::List { gone, .. } => self.state.gone.0.extend(gone.iter().cloned()),
                    Record::Outages { gone, .. } => self.state.gone.1.extend(gone.iter().cloned()),
                    _ => {}
                }
                self.image.apply(record);
                self.state.stale = true;
                self.state.pass = None;
            }
        }
        let written = result?;
        self.tend(written);
        Ok(())
    }

    /// Writes what was not written when it happened, then a record; its bytes. Where there is no room for it, some is
    /// made first.
    fn write(&mut self, purpose: Purpose, record: Record) -> Result<u64, JournalError> {
        self.catch_up()?;
        let mut payload = self.encode(&record)?;
        let bytes = payload.len() as u64 + FRAME;
        if !self.plan.may_write(&self.room(), purpose, bytes) {
            self.payload = payload;
            self.clean(self.plan.hurry());
            self.log.prepare(self.image.held.len() as u64);
            payload = self.encode(&record)?;
        }
        let written = self.append(purpose, record, payload)?;
        self.figures.appended += written;
        Ok(written)
    }

    fn catch_up(&mut self) -> Result<(), JournalError> {
        while let Some(number) = self.unwritten.first().copied() {
            let record = match self.image.held.get(&number) {
                Some(held) => Record::Whole(number, held.clone()),
                None => Record::Over(number),
            };
            let payload = self.encode(&record)?;
            let bytes = self.append(Purpose::End, record, payload)?;
            self.figures.appended += bytes;
            self.unwritten.remove(&number);
        }
        Ok(())
    }

    /// A record's payload, in the buffer that is kept for it.
    fn encode(&mut self, record: &Record) -> Result<Vec<u8>, JournalError> {
        let mut buffer = std::mem::take(&mut self.payload);
        buffer.clear();
        Ok(postcard::to_extend(record, buffer)?)
    }

    /// Appends a record if its purpose may, and takes it into the image.
    fn append(&mut self, purpose: Purpose, record: Record, payload: Vec<u8>) -> Result<u64, JournalError> {
        let bytes = payload.len() as u64 + FRAME;
        let result = match self.plan.may_write(&self.room(), purpose, bytes) {
            true => self.log.append(&payload),
            false => Err(JournalError::Full),
        };
        self.payload = payload;
        let appended = result?;
        if appended.begun {
            self.ledger.open(appended.segment);
        }
        match &record {
            Record::Take(number, _) | Record::Whole(number, _) => {
                self.ledger.settle(*number, appended.segment, appended.bytes);
            }
            Record::Over(number) => self.ledger.forget(*number),
            Record::List { .. }
            | Record::Destinations(_)
            | Record::Outages { .. }
            | Record::Suspended { .. }
            | Record::Former(_) => {
                self.state.bytes += appended.bytes;
            }
            _ => {}
        }
        self.image.apply(record);
        Ok(appended.bytes)
    }

    fn move_on(&mut self, record: Record) -> Result<u64, JournalError> {
        let payload = self.encode(&record)?;
        let written = self.append(Purpose::Move, record, payload)?;
        self.figures.rewritten += written;
        Ok(written)
    }

    /// After something was written: makes room in a small step where that is due, and sets the next segment aside.
    fn tend(&mut self, written: u64) {
        self.free_dead();
        let behind = self.log.current().saturating_sub(self.state.since) * self.plan.segment();
        let changed = self.state.bytes.saturating_sub(self.state.bytes_anew);
        let due = self.state.stale
            || behind > (STATE_BEHIND * self.state.bytes).max(8 * self.plan.segment())
            || changed > (2 * self.state.bytes_anew).max(STATE_CHANGES);
        if due || self.state.pass.is_some() {
            if let Err(error) = self.pass() {
                self.trouble = Some(error);
            }
        }
        let room = self.room();
        let step = self.plan.step(&room, written);
        // Small steps are saved up: what several messages need goes out in one write.
        self.due = if step > 0 { self.due + step } else { 0 };
        if self.due > 0 && self.plan.is_due(&room, self.due) {
            let due = std::mem::take(&mut self.due);
            self.clean(due);
        }
        self.log.prepare(self.image.held.len() as u64);
    }

    /// Frees the oldest segments while nothing in them is needed.
    fn free_dead(&mut self) {
        while let Some(oldest) = self.log.oldest() {
            let is_needed = self.ledger.live(oldest.sequence) > 0 || self.state.since <= oldest.sequence;
            // An end that could not be written goes first.
            if is_needed || !self.unwritten.is_empty() {
                return;
            }
            if let Err(error) = self.free(oldest.sequence) {
                self.trouble = Some(error);
                return;
            }
        }
    }

    fn free(&mut self, segment: u64) -> Result<(), JournalError> {
        if !self.is_dead {
            self.move_on(Record::Freed { below: segment + 1, last: self.image.last })?;
            self.is_dead = true;
        }
        self.log.free_oldest()?;
        self.ledger.free();
        self.is_dead = false;
        self.place = 0;
        self.figures.freed += 1;
        Ok(())
    }

    /// Rewrites about so much of what is live in the oldest segments, and frees them.
    fn clean(&mut self, budget: u64) {
        if let Err(error) = self.clean_some(budget) {
            self.trouble = Some(error);
        }
    }

    fn clean_some(&mut self, mut budget: u64) -> Result<(), JournalError> {
        self.catch_up()?;
        while let Some(oldest) = self.log.oldest().filter(|_| budget > 0) {
            let written = match self.ledger.next(oldest.sequence, &mut self.place) {
                Next::Message(number) => {
                    let place = self.place;
                    let result = self.move_messages(oldest.sequence, number, budget);
                    if result.is_err() {
                        // They are still to be rewritten.
                        self.place = place - 1;
                    }
                    result?
                }
                Next::Later => WALKED,
                Next::End if self.state.since <= oldest.sequence => self.pass()?,
                Next::End => {
                    self.free(oldest.sequence)?;
                    FREED
                }
            };
            budget = budget.saturating_sub(written);
        }
        Ok(())
    }

    /// Rewrites a message of the oldest segment, and those behind it as far as the budget goes and one write can take them.
    fn move_messages(&mut self, segment: u64, first: u32, budget: u64) -> Result<u64, JournalError> {
        let fits = |held: &Held| held_cost(held) + FRAME;
        let run = self.log.run();
        let mut batch = Vec::new();
        let (mut number, mut expected) = (first, 0);
        while let Some(held) = self.image.held.get(&number) {
            let before = self.place;
            expected += fits(held);
            batch.push(number);
            if expected >= budget {
                break;
            }
            let next = match self.ledger.next(segment, &mut self.place) {
                Next::Message(next) => self.image.held.get(&next).map(|held| (next, expected + fits(held))),
                Next::Later | Next::End => None,
            };
            match next {
                Some((next, together)) if together <= run => number = next,
                _ => {
                    self.place = before;
                    break;
                }
            }
        }
        if batch.len() < 2 {
            let Some(held) = self.image.held.get(&first).cloned() else { return Ok(0) };
            return self.move_on(Record::Whole(first, held));
        }
        let (mut payloads, mut lengths) =
            (std::mem::take(&mut self.payload), Vec::with_capacity(batch.len()));
        payloads.clear();
        for number in &batch {
            let Some(held) = self.image.held.get(number) else { continue };
            let begin = payloads.len();
            payloads = postcard::to_extend(&Record::Whole(*number, held.clone()), payloads)?;
            lengths.push(payloads.len() - begin);
        }
        let bytes = payloads.len() as u64 + lengths.len() as u64 * FRAME;
        let result = match self.plan.may_write(&self.room(), Purpose::Move, bytes) {
            true => self.log.append_run(&payloads, &lengths),
            false => Err(JournalError::Full),
        };
        self.payload = payloads;
        let to = result?;
        for (number, length) in batch.into_iter().zip(lengths) {
            self.ledger.settle(number, to, length as u64 + FRAME);
        }
        self.figures.rewritten += bytes;
        Ok(bytes)
    }

    /// What went and could not be written when it did; what came back meanwhile is written with the rest.
    fn next_gone(&mut self) -> Option<Record> {
        let (uids, places) = &mut self.state.gone;
        uids.retain(|uid| !self.image.targets.contains_key(uid));
        places.retain(|place| !self.image.outages.contains_key(place));
        if !uids.is_empty() {
            let gone = uids.iter().take(ENTRIES).cloned().collect();
            return Some(Record::List { rev: None, set: Vec::new(), gone });
        }
        let gone: Vec<OutagePlace> = places.iter().take(ENTRIES).cloned().collect();
        (!gone.is_empty()).then(|| Record::Outages { set: Vec::new(), gone })
    }

    /// Writes the next part of list, destinations and outages anew. Changes meanwhile are written behind it as ever, so
    /// that the last word on each is always the right one.
    fn pass(&mut self) -> Result<u64, JournalError> {
        if let Some(record) = self.next_gone() {
            let bytes = self.move_on(record.clone())?;
            let (uids, places) = &mut self.state.gone;
            match record {
                Record::List { gone, .. } => uids.retain(|uid| !gone.contains(uid)),
                Record::Outages { gone, .. } => places.retain(|place| !gone.contains(place)),
                _ => {}
            }
            return Ok(bytes);
        }
        let began = self.log.current();
        let pass = self.state.pass.get_or_insert(Pass { began, bytes: 0, at: At::Targets(None) });
        let image = &self.image;
        let (record, next) = match pass.at.clone() {
            At::Targets(after) => {
                let set: Vec<_> = from(&image.targets, after).take(ENTRIES).map(|(_, t)| t.clone()).collect();
                let last = set.len() < ENTRIES;
                let next = match set.last() {
                    Some(target) if !last => At::Targets(Some(target.uid.clone())),
                    _ => At::Destinations(None),
                };
                (Record::List { rev: last.then_some(image.rev), set, gone: Vec::new() }, Some(next))
            }
            At::Destinations(after) => {
                let range = (after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
                let part: Vec<u32> = image.destinations.range(range).take(DESTINATIONS).copied().collect();
                let next = match part.last() {
                    Some(number) if part.len() == DESTINATIONS => At::Destinations(Some(*number)),
                    _ => At::Outages(None),
                };
                (Record::Destinations(part), Some(next))
            }
            At::Outages(after) => {
                let part: Vec<_> = from(&image.outages, after).take(ENTRIES).collect();
                let next = match part.last() {
                    Some((place, _)) if part.len() == ENTRIES => At::Outages(Some((*place).clone())),
                    _ => At::Suspended(None),
                };
                let set = part.into_iter().map(|(_, note)| note.clone()).collect();
                (Record::Outages { set, gone: Vec::new() }, Some(next))
            }
            At::Suspended(after) => {
                let range = (after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
                let set: Vec<String> = image.suspended.range(range).take(ENTRIES).cloned().collect();
                let next = match set.last() {
                    Some(uid) if set.len() == ENTRIES => At::Suspended(Some(uid.clone())),
                    _ => At::Former(0),
                };
                (Record::Suspended { set, gone: Vec::new() }, Some(next))
            }
            // What is forgotten meanwhile moves the others forward: some are then written by a later pass only.
            At::Former(written) => {
                let part: Vec<String> = image.former.iter().skip(written).take(ENTRIES).cloned().collect();
                let next = (part.len() == ENTRIES).then_some(At::Former(written + ENTRIES));
                (Record::Former(part), next)
            }
        };
        let bytes = self.move_on(record)?;
        let Some(pass) = &mut self.state.pass else { return Ok(bytes) };
        pass.bytes += bytes;
        match next {
            Some(next) => pass.at = next,
            None => {
                // A change that was not written while the pass went on may have come behind it.
                let (since, bytes) = (pass.began, pass.bytes);
                self.state = State { since, bytes, bytes_anew: bytes, ..State::default() };
            }
        }
        Ok(bytes)
    }
}

/// What it counts as to have passed over messages that are not there any more, and to have freed a segment.
const WALKED: u64 = 512;
const FREED: u64 = 2048;

fn from<K: Ord + Clone, V>(map: &BTreeMap<K, V>, after: Option<K>) -> impl Iterator<Item = (&K, &V)> {
    map.range((after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded))
}

fn taken_cost(taken: &Taken) -> u64 {
    let texts = taken.id.len() + taken.class.len() + taken.idempotency_key.as_ref().map_or(0, String::len);
    cost(texts, taken.body.len())
}

fn held_cost(held: &Held) -> u64 {
    taken_cost(&held.taken)
}
