//! The processes of a fleet by their places in the tree: the source, relays of regions and of zones, and couriers.

use crate::control::{
    Advanced, Command, CouriersPlan, CouriersStatus, Probe, Publication, Published, RelayIndex, RelayPlan,
    RelaysStatus, Report, SourcePlan, SourceStatus, Usage,
};
use crate::fleet::{Fleet, FleetError, ProcessIndex};
use crate::layout::{CourierIndex, Layout, RegionIndex, ZoneIndex};
use crate::limits::Demand;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

/// What a process takes in memory beside what it holds for couriers.
const PROCESS_BYTES: u64 = 12 << 20;
/// What a courier takes beside its engine: its subscriber, both ends of its connection, and its session at a relay.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Couriers that are built to see what an engine takes.
const PROBED_COURIERS: u32 = 200;
/// Seeds of relays are apart from those of couriers.
const RELAY_SEED: u64 = 1 << 40;

/// How a fleet is spread over processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spread {
    /// Processes of hollow couriers.
    pub courier_processes: u32,
    /// Processes of relays, for each of the two tiers at most.
    pub relay_processes: usize,
}

/// Where a relay runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RelayPlace {
    process: ProcessIndex,
    relay: RelayIndex,
    /// No other relay runs there.
    is_alone: bool,
}

/// The relays of a tier, one for each region or zone.
#[derive(Default)]
struct Tier {
    plans: Vec<RelayPlan>,
    places: Vec<RelayPlace>,
    processes: Vec<ProcessIndex>,
}

/// A part of the tree whose processes are alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The source.
    Source,
    /// Relays of regions.
    RegionRelays,
    /// Relays of zones.
    ZoneRelays,
    /// Hollow couriers.
    Couriers,
}

/// All parts.
pub const PARTS: [Part; 4] = [Part::Source, Part::RegionRelays, Part::ZoneRelays, Part::Couriers];

impl Part {
    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Part::Source => "source",
            Part::RegionRelays => "region_relay",
            Part::ZoneRelays => "zone_relay",
            Part::Couriers => "courier",
        }
    }
}

/// A fleet that runs.
pub struct Tree<'fleet> {
    fleet: &'fleet mut Fleet,
    layout: Layout,
    source: ProcessIndex,
    regions: Tier,
    zones: Tier,
    couriers: Vec<(ProcessIndex, Range<u32>)>,
}

impl Spread {
    /// What a fleet takes, by what an engine was seen to take.
    pub fn demand(&self, layout: &Layout, engine_bytes: u64) -> Demand {
        let zone_relays = self.relay_processes.min(usize::from(layout.zones()));
        let region_relays = self.relay_processes.min(usize::from(layout.regions()));
        let processes = 2 + region_relays + zone_relays + self.courier_processes as usize;
        let couriers = u64::from(layout.couriers());
        let per_zone = couriers.div_ceil(u64::from(layout.zones()));
        let zones_together = u64::from(layout.zones()).div_ceil(zone_relays as u64);
        // A relay takes those of its neighbour in.
        let at_relay = 2 * per_zone * zones_together + zones_together;
        let at_couriers = couriers.div_ceil(u64::from(self.courier_processes));
        Demand {
            memory: couriers * (engine_bytes + CONNECTION_BYTES) + processes as u64 * PROCESS_BYTES,
            processes,
            connections: at_relay.max(at_couriers),
        }
    }
}

/// Bytes of memory that the engine of a courier of this fleet takes, as a process has just measured it.
pub async fn probe_engine(fleet: &mut Fleet, layout: &Layout) -> Result<u64, FleetError> {
    let probe = Probe { couriers: PROBED_COURIERS, endpoints: layout.endpoints_per_courier() };
    let index = fleet.start("probe")?;
    let process = fleet.process(index);
    match process.call(&Command::Probe(probe)).await? {
        Report::Probed(cost) => Ok(cost.per_courier()),
        _ => Err(process.unexpected().into()),
    }
}

impl<'fleet> Tree<'fleet> {
    /// Starts all processes, those that are subscribed to first.
    pub async fn start(
        fleet: &'fleet mut Fleet,
        layout: Layout,
        spread: Spread,
        seed: u64,
    ) -> Result<Self, FleetError> {
        let source = fleet.start("source")?;
        let plan = SourcePlan { layout, seed };
        let addresses = listening(fleet, source, &Command::Source(plan)).await?;
        let (regions, zones) = (layout.regions(), layout.zones());
        let upstream_of = |_: usize| addresses.clone();
        let regions = start_tier(fleet, "region-relays", usize::from(regions), spread, upstream_of).await?;
        let region_address =
            |zone: usize| vec![regions.plans[usize::from(layout.region_of(ZoneIndex(zone as u16)).0)].listen];
        let zones = start_tier(fleet, "zone-relays", usize::from(zones), spread, region_address).await?;
        let mut tree = Tree { fleet, layout, source, regions, zones, couriers: Vec::new() };
        tree.start_couriers_processes(spread.courier_processes).await?;
        Ok(tree)
    }

