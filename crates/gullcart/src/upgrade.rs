//! The socket over which a running courier moves to a process that was started beside it. What is said, and what each side
//! does at each step, is in `gullcart-handover`; here bytes and descriptors move. The world stands still meanwhile, so that this
//! blocks, for a bounded time.

use gullcart_handover::{
    read_baggage, read_head, words, write, Act, Baggage, Event, FrameError, Giver, HEAD, MOST_DESCRIPTORS,
};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::{SocketAddr, UnixListener, UnixStream};
use std::path::Path;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::console::ControlRequest;

/// Descriptors in one message.
const DESCRIPTORS_PER_MESSAGE: usize = 64;
/// How long one side waits for the next word of the other: it may have to replay its journal.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// ... for a new process to have read what was sent: nothing is served meanwhile, ...
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);
/// ... and the running process for the first word of one that has come.
const HELLO_TIMEOUT: Duration = Duration::from_millis(200);
/// Between tries to have the name, which the process before may still hold.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Why a courier did not move.
#[derive(Debug, Error)]
pub enum HandoverError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("what came is no hand-over: {0}")]
    Frame(#[from] FrameError),
    #[error("the other process belongs to another user")]
    ForeignUser,
    #[error("the other process said something out of turn")]
    UnexpectedWord,
    #[error("{0} descriptors came, and {1} were announced")]
    Descriptors(usize, usize),
}

/// A name for the couriers of a folder, in the abstract namespace: it goes with its process.
fn socket_address(state_folder: &Path) -> io::Result<SocketAddr> {
    let folder = std::fs::metadata(state_folder)?;
    SocketAddr::from_abstract_name(format!("gullcart-move-{}-{}", folder.dev(), folder.ino()))
}

fn is_same_user(stream: &UnixStream) -> io::Result<bool> {
    Ok(rustix::net::sockopt::socket_peercred(stream)?.uid == rustix::process::geteuid())
}

fn send_word(stream: &mut UnixStream, word: u8) -> io::Result<()> {
    stream.write_all(&[word])
}

fn expect_word(stream: &mut UnixStream, word: u8) -> Result<(), HandoverError> {
    let mut received = [0];
    stream.read_exact(&mut received)?;
    if received[0] == word {
        Ok(())
    } else {
        Err(HandoverError::UnexpectedWord)
    }
}

/// Lets new processes ask the loop to move, one at a time, until the task is dropped: for as long as this process has the
/// courier, also while it is being given to one that may fail. Who comes meanwhile waits its turn.
pub async fn listen(state_folder: &Path, requests: mpsc::Sender<ControlRequest>) {
    let listener = loop {
        match socket_address(state_folder).and_then(|address| UnixListener::bind_addr(&address)) {
            Ok(listener) => break listener,
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => sleep(BIND_RETRY_INTERVAL).await,
            Err(error) => return warn!(%error, "a later version cannot take over while this one runs"),
        }
    };
    let listener = listener.set_nonblocking(true).and_then(|()| tokio::net::UnixListener::from_std(listener));
    let Ok(listener) = listener else { return warn!("a later version cannot take over while this one runs") };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(stream) = stream.into_std() else { continue };
                // Unavailable else may have it, nor hold the loop up: its first word must have been said.
                if !is_same_user(&stream).unwrap_or(false) {
                    warn!("a process of another user asked for the courier");
                } else if requests.send(ControlRequest::HandOver(stream)).await.is_err() {
                    return;
                }
            }
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}

/// Whether the process that asks speaks our language. It has said so at once, or not at all.
pub fn receive_hello(stream: &mut UnixStream) -> bool {
    let configured = stream
        .set_nonblocking(false)
        .and_then(|()| stream.set_read_timeout(Some(HELLO_TIMEOUT)))
        .and_then(|()| stream.set_write_timeout(Some(PEER_TIMEOUT)));
    configured.is_ok()
        && expect_word(stream, words::HELLO).is_ok()
        && stream.set_read_timeout(Some(TRANSFER_TIMEOUT)).is_ok()
}

