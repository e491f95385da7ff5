use super::*;
use gullcart_group::types::LeaseTerms;

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
        terms: LeaseTerms::default(),
        disk_bytes: 1 << 20,
        members: voters.chain(others.iter().map(|number| member(*number, false))).collect(),
    }
}

#[test]
fn members_without_a_vote_are_added_and_removed() {
    let changes = diff(&settings(&[4, 5]), &settings(&[5, 6]), 8).unwrap();
    assert_eq!(changes, MemberChanges { added: vec![member(6, false)], removed: vec![MemberId(4)] });
}

#[test]
fn a_member_with_a_new_address_is_removed_and_added() {
    let mut moved = settings(&[4]);
    moved.members[3].address = ([127, 0, 0, 1], 9999).into();
    let changes = diff(&settings(&[4]), &moved, 8).unwrap();
    assert_eq!((changes.added.len(), changes.removed), (1, vec![MemberId(4)]));
}

#[test]
fn voters_fixed_settings_and_capacity_cannot_change() {
    let from = settings(&[4]);
    let none = Ok(MemberChanges::default());
    assert_eq!(diff(&from, &from, 8), none);
    // A new name is not a change.
    let mut renamed = from.clone();
    renamed.members[3].name = "other".to_owned();
    assert_eq!(diff(&from, &renamed, 8), none);
    let mut votes = from.clone();
    votes.members[3].votes = true;
    assert_eq!(diff(&from, &votes, 8), Err(ChangeError::Voters));
    let mut elsewhere = from.clone();
    elsewhere.members[1].address = ([127, 0, 0, 1], 9999).into();
    assert_eq!(diff(&from, &elsewhere, 8), Err(ChangeError::Voters));
    let mut key = from.clone();
    key.key = vec![8; 16];
    assert_eq!(diff(&from, &key, 8), Err(ChangeError::FixedSetting));
    assert_eq!(diff(&from, &settings(&[4, 5, 6]), 5), Err(ChangeError::Capacity { capacity: 5, members: 6 }));
}
