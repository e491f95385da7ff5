use super::*;
use gullcart_group::door::{Birth, Card, Mark, Origin};
use gullcart_group::vocabulary::{Life, Terms};
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
    Settings { me: MemberId(1), listen, key: KEY.to_vec(), terms: Terms::default(), disk: 1 << 20, members }
}

/// What member 2 said once may be said again by anybody who heard it. It is taken for an old word until who called has shown
/// that it made the code of this very connection.
#[test]
fn a_greeting_of_long_ago_lets_nobody_in() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let settings = settings(address);
        let passport = Origin::of(None, Mark { device: 1, inode: 1, made_ns: 1 }, 9, None).passport();
        let door = Door::new(settings.me, &settings.ids(), &settings.voters(), passport);
        let door = Rc::new(RefCell::new(door));
        let (events, _heard) = mpsc::channel(16);
        let _net = open(&settings, listener, door.clone(), events);
        let card = Card { member: MemberId(2), birth: Birth(5), life: Life(1), knows_you: None };
        let group = settings.group();
        let old = Greeting { version: VERSION, card, to: 1, group, nonce: 7, answers: None };
        let knows = || door.borrow().card(MemberId(2)).knows_you;
        let greeted = async |greeting: &Greeting| {
            let mut stream = TcpStream::connect(address).await.unwrap();
            write_greeting(&mut stream, greeting, KEY).await.unwrap();
            let bytes = read_frame(&mut stream, MOST_GREETING).await.unwrap();
            (stream, Greeting::read_answer(KEY, &bytes, greeting).unwrap())
        };
        let (mut stream, _) = greeted(&old).await;
        stream.write_all(&[&60u32.to_le_bytes()[..], &[0; 60]].concat()).await.unwrap();
        assert!(stream.read_u8().await.is_err(), "it is closed on who cannot make the code");
        assert_eq!(knows(), None);
        // Nor is one let in that belongs to another group with the same key.
        let other = Greeting { group: group ^ 1, ..old };
        let (mut stream, theirs) = greeted(&other).await;
        let mut sealed = Sealed::new(KEY, &other, &theirs);
        write_frame(&mut stream, &mut sealed, &Opening::Member).await.unwrap();
        assert!(stream.read_u8().await.is_err());
        assert_eq!(knows(), None);
        // Who can is let in, with the same words.
        let (mut stream, theirs) = greeted(&old).await;
        let mut sealed = Sealed::new(KEY, &old, &theirs);
        write_frame(&mut stream, &mut sealed, &Opening::Member).await.unwrap();
        while knows().is_none() {
            tokio::task::yield_now().await;
        }
        assert_eq!(knows(), Some(Birth(5)));
    });
}
