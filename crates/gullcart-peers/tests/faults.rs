//! Random overlapping faults among real processes, and measurements of how long a duty has no holder.

mod common;

use common::*;
use gullcart_standins::link::faults::{Direction, LinkFault};
use std::time::Duration;
use tokio::time::sleep;

/// The seeds of the random runs: two in CI. `GROUP_RUNS` sets the number of seeds, `GROUP_SEED` the first one.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let from = number("GROUP_SEED").unwrap_or(1);
    from..from + number("GROUP_RUNS").unwrap_or(2)
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn random_trouble(rng: &mut fastrand::Rng) -> LinkFault {
    match rng.u8(0..8) {
        0 => LinkFault::Cut(Direction::Forward),
        1 => LinkFault::Cut(Direction::Backward),
        2 => LinkFault::Silent,
        3 => LinkFault::Refused,
        4 => LinkFault::Slow(rng.u32(2_000..50_000)),
        5 => LinkFault::Delayed(ms(1), ms(rng.u64(2..300))),
        6 => LinkFault::ResetAfter(rng.u64(200..20_000)),
        _ => LinkFault::Flapping(ms(rng.u64(50..500)), ms(rng.u64(50..500))),
    }
}

/// Applies twelve random faults, some at the same time, and ends them. No check may fail, and all duties must have holders again.
async fn random_run(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let size = [3, 5, 7][(seed % 3) as usize];
    let mut group = Group::start(size, [3, 5, 3][(seed % 3) as usize], &["one", "two", "three"]).await;
    for duty in ["one", "two", "three"] {
        group.holder(duty).await;
    }
    let mut paused = Vec::new();
    let mut troubles = Vec::new();
    for _ in 0..12 {
        let index = rng.usize(0..size);
        let is_up = group.processes[index].is_some() && !paused.contains(&index);
        match rng.u8(0..10) {
            0 | 1 if is_up => {
                group.kill(index).await;
                sleep(ms(rng.u64(0..1500))).await;
                group.start_process(index).await;
            }
            2 | 3 if is_up => {
                group.pause(index);
                paused.push(index);
            }
            4 => {
                for index in paused.drain(..) {
                    group.resume(index);
                }
            }
            5 => {
                let others: Vec<usize> = (0..size).filter(|other| *other != index).collect();
                troubles.push(group.mesh.partition(&[&[index], &others]).unwrap());
            }
            6 => {
                let other = (index + 1 + rng.usize(0..size - 1)) % size;
                troubles.push(group.mesh.partition(&[&[index], &[other]]).unwrap());
            }
            7 | 8 => {
                let other = (index + 1 + rng.usize(0..size - 1)) % size;
                let trouble = random_trouble(&mut rng);
                troubles.push(group.mesh.begin_fault(index, other, trouble).unwrap());
            }
            _ => {
                if let Some(number) = troubles.pop() {
                    group.mesh.end_fault(number).unwrap();
                }
            }
        }
        sleep(ms(rng.u64(0..900))).await;
    }
    group.mesh.end_all_faults().unwrap();
    for index in paused {
        group.resume(index);
    }
    let healed = group.partner.now();
    for duty in ["one", "two", "three"] {
        group.partner.until(duty, "it is held after the last fault", |_| true).await;
    }
    let vacant = group.partner.now() - healed;
    group.check_actions();
    println!("seed {seed}: {size} processes, all held {vacant:?} after the last fault");
}

#[test]
fn random_faults_cause_no_two_holders_and_all_duties_are_held_again() {
    for seed in seeds() {
        block_on(random_run(seed));
    }
}

fn percentiles(mut gaps: Vec<Duration>) -> (Duration, Duration, Duration) {
    gaps.sort();
    let at = |share: f64| gaps[((gaps.len() - 1) as f64 * share).round() as usize];
    (at(0.5), at(0.99), at(1.0))
}

/// Measures for how long a duty has no holder after its holder is killed, paused, cut off, or leaves. `GROUP_FIGURES` sets the
/// number of measurements of each kind; CI takes one, to exercise the code.
#[test]
fn measure_vacancies() {
    let count = std::env::var("GROUP_FIGURES").ok().and_then(|count| count.parse().ok()).unwrap_or(1);
    block_on(async move {
        let mut group = Group::start(3, 3, &["one"]).await;
        let mut holder = group.holder("one").await;
        for what in ["killed", "paused", "cut off", "leaves"] {
            let mut gaps = Vec::new();
            for _ in 0..count {
                let gap;
                let others: Vec<usize> = (0..3).filter(|index| *index != holder).collect();
                let before = holder;
                match what {
                    "killed" => {
                        group.kill(holder).await;
                        (holder, gap) = group.next_holder("one", before).await;
                        group.start_process(before).await;
                    }
                    "paused" => {
                        group.pause(holder);
                        (holder, gap) = group.next_holder("one", before).await;
                        group.resume(before);
                    }
                    "cut off" => {
                        let cut = group.mesh.partition(&[&[holder], &others]).unwrap();
                        (holder, gap) = group.next_holder("one", before).await;
                        group.mesh.end_fault(cut).unwrap();
                    }
                    _ => {
                        group.leave(holder).await;
                        (holder, gap) = group.next_holder("one", before).await;
                        group.start_process(before).await;
                    }
                }
                gaps.push(gap);
                group
                    .status_until(before, "it is back", |status| {
                        status["votes"] == true && status["heard_ms"].as_u64() < Some(900)
                    })
                    .await;
                sleep(ms(600)).await;
            }
            println!("{what}: {count} measurements, p50, p99 and maximum {:?}", percentiles(gaps));
        }
        group.check_actions();
    });
}
