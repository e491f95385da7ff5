//! The structures that hold destinations, at a small size.

use gullcart_hollow::structures::{measure, Structure, StructureCosts, StructurePlan};

const PLAN: StructurePlan =
    StructurePlan { structure: Structure::Tree, destinations: 20_000, per_entry: 8, zones: 3 };

#[test]
fn the_source_holds_all_destinations_and_the_relay_those_of_its_zone() {
    let StructureCosts::Tree { source, zone_relay } = measure(&PLAN).unwrap() else {
        panic!("the source refuses {PLAN:?}");
    };
    assert_eq!(source.entries, 2500);
    // 52 shares of 49 entries in three zones: 18 shares in the first.
    assert_eq!(zone_relay.entries, 18 * 49);
    assert!(source.bytes > 0 && zone_relay.bytes > 0);
    assert!(!source.change.is_zero() && !zone_relay.change.is_zero());
    assert!(!source.digest.is_zero() && !zone_relay.digest.is_zero());
}

#[test]
fn a_source_that_refuses_so_many_entries_is_told() {
    let plan = StructurePlan { destinations: 262_145, per_entry: 1, ..PLAN };
    let refused = StructureCosts::Refused { entries: 262_144 };
    assert_eq!(measure(&plan).unwrap(), refused);
}
