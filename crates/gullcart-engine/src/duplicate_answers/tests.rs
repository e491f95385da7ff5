//! Answers of which some are copies of earlier ones.

use super::*;

fn fingerprint(number: u32) -> Option<AnswerFingerprint> {
    AnswerFingerprint::of(&number.to_le_bytes())
}

#[test]
fn the_first_answer_of_a_connection_counts_whatever_it_says() {
    for answer in [None, fingerprint(1)] {
        let mut answers = ConnectionAnswers::default();
        assert_eq!(answers.accept(answer), Ok(()));
        // Behind one that says nothing no copy could be told from the next answer.
        assert_eq!(answers.can_carry_call(), answer.is_some());
    }
}

#[test]
fn a_copy_of_any_earlier_answer_does_not_count() {
    for copied in 0..3 {
        let mut answers = ConnectionAnswers::default();
        for number in 0..3 {
            assert_eq!(answers.accept(fingerprint(number)), Ok(()));
        }
        assert!(answers.can_carry_call());
        // In another process, too.
        let mut carried = ConnectionAnswers::from_fingerprints(&answers.fingerprints());
        for answers in [&mut answers, &mut carried] {
            assert_eq!(answers.accept(fingerprint(copied)), Err(AmbiguousAnswer::Repeated));
            assert!(!answers.can_carry_call());
        }
    }
}

#[test]
fn an_empty_answer_does_not_count_behind_another_one() {
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
fn connections_are_used_again_only_where_answers_differ() {
    let mut endpoint = EndpointAnswers::default();
    for number in 0..MIN_DISTINCT_ANSWERS as u32 {
        assert!(!endpoint.are_distinct(), "after {number}");
        endpoint.observe(fingerprint(number));
    }
    assert!(endpoint.are_distinct());
    // One that was there before begins a new row, and an empty one ends it.
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
fn endpoints_with_few_answers_are_never_trusted_for_long() {
    let mut endpoint = EndpointAnswers::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut doubts = 0;
    for _ in 0..10_000 {
        let answer = fingerprint(rng.u32(..8));
        let is_copy = endpoint.are_distinct();
        endpoint.observe(answer);
        if is_copy {
            endpoint.observe_ambiguous();
            doubts += 1;
        }
        assert!(endpoint.distinct.len() <= MAX_DISTINCT_ANSWERS);
    }
    // Sixteen in a row cannot differ where there are eight.
    assert!((1..=2).contains(&doubts), "{doubts}");
}

/// A connection that has brought these answers.
fn after(answers: &[&[u8]]) -> ConnectionAnswers {
    let mut connection = ConnectionAnswers::default();
    for answer in answers {
        assert_eq!(connection.accept(AnswerFingerprint::of(answer)), Ok(()));
        connection.keep_bytes(Some(answer.to_vec()));
    }
    connection
}

#[test]
fn copies_are_left_out_in_pieces_of_any_size() {
    let (one, two, own) = (&b"200 first"[..], &b"200 second"[..], &b"200 third"[..]);
    let connection = after(&[one, two]);
    for copies in [vec![], vec![one], vec![two, one, two]] {
        let come = [copies.concat().as_slice(), own].concat();
        for size in 1..=come.len() {
            let mut filter = DuplicateAnswerFilter::default();
            let passed = come.chunks(size).flat_map(|piece| filter.filter(&connection, piece));
            assert_eq!(passed.collect::<Vec<u8>>(), own, "{} copies in pieces of {size}", copies.len());
        }
    }
}

#[test]
fn what_only_begins_as_an_earlier_answer_passes() {
    let connection = after(&[b"200 first"]);
    let mut filter = DuplicateAnswerFilter::default();
    assert_eq!(filter.filter(&connection, b"200 f"), b"");
    assert_eq!(filter.filter(&connection, b"our"), b"200 four");
    // The rest of an answer is not looked at, whatever it says.
    assert_eq!(filter.filter(&connection, b"200 first"), b"200 first");
}

#[test]
fn nothing_is_left_out_on_a_new_connection() {
    let mut filter = DuplicateAnswerFilter::default();
    assert_eq!(filter.filter(&ConnectionAnswers::default(), b"200 first"), b"200 first");
}

#[test]
fn a_connection_whose_answer_cannot_be_kept_carries_no_further_call() {
    for answer in [None, Some(Vec::new()), Some(vec![b'x'; MAX_COMPARED_BYTES + 1])] {
        let mut connection = after(&[b"200 first"]);
        assert!(connection.can_carry_call());
        connection.keep_bytes(answer);
        assert!(!connection.can_carry_call());
    }
}
