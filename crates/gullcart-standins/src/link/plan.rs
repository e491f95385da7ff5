//! What a link between two processes does at a moment: which troubles it has, and what they add up to. No I/O, no clock.
//!
//! A link is directed by who connects: the connections that one process opens to another go through it, with what is said
//! on them in both ways. The link of the other direction is another one, with troubles of its own.

use gullcart_judge::trace::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes that are held back on a link and way until they may go on: who writes more waits, as on a full line.
pub const MOST_HELD: usize = 256 * 1024;

/// A way along the connections of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// From who connected to who was connected to.
    There,
    /// And back.
    Back,
}

impl Way {
    /// Both.
    pub const ALL: [Way; 2] = [Way::There, Way::Back];
}

/// What is wrong with a link. Several may be in force at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// What is sent this way does not arrive until the trouble ends, or the connection does. The other way still works. A
    /// loopback link cannot lose the first packets of a connection: it comes up, and is as dead as the rest.
    Cut(Way),
    /// Connections come up, and nothing ever arrives on those that came up meanwhile, in either way, also not later.
    Silent,
    /// Connections are refused, and those that there are end.
    Refused,
    /// So many bytes a second in each way, for each connection.
    Slow(u32),
    /// What is sent arrives later, each piece by a draw from this range; order is kept.
    Late(Duration, Duration),
    /// Connections are reset once they have carried so many bytes in both ways together: in the middle of a frame, mostly.
    ResetAfter(u64),
    /// Cut in both ways for the second of these times, after each of the first.
    Flapping(Duration, Duration),
}

/// A link's troubles.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    troubles: BTreeMap<u32, (Trouble, Timestamp)>,
}

impl Plan {
    /// A trouble begins; a number in use is given to the new one.
    pub fn begin(&mut self, number: u32, trouble: Trouble, now: Timestamp) {
        self.troubles.insert(number, (trouble, now));
    }

    /// A trouble ends.
    pub fn end(&mut self, number: u32) {
        self.troubles.remove(&number);
    }

    /// All of them end.
    pub fn heal(&mut self) {
        self.troubles.clear();
    }

    /// Whether anything is wrong.
    pub fn is_sound(&self) -> bool {
        self.troubles.is_empty()
    }

    fn all(&self) -> impl Iterator<Item = (Trouble, Timestamp)> + '_ {
        self.troubles.values().copied()
    }

    /// Whether connections are refused.
    pub fn is_refused(&self) -> bool {
        self.all().any(|(trouble, _)| trouble == Trouble::Refused)
    }

    /// Whether a connection that comes up now will never carry anything.
    pub fn is_silent(&self) -> bool {
        self.all().any(|(trouble, _)| trouble == Trouble::Silent)
    }

    /// Whether nothing arrives this way now.
    pub fn is_cut(&self, way: Way, now: Timestamp) -> bool {
        self.all().any(|(trouble, began)| match trouble {
            Trouble::Cut(cut) => cut == way,
            Trouble::Silent => true,
            Trouble::Flapping(up, down) => {
                let round = (up + down).as_micros().max(1);
                (now - began).as_micros() % round >= up.as_micros()
            }
            _ => false,
        })
    }

    /// When [`Plan::is_cut`] may change next by itself.
    pub fn changes_at(&self, now: Timestamp) -> Option<Timestamp> {
        let next = |(trouble, began): (Trouble, Timestamp)| {
            let Trouble::Flapping(up, down) = trouble else { return None };
            let round = (up + down).as_micros().max(1) as u64;
            let passed = (now - began).as_micros() as u64 % round;
            let edge = if passed < up.as_micros() as u64 { up.as_micros() as u64 } else { round };
            Some(Timestamp(now.0 + edge - passed))
        };
        self.all().filter_map(next).min()
    }

    /// How much later a piece arrives; `chance` lies between 0 and 1.
    pub fn late(&self, chance: f64) -> Duration {
        let late = |(trouble, _)| match trouble {
            Trouble::Late(from, to) => from + to.saturating_sub(from).mul_f64(chance.clamp(0.0, 1.0)),
            _ => Duration::ZERO,
        };
        self.all().map(late).sum()
    }

    /// Bytes a second, where that is bounded.
    pub fn pace(&self) -> Option<u32> {
        self.all().filter_map(|(trouble, _)| matches!(trouble, Trouble::Slow(_)).then_some(trouble)).fold(
            None,
            |least, trouble| match trouble {
                Trouble::Slow(pace) => Some(least.map_or(pace, |least: u32| least.min(pace)).max(1)),
                _ => least,
            },
        )
    }

    /// How many more bytes a connection may carry that has carried so many, where that is bounded.
    pub fn room(&self, carried: u64) -> Option<u64> {
        let room = |(trouble, _)| match trouble {
            Trouble::ResetAfter(bytes) => Some(bytes.saturating_sub(carried)),
            _ => None,
        };
        self.all().filter_map(room).min()
    }
}

/// Pairs of places that cannot reach each other, for partitions of several processes.
pub fn apart(sets: &[&[usize]]) -> Vec<(usize, usize)> {
    let mut pairs = Vec::new();
    for (number, set) in sets.iter().enumerate() {
        for other in sets.iter().enumerate().filter(|(other, _)| *other != number).map(|(_, other)| other) {
            pairs.extend(set.iter().flat_map(|from| other.iter().map(move |to| (*from, *to))));
        }
    }
    pairs
}

#[cfg(test)]
mod tests;
