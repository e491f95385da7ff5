//! One process of the group: a member, and a voter where it is one.

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

/// Before the same voter is told again which run there is.
const RUN_NOTICE_INTERVAL: Duration = Duration::from_millis(50);
/// Rounds in which a voter and its own member answer each other within a turn.
const MAX_LOCAL_ROUNDS: usize = 4;

/// What is to be done, in this order: records kept for good, then messages sent. Where records cannot be kept nothing may be
/// sent, and the node must be made anew from what was kept ([`Node::halt`] until then).
#[derive(Debug, Default)]
pub struct Output {
    /// To be kept.
    pub records: Vec<Record>,
    /// To others.
    pub messages: Vec<(MemberId, PeerMessage)>,
}

/// One process.
pub struct Node {
    me: MemberId,
    voters: Vec<MemberId>,
    /// Who asks and holds.
    pub member: Member,
    voter: Option<Voter>,
    order: MessageOrder,
    /// Voters that spoke to another run of this one.
    wrong_run_senders: BTreeSet<MemberId>,
    run_notice_pacer: RetryPacer<MemberId>,
    #[cfg(feature = "unguarded")]
    accepts_late_messages: bool,
}

impl Node {
    /// A process in a run of its own; it votes where it is one of the voters and has what it kept.
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

    /// Who it is.
    pub fn me(&self) -> MemberId {
        self.me
    }

    /// What is agreed on, where it votes.
    pub fn table(&self) -> Option<&Table> {
        self.voter.as_ref().map(Voter::table)
    }

    /// Its voter.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// The same, to change it.
    pub fn voter_mut(&mut self) -> Option<&mut Voter> {
        self.voter.as_mut()
    }

    /// Votes no more: what it promised last cannot be kept.
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
        self.order.restart();
        Ok(())
    }

    /// Goes on at once in the place and in the life of a process that stopped for it; false where it cannot have been that one.
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
                Ok(true) => self.order.restart(),
                Ok(false) => {}
                // Only the voters of this group are let in, and with them it can go on.
                Err(_) => self.voter = None,
            },
            (PeerMessage::Request(request), Some(voter)) => voter.handle_request(now, from, request),
            (PeerMessage::View(view), _) => self.member.handle_view(now, view),
            // It votes no more, or was only told that somebody is there.
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

    /// Takes the order of words out.
    #[cfg(feature = "unguarded")]
    pub fn accept_late_messages(&mut self, accepts: bool) {
        self.accepts_late_messages = accepts;
    }

    /// When the next turn is due, if nothing comes before.
    pub fn next_poll(&self) -> Option<Moment> {
        let voter = self.voter.as_ref().map(Voter::next_poll);
        [voter, self.member.next_poll()].into_iter().flatten().min()
    }

    /// Lets time pass, and hands out what is to be done.
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
        // To itself it says nothing over the network.
        output.messages.retain(|(to, _)| *to != self.me);
        output
    }
}
