//! Random simulations of a group in virtual time. At no time may a duty have two holders, no epoch may be used twice or go
//! backwards, and each requested duty must have a holder soon after the last fault.

mod common;

use common::*;
use gullcart_group::{lease, member, voter};

/// The seeds to simulate: 60 in CI. `GROUP_DAYS` sets the number of seeds, `GROUP_SEED` the first one.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let from = number("GROUP_SEED").unwrap_or(0);
    from..from + number("GROUP_DAYS").unwrap_or(60)
}

/// A simulation with various faults.
fn faulty_run(seed: u64, disabled: DisabledGuards) -> Result<RunStats, String> {
    let members = 3 + (seed % 4) as usize * 2;
    let voters = [3, 5, 3, 7][(seed % 4) as usize];
    let profile = FaultProfile {
        fault_every_us: [SECOND, SECOND / 3, 3 * SECOND][(seed % 3) as usize],
        ..FaultProfile::default()
    };
    let mut simulation = Simulation::new(members, voters.min(members), seed, profile, disabled);
    (0..members).for_each(|index| simulation.request(index, 2));
    simulation.run(profile.until_us + profile.max_fault_us + 8 * SECOND, 2)?;
    if simulation.stats.vacant_us > 5 * SECOND {
        return Err(format!(
            "a duty had no holder for {} us: {}",
            simulation.stats.vacant_us,
            simulation.debug_state()
        ));
    }
    Ok(simulation.stats)
}

#[test]
fn random_faults_cause_no_two_holders_and_no_long_vacancies() {
    let (mut actions, mut grants, mut worst) = (0, 0, 0);
    for seed in seeds() {
        let stats = faulty_run(seed, DisabledGuards::default())
            .unwrap_or_else(|breach| panic!("seed {seed}: {breach}"));
        lossy_run(seed, DisabledGuards::default())
            .unwrap_or_else(|breach| panic!("seed {seed} with losses: {breach}"));
        reordering_run(seed, DisabledGuards::default())
            .unwrap_or_else(|breach| panic!("seed {seed} with reordering: {breach}"));
        assert!(stats.actions > 0, "seed {seed}: no duty was ever held");
        assert!(stats.notes_seen > 0, "seed {seed}: no note was ever received");
        (actions, grants, worst) =
            (actions + stats.actions, grants + stats.grants, worst.max(stats.vacant_us));
    }
    println!("{:?}: {actions} actions, {grants} grants, longest vacancy {worst} us", seeds());
}

#[test]
fn the_same_seed_gives_the_same_result() {
    for seed in [3, 4] {
        assert_eq!(faulty_run(seed, DisabledGuards::default()), faulty_run(seed, DisabledGuards::default()));
    }
}

/// A simulation with much loss, in which voters have to resynchronize all the time.
fn lossy_run(seed: u64, disabled: DisabledGuards) -> Result<RunStats, String> {
    let members = 3 + (seed % 2) as usize * 2;
    let fault_every_us = [SECOND, SECOND / 3][(seed / 2 % 2) as usize];
    let profile = FaultProfile {
        fault_every_us,
        max_delay_us: 5_000,
        max_late_delay_us: 100_000,
        loss: 0.08,
        ..FaultProfile::default()
    };
    let mut simulation = Simulation::new(members, members, seed, profile, disabled);
    (0..members).for_each(|index| simulation.request(index, 3));
    simulation.run(profile.until_us, 3)?;
    Ok(simulation.stats)
}

/// A simulation in which many messages arrive late or twice.
fn reordering_run(seed: u64, disabled: DisabledGuards) -> Result<RunStats, String> {
    let profile = FaultProfile {
        fault_every_us: SECOND,
        max_delay_us: 3_000,
        max_late_delay_us: 200_000,
        late_percent: 15,
        loss: 0.05,
        duplication: 0.1,
        ..FaultProfile::default()
    };
    let mut simulation = Simulation::new(3, 3, seed, profile, disabled);
    (0..3).for_each(|index| simulation.request(index, 3));
    simulation.run(profile.until_us, 3)?;
    Ok(simulation.stats)
}

/// The first seed from `from` on at which a simulation fails with these checks disabled, within 600 seeds.
fn find_breach(disabled: DisabledGuards, from: u64) -> Option<(u64, String)> {
    let disabled = DisabledGuards { no_notes: true, ..disabled };
    (from..from + 600).find_map(|seed| {
        let runs = [faulty_run(seed, disabled), lossy_run(seed, disabled), reordering_run(seed, disabled)];
        runs.into_iter().find_map(Result::err).map(|breach| (seed, breach))
    })
}

