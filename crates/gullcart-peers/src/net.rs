//! Connections of a group: each member calls each other one, says what it has to say on that connection, and hears on those
//! that the others opened. What cannot be said is lost, which the group is made for.

use crate::frames::{bad, greet, read_frame, write_frame, write_greeting};
use crate::roster::Change;
use crate::sealed::{Greeting, Opening, SealError, Sealed, CODE, MOST_FRAME, MOST_GREETING, VERSION};
use crate::settings::Settings;
use crate::vocabulary::{Status, OPERATOR};
use gullcart_group::door::{Door, Turned};
use gullcart_group::say::Say;
use gullcart_group::vocabulary::MemberId;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

/// Words to one member that wait to be said; more are lost.
const WAITING: usize = 1024;
/// Between two calls to a member that cannot be reached, at first and at most; a chance part of it is taken off.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// How long a call, and the first words, may take.
const PATIENCE: Duration = Duration::from_millis(800);
/// How long what was written may not be taken by the other side.
const STALLED: Duration = Duration::from_secs(2);
/// A connection on which nothing was said for so long gets an empty frame, and one on which nothing came for longer is closed.
const QUIET: Duration = Duration::from_secs(2);
const SILENT: Duration = Duration::from_secs(7);
/// Connections from operators, and from members whose connection before is not closed yet, beside one from each member; and
/// between two that cannot be accepted.
const MORE_CALLERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(20);

/// What the loop hears.
pub enum Event {
    /// A connection to a member is up.
    Met(MemberId),
    /// A member said something.
    Said(MemberId, Box<Say>),
    /// Somebody was met for the first time.
    Changed,
    /// An operator asks how the group stands.
    Asked(oneshot::Sender<Status>),
}

/// The connections.
pub struct Net {
    out: BTreeMap<MemberId, mpsc::Sender<Say>>,
    site: Rc<Site>,
    reached: Rc<RefCell<BTreeSet<MemberId>>>,
    /// The door has learnt something that is to be kept.
    pub is_changed: Rc<RefCell<bool>>,
}

impl Net {
    /// Says something to a member, if it can be reached.
    pub fn send(&self, to: MemberId, say: Say) {
        if let Some(out) = self.out.get(&to) {
            // What finds no place is lost.
            let _ = out.try_send(say);
        }
    }

    /// Talks to others from now on, and no more to some.
    pub fn follow(&mut self, settings: &Settings, change: &Change) {
        for gone in &change.removed {
            // Its connection ends with what there is to say.
            self.out.remove(gone);
        }
        for member in settings.talks_to().filter(|member| change.added.contains(member)) {
            self.talk_to(MemberId(member.number), member.address);
        }
    }

    fn talk_to(&mut self, to: MemberId, address: SocketAddr) {
        let (say, said) = mpsc::channel(WAITING);
        self.out.insert(to, say);
        spawn_local(call(self.site.clone(), to, address, said));
    }

    /// Members that can be talked to.
    pub fn reached(&self) -> Vec<MemberId> {
        self.reached.borrow().iter().copied().collect()
    }
}

/// What all connections share.
struct Site {
    me: MemberId,
    group: u64,
    key: Vec<u8>,
    door: Rc<RefCell<Door>>,
    events: mpsc::Sender<Event>,
    reached: Rc<RefCell<BTreeSet<MemberId>>>,
    is_changed: Rc<RefCell<bool>>,
    callers: RefCell<usize>,
    most_callers: usize,
}

/// Calls all others, and hears those that call.
pub fn open(
    settings: &Settings,
    listener: std::net::TcpListener,
    door: Rc<RefCell<Door>>,
    events: mpsc::Sender<Event>,
) -> Net {
    let (reached, is_changed) = (Rc::default(), Rc::default());
    let site = Rc::new(Site {
        me: settings.me,
        group: settings.group(),
        key: settings.key.clone(),
        door,
        events,
        reached: Rc::clone(&reached),
        is_changed: Rc::clone(&is_changed),
        callers: RefCell::default(),
        most_callers: settings.room() + MORE_CALLERS,
    });
    spawn_local(accept(listener, site.clone()));
    let mut net = Net { out: BTreeMap::new(), site, reached, is_changed };
    for member in settings.talks_to() {
        net.talk_to(MemberId(member.number), member.address);
    }
    net
}

impl Site {
    fn greeting(&self, to: MemberId, answers: Option<u128>) -> Greeting {
        let card = self.door.borrow().card(to);
        Greeting { version: VERSION, card, to: to.0, group: self.group, nonce: fastrand::u128(..), answers }
    }

    /// Lets somebody in, or not.
    fn meet(&self, greeting: &Greeting) -> io::Result<()> {
        if greeting.group != self.group {
            return Err(bad(SealError::Group));
        }
        let met = self.door.borrow_mut().meet(greeting.card);
        match met {
            Ok(false) => Ok(()),
            Ok(true) => {
                *self.is_changed.borrow_mut() = true;
                let _ = self.events.try_send(Event::Changed);
                Ok(())
            }
            Err(turned) => Err(io::Error::new(io::ErrorKind::PermissionDenied, turned)),
        }
    }
}

