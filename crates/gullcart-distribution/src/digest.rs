//! Incremental digests of sets of entries: the sum of a 128-bit hash of each.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use crate::limits::BUCKETS;
use crate::position::Position;
use crate::scope::{Key, Scope, Value};

/// The digest of a set of entries. It does not depend on their order, and an entry goes in or out in constant time.
///
/// It finds accidents, not forgeries: the hash (XXH3) is not a cryptographic one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

impl Digest {
    /// The digest of a single entry.
    pub fn of_entry(key: &Key, value: &Value, position: Position) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&(key.as_bytes().len() as u64).to_le_bytes());
        hasher.update(key.as_bytes());
        hasher.update(value.as_bytes());
        hasher.update(&position.epoch.0.to_le_bytes());
        hasher.update(&position.revision.0.to_le_bytes());
        Self(hasher.digest128().to_le_bytes())
    }

    /// The digest of a scope as a part of several: it differs for the same entries in another scope.
    pub fn of_scope(scope: Scope, digest: Digest) -> Self {
        let (kind, number) = scope.as_numbers();
        let mut hasher = Xxh3::new();
        hasher.update(&[kind]);
        hasher.update(&number.to_le_bytes());
        hasher.update(&digest.0);
        Self(hasher.digest128().to_le_bytes())
    }

    /// Puts the set of `other` in.
    pub fn insert(&mut self, other: Digest) {
        let sum = u128::from_le_bytes(self.0).wrapping_add(u128::from_le_bytes(other.0));
        self.0 = sum.to_le_bytes();
    }

    /// Takes the set of `other` out.
    pub fn remove(&mut self, other: Digest) {
        let difference = u128::from_le_bytes(self.0).wrapping_sub(u128::from_le_bytes(other.0));
        self.0 = difference.to_le_bytes();
    }
}

/// The digests of a scope's buckets.
pub type BucketDigests = [Digest; BUCKETS];

/// The bucket that a key belongs to.
pub fn bucket_of(key: &Key) -> usize {
    (xxh3_64(key.as_bytes()) % BUCKETS as u64) as usize
}

/// Some of a scope's buckets, one bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSet(pub u16);

impl BucketSet {
    /// All buckets.
    pub const ALL: BucketSet = BucketSet(u16::MAX);

    /// The buckets whose digests differ.
    pub fn differing(left: &BucketDigests, right: &BucketDigests) -> Self {
        let differs = |bucket: &usize| left[*bucket] != right[*bucket];
        Self((0..BUCKETS).filter(differs).fold(0, |bits, bucket| bits | 1 << bucket))
    }

    /// The buckets without entries.
    pub fn empty_in(digests: &BucketDigests) -> Self {
        Self::differing(digests, &[Digest::default(); BUCKETS]).complement()
    }

    /// The buckets of either set.
    pub fn union(self, other: BucketSet) -> Self {
        Self(self.0 | other.0)
    }

    /// The buckets that are not in the set.
    pub fn complement(self) -> Self {
        Self(!self.0)
    }

    /// Whether the set has this bucket.
    pub fn contains(self, bucket: usize) -> bool {
        self.0 & (1 << bucket) != 0
    }

    /// Whether the set has no bucket.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// How many buckets it has.
    pub fn len(self) -> usize {
        self.0.count_ones() as usize
    }
}
