//! The socket over which a running courier is handed over to a process that was started beside it. The protocol is defined in
//! `gullcart-handover`; this module transfers its bytes and the descriptors. The courier is stopped meanwhile, so the transfer
//! uses blocking calls with timeouts.

use gullcart_handover::{
    decode_header, decode_state, encode, handshake, FrameError, HandoverAction, HandoverEvent,
    HandoverSender, HandoverState, HEADER_BYTES, MAX_DESCRIPTORS,
};
use rustix::io::Errno;
use rustix::net::{
    recv, recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::{SocketAddr, UnixListener, UnixStream};
use std::path::Path;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::console::ControlRequest;

/// Descriptors in one message of the socket.
const DESCRIPTORS_PER_MESSAGE: usize = 64;
/// How long the new process waits for each part of what the old one sends, which may be in another hand-over.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the running process waits for the first handshake byte of a new one.
const HELLO_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between attempts to bind the socket's name, which a previous process may still hold.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Why a hand-over failed.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// The socket failed, or the other process did not answer in time.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The state cannot be read.
    #[error("the message received is not a valid hand-over: {0}")]
    Frame(#[from] FrameError),
    /// The other process runs as another user.
    #[error("the other process belongs to another user")]
    ForeignUser,
    /// The other process does not follow the protocol.
    #[error("the other process sent an unexpected handshake byte")]
    UnexpectedByte,
    /// The number of descriptors received differs from the state's.
    #[error("{0} descriptors received, but {1} announced")]
    Descriptors(usize, usize),
}

impl HandoverError {
    /// Whether another hand-over may succeed: a process was silent for too long, or has ended.
    pub fn is_transient(&self) -> bool {
        match self {
            HandoverError::Io(_) | HandoverError::Descriptors(..) => true,
            HandoverError::Frame(_) | HandoverError::ForeignUser | HandoverError::UnexpectedByte => false,
        }
    }
}

/// The address of the couriers of a folder, in the abstract namespace: it disappears with its process.
fn socket_address(state_folder: &Path) -> io::Result<SocketAddr> {
    let folder = std::fs::metadata(state_folder)?;
    SocketAddr::from_abstract_name(format!("gullcart-move-{}-{}", folder.dev(), folder.ino()))
}

/// Whether the other process runs as the same user.
fn is_same_user(stream: &UnixStream) -> io::Result<bool> {
    Ok(rustix::net::sockopt::socket_peercred(stream)?.uid == rustix::process::geteuid())
}

/// The old process's side of a connection, on which no step outlasts a deadline: the courier stands still meanwhile.
struct DeadlineStream {
    stream: UnixStream,
    deadline: Instant,
}

impl DeadlineStream {
    /// Time until the deadline; an error if it has passed.
    fn remaining(&self) -> io::Result<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        match remaining.is_zero() {
            true => Err(io::ErrorKind::TimedOut.into()),
            false => Ok(remaining),
        }
    }

    /// Limits the next write to the time that remains.
    fn limit_write(&self) -> io::Result<()> {
        self.stream.set_write_timeout(Some(self.remaining()?))
    }
}

impl Read for DeadlineStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(self.remaining()?))?;
        self.stream.read(buffer)
    }
}

impl Write for DeadlineStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.limit_write()?;
        self.stream.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sends a handshake byte.
fn send_byte(stream: &mut impl Write, byte: u8) -> io::Result<()> {
    stream.write_all(&[byte])
}

/// Receives the handshake byte `expected`; any other byte is an error.
fn expect_byte(stream: &mut impl Read, expected: u8) -> Result<(), HandoverError> {
    let mut received = [0];
    stream.read_exact(&mut received)?;
    if received[0] == expected {
        Ok(())
    } else {
        Err(HandoverError::UnexpectedByte)
    }
}

/// Accepts new processes and passes their connections to the driver, one at a time, until the task is dropped. Runs as long as
/// this process owns the courier, also during a hand-over that may fail; further processes wait in the queue.
pub async fn listen(state_folder: &Path, requests: mpsc::Sender<ControlRequest>) {
    let listener = loop {
        match socket_address(state_folder).and_then(|address| UnixListener::bind_addr(&address)) {
            Ok(listener) => break listener,
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => sleep(BIND_RETRY_INTERVAL).await,
            Err(error) => {
                return warn!(%error, "cannot accept hand-overs: a later version cannot take over while this process runs")
            }
        }
    };
    let listener = listener.set_nonblocking(true).and_then(|()| tokio::net::UnixListener::from_std(listener));
    let Ok(listener) = listener else {
        return warn!("cannot accept hand-overs: a later version cannot take over while this process runs");
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(stream) = stream.into_std() else { continue };
                // Processes of other users are refused before they can delay the driver, which waits for the first byte.
                if !is_same_user(&stream).unwrap_or(false) {
                    warn!("a process of another user asked for a hand-over");
                } else if requests.send(ControlRequest::HandOver(stream)).await.is_err() {
                    return;
                }
            }
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}

/// Waits briefly for the first handshake byte of a process that asks for the courier; false if it is missing or wrong.
pub fn receive_hello(stream: &mut UnixStream) -> bool {
    let configured =
        stream.set_nonblocking(false).and_then(|()| stream.set_read_timeout(Some(HELLO_TIMEOUT)));
    configured.is_ok() && expect_byte(stream, handshake::HELLO).is_ok()
}

