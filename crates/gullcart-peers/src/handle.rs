//! The courier's side of the group: a handle that says what may be done, from what was agreed on last and the clock, and waits
//! for nobody.

use crate::group::{run, Begin};
use crate::settings::Settings;
use crate::vocabulary::{now, Given, GroupError, Look, Shared, Status, Wish};
use gullcart_group::vocabulary::{Duty, Epoch, Words};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};
use tracing::{error, info};

/// Wishes of the courier that wait.
const WISHES: usize = 1024;
/// Between two looks whether the thread has ended.
const ENDING: Duration = Duration::from_millis(1);

/// The courier's side.
pub struct Handle {
    shared: Arc<Mutex<Shared>>,
    wishes: mpsc::Sender<Wish>,
    address: SocketAddr,
    thread: JoinHandle<()>,
    changed: Arc<Notify>,
}

impl Handle {
    /// Where this member listens for the others.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Under which epoch a duty may be acted on now; to be asked right before each act.
    pub fn may_act(&self, duty: &Duty) -> Option<Epoch> {
        self.holds(duty).map(|(epoch, _)| epoch)
    }

    /// The same, and for how long if nothing more is heard.
    pub fn holds(&self, duty: &Duty) -> Option<(Epoch, Duration)> {
        let shared = self.shared.lock().ok()?;
        let (epoch, until) = shared.held.get(duty)?;
        // The clock last: the lock may have been waited for.
        let left = *until - now();
        (!left.is_zero()).then_some((*epoch, left))
    }

    /// How a duty stands that is wanted.
    pub fn look(&self, duty: &Duty) -> Option<Look> {
        self.shared.lock().ok()?.looks.get(duty).cloned()
    }

    /// All that is wanted.
    pub fn wants(&self) -> Vec<Duty> {
        self.shared.lock().map(|shared| shared.looks.keys().cloned().collect()).unwrap_or_default()
    }

    /// Notified when what is held, or how something wanted stands, has changed.
    pub fn changed(&self) -> Arc<Notify> {
        self.changed.clone()
    }

    /// Wants to hold a duty; false where too much is asked at once.
    pub fn want(&self, duty: Duty) -> bool {
        self.wishes.try_send(Wish::Want(duty)).is_ok()
    }

    /// Wants it no more: it is not acted on from here on, whatever the group has heard of that.
    pub fn give_up(&self, duty: Duty) -> bool {
        if let Ok(mut shared) = self.shared.lock() {
            shared.held.remove(&duty);
        }
        self.wishes.try_send(Wish::GiveUp(duty)).is_ok()
    }

    /// Gives it up where it is held, wants to hear of it all the same, and does not claim it for so long.
    pub fn pass_on(&self, duty: Duty, rest: Duration) -> bool {
        if let Ok(mut shared) = self.shared.lock() {
            shared.held.remove(&duty);
        }
        self.wishes.try_send(Wish::PassOn(duty, rest)).is_ok()
    }

    /// Tells all that want a duty something of it, while it is held here.
    pub fn tell(&self, duty: Duty, words: Words) -> bool {
        self.wishes.try_send(Wish::Tell(duty, words)).is_ok()
    }

    /// Follows another file, as far as that may change in service; what of it is refused is in the log. False where too much is
    /// asked at once.
    pub fn follow(&self, settings: Settings) -> bool {
        self.wishes.try_send(Wish::Follow(Box::new(settings))).is_ok()
    }

    /// How the group stood when it was last looked at or changed.
    pub fn status(&self) -> Status {
        let Ok(mut shared) = self.shared.lock() else { return Status::default() };
        shared.is_asked = true;
        shared.status.clone()
    }

    /// Whether the group has ended by itself: the courier goes on without.
    pub fn is_over(&self) -> bool {
        self.thread.is_finished()
    }

    /// What is held is not acted on any more by this process, whatever it does.
    fn clear(&self) {
        if let Ok(mut shared) = self.shared.lock() {
            shared.held.clear();
        }
    }

    /// Gives all up and ends; whether the group has heard of it in time. The loop ends soon after, whatever was heard.
    pub async fn leave(self, within: Duration) -> bool {
        let (done, left) = oneshot::channel();
        self.clear();
        let told = self.wishes.try_send(Wish::Leave(done)).is_ok();
        told && timeout(within, left).await.is_ok_and(|left| left.is_ok())
    }

    /// Stops without giving anything up, for another process of the same folder to go on in this one's place. The folder and the
    /// address are free after this, where something is given.
    pub async fn give_away(self, within: Duration) -> Option<Given> {
        let (done, given) = oneshot::channel();
        self.clear();
        self.wishes.try_send(Wish::Pack(done)).ok()?;
        let ended = timeout(within, async {
            let given = given.await.ok()?;
            while !self.thread.is_finished() {
                sleep(ENDING).await;
            }
            Some(*given)
        });
        ended.await.ok().flatten()
    }
}

/// Begins to belong to the group, or goes on in the place of a process that gave itself up to this one.
pub fn start(settings: Settings, folder: &Path, given: Option<Given>) -> Result<Handle, GroupError> {
    let begin = Begin::open(settings, folder, given)?;
    let address = begin.address();
    let shared = Arc::new(Mutex::new(Shared::default()));
    let (wishes, wished) = mpsc::channel(WISHES);
    let (told, changed) = (shared.clone(), Arc::new(Notify::new()));
    let tell = changed.clone();
    let work = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let done = runtime
            .map_err(GroupError::Thread)
            .and_then(|runtime| LocalSet::new().block_on(&runtime, run(begin, told.clone(), tell, wished)));
        if let Err(error) = done {
            error!(%error, "this courier belongs to no group any more, and goes on by itself");
            if let Ok(mut shared) = told.lock() {
                shared.held.clear();
                shared.status.votes = false;
                shared.status.trouble = Some(error.to_string());
            }
        }
    };
    let thread =
        std::thread::Builder::new().name("group".to_owned()).spawn(work).map_err(GroupError::Thread)?;
    info!(%address, "the group listens");
    Ok(Handle { shared, wishes, address, thread, changed })
}
