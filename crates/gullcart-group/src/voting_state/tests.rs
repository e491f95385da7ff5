use super::*;
use crate::membership::{FolderFingerprint, FolderId, FolderOrigin, Handshake};
use crate::types::{Incarnation, MemberId};

const NOW: Moment = Moment(5_000_000);

fn ids() -> Vec<MemberId> {
    (1..=3).map(MemberId).collect()
}

fn handshake(member: u64, expected_folder_id: Option<FolderId>) -> Handshake {
    Handshake {
        member: MemberId(member),
        folder_id: FolderId(member),
        incarnation: Incarnation(1),
        expected_folder_id,
    }
}

/// The membership of a voter that has met the given number of other voters.
fn membership(others: u64) -> Membership {
    let fingerprint = FolderFingerprint { device: 1, inode: 2, created_ns: 3 };
    let mut membership = Membership::new(
        MemberId(1),
        &ids(),
        &ids(),
        FolderOrigin::determine(None, fingerprint, 9, None).into_identity(),
    );
    for other in 2..2 + others {
        membership.admit(handshake(other, None)).unwrap();
    }
    membership
}

#[test]
fn voting_starts_once_all_voters_have_been_met() {
    let mut state = VotingState::new(false, None);
    assert_eq!(state.next_step(NOW, &membership(1), false, true), Some(VotingStep::SaveIdentity));
    assert_eq!(state.next_step(NOW, &membership(1), false, false), None);
    let membership = membership(2);
    assert_eq!(
        state.next_step(NOW, &membership, false, true),
        Some(VotingStep::SaveIdentity),
        "saved before it starts to vote"
    );
    assert_eq!(state.next_step(NOW, &membership, false, false), Some(VotingStep::StartVoting));
    assert_eq!(state.next_step(NOW, &membership, true, false), None);
}

#[test]
fn voting_stops_while_the_folder_fails_and_resumes_from_it() {
    let membership = membership(2);
    let mut state = VotingState::new(true, None);
    state.folder_failed(NOW, "the disk is full");
    assert_eq!(state.problem(), Some("the disk is full"));
    assert_eq!(state.next_step(NOW, &membership, true, false), Some(VotingStep::StopVoting));
    assert_eq!(state.next_step(NOW, &membership, false, true), None, "not at once");
    assert_eq!(
        state.next_step(NOW + REOPEN_INTERVAL, &membership, false, false),
        Some(VotingStep::ReopenFolder)
    );
    state.folder_reopened(ReopenResult::Failed("still full".to_owned()));
    assert_eq!(
        state.next_step(NOW + REOPEN_INTERVAL, &membership, false, false),
        None,
        "only once per interval"
    );
    assert_eq!(
        state.next_step(NOW + REOPEN_INTERVAL * 2, &membership, false, false),
        Some(VotingStep::ReopenFolder)
    );
    state.folder_reopened(ReopenResult::SameFolder);
    // The identity may have changed in the meantime, and is saved before voting.
    assert_eq!(
        state.next_step(NOW + REOPEN_INTERVAL * 2, &membership, false, false),
        Some(VotingStep::SaveIdentity)
    );
    assert_eq!(
        state.next_step(NOW + REOPEN_INTERVAL * 2, &membership, false, false),
        Some(VotingStep::ResumeVoting)
    );
    assert_eq!(
        (state.next_step(NOW + REOPEN_INTERVAL * 2, &membership, true, false), state.problem()),
        (None, None)
    );
}

#[test]
fn a_folder_that_fails_again_while_the_identity_is_saved_is_reopened() {
    let membership = membership(2);
    let mut state = VotingState::new(true, None);
    state.folder_failed(NOW, "full");
    state.next_step(NOW + REOPEN_INTERVAL, &membership, false, false);
    state.folder_reopened(ReopenResult::SameFolder);
    assert_eq!(
        state.next_step(NOW + REOPEN_INTERVAL, &membership, false, false),
        Some(VotingStep::SaveIdentity)
    );
    state.folder_failed(NOW + REOPEN_INTERVAL, "full again");
    assert_eq!(state.next_step(NOW + REOPEN_INTERVAL, &membership, false, false), None);
    assert_eq!(
        state.next_step(NOW + REOPEN_INTERVAL * 2, &membership, false, false),
        Some(VotingStep::ReopenFolder)
    );
    state.folder_reopened(ReopenResult::SameFolder);
    let steps = [(); 2].map(|()| state.next_step(NOW + REOPEN_INTERVAL * 2, &membership, false, false));
    assert_eq!(steps, [Some(VotingStep::SaveIdentity), Some(VotingStep::ResumeVoting)]);
}

#[test]
fn a_replaced_folder_is_never_used_to_vote() {
    let membership = membership(2);
    let mut state = VotingState::new(true, None);
    state.folder_failed(NOW, "gone");
    for seconds in 1..5 {
        assert_eq!(
            state.next_step(NOW + REOPEN_INTERVAL * seconds, &membership, false, false),
            Some(VotingStep::ReopenFolder)
        );
        state.folder_reopened(ReopenResult::DifferentFolder);
    }
    assert!(state.problem().unwrap().contains("was replaced"));
}

/// A voter that cannot continue has made promises, so it may only resume from the folder and never start without state.
#[test]
fn a_lost_voter_resumes_from_its_folder_only() {
    let membership = membership(2);
    let mut state = VotingState::new(true, None);
    assert_eq!(state.next_step(NOW, &membership, false, false), None);
    assert!(!state.is_folder_open());
    assert_eq!(
        state.next_step(NOW + REOPEN_INTERVAL, &membership, false, false),
        Some(VotingStep::ReopenFolder)
    );
}

#[test]
fn a_member_that_is_known_with_another_folder_stops_voting() {
    let mut membership = membership(2);
    let mut state = VotingState::new(true, None);
    assert_eq!(state.next_step(NOW, &membership, true, false), None);
    membership.admit(handshake(2, Some(FolderId(77)))).unwrap();
    assert_eq!(state.next_step(NOW, &membership, true, false), Some(VotingStep::StopVoting));
    assert_eq!(state.next_step(NOW, &membership, false, false), None);
    assert_eq!(state.problem(), Some(DIFFERENT_FOLDER));
}
