use super::*;
use proptest::prelude::*;

const A: MemberId = MemberId(1);
const B: MemberId = MemberId(2);

fn run(life: u64) -> Run {
    Run { life: Life(life), ..Run::default() }
}

/// Two that have heard of each other.
fn met() -> (Order, Order) {
    let (mut a, mut b) = (Order::new(run(1)), Order::new(run(1)));
    let first = a.stamp(B);
    assert_eq!(b.hear(A, first), Heard::Elsewhere, "it may be a word to an earlier run");
    assert_eq!(a.hear(B, b.stamp(A)), Heard::InOrder);
    (a, b)
}

#[test]
fn what_comes_late_or_twice_is_not_listened_to_and_what_is_lost_is_not_waited_for() {
    let (mut a, mut b) = met();
    let [one, two, _lost, four] = [(); 4].map(|()| a.stamp(B));
    assert_eq!(b.hear(A, two), Heard::InOrder);
    assert_eq!((b.hear(A, one), b.hear(A, two)), (Heard::Late, Heard::Late));
    assert_eq!(b.hear(A, four), Heard::InOrder);
}

#[test]
fn words_to_and_from_an_earlier_run_are_of_no_use() {
    let (mut a, mut b) = met();
    let (old, to_old) = (a.stamp(B), b.stamp(A));
    let mut a = Order::new(Run { begun: 1, ..run(1) });
    assert_eq!(a.hear(B, to_old), Heard::Elsewhere);
    assert_eq!(b.hear(A, a.stamp(B)), Heard::InOrder, "it has heard of the run that it speaks to");
    assert_eq!(b.hear(A, old), Heard::Late);
    assert_eq!(a.hear(B, b.stamp(A)), Heard::InOrder);
    // The one that is heard begins anew in place.
    let word = a.stamp(B);
    b.begin_anew();
    assert_eq!(b.hear(A, word), Heard::Elsewhere);
    assert_eq!(a.hear(B, b.stamp(A)), Heard::InOrder);
    assert_eq!(b.hear(A, a.stamp(B)), Heard::InOrder);
}

proptest! {
    /// However words are mixed, those that are listened to come in the order in which they were said, each once.
    #[test]
    fn the_order_is_kept(picks in prop::collection::vec(any::<prop::sample::Index>(), 1..80)) {
        let (mut a, mut b) = met();
        let said: Vec<Stamp> = (0..20).map(|_| a.stamp(B)).collect();
        let heard: Vec<u64> = picks
            .iter()
            .map(|pick| said[pick.index(said.len())])
            .filter(|stamp| b.hear(A, *stamp) == Heard::InOrder)
            .map(|stamp| stamp.number)
            .collect();
        prop_assert!(heard.windows(2).all(|two| two[0] < two[1]));
    }
}
