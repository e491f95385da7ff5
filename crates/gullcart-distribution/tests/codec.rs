//! The encoding: what goes in comes out, and nothing from outside does harm.

use gullcart_distribution::codec::{decode, encode, encode_framed, StreamDecoder, LENGTH_BYTES, VERSION};
use gullcart_distribution::digest::{BucketSet, Digest};
use gullcart_distribution::error::CodecError;
use gullcart_distribution::limits::{
    DIGESTS_PER_MESSAGE, MAX_KEY_BYTES, MAX_MESSAGE_BYTES, MAX_SCOPES, MAX_VALUE_BYTES,
};
use gullcart_distribution::message::*;
use gullcart_distribution::position::{Epoch, Lineage, Position, Revision};
use gullcart_distribution::scope::{Change, Key, Scope, Value};
use proptest::prelude::*;

fn scopes() -> impl Strategy<Value = Scope> {
    prop_oneof![
        Just(Scope::Global),
        any::<u16>().prop_map(Scope::Region),
        any::<u16>().prop_map(Scope::Zone),
        any::<u32>().prop_map(Scope::Destinations),
        any::<u32>().prop_map(Scope::Courier),
    ]
}

fn lineage() -> Lineage {
    let mut lineage = Lineage::default();
    assert!(lineage.begin(Epoch(1), Revision(0)));
    lineage
}

fn digests() -> impl Strategy<Value = Digest> {
    (proptest::collection::vec(any::<u8>(), 0..40), any::<u64>()).prop_map(|(bytes, revision)| {
        let key = Key::new(bytes.clone()).unwrap();
        Digest::of_entry(&key, &Value::new(bytes).unwrap(), Position::new(1, revision))
    })
}

prop_compose! {
    fn changes()(
        scope in scopes(),
        key in proptest::collection::vec(any::<u8>(), 0..MAX_KEY_BYTES),
        value in proptest::option::of(proptest::collection::vec(any::<u8>(), 0..200)),
    ) -> (Scope, Key, Option<Value>) {
        (scope, Key::new(key).unwrap(), value.map(|value| Value::new(value).unwrap()))
    }
}

prop_compose! {
    fn frames()(
        session in any::<u64>(),
        sequence in any::<u64>(),
        buckets in proptest::option::of((scopes(), any::<u16>())),
        epoch in any::<u64>(),
        after in 0..u64::MAX / 2,
        complete in any::<bool>(),
        changes in proptest::collection::vec(changes(), 0..20),
    ) -> Message {
        let part = match buckets {
            Some((scope, bits)) => Part::Buckets { scope, buckets: BucketSet(bits) },
            None => Part::Subscription,
        };
        let count = changes.len() as u64;
        let number = |(index, (scope, key, value))| {
            Change { scope, position: Position::new(epoch, after + 1 + index as u64), key, value }
        };
        Message::Frame(Frame {
            session: SessionId(session),
            sequence: Sequence(sequence),
            part,
            after: Position::new(epoch, after),
            upto: Position::new(epoch, after + count),
            complete,
            changes: changes.into_iter().enumerate().map(number).collect(),
        })
    }
}

prop_compose! {
    fn controls()(
        kind in 0..11,
        session in any::<u64>().prop_map(SessionId),
        number in any::<u64>(),
        scopes in proptest::collection::vec(scopes(), 0..30),
        digest in digests(),
        resume in any::<bool>(),
    ) -> Message {
        let position = Position::new(number, number);
        let progress = Progress { received: Sequence(number), in_force: position };
        let renewal = RenewalId(number);
        match kind {
            0 => Message::Subscribe(Subscribe { session, scopes, resume: resume.then_some(position), history: resume }),
            1 => Message::Rescope(Rescope { session, add: scopes.clone(), remove: scopes }),
            2 => Message::Renew(Renew { session, renewal, progress, without: scopes }),
            3 => Message::Acknowledge(Acknowledge { session, progress }),
            4 => Message::RequestRepair(RequestRepair { session, scope: Scope::Global, digests: resume.then_some([digest; 16]) }),
            5 => Message::Welcome(Welcome { session, start: Start::Snapshot, lineage: lineage(), floor: position }),
            7 => Message::EpochBegan(EpochBegan { session, lineage: lineage() }),
            8 => Message::RequestDigests(RequestDigests { session }),
            9 => Message::ScopeDigests(ScopeDigests {
                session,
                at: position,
                digests: scopes.into_iter().map(|scope| ScopeDigest { scope, digest }).collect(),
            }),
            6 => Message::NotRenewed(NotRenewed { session, renewal }),
            _ => Message::Renewed(Renewed {
                session,
                renewal,
                sequence: Sequence(number),
                after: position,
                upto: position,
                valid_for_micros: 1_000_000,
                not_leased: scopes,
                digest,
            }),
        }
    }
}

fn messages() -> impl Strategy<Value = Message> {
    prop_oneof![frames(), controls()]
}

