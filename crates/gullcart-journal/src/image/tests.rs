//! What is known of a message, attempt by attempt.

use super::*;
use bytes::Bytes;

/// An outcome that could not be written is known to nobody after a crash: the attempt may have run, and its window counts.
#[test]
fn an_attempt_of_which_no_outcome_is_written_may_have_run_when_the_next_begins() {
    let taken = Taken {
        id: "a".to_owned(),
        key: 0,
        class: "notice".to_owned(),
        destination: 1,
        idempotency_key: None,
        deadline_ms: 100,
        again: false,
        body: Bytes::new(),
    };
    let mut held = Held::new(taken);
    held.start((10, 1));
    held.start((20, 2));
    assert_eq!((held.maybe_ran, held.out), (Some((10, 1)), Some((20, 2))));
    held.outcome(false);
    assert_eq!(held.maybe_ran, Some((10, 1)));
}
