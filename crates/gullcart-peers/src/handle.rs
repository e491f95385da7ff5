//! The courier's interface to the group. It answers from the last published state and the clock, without waiting for the group's
//! thread.

use crate::group::{run, GroupStart};
use crate::settings::Settings;
use crate::types::{now, DutyObservation, GroupError, GroupHandover, LoopCommand, Shared, Status};
use gullcart_group::types::{Duty, Epoch, Payload};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};
use tracing::{error, info};

/// Maximum number of commands waiting for the group's thread.
const MAX_QUEUED_COMMANDS: usize = 1024;
/// Interval at which a hand-over checks whether the thread has ended.
const THREAD_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A running member of a group.
pub struct Handle {
    shared: Arc<Mutex<Shared>>,
    commands: mpsc::Sender<LoopCommand>,
    address: SocketAddr,
    thread: JoinHandle<()>,
    changed: Arc<Notify>,
}

impl Handle {
    /// The address on which this member listens for others.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The epoch under which the courier may act on a duty now. Must be checked right before each action.
    pub fn active_epoch(&self, duty: &Duty) -> Option<Epoch> {
        self.held_lease(duty).map(|(epoch, _)| epoch)
    }

    /// Like [`Handle::active_epoch`], with the remaining time of the lease.
    pub fn held_lease(&self, duty: &Duty) -> Option<(Epoch, Duration)> {
        let shared = self.shared.lock().ok()?;
        let (epoch, until) = shared.held_duties.get(duty)?;
        // The clock is read after the lock, which may have been waited for.
        let remaining = *until - now();
        (!remaining.is_zero()).then_some((*epoch, remaining))
    }

    /// The last reported state of a requested duty.
    pub fn observe(&self, duty: &Duty) -> Option<DutyObservation> {
        self.shared.lock().ok()?.requested_duties.get(duty).cloned()
    }

    /// All requested duties.
    pub fn requested_duties(&self) -> Vec<Duty> {
        self.shared.lock().map(|shared| shared.requested_duties.keys().cloned().collect()).unwrap_or_default()
    }

    /// Notified when the held duties or the state of a requested duty change.
    pub fn changed(&self) -> Arc<Notify> {
        self.changed.clone()
    }

    /// Requests a duty. Returns false if too many commands are queued.
    pub fn request(&self, duty: Duty) -> bool {
        self.commands.try_send(LoopCommand::RequestDuty(duty)).is_ok()
    }

    /// Withdraws the request for a duty and releases it. It is no longer active from now on, even before the group has decided
    /// the release. Returns false if too many commands are queued.
    pub fn release(&self, duty: Duty) -> bool {
        if let Ok(mut shared) = self.shared.lock() {
            shared.held_duties.remove(&duty);
        }
        self.commands.try_send(LoopCommand::ReleaseDuty(duty)).is_ok()
    }

    /// Releases a duty if it is held, and does not claim it again before `cooldown` has passed. The request stays. Returns false
    /// if too many commands are queued.
    pub fn yield_duty(&self, duty: Duty, cooldown: Duration) -> bool {
        if let Ok(mut shared) = self.shared.lock() {
            shared.held_duties.remove(&duty);
        }
        self.commands.try_send(LoopCommand::YieldDuty(duty, cooldown)).is_ok()
    }

    /// Publishes a note about a held duty to all members that request it. Returns false if too many commands are queued.
    pub fn publish_note(&self, duty: Duty, payload: Payload) -> bool {
        self.commands.try_send(LoopCommand::PublishNote(duty, payload)).is_ok()
    }

    /// Applies new settings, as far as that is possible without a restart; otherwise they are rejected with a log message.
    /// Returns false if too many commands are queued.
    pub fn apply_settings(&self, settings: Settings) -> bool {
        self.commands.try_send(LoopCommand::ApplySettings(Box::new(settings))).is_ok()
    }

    /// The status as it was last published.
    pub fn status(&self) -> Status {
        let Ok(mut shared) = self.shared.lock() else { return Status::default() };
        shared.is_status_requested = true;
        shared.status.clone()
    }

    /// Whether the group's thread has ended. The courier then works without a group.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Makes all duties inactive for this process at once.
    fn clear_held(&self) {
        if let Ok(mut shared) = self.shared.lock() {
            shared.held_duties.clear();
        }
    }

    /// Releases all duties and stops. Returns whether the group has confirmed the releases in time; the thread ends soon in
    /// either case.
    pub async fn leave(self, time_limit: Duration) -> bool {
        let (done, released) = oneshot::channel();
        self.clear_held();
        let is_queued = self.commands.try_send(LoopCommand::Leave(done)).is_ok();
        is_queued && timeout(time_limit, released).await.is_ok_and(|released| released.is_ok())
    }

    /// Stops without releasing anything, so that another process can continue with the same folder. If a state is returned, the
    /// folder and the address are free.
    pub async fn hand_over(self, time_limit: Duration) -> Option<GroupHandover> {
        let (done, handover) = oneshot::channel();
        self.clear_held();
        self.commands.try_send(LoopCommand::HandOver(done)).ok()?;
        let ended = timeout(time_limit, async {
            let handover = handover.await.ok()?;
            while !self.thread.is_finished() {
                sleep(THREAD_POLL_INTERVAL).await;
            }
            Some(*handover)
        });
        ended.await.ok().flatten()
    }
}

/// Starts a member, or continues one that another process has handed over.
pub fn start(
    settings: Settings,
    folder: &Path,
    handover: Option<GroupHandover>,
) -> Result<Handle, GroupError> {
    let group_start = GroupStart::open(settings, folder, handover)?;
    let address = group_start.address();
    let shared = Arc::new(Mutex::new(Shared::default()));
    let (commands, queued) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let (thread_shared, changed) = (shared.clone(), Arc::new(Notify::new()));
    let thread_changed = changed.clone();
    let run_thread = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let result = runtime.map_err(GroupError::Thread).and_then(|runtime| {
            LocalSet::new()
                .block_on(&runtime, run(group_start, thread_shared.clone(), thread_changed, queued))
        });
        if let Err(error) = result {
            error!(%error, "the group's thread has failed; this courier continues without a group");
            if let Ok(mut shared) = thread_shared.lock() {
                shared.held_duties.clear();
                shared.status.votes = false;
                shared.status.problem = Some(error.to_string());
            }
        }
    };
    let thread =
        std::thread::Builder::new().name("group".to_owned()).spawn(run_thread).map_err(GroupError::Thread)?;
    info!(%address, "listening for members of the group");
    Ok(Handle { shared, commands, address, thread, changed })
}
