//! Couriers that belong to a group, as processes: joining, upgrades, and failures of the group that must cost no message.

mod common;

use common::{Group, PROGRAM};
use gullcart_peers::settings::Settings;
use gullcart_standins::world::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn without_group_settings_there_is_no_thread_and_no_folder() {
    let world = World::with_console(PROGRAM, 1);
    let courier = world.start();
    assert_eq!(courier.client().request(&["PING"]), "+PONG");
    assert!(!courier.thread_names().contains(&"group".to_owned()));
    assert!(!world.state_folder().join("group").exists());
}

#[test]
fn an_upgrade_keeps_the_incarnation_of_a_member_and_its_end_does_not_affect_the_others() {
    let group = Group::new();
    let group_thread = |courier: &Courier| courier.thread_names().contains(&"group".to_owned());
    let mut couriers: Vec<_> = group.worlds.iter().map(|world| Some(world.start())).collect();
    for place in 0..3 {
        group.until(place, "it votes and knows who leads", |status| status.votes && status.leader.is_some());
    }
    assert!(couriers.iter().flatten().all(group_thread));
    let leader = group.status(0).and_then(|status| status.leader).unwrap() as usize - 1;
    let before = group.until(leader, "its member answers", |_| true);
    // Upgrades the leader twice.
    for _ in 0..2 {
        let new = group.worlds[leader].start();
        let old = couriers[leader].replace(new);
        let after = group.until(leader, "the new process votes", |status| {
            status.votes && status.leader.is_some() && status.connected_members.len() == 2
        });
        assert_eq!((after.incarnation, after.problem), (before.incarnation, None));
        drop(old);
    }
    // A killed process starts a new incarnation.
    couriers[leader] = couriers[leader].take().map(Courier::kill_and_restart);
    let after = group.until(leader, "the restarted courier votes", |status| status.votes);
    assert_eq!(after.incarnation, before.incarnation + 1);
    // The others elect a leader after it has ended.
    let begun = Instant::now();
    let mut ending = couriers[leader].take().unwrap();
    ending.terminate();
    assert!(ending.wait_for_exit(Duration::from_secs(10)).success());
    println!("it ended within {:?}", begun.elapsed());
    for place in (0..3).filter(|place| *place != leader) {
        group.until(place, "another one leads", |status| {
            status.leader.is_some_and(|other| other != leader as u64 + 1)
        });
    }
}

/// Another process occupies the group's address: messages are delivered all the same, and the group is joined once it is free.
#[test]
fn a_group_that_cannot_be_joined_costs_no_message() {
    let group = Group::new();
    let settings = Settings::read(&group.files[0]).unwrap();
    let occupied = TcpListener::bind(settings.listen).unwrap();
    let courier = group.worlds[0].start();
    let mut client = courier.client();
    assert_eq!(client.enqueue("a1", "0", "salary", 1, b"x"), "+OK");
    group.worlds[0].next_call().answer("200 OK", "");
    drop(occupied);
    group.until(0, "its member answers", |status| status.connected_members.is_empty() && !status.votes);
    // The earlier connection was closed as idle.
    assert_eq!(courier.client().enqueue("a2", "0", "salary", 1, b"x"), "+OK");
    group.worlds[0].next_call().answer("200 OK", "");
}

#[test]
fn invalid_group_settings_are_an_error_at_a_start() {
    let group = Group::new();
    std::fs::write(&group.files[0], "name = \"m0\"\nleese_ms = 5\n").unwrap();
    let text = group.worlds[0].expect_failed_start();
    assert!(text.contains("the group:") && text.contains("leese_ms"), "{text}");
}
