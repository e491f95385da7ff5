//! What the agreement's library leaves to its user, each found by random days first and played here step by step.

use gullcart_group::log::Image;
use gullcart_group::say::Ask;
use gullcart_group::vocabulary::*;
use gullcart_group::voter::{Output, Voter, TICK};

struct Three {
    voters: Vec<Voter>,
    now: Moment,
    beat: u64,
}

/// No lease ends meanwhile.
fn terms() -> Terms {
    Terms { lease: std::time::Duration::from_secs(3600), ..Terms::default() }
}

fn ids() -> Vec<MemberId> {
    (1..=3).map(MemberId).collect()
}

impl Three {
    fn new() -> Self {
        let now = Moment(1_000_000);
        let voter = |me| Voter::new(me, &ids(), terms(), Image::default(), now).unwrap();
        Three { voters: ids().into_iter().map(voter).collect(), now, beat: 0 }
    }

    fn turn(&mut self, place: usize) -> Output {
        self.voters[place].turn(self.now)
    }

    /// Hands a voter's words to the others.
    fn deliver(&mut self, output: Output) {
        for (to, vote) in output.votes {
            self.voters[to.0 as usize - 1].vote(vote);
        }
        for (to, image) in output.bases {
            self.voters[to.0 as usize - 1].install(self.now, image).unwrap();
        }
    }

    /// Lets time pass until all is said, and some more.
    fn settle(&mut self) {
        for _ in 0..60 {
            self.now = self.now + TICK;
            for place in 0..3 {
                let output = self.turn(place);
                self.deliver(output);
            }
        }
    }

    fn leader(&self) -> usize {
        self.voters[0].leader().expect("they have settled").0 as usize - 1
    }

    /// A member claims a duty of its own, through the leader.
    fn claim(&mut self, leader: usize) {
        self.beat += 1;
        let claim = Duty::new(&format!("duty-{}", self.beat));
        let beat = Some(Beat(self.beat));
        let ask =
            Ask { life: Life(1), beat, claim, releases: Vec::new(), notes: Vec::new(), watches: Vec::new() };
        self.voters[leader].ask(self.now, MemberId(9), ask);
    }

    fn agree(&self) -> bool {
        let versions: Vec<u64> = self.voters.iter().map(Voter::version).collect();
        versions.windows(2).all(|two| two[0] == two[1])
            && self.voters.windows(2).all(|two| two[0].table() == two[1].table())
    }
}

/// A leader that comes back with what it kept, before the others have missed it, leads a new round.
#[test]
fn a_leader_that_comes_back_at_once_leads_again_or_follows() {
    let mut three = Three::new();
    three.settle();
    let leader = three.leader();
    let gullcart_group::log::Record::Image(image) = three.voters[leader].image() else {
        panic!("not an image")
    };
    let id = MemberId(leader as u64 + 1);
    three.voters[leader] = Voter::new(id, &ids(), terms(), *image, three.now).unwrap();
    three.settle();
    for place in 0..3 {
        three.claim(place);
        three.settle();
    }
    assert!(three.agree());
    assert_eq!(three.voters[0].table().grants().count(), 3);
}

/// A voter that was away for longer than entries are kept one by one is given all of it.
#[test]
fn who_lacks_what_is_no_longer_kept_is_given_the_table() {
    let mut three = Three::new();
    three.settle();
    let leader = three.leader();
    let away = (leader + 1) % 3;
    three.voters.iter_mut().for_each(|voter| voter.keep_entries(8));
    for _ in 0..40 {
        three.claim(leader);
        three.now = three.now + TICK;
        for _ in 0..2 {
            for place in (0..3).filter(|place| *place != away) {
                let mut output = three.turn(place);
                output.votes.retain(|(to, _)| to.0 as usize - 1 != away);
                three.deliver(output);
            }
        }
    }
    assert!(three.voters[leader].log_len().1 <= 8);
    // It hears of it with the next entry.
    three.claim(leader);
    three.settle();
    assert!(three.agree());
    assert_eq!(three.voters[away].table().grants().count(), 41);
}

/// All that was agreed on is a table by now, and the voters are made anew from it: who held something then is watched from the
/// first moment, and its lease ends where it gives no more signs of life.
#[test]
fn leases_end_though_nothing_was_decided_since_voters_began() {
    let mut three = Three::new();
    three.settle();
    let leader = three.leader();
    three.claim(leader);
    three.settle();
    assert_eq!(three.voters[0].table().sessions().count(), 1);
    let short = Terms { lease: std::time::Duration::from_secs(1), ..Terms::default() };
    for place in 0..3 {
        three.voters[place].keep_entries(0);
        let output = three.turn(place);
        three.deliver(output);
        assert_eq!(three.voters[place].log_len().1, 0, "nothing is kept one by one");
        let gullcart_group::log::Record::Image(image) = three.voters[place].image() else {
            panic!("not an image")
        };
        let id = MemberId(place as u64 + 1);
        three.voters[place] = Voter::new(id, &ids(), short, *image, three.now).unwrap();
    }
    three.settle();
    three.settle();
    assert!(three.agree());
    assert_eq!(three.voters[0].table().sessions().count(), 0);
}
