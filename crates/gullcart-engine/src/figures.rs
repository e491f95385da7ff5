//! What became of messages, counted once each, since this process began.

/// How messages of a class ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// Delivered.
    pub served: u64,
    /// Refused when they were handed in.
    pub turned_away: u64,
    /// Taken, and handed back.
    pub handed_back: u64,
    /// Taken, and given up.
    pub failed: u64,
    /// Answered with an error when they were handed in.
    pub unfit: u64,
}

/// Counts since this process began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// By class, in the order of the settings; one more for messages of classes that these do not hold any more.
    pub classes: Vec<Ends>,
    /// Messages taken by this process.
    pub taken: u64,
    /// Messages that were held when it began.
    pub found: u64,
    /// Messages taken that nobody wants any more: withdrawn, or never heard to be taken.
    pub abandoned: u64,
    /// Calls begun.
    pub calls: u64,
    /// Calls of which the last byte was written.
    pub attempts: u64,
}

impl Counts {
    /// Nothing yet, for so many classes.
    pub fn new(classes: usize) -> Self {
        Counts { classes: vec![Ends::default(); classes + 1], ..Counts::default() }
    }

    /// The ends of a class, or of those that are not known.
    pub fn of(&mut self, class: Option<usize>) -> &mut Ends {
        let last = self.classes.len() - 1;
        &mut self.classes[class.map_or(last, |class| class.min(last))]
    }

    /// All classes together.
    pub fn sum(&self) -> Ends {
        self.classes.iter().fold(Ends::default(), |sum, ends| Ends {
            served: sum.served + ends.served,
            turned_away: sum.turned_away + ends.turned_away,
            handed_back: sum.handed_back + ends.handed_back,
            failed: sum.failed + ends.failed,
            unfit: sum.unfit + ends.unfit,
        })
    }

    /// Messages that must be held still, if each of them ended once.
    pub fn left(&self) -> u64 {
        let Ends { served, handed_back, failed, .. } = self.sum();
        (self.taken + self.found).saturating_sub(served + handed_back + failed + self.abandoned)
    }
}

/// What an operator is told of a courier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Each class by its name, and how its messages ended.
    pub classes: Vec<(String, Ends)>,
    /// Calls of which the last byte was written.
    pub attempts: u64,
    /// Messages taken that have no end yet.
    pub in_flight: usize,
    /// Endpoints in the list.
    pub endpoints_known: usize,
    /// Those of them that are avoided now, by hand or by choice.
    pub endpoints_excluded: usize,
}
