//! Faults on the links between real processes (`gullcart-echo`), observed in what the processes receive.

use gullcart_standins::link::faults::{Direction, LinkFault};
use gullcart_standins::link::mesh::Mesh;
use rustix::process::{kill_process, Pid, Signal};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// Upper bound of every wait. It is far longer than any step takes, so only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(30);
/// How long nothing must arrive to conclude that a link is cut.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// What a process has logged so far.
#[derive(Default)]
struct EchoLog {
    /// Numbers received from each other process, by its name, in order of arrival.
    received: HashMap<String, Vec<u64>>,
    /// Numbers echoed by each peer, by its index among the peers.
    echoed: HashMap<usize, Vec<u64>>,
    /// Number of reconnects to each peer, by its index among the peers.
    reconnects: HashMap<usize, u64>,
}

/// A `gullcart-echo` process and its log.
struct Echo {
    child: Child,
    address: SocketAddr,
    log: Rc<RefCell<EchoLog>>,
    /// Counts the log lines, and notifies of each.
    line_count: watch::Receiver<u64>,
}

impl Echo {
    /// Starts a process and follows its log.
    async fn start(name: &str, peers: &[SocketAddr]) -> Echo {
        let peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
        let mut child = Command::new(env!("CARGO_BIN_EXE_gullcart-echo"))
            .env("ECHO_NAME", name)
            .env("ECHO_PEERS", peers.join(","))
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
        let first = log.next_line().await.unwrap().unwrap();
        let address = first.split_once("address=").unwrap().1.parse().unwrap();
        let parsed = Rc::new(RefCell::new(EchoLog::default()));
        let (line_sender, line_count) = watch::channel(0);
        let shared = parsed.clone();
        spawn_local(async move {
            while let Ok(Some(line)) = log.next_line().await {
                let words: Vec<&str> = line.split(' ').collect();
                let mut parsed = shared.borrow_mut();
                match words[..] {
                    ["heard", name, number] => {
                        parsed.received.entry(name.to_owned()).or_default().push(number.parse().unwrap());
                    }
                    ["back", peer, _, number] => {
                        let peer = peer.parse().unwrap();
                        parsed.echoed.entry(peer).or_default().push(number.parse().unwrap());
                    }
                    ["anew", peer] => *parsed.reconnects.entry(peer.parse().unwrap()).or_default() += 1,
                    _ => panic!("{line}"),
                }
                drop(parsed);
                line_sender.send_modify(|count| *count += 1);
            }
        });
        Echo { child, address, log: parsed, line_count }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().unwrap() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// How many numbers it has received from another process.
    fn received_count(&self, from: &str) -> usize {
        self.log.borrow().received.get(from).map_or(0, Vec::len)
    }

    /// How many numbers a peer has echoed.
    fn echoed_count(&self, peer: usize) -> usize {
        self.log.borrow().echoed.get(&peer).map_or(0, Vec::len)
    }

    /// How often it has reconnected to a peer.
    fn reconnects(&self, peer: usize) -> u64 {
        self.log.borrow().reconnects.get(&peer).copied().unwrap_or(0)
    }

    /// Waits until a condition on the log holds.
    async fn wait_until(&self, what: &str, is_true: impl Fn(&Echo) -> bool) {
        let mut line_count = self.line_count.clone();
        let waited = timeout(TIMEOUT, async {
            while !is_true(self) {
                line_count.changed().await.unwrap();
            }
        });
        assert!(waited.await.is_ok(), "timed out waiting until: {what}");
    }

    /// Waits until it has received more than three further numbers.
    async fn expect_receives(&self, from: &str) {
        let before = self.received_count(from);
        self.wait_until(&format!("it receives numbers from {from}"), |echo| {
            echo.received_count(from) > before + 3
        })
        .await;
    }

    /// Waits until it receives nothing more, after what was in transit has arrived.
    async fn expect_silence(&self, from: &str) {
        let silent = timeout(TIMEOUT, async {
            loop {
                let before = self.received_count(from);
                sleep(QUIET_PERIOD).await;
                if self.received_count(from) == before {
                    return;
                }
            }
        });
        assert!(silent.await.is_ok(), "still receives numbers from {from}");
    }
}

/// Names of the three processes.
const NAMES: [&str; 3] = ["a", "b", "c"];

/// Starts three processes and waits until all reach each other. The peers of each are the other two, in order.
async fn start_three(mesh: &Mesh) -> Vec<Echo> {
    let mut all = Vec::new();
    for (index, name) in NAMES.iter().enumerate() {
        let others = (0..3).filter(|other| *other != index);
        let peers: Vec<SocketAddr> = others.map(|other| mesh.link(index, other).unwrap().address()).collect();
        let echo = Echo::start(name, &peers).await;
        mesh.set_process_address(index, Some(echo.address));
        all.push(echo);
    }
    for (index, echo) in all.iter().enumerate() {
        for (other, name) in NAMES.iter().enumerate() {
            if other != index {
                echo.expect_receives(name).await;
            }
        }
    }
    all
}

/// Runs a test on a single-threaded runtime.
fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn is_increasing(numbers: &[u64]) -> bool {
    numbers.windows(2).all(|two| two[0] < two[1])
}

#[test]
fn a_cut_direction_carries_nothing_and_the_other_one_does() {
    run(async {
        let mut mesh = Mesh::open(3, 1).unwrap();
        let all = start_three(&mesh).await;
        let cut = mesh.cut_direction(0, 1).unwrap();
        all[1].expect_silence("a").await;
        // Numbers from b still reach a, but a's echoes do not return: a is the first peer of b.
        all[0].expect_receives("b").await;
        let (echoed, reconnects) = (all[1].echoed_count(0), all[1].reconnects(0));
        all[1].wait_until("b reconnects to a", |echo| echo.reconnects(0) > reconnects).await;
        assert_eq!(all[1].echoed_count(0), echoed);
        all[2].expect_receives("a").await;
        mesh.end_fault(cut).unwrap();
        all[1].expect_receives("a").await;
        all[1].wait_until("a echoes again", |echo| echo.echoed_count(0) > echoed).await;
    });
}

#[test]
fn a_short_cut_loses_nothing_and_keeps_the_order() {
    run(async {
        let mut mesh = Mesh::open(3, 2).unwrap();
        let all = start_three(&mesh).await;
        let cut = mesh.cut_pairs(&[(0, 1), (1, 0)]).unwrap();
        // Shorter than the timeout after which a process without echoes reconnects.
        sleep(Duration::from_millis(60)).await;
        mesh.end_fault(cut).unwrap();
        all[1].expect_receives("a").await;
        // On a slow machine, a may have reconnected in spite of that; numbers in transit are then lost.
        if all[0].reconnects(0) == 0 {
            let log = all[1].log.borrow();
            let numbers = &log.received["a"];
            assert!(numbers.windows(2).all(|two| two[0] + 1 == two[1]), "{numbers:?}");
        }
    });
}

#[test]
fn partitions_may_be_complete_or_partial_and_overlap() {
    run(async {
        let mut mesh = Mesh::open(3, 3).unwrap();
        let all = start_three(&mesh).await;
        let partial = mesh.partition(&[&[0], &[2]]).unwrap();
        all[2].expect_silence("a").await;
        all[0].expect_silence("c").await;
        for (index, from) in [(1, "a"), (0, "b"), (1, "c"), (2, "b")] {
            all[index].expect_receives(from).await;
        }
        let complete = mesh.partition(&[&[0, 1], &[2]]).unwrap();
        all[2].expect_silence("b").await;
        all[0].expect_receives("b").await;
        mesh.end_fault(complete).unwrap();
        all[2].expect_receives("b").await;
        all[2].expect_silence("a").await;
        mesh.end_fault(partial).unwrap();
        all[2].expect_receives("a").await;
    });
}

#[test]
fn refused_connections_end_and_silent_ones_stay_silent() {
    run(async {
        let mut mesh = Mesh::open(3, 4).unwrap();
        let all = start_three(&mesh).await;
        let accepted = mesh.link(0, 1).unwrap().connections_accepted();
        let refused = mesh.begin_fault(0, 1, LinkFault::Refused).unwrap();
        let reconnects = all[0].reconnects(0);
        all[0].wait_until("a is refused several times", |echo| echo.reconnects(0) > reconnects + 5).await;
        all[1].expect_silence("a").await;
        assert_eq!(mesh.link(0, 1).unwrap().connections_accepted(), accepted);
        let silent = mesh.begin_fault(0, 1, LinkFault::Silent).unwrap();
        mesh.end_fault(refused).unwrap();
        // Connections are established, and dropped because no echo returns.
        let reconnects = all[0].reconnects(0);
        all[0].wait_until("a reconnects to b", |echo| echo.reconnects(0) > reconnects + 1).await;
        all[1].expect_silence("a").await;
        mesh.end_fault(silent).unwrap();
        all[1].expect_receives("a").await;
        assert!(is_increasing(&all[1].log.borrow().received["a"]));
    });
}

#[test]
fn resets_come_in_the_middle_of_a_line_and_no_number_arrives_twice() {
    run(async {
        let mut mesh = Mesh::open(3, 5).unwrap();
        let all = start_three(&mesh).await;
        let other_reconnects = all[0].reconnects(1);
        // Not a multiple of the length of a line, so that the reset comes in the middle of one.
        mesh.begin_fault(0, 1, LinkFault::ResetAfter(301)).unwrap();
        all[0].wait_until("a is reset several times", |echo| echo.reconnects(0) > 4).await;
        all[1].expect_receives("a").await;
        assert!(is_increasing(&all[1].log.borrow().received["a"]));
        // Links without a fault stay connected.
        assert_eq!(all[0].reconnects(1), other_reconnects);
    });
}

#[test]
fn delayed_links_keep_the_order_and_slow_ones_their_rate() {
    run(async {
        let mut mesh = Mesh::open(3, 6).unwrap();
        let all = start_three(&mesh).await;
        let (from, to) = (Duration::from_millis(40), Duration::from_millis(90));
        let delayed = mesh.begin_fault(0, 1, LinkFault::Delayed(from, to)).unwrap();
        // Numbers and echoes are delayed, so an echo of a number that is sent now takes at least twice the lower bound. The
        // check asks for one lower bound.
        let started = Instant::now();
        let last_echoed = *all[0].log.borrow().echoed[&0].last().unwrap();
        all[0]
            .wait_until("later numbers are echoed", |echo| {
                *echo.log.borrow().echoed[&0].last().unwrap() > last_echoed + 20
            })
            .await;
        assert!(started.elapsed() >= from, "{:?}", started.elapsed());
        assert!(is_increasing(&all[1].log.borrow().received["a"]));
        mesh.end_fault(delayed).unwrap();
        let bytes_per_second = 200;
        mesh.begin_fault(0, 1, LinkFault::Slow(bytes_per_second)).unwrap();
        let link = mesh.link(0, 1).unwrap();
        let (began, before) = (Instant::now(), link.bytes_carried(Direction::Forward));
        sleep(Duration::from_secs(1)).await;
        let (took, carried) =
            (began.elapsed().as_secs_f64(), link.bytes_carried(Direction::Forward) - before);
        // One chunk at most was in transit before the limit applied.
        assert!(
            (carried as f64) < f64::from(bytes_per_second) * (took + 0.1) + 4096.0,
            "{carried} bytes in {took} s"
        );
    });
}

#[test]
fn flapping_links_carry_data_and_overlap_with_other_faults() {
    run(async {
        let mut mesh = Mesh::open(3, 7).unwrap();
        let all = start_three(&mesh).await;
        let (up, down) = (Duration::from_millis(50), Duration::from_millis(100));
        mesh.begin_fault(0, 1, LinkFault::Flapping(up, down)).unwrap();
        all[1].expect_receives("a").await;
        all[1].expect_receives("a").await;
        let cut = mesh.cut_direction(0, 1).unwrap();
        all[1].expect_silence("a").await;
        mesh.end_fault(cut).unwrap();
        all[1].expect_receives("a").await;
    });
}

/// A stopped process keeps its connections open and sends nothing; it continues where it was.
#[test]
fn a_stopped_process_continues_and_a_killed_one_returns_at_another_address() {
    run(async {
        let mesh = Mesh::open(3, 8).unwrap();
        let mut all = start_three(&mesh).await;
        all[0].signal(Signal::STOP);
        all[1].expect_silence("a").await;
        all[0].signal(Signal::CONT);
        all[1].expect_receives("a").await;
        assert!(is_increasing(&all[1].log.borrow().received["a"]));

        mesh.set_process_address(2, None);
        all[2].signal(Signal::KILL);
        all[2].child.wait().await.unwrap();
        all[1].expect_silence("c").await;
        let peers = [0, 1].map(|other| mesh.link(2, other).unwrap().address());
        all[2] = Echo::start("c", &peers).await;
        mesh.set_process_address(2, Some(all[2].address));
        all[1].expect_receives("c").await;
        all[2].expect_receives("a").await;
    });
}
