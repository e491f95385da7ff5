//! The clock of a rehearsal, and the record of its events.

use gullcart_judge::trace::{Entry, Event, Timestamp};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Receives the entries of the trace.
type EntrySink = dyn FnMut(Entry);

/// Stamps events with the time of the rehearsal and passes them on. Clones share the clock and the sink.
#[derive(Clone)]
pub struct Recorder {
    started_at: Rc<Cell<Option<Instant>>>,
    sink: Rc<RefCell<EntrySink>>,
}

impl Recorder {
    /// The clock stays at 0 until [`Recorder::begin`]. `sink` receives every entry in the order of recording; it must not
    /// record events itself.
    pub fn new(sink: impl FnMut(Entry) + 'static) -> Self {
        Recorder { started_at: Rc::default(), sink: Rc::new(RefCell::new(sink)) }
    }

    /// Time since the beginning of the rehearsal.
    pub fn now(&self) -> Timestamp {
        let started_at = self.started_at.get();
        Timestamp(
            started_at.map_or(0, |started_at| {
                Instant::now().saturating_duration_since(started_at).as_micros() as u64
            }),
        )
    }

    /// Starts the clock at this moment, which may be in the future; the time is 0 until then.
    pub fn begin(&self, at: Instant) {
        self.started_at.set(Some(at));
    }

    /// Converts a time of the rehearsal to a moment of the runtime. Before [`Recorder::begin`], time 0 is the current moment.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.started_at.get().unwrap_or_else(Instant::now) + Duration::from_micros(at.0)
    }

    /// Records an event that happens now, and returns the time.
    pub fn record(&self, event: Event) -> Timestamp {
        let at = self.now();
        self.record_at(at, event);
        at
    }

    /// Records an event with the time `at`, which is a moment ago. An answer is recorded after its write returns, with the time
    /// before the write, because the other side may have read it in between.
    pub fn record_at(&self, at: Timestamp, event: Event) {
        (self.sink.borrow_mut())(Entry { at, event });
    }
}
