//! The courier's place in a group, where `GULLCART_GROUP` names a file. Without it none of this is there: no thread, no socket,
//! no file. Whatever becomes of the group, the courier carries messages.

use gullcart_peers::handle::{start, Handle};
use gullcart_peers::settings::Settings;
use gullcart_peers::vocabulary::Given;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Between two looks whether the group has ended by itself, and two tries to belong to it again.
const LOOK: Duration = Duration::from_secs(1);
const AGAIN: Duration = Duration::from_secs(5);
/// How long the group is waited for when the process ends, and when it moves to another one.
const LEAVE: Duration = Duration::from_secs(1);
const GIVE: Duration = Duration::from_millis(500);

/// The place.
#[derive(Clone)]
pub struct Place {
    settings: Settings,
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
            settings,
            folder: state.join("group"),
            handle: Rc::default(),
            keeper: Rc::default(),
            is_left: Rc::default(),
        }
    }

    /// Bytes of the state folder that are the group's, and descriptors at most.
    pub fn costs(settings: &Settings) -> (u64, usize) {
        (settings.disk, settings.sockets())
    }

    /// Takes it, or goes on in the place of a process that gave it up to this one.
    pub fn take(&self, given: &[u8]) {
        let given = Given::read(given).filter(|_| !given.is_empty());
        self.begin(given);
        let place = self.clone();
        let keeper = tokio::task::spawn_local(async move {
            loop {
                sleep(LOOK).await;
                let is_over = place.handle.borrow().as_ref().is_none_or(Handle::is_over);
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

    fn begin(&self, given: Option<Given>) {
        match start(self.settings.clone(), &self.folder, given) {
            Ok(handle) => {
                self.handle.replace(Some(handle));
            }
            Err(error) => warn!(%error, "this courier is in no group for now, and goes on by itself"),
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
            Some(handle) => handle.give_away(GIVE).await.map_or_else(Vec::new, |given| given.write()),
            None => Vec::new(),
        }
    }
}
