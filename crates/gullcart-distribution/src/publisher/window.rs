//! What is on its way to a subscriber: bytes for flow control, and changes that are not in force yet.

use std::collections::VecDeque;

use crate::limits::{MAX_UNSETTLED_FRAMES, WINDOW_BYTES, WINDOW_FRAMES};
use crate::message::Sequence;
use crate::position::Position;

/// Frames that were sent and not acknowledged.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    frames: VecDeque<(Sequence, usize)>,
    bytes: usize,
}

impl Window {
    /// Whether another frame may be sent.
    pub fn has_room(&self) -> bool {
        self.bytes < WINDOW_BYTES && self.frames.len() < WINDOW_FRAMES
    }

    /// Notes a frame that is sent.
    pub fn push(&mut self, sequence: Sequence, bytes: usize) {
        self.frames.push_back((sequence, bytes));
        self.bytes += bytes;
    }

    /// Frames up to this one were taken in.
    pub fn acknowledge(&mut self, received: Sequence) {
        while let Some((sequence, bytes)) = self.frames.front().copied() {
            if sequence > received {
                return;
            }
            self.bytes -= bytes;
            self.frames.pop_front();
        }
    }

    /// Bytes on the way.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Up to where changes are in force at a subscriber, by what it has acknowledged.
#[derive(Clone, Debug)]
pub(super) struct Settlement {
    settled: Position,
    /// Ends of frames with changes that are not in force yet.
    unsettled: VecDeque<Position>,
}

impl Settlement {
    /// Everything up to `position` is in force.
    pub fn new(position: Position) -> Self {
        Self { settled: position, unsettled: VecDeque::new() }
    }

    /// Whether nothing that was sent is waited for.
    pub fn is_settled(&self) -> bool {
        self.unsettled.is_empty()
    }

    /// Up to where it is in force.
    pub fn position(&self) -> Position {
        self.settled
    }

    /// Nothing that concerns the subscriber has happened up to `position`.
    pub fn pass(&mut self, position: Position) {
        self.settled = self.settled.max(position);
    }

    /// Notes a frame that ends at `upto`. If too many wait, the last two count as one.
    pub fn push(&mut self, upto: Position) {
        if self.unsettled.len() >= MAX_UNSETTLED_FRAMES {
            self.unsettled.pop_back();
        }
        self.unsettled.push_back(upto);
    }

    /// The subscriber says that changes up to `in_force` are in force.
    pub fn acknowledge(&mut self, in_force: Position) {
        while self.unsettled.front().is_some_and(|upto| *upto <= in_force) {
            if let Some(upto) = self.unsettled.pop_front() {
                self.settled = self.settled.max(upto);
            }
        }
    }
}
