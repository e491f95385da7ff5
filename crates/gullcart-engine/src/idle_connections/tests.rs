//! How many idle connections couriers keep.

use super::*;

/// Couriers call one endpoint in random order and reuse the connections that they kept.
#[test]
fn all_couriers_together_keep_few_connections_to_an_endpoint() {
    for (couriers, max_kept) in [(0, 1), (1, 1), (3, 3), (100, 20), (200, 20)] {
        let mut policies: Vec<_> =
            (0..couriers.max(1)).map(|n| (IdleConnectionPolicy::new(couriers, n.into()), false)).collect();
        let mut rng = Rng::with_seed(9);
        let (mut peak, mut reused) = (0, 0);
        for call in 0..20_000 {
            let caller = rng.usize(..policies.len());
            let (policy, is_kept) = &mut policies[caller];
            reused += usize::from(*is_kept);
            *is_kept = policy.should_keep();
            if call > 1_000 {
                peak = peak.max(policies.iter().filter(|(_, is_kept)| *is_kept).count());
            }
        }
        assert!(peak <= max_kept, "{couriers} couriers kept {peak}");
        // A few couriers keep every connection, many couriers keep some.
        let min_reused = if couriers <= 3 { 19_900 } else { 400 };
        assert!(reused >= min_reused, "{couriers} couriers reused {reused}");
    }
}
