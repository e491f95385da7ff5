//! Adapter between the decisions of `cloverstile` and the wire protocol of the operators' simulator. One process hosts
//! many courier instances; each batch of records gets one reply.
#![forbid(unsafe_code)]

pub mod host;
pub mod wire;
