use super::*;
use gullcart_group::vocabulary::Terms;

fn member(number: u64, votes: bool) -> Member {
    let port = 7000 + number as u16;
    Member { name: format!("m{number}"), number, address: ([127, 0, 0, 1], port).into(), votes }
}

fn settings(others: &[u64]) -> Settings {
    let voters = (1..=3).map(|number| member(number, true));
    Settings {
        me: MemberId(1),
        listen: ([127, 0, 0, 1], 7001).into(),
        key: vec![7; 16],
        terms: Terms::default(),
        disk: 1 << 20,
        members: voters.chain(others.iter().map(|number| member(*number, false))).collect(),
    }
}

#[test]
fn members_without_a_vote_come_and_go() {
    let change = change(&settings(&[4, 5]), &settings(&[5, 6]), 8).unwrap();
    assert_eq!(change, Change { added: vec![member(6, false)], removed: vec![MemberId(4)] });
}

#[test]
fn one_that_is_found_elsewhere_goes_and_comes() {
    let mut moved = settings(&[4]);
    moved.members[3].address = ([127, 0, 0, 1], 9999).into();
    let change = change(&settings(&[4]), &moved, 8).unwrap();
    assert_eq!((change.added.len(), change.removed), (1, vec![MemberId(4)]));
}

#[test]
fn what_all_must_have_alike_does_not_change() {
    let from = settings(&[4]);
    let none = Ok(Change::default());
    assert_eq!(change(&from, &from, 8), none);
    // Another name is no change.
    let mut renamed = from.clone();
    renamed.members[3].name = "other".to_owned();
    assert_eq!(change(&from, &renamed, 8), none);
    let mut votes = from.clone();
    votes.members[3].votes = true;
    assert_eq!(change(&from, &votes, 8), Err(Refused::Voters));
    let mut elsewhere = from.clone();
    elsewhere.members[1].address = ([127, 0, 0, 1], 9999).into();
    assert_eq!(change(&from, &elsewhere, 8), Err(Refused::Voters));
    let mut key = from.clone();
    key.key = vec![8; 16];
    assert_eq!(change(&from, &key, 8), Err(Refused::Own));
    assert_eq!(change(&from, &settings(&[4, 5, 6]), 5), Err(Refused::Room { room: 5, members: 6 }));
}
