//! What members and voters of a group say to each other, and what the leader computes, by members, voters and duties.

use super::AXIS;
use crate::fit::FitError;
use crate::record::{Measurement, Point};
use gullcart_group::log::VoterSnapshot;
use gullcart_group::message::PeerMessage;
use gullcart_group::message_order::RunId;
use gullcart_group::node::Node;
use gullcart_group::types::{Duty, Incarnation, LeaseTerms, MemberId, Moment};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Members of the groups that are measured; the last is the most that a group holds.
const MEMBERS: [usize; 4] = [10, 100, 350, gullcart_group::table::MAX_MEMBERS];
/// Voters of the groups that are measured.
const VOTERS: [usize; 3] = [3, 5, 7];
/// Duties of the groups that are measured, each wanted by so many members.
const DUTIES: [usize; 4] = [10, 100, 1_000, 8_000];
const WISHES: usize = 3;
const FEW_VOTERS: usize = 3;
const MIDDLE_MEMBERS: usize = 100;
/// Words take so long from one process to another.
const DELAY: Duration = Duration::from_millis(1);
const SETTLED: Duration = Duration::from_secs(10);
const COUNTED: Duration = Duration::from_secs(10);
const MICROSECONDS: f64 = 1e6;

/// Who is in a group, and what is wanted.
#[derive(Clone, Copy, Debug)]
struct Plan {
    members: usize,
    voters: usize,
    /// Duties that are wanted, and by how many members each.
    duties: usize,
    wishes: usize,
}

/// What a settled group does in a second.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    messages: f64,
    bytes: f64,
    /// Seconds of processor time of the voter that takes most.
    voter_core: f64,
}

/// A group in virtual time whose words all arrive.
struct Group {
    now: Moment,
    nodes: Vec<Node>,
    waiting: Vec<Vec<(MemberId, PeerMessage)>>,
    /// When each node takes its next turn; the queue holds outdated times as well.
    wakes: Vec<Moment>,
    turns: BinaryHeap<Reverse<(Moment, usize)>>,
    under_way: BinaryHeap<Reverse<(Moment, u64)>>,
    words: BTreeMap<u64, (MemberId, MemberId, PeerMessage)>,
    next: u64,
    counts: Counts,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    is_counting: bool,
    messages: u64,
    bytes: u64,
    processor: BTreeMap<usize, Duration>,
}

/// Measures groups of several sizes.
pub fn measure() -> Result<Vec<Measurement>, FitError> {
    let mut all = by_members()?;
    all.extend(by_voters()?);
    all.extend(by_duties()?);
    Ok(all)
}

fn by_members() -> Result<Vec<Measurement>, FitError> {
    let plan = |duties| {
        move |members: &usize| Plan { members: *members, voters: FEW_VOTERS, duties, wishes: *members }
    };
    let quiet: Vec<Rates> = MEMBERS.iter().map(plan(0)).map(rates).collect();
    let busy: Vec<Rates> = MEMBERS.iter().map(plan(1)).map(rates).collect();
    Ok(vec![
        measurement(
            "messages a second where nothing is wanted",
            "messages a second",
            AXIS,
            &MEMBERS,
            &quiet,
            |of| of.messages,
        )?,
        measurement(
            "messages a second where all want one duty",
            "messages a second",
            AXIS,
            &MEMBERS,
            &busy,
            |of| of.messages,
        )?,
        measurement(
            "bytes a second where all want one duty",
            "bytes a second",
            AXIS,
            &MEMBERS,
            &busy,
            |of| of.bytes,
        )?,
        measurement(
            "processor time of a voter where all want one duty",
            "cores",
            AXIS,
            &MEMBERS,
            &busy,
            |of| of.voter_core,
        )?,
    ])
}

fn by_voters() -> Result<Vec<Measurement>, FitError> {
    let plan = |voters: &usize| Plan { members: MIDDLE_MEMBERS, voters: *voters, duties: 0, wishes: 0 };
    let quiet: Vec<Rates> = VOTERS.iter().map(plan).map(rates).collect();
    Ok(vec![
        measurement("messages a second by voters", "messages a second", "voters", &VOTERS, &quiet, |of| {
            of.messages
        })?,
        measurement("bytes a second by voters", "bytes a second", "voters", &VOTERS, &quiet, |of| of.bytes)?,
    ])
}

fn by_duties() -> Result<Vec<Measurement>, FitError> {
    let plan = |duties: &usize| Plan {
        members: MIDDLE_MEMBERS,
        voters: FEW_VOTERS,
        duties: *duties,
        wishes: WISHES,
    };
    let held: Vec<Rates> = DUTIES.iter().map(plan).map(rates).collect();
    Ok(vec![
        measurement("messages a second by duties", "messages a second", "duties", &DUTIES, &held, |of| {
            of.messages
        })?,
        measurement("bytes a second by duties", "bytes a second", "duties", &DUTIES, &held, |of| of.bytes)?,
        measurement("processor time of a voter by duties", "cores", "duties", &DUTIES, &held, |of| {
            of.voter_core
        })?,
    ])
}