/// Hands the courier over to the process that asks for it, which has to serve by `deadline`. `release` releases the lock of the
/// folder. Returns what to do next. The connection is closed then, which a new process relies on: see
/// [`ArrivedCourier::is_withdrawn`].
pub fn hand_over(
    stream: UnixStream,
    state: &HandoverState,
    descriptors: &[OwnedFd],
    deadline: Instant,
    release: impl FnOnce(),
) -> HandoverAction {
    let mut stream = DeadlineStream { stream, deadline };
    let mut sender = HandoverSender::default();
    sender.handle(HandoverEvent::Hello);
    let sent = send_state(&mut stream, state, descriptors)
        .and_then(|()| expect_byte(&mut stream, handshake::ACCEPTED));
    if let Err(error) = sent {
        warn!(%error, "the courier stays in this process");
        return sender.handle(HandoverEvent::ReceiverFailed);
    }
    sender.handle(HandoverEvent::Accepted);
    release();
    sender.handle(HandoverEvent::LockReleased);
    let served = send_byte(&mut stream, handshake::LOCK_RELEASED)
        .map_err(HandoverError::from)
        .and_then(|()| expect_byte(&mut stream, handshake::SERVING));
    match served {
        Ok(()) => sender.handle(HandoverEvent::Serving),
        Err(error) => {
            warn!(%error, "the new process does not serve; the courier is resumed in this one");
            sender.handle(HandoverEvent::ReceiverFailed)
        }
    }
}

/// Sends the state and then the descriptors.
fn send_state(
    stream: &mut DeadlineStream,
    state: &HandoverState,
    descriptors: &[OwnedFd],
) -> Result<(), HandoverError> {
    stream.write_all(&encode(state)?)?;
    for batch in descriptors.chunks(DESCRIPTORS_PER_MESSAGE) {
        let batch: Vec<_> = batch.iter().map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_PER_MESSAGE))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&batch));
        stream.limit_write()?;
        sendmsg(&stream.stream, &[IoSlice::new(b"d")], &mut control, SendFlags::NOSIGNAL)
            .map_err(io::Error::from)?;
    }
    Ok(())
}

/// The result of asking for a courier.
pub enum RequestOutcome {
    /// The courier has been received.
    Arrived(Box<ArrivedCourier>),
    /// No process handed its courier over: none runs, it is shutting down, or it is in another hand-over. It may be asked
    /// again.
    Unavailable,
}

/// A courier that was received and still belongs to the previous process until [`ArrivedCourier::accept`].
pub struct ArrivedCourier {
    stream: UnixStream,
    /// The courier's state.
    pub state: HandoverState,
    /// Its descriptors, in the order in which the state lists them.
    pub descriptors: Vec<OwnedFd>,
}

impl ArrivedCourier {
    /// Asks the process that holds the folder for its courier. An error means that the transfer had started.
    pub fn request(state_folder: &Path) -> Result<RequestOutcome, HandoverError> {
        let mut stream = match UnixStream::connect_addr(&socket_address(state_folder)?) {
            Ok(stream) => stream,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Ok(RequestOutcome::Unavailable)
            }
            Err(error) => return Err(error.into()),
        };
        if !is_same_user(&stream)? {
            return Err(HandoverError::ForeignUser);
        }
        stream.set_read_timeout(Some(PEER_TIMEOUT))?;
        stream.set_write_timeout(Some(PEER_TIMEOUT))?;
        let mut header = [0; HEADER_BYTES];
        if send_byte(&mut stream, handshake::HELLO).and_then(|()| stream.read_exact(&mut header)).is_err() {
            return Ok(RequestOutcome::Unavailable);
        }
        let header = decode_header(&header)?;
        let mut body = vec![0; header.length];
        stream.read_exact(&mut body)?;
        let state = decode_state(header, &body)?;
        let announced = state.descriptor_count();
        let mut descriptors = Vec::with_capacity(announced.min(MAX_DESCRIPTORS));
        while descriptors.len() < announced {
            let previous_count = descriptors.len();
            receive_descriptors(&stream, &mut descriptors)?;
            if descriptors.len() == previous_count || descriptors.len() > announced {
                return Err(HandoverError::Descriptors(descriptors.len(), announced));
            }
        }
        Ok(RequestOutcome::Arrived(Box::new(ArrivedCourier { stream, state, descriptors })))
    }

    /// Accepts the courier; afterwards the lock of the folder is free.
    pub fn accept(&mut self) -> Result<(), HandoverError> {
        send_byte(&mut self.stream, handshake::ACCEPTED)?;
        expect_byte(&mut self.stream, handshake::LOCK_RELEASED)
    }

    /// Whether the previous process has given the hand-over up, or has ended. It closes its connection before it takes the lock
    /// of the folder back. So a courier that is not withdrawn while this process holds the lock was not used by any other process
    /// since its state was sent, and will not be.
    pub fn is_withdrawn(&self) -> bool {
        let received = recv(&self.stream, &mut [0; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT);
        !matches!(received, Err(Errno::WOULDBLOCK))
    }

    /// Confirms to the previous process that this one serves, so that it drops its copy of the courier.
    pub fn confirm_serving(mut self) -> Result<(), HandoverError> {
        send_byte(&mut self.stream, handshake::SERVING)?;
        info!("the courier was taken over from the previous process");
        Ok(())
    }
}

/// Receives the descriptors of one message.
fn receive_descriptors(stream: &UnixStream, descriptors: &mut Vec<OwnedFd>) -> io::Result<()> {
    let mut byte = [0];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_PER_MESSAGE))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(more) = message {
            descriptors.extend(more);
        }
    }
    Ok(())
}
