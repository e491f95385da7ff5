//! Checks that tests take out one by one, to see that each is needed. Without the feature `unguarded` all are in place.

/// The checks that are in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A subscriber acts only under a lease.
    pub lease_check: bool,
    /// A lease begins when its renewal was sent, not when the answer came.
    pub lease_from_sending: bool,
    /// A relay hands on no more of a lease than is left of its own.
    pub lease_delegation: bool,
    /// A relay reckons with the leases of subscribers that have gone.
    pub lease_of_the_gone: bool,
    /// A source takes no change of an earlier epoch, and a subscriber none of an earlier source.
    pub epoch_fence: bool,
    /// A subscriber takes no frame that does not follow on the one before.
    pub gap_check: bool,
    /// A subscriber compares digests and has repaired what differs.
    pub digest_check: bool,
    /// Frames that belong together are applied together.
    pub atomic_apply: bool,
    /// No more is sent to a subscriber than its window takes.
    pub window: bool,
    /// Snapshots begin at a stated rate.
    pub admission: bool,
}

impl Guards {
    /// All checks.
    pub const ALL: Guards = Guards {
        lease_check: true,
        lease_from_sending: true,
        lease_delegation: true,
        lease_of_the_gone: true,
        epoch_fence: true,
        gap_check: true,
        digest_check: true,
        atomic_apply: true,
        window: true,
        admission: true,
    };
}
