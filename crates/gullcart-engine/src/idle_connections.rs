//! Which connections are kept open after their call. No I/O and no clock.
//!
//! An endpoint accepts few connections, including idle ones. If each of a hundred couriers kept one idle connection, the
//! endpoint would have none left for calls. Couriers without a connection would be rejected, while those with one would see no
//! reason to close it.

use fastrand::Rng;

/// Mean number of idle connections that all couriers together keep to one endpoint.
const FLEET_IDLE_CONNECTIONS: f64 = 8.0;

/// Decides which connections one courier keeps.
#[derive(Debug)]
pub struct IdleConnectionPolicy {
    /// Probability of keeping a connection; always keep it from 1 on.
    keep_probability: f64,
    rng: Rng,
}

impl IdleConnectionPolicy {
    /// For one of `couriers` couriers; zero counts as one.
    pub fn new(couriers: u32, seed: u64) -> Self {
        let keep_probability = FLEET_IDLE_CONNECTIONS / f64::from(couriers.max(1));
        IdleConnectionPolicy { keep_probability, rng: Rng::with_seed(seed) }
    }

    /// Whether to keep a connection after its call. A kept connection stays idle until the courier's next call. At a steady rate
    /// of calls the probability of keeping a connection is therefore the fraction of couriers that hold one.
    pub fn should_keep(&mut self) -> bool {
        self.keep_probability >= 1.0 || self.rng.f64() < self.keep_probability
    }
}

#[cfg(test)]
mod tests;
