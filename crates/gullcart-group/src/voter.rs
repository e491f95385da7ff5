//! One voice of the agreement. The library brings about that all voters come to the same commands in the same order; what is
//! decided here is which commands are proposed, above all when a lease is over.
//!
//! When to propose it hangs on this voter's clock, whether it holds on what others have agreed on meanwhile: the command
//! names the last sign of life that was known here, and does nothing where a newer one was heard.

use crate::lease::Watch;
use crate::log::{Image, Log, Record};
use crate::pace::Pace;
use crate::say::{Ask, View, Watched, MOST_WATCHED};
use crate::table::{Command, Note, Session, Table, MOST_DUTIES, MOST_MEMBERS};
use crate::vocabulary::{Duty, Epoch, MemberId, Moment, Terms};
use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// The library's time goes on by one for each.
pub const TICK: Duration = Duration::from_millis(50);
/// Ticks between two rounds in which voters hear who is there.
const ELECTION_TICKS: u64 = 4;
/// Ticks after which what was not answered is said again.
const RESEND_TICKS: u64 = 10;
/// A voter that did nothing for so long may have slept: what it did not hear meanwhile it may hear yet.
const SLEPT: Duration = Duration::from_millis(500);
/// Before the same end, or a claim of the same duty, is proposed again.
const AGAIN: Duration = Duration::from_millis(300);
/// Entries that are kept one by one before the older half of them is made into a table.
const MOST_ENTRIES: usize = 512;
/// A leader that gets nothing decided for so long leads nothing: three rounds of hearing who is there.
const IDLE_ROUND: Duration = Duration::from_millis(3 * ELECTION_TICKS * TICK.as_millis() as u64);
/// A voter that follows a leader without a log from it for so long asks for one.
const UNSETTLED: Duration = Duration::from_millis(700);
/// Before the same voter is given a table again.
const BASE_AGAIN: Duration = Duration::from_millis(500);
/// Members that are told of changes here are forgotten when they have asked for nothing for so many leases.
const ATTACHED_LEASES: u32 = 20;

/// Why a voter cannot be one.
#[derive(Debug, Error)]
pub enum VoterError {
    /// The library refuses the configuration.
    #[error("the voters cannot be these: {0}")]
    Config(String),
    /// It is none of them.
    #[error("{0} is not among the voters")]
    Stranger(MemberId),
}

/// Why nobody holds a duty that is wanted, as one voter sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Vacant {
    /// No leader is known here.
    #[error("no leader is known here: a majority of the voters does not reach each other, or this one does not reach it")]
    NoLeader,
    /// The leader gets nothing agreed on.
    #[error("what was proposed is not agreed on: the leader does not reach a majority of the voters")]
    NothingAgreed,
    /// It was given up or its holder's lease ended a moment ago.
    #[error("it is free, and whoever claims it first gets it")]
    BeingClaimed,
}

/// Guards of a voter that a test can take out.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unguarded {
    /// The lease alone is waited for, whatever clocks do.
    pub no_drift: bool,
    /// Voters that lack what is no longer kept are answered by the library.
    pub withholds_base: bool,
    /// What the library has to say is taken from it once a turn.
    pub drains_at_the_end: bool,
}

/// A member that is told of changes here.
struct Attached {
    asked: Moment,
    watches: BTreeSet<Duty>,
}

/// When this voter saw how a duty stands.
#[derive(Clone, Debug)]
struct Since {
    epoch: Option<Epoch>,
    at: Moment,
    note: Option<(Note, Moment)>,
}

/// What is to be done, in this order: records kept for good, then messages sent. Where they cannot be kept nothing may be
/// sent, and the voter must be made anew from what was kept.
#[derive(Debug, Default)]
pub struct Output {
    /// To be kept.
    pub records: Vec<Record>,
    /// To voters.
    pub votes: Vec<(MemberId, Message<Command>)>,
    /// To voters that lack what is no longer kept one by one here.
    pub bases: Vec<(MemberId, Image)>,
    /// To members.
    pub views: Vec<(MemberId, View)>,
}

