//! Where stand-ins write down what happens.

use gullcart_judge::trace::{At, Entry, Event};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

type EntrySink = dyn FnMut(Entry);

/// The clock of a rehearsal, and who hears what happens. Copies share both.
#[derive(Clone)]
pub struct Recorder {
    started_at: Rc<Cell<Option<Instant>>>,
    sink: Rc<RefCell<EntrySink>>,
}

impl Recorder {
    /// A clock that stands at 0 until [`Recorder::begin`]. `sink` gets every entry in the order of time; it must not record itself.
    pub fn new(sink: impl FnMut(Entry) + 'static) -> Self {
        Recorder { started_at: Rc::default(), sink: Rc::new(RefCell::new(sink)) }
    }

    /// Time since the beginning.
    pub fn now(&self) -> At {
        let started_at = self.started_at.get();
        At(started_at
            .map_or(0, |started_at| Instant::now().saturating_duration_since(started_at).as_micros() as u64))
    }

    /// Starts the clock at some moment, which may be still to come.
    pub fn begin(&self, at: Instant) {
        self.started_at.set(Some(at));
    }

    /// The moment of a time.
    pub fn instant(&self, at: At) -> Instant {
        self.started_at.get().unwrap_or_else(Instant::now) + Duration::from_micros(at.0)
    }

    /// Writes down what happens now.
    pub fn record(&self, event: Event) -> At {
        let at = self.now();
        self.record_at(at, event);
        at
    }

    /// Writes down what happened a moment ago: what an answer tells holds from when it was written, not from when the
    /// kit came round to note it.
    pub fn record_at(&self, at: At, event: Event) {
        (self.sink.borrow_mut())(Entry { at, event });
    }
}
