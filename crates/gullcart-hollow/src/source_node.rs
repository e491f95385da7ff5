//! The source of a fleet: it hands out the entries of a layout, and makes the changes that a publication asks for.

use crate::control::{Publication, Published, SourcePlan, SourceStatus};
use crate::layout::{EntryError, EntryIndex};
use crate::link::LinkShared;
use crate::machine::{distribution_now, Monotonic};
use crate::station::{Machine, Station};
use gullcart_distribution::error::SourceError;
use gullcart_distribution::position::Epoch;
use gullcart_distribution::scope::Scope;
use gullcart_distribution::source::{Source, SourceState};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The only writer's epoch.
const EPOCH: Epoch = Epoch(1);
/// How often it is looked whether changes are in force; the figures are no finer.
const IN_FORCE_INTERVAL: Duration = Duration::from_millis(5);
/// Changes whose figures are kept until they are collected.
const MOST_PUBLISHED: usize = 1 << 17;

/// Why a source cannot run.
#[derive(Debug, Error)]
pub enum SourceNodeError {
    /// It cannot listen.
    #[error("the source cannot listen: {0}")]
    Listen(#[from] io::Error),
    /// It does not take a change.
    #[error(transparent)]
    Source(#[from] SourceError),
    /// An entry cannot be written.
    #[error(transparent)]
    Entry(#[from] EntryError),
}

/// The source on its sockets.
pub struct SourceNode {
    station: Rc<Station>,
    writer: Rc<Writer>,
}

/// Makes changes and keeps their figures.
struct Writer {
    plan: SourcePlan,
    scopes: Vec<Scope>,
    chance: RefCell<fastrand::Rng>,
    versions: RefCell<BTreeMap<EntryIndex, u32>>,
    published: RefCell<VecDeque<Published>>,
    planned: Cell<u32>,
    refused: Cell<u32>,
}

impl SourceNode {
    /// Starts a source that has all entries of its layout.
    pub async fn start(plan: SourcePlan, shared: LinkShared) -> Result<Self, SourceNodeError> {
        let now = distribution_now();
        let mut source = Source::new(now, SourceState::default(), plan.seed);
        source.begin_epoch(now, EPOCH)?;
        let scopes = plan.layout.scopes();
        for entry in scopes.iter().flat_map(|scope| plan.layout.entries_of(*scope)) {
            source.change(now, EPOCH, entry.edit(0)?)?;
        }
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let station = Station::start(Machine::Source(Box::new(source)), listen, Vec::new(), shared).await?;
        let writer = Writer {
            plan,
            scopes,
            chance: RefCell::new(fastrand::Rng::with_seed(plan.seed)),
            versions: RefCell::default(),
            published: RefCell::default(),
            planned: Cell::new(0),
            refused: Cell::new(0),
        };
        let node = SourceNode { station: Rc::new(station), writer: Rc::new(writer) };
        spawn_local(watch_in_force(node.station.clone(), node.writer.clone()));
        Ok(node)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.station.address()
    }

    /// Makes changes from now on, evenly over their time.
    pub fn publish(&self, publication: Publication) {
        let (station, writer) = (self.station.clone(), self.writer.clone());
        writer.planned.set(writer.planned.get() + publication.changes);
        spawn_local(async move {
            let begin = Instant::now();
            for number in 0..publication.changes {
                let due = publication.over.mul_f64(f64::from(number) / f64::from(publication.changes));
                tokio::time::sleep_until(begin + due).await;
                writer.change(&station, publication);
                writer.planned.set(writer.planned.get() - 1);
            }
        });
    }

    /// Where it stands.
    pub fn status(&self) -> SourceStatus {
        let now = distribution_now();
        let look = |source: &mut Source| (source.position().revision.0, source.in_force(now).revision.0);
        let (revision, in_force) = self.station.inspect(|machine| of_source(machine, look));
        let (planned, refused) = (self.writer.planned.get(), self.writer.refused.get());
        SourceStatus { revision, in_force, planned, refused }
    }

    /// The changes since the last time.
    pub fn collect(&self) -> Vec<Published> {
        self.writer.published.take().into()
    }
}

/// A node that is no source has nothing to say.
fn of_source<Done: Default>(machine: &mut Machine, act: impl FnOnce(&mut Source) -> Done) -> Done {
    match machine {
        Machine::Source(source) => act(source),
        Machine::Relay(_) => Done::default(),
    }
}

impl Writer {
    fn change(&self, station: &Station, publication: Publication) {
        let entry = publication.mix.choose(&self.plan.layout, &self.scopes, &mut self.chance.borrow_mut());
        let version = {
            let mut versions = self.versions.borrow_mut();
            let version = versions.entry(entry).or_insert(0);
            *version += 1;
            *version
        };
        let Ok(edit) = entry.edit(version) else {
            self.refused.set(self.refused.get() + 1);
            return;
        };
        let at = Monotonic::now();
        let change = |source: &mut Source| source.change(at.to_distribution(), EPOCH, edit).ok();
        let position = station.with_machine(|machine| of_source(machine, change));
        match position {
            Some(position) => {
                let mut published = self.published.borrow_mut();
                if published.len() < MOST_PUBLISHED {
                    let (revision, scope) = (position.revision.0, entry.scope);
                    published.push_back(Published { revision, scope, at, in_force: None });
                }
            }
            None => self.refused.set(self.refused.get() + 1),
        }
    }

    /// Notes a change that was found in force now.
    fn note_in_force(&self, revision: u64, now: Monotonic) {
        let mut published = self.published.borrow_mut();
        if let Ok(place) = published.binary_search_by_key(&revision, |published| published.revision) {
            published[place].in_force = Some(now);
        }
    }
}

async fn watch_in_force(station: Rc<Station>, writer: Rc<Writer>) {
    loop {
        tokio::time::sleep(IN_FORCE_INTERVAL).await;
        let now = Monotonic::now();
        let poll = |source: &mut Source| source.poll_in_force(now.to_distribution());
        let next = || station.inspect(|machine| of_source(machine, poll));
        while let Some(found) = next() {
            writer.note_in_force(found.position.revision.0, now);
        }
    }
}
