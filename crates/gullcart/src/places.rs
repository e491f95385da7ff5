//! The places of clients' connections, and who gives way when they are short. No socket: a connection says what it does.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{timeout, Instant};

use crate::clients::ClientLimits;

/// While places are short, a part of a request is given up once nothing of it came for as long as its client would wait for
/// an answer, a silent connection goes before the idle ones once its first request is not to be expected any more, ...
const HALF_PRESSED: Duration = Duration::from_millis(400);
const SILENT_PRESSED: Duration = Duration::from_millis(250);
/// ... and one whose request comes slowly goes last, once it has come for so long.
const SLOW_PRESSED: Duration = Duration::from_millis(2500);

/// What a connection is doing, which decides who gives way when places are short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doing {
    /// Has not asked anything yet.
    Silent,
    /// Between two requests.
    Idle,
    /// A part of a request has come.
    Half,
    /// Has a request open.
    Busy,
    /// Has been told its error; what it still sends is thrown away.
    Refused,
    /// Has been told to give way.
    Leaving,
}

/// The open connections of clients.
pub struct Places {
    most: usize,
    most_idle: usize,
    occupants: RefCell<Occupants>,
    /// A connection has closed or changed what it does.
    changed: Notify,
    long: Semaphore,
}

#[derive(Default)]
struct Occupants {
    last: u64,
    open: BTreeMap<u64, Occupant>,
}

struct Occupant {
    doing: Doing,
    since: Instant,
    /// When something of a request last came.
    last: Instant,
    give_way: Rc<Notify>,
}

/// Who gives way first has the least; none where it may not be closed. `lasted` is how long it has done so, `still` how long
/// nothing of its request has come. Nobody waits for one that has its error; a silent one that should have asked by now goes
/// before those that ask now and then; one whose request still comes goes last, and not while its client may be waiting.
fn rank(doing: Doing, lasted: Duration, still: Duration) -> Option<u8> {
    match doing {
        Doing::Refused => Some(0),
        Doing::Silent if lasted >= SILENT_PRESSED => Some(1),
        Doing::Half if still >= HALF_PRESSED => Some(2),
        Doing::Idle => Some(3),
        Doing::Silent => Some(4),
        Doing::Half if lasted >= SLOW_PRESSED => Some(5),
        Doing::Half | Doing::Busy | Doing::Leaving => None,
    }
}

impl Occupant {
    fn rank(&self, now: Instant) -> Option<(u8, Instant)> {
        rank(self.doing, now - self.since, now - self.last).map(|rank| (rank, self.since))
    }

    fn leave(&mut self) {
        self.doing = Doing::Leaving;
        self.give_way.notify_one();
    }
}

impl Places {
    pub fn new(limits: ClientLimits) -> Self {
        Places {
            most: limits.connections,
            most_idle: limits.idle,
            occupants: RefCell::default(),
            changed: Notify::new(),
            long: Semaphore::new(limits.long_requests),
        }
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.occupants.borrow().open.len()
    }

    /// Places for long requests.
    pub fn long(&self) -> &Semaphore {
        &self.long
    }

    pub fn enter(self: Rc<Self>) -> Place {
        let give_way = Rc::new(Notify::new());
        let number = {
            let mut occupants = self.occupants.borrow_mut();
            occupants.last += 1;
            let number = occupants.last;
            let now = Instant::now();
            let occupant =
                Occupant { doing: Doing::Silent, since: now, last: now, give_way: give_way.clone() };
            occupants.open.insert(number, occupant);
            number
        };
        Place { number, give_way, places: self }
    }

    /// Waits until a place is free, closing for it the connection that can best be spared.
    pub async fn make_room(&self) {
        while self.occupants.borrow().open.len() >= self.most {
            self.shed_one();
            // Those that may not be closed now may be so later.
            let _ = timeout(SILENT_PRESSED, self.changed.notified()).await;
        }
    }

    /// The longest idle one gives way where there are too many.
    fn bound_idle(&self) {
        let mut occupants = self.occupants.borrow_mut();
        let mut idle: Vec<_> = occupants.open.values_mut().filter(|o| o.doing == Doing::Idle).collect();
        if idle.len() > self.most_idle {
            if let Some(oldest) = idle.iter_mut().min_by_key(|occupant| occupant.since) {
                oldest.leave();
            }
        }
    }

    fn shed_one(&self) {
        let now = Instant::now();
        let mut occupants = self.occupants.borrow_mut();
        if occupants.open.values().any(|occupant| occupant.doing == Doing::Leaving) {
            return;
        }
        let ranked = occupants.open.values_mut().filter_map(|o| Some((o.rank(now)?, o)));
        if let Some((_, occupant)) = ranked.min_by_key(|(rank, _)| *rank) {
            occupant.leave();
        }
    }
}

/// The place of one connection, free again when dropped.
pub struct Place {
    number: u64,
    pub give_way: Rc<Notify>,
    pub places: Rc<Places>,
}

impl Place {
    /// More of its request has come.
    pub fn goes_on(&self) {
        if let Some(occupant) = self.places.occupants.borrow_mut().open.get_mut(&self.number) {
            occupant.last = Instant::now();
        }
    }

    pub fn set(&self, doing: Doing) {
        if let Some(occupant) = self.places.occupants.borrow_mut().open.get_mut(&self.number) {
            if occupant.doing == Doing::Leaving {
                // It stays after all: another one has to give way.
                self.places.changed.notify_one();
            }
            let now = Instant::now();
            (occupant.doing, occupant.since, occupant.last) = (doing, now, now);
        }
        if doing == Doing::Idle {
            self.places.bound_idle();
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.occupants.borrow_mut().open.remove(&self.number);
        self.places.changed.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_makes_progress_gives_way_last() {
        let ms = Duration::from_millis;
        let order = [
            (Doing::Refused, ms(1), ms(1)),
            (Doing::Silent, ms(300), ms(300)),
            (Doing::Half, ms(600), ms(500)),
            (Doing::Idle, ms(10), ms(10)),
            (Doing::Silent, ms(10), ms(10)),
            (Doing::Half, ms(3000), ms(50)),
        ];
        let ranks = order.map(|(doing, lasted, still)| rank(doing, lasted, still));
        assert!(ranks.windows(2).all(|pair| pair[0] < pair[1]), "{ranks:?}");
        for (doing, lasted, still) in [
            // Written in two seconds, and still coming.
            (Doing::Half, ms(2000), ms(300)),
            (Doing::Busy, ms(9000), ms(9000)),
            (Doing::Leaving, ms(9000), ms(9000)),
        ] {
            assert_eq!(rank(doing, lasted, still), None);
        }
    }
}
