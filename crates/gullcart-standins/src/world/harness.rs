//! The world itself: the endpoints and the discovery that a courier under test is given, and its folder.

use super::agent::Agent;
use super::call::{serve_calls, CourierAction};
use super::http::serve;
use socket2::Socket;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};

/// What stands around a courier under test.
pub struct World {
    pub(super) program: String,
    pub(super) folder: PathBuf,
    pub(super) endpoints: Vec<SocketAddr>,
    /// Sockets that are bound and do not listen: connecting to one is refused, and nobody else gets its port.
    pub(super) refusing: Vec<Socket>,
    pub(super) discovery: Agent,
    pub(super) actions: Receiver<CourierAction>,
    pub(super) action_sender: Sender<CourierAction>,
    /// When messages are wanted, in seconds.
    pub(super) aim: u64,
    /// Messages held at once, at most.
    pub max_held: u32,
    /// Calls out at once, at most.
    pub slots: u32,
    /// Descriptors of a courier.
    pub sockets: u32,
    /// Descriptors that a courier may open, where the system is to hold it to fewer than usual.
    pub descriptor_limit: Option<u32>,
    /// Each endpoint has a destination of its own, from 1 on.
    pub separate_destinations: bool,
    /// Couriers that share the endpoints, as they are told.
    pub couriers: u32,
    /// Further variables that couriers are given.
    pub environment: Vec<(String, String)>,
    pub(super) disk_mb: f64,
    _cleanup: Cleanup,
}

/// Removes the folder of a world at its end.
struct Cleanup(PathBuf);

impl Drop for Cleanup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl World {
    /// Endpoints of destination 1, all serving, and a disk of some size.
    pub fn new(program: &str, endpoints: usize, disk_mb: f64) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let own = format!("gullcart-test-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let folder = std::env::temp_dir().join(own);
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let (action_sender, actions) = channel();
        let bind = || TcpListener::bind("127.0.0.1:0").unwrap();
        let mut addresses = Vec::new();
        for number in 0..endpoints {
            let listener = bind();
            addresses.push(listener.local_addr().unwrap());
            let action_sender = action_sender.clone();
            serve(listener, move |stream| serve_calls(number, stream, &action_sender));
        }
        let discovery = Agent::start(&action_sender);
        World {
            _cleanup: Cleanup(folder.clone()),
            program: program.to_owned(),
            folder,
            endpoints: addresses,
            refusing: Vec::new(),
            discovery,
            actions,
            action_sender,
            aim: 3,
            max_held: 400,
            slots: 16,
            sockets: 1024,
            descriptor_limit: None,
            separate_destinations: false,
            couriers: 1,
            environment: Vec::new(),
            disk_mb,
        }
    }

    /// A world whose couriers have a console each, at a port of the system's choice.
    pub fn with_console(program: &str, endpoints: usize) -> Self {
        let mut world = World::new(program, endpoints, 3.0);
        world.environment.push(("BALANCER_CONSOLE".to_owned(), "127.0.0.1:0".to_owned()));
        world
    }

    /// A world in which the module waits long before it gives anything up.
    pub fn with_long_deadlines(program: &str, endpoints: usize, disk_mb: f64) -> Self {
        World { aim: 100, ..World::new(program, endpoints, disk_mb) }
    }

    /// Calls go where those of another world go, which is asked about them.
    pub fn share_endpoints_of(&mut self, other: &World) {
        self.endpoints = other.endpoints.clone();
    }

    /// The folder that outlasts the courier.
    pub fn state_folder(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Where the configuration lies, and other files may.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Bytes of the disk that the state folder takes up.
    pub fn disk_used_bytes(&self) -> u64 {
        let files = std::fs::read_dir(self.folder.join("state")).unwrap();
        files.map(|file| file.unwrap().metadata().map_or(0, |data| data.len().div_ceil(512) * 512)).sum()
    }

    /// Writes behind the last record of the journal.
    pub fn append_to_journal(&self, bytes: &[u8]) {
        let files = std::fs::read_dir(self.state_folder()).unwrap().map(|file| file.unwrap().path());
        let last = files.filter(|path| path.extension().is_some_and(|end| end == "seg")).max().unwrap();
        let mut all = std::fs::read(&last).unwrap();
        // A record may end in a few zeros.
        all.truncate(all.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 8));
        all.extend_from_slice(bytes);
        std::fs::write(last, all).unwrap();
    }
}
