//! Couriers that belong to a group, as processes: it begins, goes on over upgrades, and costs no message when it fails.

use gullcart_peers::operator::ask;
use gullcart_peers::settings::Settings;
use gullcart_peers::vocabulary::Status;
use gullcart_standins::world::*;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");
/// Far longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(40);

/// Three couriers of one group, each in a world of its own.
struct Group {
    worlds: Vec<World>,
    files: Vec<PathBuf>,
}

fn free_addresses() -> Vec<SocketAddr> {
    let listeners: Vec<_> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap()).collect()
}

impl Group {
    fn new() -> Self {
        let addresses = free_addresses();
        let mut worlds: Vec<World> = (0..3).map(|_| World::with_console(PROGRAM, 1)).collect();
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
            world.variables.push(("GULLCART_GROUP".to_owned(), file.display().to_string()));
            files.push(file);
        }
        Group { worlds, files }
    }

    fn status(&self, place: usize) -> Option<Status> {
        let settings = Settings::read(&self.files[place]).unwrap();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(ask(&settings, &settings.members[place])).ok()
    }

    fn until(&self, place: usize, what: &str, is_it: impl Fn(&Status) -> bool) -> Status {
        let begun = Instant::now();
        let mut last = None;
        while begun.elapsed() < PATIENCE {
            last = self.status(place);
            if let Some(status) = last.as_ref().filter(|status| is_it(status)) {
                return status.clone();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("never: {what}; {last:?}")
    }
}

#[test]
fn without_a_file_there_is_no_thread_and_no_folder() {
    let world = World::with_console(PROGRAM, 1);
    let courier = world.start();
    assert_eq!(courier.client().ask(&["PING"]), "+PONG");
    assert!(!courier.threads().contains(&"group".to_owned()));
    assert!(!world.state().join("group").exists());
}

#[test]
fn an_upgrade_keeps_the_life_of_a_member_and_an_end_leaves_the_others_alone() {
    let group = Group::new();
    let group_thread = |courier: &Courier| courier.threads().contains(&"group".to_owned());
    let mut couriers: Vec<_> = group.worlds.iter().map(|world| Some(world.start())).collect();
    for place in 0..3 {
        group.until(place, "it votes and knows who leads", |status| status.votes && status.leader.is_some());
    }
    assert!(couriers.iter().flatten().all(group_thread));
    let leader = group.status(0).and_then(|status| status.leader).unwrap() as usize - 1;
    let before = group.until(leader, "it is there", |_| true);
    // The one that leads, twice.
    for _ in 0..2 {
        let new = group.worlds[leader].start();
        let old = couriers[leader].replace(new);
        let after = group.until(leader, "the new process votes", |status| {
            status.votes && status.leader.is_some() && status.reached.len() == 2
        });
        assert_eq!((after.life, after.trouble), (before.life, None));
        drop(old);
    }
    // A process that was killed begins another life.
    couriers[leader] = couriers[leader].take().map(Courier::kill_and_restart);
    let after = group.until(leader, "it votes again", |status| status.votes);
    assert_eq!(after.life, before.life + 1);
    // One that ends leaves the others with a leader.
    let begun = Instant::now();
    let mut ending = couriers[leader].take().unwrap();
    ending.terminate();
    assert!(ending.wait(Duration::from_secs(10)).success());
    println!("it ended within {:?}", begun.elapsed());
    for place in (0..3).filter(|place| *place != leader) {
        group.until(place, "another one leads", |status| {
            status.leader.is_some_and(|other| other != leader as u64 + 1)
        });
    }
}

/// Somebody else has the group's address: messages are carried all the same, and the group is joined once it is free.
#[test]
fn a_group_that_cannot_be_joined_costs_no_message() {
    let group = Group::new();
    let settings = Settings::read(&group.files[0]).unwrap();
    let taken = TcpListener::bind(settings.listen).unwrap();
    let courier = group.worlds[0].start();
    let mut client = courier.client();
    assert_eq!(client.enqueue("a1", "0", "salary", 1, b"x"), "+OK");
    group.worlds[0].call().answer("200 OK", "");
    drop(taken);
    group.until(0, "it is there", |status| status.reached.is_empty() && !status.votes);
    // The connection of before was idle for long.
    assert_eq!(courier.client().enqueue("a2", "0", "salary", 1, b"x"), "+OK");
    group.worlds[0].call().answer("200 OK", "");
}

#[test]
fn a_file_that_is_wrong_keeps_a_courier_from_starting_and_says_why() {
    let group = Group::new();
    std::fs::write(&group.files[0], "name = \"m0\"\nleese_ms = 5\n").unwrap();
    let text = group.worlds[0].start_fails();
    assert!(text.contains("the group:") && text.contains("leese_ms"), "{text}");
}
