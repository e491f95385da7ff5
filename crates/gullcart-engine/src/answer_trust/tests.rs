//! Answers of which some are copies of earlier ones.

use super::*;

fn fingerprint(number: u32) -> Option<Fingerprint> {
    Fingerprint::of(&number.to_le_bytes())
}

#[test]
fn the_first_answer_of_a_connection_counts_whatever_it_says() {
    for answer in [None, fingerprint(1)] {
        let mut answers = ConnectionAnswers::default();
        assert_eq!(answers.accept(answer), Ok(()));
        // Behind one that says nothing no copy could be told from the next answer.
        assert_eq!(answers.allow_another_call(), answer.is_some());
    }
}

#[test]
fn a_copy_of_any_earlier_answer_does_not_count() {
    for copied in 0..3 {
        let mut answers = ConnectionAnswers::default();
        for number in 0..3 {
            assert_eq!(answers.accept(fingerprint(number)), Ok(()));
        }
        assert!(answers.allow_another_call());
        // In another process, too.
        let mut carried = ConnectionAnswers::carried_over(&answers.to_carry());
        for answers in [&mut answers, &mut carried] {
            assert_eq!(answers.accept(fingerprint(copied)), Err(Doubt::Repeated));
            assert!(!answers.allow_another_call());
        }
    }
}

#[test]
fn an_empty_answer_does_not_count_behind_another_one() {
    let mut answers = ConnectionAnswers::default();
    assert_eq!(answers.accept(fingerprint(1)), Ok(()));
    assert_eq!(answers.accept(None), Err(Doubt::Empty));
    assert!(!answers.allow_another_call());
}

#[test]
fn a_connection_carries_a_bounded_number_of_calls() {
    let mut answers = ConnectionAnswers::default();
    let mut calls = 0;
    while answers.allow_another_call() {
        assert_eq!(answers.accept(fingerprint(calls)), Ok(()));
        calls += 1;
    }
    assert_eq!(calls as usize, CALLS_OF_A_CONNECTION);
}

#[test]
fn connections_are_used_again_only_where_answers_differ() {
    let mut endpoint = EndpointAnswers::default();
    for number in 0..LEAST_DIFFERING as u32 {
        assert!(!endpoint.differ(), "after {number}");
        endpoint.observe(fingerprint(number));
    }
    assert!(endpoint.differ());
    // One that was there before begins a new row, and an empty one ends it.
    endpoint.observe(fingerprint(1));
    assert!(!endpoint.differ());
    for number in 10..20 {
        endpoint.observe(fingerprint(number));
    }
    assert!(endpoint.differ());
    endpoint.observe(None);
    assert!(!endpoint.differ());
}

#[test]
fn endpoints_with_few_answers_are_never_trusted_for_long() {
    let mut endpoint = EndpointAnswers::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut doubts = 0;
    for _ in 0..10_000 {
        let answer = fingerprint(rng.u32(..8));
        let is_copy = endpoint.differ();
        endpoint.observe(answer);
        if is_copy {
            endpoint.doubt();
            doubts += 1;
        }
        assert!(endpoint.differing.len() <= MOST_DIFFERING);
    }
    // Sixteen in a row cannot differ where there are eight.
    assert!((1..=2).contains(&doubts), "{doubts}");
}

/// A connection that has brought these answers.
fn after(answers: &[&[u8]]) -> ConnectionAnswers {
    let mut connection = ConnectionAnswers::default();
    for answer in answers {
        assert_eq!(connection.accept(Fingerprint::of(answer)), Ok(()));
        connection.remember(Some(answer.to_vec()));
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
            let mut filter = CopyFilter::default();
            let passed = come.chunks(size).flat_map(|piece| filter.pass(&connection, piece));
            assert_eq!(passed.collect::<Vec<u8>>(), own, "{} copies in pieces of {size}", copies.len());
        }
    }
}

#[test]
fn what_only_begins_as_an_earlier_answer_passes() {
    let connection = after(&[b"200 first"]);
    let mut filter = CopyFilter::default();
    assert_eq!(filter.pass(&connection, b"200 f"), b"");
    assert_eq!(filter.pass(&connection, b"our"), b"200 four");
    // The rest of an answer is not looked at, whatever it says.
    assert_eq!(filter.pass(&connection, b"200 first"), b"200 first");
}

#[test]
fn nothing_is_left_out_on_a_new_connection() {
    let mut filter = CopyFilter::default();
    assert_eq!(filter.pass(&ConnectionAnswers::default(), b"200 first"), b"200 first");
}

#[test]
fn a_connection_whose_answer_cannot_be_kept_carries_no_further_call() {
    for answer in [None, Some(Vec::new()), Some(vec![b'x'; LONGEST_COMPARED + 1])] {
        let mut connection = after(&[b"200 first"]);
        assert!(connection.allow_another_call());
        connection.remember(answer);
        assert!(!connection.allow_another_call());
    }
}
