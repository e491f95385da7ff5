use super::*;
use proptest::prelude::*;

const A: MemberId = MemberId(1);
const B: MemberId = MemberId(2);

fn run(incarnation: u64) -> RunId {
    RunId { incarnation: Incarnation(incarnation), ..RunId::default() }
}

/// Two voters that know each other's runs.
fn connected_pair() -> (MessageOrder, MessageOrder) {
    let (mut a, mut b) = (MessageOrder::new(run(1)), MessageOrder::new(run(1)));
    let first = a.stamp(B);
    assert_eq!(b.receive(A, first), Reception::WrongRun, "it may be addressed to an earlier run");
    assert_eq!(a.receive(B, b.stamp(A)), Reception::InOrder);
    (a, b)
}

#[test]
fn late_and_duplicate_messages_are_dropped_and_lost_ones_are_skipped() {
    let (mut a, mut b) = connected_pair();
    let [one, two, _lost, four] = [(); 4].map(|()| a.stamp(B));
    assert_eq!(b.receive(A, two), Reception::InOrder);
    assert_eq!((b.receive(A, one), b.receive(A, two)), (Reception::Late, Reception::Late));
    assert_eq!(b.receive(A, four), Reception::InOrder);
}

#[test]
fn messages_to_and_from_an_earlier_run_are_dropped() {
    let (mut a, mut b) = connected_pair();
    let (from_old, to_old) = (a.stamp(B), b.stamp(A));
    let mut a = MessageOrder::new(RunId { previous_runs: 1, ..run(1) });
    assert_eq!(a.receive(B, to_old), Reception::WrongRun);
    assert_eq!(b.receive(A, a.stamp(B)), Reception::InOrder, "it knows the run that it addresses");
    assert_eq!(b.receive(A, from_old), Reception::Late);
    assert_eq!(a.receive(B, b.stamp(A)), Reception::InOrder);
    // The receiver starts a new run in the same process.
    let stamp = a.stamp(B);
    b.begin_run();
    assert_eq!(b.receive(A, stamp), Reception::WrongRun);
    assert_eq!(a.receive(B, b.stamp(A)), Reception::InOrder);
    assert_eq!(b.receive(A, a.stamp(B)), Reception::InOrder);
}

proptest! {
    /// However messages are reordered and duplicated, each is processed at most once and in the order of sending.
    #[test]
    fn the_order_is_kept(picks in prop::collection::vec(any::<prop::sample::Index>(), 1..80)) {
        let (mut a, mut b) = connected_pair();
        let sent: Vec<MessageStamp> = (0..20).map(|_| a.stamp(B)).collect();
        let received: Vec<u64> = picks
            .iter()
            .map(|pick| sent[pick.index(sent.len())])
            .filter(|stamp| b.receive(A, *stamp) == Reception::InOrder)
            .map(|stamp| stamp.number)
            .collect();
        prop_assert!(received.windows(2).all(|two| two[0] < two[1]));
    }
}
