//! The places of clients' connections, and who gives way when they are short. No socket: a connection says what it does.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{timeout, Instant};

/// While places are short, a part of a request is given up once nothing of it came for as long as its client would wait for
/// an answer, a silent connection goes before the idle ones once its first request is not to be expected any more, ...
const HALF_PRESSED: Duration = Duration::from_millis(400);
const SILENT_PRESSED: Duration = Duration::from_millis(250);
/// ... and one whose request comes slowly goes last, once it has come for so long.
const SLOW_PRESSED: Duration = Duration::from_millis(2500);
/// A connection that is shut keeps its place for so long at least: its client closes as soon as it hears of it.
const PARTING_PRESSED: Duration = Duration::from_millis(20);
/// Places kept free, as a part of all of them, so that who comes next waits for no client that parts; one at least.
const SPARE_PART: usize = 8;

/// What clients may hold.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Connections that are open.
    pub connections: usize,
    /// Connections between two requests. Clients hold only so many themselves: those that ask once and stay would
    /// leave them none to ask on.
    pub idle: usize,
    /// Requests longer than a few KiB that are read at a time.
    pub long_requests: usize,
}

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
    /// Its sending side is shut; what its client still sends is thrown away until that one closes too.
    Parting,
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
/// nothing of its request has come. Nobody waits for one that is shut; a silent one that should have asked by now goes
/// before those that ask now and then; one whose request still comes goes last, and not while its client may be waiting.
fn rank(doing: Doing, lasted: Duration, still: Duration) -> Option<u8> {
    match doing {
        Doing::Parting if lasted >= PARTING_PRESSED => Some(0),
        Doing::Silent if lasted >= SILENT_PRESSED => Some(1),
        Doing::Half if still >= HALF_PRESSED => Some(2),
        Doing::Idle => Some(3),
        Doing::Silent => Some(4),
        Doing::Half if lasted >= SLOW_PRESSED => Some(5),
        Doing::Half | Doing::Busy | Doing::Leaving | Doing::Parting => None,
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

    /// Those that are not shut yet.
    pub fn in_use(&self) -> usize {
        self.occupants.borrow().open.values().filter(|occupant| occupant.doing != Doing::Parting).count()
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

    /// Waits until a place is free. Some are kept free beyond it, by closing those connections that can best be spared; no
    /// more than that, whatever the others take to go.
    pub async fn make_room(&self) {
        let spare = (self.most / SPARE_PART).max(1);
        loop {
            while self.staying() + spare > self.most && self.shed_one() {}
            if self.open() < self.most {
                return;
            }
            self.close_parting();
            // Those that may not be closed now may be so later.
            let _ = timeout(PARTING_PRESSED, self.changed.notified()).await;
        }
    }

    /// Those that nobody has told to go.
    fn staying(&self) -> usize {
        let goes = |doing: Doing| matches!(doing, Doing::Parting | Doing::Leaving);
        self.occupants.borrow().open.values().filter(|occupant| !goes(occupant.doing)).count()
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

    /// Tells the one that can best be spared to go; whether there is one.
    fn shed_one(&self) -> bool {
        let now = Instant::now();
        let mut occupants = self.occupants.borrow_mut();
        let stay = occupants.open.values_mut().filter(|o| o.doing != Doing::Parting);
        let ranked = stay.filter_map(|o| Some((o.rank(now)?, o)));
        let first = ranked.min_by_key(|(rank, _)| *rank);
        first.map(|(_, occupant)| occupant.leave()).is_some()
    }

    /// Closes those that are shut and had the time to close themselves.
    fn close_parting(&self) {
        let now = Instant::now();
        let mut occupants = self.occupants.borrow_mut();
        let shut = occupants.open.values_mut().filter(|o| o.doing == Doing::Parting);
        shut.filter(|o| o.rank(now).is_some()).for_each(Occupant::leave);
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
mod tests;
