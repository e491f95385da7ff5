//! Which connections are kept once their call is over. No socket and no clock.
//!
//! An endpoint holds few connections, idle ones counted. One kept by each of a few couriers harms nobody; one kept by each of a
//! hundred leaves the endpoint no room for calls, and nobody who holds one sees that others are turned away.

use fastrand::Rng;

/// Idle connections that all couriers together keep at one endpoint, in the mean.
const OVER_THE_FLEET: f64 = 8.0;

/// One courier's part of the idle connections to each endpoint.
#[derive(Debug)]
pub struct IdleConnectionPolicy {
    part: f64,
    rng: Rng,
}

impl IdleConnectionPolicy {
    /// For a courier of so many; none counts as one.
    pub fn new(couriers: u32, seed: u64) -> Self {
        IdleConnectionPolicy { part: OVER_THE_FLEET / f64::from(couriers.max(1)), rng: Rng::with_seed(seed) }
    }

    /// Whether to keep a connection whose call is over. Where a courier calls at a steady rate, each connection kept waits
    /// for the next call, so that the part of the calls which keep theirs is the part of the couriers that hold one.
    pub fn should_keep(&mut self) -> bool {
        self.part >= 1.0 || self.rng.f64() < self.part
    }
}

#[cfg(test)]
mod tests;
