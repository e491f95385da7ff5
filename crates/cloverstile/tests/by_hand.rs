//! Endpoints that an operator suspends and reinstates.

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

fn bench(couriers: u32, endpoints: u32) -> Bench {
    let settings = Settings { couriers, call_slots: 400, max_held: 4000, ..settings(vec![safe()]) };
    Bench::new(settings, (1..=endpoints).map(|id| endpoint(id, 3)).collect())
}

/// Enqueues this courier's part of 50 messages a second; each call is answered after 100 ms. Returns for each second the
/// calls to `endpoint` and to all other endpoints.
fn calls(bench: &mut Bench, from: u32, seconds: u32, endpoint: u32) -> Vec<(u32, u32)> {
    let couriers = bench.settings.couriers;
    let mut counts = vec![(0, 0); seconds as usize];
    let mut in_flight = std::collections::VecDeque::new();
    for step in 0..seconds * 50 {
        while let Some((message, to, _)) = in_flight.pop_front_if(|(_, _, since)| step >= *since + 5) {
            bench.finish(message, to, Outcome::Ok, ms(100));
        }
        if (step + from).is_multiple_of(couriers) {
            bench.accept(from + step, 0, 3, None);
        }
        for (message, to, _) in bench.sent_messages() {
            let count = &mut counts[(step / 50) as usize];
            *(if to == endpoint { &mut count.0 } else { &mut count.1 }) += 1;
            in_flight.push_back((message, to, step));
        }
        bench.now = bench.now + ms(20);
    }
    for (message, to, _) in in_flight {
        bench.finish(message, to, Outcome::Ok, ms(100));
    }
    counts
}

#[test]
fn a_suspended_endpoint_gets_no_calls_and_the_others_serve() {
    let mut bench = bench(1, 2);
    calls(&mut bench, 1, 2, 1);
    bench.handle(Event::Suspended(EndpointId(1)));
    assert!(calls(&mut bench, 1000, 2, 1).iter().all(|(suspended, others)| *suspended == 0 && *others >= 40));
    // A new listing does not change that.
    bench.handle(Event::Listed(Listing::Whole(vec![endpoint(1, 3), endpoint(2, 3)])));
    assert!(calls(&mut bench, 2000, 2, 1).iter().all(|(suspended, _)| *suspended == 0));
}

#[test]
fn messages_wait_while_all_endpoints_are_suspended() {
    let mut bench = bench(1, 1);
    bench.handle(Event::Suspended(EndpointId(1)));
    bench.accept(1, 0, 3, None);
    assert!(bench.until_action(Duration::from_secs(5)).is_empty());
    bench.handle(Event::Reinstated(EndpointId(1)));
    let actions = bench.until_action(Duration::from_secs(2));
    assert!(matches!(actions[..], [Action::Route { message: MessageId(1), .. }]), "{actions:?}");
}

/// A warm endpoint serves half of 100 calls a second, a cold one a fifth of that, and twice its capacity for two seconds makes
/// it collapse. Counts the calls of all couriers; the other calls go to the warm endpoint.
#[test]
fn a_reinstated_endpoint_gets_no_more_than_its_cold_capacity_with_any_number_of_couriers() {
    for couriers in [1, 3, 100] {
        let mut sum = vec![(0, 0); 10];
        for number in 0..couriers {
            let mut bench = bench(couriers, 2);
            bench.courier = Courier::new(bench.settings.clone(), u64::from(number));
            bench.handle(Event::Listed(Listing::Whole(vec![endpoint(1, 3), endpoint(2, 3)])));
            calls(&mut bench, 1000 + number, 10, 1);
            bench.handle(Event::Suspended(EndpointId(1)));
            calls(&mut bench, 2000 + number, 3, 1);
            bench.handle(Event::Reinstated(EndpointId(1)));
            for (sum, more) in sum.iter_mut().zip(calls(&mut bench, 3000 + number, 10, 1)) {
                *sum = (sum.0 + more.0, sum.1 + more.1);
            }
        }
        for (second, (calls, _)) in sum.iter().enumerate().take(9) {
            let capacity = 50.0 * (0.2 + 0.8 * second as f64 / 10.0);
            let sent = f64::from(*calls);
            assert!(
                sent <= capacity * 2.0,
                "{couriers} couriers, second {second}: {sent} of {capacity}: {sum:?}"
            );
        }
        assert!(
            sum.iter().map(|(calls, _)| calls).sum::<u32>() > 0,
            "{couriers} couriers: it is never called"
        );
    }
}

#[test]
fn a_reinstated_only_endpoint_gets_a_slow_start() {
    let mut bench = bench(1, 1);
    calls(&mut bench, 1, 3, 1);
    bench.handle(Event::Suspended(EndpointId(1)));
    calls(&mut bench, 1000, 3, 1);
    bench.handle(Event::Reinstated(EndpointId(1)));
    let calls = calls(&mut bench, 2000, 3, 1);
    assert!(calls.iter().all(|(sent, _)| (1..=60).contains(sent)), "{calls:?}");
    assert!(calls[0].0 <= 40, "{calls:?}");
}
