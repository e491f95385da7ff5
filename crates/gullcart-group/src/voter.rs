//! One voter of the consensus group. The library `omnipaxos` makes all voters apply the same commands in the same order. This
//! module decides which commands to propose, most importantly when to expire a lease.
//!
//! A voter decides by its own clock when to propose an expiry, but the expiry does not depend on what was decided in the
//! meantime: the command names the last heartbeat that this voter observed, and has no effect if a newer one was applied.

use crate::lease::LeaseMonitor;
use crate::log::{Record, VoterLog, VoterSnapshot};
use crate::message::{MemberRequest, MemberView, WatchedDuty, MAX_WATCHED_DUTIES};
use crate::retry_pacer::RetryPacer;
use crate::table::{Command, Note, Session, Table, MAX_DUTIES, MAX_MEMBERS};
use crate::types::{Duty, Epoch, LeaseTerms, MemberId, Moment};
use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// Interval between ticks of the library's clock.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks between two rounds of the library's ballot leader election, in which voters exchange heartbeats.
const ELECTION_TICKS: u64 = 4;
/// Ticks after which the library resends unanswered messages.
const RESEND_TICKS: u64 = 10;
/// A voter that was not polled for longer may have been suspended: messages from that time may still be waiting.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(500);
/// Minimum time before the same expiry, claim or note is proposed again.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of entries in the log before the older half is compacted into a table.
const MAX_LOG_ENTRIES: usize = 512;
/// A leader for which nothing was decided for longer starts a higher round: three rounds of leader election.
const STALLED_LEADER_TIMEOUT: Duration =
    Duration::from_millis(3 * ELECTION_TICKS * TICK_INTERVAL.as_millis() as u64);
/// A follower that has not received the leader's log for longer asks for it again.
const SYNC_TIMEOUT: Duration = Duration::from_millis(700);
/// Minimum time before a snapshot is sent to the same voter again.
const SNAPSHOT_RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of leases without a request after which a member's subscription to views ends.
const SUBSCRIPTION_LEASES: u32 = 20;

/// Why a voter cannot be created.
#[derive(Debug, Error)]
pub enum VoterError {
    /// The library rejects the configuration.
    #[error("invalid set of voters: {0}")]
    Config(String),
    /// This member is not a voter.
    #[error("{0} is not among the voters")]
    NotVoter(MemberId),
}

/// Why a requested duty has no holder, as one voter sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VacancyReason {
    /// This voter knows of no leader.
    #[error("no leader is known here: a majority of the voters does not reach each other, or this one does not reach it")]
    NoLeader,
    /// The leader does not get its proposals decided.
    #[error("proposals are not decided: the leader does not reach a majority of the voters")]
    NothingDecided,
    /// It was released, or its holder's lease has expired, a moment ago.
    #[error("it is free, and the first member to claim it gets it")]
    BeingClaimed,
}

/// Safety checks of a voter that tests can disable.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledGuards {
    /// Leases expire after their duration, without allowance for clock drift.
    pub ignore_drift: bool,
    /// Messages that refer to compacted entries are passed to the library instead of being answered by a snapshot.
    pub withhold_snapshots: bool,
    /// Outgoing messages are taken from the library only once per poll.
    pub drain_once_per_poll: bool,
}

/// A member that is sent views of its duties.
struct Subscription {
    last_request: Moment,
    watched_duties: BTreeSet<Duty>,
}

/// Since when a duty has had its current state, as this voter observed it.
#[derive(Clone, Debug)]
struct DutyHistory {
    /// The epoch of the grant; `None` while the duty is free.
    epoch: Option<Epoch>,
    /// When this epoch began, or the duty became free.
    since: Moment,
    /// The last note, and when it was decided.
    note: Option<(Note, Moment)>,
}

