use super::*;
use gullcart_group::door::Birth;
use gullcart_group::say::{Ask, Say, View};
use gullcart_group::vocabulary::{Life, MemberId};

fn greeting(member: u64, to: u64, nonce: u128) -> Greeting {
    let card = Card { member: MemberId(member), birth: Birth(5), life: Life(1), knows_you: None };
    Greeting { version: VERSION, card, to, group: 3, nonce, answers: None }
}

fn say() -> Say {
    Say::Ask(Ask {
        life: Life(1),
        beat: None,
        claim: None,
        releases: Vec::new(),
        notes: Vec::new(),
        watches: Vec::new(),
    })
}

#[test]
fn greetings_of_another_key_version_or_receiver_are_refused() {
    let good = greeting(1, 2, 9);
    let bytes = good.write(b"key");
    assert_eq!(Greeting::read(b"key", &bytes, 2), Ok(good));
    assert_eq!(Greeting::read(b"other", &bytes, 2), Err(SealError::Code));
    assert_eq!(Greeting::read(b"key", &bytes, 3), Err(SealError::Receiver));
    assert_eq!(Greeting::read(b"key", &bytes[..20], 2), Err(SealError::Length(20)));
    let later = Greeting { version: VERSION + 2, ..good };
    assert_eq!(Greeting::read(b"key", &later.write(b"key"), 2), Err(SealError::Version(VERSION + 2)));
    let next = Greeting { version: VERSION + 1, ..good };
    assert_eq!(Greeting::read(b"key", &next.write(b"key"), 2), Ok(next));
}

#[test]
fn an_answer_of_long_ago_or_of_another_member_is_none() {
    let call = greeting(1, 2, 9);
    let answer = Greeting { answers: Some(9), ..greeting(2, 1, 50) };
    let read = |answer: &Greeting| Greeting::read_answer(b"key", &answer.write(b"key"), &call);
    assert_eq!(read(&answer), Ok(answer));
    assert_eq!(read(&Greeting { answers: Some(8), ..answer }), Err(SealError::Old));
    assert_eq!(read(&Greeting { answers: None, ..answer }), Err(SealError::Old));
    let other = Greeting { answers: Some(9), ..greeting(3, 1, 50) };
    assert_eq!(read(&other), Err(SealError::Receiver));
}

#[test]
fn frames_pass_once_in_their_order_and_on_their_connection_alone() {
    let (caller, called) = (greeting(1, 2, 9), greeting(2, 1, 10));
    let (mut out, mut back) = (Sealed::new(b"key", &caller, &called), Sealed::new(b"key", &caller, &called));
    let (first, second) = (out.write(&say()).unwrap(), out.write(&say()).unwrap());
    assert!(back.read::<Say>(&first[4..]).is_ok());
    // Again, and then what comes behind it: each is out of its turn.
    assert_eq!(back.read::<Say>(&first[4..]).err(), Some(SealError::Code));
    let mut other = Sealed::new(b"key", &caller, &called);
    assert_eq!(other.read::<Say>(&second[4..]).err(), Some(SealError::Code));
    let mut elsewhere = Sealed::new(b"key", &greeting(1, 2, 11), &called);
    assert_eq!(elsewhere.read::<Say>(&first[4..]).err(), Some(SealError::Code));
    let mut changed = first.clone();
    *changed.last_mut().unwrap() ^= 1;
    let mut other = Sealed::new(b"key", &caller, &called);
    assert_eq!(other.read::<Say>(&changed[4..]).err(), Some(SealError::Code));
    // Nor back on the way it came.
    let mut answers = Sealed::new(b"key", &called, &caller);
    assert_eq!(answers.read::<Say>(&first[4..]).err(), Some(SealError::Code));
}

#[test]
fn what_cannot_be_read_is_an_error_whatever_it_is() {
    let view = View { version: 1, session: None, newest_life: None, holds: Vec::new(), watched: Vec::new() };
    let words = postcard::to_allocvec(&Say::View(view)).unwrap();
    for cut in 0..words.len() {
        assert!(postcard::from_bytes::<Say>(&words[..cut]).is_err());
    }
}
