//! One voice of the agreement. The library brings about that all voters come to the same commands in the same order; what is
//! decided here is which commands are proposed, above all when a lease is over.
//!
//! When to propose it hangs on this voter's clock, whether it holds on what others have agreed on meanwhile: the command
//! names the last sign of life that was known here, and does nothing where a newer one was heard.

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

/// The library's time goes on by one for each.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks between two rounds in which voters hear who is there.
const ELECTION_TICKS: u64 = 4;
/// Ticks after which what was not answered is said again.
const RESEND_TICKS: u64 = 10;
/// A voter that did nothing for so long may have slept: what it did not hear meanwhile it may hear yet.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(500);
/// Before the same end, or a claim of the same duty, is proposed again.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Entries that are kept one by one before the older half of them is made into a table.
const MAX_LOG_ENTRIES: usize = 512;
/// A leader that gets nothing decided for so long leads nothing: three rounds of hearing who is there.
const STALLED_LEADER_TIMEOUT: Duration =
    Duration::from_millis(3 * ELECTION_TICKS * TICK_INTERVAL.as_millis() as u64);
/// A voter that follows a leader without a log from it for so long asks for one.
const SYNC_TIMEOUT: Duration = Duration::from_millis(700);
/// Before the same voter is given a table again.
const SNAPSHOT_RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Members that are told of changes here are forgotten when they have asked for nothing for so many leases.
const SUBSCRIPTION_LEASES: u32 = 20;

/// Why a voter cannot be one.
#[derive(Debug, Error)]
pub enum VoterError {
    /// The library rejects the configuration.
    #[error("invalid set of voters: {0}")]
    Config(String),
    /// It is none of them.
    #[error("{0} is not among the voters")]
    NotVoter(MemberId),
}

/// Why nobody holds a duty that is wanted, as one voter sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VacancyReason {
    /// No leader is known here.
    #[error("no leader is known here: a majority of the voters does not reach each other, or this one does not reach it")]
    NoLeader,
    /// The leader does not get its proposals decided.
    #[error("proposals are not decided: the leader does not reach a majority of the voters")]
    NothingDecided,
    /// It was released, or its holder's lease has expired, a moment ago.
    #[error("it is free, and the first member to claim it gets it")]
    BeingClaimed,
}

/// Guards of a voter that a test can take out.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledGuards {
    /// The lease alone is waited for, whatever clocks do.
    pub ignore_drift: bool,
    /// Voters that lack what is no longer kept are answered by the library.
    pub withhold_snapshots: bool,
    /// What the library has to say is taken from it once a turn.
    pub drain_once_per_poll: bool,
}

/// A member that is told of changes here.
struct Subscription {
    last_request: Moment,
    watched_duties: BTreeSet<Duty>,
}

/// When this voter saw how a duty stands.
#[derive(Clone, Debug)]
struct DutyHistory {
    epoch: Option<Epoch>,
    /// When this epoch began, or the duty became free.
    since: Moment,
    note: Option<(Note, Moment)>,
}

/// What is to be done, in this order: records kept for good, then messages sent. Where they cannot be kept nothing may be
/// sent, and the voter must be made anew from what was kept.
#[derive(Debug, Default)]
pub struct Output {
    /// To be kept.
    pub records: Vec<Record>,
    /// To voters.
    pub consensus_messages: Vec<(MemberId, Message<Command>)>,
    /// To voters that lack what is no longer kept one by one here.
    pub snapshots: Vec<(MemberId, VoterSnapshot)>,
    /// To members.
    pub views: Vec<(MemberId, MemberView)>,
}

