//! How messages are named on the wire: ids, idempotency keys and bodies follow from the number of a hand-in, so that
//! what arrives at a partner can be checked without keeping it.

use gullcart_judge::trace::MessageId;

/// An odd number, so that multiplying by it can be undone; it spreads neighbours over all digits.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

fn inverse_multiplier() -> u64 {
    // Newton's iteration doubles the right digits each time.
    (0..6).fold(MULTIPLIER, |inverse, _| {
        inverse.wrapping_mul(2u64.wrapping_sub(MULTIPLIER.wrapping_mul(inverse)))
    })
}

/// The id on the wire.
pub fn wire_id(message: MessageId) -> String {
    format!("{:016x}", (message.0 + 1).wrapping_mul(MULTIPLIER))
}

/// The message of an id; none where no hand-in can have had it.
pub fn parse_wire_id(id: &str) -> Option<MessageId> {
    if id.len() != 16 {
        return None;
    }
    let number = u64::from_str_radix(id, 16).ok()?.wrapping_mul(inverse_multiplier());
    // Numbers are handed out one after the other: a huge one was never.
    number.checked_sub(1).filter(|number| *number < 1 << 40).map(MessageId)
}

/// The idempotency key of a first try; further tries of the same message carry it too.
pub fn idempotency_key(origin: u64) -> String {
    format!("{:016x}", (origin + 1).wrapping_mul(MULTIPLIER).rotate_left(32))
}

/// The body of a message, of so many bytes at least.
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