/// The result of a poll. The records must be persisted before any of the messages is sent. If they cannot be persisted, nothing
/// may be sent, and the voter must be recreated from what was persisted.
#[derive(Debug, Default)]
pub struct Output {
    /// Records to persist.
    pub records: Vec<Record>,
    /// Messages of the library to other voters.
    pub consensus_messages: Vec<(MemberId, Message<Command>)>,
    /// Snapshots for voters that need entries which are compacted here.
    pub snapshots: Vec<(MemberId, VoterSnapshot)>,
    /// Views for members.
    pub views: Vec<(MemberId, MemberView)>,
}

/// A voter: one replica of the table, and its part in the consensus protocol.
pub struct Voter {
    me: MemberId,
    voters: Vec<MemberId>,
    terms: LeaseTerms,
    paxos: OmniPaxos<Command, VoterLog>,
    log: VoterLog,
    table: Table,
    /// The number of log entries that are applied to the table.
    applied: usize,
    lease_monitor: LeaseMonitor,
    /// Limits how often a proposal is repeated until it takes effect.
    expiry_pacer: RetryPacer<MemberId>,
    claim_pacer: RetryPacer<Duty>,
    note_pacer: RetryPacer<Duty>,
    subscriptions: BTreeMap<MemberId, Subscription>,
    /// Messages that the library has produced since the last poll.
    outgoing: Vec<Message<Command>>,
    /// Voters that need compacted entries.
    snapshot_needed: BTreeSet<MemberId>,
    snapshot_pacer: RetryPacer<MemberId>,
    /// Members to send a view to at the end of the poll.
    pending_views: BTreeSet<MemberId>,
    /// The history of each duty that has changed since this voter was created.
    duty_history: BTreeMap<Duty, DutyHistory>,
    started: Moment,
    last_tick: Moment,
    last_poll: Moment,
    /// The number of decided entries at the last check.
    decided_seen: usize,
    /// Since when proposals have been waiting in the current round; determines when a higher round is started.
    undecided_since: Option<Moment>,
    /// Like `undecided_since`, but not reset by a higher round; determines the reported [`VacancyReason`].
    stalled_since: Option<Moment>,
    /// Since when this voter follows a leader without having received its log.
    unsynchronized_since: Moment,
    max_entries: usize,
    #[cfg(feature = "unguarded")]
    disabled_guards: DisabledGuards,
}

impl Voter {
    /// Creates a voter that continues from its persisted state.
    pub fn new(
        me: MemberId,
        voters: &[MemberId],
        terms: LeaseTerms,
        snapshot: VoterSnapshot,
        now: Moment,
    ) -> Result<Self, VoterError> {
        if !voters.contains(&me) {
            return Err(VoterError::NotVoter(me));
        }
        let (log, paxos) = Voter::build(me, voters, snapshot)?;
        let mut voter = Voter {
            me,
            voters: voters.to_vec(),
            terms,
            paxos,
            log,
            table: Table::default(),
            applied: 0,
            lease_monitor: LeaseMonitor::default(),
            expiry_pacer: RetryPacer::new(PROPOSAL_RETRY_INTERVAL),
            claim_pacer: RetryPacer::new(PROPOSAL_RETRY_INTERVAL),
            note_pacer: RetryPacer::new(PROPOSAL_RETRY_INTERVAL),
            subscriptions: BTreeMap::new(),
            outgoing: Vec::new(),
            snapshot_needed: BTreeSet::new(),
            snapshot_pacer: RetryPacer::new(SNAPSHOT_RESEND_INTERVAL),
            pending_views: BTreeSet::new(),
            duty_history: BTreeMap::new(),
            started: now,
            last_tick: now,
            last_poll: now,
            decided_seen: 0,
            undecided_since: None,
            stalled_since: None,
            unsynchronized_since: now,
            max_entries: MAX_LOG_ENTRIES,
            #[cfg(feature = "unguarded")]
            disabled_guards: DisabledGuards::default(),
        };
        voter.load_compacted_table(now);
        voter.apply(now);
        // These changes were decided earlier, at unknown times.
        voter.duty_history.clear();
        Ok(voter)
    }

