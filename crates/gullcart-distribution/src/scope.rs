//! What is handed out: keys with values, each in a scope.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::limits::{MAX_KEY_BYTES, MAX_VALUE_BYTES};
use crate::position::Position;

/// A part of the state that is subscribed to as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// Settings of the whole fleet.
    Global,
    /// Settings of a region.
    Region(u16),
    /// Settings of a zone.
    Zone(u16),
    /// Settings and state of one share of the destinations.
    Destinations(u32),
    /// Settings of one courier.
    Courier(u32),
}

impl Scope {
    /// Its kind and its number within the kind.
    pub fn as_numbers(self) -> (u8, u32) {
        match self {
            Scope::Global => (0, 0),
            Scope::Region(number) => (1, u32::from(number)),
            Scope::Zone(number) => (2, u32::from(number)),
            Scope::Destinations(number) => (3, number),
            Scope::Courier(number) => (4, number),
        }
    }
}

/// A key or value is longer than is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{length} bytes where at most {limit} are allowed")]
pub struct TooLong {
    /// Bytes that were given.
    pub length: usize,
    /// Bytes that are allowed.
    pub limit: usize,
}

fn within(bytes: Bytes, limit: usize) -> Result<Bytes, TooLong> {
    if bytes.len() > limit {
        return Err(TooLong { length: bytes.len(), limit });
    }
    Ok(bytes)
}

/// The name of an entry within its scope; at most [`MAX_KEY_BYTES`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Bytes", into = "Bytes")]
pub struct Key(Bytes);

impl Key {
    /// A key of these bytes.
    pub fn new(bytes: impl Into<Bytes>) -> Result<Self, TooLong> {
        within(bytes.into(), MAX_KEY_BYTES).map(Self)
    }

    /// Its bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl TryFrom<Bytes> for Key {
    type Error = TooLong;

    fn try_from(bytes: Bytes) -> Result<Self, TooLong> {
        Self::new(bytes)
    }
}

impl From<Key> for Bytes {
    fn from(key: Key) -> Bytes {
        key.0
    }
}

/// The value of an entry, opaque here; at most [`MAX_VALUE_BYTES`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Bytes", into = "Bytes")]
pub struct Value(Bytes);

impl Value {
    /// A value of these bytes.
    pub fn new(bytes: impl Into<Bytes>) -> Result<Self, TooLong> {
        within(bytes.into(), MAX_VALUE_BYTES).map(Self)
    }

    /// Its bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl TryFrom<Bytes> for Value {
    type Error = TooLong;

    fn try_from(bytes: Bytes) -> Result<Self, TooLong> {
        Self::new(bytes)
    }
}

impl From<Value> for Bytes {
    fn from(value: Value) -> Bytes {
        value.0
    }
}

/// A numbered change: sets or removes a key in a scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The scope.
    pub scope: Scope,
    /// Where in the history it was made.
    pub position: Position,
    /// The key.
    pub key: Key,
    /// The new value, or nothing to remove the key.
    pub value: Option<Value>,
}

impl Change {
    /// An upper bound of its encoded size.
    pub fn encoded_bound(&self) -> usize {
        /// Scope, position, option tag and two lengths, each at its longest.
        const FIXED: usize = 36;
        FIXED + self.key.as_bytes().len() + self.value.as_ref().map_or(0, |value| value.as_bytes().len())
    }
}