/// One voter.
pub struct Voter {
    me: MemberId,
    voters: Vec<MemberId>,
    terms: Terms,
    paxos: OmniPaxos<Command, Log>,
    log: Log,
    table: Table,
    /// Entries of the log that are in the table.
    applied: usize,
    watch: Watch,
    /// What was proposed a moment ago.
    ended: Pace<MemberId>,
    claimed: Pace<Duty>,
    noted: Pace<Duty>,
    attached: BTreeMap<MemberId, Attached>,
    /// Said to other voters, until the turn is over.
    votes: Vec<Message<Command>>,
    /// Voters that lack what is no longer kept one by one, and those that were given it a moment ago.
    lacking: BTreeSet<MemberId>,
    based: Pace<MemberId>,
    /// Members that are owed a view.
    owed: BTreeSet<MemberId>,
    /// Since when duties are held, or free, as they are, and since when what was told of them is agreed on.
    since: BTreeMap<Duty, Since>,
    begun: Moment,
    ticked: Moment,
    turned: Moment,
    /// How much was decided when it last looked, and since when it has proposed more.
    progress: (usize, Option<Moment>),
    /// Since when it leads and gets nothing decided of what it proposed, however often it began anew.
    stuck: Option<Moment>,
    /// Since when it follows a leader and has not heard from it what it is to follow.
    unsettled: Moment,
    most_entries: usize,
    #[cfg(feature = "unguarded")]
    unguarded: Unguarded,
}

impl Voter {
    /// A voter that goes on from what was kept of it.
    pub fn new(
        me: MemberId,
        voters: &[MemberId],
        terms: Terms,
        image: Image,
        now: Moment,
    ) -> Result<Self, VoterError> {
        if !voters.contains(&me) {
            return Err(VoterError::Stranger(me));
        }
        let (log, paxos) = Voter::begin(me, voters, image)?;
        let mut voter = Voter {
            me,
            voters: voters.to_vec(),
            terms,
            paxos,
            log,
            table: Table::default(),
            applied: 0,
            watch: Watch::default(),
            ended: Pace::new(AGAIN),
            claimed: Pace::new(AGAIN),
            noted: Pace::new(AGAIN),
            attached: BTreeMap::new(),
            votes: Vec::new(),
            lacking: BTreeSet::new(),
            based: Pace::new(BASE_AGAIN),
            owed: BTreeSet::new(),
            since: BTreeMap::new(),
            begun: now,
            ticked: now,
            turned: now,
            progress: (0, None),
            stuck: None,
            unsettled: now,
            most_entries: MOST_ENTRIES,
            #[cfg(feature = "unguarded")]
            unguarded: Unguarded::default(),
        };
        voter.begin_table(now);
        voter.apply(now);
        // All of it was agreed on before.
        voter.since.clear();
        Ok(voter)
    }