    fn build(
        me: MemberId,
        voters: &[MemberId],
        snapshot: VoterSnapshot,
    ) -> Result<(VoterLog, OmniPaxos<Command, VoterLog>), VoterError> {
        let log = VoterLog::new(snapshot);
        let nodes = voters.iter().map(|voter| voter.0).collect();
        let cluster_config = ClusterConfig { configuration_id: 1, nodes, flexible_quorum: None };
        let server_config = ServerConfig {
            pid: me.0,
            election_tick_timeout: ELECTION_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            ..ServerConfig::default()
        };
        let config = OmniPaxosConfig { cluster_config, server_config };
        let paxos = config.build(log.clone()).map_err(|error| VoterError::Config(error.to_string()))?;
        Ok((log, paxos))
    }

    /// Resets the table to that of the compacted entries.
    fn load_compacted_table(&mut self, now: Moment) {
        let snapshot = self.log.snapshot();
        let (table, count) = snapshot.compacted_table();
        (self.table, self.applied) = (table.clone(), count);
        self.decided_seen = count;
        self.undecided_since = None;
        // Starts the timeout of all members, even if no further entry is ever decided.
        self.lease_monitor.observe(now, &self.table);
    }

    /// Sets the maximum number of log entries, for tests.
    #[cfg(feature = "unguarded")]
    pub fn set_max_entries(&mut self, max_entries: usize) {
        self.max_entries = max_entries;
    }

    /// Disables safety checks, for tests.
    #[cfg(feature = "unguarded")]
    pub fn disable_guards(&mut self, disabled_guards: DisabledGuards) {
        self.disabled_guards = disabled_guards;
    }

    /// The replicated table, as far as it is known here.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The number of commands that are applied to the table.
    pub fn version(&self) -> u64 {
        self.applied as u64
    }

    /// The current leader, as far as it is known here.
    pub fn leader(&self) -> Option<MemberId> {
        self.paxos.get_current_leader().map(|(leader, _)| MemberId(leader))
    }

    /// The number and member id of the promised ballot, and whether its leader has been accepted.
    pub fn ballot_state(&self) -> (u32, u64, bool) {
        let ballot = self.paxos.get_promise();
        (ballot.n, ballot.pid, self.paxos.get_current_leader().is_some_and(|(_, is_settled)| is_settled))
    }

    /// The number of decided entries, and of entries in the log that are not compacted.
    pub fn log_len(&self) -> (usize, usize) {
        (self.paxos.get_decided_idx(), self.log.entry_count())
    }

    /// The complete state as one record that replaces all earlier ones.
    pub fn snapshot_record(&self) -> Record {
        Record::Snapshot(Box::new(self.log.snapshot()))
    }

    /// Handles a message of the library from another voter.
    pub fn handle_consensus(&mut self, message: Message<Command>) {
        if let Message::SequencePaxos(PaxosMessage { from, msg, .. }) = &message {
            // Sent before this voter installed a snapshot. The library does not expect it.
            if matches!(msg, PaxosMsg::AcceptSync(sync) if sync.log_sync.sync_idx < self.paxos.get_decided_idx())
            {
                return;
            }
            let needed_from = match msg {
                // The library answers with the entries that the new leader lacks: those after its decided ones if this
                // voter accepted its log under a later ballot, or those after its accepted ones if under the same ballot.
                PaxosMsg::Prepare(prepare) => {
                    let (ballot, length) = self.log.accepted_ballot_and_len();
                    match ballot.cmp(&Some(prepare.n_accepted)) {
                        Ordering::Greater => Some(prepare.decided_idx),
                        Ordering::Equal if length > prepare.accepted_idx => Some(prepare.accepted_idx),
                        _ => None,
                    }
                }
                PaxosMsg::Promise(promise) => Some(promise.decided_idx),
                _ => None,
            };
            // The library would answer with entries that are already compacted.
            if needed_from.is_some_and(|from| from < self.log.compacted_count())
                && !self.are_snapshots_withheld()
            {
                self.snapshot_needed.insert(MemberId(*from));
                return;
            }
        }
        self.paxos.handle_incoming(message);
        self.drain();
    }