    async fn start_couriers_processes(&mut self, processes: u32) -> Result<(), FleetError> {
        let relays: Vec<SocketAddr> = self.zones.plans.iter().map(|plan| plan.listen).collect();
        let total = u64::from(self.layout.couriers());
        let begin = |process: u32| (total * u64::from(process) / u64::from(processes)) as u32;
        for process in 0..processes {
            let couriers = begin(process)..begin(process + 1);
            let index = self.fleet.start(&format!("couriers-{process}"))?;
            let plan =
                CouriersPlan { layout: self.layout, couriers: couriers.clone(), relays: relays.clone() };
            self.fleet.process(index).send(&Command::Couriers(plan)).await?;
            self.couriers.push((index, couriers));
        }
        for (index, _) in self.couriers.clone() {
            self.fleet.process(index).receive().await?;
        }
        Ok(())
    }

    /// The shape of the fleet.
    pub fn layout(&self) -> Layout {
        self.layout
    }

    /// The most memory that all processes were seen to hold together.
    pub fn peak_memory(&self) -> u64 {
        self.fleet.peak_memory()
    }

    /// How many processes there are, the manager included.
    pub fn process_count(&self) -> usize {
        self.fleet.ids().len() + 1
    }

    /// The processes of a part, with how many members each has.
    pub fn members(&self, part: Part) -> Vec<(ProcessIndex, usize)> {
        let of_tier = |tier: &Tier| {
            let count =
                |process: &ProcessIndex| tier.places.iter().filter(|place| place.process == *process).count();
            tier.processes.iter().map(|process| (*process, count(process))).collect()
        };
        match part {
            Part::Source => vec![(self.source, 1)],
            Part::RegionRelays => of_tier(&self.regions),
            Part::ZoneRelays => of_tier(&self.zones),
            Part::Couriers => self.couriers.iter().map(|(process, range)| (*process, range.len())).collect(),
        }
    }

    /// Has changes made; returns once they have begun.
    pub async fn publish(&mut self, publication: Publication) -> Result<(), FleetError> {
        self.fleet.process(self.source).call(&Command::Publish(publication)).await?;
        Ok(())
    }

    /// Where the source stands.
    pub async fn source_status(&mut self) -> Result<SourceStatus, FleetError> {
        let process = self.fleet.process(self.source);
        match process.call(&Command::Status).await? {
            Report::SourceStatus(status) => Ok(status),
            _ => Err(process.unexpected().into()),
        }
    }

    /// Where all couriers of processes that are not paused stand.
    pub async fn couriers_status(&mut self) -> Result<CouriersStatus, FleetError> {
        let mut all = CouriersStatus { least_revision: u64::MAX, ..CouriersStatus::default() };
        for (index, report) in self.ask_couriers(&Command::Status).await? {
            let Report::CouriersStatus(status) = report else {
                return Err(self.fleet.process(index).unexpected().into());
            };
            all.running += status.running;
            all.current += status.current;
            all.least_revision = all.least_revision.min(status.least_revision);
            all.endpoints += status.endpoints;
            all.sessions.add(&status.sessions);
        }
        Ok(all)
    }

    /// Where the relays of zones stand.
    pub async fn zone_relays_status(&mut self) -> Result<RelaysStatus, FleetError> {
        let mut all = RelaysStatus::default();
        for index in self.zones.processes.clone() {
            let process = self.fleet.process(index);
            match process.call(&Command::Status).await? {
                Report::RelaysStatus(status) => all.add(&status),
                _ => return Err(process.unexpected().into()),
            }
        }
        Ok(all)
    }

    /// The changes that the source made since the last time.
    pub async fn collect_published(&mut self) -> Result<Vec<Published>, FleetError> {
        let process = self.fleet.process(self.source);
        match process.call(&Command::Collect).await? {
            Report::Published(published) => Ok(published),
            _ => Err(process.unexpected().into()),
        }
    }

    /// What couriers took in since the last time.
    pub async fn collect_advances(&mut self) -> Result<Advanced, FleetError> {
        let mut all = Advanced::default();
        for (index, report) in self.ask_couriers(&Command::Collect).await? {
            let Report::Advanced(mut advanced) = report else {
                return Err(self.fleet.process(index).unexpected().into());
            };
            all.advances.append(&mut advanced.advances);
            all.lost += advanced.lost;
        }
        Ok(all)
    }

    /// What the processes of a part have used, all together, with how many members they have.
    pub async fn usage(&mut self, part: Part) -> Result<Vec<(Usage, usize)>, FleetError> {
        let members = self.members(part);
        let mut usages = Vec::new();
        for (index, _) in &members {
            self.fleet.process(*index).send(&Command::Usage).await?;
        }
        for (index, count) in members {
            let process = self.fleet.process(index);
            match process.receive().await? {
                Report::Usage(usage) => usages.push((usage, count)),
                _ => return Err(process.unexpected().into()),
            }
        }
        Ok(usages)
    }

    /// Ends some couriers as if they were killed.
    pub async fn stop_couriers(&mut self, couriers: Range<u32>) -> Result<(), FleetError> {
        self.ask_couriers(&Command::StopCouriers(couriers)).await.map(drop)
    }

