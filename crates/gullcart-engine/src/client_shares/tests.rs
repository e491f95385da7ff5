use super::*;

/// Lets clients add messages in turn until none may add one. Returns how many each holds.
fn fill(shares: &mut ClientShares, clients: u64, places: usize) -> Vec<usize> {
    loop {
        let mut is_full = true;
        for client in (0..clients).map(|number| Some(ClientId(number))) {
            let free_places = places - shares.held.values().sum::<usize>();
            if shares.may_add(client, free_places) {
                shares.add(client);
                is_full = false;
            }
        }
        if is_full {
            return (0..clients).map(|number| shares.held[&ClientId(number)]).collect();
        }
    }
}

#[test]
fn one_client_leaves_places_to_others_and_many_use_nearly_all() {
    let mut shares = ClientShares::default();
    assert_eq!(fill(&mut shares, 1, 300), [201]);
    // Another client gets more than half of the places that are left.
    assert_eq!(fill(&mut shares, 2, 300), [201, 67]);
    let held = fill(&mut ClientShares::default(), 20, 300);
    assert!(held.iter().sum::<usize>() >= 290, "{held:?}");
}

#[test]
fn a_client_without_messages_is_forgotten() {
    let mut shares = ClientShares::default();
    for client in (0..100).map(|number| Some(ClientId(number))) {
        shares.add(client);
        shares.remove(client);
    }
    assert!(shares.held.is_empty());
    assert!(shares.may_add(None, 1) && !shares.may_add(None, 0));
}
