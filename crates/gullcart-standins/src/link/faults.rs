//! What a link between two processes does at a moment: which troubles it has, and what they add up to. No I/O, no clock.
//!
//! A link is directed by who connects: the connections that one process opens to another go through it, with what is said
//! on them in both ways. The link of the other direction is another one, with troubles of its own.

use gullcart_judge::trace::At;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes that are held back on a link and way until they may go on: who writes more waits, as on a full line.
pub const MAX_HELD_BYTES: usize = 256 * 1024;

/// A way along the connections of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From who connected to who was connected to.
    Forward,
    /// And back.
    Backward,
}

impl Direction {
    /// Both.
    pub const ALL: [Direction; 2] = [Direction::Forward, Direction::Backward];
}

/// What is wrong with a link. Several may be in force at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// What is sent this way does not arrive until the trouble ends, or the connection does. The other way still works. A
    /// loopback link cannot lose the first packets of a connection: it comes up, and is as dead as the rest.
    Cut(Direction),
    /// Connections come up, and nothing ever arrives on those that came up meanwhile, in either way, also not later.
    Silent,
    /// Connections are refused, and those that there are end.
    Refused,
    /// So many bytes a second in each way, for each connection.
    Slow(u32),
    /// What is sent arrives later, each piece by a draw from this range; order is kept.
    Delayed(Duration, Duration),
    /// Connections are reset once they have carried so many bytes in both ways together: in the middle of a frame, mostly.
    ResetAfter(u64),
    /// Cut in both ways for the second of these times, after each of the first.
    Flapping(Duration, Duration),
}

/// A link's active.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    active: BTreeMap<u32, (LinkFault, At)>,
}

impl LinkFaults {
    /// A trouble begins; a number in use is given to the new one.
    pub fn begin_fault(&mut self, id: u32, fault: LinkFault, now: At) {
        self.active.insert(id, (fault, now));
    }

    /// A trouble ends.
    pub fn end_fault(&mut self, id: u32) {
        self.active.remove(&id);
    }

    /// All of them end.
    pub fn end_all_faults(&mut self) {
        self.active.clear();
    }

    /// Whether anything is wrong.
    pub fn is_healthy(&self) -> bool {
        self.active.is_empty()
    }

    fn all(&self) -> impl Iterator<Item = (LinkFault, At)> + '_ {
        self.active.values().copied()
    }

    /// Whether connections are refused.
    pub fn is_refused(&self) -> bool {
        self.all().any(|(fault, _)| fault == LinkFault::Refused)
    }

    /// Whether a connection that comes up now will never carry anything.
    pub fn is_silent(&self) -> bool {
        self.all().any(|(fault, _)| fault == LinkFault::Silent)
    }

    /// Whether nothing arrives this way now.
    pub fn is_cut(&self, direction: Direction, now: At) -> bool {
        self.all().any(|(fault, began)| match fault {
            LinkFault::Cut(cut) => cut == direction,
            LinkFault::Silent => true,
            LinkFault::Flapping(up, down) => {
                let period = (up + down).as_micros().max(1);
                (now - began).as_micros() % period >= up.as_micros()
            }
            _ => false,
        })
    }

    /// When [`LinkFaults::is_cut`] may change next by itself.
    pub fn changes_at(&self, now: At) -> Option<At> {
        let next_change = |(fault, began): (LinkFault, At)| {
            let LinkFault::Flapping(up, down) = fault else { return None };
            let period = (up + down).as_micros().max(1) as u64;
            let elapsed = (now - began).as_micros() as u64 % period;
            let change = if elapsed < up.as_micros() as u64 { up.as_micros() as u64 } else { period };
            Some(At(now.0 + change - elapsed))
        };
        self.all().filter_map(next_change).min()
    }

    /// How much later a piece arrives; `chance` lies between 0 and 1.
    pub fn delay(&self, chance: f64) -> Duration {
        let delay = |(fault, _)| match fault {
            LinkFault::Delayed(from, to) => from + to.saturating_sub(from).mul_f64(chance.clamp(0.0, 1.0)),
            _ => Duration::ZERO,
        };
        self.all().map(delay).sum()
    }

    /// Bytes a second, where that is bounded.
    pub fn bytes_per_second(&self) -> Option<u32> {
        self.all().filter_map(|(fault, _)| matches!(fault, LinkFault::Slow(_)).then_some(fault)).fold(
            None,
            |lowest, fault| match fault {
                LinkFault::Slow(rate) => Some(lowest.map_or(rate, |lowest: u32| lowest.min(rate)).max(1)),
                _ => lowest,
            },
        )
    }

    /// How many more bytes a connection may carry that has carried so many, where that is bounded.
    pub fn bytes_until_reset(&self, carried: u64) -> Option<u64> {
        let remaining = |(fault, _)| match fault {
            LinkFault::ResetAfter(bytes) => Some(bytes.saturating_sub(carried)),
            _ => None,
        };
        self.all().filter_map(remaining).min()
    }
}

/// Pairs of places that cannot reach each other, for partitions of several processes.
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
