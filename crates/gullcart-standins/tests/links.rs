//! Faults between real processes: each one is caused on links between ordinary ones, and seen in what they hear.

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

/// Far longer than anything here takes; only a failing test waits for so long.
const TIMEOUT: Duration = Duration::from_secs(30);
/// For how long nothing must arrive where nothing can.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// What a process said it received.
#[derive(Default)]
struct ReceivedNumbers {
    /// From each other one, in the order in which it came.
    from: HashMap<String, Vec<u64>>,
    /// Said back by each peer, by its place among the peers.
    echoed: HashMap<usize, Vec<u64>>,
    /// How often a connection to a peer was made reconnects.
    reconnects: HashMap<usize, u64>,
}

struct Echo {
    child: Child,
    address: SocketAddr,
    received: Rc<RefCell<ReceivedNumbers>>,
    lines: watch::Receiver<u64>,
}

impl Echo {
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
        let received = Rc::new(RefCell::new(ReceivedNumbers::default()));
        let (line_count, lines) = watch::channel(0);
        let shared = received.clone();
        spawn_local(async move {
            while let Ok(Some(line)) = log.next_line().await {
                let words: Vec<&str> = line.split(' ').collect();
                let mut received = shared.borrow_mut();
                match words[..] {
                    ["heard", name, number] => {
                        received.from.entry(name.to_owned()).or_default().push(number.parse().unwrap());
                    }
                    ["back", peer, _, number] => {
                        let peer = peer.parse().unwrap();
                        received.echoed.entry(peer).or_default().push(number.parse().unwrap());
                    }
                    ["anew", peer] => *received.reconnects.entry(peer.parse().unwrap()).or_default() += 1,
                    _ => panic!("{line}"),
                }
                drop(received);
                line_count.send_modify(|lines| *lines += 1);
            }
        });
        Echo { child, address, received, lines }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().unwrap() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    fn received_count(&self, from: &str) -> usize {
        self.received.borrow().from.get(from).map_or(0, Vec::len)
    }

    fn echoed_count(&self, peer: usize) -> usize {
        self.received.borrow().echoed.get(&peer).map_or(0, Vec::len)
    }

    fn reconnects(&self, peer: usize) -> u64 {
        self.received.borrow().reconnects.get(&peer).copied().unwrap_or(0)
    }

    /// Waits until something that is heard has come true.
    async fn wait_until(&self, what: &str, is_true: impl Fn(&Echo) -> bool) {
        let mut lines = self.lines.clone();
        let waited = timeout(TIMEOUT, async {
            while !is_true(self) {
                lines.changed().await.unwrap();
            }
        });
        assert!(waited.await.is_ok(), "never: {what}");
    }

    /// Waits until it hears some more.
    async fn expect_receives(&self, from: &str) {
        let before = self.received_count(from);
        self.wait_until(&format!("hears {from}"), |echo| echo.received_count(from) > before + 3).await;
    }

