//! The encoding of messages: a length of four bytes (little endian), a version byte, and the message in postcard.

use bytes::{Buf, BytesMut};

use crate::error::CodecError;
use crate::limits::MAX_MESSAGE_BYTES;
use crate::message::Message;

/// The version of the encoding. Another one is refused, not guessed at.
pub const VERSION: u8 = 1;

/// Bytes of the length in front of a message.
pub const LENGTH_BYTES: usize = 4;

/// The message with its version, without the length in front.
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    let encoded = postcard::to_extend(message, vec![VERSION]).map_err(|_| CodecError::NotEncodable)?;
    check_length(encoded.len())?;
    Ok(encoded)
}

/// The message with its version and the length in front, as it goes onto a stream.
pub fn encode_framed(message: &Message) -> Result<Vec<u8>, CodecError> {
    let mut buffer = vec![0; LENGTH_BYTES];
    buffer.push(VERSION);
    let mut buffer = postcard::to_extend(message, buffer).map_err(|_| CodecError::NotEncodable)?;
    let length = buffer.len() - LENGTH_BYTES;
    check_length(length)?;
    buffer[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(buffer)
}

/// The message in bytes from outside, without the length in front.
pub fn decode(bytes: &[u8]) -> Result<Message, CodecError> {
    check_length(bytes.len())?;
    let (version, content) = bytes.split_first().ok_or(CodecError::Empty)?;
    if *version != VERSION {
        return Err(CodecError::UnknownVersion(*version));
    }
    let (message, rest): (Message, _) =
        postcard::take_from_bytes(content).map_err(|_| CodecError::Malformed)?;
    if !rest.is_empty() {
        return Err(CodecError::TrailingBytes);
    }
    if !message.is_well_formed() {
        return Err(CodecError::Malformed);
    }
    Ok(message)
}

fn check_length(length: usize) -> Result<(), CodecError> {
    if length > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLong { length, limit: MAX_MESSAGE_BYTES });
    }
    Ok(())
}

/// Cuts a stream of bytes into messages. After an error the stream is of no more use.
#[derive(Debug, Default)]
pub struct StreamDecoder {
    buffer: BytesMut,
}

impl StreamDecoder {
    /// Takes bytes from the stream. [`Self::next_message`] is to be called until it has no more before the next ones, so
    /// that no more is held than a message and one read.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if it is there.
    pub fn next_message(&mut self) -> Result<Option<Message>, CodecError> {
        let Some(length_bytes) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length_bytes) as usize;
        check_length(length)?;
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let message = self.buffer.split_to(length);
        decode(&message).map(Some)
    }
}
