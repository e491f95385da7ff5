use super::*;
use gullcart_group::membership::{FolderFingerprint, FolderId, FolderOrigin, Handshake};
use gullcart_group::types::{Incarnation, LeaseTerms};
use tokio::task::LocalSet;

const KEY: &[u8] = b"a key that is for tests alone";

fn settings(listen: SocketAddr) -> Settings {
    let member = |number: u64| crate::settings::Member {
        name: number.to_string(),
        number,
        address: ([127, 0, 0, 1], number as u16).into(),
        votes: true,
    };
    let members = (1..=3).map(member).collect();
    Settings {
        me: MemberId(1),
        listen,
        key: KEY.to_vec(),
        terms: LeaseTerms::default(),
        disk_bytes: 1 << 20,
        members,
    }
}

/// A hello of member 2 may be replayed by anybody who recorded it. The sender is only admitted after it has sent a frame that is
/// authenticated for this very connection.
#[test]
fn a_replayed_hello_is_not_admitted() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let settings = settings(address);
        let identity =
            FolderOrigin::determine(None, FolderFingerprint { device: 1, inode: 1, created_ns: 1 }, 9, None)
                .into_identity();
        let membership =
            Membership::new(settings.me, &settings.member_ids(), &settings.voter_ids(), identity);
        let membership = Rc::new(RefCell::new(membership));
        let (events, _received) = mpsc::channel(16);
        let _connections = open(&settings, listener, membership.clone(), events);
        let handshake = Handshake {
            member: MemberId(2),
            folder_id: FolderId(5),
            incarnation: Incarnation(1),
            expected_folder_id: None,
        };
        let group_id = settings.group_id();
        let replayed =
            Hello { version: PROTOCOL_VERSION, handshake, to: 1, group_id, nonce: 7, reply_to: None };
        let known_folder = || membership.borrow().handshake(MemberId(2)).expected_folder_id;
        let exchange = async |hello: &Hello| {
            let mut stream = TcpStream::connect(address).await.unwrap();
            write_hello(&mut stream, hello, KEY).await.unwrap();
            let bytes = read_frame(&mut stream, MAX_HELLO_BYTES).await.unwrap();
            (stream, Hello::read_reply(KEY, &bytes, hello).unwrap())
        };
        let (mut stream, _) = exchange(&replayed).await;
        stream.write_all(&[&60u32.to_le_bytes()[..], &[0; 60]].concat()).await.unwrap();
        assert!(
            stream.read_u8().await.is_err(),
            "a frame without a valid authentication code closes the connection"
        );
        assert_eq!(known_folder(), None);
        // A member of another group with the same key is rejected.
        let other = Hello { group_id: group_id ^ 1, ..replayed };
        let (mut stream, reply) = exchange(&other).await;
        let mut codec = FrameCodec::new(KEY, &other, &reply);
        write_frame(&mut stream, &mut codec, &ConnectionPurpose::Member).await.unwrap();
        assert!(stream.read_u8().await.is_err());
        assert_eq!(known_folder(), None);
        // With a valid frame, the same hello is admitted.
        let (mut stream, reply) = exchange(&replayed).await;
        let mut codec = FrameCodec::new(KEY, &replayed, &reply);
        write_frame(&mut stream, &mut codec, &ConnectionPurpose::Member).await.unwrap();
        while known_folder().is_none() {
            tokio::task::yield_now().await;
        }
        assert_eq!(known_folder(), Some(FolderId(5)));
    });
}
