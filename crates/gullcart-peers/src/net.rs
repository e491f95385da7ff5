//! Connections between members. Each member opens a connection to each of its peers and only sends on it; it receives on the
//! connections that they open. Messages that cannot be sent are dropped, which the group tolerates.

use crate::frame_io::{exchange_hellos, invalid_data, read_frame, write_frame, write_hello};
use crate::protocol::{
    ConnectionPurpose, FrameCodec, FrameError, Hello, MAC_BYTES, MAX_FRAME_BYTES, MAX_HELLO_BYTES,
    PROTOCOL_VERSION,
};
use crate::roster::MemberChanges;
use crate::settings::Settings;
use crate::types::{Status, OPERATOR};
use gullcart_group::membership::{AdmissionError, Membership};
use gullcart_group::message::PeerMessage;
use gullcart_group::types::MemberId;
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

/// Maximum number of messages queued for one member; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Initial time between two connection attempts; up to half of it is subtracted at random.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum time between two connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Timeout for connecting and exchanging the first frames.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for writing a frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a message after which an empty frame is sent.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time without any frame after which a connection is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(7);
/// Incoming connections allowed in addition to one from each member: for operators, and for members that reconnect before their
/// previous connection is closed.
const EXTRA_CONNECTIONS: usize = 8;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An event for the main loop.
pub enum Event {
    /// A connection to a member was opened.
    Connected(MemberId),
    /// A message from a member.
    Message(MemberId, Box<PeerMessage>),
    /// The identity has changed, for example because a member's folder id was learnt. Only wakes the loop; see
    /// [`Connections::identity_changed`].
    IdentityChanged,
    /// An operator asks for the status.
    StatusRequested(oneshot::Sender<Status>),
}

/// All connections of this member.
pub struct Connections {
    /// The queue of the connection to each member.
    queues: BTreeMap<MemberId, mpsc::Sender<PeerMessage>>,
    context: Rc<ConnectionContext>,
    /// The members to which a connection is open.
    connected_members: Rc<RefCell<BTreeSet<MemberId>>>,
    /// The identity has changed and has to be saved.
    pub identity_changed: Rc<RefCell<bool>>,
}

impl Connections {
    /// Queues a message to a member, if there is a connection to it.
    pub fn send(&self, to: MemberId, message: PeerMessage) {
        if let Some(queue) = self.queues.get(&to) {
            // Dropped if the queue is full.
            let _ = queue.try_send(message);
        }
    }

    /// Connects to added members, and disconnects from removed ones.
    pub fn apply_changes(&mut self, settings: &Settings, changes: &MemberChanges) {
        for removed in &changes.removed {
            // The connection is closed after the queued messages.
            self.queues.remove(removed);
        }
        for member in settings.peers().filter(|member| changes.added.contains(member)) {
            self.open_connection(MemberId(member.number), member.address);
        }
    }

    fn open_connection(&mut self, to: MemberId, address: SocketAddr) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.queues.insert(to, sender);
        spawn_local(maintain_connection(self.context.clone(), to, address, receiver));
    }

    /// The members to which a connection is open.
    pub fn connected_members(&self) -> Vec<MemberId> {
        self.connected_members.borrow().iter().copied().collect()
    }
}

/// State that all connections share.
struct ConnectionContext {
    me: MemberId,
    group_id: u64,
    key: Vec<u8>,
    membership: Rc<RefCell<Membership>>,
    events: mpsc::Sender<Event>,
    connected_members: Rc<RefCell<BTreeSet<MemberId>>>,
    identity_changed: Rc<RefCell<bool>>,
    open_connections: RefCell<usize>,
    max_connections: usize,
}