    /// Falls silent: hears nothing more, once what was under way has come.
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
        assert!(silent.await.is_ok(), "goes on hearing {from}");
    }
}

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Three processes that all reach each other. The peers of each are the other two, in their order.
async fn start_three(mesh: &Mesh) -> Vec<Echo> {
    let mut all = Vec::new();
    for (place, name) in NAMES.iter().enumerate() {
        let others = (0..3).filter(|other| *other != place);
        let peers: Vec<SocketAddr> = others.map(|other| mesh.link(place, other).unwrap().address()).collect();
        let echo = Echo::start(name, &peers).await;
        mesh.set_process_address(place, Some(echo.address));
        all.push(echo);
    }
    for (place, echo) in all.iter().enumerate() {
        for (other, name) in NAMES.iter().enumerate() {
            if other != place {
                echo.expect_receives(name).await;
            }
        }
    }
    all
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn is_increasing(numbers: &[u64]) -> bool {
    numbers.windows(2).all(|two| two[0] < two[1])
}

#[test]
fn a_muted_direction_carries_nothing_and_the_other_one_does() {
    run(async {
        let mut mesh = Mesh::open(3, 1).unwrap();
        let all = start_three(&mesh).await;
        let muted = mesh.cut_direction(0, 1).unwrap();
        all[1].expect_silence("a").await;
        // What b says still comes to a, though a cannot say it back: b's first peer is a.
        all[0].expect_receives("b").await;
        let (back, reconnects) = (all[1].echoed_count(0), all[1].reconnects(0));
        all[1].wait_until("b gives a up", |echo| echo.reconnects(0) > reconnects).await;
        assert_eq!(all[1].echoed_count(0), back);
        all[2].expect_receives("a").await;
        mesh.end_fault(muted).unwrap();
        all[1].expect_receives("a").await;
        all[1].wait_until("said back again", |echo| echo.echoed_count(0) > back).await;
    });
}

#[test]
fn a_short_cut_loses_nothing_and_keeps_the_order() {
    run(async {
        let mut mesh = Mesh::open(3, 2).unwrap();
        let all = start_three(&mesh).await;
        let cut = mesh.cut_pairs(&[(0, 1), (1, 0)]).unwrap();
        // Shorter than the patience of who waits to hear something back.
        sleep(Duration::from_millis(60)).await;
        mesh.end_fault(cut).unwrap();
        all[1].expect_receives("a").await;
        if all[0].reconnects(0) == 0 {
            let received = all[1].received.borrow();
            let numbers = &received.from["a"];
            assert!(numbers.windows(2).all(|two| two[0] + 1 == two[1]), "{numbers:?}");
        }
    });
}

#[test]
fn partitions_may_be_whole_or_partial_and_overlap() {
    run(async {
        let mut mesh = Mesh::open(3, 3).unwrap();
        let all = start_three(&mesh).await;
        let partial = mesh.partition(&[&[0], &[2]]).unwrap();
        all[2].expect_silence("a").await;
        all[0].expect_silence("c").await;
        for (place, from) in [(1, "a"), (0, "b"), (1, "c"), (2, "b")] {
            all[place].expect_receives(from).await;
        }
        let whole = mesh.partition(&[&[0, 1], &[2]]).unwrap();
        all[2].expect_silence("b").await;
        all[0].expect_receives("b").await;
        mesh.end_fault(whole).unwrap();
        all[2].expect_receives("b").await;
        all[2].expect_silence("a").await;
        mesh.end_fault(partial).unwrap();
        all[2].expect_receives("a").await;
    });
}

#[test]
fn refused_connections_end_and_silent_ones_stay_dead() {
    run(async {
        let mut mesh = Mesh::open(3, 4).unwrap();
        let all = start_three(&mesh).await;
        let accepted = mesh.link(0, 1).unwrap().connections_accepted();
        let refused = mesh.begin_fault(0, 1, LinkFault::Refused).unwrap();
        let reconnects = all[0].reconnects(0);
        all[0].wait_until("refused over and over", |echo| echo.reconnects(0) > reconnects + 5).await;
        all[1].expect_silence("a").await;
        assert_eq!(mesh.link(0, 1).unwrap().connections_accepted(), accepted);
        let silent = mesh.begin_fault(0, 1, LinkFault::Silent).unwrap();
        mesh.end_fault(refused).unwrap();
        // It comes up, and is given up as nothing comes back.
        let reconnects = all[0].reconnects(0);
        all[0].wait_until("given up", |echo| echo.reconnects(0) > reconnects + 1).await;
        all[1].expect_silence("a").await;
        mesh.end_fault(silent).unwrap();
        all[1].expect_receives("a").await;
        assert!(is_increasing(&all[1].received.borrow().from["a"]));
    });
}

#[test]
fn resets_come_in_the_middle_of_a_line_and_nothing_is_heard_twice() {
    run(async {
        let mut mesh = Mesh::open(3, 5).unwrap();
        let all = start_three(&mesh).await;
        let sound = all[0].reconnects(1);
        // A number of bytes that no whole number of lines has.
        mesh.begin_fault(0, 1, LinkFault::ResetAfter(301)).unwrap();
        all[0].wait_until("reset over and over", |echo| echo.reconnects(0) > 4).await;
        all[1].expect_receives("a").await;
        assert!(is_increasing(&all[1].received.borrow().from["a"]));
        // Sound links stay up: who is made anew all the time would show here, too.
        assert_eq!(all[0].reconnects(1), sound);
    });
}

#[test]
fn late_links_keep_the_order_and_slow_ones_their_pace() {
    run(async {
        let mut mesh = Mesh::open(3, 6).unwrap();
        let all = start_three(&mesh).await;
        let (from, to) = (Duration::from_millis(40), Duration::from_millis(90));
        let late = mesh.begin_fault(0, 1, LinkFault::Delayed(from, to)).unwrap();
        // Both ways are late: what a said just now is not back sooner than in twice the least.
        let asked = Instant::now();
        let said = *all[0].received.borrow().echoed[&0].last().unwrap();
        all[0]
            .wait_until("back", |echo| *echo.received.borrow().echoed[&0].last().unwrap() > said + 20)
            .await;
        assert!(asked.elapsed() >= from, "{:?}", asked.elapsed());
        assert!(is_increasing(&all[1].received.borrow().from["a"]));
        mesh.end_fault(late).unwrap();
        let pace = 200;
        mesh.begin_fault(0, 1, LinkFault::Slow(pace)).unwrap();
        let link = mesh.link(0, 1).unwrap();
        let (began, before) = (Instant::now(), link.bytes_carried(Direction::Forward));
        sleep(Duration::from_secs(1)).await;
        let (took, carried) =
            (began.elapsed().as_secs_f64(), link.bytes_carried(Direction::Forward) - before);
        // What was under way before the pace held is one piece at most.
        assert!((carried as f64) < f64::from(pace) * (took + 0.1) + 4096.0, "{carried} bytes in {took} s");
    });
}

#[test]
fn flapping_links_carry_a_part_and_overlap_with_others() {
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

/// A stopped process holds its connections open and says nothing; it goes on where it was.
#[test]
fn a_stopped_process_goes_on_and_a_killed_one_comes_back_elsewhere() {
    run(async {
        let mesh = Mesh::open(3, 8).unwrap();
        let mut all = start_three(&mesh).await;
        all[0].signal(Signal::STOP);
        all[1].expect_silence("a").await;
        all[0].signal(Signal::CONT);
        all[1].expect_receives("a").await;
        assert!(is_increasing(&all[1].received.borrow().from["a"]));

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
