use super::*;

#[test]
fn each_metric_is_a_line_and_end_is_the_last() {
    let counts = Ends { served: 812, turned_away: 2, handed_back: 3, failed: 4, unfit: 1 };
    let metrics = Reading {
        classes: vec![("pay-notice".to_owned(), counts)],
        attempts: 830,
        in_flight: 14,
        endpoints_known: 26,
        endpoints_excluded: 2,
    };
    let expected = "edge_balancer.served.pay-notice:812|c\nedge_balancer.refused.pay-notice:5|c\n\
        edge_balancer.failed.pay-notice:5|c\nedge_balancer.attempts:830|c\nedge_balancer.in_flight:14|g\n\
        edge_balancer.endpoints_known:26|g\nedge_balancer.endpoints_excluded:2|g\nEND\n";
    assert_eq!(metrics_text(&metrics), expected);
}
