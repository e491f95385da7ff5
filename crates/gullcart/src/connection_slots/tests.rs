//! The order in which connections are closed when slots run short.

use super::*;

#[test]
fn connections_that_make_progress_are_closed_last() {
    let ms = Duration::from_millis;
    let order = [
        (ConnectionState::Draining, ms(150), ms(150)),
        (ConnectionState::New, ms(300), ms(300)),
        (ConnectionState::PartialRequest, ms(600), ms(500)),
        (ConnectionState::Idle, ms(10), ms(10)),
        (ConnectionState::New, ms(10), ms(10)),
        (ConnectionState::PartialRequest, ms(3000), ms(50)),
    ];
    let ranks =
        order.map(|(state, state_age, since_progress)| eviction_rank(state, state_age, since_progress));
    assert!(ranks.windows(2).all(|pair| pair[0] < pair[1]), "{ranks:?}");
    for (state, state_age, since_progress) in [
        // Started two seconds ago, and still arriving.
        (ConnectionState::PartialRequest, ms(2000), ms(300)),
        (ConnectionState::Busy, ms(9000), ms(9000)),
        (ConnectionState::Closing, ms(9000), ms(9000)),
        // Its client has not had time to notice the shutdown.
        (ConnectionState::Draining, ms(10), ms(10)),
    ] {
        assert_eq!(eviction_rank(state, state_age, since_progress), None);
    }
}
