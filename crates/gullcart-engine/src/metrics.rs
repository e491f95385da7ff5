//! What became of messages, counted once each, since this process began.

/// How messages of a class ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Delivered.
    pub served: u64,
    /// Refused when they were handed in.
    pub rejected: u64,
    /// Taken, and handed back.
    pub returned: u64,
    /// Taken, and given up.
    pub failed: u64,
    /// Answered with an error when they were handed in.
    pub invalid: u64,
}

/// Counts since this process began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// By class, in the order of the settings; one more for messages of classes that these do not hold any more.
    pub classes: Vec<ClassCounts>,
    /// Messages taken by this process.
    pub accepted: u64,
    /// Messages that were held when it began.
    pub recovered: u64,
    /// Messages taken that nobody wants any more: withdrawn, or never heard to be taken.
    pub abandoned: u64,
    /// Calls begun.
    pub calls_started: u64,
    /// Calls of which the last byte was written.
    pub calls_written: u64,
}

impl MessageCounts {
    /// Nothing yet, for so many classes.
    pub fn new(classes: usize) -> Self {
        MessageCounts { classes: vec![ClassCounts::default(); classes + 1], ..MessageCounts::default() }
    }

    /// The ends of a class, or of those that are not known.
    pub fn class_mut(&mut self, class: Option<usize>) -> &mut ClassCounts {
        let last = self.classes.len() - 1;
        &mut self.classes[class.map_or(last, |class| class.min(last))]
    }

    /// All classes together.
    pub fn total(&self) -> ClassCounts {
        self.classes.iter().fold(ClassCounts::default(), |sum, ends| ClassCounts {
            served: sum.served + ends.served,
            rejected: sum.rejected + ends.rejected,
            returned: sum.returned + ends.returned,
            failed: sum.failed + ends.failed,
            invalid: sum.invalid + ends.invalid,
        })
    }

    /// Messages that must be held still, if each of them ended once.
    pub fn unfinished(&self) -> u64 {
        let ClassCounts { served, returned, failed, .. } = self.total();
        (self.accepted + self.recovered).saturating_sub(served + returned + failed + self.abandoned)
    }
}

/// What an operator is told of a courier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineMetrics {
    /// Each class by its name, and how its messages ended.
    pub classes: Vec<(String, ClassCounts)>,
    /// Calls of which the last byte was written.
    pub attempts: u64,
    /// Messages taken that have no end yet.
    pub in_flight: usize,
    /// Endpoints in the list.
    pub endpoints_known: usize,
    /// Those of them that are avoided now, by hand or by choice.
    pub endpoints_excluded: usize,
}
