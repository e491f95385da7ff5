use super::*;

fn spec(limit: Limit) -> PartnerSpec {
    PartnerSpec {
        limit,
        capacity_factor: 1.5,
        mean_service_time: Duration::from_millis(100),
        queue_capacity: 2,
        retry_after_share: 1.0,
        min_retry_after: Duration::from_millis(300),
        rejected_calls_count: false,
        cold_capacity_share: 0.2,
        warm_up: Duration::from_secs(10),
        collapse_multiple: 2.5,
        collapse_window: Duration::from_secs(2),
        error_share: 0.0,
    }
}

#[test]
fn a_plain_rate_takes_no_more_in_the_long_run() {
    let mut partner = Partner::new(spec(Limit::Rate(20.0)), 2, 1);
    let accepted = (0..10_000).filter(|ms| {
        let at = At::ms(*ms);
        matches!(partner.handle_call((*ms % 2) as usize, at), CallOutcome::Success(_))
    });
    let accepted = accepted.count();
    assert!((190..=206).contains(&accepted), "{accepted}");
}

#[test]
fn a_count_is_full_until_its_span_ends_and_tells_so() {
    let window = Duration::from_secs(1);
    let mut partner = Partner::new(spec(Limit::PerWindow { calls: 3, window }), 3, 1);
    for call in 0..3 {
        assert!(matches!(partner.handle_call(call, At::ms(100)), CallOutcome::Success(_)));
    }
    assert_eq!(partner.handle_call(0, At::ms(400)), CallOutcome::Rejected(Some(Duration::from_millis(600))));
    assert!(matches!(partner.handle_call(0, At::ms(1001)), CallOutcome::Success(_)));
}

#[test]
fn refused_calls_use_up_the_limit_where_they_count() {
    let first_free_ms = |rejected_calls_count| {
        let mut partner = Partner::new(PartnerSpec { rejected_calls_count, ..spec(Limit::Rate(10.0)) }, 1, 1);
        for _ in 0..5 {
            let _ = partner.handle_call(0, At(0));
        }
        (1..2000).find(|ms| partner.above_limit(At::ms(*ms)).is_none())
    };
    // Asking each millisecond keeps it empty for ever where that counts.
    assert!(first_free_ms(false).is_some());
    assert_eq!(first_free_ms(true), None);
}

#[test]
fn a_full_queue_turns_calls_away() {
    let mut partner =
        Partner::new(spec(Limit::PerWindow { calls: 100, window: Duration::from_secs(60) }), 1, 1);
    // 100 calls in 60 s need one server.
    let outcomes: Vec<CallOutcome> = (0..4).map(|_| partner.handle_call(0, At(0))).collect();
    assert!(
        matches!(outcomes[..3], [CallOutcome::Success(_), CallOutcome::Success(_), CallOutcome::Success(_)]),
        "{outcomes:?}"
    );
    assert_eq!(outcomes[3], CallOutcome::Rejected(None));
}

#[test]
fn a_cold_partner_that_is_pushed_falls_and_stays_down() {
    let mut partner = Partner::new(spec(Limit::Rate(100.0)), 1, 1);
    partner.begin_slow_start(At::ms(1000));
    // 2.5 x 20 % x 150/s x 2 s = 150 calls, and a little for chance.
    let last = (0..400).find(|call| {
        let _ = partner.handle_call(0, At::ms(1000 + call));
        partner.has_collapsed()
    });
    assert!(last.is_some_and(|call| (150..185).contains(&call)), "{last:?}");
    assert_eq!(partner.handle_call(0, At::ms(60_000)), CallOutcome::NoAnswer);
    let mut spared = Partner::new(spec(Limit::Rate(100.0)), 1, 1);
    spared.begin_slow_start(At::ms(1000));
    for call in 0..400 {
        let _ = spared.handle_call(0, At::ms(1000 + call * 20));
    }
    assert!(!spared.has_collapsed());
}

#[test]
fn faults_overlap_and_end_apart() {
    let mut partner = Partner::new(spec(Limit::Rate(1000.0)), 2, 1);
    partner.begin_fault(1, PartnerFault::Stall, Some(0), At::ms(900));
    partner.begin_fault(2, PartnerFault::Silent, None, At::ms(500));
    assert_eq!(partner.handle_call(0, At::ms(10)), CallOutcome::NoAnswer);
    assert_eq!((partner.stalled_until(0), partner.stalled_until(1)), (Some(At::ms(900)), None));
    partner.end_fault(2);
    assert!(matches!(partner.handle_call(0, At::ms(10)), CallOutcome::Success(_)));
    partner.end_fault(1);
    assert_eq!(partner.stalled_until(0), None);
}

#[test]
fn a_shut_partner_tells_when_it_opens() {
    let mut partner = Partner::new(spec(Limit::Rate(100.0)), 1, 1);
    partner.begin_fault(1, PartnerFault::Closed(true), None, At::ms(3000));
    assert_eq!(partner.handle_call(0, At::ms(1000)), CallOutcome::Rejected(Some(Duration::from_secs(2))));
}
