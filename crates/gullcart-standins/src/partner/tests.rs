use super::*;

fn spec(limit: Limit) -> Spec {
    Spec {
        limit,
        spare: 1.5,
        pace: Duration::from_millis(100),
        queue: 2,
        tells_wait: 1.0,
        wait: Duration::from_millis(300),
        refused_count: false,
        cold_from: 0.2,
        cold: Duration::from_secs(10),
        fall_multiple: 2.5,
        fall_window: Duration::from_secs(2),
        errors: 0.0,
    }
}

#[test]
fn a_plain_rate_takes_no_more_in_the_long_run() {
    let mut partner = Partner::new(spec(Limit::Rate(20.0)), 2, 1);
    let taken = (0..10_000).filter(|ms| {
        let at = Timestamp::from_millis(*ms);
        matches!(partner.call((*ms % 2) as usize, at), Fate::Done(_))
    });
    let taken = taken.count();
    assert!((190..=206).contains(&taken), "{taken}");
}

#[test]
fn a_count_is_full_until_its_span_ends_and_tells_so() {
    let span = Duration::from_secs(1);
    let mut partner = Partner::new(spec(Limit::Count { calls: 3, span }), 3, 1);
    for call in 0..3 {
        assert!(matches!(partner.call(call, Timestamp::from_millis(100)), Fate::Done(_)));
    }
    assert_eq!(partner.call(0, Timestamp::from_millis(400)), Fate::Refused(Some(Duration::from_millis(600))));
    assert!(matches!(partner.call(0, Timestamp::from_millis(1001)), Fate::Done(_)));
}

#[test]
fn refused_calls_use_up_the_limit_where_they_count() {
    let first_room = |refused_count| {
        let mut partner = Partner::new(Spec { refused_count, ..spec(Limit::Rate(10.0)) }, 1, 1);
        for _ in 0..5 {
            let _ = partner.call(0, Timestamp(0));
        }
        (1..2000).find(|ms| partner.above_limit(Timestamp::from_millis(*ms)).is_none())
    };
    // Asking each millisecond keeps it empty for ever where that counts.
    assert!(first_room(false).is_some());
    assert_eq!(first_room(true), None);
}

#[test]
fn a_full_queue_turns_calls_away() {
    let mut partner = Partner::new(spec(Limit::Count { calls: 100, span: Duration::from_secs(60) }), 1, 1);
    // 100 calls in 60 s need one server.
    let fates: Vec<Fate> = (0..4).map(|_| partner.call(0, Timestamp(0))).collect();
    assert!(matches!(fates[..3], [Fate::Done(_), Fate::Done(_), Fate::Done(_)]), "{fates:?}");
    assert_eq!(fates[3], Fate::Refused(None));
}

#[test]
fn a_cold_partner_that_is_pushed_falls_and_stays_down() {
    let mut partner = Partner::new(spec(Limit::Rate(100.0)), 1, 1);
    partner.come_back(Timestamp::from_millis(1000));
    // 2.5 x 20 % x 150/s x 2 s = 150 calls, and a little for chance.
    let last = (0..400).find(|call| {
        let _ = partner.call(0, Timestamp::from_millis(1000 + call));
        partner.is_fallen()
    });
    assert!(last.is_some_and(|call| (150..185).contains(&call)), "{last:?}");
    assert_eq!(partner.call(0, Timestamp::from_millis(60_000)), Fate::Silent);
    let mut spared = Partner::new(spec(Limit::Rate(100.0)), 1, 1);
    spared.come_back(Timestamp::from_millis(1000));
    for call in 0..400 {
        let _ = spared.call(0, Timestamp::from_millis(1000 + call * 20));
    }
    assert!(!spared.is_fallen());
}

#[test]
fn troubles_overlap_and_end_apart() {
    let mut partner = Partner::new(spec(Limit::Rate(1000.0)), 2, 1);
    partner.begin(1, Trouble::Stall, Some(0), Timestamp::from_millis(900));
    partner.begin(2, Trouble::Silent, None, Timestamp::from_millis(500));
    assert_eq!(partner.call(0, Timestamp::from_millis(10)), Fate::Silent);
    assert_eq!((partner.stalled(0), partner.stalled(1)), (Some(Timestamp::from_millis(900)), None));
    partner.end(2);
    assert!(matches!(partner.call(0, Timestamp::from_millis(10)), Fate::Done(_)));
    partner.end(1);
    assert_eq!(partner.stalled(0), None);
}

#[test]
fn a_shut_partner_tells_when_it_opens() {
    let mut partner = Partner::new(spec(Limit::Rate(100.0)), 1, 1);
    partner.begin(1, Trouble::Shut(true), None, Timestamp::from_millis(3000));
    assert_eq!(partner.call(0, Timestamp::from_millis(1000)), Fate::Refused(Some(Duration::from_secs(2))));
}
