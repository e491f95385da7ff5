//! The courier's place in a group, where `GULLCART_GROUP` names a file. Without it none of this is there: no thread, no socket,
//! no file. Whatever becomes of the group, the courier carries messages.

use cloverstile::{DestinationId, Time};
use gullcart_engine::{DutyView, Holder, Told, TrialWish};
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

/// What duties of trials are called, before the destination.
const TRIALS: &str = "trials/";
/// Between two looks whether the group has ended by itself, and two tries to belong to it again.
const LOOK: Duration = Duration::from_secs(1);
const AGAIN: Duration = Duration::from_secs(5);
/// How long the group is waited for when the process ends, and when it moves to another one.
const LEAVE: Duration = Duration::from_secs(1);
const GIVE: Duration = Duration::from_millis(500);

/// The place.
#[derive(Clone)]
pub struct Place {
    settings: Rc<RefCell<Settings>>,
    /// Members for which descriptors were dealt out.
    room: usize,
    folder: PathBuf,
    handle: Rc<RefCell<Option<Handle>>>,
    keeper: Rc<RefCell<Option<AbortHandle>>>,
    /// It was given up for good, and whether that is done.
    is_left: Rc<watch::Sender<bool>>,
}

impl Place {
    /// A place that is not taken yet.
    pub fn new(settings: Settings, state: &Path) -> Self {
        Place {
            room: settings.member_capacity(),
            settings: Rc::new(RefCell::new(settings)),
            folder: state.join("group"),
            handle: Rc::default(),
            keeper: Rc::default(),
            is_left: Rc::default(),
        }
    }

    /// Bytes of the state folder that are the group's, and descriptors at most.
    pub fn costs(settings: &Settings) -> (u64, usize) {
        (settings.disk_bytes, settings.max_descriptors())
    }

    /// Takes it, or goes on in the place of a process that gave it up to this one.
    pub fn take(&self, given: &[u8]) {
        let given = GroupHandover::decode(given).filter(|_| !given.is_empty());
        self.begin(given);
        let place = self.clone();
        let keeper = tokio::task::spawn_local(async move {
            loop {
                sleep(LOOK).await;
                let is_over = place.handle.borrow().as_ref().is_none_or(Handle::is_finished);
                if is_over {
                    // Its folder is free once the one before is gone.
                    place.handle.replace(None);
                    sleep(AGAIN).await;
                    place.begin(None);
                }
            }
        });
        if let Some(before) = self.keeper.replace(Some(keeper.abort_handle())) {
            before.abort();
        }
    }

    fn begin(&self, given: Option<GroupHandover>) {
        let settings = self.settings.borrow().clone();
        match start(settings, &self.folder, given) {
            Ok(handle) => {
                self.handle.replace(Some(handle));
            }
            Err(error) => warn!(%error, "this courier is in no group for now, and goes on by itself"),
        }
    }

    /// Follows another file of the group, as far as that may change in service.
    pub fn follow(&self, settings: Settings) {
        match roster::diff(&self.settings.borrow(), &settings, self.room) {
            Err(error) => {
                return error!(%error, "the file of the group was read again; the group stays as it was")
            }
            Ok(change) if change == roster::MemberChanges::default() => return,
            Ok(_) => {}
        }
        if let Some(handle) = self.handle.borrow().as_ref() {
            handle.apply_settings(settings.clone());
        }
        self.settings.replace(settings);
    }

    /// Duties that were asked for.
    pub fn asked(&self) -> Vec<DestinationId> {
        let handle = self.handle.borrow();
        let wants = handle.as_ref().map(Handle::requested_duties).unwrap_or_default();
        wants.iter().filter_map(destination).collect()
    }

    /// How a duty stands, in the courier's time.
    pub fn view(&self, now: Time, to: DestinationId) -> Option<DutyView> {
        let handle = self.handle.borrow();
        let (handle, duty) = (handle.as_ref()?, duty(to)?);
        let DutyObservation { held_elsewhere_until: other_until, note: told } = handle.observe(&duty)?;
        // Its clock goes on while the machine sleeps, and the courier's may not: what is left is looked up anew each time.
        let boot = boot_now();
        let holder = match (handle.held_lease(&duty), other_until) {
            (Some((epoch, left)), _) => Holder::Me { epoch: epoch.0, until: now + left },
            (None, Some(until)) if until > boot => Holder::Other { until: now + (until - boot) },
            (None, _) => Holder::Nobody,
        };
        let told = told.map(|(epoch, words, at)| Told { epoch: epoch.0, words, at: now - (boot - at) });
        Some(DutyView { holder, told })
    }

    /// Asks the group for something. Where it cannot be asked, it is asked again for what is wanted (`gullcart-engine/trials.rs`).
    pub fn wish(&self, wish: TrialWish) {
        let handle = self.handle.borrow();
        let Some(handle) = handle.as_ref() else { return };
        let done = match wish {
            TrialWish::Want(to) => duty(to).map(|duty| handle.request(duty)),
            TrialWish::GiveUp(to) => duty(to).map(|duty| handle.release(duty)),
            TrialWish::PassOn(to, rest) => duty(to).map(|duty| handle.yield_duty(duty, rest)),
            TrialWish::Tell(to, words) => {
                duty(to).zip(Payload::new(&words)).map(|(duty, words)| handle.publish_note(duty, words))
            }
        };
        if done != Some(true) {
            warn!("the group is asked for too much at once");
        }
    }

    /// Waits until something of that has changed; for ever where there is no group.
    pub async fn changed(&self) {
        let changed = self.handle.borrow().as_ref().map(Handle::changed);
        match changed {
            Some(changed) => changed.notified().await,
            None => sleep(LOOK).await,
        }
    }

    fn leave_alone(&self) -> Option<Handle> {
        if let Some(keeper) = self.keeper.take() {
            keeper.abort();
        }
        self.handle.take()
    }

    /// Gives up all that it holds at once, for others to take it over.
    pub async fn leave(&self) {
        if let Some(handle) = self.leave_alone() {
            let heard = handle.leave(LEAVE).await;
            info!(heard, "this courier has left its group");
        }
        self.is_left.send_replace(true);
    }

    /// Waits until [`Place::leave`], which has begun, is done.
    pub async fn left(&self) {
        let _ = timeout(LEAVE, self.is_left.subscribe().wait_for(|is_left| *is_left)).await;
    }

    /// Stops, for a process that goes on in its place; nothing where it is in no group.
    pub async fn give(&self) -> Vec<u8> {
        match self.leave_alone() {
            Some(handle) => handle.hand_over(GIVE).await.map_or_else(Vec::new, |given| given.encode()),
            None => Vec::new(),
        }
    }
}

/// The duty to try a destination for all.
fn duty(to: DestinationId) -> Option<Duty> {
    Duty::new(&format!("{TRIALS}{}", to.0))
}

fn destination(duty: &Duty) -> Option<DestinationId> {
    duty.name().strip_prefix(TRIALS)?.parse().ok().map(DestinationId)
}
