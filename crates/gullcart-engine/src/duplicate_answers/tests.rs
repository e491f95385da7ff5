//! Detection of duplicated answers.

use super::*;

fn fingerprint(number: u32) -> Option<AnswerFingerprint> {
    AnswerFingerprint::of(&number.to_le_bytes())
}

#[test]
fn the_first_answer_on_a_connection_always_counts() {
    for answer in [None, fingerprint(1)] {
        let mut answers = ConnectionAnswers::default();
        assert_eq!(answers.accept(answer), Ok(()));
        // After an empty answer the next one could not be distinguished from a duplicate.
        assert_eq!(answers.can_carry_call(), answer.is_some());
    }
}

#[test]
fn a_duplicate_of_any_earlier_answer_does_not_count() {
    for duplicated in 0..3 {
        let mut answers = ConnectionAnswers::default();
        for number in 0..3 {
            assert_eq!(answers.accept(fingerprint(number)), Ok(()));
        }
        assert!(answers.can_carry_call());
        // The process that takes over the connection detects it, too.
        let mut taken_over = ConnectionAnswers::from_fingerprints(&answers.fingerprints());
        for answers in [&mut answers, &mut taken_over] {
            assert_eq!(answers.accept(fingerprint(duplicated)), Err(AmbiguousAnswer::Repeated));
            assert!(!answers.can_carry_call());
        }
    }
}

#[test]
fn an_empty_answer_does_not_count_after_another_one() {
    let mut answers = ConnectionAnswers::default();
    assert_eq!(answers.accept(fingerprint(1)), Ok(()));
    assert_eq!(answers.accept(None), Err(AmbiguousAnswer::Empty));
    assert!(!answers.can_carry_call());
}

#[test]
fn a_connection_carries_a_bounded_number_of_calls() {
    let mut answers = ConnectionAnswers::default();
    let mut calls = 0;
    while answers.can_carry_call() {
        assert_eq!(answers.accept(fingerprint(calls)), Ok(()));
        calls += 1;
    }
    assert_eq!(calls as usize, MAX_CALLS_PER_CONNECTION);
}

#[test]
fn connections_are_reused_only_if_answers_differ() {
    let mut endpoint = EndpointAnswers::default();
    for number in 0..MIN_DISTINCT_ANSWERS as u32 {
        assert!(!endpoint.are_distinct(), "after {number}");
        endpoint.observe(fingerprint(number));
    }
    assert!(endpoint.are_distinct());
    // A repeated answer starts a new sequence; an empty one starts an empty sequence.
    endpoint.observe(fingerprint(1));
    assert!(!endpoint.are_distinct());
    for number in 10..20 {
        endpoint.observe(fingerprint(number));
    }
    assert!(endpoint.are_distinct());
    endpoint.observe(None);
    assert!(!endpoint.are_distinct());
}

#[test]
fn connections_to_endpoints_with_few_different_answers_are_soon_not_reused() {
    let mut endpoint = EndpointAnswers::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut ambiguous_answers = 0;
    for _ in 0..10_000 {
        let answer = fingerprint(rng.u32(..8));
        let is_reused = endpoint.are_distinct();
        endpoint.observe(answer);
        if is_reused {
            endpoint.observe_ambiguous();
            ambiguous_answers += 1;
        }
        assert!(endpoint.distinct.len() <= MAX_DISTINCT_ANSWERS);
    }
    // Sixteen consecutive answers cannot all differ if there are only eight.
    assert!((1..=2).contains(&ambiguous_answers), "{ambiguous_answers}");
}

/// A connection that has carried these answers.
fn connection_after(answers: &[&[u8]]) -> ConnectionAnswers {
    let mut connection = ConnectionAnswers::default();
    for answer in answers {
        assert_eq!(connection.accept(AnswerFingerprint::of(answer)), Ok(()));
        connection.keep_bytes(Some(answer.to_vec()));
    }
    connection
}

#[test]
fn duplicates_are_removed_from_chunks_of_any_size() {
    let (one, two, own) = (&b"200 first"[..], &b"200 second"[..], &b"200 third"[..]);
    let connection = connection_after(&[one, two]);
    for duplicates in [vec![], vec![one], vec![two, one, two]] {
        let received = [duplicates.concat().as_slice(), own].concat();
        for size in 1..=received.len() {
            let mut filter = DuplicateAnswerFilter::default();
            let passed = received.chunks(size).flat_map(|chunk| filter.filter(&connection, chunk));
            assert_eq!(
                passed.collect::<Vec<u8>>(),
                own,
                "{} duplicates in chunks of {size}",
                duplicates.len()
            );
        }
    }
}

#[test]
fn an_answer_that_only_begins_like_an_earlier_one_passes() {
    let connection = connection_after(&[b"200 first"]);
    let mut filter = DuplicateAnswerFilter::default();
    assert_eq!(filter.filter(&connection, b"200 f"), b"");
    assert_eq!(filter.filter(&connection, b"our"), b"200 four");
    // Later bytes belong to the same answer and are not compared.
    assert_eq!(filter.filter(&connection, b"200 first"), b"200 first");
}

#[test]
fn nothing_is_removed_on_a_new_connection() {
    let mut filter = DuplicateAnswerFilter::default();
    assert_eq!(filter.filter(&ConnectionAnswers::default(), b"200 first"), b"200 first");
}

#[test]
fn a_connection_carries_no_further_call_if_an_answer_cannot_be_kept() {
    for answer in [None, Some(Vec::new()), Some(vec![b'x'; MAX_COMPARED_BYTES + 1])] {
        let mut connection = connection_after(&[b"200 first"]);
        assert!(connection.can_carry_call());
        connection.keep_bytes(answer);
        assert!(!connection.can_carry_call());
    }
}
