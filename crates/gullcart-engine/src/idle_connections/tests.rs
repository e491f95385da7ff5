//! The share of idle time.

use super::*;

/// Couriers call one endpoint in turn, by chance, and reuse what they kept.
#[test]
fn all_couriers_together_keep_few_at_an_endpoint() {
    for (couriers, most) in [(0, 1), (1, 1), (3, 3), (100, 20), (200, 20)] {
        let mut shares: Vec<_> =
            (0..couriers.max(1)).map(|n| (IdleConnectionPolicy::new(couriers, n.into()), false)).collect();
        let mut chance = Rng::with_seed(9);
        let (mut peak, mut reused) = (0, 0);
        for call in 0..20_000 {
            let caller = chance.usize(..shares.len());
            let (share, held) = &mut shares[caller];
            reused += usize::from(*held);
            *held = share.should_keep();
            if call > 1_000 {
                peak = peak.max(shares.iter().filter(|(_, held)| *held).count());
            }
        }
        assert!(peak <= most, "{couriers} couriers held {peak}");
        // Few couriers keep all they have, many some.
        let least = if couriers <= 3 { 19_900 } else { 400 };
        assert!(reused >= least, "{couriers} couriers used {reused} again");
    }
}