    fn begin(
        me: MemberId,
        voters: &[MemberId],
        image: Image,
    ) -> Result<(Log, OmniPaxos<Command, Log>), VoterError> {
        let log = Log::new(image);
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
    fn begin_table(&mut self, now: Moment) {
        let image = self.log.image();
        let (base, count) = image.base();
        (self.table, self.applied) = (base.clone(), count);
        self.progress = (count, None);
        // Each gets a whole lease from here, also where nothing more is ever decided.
        self.watch.look(now, &self.table);
    }

    /// Keeps fewer entries one by one.
    #[cfg(feature = "unguarded")]
    pub fn keep_entries(&mut self, most: usize) {
        self.most_entries = most;
    }

    /// Takes some guards out.
    #[cfg(feature = "unguarded")]
    pub fn guard(&mut self, unguarded: Unguarded) {
        self.unguarded = unguarded;
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

    /// The ballot it promised, and whether its round is settled as far as it knows.
    pub fn phase(&self) -> (u32, u64, bool) {
        let ballot = self.paxos.get_promise();
        (ballot.n, ballot.pid, self.paxos.get_current_leader().is_some_and(|(_, is_settled)| is_settled))
    }

    /// Entries decided, and entries kept one by one.
    pub fn log_len(&self) -> (usize, usize) {
        (self.paxos.get_decided_idx(), self.log.entries())
    }

    /// All that is kept, as one record in place of all before.
    pub fn image(&self) -> Record {
        Record::Image(Box::new(self.log.image()))
    }

    /// Another voter said something.
    pub fn vote(&mut self, message: Message<Command>) {
        if let Message::SequencePaxos(PaxosMessage { from, msg, .. }) = &message {
            // On its way since before this voter was given a table: the library takes it for impossible.
            if matches!(msg, PaxosMsg::AcceptSync(sync) if sync.log_sync.sync_idx < self.paxos.get_decided_idx())
            {
                return;
            }
            let needed = match msg {
                // The library gives a new leader what is accepted here in a later round, or further in the same one.
                PaxosMsg::Prepare(prepare) => {
                    let (round, length) = self.log.accepted();
                    match round.cmp(&Some(prepare.n_accepted)) {
                        Ordering::Greater => Some(prepare.decided_idx),
                        Ordering::Equal if length > prepare.accepted_idx => Some(prepare.accepted_idx),
                        _ => None,
                    }
                }
                PaxosMsg::Promise(promise) => Some(promise.decided_idx),
                _ => None,
            };
            // The library would answer with entries that are no longer kept one by one.
            if needed.is_some_and(|from| from < self.log.trimmed()) && !self.is_base_withheld() {
                self.lacking.insert(MemberId(*from));
                return;
            }
        }
        self.paxos.handle_incoming(message);
        self.drain();
    }

    fn is_base_withheld(&self) -> bool {
        #[cfg(feature = "unguarded")]
        return self.unguarded.withholds_base;
        #[cfg(not(feature = "unguarded"))]
        false
    }

    /// Another voter gives all that it keeps, as this one lacks some of it; whether it began anew with that.
    pub fn install(&mut self, now: Moment, other: Image) -> Result<bool, VoterError> {
        let mut image = self.log.image();
        if !image.install(other) {
            return Ok(false);
        }
        let written = self.log.take_records();
        let (log, paxos) = Voter::begin(self.me, &self.voters, image.clone())?;
        (self.log, self.paxos) = (log, paxos);
        self.log.put_first(written, Record::Image(Box::new(image)));
        self.begin_table(now);
        // It goes on as one that has begun anew: it asks its leader for the rest.
        self.unsettled = Moment::default();
        self.owed.extend(self.attached.keys());
        self.apply(now);
        self.since.clear();
        self.drain();
        Ok(true)
    }

    /// Takes what the library has to say after each call to it. It puts more entries into a message that it still has, also
    /// where it has meanwhile begun anew with that voter: those entries are lost there unseen, and logs differ.
    fn drain(&mut self) {
        #[cfg(feature = "unguarded")]
        if self.unguarded.drains_at_the_end {
            return;
        }
        self.paxos.take_outgoing_messages(&mut self.votes);
    }

    /// The connection to another voter was made anew: what was said on the one before may be lost.
    pub fn reconnected(&mut self, voter: MemberId) {
        self.paxos.reconnected(voter.0);
        self.drain();
    }

    /// A member asks for something.
    pub fn ask(&mut self, now: Moment, member: MemberId, ask: Ask) {
        let Ask { life, beat, claim, releases, notes, watches } = ask;
        if self.attached.len() >= MOST_MEMBERS && !self.attached.contains_key(&member) {
            return;
        }
        let watches = watches.into_iter().take(MOST_WATCHED).collect();
        self.attached.insert(member, Attached { asked: now, watches });
        // It may have missed what it was told before.
        self.owed.insert(member);
        for (duty, epoch) in releases.into_iter().take(MOST_WATCHED) {
            if self.table.grant(&duty).is_some_and(|grant| grant.holder == member && grant.epoch == epoch) {
                self.propose(Command::Release { member, life, duty, epoch });
            }
        }
        for (duty, epoch, words) in notes.into_iter().take(MOST_WATCHED) {
            let note = Note { epoch, words };
            let is_held = self.table.grant(&duty).is_some_and(|g| g.holder == member && g.epoch == epoch);
            if is_held && self.table.note(&duty) != Some(&note) && self.noted.is_due(now, duty.clone()) {
                let words = note.words;
                self.propose(Command::Note { member, life, duty, epoch, words });
            }
        }
        let Some(beat) = beat else { return };
        // Of many that claim a duty at one moment one is enough.
        let claim =
            claim.filter(|duty| self.table.grant(duty).is_none() && self.claimed.is_due(now, duty.clone()));
        if claim.is_none() && self.table.session(member).is_none() {
            // Nothing is held that a sign of life could keep.
            return;
        }
        self.propose(Command::Beat { member, life, beat, claim });
    }

    fn propose(&mut self, command: Command) {
        // One that cannot be proposed now is asked for again by who needs it.
        let _ = self.paxos.append(command);
        self.progress.1.get_or_insert(self.turned);
        self.stuck.get_or_insert(self.turned);
        self.drain();
    }

    /// Lets time pass, and hands out what is to be done.
    pub fn turn(&mut self, now: Moment) -> Output {
        if now - self.turned > SLEPT {
            // Who gave signs of life meanwhile was not heard; each gets a whole lease from here.
            self.watch.begin_anew(now);
            self.ticked = now;
        }
        self.turned = now;
        while now - self.ticked >= TICK {
            self.ticked = self.ticked + TICK;
            self.paxos.tick();
            self.drain();
        }
        self.leave_idle_round(now);
        self.apply(now);
        self.end_leases(now);
        // While a round begins, the library may still need what it was told that others lack.
        let (leader, is_settled) = self.paxos.get_current_leader().unwrap_or_default();
        if is_settled || leader == 0 || leader == self.me.0 {
            self.unsettled = now;
        } else if now - self.unsettled > UNSETTLED {
            // What the leader said to it may be lost, or was said to what it was before it was given a table.
            self.unsettled = now;
            self.paxos.reconnected(leader);
            self.drain();
        }
        if self.log.entries() > self.most_entries && is_settled {
            self.log.trim(self.most_entries / 2);
        }
        self.paxos.take_outgoing_messages(&mut self.votes);
        let votes = std::mem::take(&mut self.votes)
            .into_iter()
            .map(|vote| (MemberId(vote.get_receiver()), vote))
            .collect();
        let gone = self.terms.lease * ATTACHED_LEASES;
        self.attached.retain(|_, attached| now - attached.asked < gone);
        let owed = std::mem::take(&mut self.owed);
        let views = owed.into_iter().filter_map(|member| Some((member, self.view(member)?))).collect();
        let lacking = std::mem::take(&mut self.lacking).into_iter();
        let bases =
            lacking.filter(|to| self.based.is_due(now, *to)).map(|to| (to, self.log.image())).collect();
        Output { records: self.log.take_records(), votes, bases, views }
    }

    /// A leader that proposes and gets nothing decided begins a higher round. Above all after it began anew: the library takes up
    /// the round that it last promised, and where this voter led that one it is taken for the leader by all, itself included,
    /// and leads nothing.
    fn leave_idle_round(&mut self, now: Moment) {
        let decided = self.paxos.get_decided_idx();
        if decided > self.progress.0 || self.leader() != Some(self.me) {
            (self.progress, self.stuck) = ((decided, None), None);
        } else if self.progress.1.is_some_and(|since| now - since > IDLE_ROUND) {
            self.progress.1 = None;
            self.paxos.try_become_leader();
            self.drain();
        }
    }

    /// It goes on at once in the place of a process that led: it begins a higher round now, as it would be taken for the leader
    /// and lead nothing. A voter that was away for longer must not: another one may lead by now.
    pub fn go_on(&mut self) {
        if self.leader() == Some(self.me) {
            self.paxos.try_become_leader();
            self.drain();
        }
    }

    /// When the next turn is due at the latest.
    pub fn next_turn(&self) -> Moment {
        self.ticked + TICK
    }

    fn view(&self, member: MemberId) -> Option<View> {
        let attached = self.attached.get(&member)?;
        let mine = self.table.grants().filter(|(_, grant)| grant.holder == member);
        Some(View {
            version: self.applied as u64,
            session: self.table.session(member),
            newest_life: self.table.newest_life(member),
            holds: mine.map(|(duty, grant)| (duty.clone(), grant.life, grant.epoch)).collect(),
            watched: attached.watches.iter().map(|duty| self.watched(duty)).collect(),
        })
    }

    fn watched(&self, duty: &Duty) -> Watched {
        let told = self.since.get(duty).and_then(|since| since.note.as_ref());
        let note = told.map(|(note, at)| (note.clone(), (self.turned - *at).as_micros() as u64));
        Watched { duty: duty.clone(), grant: self.table.grant(duty), note }
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
                self.owe(&command, changed, now);
            }
        }
        self.applied = decided;
        self.watch.look(now, &self.table);
    }