/// Starts to connect to all peers and to accept connections from them.
pub fn open(
    settings: &Settings,
    listener: std::net::TcpListener,
    membership: Rc<RefCell<Membership>>,
    events: mpsc::Sender<Event>,
) -> Connections {
    let (connected_members, identity_changed) = (Rc::default(), Rc::default());
    let context = Rc::new(ConnectionContext {
        me: settings.me,
        group_id: settings.group_id(),
        key: settings.key.clone(),
        membership,
        events,
        connected_members: Rc::clone(&connected_members),
        identity_changed: Rc::clone(&identity_changed),
        open_connections: RefCell::default(),
        max_connections: settings.member_capacity() + EXTRA_CONNECTIONS,
    });
    spawn_local(accept(listener, context.clone()));
    let mut connections =
        Connections { queues: BTreeMap::new(), context, connected_members, identity_changed };
    for member in settings.peers() {
        connections.open_connection(MemberId(member.number), member.address);
    }
    connections
}

impl ConnectionContext {
    fn hello(&self, to: MemberId, reply_to: Option<u128>) -> Hello {
        let handshake = self.membership.borrow().handshake(to);
        Hello {
            version: PROTOCOL_VERSION,
            handshake,
            to: to.0,
            group_id: self.group_id,
            nonce: fastrand::u128(..),
            reply_to,
        }
    }

    /// Checks the hello of another process.
    fn admit(&self, hello: &Hello) -> io::Result<()> {
        if hello.group_id != self.group_id {
            return Err(invalid_data(FrameError::Group));
        }
        let admitted = self.membership.borrow_mut().admit(hello.handshake);
        match admitted {
            Ok(false) => Ok(()),
            Ok(true) => {
                *self.identity_changed.borrow_mut() = true;
                let _ = self.events.try_send(Event::IdentityChanged);
                Ok(())
            }
            Err(rejection) => Err(io::Error::new(io::ErrorKind::PermissionDenied, rejection)),
        }
    }
}

/// Keeps a connection to one member open, and sends the queued messages on it.
async fn maintain_connection(
    context: Rc<ConnectionContext>,
    to: MemberId,
    address: SocketAddr,
    mut messages: mpsc::Receiver<PeerMessage>,
) {
    let mut backoff = MIN_BACKOFF;
    let mut last_error = String::new();
    loop {
        let connected = timeout(HANDSHAKE_TIMEOUT, connect(&context, to, address)).await;
        match connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok((stream, codec)) => {
                (backoff, last_error) = (MIN_BACKOFF, String::new());
                context.connected_members.borrow_mut().insert(to);
                // Messages that were queued without a connection are outdated by now.
                while messages.try_recv().is_ok() {}
                let _ = context.events.try_send(Event::Connected(to));
                let ended = send_messages(stream, codec, &mut messages).await;
                context.connected_members.borrow_mut().remove(&to);
                match ended {
                    Ok(()) => return,
                    Err(error) => debug!(%to, %error, "the connection to a member has ended"),
                }
            }
            Err(error) => {
                let reason = error.to_string();
                if reason != last_error && error.kind() != io::ErrorKind::ConnectionRefused {
                    warn!(%to, why = reason, "cannot connect to a member");
                }
                last_error = reason;
                if messages.is_closed() {
                    return;
                }
            }
        }
        sleep(backoff.mul_f64(0.5 + 0.5 * fastrand::f64())).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Opens a connection and exchanges hellos.
async fn connect(
    context: &ConnectionContext,
    to: MemberId,
    address: SocketAddr,
) -> io::Result<(TcpStream, FrameCodec)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let own = context.hello(to, None);
    let peer = exchange_hellos(&mut stream, &own, &context.key).await?;
    context.admit(&peer)?;
    let mut codec = FrameCodec::new(&context.key, &own, &peer);
    write_frame(&mut stream, &mut codec, &ConnectionPurpose::Member).await?;
    Ok((stream, codec))
}