/// One voter.
pub struct Voter {
    me: MemberId,
    voters: Vec<MemberId>,
    terms: LeaseTerms,
    paxos: OmniPaxos<Command, VoterLog>,
    log: VoterLog,
    table: Table,
    /// Entries of the log that are in the table.
    applied: usize,
    lease_monitor: LeaseMonitor,
    /// What was proposed a moment ago.
    expiry_pacer: RetryPacer<MemberId>,
    claim_pacer: RetryPacer<Duty>,
    note_pacer: RetryPacer<Duty>,
    subscriptions: BTreeMap<MemberId, Subscription>,
    /// Said to other voters, until the turn is over.
    outgoing: Vec<Message<Command>>,
    /// Voters that lack what is no longer kept one by one, and those that were given it a moment ago.
    snapshot_needed: BTreeSet<MemberId>,
    snapshot_pacer: RetryPacer<MemberId>,
    /// Members that are owed a view.
    pending_views: BTreeSet<MemberId>,
    /// Since when duties are held, or free, as they are, and since when what was told of them is agreed on.
    duty_history: BTreeMap<Duty, DutyHistory>,
    started: Moment,
    last_tick: Moment,
    last_poll: Moment,
    /// How much was decided when it last looked, and since when it has proposed more.
    decided_seen: usize,
    undecided_since: Option<Moment>,
    /// Since when it leads and gets nothing decided of what it proposed, however often it began anew.
    stalled_since: Option<Moment>,
    /// Since when it follows a leader and has not heard from it what it is to follow.
    unsynchronized_since: Moment,
    max_entries: usize,
    #[cfg(feature = "unguarded")]
    disabled_guards: DisabledGuards,
}

impl Voter {
    /// A voter that goes on from what was kept of it.
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
        // All of it was agreed on before.
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

    /// Begins with the table of the entries that are no longer kept one by one.
    fn load_compacted_table(&mut self, now: Moment) {
        let snapshot = self.log.snapshot();
        let (table, count) = snapshot.compacted_table();
        (self.table, self.applied) = (table.clone(), count);
        self.decided_seen = count;
        self.undecided_since = None;
        // Each gets a whole lease from here, also where nothing more is ever decided.
        self.lease_monitor.observe(now, &self.table);
    }

    /// Keeps fewer entries one by one.
    #[cfg(feature = "unguarded")]
    pub fn set_max_entries(&mut self, max_entries: usize) {
        self.max_entries = max_entries;
    }

    /// Takes some guards out.
    #[cfg(feature = "unguarded")]
    pub fn disable_guards(&mut self, disabled_guards: DisabledGuards) {
        self.disabled_guards = disabled_guards;
    }

    /// What is agreed on, as far as it is known here.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// How many commands the table comes from.
    pub fn version(&self) -> u64 {
        self.applied as u64
    }

    /// Who leads, as far as it is known here.
    pub fn leader(&self) -> Option<MemberId> {
        self.paxos.get_current_leader().map(|(leader, _)| MemberId(leader))
    }

    /// The number and member id of the promised ballot, and whether its leader has been accepted.
    pub fn ballot_state(&self) -> (u32, u64, bool) {
        let ballot = self.paxos.get_promise();
        (ballot.n, ballot.pid, self.paxos.get_current_leader().is_some_and(|(_, is_settled)| is_settled))
    }

    /// Entries decided, and entries kept one by one.
    pub fn log_len(&self) -> (usize, usize) {
        (self.paxos.get_decided_idx(), self.log.entry_count())
    }

    /// All that is kept, as one record in place of all before.
    pub fn snapshot_record(&self) -> Record {
        Record::Snapshot(Box::new(self.log.snapshot()))
    }

