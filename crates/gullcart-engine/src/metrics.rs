//! Counters of messages and calls since the process started.

/// Counters of one class. Each accepted message is counted once, when it ends; `rejected` and `invalid` count requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Messages that were delivered.
    pub served: u64,
    /// Enqueue requests that were answered with [`crate::Answer::Busy`].
    pub rejected: u64,
    /// Messages that were returned to their client, as no attempt can have run.
    pub returned: u64,
    /// Messages that were reported as failed.
    pub failed: u64,
    /// Enqueue requests that were answered with [`crate::Answer::Error`].
    pub invalid: u64,
}

/// Counters since the process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// One entry for each class, in the order of the settings, and a last one for messages of classes that are no longer in
    /// the settings.
    pub classes: Vec<ClassCounts>,
    /// Messages that this process accepted.
    pub accepted: u64,
    /// Messages without a verdict that this process found in the journal or took over from the process before.
    pub recovered: u64,
    /// Accepted messages that were dropped because no client waits for them, as it never got the answer that they were accepted.
    pub abandoned: u64,
    /// Calls that were started.
    pub calls_started: u64,
    /// Calls whose last byte was written.
    pub calls_written: u64,
}

impl MessageCounts {
    /// Counters at zero for this number of classes.
    pub fn new(classes: usize) -> Self {
        MessageCounts { classes: vec![ClassCounts::default(); classes + 1], ..MessageCounts::default() }
    }

    /// The counters of a class by its index; the last ones for an unknown class.
    pub fn class_mut(&mut self, class: Option<usize>) -> &mut ClassCounts {
        let last = self.classes.len() - 1;
        &mut self.classes[class.map_or(last, |class| class.min(last))]
    }

    /// Sum over all classes.
    pub fn total(&self) -> ClassCounts {
        self.classes.iter().fold(ClassCounts::default(), |sum, class| ClassCounts {
            served: sum.served + class.served,
            rejected: sum.rejected + class.rejected,
            returned: sum.returned + class.returned,
            failed: sum.failed + class.failed,
            invalid: sum.invalid + class.invalid,
        })
    }

    /// Messages that have not ended, according to the counters. Equals the number of messages held without a verdict if each
    /// message ended exactly once.
    pub fn unfinished(&self) -> u64 {
        let ClassCounts { served, returned, failed, .. } = self.total();
        (self.accepted + self.recovered).saturating_sub(served + returned + failed + self.abandoned)
    }
}

/// The metrics that the console shows to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineMetrics {
    /// The name of each class and how its messages ended.
    pub classes: Vec<(String, ClassCounts)>,
    /// Calls whose last byte was written, which the console shows as `attempts`.
    pub calls_written: u64,
    /// Accepted messages that are neither delivered nor have a verdict, which the console shows as `in_flight`.
    pub messages_pending: usize,
    /// Endpoints in the list.
    pub endpoints_known: usize,
    /// Listed endpoints that get no new work at the moment, because an operator suspended them or the courier avoids them.
    pub endpoints_excluded: usize,
}
