//! Where stand-ins write down what happens.

use gullcart_judge::trace::{At, Entry, Event};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

type Hear = dyn FnMut(Entry);

/// The clock of a rehearsal, and who hears what happens. Copies share both.
#[derive(Clone)]
pub struct Recorder {
    begun: Instant,
    hear: Rc<RefCell<Hear>>,
}

impl Recorder {
    /// A clock that starts now. `hear` gets every entry in the order of time; it must not record itself.
    pub fn new(hear: impl FnMut(Entry) + 'static) -> Self {
        Recorder { begun: Instant::now(), hear: Rc::new(RefCell::new(hear)) }
    }

    /// Time since the beginning.
    pub fn now(&self) -> At {
        At(self.begun.elapsed().as_micros() as u64)
    }

    /// The moment of a time.
    pub fn instant(&self, at: At) -> Instant {
        self.begun + Duration::from_micros(at.0)
    }

    /// Writes down what happens now.
    pub fn note(&self, event: Event) -> At {
        let at = self.now();
        (self.hear.borrow_mut())(Entry { at, event });
        at
    }
}
