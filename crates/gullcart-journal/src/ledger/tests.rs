//! What is live, segment by segment.

use super::*;

#[test]
fn what_is_live_follows_the_last_place_of_each_message() {
    let mut ledger = Ledger::default();
    ledger.open(4);
    ledger.settle(1, 4, 100);
    ledger.settle(2, 4, 50);
    ledger.open(5);
    ledger.settle(3, 5, 10);
    assert_eq!((ledger.live(4), ledger.live(5)), (150, 10));
    ledger.settle(1, 5, 120);
    assert_eq!((ledger.live(4), ledger.live(5)), (50, 130));
    let mut place = 0;
    assert_eq!(ledger.next(4, &mut place), Next::Message(2));
    assert_eq!(ledger.next(4, &mut place), Next::End);
    ledger.forget(2);
    ledger.forget(2);
    assert_eq!(ledger.live(4), 0);
    ledger.free();
    assert_eq!((ledger.live(4), ledger.live(5)), (0, 130));
    let mut place = 0;
    assert_eq!(ledger.next(5, &mut place), Next::Message(3));
    assert_eq!(ledger.next(5, &mut place), Next::Message(1));
}
