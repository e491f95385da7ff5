//! A process of the group: a member, and a voter if the process votes.

use crate::log::{Record, VoterSnapshot};
use crate::member::{Member, MemberHandover};
use crate::message::{MessageError, PeerMessage};
use crate::message_order::{MessageOrder, Reception, RunId};
use crate::retry_pacer::RetryPacer;
use crate::table::Table;
use crate::types::{LeaseTerms, MemberId, Moment};
use crate::voter::{Voter, VoterError};
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum time before the current run is sent to the same voter again.
const RUN_NOTICE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of exchanges between the local voter and the local member in one poll.
const MAX_LOCAL_ROUNDS: usize = 4;

/// The result of a poll. The records must be persisted before any message is sent. If they cannot be persisted, nothing may be
/// sent, and voting must stop ([`Node::stop_voting`]) until the voter is recreated from what was persisted.
#[derive(Debug, Default)]
pub struct Output {
    /// Records to persist.
    pub records: Vec<Record>,
    /// Messages to other members.
    pub messages: Vec<(MemberId, PeerMessage)>,
}

/// One process of the group.
pub struct Node {
    me: MemberId,
    voters: Vec<MemberId>,
    /// The member side.
    pub member: Member,
    voter: Option<Voter>,
    order: MessageOrder,
    /// Voters that addressed another run of this one.
    wrong_run_senders: BTreeSet<MemberId>,
    run_notice_pacer: RetryPacer<MemberId>,
    #[cfg(feature = "unguarded")]
    accepts_late_messages: bool,
}

impl Node {
    /// Creates a process with a new run. It votes if it is one of the voters and has stored state.
    pub fn new(
        me: MemberId,
        run: RunId,
        voters: &[MemberId],
        terms: LeaseTerms,
        stored: Option<VoterSnapshot>,
        seed: u64,
        now: Moment,
    ) -> Result<Self, VoterError> {
        let voter = stored.filter(|_| voters.contains(&me));
        let voter = voter.map(|snapshot| Voter::new(me, voters, terms, snapshot, now)).transpose()?;
        let member = Member::new(me, run.incarnation, voters, terms, seed, now);
        Ok(Node {
            me,
            voters: voters.to_vec(),
            member,
            voter,
            order: MessageOrder::new(run),
            wrong_run_senders: BTreeSet::new(),
            run_notice_pacer: RetryPacer::new(RUN_NOTICE_INTERVAL),
            #[cfg(feature = "unguarded")]
            accepts_late_messages: false,
        })
    }

    /// The id of this member.
    pub fn me(&self) -> MemberId {
        self.me
    }

    /// The replicated table, if this process votes.
    pub fn table(&self) -> Option<&Table> {
        self.voter.as_ref().map(Voter::table)
    }

    /// The voter, if this process votes.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// The voter, mutably.
    pub fn voter_mut(&mut self) -> Option<&mut Voter> {
        self.voter.as_mut()
    }

    /// Stops voting and drops the voter's state in memory.
    pub fn stop_voting(&mut self) {
        self.voter = None;
    }

    /// Starts voting from persisted state, which is empty if this member has never voted.
    pub fn start_voting(
        &mut self,
        terms: LeaseTerms,
        snapshot: VoterSnapshot,
        now: Moment,
    ) -> Result<(), VoterError> {
        self.voter = Some(Voter::new(self.me, &self.voters, terms, snapshot, now)?);
        self.order.begin_run();
        Ok(())
    }

    /// Continues a member that another process has handed over, in the same incarnation. Returns false if that is not possible.
    pub fn resume(&mut self, handover: MemberHandover, now: Moment) -> bool {
        let is_resumed = self.member.resume(handover, now);
        if let Some(voter) = self.voter.as_mut().filter(|_| is_resumed) {
            voter.resume_leadership();
        }
        is_resumed
    }

