//! Situations that the consensus library leaves to its user. Each was first found by random simulation (`random.rs`), and is
//! reproduced here step by step.

use gullcart_group::log::VoterSnapshot;
use gullcart_group::message::MemberRequest;
use gullcart_group::types::*;
use gullcart_group::voter::{Output, Voter, TICK_INTERVAL};

/// Three voters that exchange messages without loss.
struct Cluster {
    voters: Vec<Voter>,
    now: Moment,
    heartbeat: u64,
}

/// Lease terms with which no lease expires during a test.
fn terms() -> LeaseTerms {
    LeaseTerms { duration: std::time::Duration::from_secs(3600), ..LeaseTerms::default() }
}

fn ids() -> Vec<MemberId> {
    (1..=3).map(MemberId).collect()
}

impl Cluster {
    fn new() -> Self {
        let now = Moment(1_000_000);
        let voter = |me| Voter::new(me, &ids(), terms(), VoterSnapshot::default(), now).unwrap();
        Cluster { voters: ids().into_iter().map(voter).collect(), now, heartbeat: 0 }
    }

    fn poll(&mut self, index: usize) -> Output {
        self.voters[index].poll(self.now)
    }

    /// Delivers the messages of a voter to the others.
    fn deliver(&mut self, output: Output) {
        for (to, message) in output.consensus_messages {
            self.voters[to.0 as usize - 1].handle_consensus(message);
        }
        for (to, snapshot) in output.snapshots {
            self.voters[to.0 as usize - 1].install_snapshot(self.now, snapshot).unwrap();
        }
    }

    /// Runs until all messages are delivered and a leader is elected.
    fn settle(&mut self) {
        for _ in 0..60 {
            self.now = self.now + TICK_INTERVAL;
            for index in 0..3 {
                let output = self.poll(index);
                self.deliver(output);
            }
        }
    }

    fn leader(&self) -> usize {
        self.voters[0].leader().expect("a leader is elected").0 as usize - 1
    }

    /// Lets a member claim a new duty through a voter.
    fn claim(&mut self, voter: usize) {
        self.heartbeat += 1;
        let claim = Duty::new(&format!("duty-{}", self.heartbeat));
        let heartbeat = Some(HeartbeatNumber(self.heartbeat));
        let request = MemberRequest {
            incarnation: Incarnation(1),
            heartbeat,
            claim,
            releases: Vec::new(),
            notes: Vec::new(),
            watched_duties: Vec::new(),
        };
        self.voters[voter].handle_request(self.now, MemberId(9), request);
    }

    /// Whether all voters have applied the same commands and have the same table.
    fn has_converged(&self) -> bool {
        let versions: Vec<u64> = self.voters.iter().map(Voter::version).collect();
        versions.windows(2).all(|two| two[0] == two[1])
            && self.voters.windows(2).all(|two| two[0].table() == two[1].table())
    }
}

/// A leader that restarts before the others have noticed its absence starts a new round, or follows another leader.
#[test]
fn a_leader_that_restarts_at_once_leads_again_or_follows() {
    let mut cluster = Cluster::new();
    cluster.settle();
    let leader = cluster.leader();
    let gullcart_group::log::Record::Snapshot(snapshot) = cluster.voters[leader].snapshot_record() else {
        panic!("not a snapshot")
    };
    let id = MemberId(leader as u64 + 1);
    cluster.voters[leader] = Voter::new(id, &ids(), terms(), *snapshot, cluster.now).unwrap();
    cluster.settle();
    for index in 0..3 {
        cluster.claim(index);
        cluster.settle();
    }
    assert!(cluster.has_converged());
    assert_eq!(cluster.voters[0].table().grants().count(), 3);
}

/// A voter that was unreachable until the entries it lacks were compacted is sent a snapshot.
#[test]
fn a_voter_that_lacks_compacted_entries_gets_a_snapshot() {
    let mut cluster = Cluster::new();
    cluster.settle();
    let leader = cluster.leader();
    let away = (leader + 1) % 3;
    cluster.voters.iter_mut().for_each(|voter| voter.set_max_entries(8));
    for _ in 0..40 {
        cluster.claim(leader);
        cluster.now = cluster.now + TICK_INTERVAL;
        for _ in 0..2 {
            for index in (0..3).filter(|index| *index != away) {
                let mut output = cluster.poll(index);
                output.consensus_messages.retain(|(to, _)| to.0 as usize - 1 != away);
                cluster.deliver(output);
            }
        }
    }
    assert!(cluster.voters[leader].log_len().1 <= 8);
    // The next entry reaches the voter again.
    cluster.claim(leader);
    cluster.settle();
    assert!(cluster.has_converged());
    assert_eq!(cluster.voters[away].table().grants().count(), 41);
}

/// Voters restart with a fully compacted log. The timeout of a member that held a duty then starts at once, and its lease
/// expires even though no further entry is decided.
#[test]
fn leases_expire_after_a_restart_without_new_entries() {
    let mut cluster = Cluster::new();
    cluster.settle();
    let leader = cluster.leader();
    cluster.claim(leader);
    cluster.settle();
    assert_eq!(cluster.voters[0].table().sessions().count(), 1);
    let short = LeaseTerms { duration: std::time::Duration::from_secs(1), ..LeaseTerms::default() };
    for index in 0..3 {
        cluster.voters[index].set_max_entries(0);
        let output = cluster.poll(index);
        cluster.deliver(output);
        assert_eq!(cluster.voters[index].log_len().1, 0, "all entries are compacted");
        let gullcart_group::log::Record::Snapshot(snapshot) = cluster.voters[index].snapshot_record() else {
            panic!("not a snapshot")
        };
        let id = MemberId(index as u64 + 1);
        cluster.voters[index] = Voter::new(id, &ids(), short, *snapshot, cluster.now).unwrap();
    }
    cluster.settle();
    cluster.settle();
    assert!(cluster.has_converged());
    assert_eq!(cluster.voters[0].table().sessions().count(), 0);
}
