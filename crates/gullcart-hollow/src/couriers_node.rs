//! The hollow couriers of one process, each on a task and a connection of its own.

use crate::control::{Advanced, CouriersPlan, CouriersStatus};
use crate::courier::{CourierError, CourierSettings};
use crate::hollow::{serve_courier, AdvanceLog, HollowCourier, Way};
use crate::layout::CourierIndex;
use crate::link::{LinkShared, ReadPace};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};

/// A courier that reads slowly reads a byte, and then nothing for so long.
const SLOW_PAUSE: Duration = Duration::from_secs(1);

/// A courier that runs. It ends as if it was killed when this is dropped.
struct Running {
    courier: Rc<RefCell<HollowCourier>>,
    task: JoinHandle<()>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The couriers of a process.
pub struct CouriersNode {
    plan: CouriersPlan,
    settings: CourierSettings,
    shared: LinkShared,
    log: Rc<AdvanceLog>,
    running: BTreeMap<CourierIndex, Running>,
}

impl CouriersNode {
    /// Starts all couriers of a plan.
    pub fn start(plan: CouriersPlan, shared: LinkShared) -> Result<Self, CourierError> {
        let settings = CourierSettings::for_fleet(plan.layout.couriers())?;
        let couriers = plan.couriers.clone();
        let (log, running) = Default::default();
        let mut node = CouriersNode { plan, settings, shared, log, running };
        node.start_couriers(couriers)?;
        Ok(node)
    }

    /// Starts those that are of this process and do not run.
    pub fn start_couriers(&mut self, couriers: Range<u32>) -> Result<(), CourierError> {
        for courier in self.own(couriers) {
            if !self.running.contains_key(&courier) {
                self.start_courier(courier, ReadPace::Full)?;
            }
        }
        Ok(())
    }

    /// Ends those that are of this process.
    pub fn stop_couriers(&mut self, couriers: Range<u32>) {
        for courier in self.own(couriers) {
            self.running.remove(&courier);
        }
    }

    /// Has a courier start anew and read slowly.
    pub fn slow_courier(&mut self, courier: CourierIndex) -> Result<(), CourierError> {
        if !self.plan.couriers.contains(&courier.0) {
            return Ok(());
        }
        self.running.remove(&courier);
        self.start_courier(courier, ReadPace::ByteEach(SLOW_PAUSE))
    }

    /// Where they stand.
    pub fn status(&self) -> CouriersStatus {
        let mut status = CouriersStatus { least_revision: u64::MAX, ..CouriersStatus::default() };
        for running in self.running.values() {
            let courier = running.courier.borrow();
            status.running += 1;
            status.current += u32::from(courier.is_current());
            status.least_revision = status.least_revision.min(courier.revision());
            status.endpoints += courier.endpoints() as u64;
            status.sessions.add(&courier.counts());
        }
        status
    }

    /// The changes that were taken in since the last time.
    pub fn collect(&self) -> Advanced {
        let (advances, lost) = self.log.take();
        Advanced { advances, lost }
    }

    fn own(&self, couriers: Range<u32>) -> impl Iterator<Item = CourierIndex> {
        let begin = couriers.start.max(self.plan.couriers.start);
        let end = couriers.end.min(self.plan.couriers.end);
        (begin..end).map(CourierIndex)
    }

    fn start_courier(&mut self, courier: CourierIndex, pace: ReadPace) -> Result<(), CourierError> {
        let layout = self.plan.layout;
        let scopes = layout.scopes_of(courier);
        let hollow = HollowCourier::new(courier, scopes, &self.settings, self.log.clone())?;
        let hollow = Rc::new(RefCell::new(hollow));
        let zones = layout.relays_for(layout.zone_of(courier));
        let relays = zones.iter().map(|zone| self.plan.relays[usize::from(zone.0)]).collect();
        let way = Way { relays, pace, shared: self.shared.clone() };
        let served = hollow.clone();
        let task = spawn_local(async move {
            let error = serve_courier(served, way).await;
            eprintln!("courier {} has ended: {error}", courier.0);
        });
        self.running.insert(courier, Running { courier: hollow, task });
        Ok(())
    }
}
