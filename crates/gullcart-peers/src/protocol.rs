//! The protocol on a connection. Both sides first exchange a [`Hello`] with a random nonce. Each frame after that carries a
//! message authentication code, made with a key that is derived from both hellos, so that frames cannot be replayed on another
//! connection or at another position of the same one.

use gullcart_group::membership::Handshake;
use hmac::{Hmac, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

type HmacSha256 = Hmac<Sha256>;

/// Version of the protocol. Members whose versions differ by one understand each other.
pub const PROTOCOL_VERSION: u16 = 1;
/// Maximum size of a frame, including its authentication code.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Maximum size of a hello.
pub const MAX_HELLO_BYTES: usize = 512;
/// Size of a message authentication code.
pub const MAC_BYTES: usize = 32;

/// Why received data is rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The authentication code is wrong: the keys differ, or the data was changed.
    #[error("wrong authentication code: the other side has another key, or the data was changed on the way")]
    Mac,
    /// The frame is too long or too short.
    #[error("invalid frame length of {0} bytes")]
    Length(usize),
    /// The contents cannot be decoded, or are not valid at this point.
    #[error("the contents of the frame are invalid")]
    Malformed,
    /// The version is not supported.
    #[error("unsupported protocol version {0}, expected {PROTOCOL_VERSION}")]
    Version(u16),
    /// It belongs to another connection.
    #[error("the hello is a replay from another connection")]
    Replayed,
    /// The sender's group has other voters or lease terms.
    #[error("the other side is in another group with the same key, or its settings file has other voters, lease_ms or drift_ppm")]
    Group,
    /// The receiver, or the sender of a reply, is another member than expected.
    #[error("the hello is from or to another member than expected")]
    WrongMember,
}

/// The first frame of each side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol version of the sender.
    pub version: u16,
    /// The identity of the sender.
    pub handshake: Handshake,
    /// The id of the receiver.
    pub to: u64,
    /// The sender's group ([`crate::settings::Settings::group_id`]); 0 from an operator's tool.
    pub group_id: u64,
    /// A random number that distinguishes this connection from all others.
    pub nonce: u128,
    /// In a reply, the nonce of the hello that it answers, which proves that the reply is new. The connecting side proves the
    /// same with its first authenticated frame.
    pub reply_to: Option<u128>,
}

/// The first frame of the connecting side after the hellos. Until it has arrived, the hello may be a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionPurpose {
    /// A member will send messages.
    Member,
    /// An operator's tool asks for the status.
    Status,
}

/// Computes the authentication code of the concatenated parts.
fn mac(key: &[u8], parts: &[&[u8]]) -> [u8; MAC_BYTES] {
    let mut mac = HmacSha256::new_from_slice(key).expect("HMAC accepts keys of any length");
    parts.iter().for_each(|part| mac.update(part));
    mac.finalize().into_bytes().into()
}

impl Hello {
    /// Encodes and authenticates the hello.
    pub fn write(&self, key: &[u8]) -> Vec<u8> {
        let payload = postcard::to_allocvec(self).unwrap_or_default();
        [&mac(key, &[b"gullcart greeting", &payload])[..], &payload].concat()
    }

    /// Checks and decodes a hello, which must be addressed to this member.
    pub fn read(key: &[u8], bytes: &[u8], me: u64) -> Result<Self, FrameError> {
        if bytes.len() > MAX_HELLO_BYTES || bytes.len() < MAC_BYTES {
            return Err(FrameError::Length(bytes.len()));
        }
        let (received_mac, payload) = bytes.split_at(MAC_BYTES);
        let mut expected = HmacSha256::new_from_slice(key).expect("HMAC accepts keys of any length");
        expected.update(b"gullcart greeting");
        expected.update(payload);
        expected.verify_slice(received_mac).map_err(|_| FrameError::Mac)?;
        let hello: Hello = postcard::from_bytes(payload).map_err(|_| FrameError::Malformed)?;
        if hello.version.abs_diff(PROTOCOL_VERSION) > 1 {
            return Err(FrameError::Version(hello.version));
        }
        (hello.to == me).then_some(hello).ok_or(FrameError::WrongMember)
    }

    /// Checks and decodes the reply to `call`, which must come from the member that was called.
    pub fn read_reply(key: &[u8], bytes: &[u8], call: &Hello) -> Result<Self, FrameError> {
        let hello = Hello::read(key, bytes, call.handshake.member.0)?;
        if hello.handshake.member.0 != call.to {
            return Err(FrameError::WrongMember);
        }
        (hello.reply_to == Some(call.nonce)).then_some(hello).ok_or(FrameError::Replayed)
    }
}

/// Authenticates the frames of one direction of a connection.
pub struct FrameCodec {
    key: [u8; MAC_BYTES],
    sequence: u64,
}

impl FrameCodec {
    /// Creates the codec for the direction from the connecting side to the other one; swap both hellos for the other direction.
    pub fn new(key: &[u8], caller: &Hello, called: &Hello) -> Self {
        let encode = |hello| postcard::to_allocvec(hello).unwrap_or_default();
        FrameCodec { key: mac(key, &[b"gullcart frames", &encode(caller), &encode(called)]), sequence: 0 }
    }

    fn next_sequence(&mut self) -> [u8; 8] {
        self.sequence += 1;
        self.sequence.to_le_bytes()
    }

    /// Encodes a frame including its length prefix; `None` if it would be too long.
    pub fn write<T: Serialize>(&mut self, message: &T) -> Option<Vec<u8>> {
        let payload = postcard::to_allocvec(message)
            .ok()
            .filter(|payload| payload.len() <= MAX_FRAME_BYTES - MAC_BYTES)?;
        let sequence = self.next_sequence();
        let frame_mac = mac(&self.key, &[&sequence, &payload]);
        let length = (MAC_BYTES + payload.len()) as u32;
        Some([&length.to_le_bytes()[..], &frame_mac, &payload].concat())
    }

    /// Checks and decodes a frame, passed without its length prefix.
    pub fn read<T: DeserializeOwned>(&mut self, bytes: &[u8]) -> Result<T, FrameError> {
        if bytes.len() < MAC_BYTES || bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Length(bytes.len()));
        }
        let (received_mac, payload) = bytes.split_at(MAC_BYTES);
        let mut expected = HmacSha256::new_from_slice(&self.key).expect("HMAC accepts keys of any length");
        expected.update(&self.next_sequence());
        expected.update(payload);
        expected.verify_slice(received_mac).map_err(|_| FrameError::Mac)?;
        postcard::from_bytes(payload).map_err(|_| FrameError::Malformed)
    }
}

#[cfg(test)]
mod tests;
