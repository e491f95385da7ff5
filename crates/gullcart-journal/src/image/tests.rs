//! What is known of a message, attempt by attempt.

use super::*;
use bytes::Bytes;

/// An outcome that could not be written is known to nobody after a crash: the attempt may have run, and its window counts.
#[test]
fn an_attempt_of_which_no_outcome_is_written_may_have_run_when_the_next_begins() {
    let taken = Taken {
        id: "a".to_owned(),
        key: 0,
        class: "notice".to_owned(),
        destination: 1,
        idempotency_key: None,
        deadline_ms: 100,
        again: false,
        body: Bytes::new(),
    };
    let mut held = Held::new(taken);
    held.start((10, 1));
    held.start((20, 2));
    assert_eq!((held.maybe_ran, held.out), (Some((10, 1)), Some((20, 2))));
    held.outcome(false);
    assert_eq!(held.maybe_ran, Some((10, 1)));
}

/// Records with destinations, as releases with numbers of 16 bits declared them, at their places among the kinds.
mod narrow {
    use super::*;
    use serde::Serialize;

    #[derive(Serialize)]
    pub struct Taken {
        pub id: String,
        pub key: u64,
        pub class: String,
        pub destination: u16,
        pub idempotency_key: Option<String>,
        pub deadline_ms: u64,
        pub again: bool,
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
    pub struct OutageNote {
        pub destination: u16,
        pub uid: Option<String>,
        pub since_ms: u64,
        pub evidence: u32,
        pub lost: Option<bool>,
        pub returned_ms: Option<u64>,
        pub share: f64,
    }

    #[derive(Serialize)]
    #[allow(dead_code)]
    pub enum Record {
        Take(u32, Taken),
        Start,
        Outcome,
        Owe,
        Over,
        Whole,
        List { rev: Option<u64>, set: Vec<Target>, gone: Vec<String> },
        Destinations(Vec<u16>),
        Outages { set: Vec<OutageNote>, gone: Vec<(u16, Option<String>)> },
    }
}

fn wide(record: &narrow::Record) -> Record {
    let bytes = postcard::to_extend(record, Vec::new()).unwrap();
    let wide: Record = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(postcard::to_extend(&wide, Vec::new()).unwrap(), bytes);
    wide
}

/// The format stores numbers without their width: what a release with 16 bits wrote is read, and written the same.
#[test]
fn records_with_destinations_of_16_bits_have_the_same_bytes() {
    let numbers = [0, 1, 127, 128, 16_383, 16_384, u16::MAX];
    let destinations = numbers.map(u32::from).to_vec();
    assert_eq!(wide(&narrow::Record::Destinations(numbers.to_vec())), Record::Destinations(destinations));
    for number in numbers {
        let taken = narrow::Taken {
            id: "a".to_owned(),
            key: 7,
            class: "notice".to_owned(),
            destination: number,
            idempotency_key: Some("k".to_owned()),
            deadline_ms: 100,
            again: true,
            body: Bytes::from_static(b"body"),
        };
        let Record::Take(9, taken) = wide(&narrow::Record::Take(9, taken)) else { panic!("another kind") };
        assert_eq!(
            (taken.destination, taken.deadline_ms, taken.body.as_ref()),
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
        let list = narrow::Record::List { rev: Some(3), set: vec![target], gone: vec!["g".to_owned()] };
        let Record::List { rev: Some(3), set, .. } = wide(&list) else { panic!("another kind") };
        assert_eq!((set[0].pod_group, set[0].capacity_hint), (number.into(), 2.5));
        let note = narrow::OutageNote {
            destination: number,
            uid: Some("s".to_owned()),
            since_ms: 5,
            evidence: 3,
            lost: Some(true),
            returned_ms: None,
            share: 0.5,
        };
        let outages = narrow::Record::Outages { set: vec![note], gone: vec![(number, None)] };
        let Record::Outages { set, gone } = wide(&outages) else { panic!("another kind") };
        assert_eq!(
            (set[0].destination, set[0].evidence, gone),
            (number.into(), 3, vec![(number.into(), None)])
        );
    }
}
