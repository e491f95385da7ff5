use super::*;

#[test]
fn each_metric_is_a_line_and_end_is_the_last() {
    let counts = ClassCounts { served: 812, rejected: 2, returned: 3, failed: 4, invalid: 1 };
    let metrics = EngineMetrics {
        classes: vec![("pay-notice".to_owned(), counts)],
        calls_written: 830,
        messages_pending: 14,
        endpoints_known: 26,
        endpoints_excluded: 2,
    };
    let expected = "edge_balancer.served.pay-notice:812|c\nedge_balancer.refused.pay-notice:5|c\n\
        edge_balancer.failed.pay-notice:5|c\nedge_balancer.attempts:830|c\nedge_balancer.in_flight:14|g\n\
        edge_balancer.endpoints_known:26|g\nedge_balancer.endpoints_excluded:2|g\nEND\n";
    assert_eq!(metrics_text(&metrics), expected);
}
