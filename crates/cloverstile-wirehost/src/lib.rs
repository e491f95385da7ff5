//! The decision module on the wire of the operators' simulator: many instances in one process, one reply for each batch.
#![forbid(unsafe_code)]

pub mod host;
pub mod wire;