    fn are_snapshots_withheld(&self) -> bool {
        #[cfg(feature = "unguarded")]
        return self.disabled_guards.withhold_snapshots;
        #[cfg(not(feature = "unguarded"))]
        false
    }

    /// Installs the snapshot of another voter, if it is ahead of this one. Returns whether the voter was rebuilt from it.
    pub fn install_snapshot(&mut self, now: Moment, received: VoterSnapshot) -> Result<bool, VoterError> {
        let mut snapshot = self.log.snapshot();
        if !snapshot.install(received) {
            return Ok(false);
        }
        let written = self.log.take_records();
        let (log, paxos) = Voter::build(self.me, &self.voters, snapshot.clone())?;
        (self.log, self.paxos) = (log, paxos);
        self.log.prepend_records(written, Record::Snapshot(Box::new(snapshot)));
        self.load_compacted_table(now);
        // Makes the next poll ask the leader for the rest of the log.
        self.unsynchronized_since = Moment::default();
        self.pending_views.extend(self.subscriptions.keys());
        self.apply(now);
        self.duty_history.clear();
        self.drain();
        Ok(true)
    }

    /// Takes the outgoing messages after each call to the library. Otherwise the library appends entries to a message that it
    /// still holds, even if it has resynchronized with that voter since; the receiver then loses those entries and logs diverge.
    fn drain(&mut self) {
        #[cfg(feature = "unguarded")]
        if self.disabled_guards.drain_once_per_poll {
            return;
        }
        self.paxos.take_outgoing_messages(&mut self.outgoing);
    }

    /// The connection to another voter was reestablished, so messages on the previous one may be lost.
    pub fn reconnected(&mut self, voter: MemberId) {
        self.paxos.reconnected(voter.0);
        self.drain();
    }

    /// Handles the request of a member.
    pub fn handle_request(&mut self, now: Moment, member: MemberId, request: MemberRequest) {
        let MemberRequest { incarnation, heartbeat, claim, releases, notes, watched_duties } = request;
        if self.subscriptions.len() >= MAX_MEMBERS && !self.subscriptions.contains_key(&member) {
            return;
        }
        let watched_duties = watched_duties.into_iter().take(MAX_WATCHED_DUTIES).collect();
        self.subscriptions.insert(member, Subscription { last_request: now, watched_duties });
        // The member may have missed an earlier view.
        self.pending_views.insert(member);
        for (duty, epoch) in releases.into_iter().take(MAX_WATCHED_DUTIES) {
            if self.table.grant(&duty).is_some_and(|grant| grant.holder == member && grant.epoch == epoch) {
                self.propose(Command::Release { member, incarnation, duty, epoch });
            }
        }
        for (duty, epoch, payload) in notes.into_iter().take(MAX_WATCHED_DUTIES) {
            let note = Note { epoch, payload };
            let is_held = self.table.grant(&duty).is_some_and(|g| g.holder == member && g.epoch == epoch);
            if is_held && self.table.note(&duty) != Some(&note) && self.note_pacer.is_due(now, duty.clone()) {
                let payload = note.payload;
                self.propose(Command::Note { member, incarnation, duty, epoch, payload });
            }
        }
        let Some(heartbeat) = heartbeat else { return };
        // If several members claim a duty at once, only one claim is proposed.
        let claim = claim
            .filter(|duty| self.table.grant(duty).is_none() && self.claim_pacer.is_due(now, duty.clone()));
        if claim.is_none() && self.table.session(member).is_none() {
            // The member holds no duty that a heartbeat could keep.
            return;
        }
        self.propose(Command::Heartbeat { member, incarnation, heartbeat, claim });
    }

    fn propose(&mut self, command: Command) {
        // The library rejects proposals while it cannot handle them; members repeat their requests,
        // and expiries are proposed again.
        let _ = self.paxos.append(command);
        self.undecided_since.get_or_insert(self.last_poll);
        self.stalled_since.get_or_insert(self.last_poll);
        self.drain();
    }

