//! Conversion to Unix time and back.

use super::*;

#[test]
fn moments_before_and_after_the_start_convert_back_and_forth() {
    let clock = Clock::new(1_790_000_000_000);
    for ms in [1_790_000_000_000, 1_790_000_000_001, 1_789_999_999_000, 1_790_086_400_000] {
        assert_eq!(clock.to_unix_ms(clock.from_unix_ms(ms)), ms);
    }
    // A moment too early to be represented becomes the earliest one.
    assert_eq!(clock.from_unix_ms(0), Time(0));
}