    /// Members to whom a command matters are told how things stand now.
    fn owe(&mut self, command: &Command, changed: Vec<Duty>, now: Moment) {
        let (Command::Beat { member, .. }
        | Command::Release { member, .. }
        | Command::Note { member, .. }
        | Command::Expire { member, .. }) = command;
        self.owed.insert(*member);
        let watching = self
            .attached
            .iter()
            .filter(|(_, attached)| changed.iter().any(|duty| attached.watches.contains(duty)));
        self.owed.extend(watching.map(|(member, _)| *member));
        for duty in changed {
            let epoch = self.table.grant(&duty).map(|grant| grant.epoch);
            let since = self.since.entry(duty.clone()).or_insert(Since { epoch, at: now, note: None });
            if since.epoch != epoch {
                (since.epoch, since.at) = (epoch, now);
            }
            if let (Command::Note { .. }, Some(note)) = (command, self.table.note(&duty)) {
                since.note = Some((note.clone(), now));
            }
        }
        if self.since.len() > 2 * MOST_DUTIES {
            self.since.retain(|duty, _| self.table.grant(duty).is_some());
        }
    }

    /// Since when a duty is held as it is, or free; none where that was before this voter began.
    pub fn held_since(&self, duty: &Duty) -> Option<Moment> {
        self.since.get(duty).map(|since| since.at)
    }