    /// Advances the voter to `now`, and returns what has to be persisted and sent.
    pub fn poll(&mut self, now: Moment) -> Output {
        if now - self.last_poll > SUSPENSION_THRESHOLD {
            // Heartbeats from that time have not been processed yet.
            self.lease_monitor.restart_all(now);
            self.last_tick = now;
        }
        self.last_poll = now;
        while now - self.last_tick >= TICK_INTERVAL {
            self.last_tick = self.last_tick + TICK_INTERVAL;
            self.paxos.tick();
            self.drain();
        }
        self.leave_stalled_round(now);
        self.apply(now);
        self.expire_leases(now);
        let (leader, is_settled) = self.paxos.get_current_leader().unwrap_or_default();
        if is_settled || leader == 0 || leader == self.me.0 {
            self.unsynchronized_since = now;
        } else if now - self.unsynchronized_since > SYNC_TIMEOUT {
            // The leader's message may be lost, or was sent before this voter installed a snapshot.
            self.unsynchronized_since = now;
            self.paxos.reconnected(leader);
            self.drain();
        }
        // Not while a round is being prepared, as the library may still need entries that other voters lack.
        if self.log.entry_count() > self.max_entries && is_settled {
            self.log.compact(self.max_entries / 2);
        }
        self.paxos.take_outgoing_messages(&mut self.outgoing);
        let consensus_messages = std::mem::take(&mut self.outgoing)
            .into_iter()
            .map(|message| (MemberId(message.get_receiver()), message))
            .collect();
        let expiry = self.terms.duration * SUBSCRIPTION_LEASES;
        self.subscriptions.retain(|_, subscription| now - subscription.last_request < expiry);
        let pending_views = std::mem::take(&mut self.pending_views);
        let views =
            pending_views.into_iter().filter_map(|member| Some((member, self.view(member)?))).collect();
        let snapshot_needed = std::mem::take(&mut self.snapshot_needed).into_iter();
        let snapshots = snapshot_needed
            .filter(|to| self.snapshot_pacer.is_due(now, *to))
            .map(|to| (to, self.log.snapshot()))
            .collect();
        Output { records: self.log.take_records(), consensus_messages, snapshots, views }
    }

    /// Starts a higher round if this leader does not get its proposals decided. This is needed above all after a restart: the
    /// library resumes the last promised round, and if this voter led that round, all voters including itself take it for the
    /// leader although it leads nothing.
    fn leave_stalled_round(&mut self, now: Moment) {
        let decided = self.paxos.get_decided_idx();
        if decided > self.decided_seen || self.leader() != Some(self.me) {
            self.decided_seen = decided;
            self.undecided_since = None;
            self.stalled_since = None;
        } else if self.undecided_since.is_some_and(|since| now - since > STALLED_LEADER_TIMEOUT) {
            self.undecided_since = None;
            self.paxos.try_become_leader();
            self.drain();
        }
    }

    /// Starts a higher round right after an upgrade, if the previous process of this voter was the leader: it would be taken for
    /// the leader but lead nothing. Must not be called after a longer absence, as another voter may lead by then.
    pub fn resume_leadership(&mut self) {
        if self.leader() == Some(self.me) {
            self.paxos.try_become_leader();
            self.drain();
        }
    }

    /// The latest time at which [`Voter::poll`] has to be called next.
    pub fn next_poll(&self) -> Moment {
        self.last_tick + TICK_INTERVAL
    }

    fn view(&self, member: MemberId) -> Option<MemberView> {
        let subscription = self.subscriptions.get(&member)?;
        let own_grants = self.table.grants().filter(|(_, grant)| grant.holder == member);
        Some(MemberView {
            version: self.applied as u64,
            session: self.table.session(member),
            newest_incarnation: self.table.newest_incarnation(member),
            held_duties: own_grants
                .map(|(duty, grant)| (duty.clone(), grant.incarnation, grant.epoch))
                .collect(),
            watched_duties: subscription.watched_duties.iter().map(|duty| self.watched_duty(duty)).collect(),
        })
    }

