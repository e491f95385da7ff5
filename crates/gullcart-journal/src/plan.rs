//! What the journal has to decide: how much may be promised, what may be written now, and how much is rewritten at a
//! time. No I/O and no clock; all sizes are bytes.
//!
//! Segments are freed oldest first. What is live of the oldest one is rewritten behind all others, so that the log is
//! always a run of segments that adds up to the image, and an end never has to outlive the message that it ended.

/// Part of the disk that live messages may take.
const LIVE_PART: f64 = 0.64;
/// Segments on a full disk, and the least and the most that one has. Small ones keep the room beside the live data
/// small, which counts where the whole disk has 150 KB; large ones keep files few.
const SEGMENTS: u64 = 64;
const LEAST_SEGMENT: u64 = 3 << 10;
const MOST_SEGMENT: u64 = 4 << 20;
/// Room kept for what ends a message: an outcome, its verdict, and that it is over.
const END_ROOM: u64 = 64;
/// What a message needs in a record that holds all of it, over its texts and its body.
const WHOLE_ROOM: u64 = 96;
/// A step rewrites so much at most, but for its last record.
const MOST_STEP: u64 = 32 << 10;
/// ... and so much at least, once it is due.
const LEAST_STEP: u64 = 1 << 10;
/// Steps that are smaller than this, and than a quarter of a segment, are saved up.
const FULL_STEP: u64 = 16 << 10;
/// Files are counted in whole sectors.
const SECTOR: u64 = 512;

/// What a file of so many bytes counts as.
pub fn on_disk(length: u64) -> u64 {
    length.div_ceil(SECTOR) * SECTOR
}

/// What a message counts as while it is held.
pub fn cost(texts: usize, body: usize) -> u64 {
    (texts + body) as u64 + WHOLE_ROOM
}

/// The figures of a folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    disk: u64,
    segment: u64,
}

/// How the room stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// All files as they count, with what is set aside in them.
    pub used: u64,
    /// Set aside and not yet written: the rest of the segment that is written, and the spare one.
    pub aside: u64,
    /// What is still to be rewritten of the oldest segment before it can be freed; none if it is the one written.
    pub need: Option<u64>,
    /// Messages held.
    pub held: u64,
    /// What they and the list count as.
    pub live: u64,
    /// The disk itself gives no more room, whatever the folder may hold.
    pub is_tight: bool,
}

/// What a record is for: what promises more gives way to what keeps a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A new promise.
    Promise,
    /// An attempt, or news of the list and of outages.
    Progress,
    /// Something live that is moved, so that room comes free.
    Move,
    /// An outcome or an end.
    End,
}

impl Plan {
    /// For a folder that may hold so much; the size of a segment may be given.
    pub fn new(disk: u64, segment: Option<u64>) -> Self {
        let usual = (disk / SEGMENTS).clamp(LEAST_SEGMENT, MOST_SEGMENT);
        Plan { disk, segment: segment.unwrap_or(usual).clamp(SECTOR, 1 << 30) / SECTOR * SECTOR }
    }

    /// Bytes after which the next segment is begun, and that are set aside for each.
    pub fn segment(&self) -> u64 {
        self.segment
    }

    /// What is set aside for the next segment: all that what is held may need to end has to fit.
    pub fn spare(&self, held: u64) -> u64 {
        on_disk(self.segment.max((held + 1) * END_ROOM))
    }

    /// What the folder may hold.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// What may be promised at a time, as [`cost`] counts it.
    pub fn promised(&self) -> u64 {
        (self.disk as f64 * LIVE_PART) as u64
    }

    /// Room that is left for anything at all.
    fn room(&self, room: &Room) -> u64 {
        match room.is_tight {
            true => room.aside,
            false => self.disk.saturating_sub(room.used) + room.aside,
        }
    }

    /// What has to stay free for a record of some purpose.
    fn kept(&self, room: &Room, purpose: Purpose) -> u64 {
        let ends = room.held * END_ROOM;
        let need = room.need.unwrap_or(0);
        match purpose {
            Purpose::Promise => ends + END_ROOM + need + self.segment,
            Purpose::Progress => ends + need,
            Purpose::Move => ends,
            Purpose::End => 0,
        }
    }

    /// Whether a record of so many bytes may be written now.
    pub fn may_write(&self, room: &Room, purpose: Purpose, bytes: u64) -> bool {
        self.room(room) >= bytes + self.kept(room, purpose)
    }

    /// Whether one more message may be promised.
    pub fn may_promise(&self, room: &Room, cost: u64) -> bool {
        room.live + cost <= self.promised()
    }

    /// Whether so much may be set aside.
    pub fn may_set_aside(&self, room: &Room, bytes: u64) -> bool {
        room.used + on_disk(bytes) <= self.disk
    }

    /// How much to rewrite after so much was written. It begins when little room is left, and grows so that the oldest
    /// segment is free before promises have to be refused: what is still to be rewritten falls with the square of the
    /// room that is left over.
    pub fn step(&self, room: &Room, written: u64) -> u64 {
        let Some(need) = room.need else { return 0 };
        let over = self.room(room).saturating_sub(self.kept(room, Purpose::Promise));
        if over >= 2 * self.segment {
            return 0;
        }
        let share = written as f64 * 2.0 * (need + SECTOR) as f64 / (over.max(SECTOR)) as f64;
        (share as u64).clamp(LEAST_STEP, MOST_STEP)
    }

    /// Whether what is to be rewritten is enough for a step: one write for several messages costs little more than one for
    /// each. Where a promise has little room left, nothing is put off.
    pub fn is_due(&self, room: &Room, due: u64) -> bool {
        let over = self.room(room).saturating_sub(self.kept(room, Purpose::Promise));
        due >= (self.segment / 4).min(FULL_STEP) || over < self.segment / 2
    }

    /// How much to rewrite when something had to be refused for lack of room.
    pub fn hurry(&self) -> u64 {
        MOST_STEP
    }
}

#[cfg(test)]
mod tests;
