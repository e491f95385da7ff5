//! RESP2 as clients speak it: parsing of requests, the arguments of `ENQUEUE`, and encoding of replies. Without sockets.

use bytes::{Buf, Bytes, BytesMut};
use gullcart_engine::{Answer, Enqueue};
use std::time::Duration;
use thiserror::Error;

/// Maximum number of arguments in a request.
const MAX_ARGUMENTS: usize = 16;
/// Maximum length of a message's body.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum length of a request without its longest argument, the body: the key, the id, the fields and all length lines.
const MAX_OVERHEAD_BYTES: usize = 4 << 10;
/// Maximum length of a line with a count or a length.
const MAX_LENGTH_LINE_BYTES: usize = 32;
/// Maximum length of an id or an idempotency key.
const MAX_TOKEN_BYTES: usize = 128;

/// The bytes of a reply to a client.
pub fn encode(answer: &Answer) -> String {
    match answer {
        Answer::Taken(_) | Answer::Held => "+OK\r\n".to_owned(),
        Answer::Busy(None) => "-BUSY\r\n".to_owned(),
        Answer::Busy(Some(after)) => format!("-BUSY {}\r\n", after.as_millis()),
        Answer::Error(text) => format!("-ERR {text}\r\n"),
    }
}

/// Why bytes are not a valid request. The boundaries of later requests are unknown after such an error.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum RespError {
    /// The bytes are not an array of bulk strings.
    #[error("Protocol error: expected an array of bulk strings")]
    InvalidFormat,
    /// A limit on the size is exceeded.
    #[error("Protocol error: too long")]
    TooLong,
}

/// Takes the first complete request out of the buffer; none while it is incomplete. Only arrays of bulk strings are accepted,
/// so that depth and size are limited before anything is allocated: general RESP decoders recurse as deep as the input says.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
    let Some((count, mut at)) = parse_length_line(buffer, 0, b'*')? else { return Ok(None) };
    if count > MAX_ARGUMENTS {
        return Err(RespError::TooLong);
    }
    let mut spans = Vec::with_capacity(count);
    let mut longest_argument = 0;
    for _ in 0..count {
        let Some((length, start)) = parse_length_line(buffer, at, b'$')? else { return Ok(None) };
        if length > MAX_BODY_BYTES {
            return Err(RespError::TooLong);
        }
        let end = start + length;
        longest_argument = longest_argument.max(length);
        if end - longest_argument > MAX_OVERHEAD_BYTES {
            return Err(RespError::TooLong);
        }
        match buffer.get(end..end + 2) {
            None => return Ok(None),
            Some(b"\r\n") => {}
            Some(_) => return Err(RespError::InvalidFormat),
        }
        spans.push(start..end);
        at = end + 2;
    }
    let frame = buffer.split_to(at).freeze();
    Ok(Some(spans.into_iter().map(|span| frame.slice(span)).collect()))
}

/// Parses a line of a type character and a number at a position of the buffer: the number, and the position behind the line.
fn parse_length_line(
    buffer: &BytesMut,
    at: usize,
    type_byte: u8,
) -> Result<Option<(usize, usize)>, RespError> {
    let mut line = &buffer[at..];
    match line.first() {
        None => return Ok(None),
        Some(first) if *first != type_byte => return Err(RespError::InvalidFormat),
        Some(_) => line.advance(1),
    }
    let Some(end) = line.iter().take(MAX_LENGTH_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if line.len() < MAX_LENGTH_LINE_BYTES { Ok(None) } else { Err(RespError::InvalidFormat) };
    };
    let digits = line[..end].strip_suffix(b"\r").ok_or(RespError::InvalidFormat)?;
    let is_valid = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_valid).ok_or(RespError::InvalidFormat)?;
    Ok(Some((text.parse().map_err(|_| RespError::TooLong)?, at + end + 2)))
}

/// Parses `ENQUEUE key id fields body`, with the fields written as `name=value,...`.
pub fn parse_enqueue(arguments: &[Bytes]) -> Result<Enqueue, &'static str> {
    let [_, key, id, fields, body] = arguments else {
        return Err("ENQUEUE takes a key, an id, fields and a body");
    };
    if body.len() > MAX_BODY_BYTES {
        return Err("the body is too long");
    }
    let text = |bytes: &Bytes| std::str::from_utf8(bytes).ok().map(str::to_owned);
    let key =
        text(key).and_then(|key| u64::from_str_radix(&key, 16).ok()).ok_or("the key is not hexadecimal")?;
    let id = text(id).filter(|id| is_token(id)).ok_or("the id has other characters than an id may have")?;
    let fields = text(fields).ok_or("the fields are not text")?;
    let field = |name: &str| {
        let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
    };
    let idempotency_key = field("k").map(str::to_owned);
    if idempotency_key.as_ref().is_some_and(|key| !is_token(key)) {
        return Err("k has other characters than a key may have");
    }
    Ok(Enqueue {
        id,
        order_key: key,
        class: field("c").ok_or("c is missing")?.to_owned(),
        destination: field("dest").and_then(|v| v.parse().ok()).ok_or("dest is missing or no number")?,
        time_left: field("d")
            .and_then(|v| v.parse().ok())
            .map(Duration::from_millis)
            .ok_or("d is missing or no number")?,
        idempotency_key,
        from_dead_courier: field("again") == Some("1"),
        // Copied: a slice would keep the whole request in memory.
        body: Bytes::copy_from_slice(body),
        client: None,
    })
}

/// Whether a text may be passed on in a header and in a notice.
fn is_token(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    (1..=MAX_TOKEN_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}

#[cfg(test)]
mod tests;