/// Keeps a connection to one member, and says on it what there is to say.
async fn call(site: Rc<Site>, to: MemberId, address: SocketAddr, mut said: mpsc::Receiver<Say>) {
    let mut wait = BACK_OFF.0;
    let mut last = String::new();
    loop {
        let called = timeout(PATIENCE, begin(&site, to, address)).await;
        match called.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok((stream, sealed)) => {
                (wait, last) = (BACK_OFF.0, String::new());
                site.reached.borrow_mut().insert(to);
                // What waited was said to nobody, and is old by now.
                while said.try_recv().is_ok() {}
                let _ = site.events.try_send(Event::Met(to));
                let ended = talk(stream, sealed, &mut said).await;
                site.reached.borrow_mut().remove(&to);
                match ended {
                    Ok(()) => return,
                    Err(error) => debug!(%to, %error, "the connection to a member has ended"),
                }
            }
            Err(error) => {
                let why = error.to_string();
                if why != last && error.kind() != io::ErrorKind::ConnectionRefused {
                    warn!(%to, why, "a member cannot be talked to");
                }
                last = why;
                if said.is_closed() {
                    return;
                }
            }
        }
        sleep(wait.mul_f64(0.5 + 0.5 * fastrand::f64())).await;
        wait = (wait * 2).min(BACK_OFF.1);
    }
}

async fn begin(site: &Site, to: MemberId, address: SocketAddr) -> io::Result<(TcpStream, Sealed)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mine = site.greeting(to, None);
    let theirs = greet(&mut stream, &mine, &site.key).await?;
    site.meet(&theirs)?;
    let mut sealed = Sealed::new(&site.key, &mine, &theirs);
    write_frame(&mut stream, &mut sealed, &Opening::Member).await?;
    Ok((stream, sealed))
}

/// Says what there is to say until the connection fails, or nothing will ever be said again.
async fn talk(mut stream: TcpStream, mut sealed: Sealed, said: &mut mpsc::Receiver<Say>) -> io::Result<()> {
    let (mut back, mut out) = stream.split();
    let mut nothing = [0];
    loop {
        let frame = tokio::select! {
            say = said.recv() => match say {
                Some(say) => sealed.write(&say),
                None => return Ok(()),
            },
            // Nothing comes on this one but its end.
            _ = back.read(&mut nothing) => return Err(io::ErrorKind::ConnectionReset.into()),
            () = sleep(QUIET) => Some(0u32.to_le_bytes().to_vec()),
        };
        if let Some(frame) = frame {
            timeout(STALLED, out.write_all(&frame)).await??;
        }
    }
}

async fn accept(listener: std::net::TcpListener, site: Rc<Site>) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        if *site.callers.borrow() >= site.most_callers {
            continue;
        }
        *site.callers.borrow_mut() += 1;
        let site = site.clone();
        spawn_local(async move {
            if let Err(error) = hear(stream, &site).await {
                if !matches!(error.kind(), io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset) {
                    debug!(%error, "a caller was turned away, or its connection failed");
                }
            }
            *site.callers.borrow_mut() -= 1;
        });
    }
}

/// Tells an operator how the group stands.
async fn answer(mut stream: TcpStream, site: &Site, mut sealed: Sealed) -> io::Result<()> {
    let (reply, told) = oneshot::channel();
    let status = timeout(PATIENCE, async {
        site.events.send(Event::Asked(reply)).await.ok()?;
        told.await.ok()
    });
    let Some(status) = status.await? else { return Ok(()) };
    timeout(PATIENCE, write_frame(&mut stream, &mut sealed, &status)).await??;
    stream.shutdown().await
}

async fn hear(mut stream: TcpStream, site: &Site) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let opened = timeout(PATIENCE, async {
        let bytes = read_frame(&mut stream, MOST_GREETING).await?;
        let theirs = Greeting::read(&site.key, &bytes, site.me.0).map_err(bad)?;
        let mine = site.greeting(theirs.card.member, Some(theirs.nonce));
        // It is told who this is before it is let in: it may have to learn that it is known by another folder.
        write_greeting(&mut stream, &mine, &site.key).await?;
        let mut sealed = Sealed::new(&site.key, &theirs, &mine);
        let bytes = read_frame(&mut stream, MOST_GREETING).await?;
        let opening: Opening = sealed.read(&bytes).map_err(bad)?;
        Ok::<_, io::Error>((theirs, mine, sealed, opening))
    });
    let (theirs, mine, mut sealed, opening) = opened.await??;
    let from = theirs.card.member;
    match (opening, from == OPERATOR) {
        (Opening::Status, true) => return answer(stream, site, Sealed::new(&site.key, &mine, &theirs)).await,
        (Opening::Member, false) => site.meet(&theirs)?,
        _ => return Err(bad(SealError::Unreadable)),
    }
    loop {
        let length = timeout(SILENT, stream.read_u32_le()).await?? as usize;
        if length == 0 {
            continue;
        }
        if !(CODE..=MOST_FRAME).contains(&length) {
            return Err(bad(SealError::Length(length)));
        }
        let mut bytes = vec![0; length];
        timeout(SILENT, stream.read_exact(&mut bytes)).await??;
        let say: Say = sealed.read(&bytes).map_err(bad)?;
        if !site.door.borrow().is_member(from) {
            return Err(io::Error::new(io::ErrorKind::PermissionDenied, Turned::Stranger(from)));
        }
        if site.events.send(Event::Said(from, Box::new(say))).await.is_err() {
            return Ok(());
        }
    }
}

#[cfg(test)]
mod tests;
