//! Between the time of the module and wall time.

use super::*;

#[test]
fn times_before_and_after_the_start_come_back() {
    let clock = Clock::new(1_790_000_000_000);
    for ms in [1_790_000_000_000, 1_790_000_000_001, 1_789_999_999_000, 1_790_086_400_000] {
        assert_eq!(clock.to_unix_ms(clock.from_unix_ms(ms)), ms);
    }
    // Longer ago than the module can tell is as long ago as it can.
    assert_eq!(clock.from_unix_ms(0), Time(0));
}
