//! Service scores and latencies, compared with values calculated by hand.

use gullcart_judge::trace::Timestamp;
use gullcart_judge::{ClassWorth, ServiceMeter, Weights};
use std::time::Duration;

fn classes() -> Vec<ClassWorth> {
    let (aim, deadline) = (Duration::from_secs(3), Duration::from_secs(24));
    vec![
        ClassWorth { worth: 3.0, aim, deadline, share_at_deadline: 0.4 },
        ClassWorth { worth: 1.0, aim, deadline, share_at_deadline: 0.5 },
    ]
}

#[test]
fn worth_falls_linearly_from_the_aim_to_the_deadline() {
    let class = classes()[0];
    assert_eq!(class.at_latency(Duration::from_secs(3)), 3.0);
    let middle = class.at_latency(Duration::from_millis(13_500));
    assert!((middle - 3.0 * 0.7).abs() < 1e-9, "{middle}");
    assert!((class.at_latency(Duration::from_secs(24)) - 1.2).abs() < 1e-9);
    assert_eq!(class.at_latency(Duration::from_millis(24_001)), 0.0);
}

#[test]
fn the_worst_window_and_the_worst_class_have_scores_of_their_own() {
    let mut service = ServiceMeter::new(classes());
    for second in 0..30u64 {
        let at = Timestamp::from_millis(second * 1000);
        service.record_request(0, at);
        service.record_request(1, at);
        service.record_delivery(0, at, at + Duration::from_millis(200));
        // For ten seconds, nothing of class 1 is delivered.
        if !(10..20).contains(&second) {
            service.record_delivery(1, at, at + Duration::from_millis(400));
        }
    }
    let scores = service.scores(Weights::default());
    assert!((scores.whole_run - 110.0 / 120.0).abs() < 1e-9, "{scores:?}");
    assert!((scores.worst_window - 0.75).abs() < 1e-9, "{scores:?}");
    assert!((scores.worst_class - 2.0 / 3.0).abs() < 1e-9, "{scores:?}");
    let combined = 0.55 * 110.0 / 120.0 + 0.25 * 0.75 + 0.2 * 2.0 / 3.0;
    assert!((scores.combined - combined).abs() < 1e-9, "{scores:?}");
    assert_eq!((service.latency(Some(0)).p99, service.latency(None).count), (200, 50));
}

/// Latency counts from the intended send, so a stall delays every message that should have been sent during it, not
/// only the one that was waiting (no coordinated omission).
#[test]
fn a_stall_shows_in_the_latency_of_all_messages_intended_during_it() {
    let mut service = ServiceMeter::new(classes());
    // 100 messages a second for 100 s; those between 40 s and 45 s are delivered at 45 s.
    for message in 0..10_000u64 {
        let at = Timestamp::from_millis(message * 10);
        let stalled = (40_000..45_000).contains(&(message * 10));
        let delivered = if stalled { Timestamp::from_millis(45_000) } else { at };
        service.record_request(0, at);
        service.record_delivery(0, at, delivered + Duration::from_millis(10));
    }
    let latency = service.latency(None);
    // 5 % of the messages wait for 0 to 5 s, spread evenly, so 1 % of all messages wait longer than 4 s.
    assert!((3_950..=4_050).contains(&latency.p99), "{latency:?}");
    assert!((4_990..=5_020).contains(&latency.max), "{latency:?}");
    assert_eq!(latency.p50, 10);
}