proptest! {
    #[test]
    fn what_is_encoded_is_decoded(message in messages()) {
        prop_assert_eq!(decode(&encode(&message).unwrap()).unwrap(), message);
    }

    #[test]
    fn a_stream_is_cut_into_its_messages(
        messages in proptest::collection::vec(messages(), 1..6),
        piece in 1usize..500,
    ) {
        let stream: Vec<u8> = messages.iter().flat_map(|message| encode_framed(message).unwrap()).collect();
        let mut decoder = StreamDecoder::default();
        let mut decoded = Vec::new();
        for bytes in stream.chunks(piece) {
            decoder.extend(bytes);
            while let Some(message) = decoder.next_message().unwrap() {
                decoded.push(message);
            }
        }
        prop_assert_eq!(decoded, messages);
    }

    #[test]
    fn bytes_from_outside_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut versioned = vec![VERSION];
        versioned.extend_from_slice(&bytes);
        let _ = decode(&versioned);
        let _ = decode(&bytes);
    }

    #[test]
    fn a_spoilt_message_never_panics(message in messages(), place in any::<usize>(), flip in 1u8..) {
        let mut bytes = encode(&message).unwrap();
        let place = place % bytes.len();
        bytes[place] ^= flip;
        let _ = decode(&bytes);
        bytes.truncate(place);
        prop_assert!(decode(&bytes).is_err());
    }

    #[test]
    fn no_change_is_encoded_longer_than_its_bound((scope, key, value) in changes()) {
        let change = Change { scope, position: Position::new(u64::MAX, u64::MAX), key, value };
        prop_assert!(postcard::to_allocvec(&change).unwrap().len() <= change.encoded_bound());
    }
}

#[test]
fn an_unknown_version_is_a_typed_error() {
    let message = Message::NotRenewed(NotRenewed { session: SessionId(1), renewal: RenewalId(2) });
    let mut bytes = encode(&message).unwrap();
    bytes[0] = VERSION + 1;
    assert_eq!(decode(&bytes), Err(CodecError::UnknownVersion(VERSION + 1)));
}

#[test]
fn what_is_cut_off_or_left_over_is_a_typed_error() {
    let message = Message::NotRenewed(NotRenewed { session: SessionId(1), renewal: RenewalId(2) });
    let mut bytes = encode(&message).unwrap();
    bytes.push(0);
    assert_eq!(decode(&bytes), Err(CodecError::TrailingBytes));
    bytes.truncate(2);
    assert_eq!(decode(&bytes), Err(CodecError::Malformed));
    assert_eq!(decode(&[]), Err(CodecError::Empty));
}

#[test]
fn a_length_over_the_limit_is_refused_before_its_bytes_are_there() {
    let mut decoder = StreamDecoder::default();
    decoder.extend(&((MAX_MESSAGE_BYTES + 1) as u32).to_le_bytes());
    let too_long = CodecError::TooLong { length: MAX_MESSAGE_BYTES + 1, limit: MAX_MESSAGE_BYTES };
    assert_eq!(decoder.next_message(), Err(too_long));
    assert_eq!(LENGTH_BYTES, 4);
}

#[test]
fn long_keys_and_values_are_refused_when_made_and_when_decoded() {
    assert!(Key::new(vec![0; MAX_KEY_BYTES + 1]).is_err());
    assert!(Value::new(vec![0; MAX_VALUE_BYTES + 1]).is_err());
    let encoded = postcard::to_allocvec(&vec![0u8; MAX_KEY_BYTES + 1]).unwrap();
    assert!(postcard::from_bytes::<Key>(&encoded).is_err());
}

#[test]
fn lists_over_the_limit_and_changes_out_of_order_are_refused() {
    let scopes = vec![Scope::Global; MAX_SCOPES + 1];
    let subscribe =
        Message::Subscribe(Subscribe { session: SessionId(1), scopes, resume: None, history: false });
    assert_eq!(decode(&encode(&subscribe).unwrap()), Err(CodecError::Malformed));

    let change = |revision| Change {
        scope: Scope::Global,
        position: Position::new(1, revision),
        key: Key::new("key").unwrap(),
        value: None,
    };
    let frame = Message::Frame(Frame {
        session: SessionId(1),
        sequence: Sequence(1),
        part: Part::Subscription,
        after: Position::new(1, 3),
        upto: Position::new(1, 9),
        complete: true,
        changes: vec![change(5), change(4)],
    });
    assert_eq!(decode(&encode(&frame).unwrap()), Err(CodecError::Malformed));
}

#[test]
fn the_longest_lists_fit_into_a_message() {
    let digest = Digest::default();
    let scope = |number: usize| Scope::Destinations(u32::MAX - number as u32);
    let position = Position::new(u64::MAX, u64::MAX);
    let digests = Message::ScopeDigests(ScopeDigests {
        session: SessionId(u64::MAX),
        at: position,
        digests: (0..DIGESTS_PER_MESSAGE)
            .map(|number| ScopeDigest { scope: scope(number), digest })
            .collect(),
    });
    assert!(encode(&digests).is_ok());
    let renewed = Message::Renewed(Renewed {
        session: SessionId(u64::MAX),
        renewal: RenewalId(u64::MAX),
        sequence: Sequence(u64::MAX),
        after: position,
        upto: position,
        valid_for_micros: u32::MAX,
        not_leased: (0..MAX_SCOPES).map(scope).collect(),
        digest,
    });
    assert!(encode(&renewed).is_ok());
    let subscribe = Message::Subscribe(Subscribe {
        session: SessionId(u64::MAX),
        scopes: (0..MAX_SCOPES).map(scope).collect(),
        resume: Some(position),
        history: true,
    });
    assert!(encode(&subscribe).is_ok());
}
