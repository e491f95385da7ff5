//! Where stand-ins write down what happens.

use gullcart_judge::trace::{Entry, Event, Timestamp};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

type Hear = dyn FnMut(Entry);

/// The clock of a rehearsal, and who hears what happens. Copies share both.
#[derive(Clone)]
pub struct Recorder {
    begun: Rc<Cell<Option<Instant>>>,
    hear: Rc<RefCell<Hear>>,
}

impl Recorder {
    /// A clock that stands at 0 until [`Recorder::begin`]. `hear` gets every entry in the order of time; it must not record itself.
    pub fn new(hear: impl FnMut(Entry) + 'static) -> Self {
        Recorder { begun: Rc::default(), hear: Rc::new(RefCell::new(hear)) }
    }

    /// Time since the beginning.
    pub fn now(&self) -> Timestamp {
        let begun = self.begun.get();
        Timestamp(begun.map_or(0, |begun| Instant::now().saturating_duration_since(begun).as_micros() as u64))
    }

    /// Starts the clock at some moment, which may be still to come.
    pub fn begin(&self, at: Instant) {
        self.begun.set(Some(at));
    }

    /// The moment of a time.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.begun.get().unwrap_or_else(Instant::now) + Duration::from_micros(at.0)
    }

    /// Writes down what happens now.
    pub fn note(&self, event: Event) -> Timestamp {
        let at = self.now();
        self.note_at(at, event);
        at
    }

    /// Writes down what happened a moment ago: what an answer tells holds from when it was written, not from when the
    /// kit came round to note it.
    pub fn note_at(&self, at: Timestamp, event: Event) {
        (self.hear.borrow_mut())(Entry { at, event });
    }
}
