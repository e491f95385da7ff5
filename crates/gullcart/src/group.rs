//! The courier's membership in a group, if `GULLCART_GROUP` names a settings file. Without one there is no thread, socket or
//! file for it. A failure of the group never keeps the courier from delivering messages.

use cloverstile::{DestinationId, Time};
use gullcart_engine::{DutyHolder, DutyReport, DutyView, TrialRequest};
use gullcart_group::types::{Duty, Payload};
use gullcart_peers::handle::{start, Handle};
use gullcart_peers::roster;
use gullcart_peers::settings::Settings;
use gullcart_peers::types::{now as boot_now, DutyObservation, GroupHandover};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tracing::{error, info, warn};

/// Prefix of the names of trial duties, before the destination's number.
const TRIAL_DUTY_PREFIX: &str = "trials/";
/// How often to check whether the group's thread has ended by itself.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the courier joins its group again.
const REJOIN_INTERVAL: Duration = Duration::from_secs(5);
/// How long to wait for the group when the process ends.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long to wait for the group's state in a hand-over.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Upper bounds on the resources that belonging to a group takes from a courier.
#[derive(Clone, Copy, Default)]
pub struct GroupResources {
    /// Bytes of the state folder.
    pub disk_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// A courier's membership in its group.
#[derive(Clone)]
pub struct GroupMembership {
    settings: Rc<RefCell<Settings>>,
    /// Number of members for which descriptors are reserved.
    max_members: usize,
    folder: PathBuf,
    /// The handle of the group's thread; none while the courier is not in the group.
    handle: Rc<RefCell<Option<Handle>>>,
    /// The task that joins again after the group's thread has ended.
    rejoin_task: Rc<RefCell<Option<AbortHandle>>>,
    /// Set to true once the courier has left the group for good.
    has_left: Rc<watch::Sender<bool>>,
}

impl GroupMembership {
    /// A membership that has not been joined yet.
    pub fn new(settings: Settings, state: &Path) -> Self {
        GroupMembership {
            max_members: settings.member_capacity(),
            settings: Rc::new(RefCell::new(settings)),
            folder: state.join("group"),
            handle: Rc::default(),
            rejoin_task: Rc::default(),
            has_left: Rc::default(),
        }
    }

    /// What the group of these settings takes from the courier's limits.
    pub fn resources(settings: &Settings) -> GroupResources {
        GroupResources { disk_bytes: settings.disk_bytes, descriptors: settings.max_descriptors() }
    }

    /// Joins the group, or resumes the membership of a process that handed it over.
    pub fn join(&self, handover_bytes: &[u8]) {
        let handover = GroupHandover::decode(handover_bytes).filter(|_| !handover_bytes.is_empty());
        self.start_member(handover);
        let membership = self.clone();
        let rejoin_task = tokio::task::spawn_local(async move {
            loop {
                sleep(CHECK_INTERVAL).await;
                let is_over = membership.handle.borrow().as_ref().is_none_or(Handle::is_finished);
                if is_over {
                    // Dropped first, as the previous thread holds the folder.
                    membership.handle.replace(None);
                    sleep(REJOIN_INTERVAL).await;
                    membership.start_member(None);
                }
            }
        });
        if let Some(previous) = self.rejoin_task.replace(Some(rejoin_task.abort_handle())) {
            previous.abort();
        }
    }

    /// Starts the group's thread. A failure is logged, and the courier goes on without a group.
    fn start_member(&self, handover: Option<GroupHandover>) {
        let settings = self.settings.borrow().clone();
        match start(settings, &self.folder, handover) {
            Ok(handle) => {
                self.handle.replace(Some(handle));
            }
            Err(error) => warn!(%error, "cannot join the group for now; the courier goes on without it"),
        }
    }

    /// Applies a new settings file, as far as its changes are possible while the process runs.
    pub fn apply_settings(&self, settings: Settings) {
        match roster::diff(&self.settings.borrow(), &settings, self.max_members) {
            Err(error) => {
                return error!(%error, "cannot apply the new settings of the group; it stays as it was")
            }
            Ok(change) if change == roster::MemberChanges::default() => return,
            Ok(_) => {}
        }
        if let Some(handle) = self.handle.borrow().as_ref() {
            handle.apply_settings(settings.clone());
        }
        self.settings.replace(settings);
    }

