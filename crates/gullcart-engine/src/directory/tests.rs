//! The derived fields of a directory always agree with its entries.

use super::*;
use cloverstile::parse_settings_json;
use serde_json::json;

const ENDPOINTS: u32 = 12;

fn directory() -> Directory {
    let settings = json!({"MachineTypes": ["banks"], "Zones": ["kingston"]});
    Directory::new(&parse_settings_json(&settings).unwrap())
}

fn target(number: u32, state: &str) -> Target {
    Target {
        uid: format!("s-{number}"),
        endpoint: "127.0.0.1:1".to_owned(),
        az: "kingston".to_owned(),
        model: "banks".to_owned(),
        pod_group: number,
        state: state.to_owned(),
        capacity_hint: 1.0,
    }
}

fn ids_where(directory: &Directory, predicate: impl Fn(&Entry) -> bool) -> BTreeSet<EndpointId> {
    directory.entries.iter().filter(|(_, entry)| predicate(entry)).map(|(id, _)| *id).collect()
}

/// Compares the derived fields with a search over all entries.
fn check_derived_fields(directory: &Directory, suspended_uids: &BTreeSet<String>) {
    assert_eq!(directory.gone, ids_where(directory, |entry| entry.mode == Mode::Gone));
    assert_eq!(directory.suspended, ids_where(directory, |entry| entry.is_suspended));
    assert_eq!(directory.suspended, ids_where(directory, |entry| suspended_uids.contains(&entry.uid)));
    assert_eq!(directory.listed_count(), ids_where(directory, |entry| entry.mode != Mode::Gone).len());
    let are_ids_complete =
        directory.entries.iter().all(|(id, entry)| directory.endpoint_id(&entry.uid) == Some(*id));
    assert!(are_ids_complete && directory.ids_by_uid.len() == directory.entries.len());
}

#[test]
fn derived_fields_agree_with_the_entries_after_random_updates() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..50 {
        let (mut directory, mut suspended_uids) = (directory(), BTreeSet::new());
        for rev in 0..60 {
            let all = rng.u8(..5) == 0;
            let states = ["SERVING", "DRAINING", "DELETED"];
            let targets = (0..rng.usize(..8))
                .map(|_| target(rng.u32(..ENDPOINTS), states[rng.usize(..if all { 2 } else { 3 })]))
                .collect();
            directory.apply(&ListingUpdate { rev, all, targets });
            let uid = format!("s-{}", rng.u32(..ENDPOINTS));
            if !suspended_uids.remove(&uid) && rng.bool() {
                suspended_uids.insert(uid);
            }
            let suspended = directory.set_suspended(&suspended_uids);
            check_derived_fields(&directory, &suspended_uids);
            assert!(suspended.iter().eq(&directory.suspended));
            let needed = EndpointId(rng.u32(..ENDPOINTS));
            directory.remove_gone(|id| id == needed);
            check_derived_fields(&directory, &suspended_uids);
            assert!(directory.gone.is_empty() || directory.gone.iter().eq([&needed]));
            if rng.u8(..8) == 0 {
                let block = postcard::to_extend(&directory, Vec::new()).unwrap();
                directory = postcard::from_bytes::<Directory>(&block).unwrap().resumed();
                check_derived_fields(&directory, &suspended_uids);
            }
        }
    }
}
