//! Epochs, revisions, positions, and the lineage that says which positions belong to one history.

use serde::{Deserialize, Serialize};

use crate::limits::MAX_LINEAGE;

/// The number of a writer's term. A source takes changes of its latest epoch only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// The number of a change. It grows by one with each change of a source, over all scopes and epochs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// A point of a source's history; ordered by epoch, then revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Epoch of the writer.
    pub epoch: Epoch,
    /// Revision of the last change that is included.
    pub revision: Revision,
}

impl Position {
    /// The point before every change, where the state is empty.
    pub const ORIGIN: Position = Position { epoch: Epoch(0), revision: Revision(0) };

    /// The position of `revision` in `epoch`.
    pub const fn new(epoch: u64, revision: u64) -> Self {
        Self { epoch: Epoch(epoch), revision: Revision(revision) }
    }
}

/// Where an epoch began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochStart {
    /// The epoch.
    pub epoch: Epoch,
    /// The last revision of the history that the epoch's writer took over.
    pub inherited: Revision,
}

/// The latest epochs of a history and where each began, oldest first; at most [`MAX_LINEAGE`] of them.
///
/// A writer that takes over may not have all that its predecessor numbered. A subscriber that has seen more than was
/// inherited stands outside the history and needs a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lineage {
    starts: Vec<EpochStart>,
}

impl Lineage {
    /// Notes that `epoch` began after `inherited`. Returns false, and changes nothing, unless `epoch` is later than all
    /// noted ones.
    pub fn begin(&mut self, epoch: Epoch, inherited: Revision) -> bool {
        if self.starts.last().is_some_and(|last| last.epoch >= epoch) {
            return false;
        }
        if self.starts.len() == MAX_LINEAGE {
            self.starts.remove(0);
        }
        self.starts.push(EpochStart { epoch, inherited });
        true
    }

    /// Whether the history with this lineage went through `position`.
    pub fn contains(&self, position: Position) -> bool {
        let Some(index) = self.starts.iter().position(|start| start.epoch == position.epoch) else {
            return false;
        };
        let after_start = position.revision >= self.starts[index].inherited;
        let before_next = self.starts.get(index + 1).is_none_or(|next| position.revision <= next.inherited);
        after_start && before_next
    }

    /// Whether the starts are in order and no more than are kept; a check for what comes from outside.
    pub fn is_well_formed(&self) -> bool {
        let in_order = self.starts.windows(2).all(|pair| pair[0].epoch < pair[1].epoch);
        in_order && self.starts.len() <= MAX_LINEAGE
    }

    /// The latest epoch.
    pub fn latest(&self) -> Option<Epoch> {
        self.starts.last().map(|start| start.epoch)
    }
}
