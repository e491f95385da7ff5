//! What the records add up to.

use gullcart_message::{Taken, Target, Update, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

/// When an attempt was sent (Unix milliseconds), and to which zone.
pub type Sent = (u64, u8);

/// A message that the courier still owes its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// As it was taken on.
    pub taken: Taken,
    /// Attempts begun.
    pub attempts: u32,
    /// The first attempt that may have run.
    pub maybe_ran: Option<Sent>,
    /// The attempt that has no outcome yet: after a restart it may have run.
    pub out: Option<Sent>,
    /// Its end, if it is not to be delivered and the platform has not heard of that yet.
    pub verdict: Option<Verdict>,
}

impl Held {
    /// A message that was taken on just now.
    pub fn new(taken: Taken) -> Self {
        Held { taken, attempts: 0, maybe_ran: None, out: None, verdict: None }
    }

    /// An attempt begins. One before it without an outcome may have run.
    pub fn start(&mut self, sent: Sent) {
        self.attempts = self.attempts.saturating_add(1);
        self.maybe_ran = self.maybe_ran.or(self.out);
        self.out = Some(sent);
    }

    /// The attempt that was out has an outcome.
    pub fn outcome(&mut self, may_have_run: bool) {
        let sent = self.out.take().filter(|_| may_have_run);
        self.maybe_ran = self.maybe_ran.or(sent);
    }
}

/// What was seen of an outage, in terms that mean the same to the next process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutageNote {
    /// Of which destination.
    pub destination: u32,
    /// Of which endpoint, where its endpoints are routes apart.
    pub uid: Option<String>,
    /// Unix milliseconds.
    pub since_ms: u64,
    /// Calls that failed.
    pub evidence: u32,
    /// Whether it was held to be out, and by what.
    pub lost: Option<bool>,
    /// Unix milliseconds.
    pub returned_ms: Option<u64>,
    /// What it could do when it was last seen, as a share.
    pub share: f64,
}

impl OutageNote {
    fn place(&self) -> OutagePlace {
        (self.destination, self.uid.clone())
    }
}

pub(crate) type OutagePlace = (u32, Option<String>);

/// How what is remembered of outages differs from what there is.
pub(crate) struct OutageChanges {
    /// New or other ones.
    pub set: Vec<OutageNote>,
    /// Those that are over.
    pub gone: Vec<OutagePlace>,
}

/// A record. New kinds go to the end, and are read by programs that know them only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// A message was taken on.
    Take(u32, Taken),
    /// An attempt begins.
    Start(u32, Sent),
    /// The attempt that was out has an outcome; whether it may have run.
    Outcome(u32, bool),
    /// The end that is to be told.
    Owe(u32, Verdict),
    /// Nothing more is owed.
    Over(u32),
    /// A message with all that is known of it.
    Whole(u32, Held),
    /// Entries of the list; the last part of a change carries its version.
    List { rev: Option<u64>, set: Vec<Target>, gone: Vec<String> },
    /// Destinations that were ever listed.
    Destinations(Vec<u32>),
    /// Outages that are remembered, and those that are not any more.
    Outages { set: Vec<OutageNote>, gone: Vec<OutagePlace> },
    /// Segments below that are not needed any more; the last number that was given out.
    Freed { below: u64, last: u32 },
    /// The list, or a part of it, as it was told to releases before 0.2.
    Told(Update),
    /// All outages, as releases before 0.2 wrote them.
    Remembered(Vec<OutageNote>),
    /// Endpoints that operators took out, by uid, and those that they gave back.
    Suspended { set: Vec<String>, gone: Vec<String> },
    /// Ids that were once in the list, the longest gone first, where the list is written anew.
    Former(Vec<String>),
}

/// Ids of endpoints that are not in the list any more and are still known to have been, at most.
pub const MOST_FORMER: usize = 1024;
/// Endpoints that may be out by hand at a time.
pub const MOST_SUSPENDED: usize = 1024;

/// What the records add up to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    /// Messages by the number that they were given when taken on, so in that order.
    pub held: BTreeMap<u32, Held>,
    /// The last number that was given out.
    pub last: u32,
    /// The version of the list.
    pub rev: u64,
    /// The list, by uid.
    pub targets: BTreeMap<String, Target>,
    /// One that has no endpoints just now may get others.
    pub destinations: BTreeSet<u32>,
    /// Endpoints that operators took out, by uid, whether listed or not.
    pub suspended: BTreeSet<String>,
    /// Ids that were once in the list, the longest gone first; of more than [`MOST_FORMER`] the longest gone are forgotten.
    pub(crate) former: VecDeque<String>,
    /// In the order of destinations.
    pub(crate) outages: BTreeMap<OutagePlace, OutageNote>,
}

impl Image {
    /// What is remembered of outages.
    pub fn outages(&self) -> impl Iterator<Item = &OutageNote> {
        self.outages.values()
    }

    /// Whether an id is in the list, or is known to have been in it.
    pub fn was_listed(&self, uid: &str) -> bool {
        self.targets.contains_key(uid) || self.suspended.contains(uid) || self.former.iter().any(|f| f == uid)
    }

    fn remember(&mut self, uid: String) {
        if !self.targets.contains_key(&uid) && !self.former.contains(&uid) {
            if self.former.len() >= MOST_FORMER {
                self.former.pop_front();
            }
            self.former.push_back(uid);
        }
    }

    /// What is listed again is not a former id any more.
    fn forget_former(&mut self, listed: &[Target]) {
        if !self.former.is_empty() {
            let listed: HashSet<&str> = listed.iter().map(|target| target.uid.as_str()).collect();
            self.former.retain(|uid| !listed.contains(uid.as_str()));
        }
    }

