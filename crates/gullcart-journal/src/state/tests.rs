//! Attempts of a pending message, and compatibility of records with 16-bit destination numbers.

use super::*;
use bytes::Bytes;

/// After a crash an outcome that could not be written is unknown: the attempt may have run, so the destination's repeat
/// window counts from it.
#[test]
fn an_attempt_without_a_recorded_outcome_may_have_run_when_the_next_begins() {
    let message = AcceptedMessage {
        id: "a".to_owned(),
        order_key: 0,
        class: "notice".to_owned(),
        destination: 1,
        idempotency_key: None,
        deadline_ms: 100,
        from_dead_courier: false,
        body: Bytes::new(),
    };
    let mut pending = PendingMessage::new(message);
    pending.start_attempt((10, 1));
    pending.start_attempt((20, 2));
    assert_eq!((pending.may_have_run, pending.in_flight), (Some((10, 1)), Some((20, 2))));
    pending.finish_attempt(false);
    assert_eq!(pending.may_have_run, Some((10, 1)));
}

/// Records with destinations, as releases with 16-bit destination numbers declared them, at the same variant indexes.
mod narrow {
    use super::*;
    use serde::Serialize;

    #[derive(Serialize)]
    pub struct AcceptedMessage {
        pub id: String,
        pub order_key: u64,
        pub class: String,
        pub destination: u16,
        pub idempotency_key: Option<String>,
        pub deadline_ms: u64,
        pub from_dead_courier: bool,
        pub body: Bytes,
    }

    #[derive(Serialize)]
    pub struct Target {
        pub uid: String,
        pub endpoint: String,
        pub az: String,
        pub model: String,
        pub pod_group: u16,
        pub state: String,
        pub capacity_hint: f64,
    }

    #[derive(Serialize)]
    pub struct PersistedOutage {
        pub destination: u16,
        pub uid: Option<String>,
        pub since_ms: u64,
        pub failure_weight: u32,
        pub calls_were_lost: Option<bool>,
        pub slow_start_since_ms: Option<u64>,
        pub served_per_second: f64,
    }

    #[derive(Serialize)]
    #[allow(dead_code)]
    pub enum Record {
        Accepted(u32, AcceptedMessage),
        AttemptStarted,
        AttemptFinished,
        VerdictSet,
        Completed,
        FullMessage,
        Listing { rev: Option<u64>, changed: Vec<Target>, removed: Vec<String> },
        Destinations(Vec<u16>),
        Outages { changed: Vec<PersistedOutage>, removed: Vec<(u16, Option<String>)> },
    }
}

fn wide(record: &narrow::Record) -> Record {
    let bytes = postcard::to_extend(record, Vec::new()).unwrap();
    let wide: Record = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(postcard::to_extend(&wide, Vec::new()).unwrap(), bytes);
    wide
}

/// The format stores integers with variable length, without their width: records of releases with 16-bit destinations are
/// read, and written back as the same bytes.
#[test]
fn records_with_destinations_of_16_bits_have_the_same_bytes() {
    let numbers = [0, 1, 127, 128, 16_383, 16_384, u16::MAX];
    let destinations = numbers.map(u32::from).to_vec();
    assert_eq!(wide(&narrow::Record::Destinations(numbers.to_vec())), Record::Destinations(destinations));
    for number in numbers {
        let message = narrow::AcceptedMessage {
            id: "a".to_owned(),
            order_key: 7,
            class: "notice".to_owned(),
            destination: number,
            idempotency_key: Some("k".to_owned()),
            deadline_ms: 100,
            from_dead_courier: true,
            body: Bytes::from_static(b"body"),
        };
        let Record::Accepted(9, message) = wide(&narrow::Record::Accepted(9, message)) else {
            panic!("another record")
        };
        assert_eq!(
            (message.destination, message.deadline_ms, message.body.as_ref()),
            (number.into(), 100, &b"body"[..])
        );
        let target = narrow::Target {
            uid: "s".to_owned(),
            endpoint: "127.0.0.1:1".to_owned(),
            az: "a".to_owned(),
            model: "m".to_owned(),
            pod_group: number,
            state: "SERVING".to_owned(),
            capacity_hint: 2.5,
        };
        let listing =
            narrow::Record::Listing { rev: Some(3), changed: vec![target], removed: vec!["g".to_owned()] };
        let Record::Listing { rev: Some(3), changed, .. } = wide(&listing) else { panic!("another record") };
        assert_eq!((changed[0].pod_group, changed[0].capacity_hint), (number.into(), 2.5));
        let outage = narrow::PersistedOutage {
            destination: number,
            uid: Some("s".to_owned()),
            since_ms: 5,
            failure_weight: 3,
            calls_were_lost: Some(true),
            slow_start_since_ms: None,
            served_per_second: 0.5,
        };
        let outages = narrow::Record::Outages { changed: vec![outage], removed: vec![(number, None)] };
        let Record::Outages { changed, removed } = wide(&outages) else { panic!("another record") };
        assert_eq!(
            (changed[0].destination, changed[0].failure_weight, removed),
            (number.into(), 3, vec![(number.into(), None)])
        );
    }
}
