use super::*;

#[test]
fn figures_are_lines_of_their_own_and_end() {
    let ends = Ends { served: 812, turned_away: 2, handed_back: 3, failed: 4, unfit: 1 };
    let reading = Reading {
        classes: vec![("pay-notice".to_owned(), ends)],
        attempts: 830,
        in_flight: 14,
        endpoints_known: 26,
        endpoints_excluded: 2,
    };
    let told = "edge_balancer.served.pay-notice:812|c\nedge_balancer.refused.pay-notice:5|c\n\
        edge_balancer.failed.pay-notice:5|c\nedge_balancer.attempts:830|c\nedge_balancer.in_flight:14|g\n\
        edge_balancer.endpoints_known:26|g\nedge_balancer.endpoints_excluded:2|g\nEND\n";
    assert_eq!(figures(&reading), told);
}