    fn watched_duty(&self, duty: &Duty) -> WatchedDuty {
        let history = self.duty_history.get(duty);
        let note = history.and_then(|history| history.note.as_ref());
        let note = note.map(|(note, at)| (note.clone(), (self.last_poll - *at).as_micros() as u64));
        WatchedDuty { duty: duty.clone(), grant: self.table.grant(duty), note }
    }

    /// Applies newly decided entries to the table.
    fn apply(&mut self, now: Moment) {
        let decided = self.paxos.get_decided_idx();
        if decided <= self.applied {
            return;
        }
        for entry in self.paxos.read_decided_suffix(self.applied).unwrap_or_default() {
            // Other kinds of entries are not decided, or are compacted.
            if let LogEntry::Decided(command) = entry {
                let changed = self.table.apply(&command);
                self.queue_views(&command, changed, now);
            }
        }
        self.applied = decided;
        self.lease_monitor.observe(now, &self.table);
    }

    /// Queues views for the members that a command affects.
    fn queue_views(&mut self, command: &Command, changed: Vec<Duty>, now: Moment) {
        let (Command::Heartbeat { member, .. }
        | Command::Release { member, .. }
        | Command::Note { member, .. }
        | Command::Expire { member, .. }) = command;
        self.pending_views.insert(*member);
        let watching = self.subscriptions.iter().filter(|(_, subscription)| {
            changed.iter().any(|duty| subscription.watched_duties.contains(duty))
        });
        self.pending_views.extend(watching.map(|(member, _)| *member));
        for duty in changed {
            let epoch = self.table.grant(&duty).map(|grant| grant.epoch);
            let history = self.duty_history.entry(duty.clone()).or_insert(DutyHistory {
                epoch,
                since: now,
                note: None,
            });
            if history.epoch != epoch {
                (history.epoch, history.since) = (epoch, now);
            }
            if let (Command::Note { .. }, Some(note)) = (command, self.table.note(&duty)) {
                history.note = Some((note.clone(), now));
            }
        }
        if self.duty_history.len() > 2 * MAX_DUTIES {
            self.duty_history.retain(|duty, _| self.table.grant(duty).is_some());
        }
    }

    /// Since when a duty has had its current holder, or none. `None` if that was so before this voter was created.
    pub fn unchanged_since(&self, duty: &Duty) -> Option<Moment> {
        self.duty_history.get(duty).map(|history| history.since)
    }

    /// Requested duties without a holder: since when, and why.
    pub fn vacant_duties(&self, now: Moment) -> impl Iterator<Item = (&Duty, Moment, VacancyReason)> + '_ {
        let reason = match (self.leader(), self.stalled_since) {
            (None, _) => VacancyReason::NoLeader,
            (Some(_), Some(since)) if now - since > self.terms.duration => VacancyReason::NothingDecided,
            (Some(_), _) => VacancyReason::BeingClaimed,
        };
        let wanted: BTreeSet<&Duty> =
            self.subscriptions.values().flat_map(|subscription| subscription.watched_duties.iter()).collect();
        let free = wanted.into_iter().filter(|duty| self.table.grant(duty).is_none());
        free.map(move |duty| (duty, self.unchanged_since(duty).unwrap_or(self.started), reason))
    }

    fn expiry_timeout(&self) -> Duration {
        #[cfg(feature = "unguarded")]
        if self.disabled_guards.ignore_drift {
            return self.terms.duration;
        }
        self.terms.expiry_timeout()
    }

    /// Proposes to expire the leases that have run out by this voter's clock. Only the leader does so.
    fn expire_leases(&mut self, now: Moment) {
        if self.leader() != Some(self.me) {
            return;
        }
        for (member, Session { incarnation, heartbeat }) in
            self.lease_monitor.expired(now, self.expiry_timeout())
        {
            // Repeated until it takes effect: proposals of a round that ends are lost.
            if self.expiry_pacer.is_due(now, member) {
                self.propose(Command::Expire { member, incarnation, heartbeat });
            }
        }
    }
}
