//! The shape of a fleet: every courier and share has its place.

use gullcart_distribution::scope::Scope;
use gullcart_hollow::layout::{CourierIndex, Layout, LayoutError, ZoneIndex};
use std::collections::BTreeSet;

#[test]
fn zones_share_the_couriers_without_gaps() {
    for (couriers, zones, regions) in [(11_000, 23, 11), (200, 3, 2), (23, 23, 11), (100, 23, 11)] {
        let layout = Layout::new(couriers, zones, regions).unwrap();
        let mut next = 0;
        for zone in (0..zones).map(ZoneIndex) {
            let range = layout.couriers_of(zone);
            assert_eq!(range.start, next);
            assert!(!range.is_empty());
            assert!(range.clone().all(|courier| layout.zone_of(CourierIndex(courier)) == zone));
            next = range.end;
        }
        assert_eq!(next, couriers);
    }
}

#[test]
fn scopes_and_their_subscribers_agree() {
    let layout = Layout::new(500, 5, 2).unwrap();
    for scope in layout.scopes() {
        let subscribers: Vec<CourierIndex> = layout.subscribers_of(scope).collect();
        assert!(!subscribers.is_empty(), "{scope:?}");
        let all = (0..500).map(CourierIndex);
        let expected: Vec<CourierIndex> =
            all.filter(|courier| layout.scopes_of(*courier).contains(&scope)).collect();
        assert_eq!(subscribers, expected, "{scope:?}");
    }
}

#[test]
fn relays_take_over_within_a_region() {
    let layout = Layout::new(1000, 5, 2).unwrap();
    for zone in (0..5).map(ZoneIndex) {
        let relays = layout.relays_for(zone);
        assert_eq!(relays[0], zone);
        assert_eq!(relays.len(), 2);
        assert_eq!(layout.region_of(relays[1]), layout.region_of(zone));
    }
    let alone = Layout::new(10, 2, 2).unwrap();
    assert_eq!(alone.relays_for(ZoneIndex(1)), [ZoneIndex(1)]);
}

#[test]
fn versions_of_an_entry_differ() {
    let layout = Layout::new(10, 1, 1).unwrap();
    for scope in [Scope::Global, Scope::Zone(0), Scope::Destinations(0)] {
        let entry = layout.entries_of(scope).next().unwrap();
        let edits: BTreeSet<Vec<u8>> =
            (0..2).map(|version| entry.edit(version).unwrap().value.unwrap().as_bytes().to_vec()).collect();
        assert_eq!(edits.len(), 2, "{scope:?}");
    }
}

#[test]
fn an_empty_fleet_has_no_shape() {
    for (couriers, zones, regions) in [(2, 3, 1), (10, 1, 2), (10, 0, 0)] {
        assert_eq!(Layout::new(couriers, zones, regions), Err(LayoutError::Empty));
    }
}
