//! Ids, idempotency keys and bodies of messages on the wire. All are derived from the number of the message, so that what
//! arrives at a partner can be checked without storing it.

use gullcart_judge::trace::MessageId;

/// Multiplier that turns consecutive numbers into ids that differ in all digits. It is odd, so that it has an inverse
/// modulo 2^64.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The inverse of [`MULTIPLIER`] modulo 2^64.
fn inverse_multiplier() -> u64 {
    // Each step of Newton's iteration doubles the number of correct bits.
    (0..6).fold(MULTIPLIER, |inverse, _| {
        inverse.wrapping_mul(2u64.wrapping_sub(MULTIPLIER.wrapping_mul(inverse)))
    })
}

/// The id of a message on the wire.
pub fn wire_id(message: MessageId) -> String {
    format!("{:016x}", (message.0 + 1).wrapping_mul(MULTIPLIER))
}

/// The message with this id; `None` if no message can have it.
pub fn parse_wire_id(id: &str) -> Option<MessageId> {
    if id.len() != 16 {
        return None;
    }
    let number = u64::from_str_radix(id, 16).ok()?.wrapping_mul(inverse_multiplier());
    // Messages are numbered consecutively, so a huge number was never in use.
    number.checked_sub(1).filter(|number| *number < 1 << 40).map(MessageId)
}

/// The idempotency key of a message. `origin` is the [`MessageId`] under which the message was first enqueued: when it is
/// enqueued again, it has a new id but keeps key and body.
pub fn idempotency_key(origin: u64) -> String {
    format!("{:016x}", (origin + 1).wrapping_mul(MULTIPLIER).rotate_left(32))
}

/// The body of a message, of at least `size` bytes. For `origin`, see [`idempotency_key`].
pub fn body(origin: u64, size: usize) -> Vec<u8> {
    let mut body = format!("{{\"pay\":{origin}}}").into_bytes();
    let mut rng = fastrand::Rng::with_seed(origin);
    while body.len() < size {
        body.push(rng.u8(..));
    }
    body
}

#[cfg(test)]
mod tests;