    /// Messages that nothing is known of any more are passed over: their end was freed with its segment.
    pub(crate) fn apply(&mut self, record: Record) {
        match record {
            Record::Take(number, taken) => {
                self.last = self.last.max(number);
                self.held.insert(number, Held::new(taken));
            }
            Record::Whole(number, held) => {
                self.last = self.last.max(number);
                self.held.insert(number, held);
            }
            Record::Start(number, sent) => self.with(number, |held| held.start(sent)),
            Record::Outcome(number, may_have_run) => self.with(number, |held| held.outcome(may_have_run)),
            Record::Owe(number, verdict) => self.with(number, |held| held.verdict = Some(verdict)),
            Record::Over(number) => {
                self.last = self.last.max(number);
                self.held.remove(&number);
            }
            Record::List { rev, set, gone } => {
                for uid in gone {
                    if self.targets.remove(&uid).is_some() {
                        self.remember(uid);
                    }
                }
                self.forget_former(&set);
                for target in set {
                    self.destinations.insert(target.pod_group);
                    self.targets.insert(target.uid.clone(), target);
                }
                self.rev = rev.unwrap_or(self.rev);
            }
            Record::Destinations(destinations) => self.destinations.extend(destinations),
            Record::Outages { set, gone } => {
                for place in gone {
                    self.outages.remove(&place);
                }
                self.outages.extend(set.into_iter().map(|note| (note.place(), note)));
            }
            Record::Freed { last, .. } => self.last = self.last.max(last),
            Record::Told(update) => {
                let (set, gone, destinations) = self.changes(&update);
                self.destinations.extend(destinations);
                self.apply(Record::List { rev: Some(update.rev), set, gone });
            }
            Record::Remembered(notes) => {
                let OutageChanges { set, gone } = self.outage_changes(&notes);
                self.apply(Record::Outages { set, gone });
            }
            Record::Suspended { set, gone } => {
                for uid in gone {
                    self.suspended.remove(&uid);
                }
                self.suspended.extend(set);
            }
            Record::Former(uids) => uids.into_iter().for_each(|uid| self.remember(uid)),
        }
    }

    fn with(&mut self, number: u32, change: impl FnOnce(&mut Held)) {
        self.last = self.last.max(number);
        if let Some(held) = self.held.get_mut(&number) {
            change(held);
        }
    }

    /// What an update changes: entries that are new or other, those that go, and destinations not heard of before.
    pub(crate) fn changes(&self, update: &Update) -> (Vec<Target>, Vec<String>, Vec<u32>) {
        // The last word on each counts.
        let told: BTreeMap<&str, &Target> = update.targets.iter().map(|t| (t.uid.as_str(), t)).collect();
        let mut gone: Vec<String> = Vec::new();
        if update.all {
            gone.extend(self.targets.keys().filter(|uid| !told.contains_key(uid.as_str())).cloned());
        }
        let mut set = Vec::new();
        for (uid, target) in told {
            if target.is_gone() {
                gone.extend(self.targets.contains_key(uid).then(|| uid.to_owned()));
            } else if self.targets.get(uid) != Some(target) {
                set.push(target.clone());
            }
        }
        let heard: BTreeSet<u32> = update.targets.iter().map(|target| target.pod_group).collect();
        (set, gone, heard.difference(&self.destinations).copied().collect())
    }

    /// Whether these are the outages that are remembered.
    pub fn has_outages(&self, notes: &[OutageNote]) -> bool {
        let is_known = |note: &OutageNote| self.outages_at(note.destination).any(|(_, known)| known == note);
        notes.len() == self.outages.len() && notes.iter().all(is_known)
    }

    /// What is remembered of the outages of one destination.
    fn outages_at(&self, destination: u32) -> impl Iterator<Item = (&OutagePlace, &OutageNote)> {
        let from_there_on = self.outages.range((destination, None)..);
        from_there_on.take_while(move |(place, _)| place.0 == destination)
    }

    /// What the notes change, which are all that there are.
    pub(crate) fn outage_changes(&self, notes: &[OutageNote]) -> OutageChanges {
        self.outage_changes_among(self.outages.keys(), notes)
    }

    /// What the notes change, which are all that there are of some destinations.
    pub(crate) fn outage_changes_of(&self, destinations: &[u32], notes: &[OutageNote]) -> OutageChanges {
        let known = destinations.iter().flat_map(|destination| self.outages_at(*destination));
        self.outage_changes_among(known.map(|(place, _)| place), notes)
    }

    fn outage_changes_among<'a>(
        &self,
        known: impl Iterator<Item = &'a OutagePlace>,
        notes: &[OutageNote],
    ) -> OutageChanges {
        let now: BTreeMap<OutagePlace, &OutageNote> = notes.iter().map(|note| (note.place(), note)).collect();
        let gone = known.filter(|place| !now.contains_key(place)).cloned().collect();
        let other = |(place, note): (&OutagePlace, &&OutageNote)| {
            (self.outages.get(place) != Some(*note)).then(|| (*note).clone())
        };
        OutageChanges { set: now.iter().filter_map(other).collect(), gone }
    }

    /// How many of these destinations are remembered to be out.
    pub fn lost_among(&self, destinations: &[u32]) -> usize {
        let known = destinations.iter().flat_map(|destination| self.outages_at(*destination));
        known.filter(|(_, note)| note.lost.is_some()).count()
    }
}

#[cfg(test)]
mod tests;
