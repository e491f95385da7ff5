//! [`World`]: the endpoints, discovery, folder and parameters of couriers under test.

use super::agent::Agent;
use super::call::{serve_calls, CourierAction};
use super::http::serve;
use socket2::Socket;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};

/// The environment of couriers under test. The public fields are parameters of couriers that are started later.
pub struct World {
    pub(super) program: String,
    pub(super) folder: PathBuf,
    pub(super) endpoints: Vec<SocketAddr>,
    /// Sockets that are bound but do not listen: they refuse connections and reserve their ports.
    pub(super) refusing: Vec<Socket>,
    pub(super) discovery: Agent,
    /// What couriers do, in order.
    pub(super) actions: Receiver<CourierAction>,
    pub(super) action_sender: Sender<CourierAction>,
    /// Aim of all classes, in seconds. Deadlines follow from it, see [`World::configure`].
    pub(super) aim_s: u64,
    /// Maximum number of messages that a courier holds.
    pub max_held: u32,
    /// Connection slots: the maximum number of calls in flight.
    pub slots: u32,
    /// Limit of sockets in the configuration.
    pub sockets: u32,
    /// Limit of memory in the configuration, in MB.
    pub memory_mb: u64,
    /// Limit of open descriptors that the system enforces, if it is to be lower than usual.
    pub descriptor_limit: Option<u32>,
    /// Whether each endpoint has a separate destination, numbered from 1. Otherwise all belong to destination 1.
    pub separate_destinations: bool,
    /// Number of couriers that share the endpoints, as stated in the settings.
    pub couriers: u32,
    /// Additional environment variables of couriers.
    pub environment: Vec<(String, String)>,
    /// Disk space that the configuration allows a courier, in MB.
    pub(super) disk_mb: f64,
    _cleanup: Cleanup,
}

/// Removes the folder when the harness is dropped.
struct Cleanup(PathBuf);

impl Drop for Cleanup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl World {
    /// A harness with this number of serving endpoints, all of destination 1, and this disk space for couriers.
    pub fn new(program: &str, endpoints: usize, disk_mb: f64) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let folder_name =
            format!("gullcart-test-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let folder = std::env::temp_dir().join(folder_name);
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let (action_sender, actions) = channel();
        let bind = || TcpListener::bind("127.0.0.1:0").unwrap();
        let mut addresses = Vec::new();
        for index in 0..endpoints {
            let listener = bind();
            addresses.push(listener.local_addr().unwrap());
            let action_sender = action_sender.clone();
            serve(listener, move |stream| serve_calls(index, stream, &action_sender));
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
            aim_s: 3,
            max_held: 400,
            slots: 16,
            sockets: 1024,
            memory_mb: 192,
            descriptor_limit: None,
            separate_destinations: false,
            couriers: 1,
            environment: Vec::new(),
            disk_mb,
        }
    }

    /// A harness whose couriers open a console, on a port that the system chooses.
    pub fn with_console(program: &str, endpoints: usize) -> Self {
        let mut world = World::new(program, endpoints, 3.0);
        world.environment.push(("BALANCER_CONSOLE".to_owned(), "127.0.0.1:0".to_owned()));
        world
    }

    /// A harness with long aims and deadlines, for tests in which no message may expire.
    pub fn with_long_deadlines(program: &str, endpoints: usize, disk_mb: f64) -> Self {
        World { aim_s: 100, ..World::new(program, endpoints, disk_mb) }
    }

    /// Uses the endpoints of another harness, which then receives the calls.
    pub fn share_endpoints_of(&mut self, other: &World) {
        self.endpoints = other.endpoints.clone();
    }

    /// The state folder, which is kept when a courier restarts.
    pub fn state_folder(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// The folder of the configuration, for other files too.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Bytes that the files of the state folder take up, in disk blocks of 512 bytes.
    pub fn disk_used_bytes(&self) -> u64 {
        let files = std::fs::read_dir(self.folder.join("state")).unwrap();
        files.map(|file| file.unwrap().metadata().map_or(0, |data| data.len().div_ceil(512) * 512)).sum()
    }

    /// Appends bytes after the last record of the newest journal segment.
    pub fn append_to_journal(&self, bytes: &[u8]) {
        let files = std::fs::read_dir(self.state_folder()).unwrap().map(|file| file.unwrap().path());
        let last = files.filter(|path| path.extension().is_some_and(|end| end == "seg")).max().unwrap();
        let mut all = std::fs::read(&last).unwrap();
        // The unwritten rest of the segment is zeros. The last record may end in zeros itself, so 7 of them are kept.
        all.truncate(all.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 8));
        all.extend_from_slice(bytes);
        std::fs::write(last, all).unwrap();
    }
}