/// Gives the courier to the process that asks. `release` gives up the lock of the folder. What is to be done then.
pub fn hand_over(
    mut stream: UnixStream,
    state: &Baggage,
    descriptors: &[OwnedFd],
    release: impl FnOnce(),
) -> Act {
    let mut sender = Giver::default();
    sender.on(Event::Hello);
    let sent =
        send_state(&mut stream, state, descriptors).and_then(|()| expect_word(&mut stream, words::ACCEPTED));
    if let Err(error) = sent {
        warn!(%error, "the courier stays in this process");
        return sender.on(Event::Gone);
    }
    sender.on(Event::Accepted);
    let configured = stream.set_read_timeout(Some(PEER_TIMEOUT));
    release();
    sender.on(Event::Released);
    let served = configured
        .and_then(|()| send_word(&mut stream, words::YOURS))
        .map_err(HandoverError::from)
        .and_then(|()| expect_word(&mut stream, words::SERVING));
    match served {
        Ok(()) => sender.on(Event::Serving),
        Err(error) => {
            warn!(%error, "the new process does not serve; the courier comes back to this one");
            sender.on(Event::Gone)
        }
    }
}

fn send_state(
    stream: &mut UnixStream,
    state: &Baggage,
    descriptors: &[OwnedFd],
) -> Result<(), HandoverError> {
    stream.write_all(&write(state)?)?;
    for batch in descriptors.chunks(DESCRIPTORS_PER_MESSAGE) {
        let batch: Vec<_> = batch.iter().map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_PER_MESSAGE))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&batch));
        sendmsg(&*stream, &[IoSlice::new(b"d")], &mut control, SendFlags::NOSIGNAL)
            .map_err(io::Error::from)?;
    }
    Ok(())
}

/// What came of asking for the courier.
pub enum RequestOutcome {
    /// It has come.
    Arrived(Box<ArrivedCourier>),
    /// Unavailable gave anything: none runs, or it ends, or it is just being given to somebody else. It may be asked for again.
    Unavailable,
}

/// A courier that has come, and is still that of the process before until [`ArrivedCourier::own`].
pub struct ArrivedCourier {
    stream: UnixStream,
    pub state: Baggage,
    /// In the order in which the baggage names them.
    pub descriptors: Vec<OwnedFd>,
}

impl ArrivedCourier {
    /// Asks the process that runs on the same folder for its courier. An error is for what had begun to come.
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
        let mut head = [0; HEAD];
        if send_word(&mut stream, words::HELLO).and_then(|()| stream.read_exact(&mut head)).is_err() {
            return Ok(RequestOutcome::Unavailable);
        }
        let head = read_head(&head)?;
        let mut body = vec![0; head.length];
        stream.read_exact(&mut body)?;
        let state = read_baggage(head, &body)?;
        let announced = state.descriptors();
        let mut descriptors = Vec::with_capacity(announced.min(MOST_DESCRIPTORS));
        while descriptors.len() < announced {
            let previous_count = descriptors.len();
            receive_descriptors(&stream, &mut descriptors)?;
            if descriptors.len() == previous_count || descriptors.len() > announced {
                return Err(HandoverError::Descriptors(descriptors.len(), announced));
            }
        }
        Ok(RequestOutcome::Arrived(Box::new(ArrivedCourier { stream, state, descriptors })))
    }

    /// Accepts it: once this is done the folder's lock is free.
    pub fn accept(&mut self) -> Result<(), HandoverError> {
        send_word(&mut self.stream, words::ACCEPTED)?;
        expect_word(&mut self.stream, words::YOURS)
    }

    /// Tells the process before that this one serves. From then on that one holds nothing any more.
    pub fn confirm_serving(mut self) -> Result<(), HandoverError> {
        send_word(&mut self.stream, words::SERVING)?;
        info!("the process before holds nothing any more");
        Ok(())
    }
}

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
