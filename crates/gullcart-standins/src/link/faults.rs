//! The faults of a link between two processes and their combined effect at a moment. No I/O, no clock.
//!
//! A link carries the connections that one process opens to another, with the bytes of both directions. Connections that the
//! second process opens to the first go through another link, with separate faults.

use gullcart_judge::trace::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes buffered for each connection and direction while faults hold them back. When the buffer is full, the sender is
/// blocked by backpressure.
pub const MAX_HELD_BYTES: usize = 256 * 1024;

/// A direction of the bytes on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From the process that opened the connection to the one that accepted it.
    Forward,
    /// From the process that accepted the connection to the one that opened it.
    Backward,
}

impl Direction {
    /// Both directions.
    pub const ALL: [Direction; 2] = [Direction::Forward, Direction::Backward];
}

/// A fault of a link. Several may be in force at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// Bytes in this direction are held back until the fault ends or the connection does. The other direction still works.
    /// A loopback proxy cannot drop a SYN packet, so new connections are established, with this direction cut.
    Cut(Direction),
    /// Connections that are accepted during the fault never carry anything, not even after it: what is sent on them is
    /// discarded. Open ones are cut in both directions until it ends.
    Silent,
    /// New connections are refused, and open ones reset.
    Refused,
    /// Limits each direction of a connection to this many bytes a second.
    Slow(u32),
    /// Delays each chunk by a random time between these two; the order is kept.
    Delayed(Duration, Duration),
    /// Resets a connection once it has carried this many bytes in both directions together, which is mostly in the middle
    /// of a frame.
    ResetAfter(u64),
    /// Alternates between sound for the first time and cut in both directions for the second.
    Flapping(Duration, Duration),
}

/// The faults in force on a link.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    /// Faults by id, with the time at which they began.
    active: BTreeMap<u32, (LinkFault, Timestamp)>,
}

impl LinkFaults {
    /// Begins a fault. It replaces one with the same id.
    pub fn begin_fault(&mut self, id: u32, fault: LinkFault, now: Timestamp) {
        self.active.insert(id, (fault, now));
    }

    /// Ends the fault with this id.
    pub fn end_fault(&mut self, id: u32) {
        self.active.remove(&id);
    }

    /// Ends all faults.
    pub fn end_all_faults(&mut self) {
        self.active.clear();
    }

    /// Whether no fault is in force.
    pub fn is_healthy(&self) -> bool {
        self.active.is_empty()
    }

    /// The faults in force, with the times at which they began.
    fn active_faults(&self) -> impl Iterator<Item = (LinkFault, Timestamp)> + '_ {
        self.active.values().copied()
    }

    /// Whether connections are refused.
    pub fn is_refused(&self) -> bool {
        self.active_faults().any(|(fault, _)| fault == LinkFault::Refused)
    }

    /// Whether a connection that is accepted now will never carry anything.
    pub fn is_silent(&self) -> bool {
        self.active_faults().any(|(fault, _)| fault == LinkFault::Silent)
    }

    /// Whether bytes in this direction are held back now.
    pub fn is_cut(&self, direction: Direction, now: Timestamp) -> bool {
        self.active_faults().any(|(fault, began)| match fault {
            LinkFault::Cut(cut) => cut == direction,
            LinkFault::Silent => true,
            LinkFault::Flapping(up, down) => {
                let period = (up + down).as_micros().max(1);
                (now - began).as_micros() % period >= up.as_micros()
            }
            _ => false,
        })
    }

    /// When the result of [`LinkFaults::is_cut`] may change next without a fault beginning or ending.
    pub fn changes_at(&self, now: Timestamp) -> Option<Timestamp> {
        let next_change = |(fault, began): (LinkFault, Timestamp)| {
            let LinkFault::Flapping(up, down) = fault else { return None };
            let period = (up + down).as_micros().max(1) as u64;
            let elapsed = (now - began).as_micros() as u64 % period;
            let change = if elapsed < up.as_micros() as u64 { up.as_micros() as u64 } else { period };
            Some(Timestamp(now.0 + change - elapsed))
        };
        self.active_faults().filter_map(next_change).min()
    }

    /// The delay of a chunk; `chance`, between 0 and 1, is its position in the range of each [`LinkFault::Delayed`].
    pub fn delay(&self, chance: f64) -> Duration {
        let delay = |(fault, _)| match fault {
            LinkFault::Delayed(from, to) => from + to.saturating_sub(from).mul_f64(chance.clamp(0.0, 1.0)),
            _ => Duration::ZERO,
        };
        self.active_faults().map(delay).sum()
    }

    /// The lowest limit of the throughput; `None` if there is no limit.
    pub fn bytes_per_second(&self) -> Option<u32> {
        self.active_faults()
            .filter_map(|(fault, _)| matches!(fault, LinkFault::Slow(_)).then_some(fault))
            .fold(None, |lowest, fault| match fault {
                LinkFault::Slow(rate) => Some(lowest.map_or(rate, |lowest: u32| lowest.min(rate)).max(1)),
                _ => lowest,
            })
    }

    /// How many bytes a connection that has `carried` so far may still carry before it is reset; `None` if there is no limit.
    pub fn bytes_until_reset(&self, carried: u64) -> Option<u64> {
        let remaining = |(fault, _)| match fault {
            LinkFault::ResetAfter(bytes) => Some(bytes.saturating_sub(carried)),
            _ => None,
        };
        self.active_faults().filter_map(remaining).min()
    }
}

/// All directed pairs of processes from different sets, for a partition of several processes.
pub fn separated_pairs(sets: &[&[usize]]) -> Vec<(usize, usize)> {
    let mut pairs = Vec::new();
    for (index, set) in sets.iter().enumerate() {
        for other in sets.iter().enumerate().filter(|(other, _)| *other != index).map(|(_, other)| other) {
            pairs.extend(set.iter().flat_map(|from| other.iter().map(move |to| (*from, *to))));
        }
    }
    pairs
}

#[cfg(test)]
mod tests;
