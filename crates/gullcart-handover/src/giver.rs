//! What the old process does at each step. Whatever fails, there is one owner of the folder: this process until it has given
//! up the lock, then the new one; and this one again if that never serves.

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new process says hello.
    Hello,
    /// The new process has all of it and can read it.
    Accepted,
    /// The lock has been given up.
    Released,
    /// The new process takes clients.
    Serving,
    /// The new process is gone, says what it may not, or is silent for too long.
    Gone,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Stop between two turns, and send all of it.
    Send,
    /// Give up the lock and say so.
    Release,
    /// Wait for the new process.
    Wait,
    /// Nothing is held here any more: end when told to.
    Finish,
    /// Go on as before; the folder's lock is still held.
    GoOn,
    /// Take the lock again, and go on as before. Where somebody else has it by now, that is the owner, and this
    /// process holds nothing any more.
    TakeLock,
    /// Not now: say no and go on.
    Deny,
}

/// The old process's side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Giver {
    /// It is the courier.
    #[default]
    Owner,
    /// It has stopped, and holds the lock.
    Stopped,
    /// It is about to give up the lock.
    Releasing,
    /// It has given up the lock, and still has all it was.
    Released,
    /// The other one is the courier.
    Past,
}

impl Giver {
    /// One step.
    pub fn on(&mut self, event: Event) -> Act {
        let (next, act) = match (*self, event) {
            (Giver::Owner, Event::Hello) => (Giver::Stopped, Act::Send),
            (Giver::Stopped, Event::Accepted) => (Giver::Releasing, Act::Release),
            (Giver::Releasing, Event::Released) => (Giver::Released, Act::Wait),
            (Giver::Released, Event::Serving) => (Giver::Past, Act::Finish),
            (Giver::Released, Event::Gone) => (Giver::Owner, Act::TakeLock),
            (Giver::Past, _) => (Giver::Past, Act::Deny),
            // One at a time.
            (same, Event::Hello) => (same, Act::Deny),
            // Gone, or something was said out of turn: nothing was given away yet.
            (Giver::Owner | Giver::Stopped | Giver::Releasing, _) => (Giver::Owner, Act::GoOn),
            (Giver::Released, _) => (Giver::Owner, Act::TakeLock),
        };
        *self = next;
        act
    }
}

#[cfg(test)]
mod tests;
