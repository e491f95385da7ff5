//! What the data structures of the source and of a zone's relay take by destinations, without sockets.

use crate::courier::target;
use crate::layout::{Endpoints, EntryError};
use crate::machine::{self, MachineError};
use gullcart_distribution::digest::Digest;
use gullcart_distribution::error::{ProtocolError, SourceError};
use gullcart_distribution::position::{Epoch, Position};
use gullcart_distribution::publisher::SubscriberId;
use gullcart_distribution::relay::{PeerId, Relay};
use gullcart_distribution::scope::{Change, Key, Scope, Value};
use gullcart_distribution::source::{Edit, Source, SourceState};
use gullcart_distribution::store::Store;
use gullcart_distribution::subscriber::{Role, Subscriber};
use gullcart_distribution::time::Instant;
use rustix::process::getpid;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

const EPOCH: Epoch = Epoch(1);
/// Destinations of one share: 1.6 million over 23 zones of 180 shares are 387 each.
const DESTINATIONS_PER_SHARE: u32 = 387;
/// Endpoints of a destination.
const ENDPOINTS_PER_DESTINATION: u32 = 2;
/// How often a change is timed; the median is kept.
const SAMPLES: u32 = 201;
/// How far time moves for changes to be in force: beyond each lease.
const STEP: Duration = Duration::from_secs(3);
/// After so many changes time moves on, so that none waits to be in force for long.
const CHANGES_BETWEEN_STEPS: u32 = 10_000;
/// Steps that a relay may take until it has all scopes.
const MOST_ROUNDS: u32 = 100_000;

/// A structure that holds destinations. Each is measured in a process of its own, as memory that one has given back is
/// used by the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Structure {
    /// The bare store, which knows no limits.
    Store,
    /// The source with all zones, and the relay of one.
    Tree,
}

/// What is built.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StructurePlan {
    /// Which structure.
    pub structure: Structure,
    /// Destinations in all zones.
    pub destinations: u32,
    /// Destinations that share an entry.
    pub per_entry: u32,
    /// Zones that they are spread over.
    pub zones: u32,
}

/// What one structure takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StructureCost {
    /// Destinations that it holds.
    pub destinations: u32,
    /// Entries that it holds.
    pub entries: u64,
    /// Private memory.
    pub bytes: u64,
    /// Until it was built.
    pub build: Duration,
    /// One change, at the median.
    pub change: Duration,
    /// Working the digest of a share out from its entries, at the median.
    pub digest: Duration,
}

/// What a structure takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum StructureCosts {
    /// The bare store.
    Store(StructureCost),
    /// The source and the relay of one zone.
    Tree {
        /// The source.
        source: StructureCost,
        /// The relay.
        zone_relay: StructureCost,
    },
    /// The source refuses to hold as many entries.
    Refused {
        /// Entries that it holds.
        entries: u64,
    },
}

