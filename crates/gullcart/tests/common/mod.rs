//! Helpers for tests with three couriers of one group.
#![allow(dead_code)]

use gullcart_peers::operator::fetch_status;
use gullcart_peers::settings::Settings;
use gullcart_peers::types::Status;
use gullcart_standins::world::*;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The daemon.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");
/// How long to wait for a condition; far longer than any of them takes.
pub const TIMEOUT: Duration = Duration::from_secs(40);

/// Three couriers of one group, each in a world of its own.
pub struct Group {
    /// The worlds of the couriers.
    pub worlds: Vec<World>,
    /// The settings files of the group, one for each courier.
    pub files: Vec<PathBuf>,
    _reserved: Vec<Socket>,
}

/// A socket that is bound and does not listen: the port is not given to anybody else, and a courier can listen on it.
fn reserved() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket
}

impl Group {
    /// A group of couriers with partners of their own.
    pub fn new() -> Self {
        Group::of((0..3).map(|_| World::with_console(PROGRAM, 1)).collect())
    }

    /// A group of couriers with the same partner, which is in the first one's world. Their settings say that `couriers` share
    /// it.
    pub fn with_one_partner(couriers: u32) -> Self {
        let mut worlds: Vec<World> = (0..3).map(|_| World::with_console(PROGRAM, 1)).collect();
        let (first, rest) = worlds.split_at_mut(1);
        rest.iter_mut().for_each(|world| world.share_endpoints_of(&first[0]));
        worlds.iter_mut().for_each(|world| world.couriers = couriers);
        Group::of(worlds)
    }

    fn of(mut worlds: Vec<World>) -> Self {
        let reserved: Vec<Socket> = (0..3).map(|_| reserved()).collect();
        let address = |socket: &Socket| socket.local_addr().unwrap().as_socket().unwrap();
        let addresses: Vec<SocketAddr> = reserved.iter().map(address).collect();
        let mut files = Vec::new();
        for (place, world) in worlds.iter_mut().enumerate() {
            let key = world.folder().join("key");
            std::fs::write(&key, "a key that is for tests alone").unwrap();
            std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
            let mut text = format!(
                "name = \"m{place}\"\nlisten = \"{}\"\nkey_file = \"key\"\ndisk_kb = 256\n",
                addresses[place]
            );
            for (other, address) in addresses.iter().enumerate() {
                let number = other + 1;
                text += &format!(
                    "[[member]]\nname = \"m{other}\"\nnumber = {number}\naddress = \"{address}\"\nvotes = true\n"
                );
            }
            let file = world.folder().join("group.toml");
            std::fs::write(&file, text).unwrap();
            world.environment.push(("GULLCART_GROUP".to_owned(), file.display().to_string()));
            files.push(file);
        }
        Group { worlds, files, _reserved: reserved }
    }

    /// Where a courier's member listens for the others.
    pub fn address(&self, place: usize) -> SocketAddr {
        Settings::read(&self.files[place]).unwrap().members[place].address
    }

    /// The status that a courier's member reports.
    pub fn status(&self, place: usize) -> Option<Status> {
        let settings = Settings::read(&self.files[place]).unwrap();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(fetch_status(&settings, &settings.members[place])).ok()
    }

    /// Waits until a status meets a condition.
    pub fn until(&self, place: usize, what: &str, is_it: impl Fn(&Status) -> bool) -> Status {
        let begun = Instant::now();
        let mut last = None;
        while begun.elapsed() < TIMEOUT {
            last = self.status(place);
            if let Some(status) = last.as_ref().filter(|status| is_it(status)) {
                return status.clone();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("never: {what}; {last:?}")
    }

    /// Whether a courier holds a duty now.
    pub fn holds(&self, place: usize, duty: &str) -> bool {
        self.status(place).is_some_and(|status| status.held_duties.iter().any(|held| held == duty))
    }

    /// Whether a courier knows the holder of a duty.
    pub fn knows_holder(&self, place: usize, duty: &str) -> bool {
        let is_it = |status: Status| status.duties.iter().any(|of| of.name == duty && of.holder.is_some());
        self.status(place).is_some_and(is_it)
    }
}