    /// Handles a message from another member, whose identity has been verified.
    pub fn handle_message(
        &mut self,
        now: Moment,
        from: MemberId,
        message: PeerMessage,
    ) -> Result<(), MessageError> {
        message.check(from, self.me, &self.voters)?;
        if let (
            PeerMessage::Consensus(stamp, _)
            | PeerMessage::Snapshot(stamp, _)
            | PeerMessage::CurrentRun(stamp),
            Some(_),
        ) = (&message, &self.voter)
        {
            let reception = self.order.receive(from, *stamp);
            if reception == Reception::WrongRun {
                self.wrong_run_senders.insert(from);
            }
            if reception != Reception::InOrder && !self.is_order_disabled() {
                return Ok(());
            }
        }
        match (message, &mut self.voter) {
            (PeerMessage::Consensus(_, message), Some(voter)) => voter.handle_consensus(*message),
            (PeerMessage::Snapshot(_, snapshot), Some(voter)) => match voter.install_snapshot(now, *snapshot)
            {
                Ok(true) => self.order.begin_run(),
                Ok(false) => {}
                // Cannot happen with the configured voters, which were accepted before.
                Err(_) => self.voter = None,
            },
            (PeerMessage::Request(request), Some(voter)) => voter.handle_request(now, from, request),
            (PeerMessage::View(view), _) => self.member.handle_view(now, view),
            // This process does not vote, or the message only carried a stamp.
            (PeerMessage::CurrentRun(_), _) | (_, None) => {}
        }
        Ok(())
    }

    fn is_order_disabled(&self) -> bool {
        #[cfg(feature = "unguarded")]
        return self.accepts_late_messages;
        #[cfg(not(feature = "unguarded"))]
        false
    }

    /// Accepts messages from voters in any order, for tests.
    #[cfg(feature = "unguarded")]
    pub fn accept_late_messages(&mut self, accepts: bool) {
        self.accepts_late_messages = accepts;
    }

    /// When [`Node::poll`] has to be called next, if no message arrives before.
    pub fn next_poll(&self) -> Option<Moment> {
        let voter = self.voter.as_ref().map(Voter::next_poll);
        [voter, self.member.next_poll()].into_iter().flatten().min()
    }

    /// Advances the process to `now`, and returns what has to be persisted and sent.
    pub fn poll(&mut self, now: Moment) -> Output {
        let mut output = Output::default();
        for _ in 0..MAX_LOCAL_ROUNDS {
            let request = self.member.poll(now);
            let is_idle = request.is_none();
            if let Some((to, request)) = request {
                match &mut self.voter {
                    Some(voter) if to == self.me => voter.handle_request(now, to, request),
                    _ => output.messages.push((to, PeerMessage::Request(request))),
                }
            }
            let Some(voter) = &mut self.voter else { break };
            let result = voter.poll(now);
            output.records.extend(result.records);
            let order = &mut self.order;
            let consensus = result.consensus_messages.into_iter();
            output.messages.extend(
                consensus
                    .map(|(to, message)| (to, PeerMessage::Consensus(order.stamp(to), Box::new(message)))),
            );
            let snapshots = result.snapshots.into_iter();
            output.messages.extend(
                snapshots
                    .map(|(to, snapshot)| (to, PeerMessage::Snapshot(order.stamp(to), Box::new(snapshot)))),
            );
            let mut has_own_view = false;
            for (to, view) in result.views {
                if to == self.me {
                    has_own_view = true;
                    self.member.handle_view(now, view);
                } else {
                    output.messages.push((to, PeerMessage::View(view)));
                }
            }
            if is_idle && !has_own_view {
                break;
            }
        }
        for to in std::mem::take(&mut self.wrong_run_senders) {
            if self.voter.is_some() && self.run_notice_pacer.is_due(now, to) {
                output.messages.push((to, PeerMessage::CurrentRun(self.order.stamp(to))));
            }
        }
        // Messages to itself are handled locally and never sent.
        output.messages.retain(|(to, _)| *to != self.me);
        output
    }
}
