//! Model checking of leases, epochs and the transfer of duties, with the real table, the real lease of members and the real lease
//! monitor of voters. Members stall, crash and restart; voters see the table late; proposals are lost, repeated and reordered;
//! clocks drift. At most one member may act on a duty at a time, and no epoch may be used twice.
//!
//! The single order of commands, which the consensus library provides, is assumed here and tested in `random.rs`.

use gullcart_group::lease::{self, Lease, LeaseMonitor};
use gullcart_group::table::{Command, DisabledGuards, Table};
use gullcart_group::types::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;

/// The model advances time in steps of one second. A clock is either right or one step behind.
const STEP_US: u64 = 1_000_000;
/// The duration of a lease in steps.
const LEASE_STEPS: u64 = 1;

fn duty() -> Duty {
    Duty::new("d").unwrap()
}

fn id(index: usize) -> MemberId {
    MemberId(index as u64 + 1)
}

/// Safety checks that are disabled in a model.
#[derive(Clone, Copy, Debug, Default)]
struct DisabledGuardSet {
    table: DisabledGuards,
    lease: lease::DisabledGuards,
    /// Voters wait for the duration of the lease only, without allowance for drift.
    ignore_drift: bool,
    /// Voters propose the expiry of a lease as soon as they observe it.
    expire_at_once: bool,
    /// Views are applied even if they are older than the last one.
    accept_old_views: bool,
}

/// The bounds of a model.
#[derive(Clone, Debug)]
struct GroupModel {
    disabled: DisabledGuardSet,
    members: usize,
    /// The last time step.
    max_time: u64,
    /// Maximum number of heartbeats of each incarnation.
    max_heartbeats: u64,
    max_crashes: usize,
}

/// The state of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    incarnation: u64,
    clock: u64,
    lease: Lease,
    /// The epoch under which it holds the duty, according to the last view.
    held: Option<Epoch>,
    /// The version of the last view.
    version: usize,
    heartbeats: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u64,
    /// Every table so far; the last one is the current one.
    tables: Vec<Table>,
    /// Proposed commands. Any of them may be decided next, repeatedly, or never.
    proposed: BTreeSet<Command>,
    processes: Vec<Process>,
    /// The lease monitor of one voter, which stands for all of them, as any voter may lead.
    lease_monitor: LeaseMonitor,
    voter_clock: u64,
    crashes: usize,
    /// Epochs under which a member has acted, with the member and its incarnation.
    actions_by_epoch: BTreeSet<(Epoch, usize, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    AdvanceTime,
    AdvanceClock(usize),
    AdvanceVoterClock,
    Claim(usize),
    Heartbeat(usize),
    Release(usize),
    Decide(Command),
    DeliverView(usize, usize),
    Observe,
    Expire,
    Crash(usize),
}

fn terms() -> LeaseTerms {
    LeaseTerms { duration: Duration::from_micros(LEASE_STEPS * STEP_US), drift_ppm: 0 }
}

impl GroupModel {
    fn lease(&self, incarnation: u64) -> Lease {
        let mut lease = Lease::new(Incarnation(incarnation));
        lease.disable_guards(self.disabled.lease);
        lease
    }

    fn active_epoch(process: &Process) -> Option<Epoch> {
        process.held.filter(|_| process.lease.is_valid(Moment(process.clock * STEP_US)))
    }

    fn expiry_timeout(&self) -> Duration {
        // A lease that is used up to its last step takes that many steps of real time. The voter's clock may advance by one step
        // more in that time, if it was one step behind.
        let drift = if self.disabled.ignore_drift { 0 } else { 1 };
        Duration::from_micros((LEASE_STEPS + drift) * STEP_US)
    }

    fn record_actions(state: &mut State) {
        for (index, process) in state.processes.iter().enumerate() {
            if let Some(epoch) = GroupModel::active_epoch(process) {
                state.actions_by_epoch.insert((epoch, index, process.incarnation));
            }
        }
    }
}