    /// Another voter said something.
    pub fn handle_consensus(&mut self, message: Message<Command>) {
        if let Message::SequencePaxos(PaxosMessage { from, msg, .. }) = &message {
            // On its way since before this voter was given a table: the library takes it for impossible.
            if matches!(msg, PaxosMsg::AcceptSync(sync) if sync.log_sync.sync_idx < self.paxos.get_decided_idx())
            {
                return;
            }
            let needed_from = match msg {
                // The library gives a new leader what is accepted here in a later round, or further in the same one.
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
            // The library would answer with entries that are no longer kept one by one.
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

    /// Another voter gives all that it keeps, as this one lacks some of it; whether it began anew with that.
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
        // It goes on as one that has begun anew: it asks its leader for the rest.
        self.unsynchronized_since = Moment::default();
        self.pending_views.extend(self.subscriptions.keys());
        self.apply(now);
        self.duty_history.clear();
        self.drain();
        Ok(true)
    }

    /// Takes what the library has to say after each call to it. It puts more entries into a message that it still has, also
    /// where it has meanwhile begun anew with that voter: those entries are lost there unseen, and logs differ.
    fn drain(&mut self) {
        #[cfg(feature = "unguarded")]
        if self.disabled_guards.drain_once_per_poll {
            return;
        }
        self.paxos.take_outgoing_messages(&mut self.outgoing);
    }

    /// The connection to another voter was made anew: what was said on the one before may be lost.
    pub fn reconnected(&mut self, voter: MemberId) {
        self.paxos.reconnected(voter.0);
        self.drain();
    }

    /// A member asks for something.
    pub fn handle_request(&mut self, now: Moment, member: MemberId, request: MemberRequest) {
        let MemberRequest { incarnation, heartbeat, claim, releases, notes, watched_duties } = request;
        if self.subscriptions.len() >= MAX_MEMBERS && !self.subscriptions.contains_key(&member) {
            return;
        }
        let watched_duties = watched_duties.into_iter().take(MAX_WATCHED_DUTIES).collect();
        self.subscriptions.insert(member, Subscription { last_request: now, watched_duties });
        // It may have missed what it was told before.
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
            // Nothing is held that a sign of life could keep.
            return;
        }
        self.propose(Command::Heartbeat { member, incarnation, heartbeat, claim });
    }

    fn propose(&mut self, command: Command) {
        // One that cannot be proposed now is asked for again by who needs it.
        let _ = self.paxos.append(command);
        self.undecided_since.get_or_insert(self.last_poll);
        self.stalled_since.get_or_insert(self.last_poll);
        self.drain();
    }

    /// Lets time pass, and hands out what is to be done.
    pub fn poll(&mut self, now: Moment) -> Output {
        if now - self.last_poll > SUSPENSION_THRESHOLD {
            // Who gave signs of life meanwhile was not heard; each gets a whole lease from here.
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
        // While a round begins, the library may still need what it was told that others lack.
        let (leader, is_settled) = self.paxos.get_current_leader().unwrap_or_default();
        if is_settled || leader == 0 || leader == self.me.0 {
            self.unsynchronized_since = now;
        } else if now - self.unsynchronized_since > SYNC_TIMEOUT {
            // What the leader said to it may be lost, or was said to what it was before it was given a table.
            self.unsynchronized_since = now;
            self.paxos.reconnected(leader);
            self.drain();
        }
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

    /// A leader that proposes and gets nothing decided begins a higher round. Above all after it began anew: the library takes up
    /// the round that it last promised, and where this voter led that one it is taken for the leader by all, itself included,
    /// and leads nothing.
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

    /// It goes on at once in the place of a process that led: it begins a higher round now, as it would be taken for the leader
    /// and lead nothing. A voter that was away for longer must not: another one may lead by now.
    pub fn resume_leadership(&mut self) {
        if self.leader() == Some(self.me) {
            self.paxos.try_become_leader();
            self.drain();
        }
    }

    /// When the next turn is due at the latest.
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

    /// Takes in what was decided.
    fn apply(&mut self, now: Moment) {
        let decided = self.paxos.get_decided_idx();
        if decided <= self.applied {
            return;
        }
        for entry in self.paxos.read_decided_suffix(self.applied).unwrap_or_default() {
            // The rest is not decided, or not there any more.
            if let LogEntry::Decided(command) = entry {
                let changed = self.table.apply(&command);
                self.queue_views(&command, changed, now);
            }
        }
        self.applied = decided;
        self.lease_monitor.observe(now, &self.table);
    }

    /// Members to whom a command matters are told how things stand now.
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

    /// Duties that members here want and nobody holds: since when, and why.
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

    /// Proposes the end of leases that have run out by this clock: one voter is enough for that.
    fn expire_leases(&mut self, now: Moment) {
        if self.leader() != Some(self.me) {
            return;
        }
        for (member, Session { incarnation, heartbeat }) in
            self.lease_monitor.expired(now, self.expiry_timeout())
        {
            // Said again where it came to nothing: a round that ends takes with it what was proposed in it.
            if self.expiry_pacer.is_due(now, member) {
                self.propose(Command::Expire { member, incarnation, heartbeat });
            }
        }
    }
}
