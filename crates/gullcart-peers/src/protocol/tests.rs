use super::*;
use gullcart_group::membership::FolderId;
use gullcart_group::message::{MemberRequest, MemberView, PeerMessage};
use gullcart_group::types::{Incarnation, MemberId};

fn hello(member: u64, to: u64, nonce: u128) -> Hello {
    let handshake = Handshake {
        member: MemberId(member),
        folder_id: FolderId(5),
        incarnation: Incarnation(1),
        expected_folder_id: None,
    };
    Hello { version: PROTOCOL_VERSION, handshake, to, group_id: 3, nonce, reply_to: None }
}

fn request() -> PeerMessage {
    PeerMessage::Request(MemberRequest {
        incarnation: Incarnation(1),
        heartbeat: None,
        claim: None,
        releases: Vec::new(),
        notes: Vec::new(),
        watched_duties: Vec::new(),
    })
}

#[test]
fn hellos_with_another_key_version_or_receiver_are_rejected() {
    let good = hello(1, 2, 9);
    let bytes = good.write(b"key");
    assert_eq!(Hello::read(b"key", &bytes, 2), Ok(good));
    assert_eq!(Hello::read(b"other", &bytes, 2), Err(FrameError::Mac));
    assert_eq!(Hello::read(b"key", &bytes, 3), Err(FrameError::WrongMember));
    assert_eq!(Hello::read(b"key", &bytes[..20], 2), Err(FrameError::Length(20)));
    let later = Hello { version: PROTOCOL_VERSION + 2, ..good };
    assert_eq!(Hello::read(b"key", &later.write(b"key"), 2), Err(FrameError::Version(PROTOCOL_VERSION + 2)));
    let next = Hello { version: PROTOCOL_VERSION + 1, ..good };
    assert_eq!(Hello::read(b"key", &next.write(b"key"), 2), Ok(next));
}

#[test]
fn replayed_replies_and_replies_of_other_members_are_rejected() {
    let call = hello(1, 2, 9);
    let answer = Hello { reply_to: Some(9), ..hello(2, 1, 50) };
    let read = |answer: &Hello| Hello::read_reply(b"key", &answer.write(b"key"), &call);
    assert_eq!(read(&answer), Ok(answer));
    assert_eq!(read(&Hello { reply_to: Some(8), ..answer }), Err(FrameError::Replayed));
    assert_eq!(read(&Hello { reply_to: None, ..answer }), Err(FrameError::Replayed));
    let other = Hello { reply_to: Some(9), ..hello(3, 1, 50) };
    assert_eq!(read(&other), Err(FrameError::WrongMember));
}

#[test]
fn frames_are_accepted_once_in_order_and_on_their_own_connection() {
    let (caller, called) = (hello(1, 2, 9), hello(2, 1, 10));
    let (mut sender, mut receiver) =
        (FrameCodec::new(b"key", &caller, &called), FrameCodec::new(b"key", &caller, &called));
    let (first, second) = (sender.write(&request()).unwrap(), sender.write(&request()).unwrap());
    assert!(receiver.read::<PeerMessage>(&first[4..]).is_ok());
    // A replay of the first frame, and the second frame without the first: each is out of order.
    assert_eq!(receiver.read::<PeerMessage>(&first[4..]).err(), Some(FrameError::Mac));
    let mut other = FrameCodec::new(b"key", &caller, &called);
    assert_eq!(other.read::<PeerMessage>(&second[4..]).err(), Some(FrameError::Mac));
    let mut elsewhere = FrameCodec::new(b"key", &hello(1, 2, 11), &called);
    assert_eq!(elsewhere.read::<PeerMessage>(&first[4..]).err(), Some(FrameError::Mac));
    let mut changed = first.clone();
    *changed.last_mut().unwrap() ^= 1;
    let mut other = FrameCodec::new(b"key", &caller, &called);
    assert_eq!(other.read::<PeerMessage>(&changed[4..]).err(), Some(FrameError::Mac));
    // Nor is a frame accepted in the other direction.
    let mut opposite = FrameCodec::new(b"key", &called, &caller);
    assert_eq!(opposite.read::<PeerMessage>(&first[4..]).err(), Some(FrameError::Mac));
}

#[test]
fn truncated_messages_are_errors() {
    let view = MemberView {
        version: 1,
        session: None,
        newest_incarnation: None,
        held_duties: Vec::new(),
        watched_duties: Vec::new(),
    };
    let payload = postcard::to_allocvec(&PeerMessage::View(view)).unwrap();
    for cut in 0..payload.len() {
        assert!(postcard::from_bytes::<PeerMessage>(&payload[..cut]).is_err());
    }
}
