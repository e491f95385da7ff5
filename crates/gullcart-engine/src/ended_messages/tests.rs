use super::*;
use bytes::Bytes;

const RETENTION: Duration = Duration::from_secs(24);

fn message(number: usize) -> AcceptedMessage {
    AcceptedMessage {
        id: format!("m{number}"),
        order_key: 0,
        class: "salary".to_owned(),
        destination: 1,
        idempotency_key: None,
        deadline_ms: 0,
        from_dead_courier: false,
        body: Bytes::from_static(b"x"),
    }
}

fn enqueue(number: usize) -> Enqueue {
    let AcceptedMessage { id, order_key, class, destination, idempotency_key, body, .. } = message(number);
    Enqueue {
        id,
        order_key,
        class,
        destination,
        time_left: Duration::from_secs(20),
        idempotency_key,
        from_dead_courier: false,
        body,
        client: None,
    }
}

#[test]
fn an_id_is_remembered_with_its_content_for_a_time() {
    let mut ended = EndedMessages::default();
    ended.record(Time::ZERO, RETENTION, &message(1), MessageEnd::Delivered);
    ended.record(Time::ZERO, RETENTION, &message(2), MessageEnd::MayHaveRun);
    let at_end = Time::ZERO + RETENTION;
    let same = |end| Some(EndedMessage::Same(end));
    assert_eq!(ended.find(at_end, RETENTION, &enqueue(1)), same(MessageEnd::Delivered));
    assert_eq!(ended.find(at_end, RETENTION, &enqueue(2)), same(MessageEnd::MayHaveRun));
    assert_eq!(ended.find(at_end, RETENTION, &enqueue(3)), None);
    let changed = [
        Enqueue { body: Bytes::from_static(b"y"), ..enqueue(1) },
        Enqueue { order_key: 1, ..enqueue(1) },
        Enqueue { class: "notice".to_owned(), ..enqueue(1) },
        Enqueue { destination: 2, ..enqueue(1) },
        Enqueue { idempotency_key: Some(String::new()), ..enqueue(1) },
    ];
    for other in changed {
        assert_eq!(ended.find(at_end, RETENTION, &other), Some(EndedMessage::Other), "{other:?}");
    }
    let later = at_end + Duration::from_nanos(1);
    assert_eq!(ended.find(later, RETENTION, &enqueue(1)), None);
    ended.record(later, RETENTION, &message(3), MessageEnd::Delivered);
    assert_eq!((ended.by_id.len(), ended.by_age.len()), (1, 1));
}

#[test]
fn the_oldest_ids_are_forgotten_first() {
    let mut ended = EndedMessages::default();
    // The first id ends twice, and is as young as its second end.
    for number in std::iter::once(0).chain(0..MAX_REMEMBERED) {
        let now = Time::ZERO + Duration::from_millis(ended.by_age.len() as u64);
        ended.record(now, RETENTION, &message(number), MessageEnd::MayHaveRun);
    }
    let now = Time::ZERO + Duration::from_millis(MAX_REMEMBERED as u64);
    assert!(ended.find(now, RETENTION, &enqueue(0)).is_some());
    ended.record(now, RETENTION, &message(MAX_REMEMBERED), MessageEnd::MayHaveRun);
    assert_eq!(ended.find(now, RETENTION, &enqueue(0)), None);
    assert_eq!((ended.by_id.len(), ended.by_age.len()), (MAX_REMEMBERED, MAX_REMEMBERED));
}

#[test]
fn serialized_messages_are_the_same() {
    let mut ended = EndedMessages::default();
    for number in [1, 2, 1] {
        let now = Time::ZERO + Duration::from_millis(ended.by_age.len() as u64);
        ended.record(now, RETENTION, &message(number), MessageEnd::MayHaveRun);
    }
    let bytes = postcard::to_stdvec(&ended).unwrap();
    let read: EndedMessages = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read.by_id, ended.by_id);
    assert_eq!(read.by_age.len(), 2);
}