/// Sends messages until the connection fails or the queue is closed.
async fn send_messages(
    mut stream: TcpStream,
    mut codec: FrameCodec,
    messages: &mut mpsc::Receiver<PeerMessage>,
) -> io::Result<()> {
    let (mut read_half, mut write_half) = stream.split();
    let mut unused = [0];
    loop {
        let frame = tokio::select! {
            message = messages.recv() => match message {
                Some(message) => codec.write(&message),
                None => return Ok(()),
            },
            // The other side sends nothing on this connection, so a read only returns when it is closed.
            _ = read_half.read(&mut unused) => return Err(io::ErrorKind::ConnectionReset.into()),
            () = sleep(KEEPALIVE_INTERVAL) => Some(0u32.to_le_bytes().to_vec()),
        };
        if let Some(frame) = frame {
            timeout(WRITE_TIMEOUT, write_half.write_all(&frame)).await??;
        }
    }
}

/// Accepts connections from members and operators.
async fn accept(listener: std::net::TcpListener, context: Rc<ConnectionContext>) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if *context.open_connections.borrow() >= context.max_connections {
            continue;
        }
        *context.open_connections.borrow_mut() += 1;
        let context = context.clone();
        spawn_local(async move {
            if let Err(error) = serve_connection(stream, &context).await {
                if !matches!(error.kind(), io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset) {
                    debug!(%error, "an incoming connection was rejected or has failed");
                }
            }
            *context.open_connections.borrow_mut() -= 1;
        });
    }
}

/// Sends the status to an operator's tool.
async fn send_status(
    mut stream: TcpStream,
    context: &ConnectionContext,
    mut codec: FrameCodec,
) -> io::Result<()> {
    let (reply, response) = oneshot::channel();
    let status = timeout(HANDSHAKE_TIMEOUT, async {
        context.events.send(Event::StatusRequested(reply)).await.ok()?;
        response.await.ok()
    });
    let Some(status) = status.await? else { return Ok(()) };
    timeout(HANDSHAKE_TIMEOUT, write_frame(&mut stream, &mut codec, &status)).await??;
    stream.shutdown().await
}

/// Serves a connection that another process has opened.
async fn serve_connection(mut stream: TcpStream, context: &ConnectionContext) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let opened = timeout(HANDSHAKE_TIMEOUT, async {
        let bytes = read_frame(&mut stream, MAX_HELLO_BYTES).await?;
        let peer = Hello::read(&context.key, &bytes, context.me.0).map_err(invalid_data)?;
        let own = context.hello(peer.handshake.member, Some(peer.nonce));
        // Sent before the other side is admitted, so that it learns if it is known with another folder.
        write_hello(&mut stream, &own, &context.key).await?;
        let mut codec = FrameCodec::new(&context.key, &peer, &own);
        let bytes = read_frame(&mut stream, MAX_HELLO_BYTES).await?;
        let purpose: ConnectionPurpose = codec.read(&bytes).map_err(invalid_data)?;
        Ok::<_, io::Error>((peer, own, codec, purpose))
    });
    let (peer, own, mut codec, purpose) = opened.await??;
    let from = peer.handshake.member;
    match (purpose, from == OPERATOR) {
        (ConnectionPurpose::Status, true) => {
            return send_status(stream, context, FrameCodec::new(&context.key, &own, &peer)).await
        }
        (ConnectionPurpose::Member, false) => context.admit(&peer)?,
        _ => return Err(invalid_data(FrameError::Malformed)),
    }
    loop {
        let length = timeout(READ_TIMEOUT, stream.read_u32_le()).await?? as usize;
        if length == 0 {
            continue;
        }
        if !(MAC_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return Err(invalid_data(FrameError::Length(length)));
        }
        let mut bytes = vec![0; length];
        timeout(READ_TIMEOUT, stream.read_exact(&mut bytes)).await??;
        let message: PeerMessage = codec.read(&bytes).map_err(invalid_data)?;
        if !context.membership.borrow().is_member(from) {
            return Err(io::Error::new(io::ErrorKind::PermissionDenied, AdmissionError::NotMember(from)));
        }
        if context.events.send(Event::Message(from, Box::new(message))).await.is_err() {
            return Ok(());
        }
    }
}

#[cfg(test)]
mod tests;
