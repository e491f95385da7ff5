//! The limit on the pause of a hand-over.

use super::*;

/// Notices are 300 ms late at most. With some thousands of messages, 50 ms are left to take the courier up again.
#[test]
fn a_pause_with_few_messages_leaves_time_for_notices() {
    const LATEST_NOTICE: Duration = Duration::from_millis(300);
    assert!(pause_limit(2_500) + Duration::from_millis(50) <= LATEST_NOTICE);
}

/// A courier with a long backlog can be handed over too, within a limit.
#[test]
fn the_limit_grows_with_the_messages_held_and_has_a_maximum() {
    assert_eq!(pause_limit(100_000), Duration::from_millis(2_200));
    assert_eq!(pause_limit(usize::MAX), Duration::from_secs(4));
}
