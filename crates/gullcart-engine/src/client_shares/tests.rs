use super::*;

const MAX_HELD: usize = 300;

/// Lets a client enqueue messages with this time between them. Returns how many it holds in the end.
fn enqueue(shares: &mut ClientShares, client: u64, requests: usize, interval: Duration) -> usize {
    let client = Some(ClientId(client));
    for request in 0..requests as u32 {
        let now = Time::ZERO + interval * request;
        let held: usize = shares.clients.values().map(|client| client.held).sum();
        if shares.admits(now, client, MAX_HELD - held) {
            shares.add(now, client);
        }
    }
    client.and_then(|client| shares.clients.get(&client)).map_or(0, |client| client.held)
}

#[test]
fn a_fast_client_leaves_places_to_others() {
    let mut shares = ClientShares::new(MAX_HELD);
    assert_eq!(enqueue(&mut shares, 1, 2000, Duration::from_millis(1)), 201);
    // Others may use the places that are left.
    assert_eq!(enqueue(&mut shares, 2, 2000, Duration::from_millis(10)), MAX_HELD - 201);
}

#[test]
fn a_slow_client_may_use_all_places() {
    let mut shares = ClientShares::new(MAX_HELD);
    assert_eq!(enqueue(&mut shares, 1, 2000, Duration::from_millis(10)), MAX_HELD);
}

#[test]
fn a_client_without_messages_is_forgotten() {
    let mut shares = ClientShares::new(MAX_HELD);
    for client in (0..100).map(|number| Some(ClientId(number))) {
        shares.add(Time::ZERO, client);
        shares.remove(client);
    }
    assert!(shares.clients.is_empty());
    assert!(shares.admits(Time::ZERO, None, 1) && !shares.admits(Time::ZERO, None, 0));
}
