//! One process of the group: a member, and a voter where it is one.

use crate::log::{Image, Record};
use crate::member::{Member, Packed};
use crate::order::{Heard, Order, Run};
use crate::pace::Pace;
use crate::say::{Refused, Say};
use crate::table::Table;
use crate::vocabulary::{MemberId, Moment, Terms};
use crate::voter::{Voter, VoterError};
use std::collections::BTreeSet;
use std::time::Duration;

/// Before the same voter is told again which run there is.
const HERE_AGAIN: Duration = Duration::from_millis(50);
/// Rounds in which a voter and its own member answer each other within a turn.
const ROUNDS: usize = 4;

/// What is to be done, in this order: records kept for good, then messages sent. Where records cannot be kept nothing may be
/// sent, and the node must be made anew from what was kept ([`Node::halt`] until then).
#[derive(Debug, Default)]
pub struct Output {
    /// To be kept.
    pub records: Vec<Record>,
    /// To others.
    pub messages: Vec<(MemberId, Say)>,
}

/// One process.
pub struct Node {
    me: MemberId,
    voters: Vec<MemberId>,
    /// Who asks and holds.
    pub member: Member,
    voter: Option<Voter>,
    order: Order,
    /// Voters that spoke to another run of this one.
    elsewhere: BTreeSet<MemberId>,
    told: Pace<MemberId>,
    #[cfg(feature = "unguarded")]
    hears_late_words: bool,
}

impl Node {
    /// A process in a run of its own; it votes where it is one of the voters and has what it kept.
    pub fn new(
        me: MemberId,
        run: Run,
        voters: &[MemberId],
        terms: Terms,
        kept: Option<Image>,
        seed: u64,
        now: Moment,
    ) -> Result<Self, VoterError> {
        let voter = kept.filter(|_| voters.contains(&me));
        let voter = voter.map(|image| Voter::new(me, voters, terms, image, now)).transpose()?;
        let member = Member::new(me, run.life, voters, terms, seed, now);
        Ok(Node {
            me,
            voters: voters.to_vec(),
            member,
            voter,
            order: Order::new(run),
            elsewhere: BTreeSet::new(),
            told: Pace::new(HERE_AGAIN),
            #[cfg(feature = "unguarded")]
            hears_late_words: false,
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
    pub fn halt(&mut self) {
        self.voter = None;
    }

    /// Votes again, from what was kept.
    pub fn vote_again(&mut self, terms: Terms, image: Image, now: Moment) -> Result<(), VoterError> {
        self.voter = Some(Voter::new(self.me, &self.voters, terms, image, now)?);
        self.order.begin_anew();
        Ok(())
    }

    /// Goes on at once in the place and in the life of a process that stopped for it; false where it cannot have been that one.
    pub fn go_on(&mut self, packed: Packed, now: Moment) -> bool {
        let goes_on = self.member.go_on(packed, now);
        if let Some(voter) = self.voter.as_mut().filter(|_| goes_on) {
            voter.go_on();
        }
        goes_on
    }

    /// Something came from a member that is known to be that one.
    pub fn hear(&mut self, now: Moment, from: MemberId, say: Say) -> Result<(), Refused> {
        say.check(from, self.me, &self.voters)?;
        if let (Say::Vote(stamp, _) | Say::Base(stamp, _) | Say::Here(stamp), Some(_)) = (&say, &self.voter) {
            let heard = self.order.hear(from, *stamp);
            if heard == Heard::Elsewhere {
                self.elsewhere.insert(from);
            }
            if heard != Heard::InOrder && !self.is_order_left() {
                return Ok(());
            }
        }
        match (say, &mut self.voter) {
            (Say::Vote(_, message), Some(voter)) => voter.vote(*message),
            (Say::Base(_, image), Some(voter)) => match voter.install(now, *image) {
                Ok(true) => self.order.begin_anew(),
                Ok(false) => {}
                // Only the voters of this group are let in, and with them it can go on.
                Err(_) => self.voter = None,
            },
            (Say::Ask(ask), Some(voter)) => voter.ask(now, from, ask),
            (Say::View(view), _) => self.member.told(now, view),
            // It votes no more, or was only told that somebody is there.
            (Say::Here(_), _) | (_, None) => {}
        }
        Ok(())
    }

    fn is_order_left(&self) -> bool {
        #[cfg(feature = "unguarded")]
        return self.hears_late_words;
        #[cfg(not(feature = "unguarded"))]
        false
    }

    /// Takes the order of words out.
    #[cfg(feature = "unguarded")]
    pub fn hear_late_words(&mut self, hears: bool) {
        self.hears_late_words = hears;
    }

    /// When the next turn is due, if nothing comes before.
    pub fn next_turn(&self) -> Option<Moment> {
        let voter = self.voter.as_ref().map(Voter::next_turn);
        [voter, self.member.next_turn()].into_iter().flatten().min()
    }

    /// Lets time pass, and hands out what is to be done.
    pub fn turn(&mut self, now: Moment) -> Output {
        let mut output = Output::default();
        for _ in 0..ROUNDS {
            let asked = self.member.turn(now);
            let is_idle = asked.is_none();
            if let Some((to, ask)) = asked {
                match &mut self.voter {
                    Some(voter) if to == self.me => voter.ask(now, to, ask),
                    _ => output.messages.push((to, Say::Ask(ask))),
                }
            }
            let Some(voter) = &mut self.voter else { break };
            let done = voter.turn(now);
            output.records.extend(done.records);
            let order = &mut self.order;
            let votes = done.votes.into_iter();
            output.messages.extend(votes.map(|(to, vote)| (to, Say::Vote(order.stamp(to), Box::new(vote)))));
            let bases = done.bases.into_iter();
            output
                .messages
                .extend(bases.map(|(to, image)| (to, Say::Base(order.stamp(to), Box::new(image)))));
            let mut told = false;
            for (to, view) in done.views {
                if to == self.me {
                    told = true;
                    self.member.told(now, view);
                } else {
                    output.messages.push((to, Say::View(view)));
                }
            }
            if is_idle && !told {
                break;
            }
        }
        for to in std::mem::take(&mut self.elsewhere) {
            if self.voter.is_some() && self.told.is_due(now, to) {
                output.messages.push((to, Say::Here(self.order.stamp(to))));
            }
        }
        // To itself it says nothing over the network.
        output.messages.retain(|(to, _)| *to != self.me);
        output
    }
}