    /// Duties that members here want and nobody holds: since when, and why.
    pub fn vacant(&self, now: Moment) -> impl Iterator<Item = (&Duty, Moment, Vacant)> + '_ {
        let why = match (self.leader(), self.stuck) {
            (None, _) => Vacant::NoLeader,
            (Some(_), Some(since)) if now - since > self.terms.lease => Vacant::NothingAgreed,
            (Some(_), _) => Vacant::BeingClaimed,
        };
        let wanted: BTreeSet<&Duty> =
            self.attached.values().flat_map(|attached| attached.watches.iter()).collect();
        let free = wanted.into_iter().filter(|duty| self.table.grant(duty).is_none());
        free.map(move |duty| (duty, self.held_since(duty).unwrap_or(self.begun), why))
    }

    fn patience(&self) -> Duration {
        #[cfg(feature = "unguarded")]
        if self.unguarded.no_drift {
            return self.terms.lease;
        }
        self.terms.patience()
    }

    /// Proposes the end of leases that have run out by this clock: one voter is enough for that.
    fn end_leases(&mut self, now: Moment) {
        if self.leader() != Some(self.me) {
            return;
        }
        for (member, Session { life, beat }) in self.watch.over(now, self.patience()) {
            // Said again where it came to nothing: a round that ends takes with it what was proposed in it.
            if self.ended.is_due(now, member) {
                self.propose(Command::Expire { member, life, beat });
            }
        }
    }
}
