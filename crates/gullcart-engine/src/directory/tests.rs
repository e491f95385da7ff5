//! What a directory keeps beside its entries is what a walk over the entries would find.

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

fn walk(directory: &Directory, is: impl Fn(&Entry) -> bool) -> BTreeSet<EndpointId> {
    directory.entries.iter().filter(|(_, entry)| is(entry)).map(|(id, _)| *id).collect()
}

fn check(directory: &Directory, out: &BTreeSet<String>) {
    assert_eq!(directory.gone, walk(directory, |entry| entry.mode == Mode::Gone));
    assert_eq!(directory.suspended, walk(directory, |entry| entry.is_suspended));
    assert_eq!(directory.suspended, walk(directory, |entry| out.contains(&entry.uid)));
    assert_eq!(directory.listed_count(), walk(directory, |entry| entry.mode != Mode::Gone).len());
    let found = directory.entries.iter().all(|(id, entry)| directory.endpoint_id(&entry.uid) == Some(*id));
    assert!(found && directory.ids_by_uid.len() == directory.entries.len());
}

#[test]
fn what_is_gone_and_what_is_out_agrees_with_the_entries_whatever_comes() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..50 {
        let (mut directory, mut out) = (directory(), BTreeSet::new());
        for rev in 0..60 {
            let all = rng.u8(..5) == 0;
            let states = ["SERVING", "DRAINING", "DELETED"];
            let targets = (0..rng.usize(..8))
                .map(|_| target(rng.u32(..ENDPOINTS), states[rng.usize(..if all { 2 } else { 3 })]))
                .collect();
            directory.apply(&Update { rev, all, targets });
            let uid = format!("s-{}", rng.u32(..ENDPOINTS));
            if !out.remove(&uid) && rng.bool() {
                out.insert(uid);
            }
            let named = directory.set_suspended(&out);
            check(&directory, &out);
            assert!(named.iter().eq(&directory.suspended));
            let needed = EndpointId(rng.u32(..ENDPOINTS));
            directory.forget_gone(|id| id == needed);
            check(&directory, &out);
            assert!(directory.gone.is_empty() || directory.gone.iter().eq([&needed]));
            if rng.u8(..8) == 0 {
                let block = postcard::to_extend(&directory, Vec::new()).unwrap();
                directory = postcard::from_bytes::<Directory>(&block).unwrap().resumed();
                check(&directory, &out);
            }
        }
    }
}