/// The guard against clock drift is not among these, as random clocks rarely drift to both limits; `model.rs` covers it.
#[test]
fn each_disabled_guard_causes_a_breach() {
    let lease = |lease| {
        let member = member::DisabledGuards { lease, ..Default::default() };
        DisabledGuards { member, ..DisabledGuards::default() }
    };
    let voter = |disabled| DisabledGuards { voter: disabled, ..DisabledGuards::default() };
    let all = voter::DisabledGuards::default();
    let cases = [
        ("start at response", lease(lease::DisabledGuards { start_at_response: true, ..Default::default() })),
        ("skip check", lease(lease::DisabledGuards { skip_check: true, ..Default::default() })),
        ("forget votes", DisabledGuards { forget_votes: true, ..DisabledGuards::default() }),
        (
            "send before persisting",
            DisabledGuards { send_before_persisting: true, ..DisabledGuards::default() },
        ),
        ("drain once per poll", voter(voter::DisabledGuards { drain_once_per_poll: true, ..all })),
        ("accept late messages", DisabledGuards { accept_late_messages: true, ..DisabledGuards::default() }),
        ("resume regardless", DisabledGuards { resume_regardless: true, ..DisabledGuards::default() }),
        ("withhold snapshots", voter(voter::DisabledGuards { withhold_snapshots: true, ..all })),
    ];
    for (name, disabled) in cases {
        // About one seed in two thousand shows these two, so the search starts near one that does.
        let from = match name {
            "drain once per poll" => 540_000,
            "accept late messages" => 9_110,
            _ => 0,
        };
        let found = find_breach(disabled, from);
        println!("{name}: {found:?}");
        assert!(found.is_some(), "{name}: no simulation failed");
    }
}

/// A hand-over to another process keeps the held duties, and no other member holds them in between.
#[test]
fn a_process_that_continues_a_holder_keeps_its_duties() {
    for seed in 0..20 {
        let profile =
            FaultProfile { fault_every_us: 0, loss: 0.0, duplication: 0.0, ..FaultProfile::default() };
        let mut simulation = Simulation::new(3, 3, seed, profile, DisabledGuards::default());
        (0..3).for_each(|index| simulation.request(index, 1));
        simulation.run(3 * SECOND, 1).unwrap();
        let before = simulation.holders(&duty(0));
        let [(index, _)] = before[..] else { panic!("seed {seed}: {before:?}") };
        for _ in 0..5 {
            simulation.hand_over(index, SECOND / 20);
            simulation.run(simulation.now_us + SECOND / 20 + 1, 1).unwrap();
            assert_eq!(simulation.holders(&duty(0)), before, "seed {seed}: right after the hand-over");
            simulation.run(simulation.now_us + 3 * SECOND, 1).unwrap();
            assert_eq!(simulation.holders(&duty(0)), before, "seed {seed}: three seconds later");
        }
    }
}

/// Messages and bytes per second of a group without faults, either without requested duties or with one that all members request.
fn message_rate(members: usize, voters: usize, has_request: bool) -> (f64, f64) {
    let profile = FaultProfile {
        fault_every_us: 0,
        loss: 0.0,
        duplication: 0.0,
        late_percent: 0,
        ..FaultProfile::default()
    };
    let mut simulation = Simulation::new(
        members,
        voters,
        1,
        profile,
        DisabledGuards { no_notes: true, ..DisabledGuards::default() },
    );
    if has_request {
        (0..members).for_each(|index| simulation.request(index, 1));
    }
    simulation.run(10 * SECOND, 1).unwrap();
    let before = simulation.stats.clone();
    simulation.counts_bytes = true;
    simulation.run(30 * SECOND, 1).unwrap();
    let (messages, bytes) =
        (simulation.stats.messages - before.messages, simulation.stats.bytes - before.bytes);
    (messages as f64 / 20.0, bytes as f64 / 20.0)
}

/// Members without a vote cause no messages while no duty is requested, and few each while one is.
#[test]
fn message_rate_hardly_depends_on_the_size_of_a_group() {
    let mut idle_rates = Vec::new();
    for (members, voters) in [(3, 3), (30, 3), (300, 3), (300, 7)] {
        let (idle, idle_bytes) = message_rate(members, voters, false);
        let (busy, busy_bytes) = message_rate(members, voters, true);
        println!(
            "{members} members, {voters} vote: {idle:.0} messages and {idle_bytes:.0} bytes per second without requests, \
             {busy:.0} and {busy_bytes:.0} if all request one duty"
        );
        assert!(busy - idle < 30.0 + 2.0 * members as f64, "{members}: {idle} {busy}");
        idle_rates.push(idle);
    }
    assert!(
        idle_rates[2] < 1.1 * idle_rates[0],
        "300 members must cost no more than 3 without requests: {idle_rates:?}"
    );
}
