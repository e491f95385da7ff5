//! A member is asked how the group stands, by an operator's tool that knows the group's key.

use crate::frames::{bad, greet, read_frame, write_frame};
use crate::sealed::{Greeting, Opening, Sealed, MOST_FRAME, VERSION};
use crate::settings::{Member, Settings};
use crate::vocabulary::{Status, OPERATOR};
use gullcart_group::door::{Birth, Card};
use gullcart_group::vocabulary::Life;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a member may take in all.
const PATIENCE: Duration = Duration::from_millis(1500);

/// How the group stands, as one member sees it.
pub async fn ask(settings: &Settings, member: &Member) -> io::Result<Status> {
    let asked = timeout(PATIENCE, async {
        let mut stream = TcpStream::connect(member.address).await?;
        let card = Card { member: OPERATOR, birth: Birth(0), life: Life(0), knows_you: None };
        let nonce = fastrand::u128(..);
        let mine = Greeting { version: VERSION, card, to: member.number, group: 0, nonce, answers: None };
        let theirs = greet(&mut stream, &mine, &settings.key).await?;
        let mut sealed = Sealed::new(&settings.key, &mine, &theirs);
        write_frame(&mut stream, &mut sealed, &Opening::Status).await?;
        let bytes = read_frame(&mut stream, MOST_FRAME).await?;
        Sealed::new(&settings.key, &theirs, &mine).read(&bytes).map_err(bad)
    });
    asked.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
