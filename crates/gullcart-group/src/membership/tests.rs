use super::*;

fn fingerprint(inode: u64) -> FolderFingerprint {
    FolderFingerprint { device: 1, inode, created_ns: 5 }
}

fn ids() -> Vec<MemberId> {
    (1..=3).map(MemberId).collect()
}

fn membership(me: u64, stored: Option<ReplicaIdentity>, inode: u64, random_id: u64) -> Membership {
    Membership::new(
        MemberId(me),
        &ids(),
        &ids(),
        FolderOrigin::determine(stored, fingerprint(inode), random_id, None).into_identity(),
    )
}

/// Lets two members check each other's handshakes.
fn introduce(
    one: &mut Membership,
    other: &mut Membership,
) -> (Result<bool, AdmissionError>, Result<bool, AdmissionError>) {
    let (a, b) = (one.handshake(other.me), other.handshake(one.me));
    (one.admit(b), other.admit(a))
}

/// A group of three voters that have all met.
fn group() -> Vec<Membership> {
    let mut memberships: Vec<Membership> = (1..=3).map(|me| membership(me, None, me, 100 + me)).collect();
    let (one, rest) = memberships.split_at_mut(1);
    let (two, three) = rest.split_at_mut(1);
    introduce(&mut one[0], &mut two[0]).0.unwrap();
    assert!(!one[0].may_vote(), "the third voter may know another folder id");
    introduce(&mut one[0], &mut three[0]).0.unwrap();
    introduce(&mut two[0], &mut three[0]).0.unwrap();
    memberships
}

#[test]
fn voters_may_vote_once_all_have_met_and_after_a_restart() {
    let memberships = group();
    assert!(memberships.iter().all(Membership::may_vote));
    let restarted = membership(1, Some(memberships[0].identity().clone()), 1, 7);
    assert!(restarted.may_vote());
    assert_eq!(restarted.identity().incarnation, Incarnation(2));
}

#[test]
fn a_voter_that_lost_its_folder_may_not_vote() {
    let mut memberships = group();
    let mut lost = membership(1, None, 9, 555);
    let (by_lost, by_other) = introduce(&mut lost, &mut memberships[1]);
    assert_eq!((by_lost, by_other), (Ok(true), Err(AdmissionError::DifferentFolder(MemberId(1)))));
    assert!(lost.has_different_folder() && !lost.may_vote());
    // Not even if another voter lost its folder as well: the third one has not confirmed them.
    let (mut one, mut two) = (membership(1, None, 9, 555), membership(2, None, 8, 556));
    introduce(&mut one, &mut two).0.unwrap();
    assert!(!one.may_vote() && !two.may_vote());
}

#[test]
fn a_restored_folder_gets_a_new_identity() {
    let memberships = group();
    let stored = memberships[0].identity().clone();
    let origin = FolderOrigin::determine(Some(stored.clone()), fingerprint(77), 9, None);
    assert!(
        matches!(&origin, FolderOrigin::Copied(new) if new.folder_id != stored.folder_id && !new.is_confirmed)
    );
    // The inode number was reused for another file.
    let later = FolderFingerprint { created_ns: 6, ..fingerprint(1) };
    assert!(matches!(FolderOrigin::determine(Some(stored), later, 9, None), FolderOrigin::Copied(_)));
}

#[test]
fn only_the_process_that_is_handed_a_folder_continues_its_incarnation() {
    let first = FolderOrigin::determine(None, fingerprint(1), 9, None).into_identity();
    let left_version = Some(first.folder_version());
    let next = FolderOrigin::determine(Some(first.clone()), fingerprint(1), 9, left_version);
    assert!(
        matches!(&next, FolderOrigin::HandedOver(next) if next.incarnation == first.incarnation && next.handovers == 1)
    );
    // The process that handed over starts again, after another one has continued.
    let next = next.into_identity();
    let back = FolderOrigin::determine(Some(next.clone()), fingerprint(1), 9, left_version);
    assert!(
        matches!(&back, FolderOrigin::Unchanged(back) if back.incarnation.0 == first.incarnation.0 + 1 && back.handovers == 0)
    );
    // It starts again, and no other process has continued.
    assert!(matches!(
        FolderOrigin::determine(Some(first.clone()), fingerprint(1), 9, left_version),
        FolderOrigin::HandedOver(_)
    ));
    // A copy of the folder is never continued.
    assert!(matches!(
        FolderOrigin::determine(Some(first), fingerprint(2), 9, left_version),
        FolderOrigin::Copied(_)
    ));
}

#[test]
fn unknown_and_duplicate_members_are_rejected() {
    let mut memberships = group();
    let handshake = Handshake {
        member: MemberId(8),
        folder_id: FolderId(1),
        incarnation: Incarnation(1),
        expected_folder_id: None,
    };
    assert_eq!(memberships[0].admit(handshake), Err(AdmissionError::NotMember(MemberId(8))));
    let duplicate = memberships[0].handshake(MemberId(2));
    assert_eq!(memberships[0].admit(duplicate), Err(AdmissionError::DuplicateMember(MemberId(1))));
}
