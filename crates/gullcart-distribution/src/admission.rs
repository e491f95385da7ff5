//! What keeps a crowd of returning subscribers from delaying the others: snapshots begin at a stated rate, and who has to
//! wait is told when to come again.

use std::time::Duration;

use fastrand::Rng;

use crate::limits::{
    BACKOFF_MAX, BACKOFF_MIN, MAX_SNAPSHOTS_UNDER_WAY, SNAPSHOTS_PER_SECOND, SNAPSHOT_BURST,
};
use crate::time::Instant;

/// Time between two snapshots at the stated rate.
const SNAPSHOT_SPACING: Duration = Duration::from_micros(1_000_000 / SNAPSHOTS_PER_SECOND as u64);

/// Whoever waits comes at a random moment within this span, so that those told at once don't come at once.
const RETRY_JITTER: Duration = Duration::from_millis(100);

/// Admits snapshots at [`SNAPSHOTS_PER_SECOND`], [`SNAPSHOT_BURST`] at once, [`MAX_SNAPSHOTS_UNDER_WAY`] at a time.
#[derive(Clone, Debug)]
pub struct SnapshotAdmission {
    /// When the bucket of tokens is full; each token taken moves it on.
    full_at: Instant,
    /// The moment that was told to the last one who had to wait.
    last_told: Instant,
    under_way: usize,
}

impl Default for SnapshotAdmission {
    fn default() -> Self {
        Self { full_at: Instant::from_micros(0), last_told: Instant::from_micros(0), under_way: 0 }
    }
}

impl SnapshotAdmission {
    /// Admits a snapshot, or says after which time to ask again.
    pub fn admit(&mut self, now: Instant, random: &mut Rng) -> Result<(), Duration> {
        let after_taking = self.full_at.max(now) + SNAPSHOT_SPACING;
        let has_token = after_taking - now <= SNAPSHOT_SPACING * SNAPSHOT_BURST;
        if !has_token || self.under_way >= MAX_SNAPSHOTS_UNDER_WAY {
            return Err(self.retry_after(now, random));
        }
        self.full_at = after_taking;
        self.begin();
        Ok(())
    }

    /// A snapshot begins.
    pub fn begin(&mut self) {
        self.under_way += 1;
    }

    /// A snapshot has ended, sent or broken off.
    pub fn finish(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Snapshots under way.
    pub fn under_way(&self) -> usize {
        self.under_way
    }

    fn retry_after(&mut self, now: Instant, random: &mut Rng) -> Duration {
        self.last_told = self.last_told.max(now) + SNAPSHOT_SPACING;
        let wait = (self.last_told - now).max(BACKOFF_MIN) + jitter(RETRY_JITTER, random);
        wait.min(BACKOFF_MAX)
    }
}

/// Waits between attempts to connect: doubled each time from [`BACKOFF_MIN`] to [`BACKOFF_MAX`], each with jitter of half of
/// it. The first seven attempts are over after at most 6.35 s.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    attempts: u32,
}

impl Backoff {
    /// The wait before the next attempt.
    pub fn next_wait(&mut self, random: &mut Rng) -> Duration {
        let longest = BACKOFF_MIN.saturating_mul(1 << self.attempts.min(16)).min(BACKOFF_MAX);
        self.attempts = self.attempts.saturating_add(1);
        longest / 2 + jitter(longest / 2, random)
    }

    /// An attempt has succeeded.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}

/// A random span from zero up to `most`.
pub fn jitter(most: Duration, random: &mut Rng) -> Duration {
    let micros = u64::try_from(most.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(random.u64(0..=micros))
}