/// Why structures cannot be measured.
#[derive(Debug, Error)]
pub enum StructureError {
    /// The machine could not be asked.
    #[error(transparent)]
    Machine(#[from] MachineError),
    /// An entry cannot be written.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// The source does not take a change.
    #[error(transparent)]
    Source(#[from] SourceError),
    /// Source and relay do not understand each other.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The relay never had all scopes.
    #[error("the relay did not get all scopes of its zone")]
    Incomplete,
}

impl StructurePlan {
    fn entries(&self) -> u32 {
        self.destinations.div_ceil(self.per_entry)
    }

    fn entries_per_share(&self) -> u32 {
        DESTINATIONS_PER_SHARE.div_ceil(self.per_entry)
    }

    fn shares(&self) -> u32 {
        self.entries().div_ceil(self.entries_per_share())
    }

    fn all_scopes(&self) -> Vec<Scope> {
        (0..self.shares()).map(Scope::Destinations).collect()
    }

    /// The scopes of the first zone.
    fn zone_scopes(&self) -> Vec<Scope> {
        (0..self.shares().div_ceil(self.zones)).map(Scope::Destinations).collect()
    }

    /// Sets an entry. Each version has other content than the one before.
    fn edit(&self, entry: u32, version: u32) -> Result<Edit, EntryError> {
        let scope = Scope::Destinations(entry / self.entries_per_share());
        let first = entry * self.per_entry;
        let destinations = first..self.destinations.min(first + self.per_entry);
        let endpoint = |destination: u32, place: u32| {
            let is_serving = place > 0 || version.is_multiple_of(2);
            target(format!("endpoint-{destination}-{place}"), destination, is_serving)
        };
        let all = destinations.flat_map(|destination| {
            (0..ENDPOINTS_PER_DESTINATION).map(move |place| endpoint(destination, place))
        });
        let value = Value::new(postcard::to_stdvec(&Endpoints(all.collect()))?)?;
        Ok(Edit { scope, key: Key::new(format!("entry-{entry}"))?, value: Some(value) })
    }

    /// An entry to change, each time another.
    fn changed_entry(&self, sample: u32) -> u32 {
        (u64::from(sample) * u64::from(self.entries()) / u64::from(SAMPLES)) as u32
    }
}

/// Builds a structure and measures it.
pub fn measure(plan: &StructurePlan) -> Result<StructureCosts, StructureError> {
    if plan.structure == Structure::Store {
        return measure_store(plan).map(StructureCosts::Store);
    }
    let mut source = Source::new(Instant::default(), SourceState::default(), 1);
    match measure_source(plan, &mut source) {
        Ok(cost) => Ok(StructureCosts::Tree { source: cost, zone_relay: measure_zone_relay(plan, source)? }),
        Err(StructureError::Source(SourceError::Full)) => {
            Ok(StructureCosts::Refused { entries: source.store().entry_count() as u64 })
        }
        Err(error) => Err(error),
    }
}

/// Memory and time from here on.
struct Meter {
    bytes: u64,
    begun: std::time::Instant,
}

impl Meter {
    fn begin() -> Result<Self, MachineError> {
        Ok(Meter { bytes: machine::resident(getpid())?.private, begun: std::time::Instant::now() })
    }

    fn end(&self) -> Result<StructureCost, MachineError> {
        let build = self.begun.elapsed();
        let bytes = machine::resident(getpid())?.private.saturating_sub(self.bytes);
        Ok(StructureCost { bytes, build, ..StructureCost::default() })
    }
}

fn median(mut samples: Vec<Duration>) -> Duration {
    samples.sort_unstable();
    samples.get(samples.len() / 2).copied().unwrap_or_default()
}

fn measure_store(plan: &StructurePlan) -> Result<StructureCost, StructureError> {
    let meter = Meter::begin()?;
    let mut store = Store::new(true);
    let mut revision = 0;
    let mut next = |entry: u32, version: u32| {
        revision += 1;
        let position = Position::new(EPOCH.0, revision);
        plan.edit(entry, version).map(|Edit { scope, key, value }| Change { scope, position, key, value })
    };
    for entry in 0..plan.entries() {
        store.apply(next(entry, 0)?);
    }
    let cost = meter.end()?;
    let mut samples = Vec::new();
    for sample in 0..SAMPLES {
        let change = next(plan.changed_entry(sample), 1)?;
        let begun = std::time::Instant::now();
        store.apply(change);
        samples.push(begun.elapsed());
    }
    let entries = store.entry_count() as u64;
    let digest = time_digest(&plan.all_scopes(), &store);
    Ok(StructureCost { destinations: plan.destinations, entries, change: median(samples), digest, ..cost })
}

/// How long it takes to work the digest of a share out from its entries, which a node never does as it keeps it up to date.
fn time_digest(scopes: &[Scope], store: &Store) -> Duration {
    let time = |scope: &Scope| {
        let begun = std::time::Instant::now();
        let mut digest = Digest::default();
        if let Some(state) = store.scope(*scope) {
            for (key, entry) in state.entries() {
                digest.insert(Digest::of_entry(key, &entry.value, entry.position));
            }
        }
        let took = begun.elapsed();
        assert_eq!(digest, store.digest(*scope), "the digest of {scope:?} that is kept");
        took
    };
    median(scopes.iter().take(SAMPLES as usize).map(time).collect())
}

fn measure_source(plan: &StructurePlan, source: &mut Source) -> Result<StructureCost, StructureError> {
    let meter = Meter::begin()?;
    let mut now = Instant::default();
    source.begin_epoch(now, EPOCH)?;
    for entry in 0..plan.entries() {
        if entry.is_multiple_of(CHANGES_BETWEEN_STEPS) {
            now = now + STEP;
            while source.poll_in_force(now).is_some() {}
        }
        source.change(now, EPOCH, plan.edit(entry, 0)?)?;
    }
    let cost = meter.end()?;
    let mut samples = Vec::new();
    now = now + STEP;
    while source.poll_in_force(now).is_some() {}
    for sample in 0..SAMPLES {
        let edit = plan.edit(plan.changed_entry(sample), 1)?;
        let begun = std::time::Instant::now();
        source.change(now, EPOCH, edit)?;
        samples.push(begun.elapsed());
    }
    let entries = source.store().entry_count() as u64;
    let digest = time_digest(&plan.all_scopes(), source.store());
    Ok(StructureCost { destinations: plan.destinations, entries, change: median(samples), digest, ..cost })
}

/// A source, a relay and one subscriber of it, whose messages are handed over at once.
struct Chain {
    now: Instant,
    source: Source,
    relay: Relay,
    courier: Subscriber,
}

/// The relay as the source knows it, and the courier as the relay does.
const SUBSCRIBER: SubscriberId = SubscriberId(1);

impl Chain {
    fn new(source: Source, scopes: Vec<Scope>) -> Self {
        let now = Instant::default() + Duration::from_secs(3600);
        let courier = Subscriber::new(Role::Edge, scopes, 3);
        let mut chain = Chain { now, source, relay: Relay::new(2), courier };
        chain.source.connected(SUBSCRIBER);
        chain.relay.connected(now, PeerId::Upstream);
        chain.relay.connected(now, PeerId::Subscriber(SUBSCRIBER));
        chain.courier.connected(now);
        chain
    }

    /// Hands all messages over that wait.
    fn exchange(&mut self) -> Result<(), ProtocolError> {
        loop {
            let mut is_quiet = true;
            while let Some((_, message)) = self.source.poll_output() {
                is_quiet = false;
                self.relay.handle(self.now, PeerId::Upstream, message)?;
            }
            while let Some((peer, message)) = self.relay.poll_output() {
                is_quiet = false;
                match peer {
                    PeerId::Upstream => self.source.handle(self.now, SUBSCRIBER, message)?,
                    // One that is refused comes again.
                    PeerId::Subscriber(_) => drop(self.courier.handle(self.now, message)),
                }
            }
            while let Some(message) = self.courier.poll_output() {
                is_quiet = false;
                self.relay.handle(self.now, PeerId::Subscriber(SUBSCRIBER), message)?;
            }
            if is_quiet {
                return Ok(());
            }
        }
    }

    /// Lets some time pass.
    fn step(&mut self) -> Result<(), ProtocolError> {
        self.now = self.now + Duration::from_millis(50);
        self.source.on_timeout(self.now);
        self.relay.on_timeout(self.now);
        self.courier.on_timeout(self.now);
        if self.courier.wants_close() && self.courier.reconnect_at() <= self.now {
            self.relay.disconnected(self.now, PeerId::Subscriber(SUBSCRIBER));
            self.courier.disconnected(self.now);
            self.relay.connected(self.now, PeerId::Subscriber(SUBSCRIBER));
            self.courier.connected(self.now);
        }
        self.exchange()
    }

    fn relay_holds(&self, scopes: &[Scope]) -> bool {
        scopes.iter().all(|scope| self.relay.upstream().holds(*scope))
    }
}

fn measure_zone_relay(plan: &StructurePlan, source: Source) -> Result<StructureCost, StructureError> {
    let scopes = plan.zone_scopes();
    let meter = Meter::begin()?;
    let mut chain = Chain::new(source, scopes.clone());
    let mut rounds = 0;
    while !chain.relay_holds(&scopes) {
        chain.step()?;
        rounds += 1;
        if rounds > MOST_ROUNDS {
            return Err(StructureError::Incomplete);
        }
    }
    let cost = meter.end()?;
    let entries = chain.relay.upstream().store().entry_count() as u64;
    let mut samples = Vec::new();
    for sample in 0..SAMPLES {
        let in_zone = (u64::from(sample) * entries / u64::from(SAMPLES)) as u32;
        chain.source.change(chain.now, EPOCH, plan.edit(in_zone, 2 + sample)?)?;
        chain.step()?;
        chain.step()?;
        samples.push(time_relayed_change(plan, &mut chain, in_zone, 3 + sample)?);
    }
    let digest = time_digest(&scopes, chain.relay.upstream().store());
    let destinations = u32::try_from(entries).unwrap_or(u32::MAX).saturating_mul(plan.per_entry);
    Ok(StructureCost { destinations, entries, change: median(samples), digest, ..cost })
}

/// How long the relay takes for the frame of a change that comes from the source.
fn time_relayed_change(
    plan: &StructurePlan,
    chain: &mut Chain,
    entry: u32,
    version: u32,
) -> Result<Duration, StructureError> {
    chain.now = chain.now + Duration::from_millis(100);
    chain.source.change(chain.now, EPOCH, plan.edit(entry, version)?)?;
    let mut took = Duration::ZERO;
    while let Some((_, message)) = chain.source.poll_output() {
        let begun = std::time::Instant::now();
        chain.relay.handle(chain.now, PeerId::Upstream, message)?;
        took += begun.elapsed();
    }
    chain.exchange()?;
    Ok(took)
}