fn measurement(
    name: &str,
    unit: &str,
    axis: &str,
    sizes: &[usize],
    rates: &[Rates],
    value: fn(&Rates) -> f64,
) -> Result<Measurement, FitError> {
    let point =
        |(size, rates): (&usize, &Rates)| Point { size: *size as f64, value: value(rates), samples: 1 };
    Measurement::new(name, unit, axis, sizes.iter().zip(rates).map(point).collect())
}

fn rates(plan: Plan) -> Rates {
    let mut group = Group::new(plan);
    group.play(group.now + SETTLED);
    group.counts.is_counting = true;
    group.play(group.now + COUNTED);
    let seconds = COUNTED.as_secs_f64();
    let voters = group.counts.processor.iter().filter(|(place, _)| **place < plan.voters);
    Rates {
        messages: group.counts.messages as f64 / seconds,
        bytes: group.counts.bytes as f64 / seconds,
        voter_core: voters.map(|(_, spent)| spent.as_secs_f64() / seconds).fold(0.0, f64::max),
    }
}

/// The duties that a member wants: each is wanted by members that follow each other.
fn wanted(plan: Plan, place: usize) -> impl Iterator<Item = Duty> {
    let wants =
        move |number: &usize| (place + plan.members - number % plan.members) % plan.members < plan.wishes;
    (0..plan.duties).filter(wants).filter_map(|number| Duty::new(&format!("trials/{number}")))
}

impl Group {
    fn new(plan: Plan) -> Self {
        let now = Moment(MICROSECONDS as u64);
        let voters: Vec<MemberId> = (0..plan.voters).map(id).collect();
        let run = RunId { incarnation: Incarnation(1), handovers: 0, previous_runs: 0 };
        let node = |place: usize| {
            let kept = (place < plan.voters).then(VoterSnapshot::default);
            let seed = place as u64;
            let mut node = Node::new(id(place), run, &voters, LeaseTerms::default(), kept, seed, now).ok()?;
            wanted(plan, place).for_each(|duty| {
                node.member.request(now, &duty);
            });
            Some(node)
        };
        let nodes: Vec<Node> = (0..plan.members).filter_map(node).collect();
        Group {
            now,
            waiting: vec![Vec::new(); nodes.len()],
            wakes: vec![now; nodes.len()],
            turns: (0..nodes.len()).map(|place| Reverse((now, place))).collect(),
            nodes,
            under_way: BinaryHeap::new(),
            words: BTreeMap::new(),
            next: 0,
            counts: Counts::default(),
        }
    }

    fn play(&mut self, until: Moment) {
        loop {
            let arrival = self.under_way.peek().map(|Reverse((at, _))| *at);
            let turn = self.turns.peek().map(|Reverse((at, _))| *at);
            let Some(next) = arrival.into_iter().chain(turn).min().filter(|next| *next < until) else {
                break;
            };
            self.now = next;
            self.arrive();
            self.take_turns();
        }
        self.now = until;
    }

    fn arrive(&mut self) {
        while let Some(Reverse((at, number))) =
            self.under_way.peek().copied().filter(|word| word.0 .0 <= self.now)
        {
            self.under_way.pop();
            let Some((from, to, say)) = self.words.remove(&number) else { continue };
            let place = to.0 as usize - 1;
            self.waiting[place].push((from, say));
            self.wake(place, at);
        }
    }

    fn wake(&mut self, place: usize, at: Moment) {
        self.wakes[place] = at;
        self.turns.push(Reverse((at, place)));
    }

    fn take_turns(&mut self) {
        while let Some(Reverse((at, place))) = self.turns.peek().copied().filter(|turn| turn.0 .0 <= self.now)
        {
            self.turns.pop();
            if self.wakes[place] == at {
                self.turn(place);
            }
        }
    }

    fn turn(&mut self, place: usize) {
        let now = self.now;
        let begun = processor_time();
        let node = &mut self.nodes[place];
        for (from, say) in std::mem::take(&mut self.waiting[place]) {
            // Everybody is who they say: nothing is refused.
            let _ = node.handle_message(now, from, say);
        }
        let output = node.poll(now);
        let next = node.next_poll();
        if self.counts.is_counting {
            *self.counts.processor.entry(place).or_default() += processor_time().saturating_sub(begun);
        }
        output.messages.into_iter().for_each(|(to, say)| self.send(place, to, say));
        let soonest = Moment(now.0 + 1);
        if let Some(next) = next {
            self.wake(place, next.max(soonest));
        }
    }

    fn send(&mut self, from: usize, to: MemberId, say: PeerMessage) {
        if self.counts.is_counting {
            self.counts.messages += 1;
            self.counts.bytes += postcard::to_allocvec(&say).map_or(0, |bytes| bytes.len() as u64);
        }
        self.next += 1;
        self.words.insert(self.next, (id(from), to, say));
        self.under_way.push(Reverse((self.now + DELAY, self.next)));
    }
}

fn id(place: usize) -> MemberId {
    MemberId(place as u64 + 1)
}

/// What this thread has computed so far.
fn processor_time() -> Duration {
    let spent = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(spent.tv_sec.unsigned_abs(), spent.tv_nsec.unsigned_abs() as u32)
}
