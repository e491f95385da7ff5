//! Encoding of a [`HandoverState`] as a frame: a header of fixed size, then the body, whose length and checksum the header holds.

use crate::state::HandoverState;
use thiserror::Error;

/// Version of the frame's body. It has to be raised whenever a type that the state contains changes.
pub const VERSION: u32 = 3;
/// Maximum size of a body. A courier whose state is larger is not handed over: the new process starts from the journal.
pub const MAX_BODY_BYTES: usize = 64 << 20;
/// Maximum number of file descriptors that come with a frame.
pub const MAX_DESCRIPTORS: usize = 1 << 16;
/// Size of a header: magic number, version, body length, checksum.
pub const HEADER_BYTES: usize = 8 + 4 + 8 + 4;
const MAGIC: &[u8; 8] = b"GCMOVE\r\n";

/// Why a frame cannot be written or read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The frame does not begin with the magic number.
    #[error("the frame does not begin with the magic number of a hand-over")]
    Magic,
    /// The frame was written by a release with another version of the body.
    #[error("the frame has version {0}, and this release reads only version {VERSION}")]
    Version(u32),
    /// The body is too long, in bytes.
    #[error("the frame's body has {0} bytes, more than the maximum of {MAX_BODY_BYTES}")]
    TooLong(u64),
    /// The body's length or checksum differs from that in the header.
    #[error("the frame's body differs in length or checksum from what its header announces")]
    Checksum,
    /// A state could not be serialized, or a body could not be deserialized.
    #[error("the state cannot be serialized or deserialized")]
    Body,
    /// The decoded state comes with too many descriptors.
    #[error("the state comes with {0} descriptors, more than the maximum of {MAX_DESCRIPTORS}")]
    TooManyDescriptors(usize),
}

/// The length and the checksum of the body that follows a header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// Size of the body in bytes.
    pub length: usize,
    /// CRC-32 of the body.
    pub checksum: u32,
}

/// Encodes a state as a frame: header and body.
pub fn encode(state: &HandoverState) -> Result<Vec<u8>, FrameError> {
    let mut frame = vec![0; HEADER_BYTES];
    frame = postcard::to_extend(state, frame).map_err(|_| FrameError::Body)?;
    let length = frame.len() - HEADER_BYTES;
    if length > MAX_BODY_BYTES {
        return Err(FrameError::TooLong(length as u64));
    }
    let checksum = crc32fast::hash(&frame[HEADER_BYTES..]);
    frame[..8].copy_from_slice(MAGIC);
    frame[8..12].copy_from_slice(&VERSION.to_le_bytes());
    frame[12..20].copy_from_slice(&(length as u64).to_le_bytes());
    frame[20..24].copy_from_slice(&checksum.to_le_bytes());
    Ok(frame)
}

/// Decodes a header, and checks its magic number, version and length.
pub fn decode_header(header: &[u8; HEADER_BYTES]) -> Result<FrameHeader, FrameError> {
    let u32_at = |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    if &header[..8] != MAGIC {
        return Err(FrameError::Magic);
    }
    if u32_at(8) != VERSION {
        return Err(FrameError::Version(u32_at(8)));
    }
    let length = u64::from(u32_at(12)) | u64::from(u32_at(16)) << 32;
    match usize::try_from(length) {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(FrameHeader { length, checksum: u32_at(20) }),
        _ => Err(FrameError::TooLong(length)),
    }
}

/// Decodes the body that belongs to a header.
pub fn decode_state(header: FrameHeader, body: &[u8]) -> Result<HandoverState, FrameError> {
    if body.len() != header.length || crc32fast::hash(body) != header.checksum {
        return Err(FrameError::Checksum);
    }
    let state: HandoverState = match postcard::take_from_bytes(body) {
        Ok((state, [])) => state,
        _ => return Err(FrameError::Body),
    };
    match state.descriptor_count() {
        count if count <= MAX_DESCRIPTORS => Ok(state),
        count => Err(FrameError::TooManyDescriptors(count)),
    }
}

#[cfg(test)]
mod tests;
