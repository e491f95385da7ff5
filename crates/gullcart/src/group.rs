//! The courier's place in a group, where `GULLCART_GROUP` names a file. Without it none of this is there: no thread, no socket,
//! no file. Whatever becomes of the group, the courier carries messages.

use cloverstile::{DestinationId, Time};
use gullcart_engine::{DutyView, Holder, Told, TrialWish};
use gullcart_group::vocabulary::{Duty, Words};
use gullcart_peers::handle::{start, Handle};
use gullcart_peers::roster;
use gullcart_peers::settings::Settings;
use gullcart_peers::vocabulary::{now as boot_now, Given, Look};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tracing::{error, info, warn};

/// What duties of trials are called, before the destination.
const TRIAL_DUTY_PREFIX: &str = "trials/";
/// Between two looks whether the group has ended by itself, and two tries to belong to it again.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const REJOIN_INTERVAL: Duration = Duration::from_secs(5);
/// How long the group is waited for when the process ends, and when it moves to another one.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// What belonging to a group costs a courier at most.
#[derive(Clone, Copy, Default)]
pub struct GroupResources {
    /// Bytes of the state folder.
    pub disk_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// The place.
#[derive(Clone)]
pub struct GroupMembership {
    settings: Rc<RefCell<Settings>>,
    /// Members for which descriptors were dealt out.
    max_members: usize,
    folder: PathBuf,
    handle: Rc<RefCell<Option<Handle>>>,
    rejoin_task: Rc<RefCell<Option<AbortHandle>>>,
    /// It was given up for good, and whether that is done.
    is_left: Rc<watch::Sender<bool>>,
}

impl GroupMembership {
    /// A place that is not taken yet.
    pub fn new(settings: Settings, state: &Path) -> Self {
        GroupMembership {
            max_members: settings.room(),
            settings: Rc::new(RefCell::new(settings)),
            folder: state.join("group"),
            handle: Rc::default(),
            rejoin_task: Rc::default(),
            is_left: Rc::default(),
        }
    }

    /// Bytes of the state folder that are the group's, and descriptors at most.
    pub fn resources(settings: &Settings) -> GroupResources {
        GroupResources { disk_bytes: settings.disk, descriptors: settings.sockets() }
    }

    /// Takes it, or goes on in the place of a process that gave it up to this one.
    pub fn join(&self, given: &[u8]) {
        let given = Given::read(given).filter(|_| !given.is_empty());
        self.start_member(given);
        let membership = self.clone();
        let rejoin_task = tokio::task::spawn_local(async move {
            loop {
                sleep(CHECK_INTERVAL).await;
                let is_over = membership.handle.borrow().as_ref().is_none_or(Handle::is_over);
                if is_over {
                    // Its folder is free once the one before is gone.
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

    fn start_member(&self, given: Option<Given>) {
        let settings = self.settings.borrow().clone();
        match start(settings, &self.folder, given) {
            Ok(handle) => {
                self.handle.replace(Some(handle));
            }
            Err(error) => warn!(%error, "this courier is in no group for now, and goes on by itself"),
        }
    }

    /// Follows another file of the group, as far as that may change in service.
    pub fn apply_settings(&self, settings: Settings) {
        match roster::change(&self.settings.borrow(), &settings, self.max_members) {
            Err(error) => {
                return error!(%error, "the file of the group was read again; the group stays as it was")
            }
            Ok(change) if change == roster::Change::default() => return,
            Ok(_) => {}
        }
        if let Some(handle) = self.handle.borrow().as_ref() {
            handle.follow(settings.clone());
        }
        self.settings.replace(settings);
    }

    /// Duties that were requested_duties for.
    pub fn requested_duties(&self) -> Vec<DestinationId> {
        let handle = self.handle.borrow();
        let wants = handle.as_ref().map(Handle::wants).unwrap_or_default();
        wants.iter().filter_map(destination_of).collect()
    }

    /// How a duty stands, in the courier's time.
    pub fn duty_view(&self, now: Time, destination: DestinationId) -> Option<DutyView> {
        let handle = self.handle.borrow();
        let (handle, duty) = (handle.as_ref()?, trial_duty(destination)?);
        let Look { other_until, told: agreed } = handle.look(&duty)?;
        // Its clock goes on while the machine sleeps, and the courier's may not: what is left is looked up anew each time.
        let boot_time = boot_now();
        let holder = match (handle.holds(&duty), other_until) {
            (Some((epoch, left)), _) => Holder::Me { epoch: epoch.0, until: now + left },
            (None, Some(until)) if until > boot_time => Holder::Other { until: now + (until - boot_time) },
            (None, _) => Holder::Nobody,
        };
        let told =
            agreed.map(|(epoch, words, at)| Told { epoch: epoch.0, words, at: now - (boot_time - at) });
        Some(DutyView { holder, told })
    }

    /// Asks the group for something. Where it cannot be requested_duties, it is requested_duties again for what is wanted (`gullcart-engine/trials.rs`).
    pub fn request(&self, request: TrialWish) {
        let handle = self.handle.borrow();
        let Some(handle) = handle.as_ref() else { return };
        let is_queued = match request {
            TrialWish::Want(destination) => trial_duty(destination).map(|duty| handle.want(duty)),
            TrialWish::GiveUp(destination) => trial_duty(destination).map(|duty| handle.give_up(duty)),
            TrialWish::PassOn(destination, rest) => {
                trial_duty(destination).map(|duty| handle.pass_on(duty, rest))
            }
            TrialWish::Tell(destination, words) => {
                trial_duty(destination).zip(Words::new(&words)).map(|(duty, words)| handle.tell(duty, words))
            }
        };
        if is_queued != Some(true) {
            warn!("the group is asked for too much at once");
        }
    }

    /// Waits until something of that has changed; for ever where there is no group.
    pub async fn changed(&self) {
        let changed = self.handle.borrow().as_ref().map(Handle::changed);
        match changed {
            Some(changed) => changed.notified().await,
            None => sleep(CHECK_INTERVAL).await,
        }
    }

    fn detach(&self) -> Option<Handle> {
        if let Some(rejoin_task) = self.rejoin_task.take() {
            rejoin_task.abort();
        }
        self.handle.take()
    }

    /// Gives up all that it holds at once, for others to take it over.
    pub async fn leave(&self) {
        if let Some(handle) = self.detach() {
            let is_acknowledged = handle.leave(LEAVE_TIMEOUT).await;
            info!(heard = is_acknowledged, "this courier has left its group");
        }
        self.is_left.send_replace(true);
    }

    /// Waits until [`GroupMembership::leave`], which has begun, is done.
    pub async fn wait_until_left(&self) {
        let _ = timeout(LEAVE_TIMEOUT, self.is_left.subscribe().wait_for(|is_left| *is_left)).await;
    }

    /// Stops, for a process that goes on in its place; nothing where it is in no group.
    pub async fn hand_over(&self) -> Vec<u8> {
        match self.detach() {
            Some(handle) => {
                handle.give_away(HANDOVER_TIMEOUT).await.map_or_else(Vec::new, |given| given.write())
            }
            None => Vec::new(),
        }
    }
}

/// The duty to try a destination for all.
fn trial_duty(destination: DestinationId) -> Option<Duty> {
    Duty::new(&format!("{TRIAL_DUTY_PREFIX}{}", destination.0))
}

fn destination_of(duty: &Duty) -> Option<DestinationId> {
    duty.name().strip_prefix(TRIAL_DUTY_PREFIX)?.parse().ok().map(DestinationId)
}
