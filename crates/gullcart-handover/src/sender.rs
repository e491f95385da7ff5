//! State machine of the old process in a hand-over. At any time exactly one process owns the state folder: the old one until it
//! has released the lock, then the new one. If the new process never serves, the old one takes the lock back.

/// What has happened in the hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverEvent {
    /// A new process has connected and sent its hello.
    Hello,
    /// The new process has received the whole state and can read it.
    Accepted,
    /// This process has released the lock.
    LockReleased,
    /// The new process accepts clients.
    Serving,
    /// The new process has ended, has sent something invalid, or has not answered in time.
    ReceiverFailed,
}

/// What the old process has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverAction {
    /// Stop between two turns of the engine, and send the whole state.
    SendState,
    /// Release the lock and tell the new process.
    ReleaseLock,
    /// Wait for the new process to serve.
    Wait,
    /// End: the new process owns the folder.
    Finish,
    /// Continue to serve, or resume if stopped; the lock of the folder was not released.
    Resume,
    /// Take the lock again and continue to serve. If another process holds the lock by now, that process owns the folder, and
    /// this one must not continue.
    RetakeLock,
    /// Reject the new process, or ignore an event that no longer matters; nothing changes.
    Reject,
}

/// The old process's state in a hand-over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HandoverSender {
    /// It runs as the courier; no hand-over is under way.
    #[default]
    Owner,
    /// It has stopped, and holds the lock.
    Stopped,
    /// It is about to release the lock.
    Releasing,
    /// It has released the lock, and can still resume with the state it had.
    Released,
    /// The new process runs as the courier.
    Finished,
}

impl HandoverSender {
    /// Handles an event and returns what to do.
    pub fn handle(&mut self, event: HandoverEvent) -> HandoverAction {
        use {HandoverAction as Action, HandoverEvent as Event, HandoverSender as Sender};
        let (next, action) = match (*self, event) {
            (Sender::Owner, Event::Hello) => (Sender::Stopped, Action::SendState),
            (Sender::Stopped, Event::Accepted) => (Sender::Releasing, Action::ReleaseLock),
            (Sender::Releasing, Event::LockReleased) => (Sender::Released, Action::Wait),
            (Sender::Released, Event::Serving) => (Sender::Finished, Action::Finish),
            (Sender::Released, Event::ReceiverFailed) => (Sender::Owner, Action::RetakeLock),
            // The new process owns the folder: events of its connection no longer matter, and further processes are rejected.
            (Sender::Finished, _) => (Sender::Finished, Action::Reject),
            // Only one hand-over at a time.
            (same, Event::Hello) => (same, Action::Reject),
            // The new process has failed, or an event came out of order, before the lock was released. An owner just continues.
            (Sender::Owner | Sender::Stopped | Sender::Releasing, _) => (Sender::Owner, Action::Resume),
            (Sender::Released, _) => (Sender::Owner, Action::RetakeLock),
        };
        *self = next;
        action
    }
}

#[cfg(test)]
mod tests;