impl Model for GroupModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let process = |_| Process {
            incarnation: 1,
            clock: 1,
            lease: self.lease(1),
            held: None,
            version: 0,
            heartbeats: 0,
        };
        vec![State {
            time: 1,
            tables: vec![Table::default()],
            proposed: BTreeSet::new(),
            processes: (0..self.members).map(process).collect(),
            lease_monitor: LeaseMonitor::default(),
            voter_clock: 1,
            crashes: 0,
            actions_by_epoch: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let clocks = state.processes.iter().map(|process| process.clock).chain([state.voter_clock]);
        if state.time < self.max_time && clocks.clone().all(|clock| clock >= state.time) {
            actions.push(Step::AdvanceTime);
        }
        if state.voter_clock < state.time {
            actions.push(Step::AdvanceVoterClock);
        }
        let last = state.tables.last().expect("there is always a first table");
        for (index, process) in state.processes.iter().enumerate() {
            if process.clock < state.time {
                actions.push(Step::AdvanceClock(index));
            }
            if process.heartbeats < self.max_heartbeats {
                if process.held.is_some() {
                    actions.push(Step::Heartbeat(index));
                } else {
                    actions.push(Step::Claim(index));
                }
            }
            if process.held.is_some() {
                actions.push(Step::Release(index));
            }
            let from = if self.disabled.accept_old_views { 0 } else { process.version + 1 };
            actions.extend((from..state.tables.len()).map(|version| Step::DeliverView(index, version)));
            if state.crashes < self.max_crashes {
                actions.push(Step::Crash(index));
            }
        }
        for command in &state.proposed {
            let mut next = last.clone();
            next.apply_unguarded(command, self.disabled.table);
            // Commands without effect lead to no new state.
            if next != *last {
                actions.push(Step::Decide(command.clone()));
            }
        }
        actions.extend([Step::Observe, Step::Expire]);
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::AdvanceTime => state.time += 1,
            Step::AdvanceClock(index) => state.processes[index].clock += 1,
            Step::AdvanceVoterClock => state.voter_clock += 1,
            Step::Claim(index) | Step::Heartbeat(index) => {
                let process = &mut state.processes[index];
                process.heartbeats += 1;
                let heartbeat = process.lease.record_heartbeat(Moment(process.clock * STEP_US));
                let claim = process.held.is_none().then(duty);
                state.proposed.insert(Command::Heartbeat {
                    member: id(index),
                    incarnation: Incarnation(process.incarnation),
                    heartbeat,
                    claim,
                });
            }
            Step::Release(index) => {
                let process = &mut state.processes[index];
                let epoch = process.held.take()?;
                let (member, incarnation) = (id(index), Incarnation(process.incarnation));
                state.proposed.insert(Command::Release { member, incarnation, duty: duty(), epoch });
            }
            Step::Decide(command) => {
                let mut table = state.tables.last()?.clone();
                table.apply_unguarded(&command, self.disabled.table);
                state.tables.push(table);
            }
            Step::DeliverView(index, version) => {
                let table = state.tables[version].clone();
                let process = &mut state.processes[index];
                process.version = version;
                let now = Moment(process.clock * STEP_US);
                process.lease.acknowledge(now, table.session(id(index)), &terms());
                let is_own = |grant: &gullcart_group::table::Grant| {
                    grant.holder == id(index) && grant.incarnation == Incarnation(process.incarnation)
                };
                process.held = table.grant(&duty()).filter(is_own).map(|grant| grant.epoch);
            }
            Step::Observe => {
                let table = state.tables.last()?.clone();
                state.lease_monitor.observe(Moment(state.voter_clock * STEP_US), &table);
            }
            Step::Expire => {
                let expiry_timeout =
                    if self.disabled.expire_at_once { Duration::ZERO } else { self.expiry_timeout() };
                // The monitor only reports members whose timeout has passed completely.
                let now = Moment(state.voter_clock * STEP_US);
                for (member, session) in state.lease_monitor.expired(now, expiry_timeout) {
                    let incarnation = session.incarnation;
                    let heartbeat = session.heartbeat;
                    state.proposed.insert(Command::Expire { member, incarnation, heartbeat });
                }
            }
            Step::Crash(index) => {
                state.crashes += 1;
                let process = &mut state.processes[index];
                process.incarnation += 1;
                process.lease = self.lease(process.incarnation);
                (process.held, process.version, process.heartbeats) = (None, 0, 0);
            }
        }
        GroupModel::record_actions(&mut state);
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("at most one member acts on a duty at a time", |_, state| {
                state.processes.iter().filter(|process| GroupModel::active_epoch(process).is_some()).count()
                    <= 1
            }),
            Property::<Self>::always("an epoch belongs to one incarnation of one member", |_, state| {
                let actions: Vec<_> = state.actions_by_epoch.iter().collect();
                actions.windows(2).all(|two| two[0].0 != two[1].0)
            }),
            Property::<Self>::sometimes("a duty is passed to another member", |_, state| {
                let holders: BTreeSet<usize> =
                    state.actions_by_epoch.iter().map(|(_, index, _)| *index).collect();
                holders.len() > 1
            }),
        ]
    }
}