    /// Starts those of some couriers that do not run, without state.
    pub async fn start_couriers(&mut self, couriers: Range<u32>) -> Result<(), FleetError> {
        self.ask_couriers(&Command::StartCouriers(couriers)).await.map(drop)
    }

    /// Has a courier start anew and read slowly.
    pub async fn slow_courier(&mut self, courier: CourierIndex) -> Result<(), FleetError> {
        self.ask_couriers(&Command::SlowCourier(courier)).await.map(drop)
    }

    /// Ends the relay of a zone: by SIGKILL where it has a process of its own.
    pub async fn kill_zone_relay(&mut self, zone: ZoneIndex) -> Result<(), FleetError> {
        let place = self.zones.places[usize::from(zone.0)];
        if place.is_alone {
            return self.fleet.kill(place.process).await;
        }
        self.fleet.process(place.process).call(&Command::StopRelay(place.relay)).await?;
        Ok(())
    }

    /// Starts the relay of a zone again, without state, where it was.
    pub async fn restart_zone_relay(&mut self, zone: ZoneIndex) -> Result<(), FleetError> {
        let number = usize::from(zone.0);
        let place = self.zones.places[number];
        if !place.is_alone {
            self.fleet.process(place.process).call(&Command::StartRelay(place.relay)).await?;
            return Ok(());
        }
        let process = self.fleet.start(&format!("zone-relay-{number}"))?;
        let plans = vec![self.zones.plans[number].clone()];
        listening(self.fleet, process, &Command::Relays(plans)).await?;
        self.zones.processes.iter_mut().filter(|old| **old == place.process).for_each(|old| *old = process);
        self.zones.places[number].process = process;
        Ok(())
    }

    /// Cuts the relays of a region off from the source, or lets them through again; those that share their process too.
    pub async fn cut_region(&mut self, region: RegionIndex, is_cut: bool) -> Result<(), FleetError> {
        let place = self.regions.places[usize::from(region.0)];
        self.fleet.process(place.process).call(&Command::CutUpstream(is_cut)).await?;
        Ok(())
    }

    /// Cuts the relays of all regions off from the source, or lets them through again.
    pub async fn cut_regions(&mut self, is_cut: bool) -> Result<(), FleetError> {
        for process in self.regions.processes.clone() {
            self.fleet.process(process).call(&Command::CutUpstream(is_cut)).await?;
        }
        Ok(())
    }

    /// Pauses a process of couriers as a whole; returns which couriers are in it.
    pub fn pause_couriers_process(&mut self, number: usize) -> Result<Range<u32>, FleetError> {
        let (process, couriers) = self.couriers[number].clone();
        self.fleet.process(process).stop()?;
        Ok(couriers)
    }

    /// Lets a paused process of couriers go on.
    pub fn resume_couriers_process(&mut self, number: usize) -> Result<(), FleetError> {
        let (process, _) = self.couriers[number].clone();
        self.fleet.process(process).resume()?;
        Ok(())
    }

    async fn ask_couriers(&mut self, command: &Command) -> Result<Vec<(ProcessIndex, Report)>, FleetError> {
        let mut asked = Vec::new();
        for (index, _) in &self.couriers {
            let process = self.fleet.process(*index);
            if !process.is_stopped() {
                process.send(command).await?;
                asked.push(*index);
            }
        }
        let mut reports = Vec::new();
        for index in asked {
            reports.push((index, self.fleet.process(index).receive().await?));
        }
        Ok(reports)
    }
}

async fn listening(
    fleet: &mut Fleet,
    index: ProcessIndex,
    command: &Command,
) -> Result<Vec<SocketAddr>, FleetError> {
    let process = fleet.process(index);
    match process.call(command).await? {
        Report::Listening(addresses) => Ok(addresses),
        _ => Err(process.unexpected().into()),
    }
}

/// Starts the relays of a tier, spread over its processes.
async fn start_tier(
    fleet: &mut Fleet,
    name: &str,
    count: usize,
    spread: Spread,
    upstream_of: impl Fn(usize) -> Vec<SocketAddr>,
) -> Result<Tier, FleetError> {
    let processes = spread.relay_processes.clamp(1, count);
    let mut tier = Tier::default();
    for process in 0..processes {
        let numbers = count * process / processes..count * (process + 1) / processes;
        let is_alone = numbers.len() == 1;
        let plan = |number: usize| RelayPlan {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            upstream: upstream_of(number),
            seed: RELAY_SEED + number as u64,
        };
        let mut plans: Vec<RelayPlan> = numbers.map(plan).collect();
        let index = fleet.start(&format!("{name}-{process}"))?;
        let addresses = listening(fleet, index, &Command::Relays(plans.clone())).await?;
        for (relay, (plan, address)) in plans.iter_mut().zip(addresses).enumerate() {
            plan.listen = address;
            tier.places.push(RelayPlace { process: index, relay: RelayIndex(relay), is_alone });
        }
        tier.plans.append(&mut plans);
        tier.processes.push(index);
    }
    Ok(tier)
}

/// Waits between two looks at where a fleet stands.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(100);
