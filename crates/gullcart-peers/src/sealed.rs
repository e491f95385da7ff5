//! What goes over a connection: first both say who they are and throw a number by chance, then each frame carries a code
//! made with a key that is of this connection alone. Nothing that was said on another one, or elsewhere in this one, passes.

use gullcart_group::door::Card;
use hmac::{Hmac, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

type Code = Hmac<Sha256>;

/// The version of what is said; couriers of versions that differ by one understand each other.
pub const VERSION: u16 = 1;
/// Bytes of a frame at most, and of the first words.
pub const MOST_FRAME: usize = 4 << 20;
pub const MOST_GREETING: usize = 512;
/// Bytes of a code.
pub const CODE: usize = 32;

/// Why what came is not listened to.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SealError {
    /// It has another code than it must have: another key, or not what was sent.
    #[error("its code is wrong: the other side has another key, or something was changed on the way")]
    Code,
    /// It is longer than anything can be.
    #[error("it has {0} bytes")]
    Length(usize),
    /// It cannot be read.
    #[error("it cannot be read")]
    Unreadable,
    /// It is of a version that is not understood.
    #[error("it is of version {0}, this one is of {VERSION}")]
    Version(u16),
    /// It was said before.
    #[error("it was said before, on another connection")]
    Old,
    /// It is of a group with other voters or terms.
    #[error("it is of another group with the same key, or its file has other voters, lease_ms or drift_ppm")]
    Group,
    /// It is for somebody else.
    #[error("it is for another member")]
    Receiver,
}

/// The first words of each side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Which version speaks.
    pub version: u16,
    /// Who.
    pub card: Card,
    /// To whom.
    pub to: u64,
    /// In which group ([`crate::settings::Settings::group`]); an operator's tool is in none.
    pub group: u64,
    /// By chance, so that nothing said before passes again.
    pub nonce: u128,
    /// The number of the greeting that this one answers: it was not said before. Who calls shows the same by its first frame.
    pub answers: Option<u128>,
}

/// The first frame of who called, made for this connection alone: until it has come, a greeting may be one of long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opening {
    /// A member will say what it has to say.
    Member,
    /// An operator asks how the group stands.
    Status,
}

fn code(key: &[u8], parts: &[&[u8]]) -> [u8; CODE] {
    let mut code = Code::new_from_slice(key).expect("a key of any length will do");
    parts.iter().for_each(|part| code.update(part));
    code.finalize().into_bytes().into()
}

impl Greeting {
    /// As it goes out.
    pub fn write(&self, key: &[u8]) -> Vec<u8> {
        let words = postcard::to_allocvec(self).unwrap_or_default();
        [&code(key, &[b"gullcart greeting", &words])[..], &words].concat()
    }

    /// Reads what came, which has to be for this member.
    pub fn read(key: &[u8], bytes: &[u8], me: u64) -> Result<Self, SealError> {
        if bytes.len() > MOST_GREETING || bytes.len() < CODE {
            return Err(SealError::Length(bytes.len()));
        }
        let (sealed, words) = bytes.split_at(CODE);
        let mut expected = Code::new_from_slice(key).expect("a key of any length will do");
        expected.update(b"gullcart greeting");
        expected.update(words);
        expected.verify_slice(sealed).map_err(|_| SealError::Code)?;
        let greeting: Greeting = postcard::from_bytes(words).map_err(|_| SealError::Unreadable)?;
        if greeting.version.abs_diff(VERSION) > 1 {
            return Err(SealError::Version(greeting.version));
        }
        (greeting.to == me).then_some(greeting).ok_or(SealError::Receiver)
    }

    /// The same, from who was called: it has to be the one that was meant, and to answer this very call.
    pub fn read_answer(key: &[u8], bytes: &[u8], call: &Greeting) -> Result<Self, SealError> {
        let greeting = Greeting::read(key, bytes, call.card.member.0)?;
        if greeting.card.member.0 != call.to {
            return Err(SealError::Receiver);
        }
        (greeting.answers == Some(call.nonce)).then_some(greeting).ok_or(SealError::Old)
    }
}

/// One way of a connection, after both have greeted.
pub struct Sealed {
    key: [u8; CODE],
    count: u64,
}

impl Sealed {
    /// From who called to who was called; the other way with both swapped.
    pub fn new(key: &[u8], caller: &Greeting, called: &Greeting) -> Self {
        let words = |greeting| postcard::to_allocvec(greeting).unwrap_or_default();
        Sealed { key: code(key, &[b"gullcart frames", &words(caller), &words(called)]), count: 0 }
    }

    fn next(&mut self) -> [u8; 8] {
        self.count += 1;
        self.count.to_le_bytes()
    }

    /// A frame as it goes out, behind its length; none where it is too long to be said.
    pub fn write<T: Serialize>(&mut self, say: &T) -> Option<Vec<u8>> {
        let words = postcard::to_allocvec(say).ok().filter(|words| words.len() <= MOST_FRAME - CODE)?;
        let count = self.next();
        let sealed = code(&self.key, &[&count, &words]);
        let length = (CODE + words.len()) as u32;
        Some([&length.to_le_bytes()[..], &sealed, &words].concat())
    }

    /// Reads a frame without its length.
    pub fn read<T: DeserializeOwned>(&mut self, bytes: &[u8]) -> Result<T, SealError> {
        if bytes.len() < CODE || bytes.len() > MOST_FRAME {
            return Err(SealError::Length(bytes.len()));
        }
        let (sealed, words) = bytes.split_at(CODE);
        let mut expected = Code::new_from_slice(&self.key).expect("a key of any length will do");
        expected.update(&self.next());
        expected.update(words);
        expected.verify_slice(sealed).map_err(|_| SealError::Code)?;
        postcard::from_bytes(words).map_err(|_| SealError::Unreadable)
    }
}

#[cfg(test)]
mod tests;