fn small(disabled: DisabledGuardSet) -> GroupModel {
    GroupModel { disabled, members: 2, max_time: 4, max_heartbeats: 1, max_crashes: 0 }
}

#[test]
fn at_most_one_member_holds_a_duty() {
    let correct = small(DisabledGuardSet::default());
    let models = match std::env::var("GROUP_MODEL").ok() {
        None => vec![correct.clone(), GroupModel { max_crashes: 1, max_time: 2, ..correct }],
        // Larger models, one at a time: they take minutes and some GB of memory.
        Some(which) => vec![match which.as_str() {
            "longer" => GroupModel { max_time: 5, ..correct },
            "three" => GroupModel { members: 3, max_time: 3, ..correct },
            "busy" => GroupModel { max_heartbeats: 2, max_time: 2, ..correct },
            "dying" => GroupModel { max_crashes: 1, max_time: 3, ..correct },
            other => panic!("GROUP_MODEL is {other}: use longer, three, busy or dying"),
        }],
    };
    for model in models {
        let checker = model.clone().checker().threads(2).spawn_bfs().join();
        println!("{} states: {model:?}", checker.unique_state_count());
        checker.assert_no_discovery("at most one member acts on a duty at a time");
        checker.assert_no_discovery("an epoch belongs to one incarnation of one member");
    }
}

#[test]
fn each_disabled_guard_has_a_counterexample() {
    let all = DisabledGuardSet::default();
    let (table, lease) = (DisabledGuards::default(), lease::DisabledGuards::default());
    let of_table = |table| DisabledGuardSet { table, ..all };
    let of_lease = |lease| DisabledGuardSet { lease, ..all };
    let with_crash = |disabled| GroupModel { max_crashes: 1, max_time: 2, ..small(disabled) };
    let busy = |disabled| GroupModel { max_heartbeats: 2, max_time: 3, ..small(disabled) };
    let cases = [
        ("start at response", small(of_lease(lease::DisabledGuards { start_at_response: true, ..lease }))),
        ("skip check", small(of_lease(lease::DisabledGuards { skip_check: true, ..lease }))),
        ("expire at once", small(DisabledGuardSet { expire_at_once: true, ..all })),
        ("ignore drift", small(DisabledGuardSet { ignore_drift: true, ..all })),
        ("accept old views", small(DisabledGuardSet { accept_old_views: true, ..all })),
        ("grant held duties", small(of_table(DisabledGuards { grant_held_duties: true, ..table }))),
        ("reset epochs", small(of_table(DisabledGuards { reset_epochs: true, ..table }))),
        (
            "new incarnation inherits",
            with_crash(of_table(DisabledGuards { new_incarnation_inherits: true, ..table })),
        ),
        (
            "expire despite newer heartbeat",
            busy(of_table(DisabledGuards { expire_despite_newer_heartbeat: true, ..table })),
        ),
    ];
    for (name, model) in cases {
        let failure = stateright::HasDiscoveries::AnyFailures;
        let checker = model.checker().threads(2).finish_when(failure).spawn_bfs().join();
        let mut found = checker.discoveries().into_iter().filter(|(what, _)| !what.starts_with("a duty"));
        let first = found.next().map(|(what, path)| (what, path.into_actions().len()));
        println!("{name}: {} states, {first:?}", checker.unique_state_count());
        assert!(first.is_some(), "{name}: there is no counterexample");
    }
}