    /// The trial duties that this courier has requested.
    pub fn requested_duties(&self) -> Vec<DestinationId> {
        let handle = self.handle.borrow();
        let duties = handle.as_ref().map(Handle::requested_duties).unwrap_or_default();
        duties.iter().filter_map(destination_of).collect()
    }

    /// The state of a trial duty, in the courier's time.
    pub fn duty_view(&self, now: Time, destination: DestinationId) -> Option<DutyView> {
        let handle = self.handle.borrow();
        let (handle, duty) = (handle.as_ref()?, trial_duty(destination)?);
        let DutyObservation { held_elsewhere_until, note } = handle.observe(&duty)?;
        // The group's clock runs on while the machine is suspended, unlike the courier's, so the remaining time is computed anew
        // at each call.
        let boot_time = boot_now();
        let holder = match (handle.held_lease(&duty), held_elsewhere_until) {
            (Some((epoch, remaining)), _) => {
                DutyHolder::ThisCourier { epoch: epoch.0, until: now + remaining }
            }
            (None, Some(until)) if until > boot_time => {
                DutyHolder::OtherCourier { until: now + (until - boot_time) }
            }
            (None, _) => DutyHolder::Nobody,
        };
        let report = note.map(|(epoch, payload, agreed_at)| DutyReport {
            epoch: epoch.0,
            payload,
            agreed_at: now - (boot_time - agreed_at),
        });
        Some(DutyView { holder, report })
    }

    /// Sends a request to the group. The engine repeats a request that was dropped for as long as it needs it.
    pub fn request(&self, request: TrialRequest) {
        let handle = self.handle.borrow();
        let Some(handle) = handle.as_ref() else { return };
        let is_queued = match request {
            TrialRequest::Register(destination) => trial_duty(destination).map(|duty| handle.request(duty)),
            TrialRequest::Unregister(destination) => trial_duty(destination).map(|duty| handle.release(duty)),
            TrialRequest::PassOn(destination, cooldown) => {
                trial_duty(destination).map(|duty| handle.yield_duty(duty, cooldown))
            }
            TrialRequest::Report(destination, report) => trial_duty(destination)
                .zip(Payload::new(&report))
                .map(|(duty, payload)| handle.publish_note(duty, payload)),
        };
        if is_queued != Some(true) {
            warn!("a request to the group was dropped: it is invalid, or too many requests are pending");
        }
    }

    /// Waits until a duty may have changed.
    pub async fn changed(&self) {
        let changed = self.handle.borrow().as_ref().map(Handle::changed);
        match changed {
            Some(changed) => changed.notified().await,
            None => sleep(CHECK_INTERVAL).await,
        }
    }

    /// Ends the membership on this side and returns its handle.
    fn detach(&self) -> Option<Handle> {
        if let Some(rejoin_task) = self.rejoin_task.take() {
            rejoin_task.abort();
        }
        self.handle.take()
    }

    /// Leaves the group and releases all duties at once, so that other members can take them over.
    pub async fn leave(&self) {
        if let Some(handle) = self.detach() {
            let is_acknowledged = handle.leave(LEAVE_TIMEOUT).await;
            info!(heard = is_acknowledged, "this courier has left its group");
        }
        self.has_left.send_replace(true);
    }

    /// Waits for the end of [`GroupMembership::leave`], which must have been started.
    pub async fn wait_until_left(&self) {
        let _ = timeout(LEAVE_TIMEOUT, self.has_left.subscribe().wait_for(|has_left| *has_left)).await;
    }

    /// Stops the membership for a hand-over, and returns its state; empty without a group.
    pub async fn hand_over(&self) -> Vec<u8> {
        match self.detach() {
            Some(handle) => {
                handle.hand_over(HANDOVER_TIMEOUT).await.map_or_else(Vec::new, |handover| handover.encode())
            }
            None => Vec::new(),
        }
    }
}

/// The duty of making the trial calls for a destination.
fn trial_duty(destination: DestinationId) -> Option<Duty> {
    Duty::new(&format!("{TRIAL_DUTY_PREFIX}{}", destination.0))
}

/// The destination of a trial duty.
fn destination_of(duty: &Duty) -> Option<DestinationId> {
    duty.name().strip_prefix(TRIAL_DUTY_PREFIX)?.parse().ok().map(DestinationId)
}
