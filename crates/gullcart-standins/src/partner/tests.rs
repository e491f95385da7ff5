use super::*;

fn spec(limit: Limit) -> PartnerSpec {
    PartnerSpec {
        limit,
        capacity_factor: 1.5,
        mean_service_time: Duration::from_millis(100),
        queue_capacity: 2,
        retry_after_share: 1.0,
        min_retry_after: Duration::from_millis(300),
        count_rejected_calls: false,
        cold_capacity_share: 0.2,
        warm_up: Duration::from_secs(10),
        collapse_multiple: 2.5,
        collapse_window: Duration::from_secs(2),
        error_share: 0.0,
    }
}

#[test]
fn a_rate_limit_holds_over_time() {
    let mut partner = Partner::new(spec(Limit::Rate(20.0)), 2, 1);
    let accepted = (0..10_000).filter(|ms| {
        let at = Timestamp::from_millis(*ms);
        matches!(partner.handle_call((*ms % 2) as usize, at), CallOutcome::Success(_))
    });
    let accepted = accepted.count();
    assert!((190..=206).contains(&accepted), "{accepted}");
}

#[test]
fn a_window_limit_rejects_until_the_window_ends() {
    let window = Duration::from_secs(1);
    let mut partner = Partner::new(spec(Limit::PerWindow { calls: 3, window }), 3, 1);
    for call in 0..3 {
        assert!(matches!(partner.handle_call(call, Timestamp::from_millis(100)), CallOutcome::Success(_)));
    }
    assert_eq!(
        partner.handle_call(0, Timestamp::from_millis(400)),
        CallOutcome::Rejected(Some(Duration::from_millis(600)))
    );
    assert!(matches!(partner.handle_call(0, Timestamp::from_millis(1001)), CallOutcome::Success(_)));
}

#[test]
fn rejected_calls_use_up_the_limit_where_they_count() {
    let first_free_ms = |count_rejected_calls| {
        let mut partner = Partner::new(PartnerSpec { count_rejected_calls, ..spec(Limit::Rate(10.0)) }, 1, 1);
        for _ in 0..5 {
            let _ = partner.handle_call(0, Timestamp(0));
        }
        (1..2000).find(|ms| partner.above_limit(Timestamp::from_millis(*ms)).is_none())
    };
    // If rejected calls count, a call each millisecond keeps the token bucket empty.
    assert!(first_free_ms(false).is_some());
    assert_eq!(first_free_ms(true), None);
}

#[test]
fn a_full_queue_rejects_calls() {
    let mut partner =
        Partner::new(spec(Limit::PerWindow { calls: 100, window: Duration::from_secs(60) }), 1, 1);
    // 100 calls in 60 s need one server.
    let outcomes: Vec<CallOutcome> = (0..4).map(|_| partner.handle_call(0, Timestamp(0))).collect();
    assert!(
        matches!(outcomes[..3], [CallOutcome::Success(_), CallOutcome::Success(_), CallOutcome::Success(_)]),
        "{outcomes:?}"
    );
    assert_eq!(outcomes[3], CallOutcome::Rejected(None));
}

#[test]
fn an_overloaded_partner_collapses_during_slow_start() {
    let mut partner = Partner::new(spec(Limit::Rate(100.0)), 1, 1);
    partner.begin_slow_start(Timestamp::from_millis(1000));
    // 2.5 x 20 % x 150/s x 2 s = 150 calls, and a margin.
    let last = (0..400).find(|call| {
        let _ = partner.handle_call(0, Timestamp::from_millis(1000 + call));
        partner.has_collapsed()
    });
    assert!(last.is_some_and(|call| (150..185).contains(&call)), "{last:?}");
    assert_eq!(partner.handle_call(0, Timestamp::from_millis(60_000)), CallOutcome::NoAnswer);
    let mut slowly_called = Partner::new(spec(Limit::Rate(100.0)), 1, 1);
    slowly_called.begin_slow_start(Timestamp::from_millis(1000));
    for call in 0..400 {
        let _ = slowly_called.handle_call(0, Timestamp::from_millis(1000 + call * 20));
    }
    assert!(!slowly_called.has_collapsed());
}

#[test]
fn faults_overlap_and_end_independently() {
    let mut partner = Partner::new(spec(Limit::Rate(1000.0)), 2, 1);
    partner.begin_fault(1, PartnerFault::Stall, Some(0), Timestamp::from_millis(900));
    partner.begin_fault(2, PartnerFault::Silent, None, Timestamp::from_millis(500));
    assert_eq!(partner.handle_call(0, Timestamp::from_millis(10)), CallOutcome::NoAnswer);
    assert_eq!(
        (partner.stalled_until(0), partner.stalled_until(1)),
        (Some(Timestamp::from_millis(900)), None)
    );
    partner.end_fault(2);
    assert!(matches!(partner.handle_call(0, Timestamp::from_millis(10)), CallOutcome::Success(_)));
    partner.end_fault(1);
    assert_eq!(partner.stalled_until(0), None);
}

#[test]
fn a_closed_partner_tells_when_it_opens() {
    let mut partner = Partner::new(spec(Limit::Rate(100.0)), 1, 1);
    partner.begin_fault(1, PartnerFault::Closed(true), None, Timestamp::from_millis(3000));
    assert_eq!(
        partner.handle_call(0, Timestamp::from_millis(1000)),
        CallOutcome::Rejected(Some(Duration::from_secs(2)))
    );
}
