//! The records of the journal and the state to which they replay.

use gullcart_message::{AcceptedMessage, ListingUpdate, Target, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

/// A sent attempt: when it was sent, in Unix milliseconds, and the index of the zone to which it was sent.
pub type SentAttempt = (u64, u8);

/// An accepted message that is neither delivered nor otherwise completed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingMessage {
    /// The message as it was accepted.
    pub message: AcceptedMessage,
    /// Number of attempts begun.
    pub attempts: u32,
    /// The first attempt that may have run at the destination.
    pub may_have_run: Option<SentAttempt>,
    /// The attempt that has no outcome yet. After a restart it counts as one that may have run.
    pub in_flight: Option<SentAttempt>,
    /// How the message ends, if it will not be delivered and the client has not acknowledged that yet.
    pub verdict: Option<Verdict>,
}

impl PendingMessage {
    /// A message that was just accepted.
    pub fn new(message: AcceptedMessage) -> Self {
        PendingMessage { message, attempts: 0, may_have_run: None, in_flight: None, verdict: None }
    }

    /// Begins an attempt. An earlier attempt without an outcome may have run.
    pub fn start_attempt(&mut self, sent: SentAttempt) {
        self.attempts = self.attempts.saturating_add(1);
        self.may_have_run = self.may_have_run.or(self.in_flight);
        self.in_flight = Some(sent);
    }

    /// Ends the attempt in flight.
    pub fn finish_attempt(&mut self, may_have_run: bool) {
        let sent = self.in_flight.take().filter(|_| may_have_run);
        self.may_have_run = self.may_have_run.or(sent);
    }
}

/// An outage of a destination or endpoint. It refers to the endpoint by uid and to moments by wall-clock time: endpoint
/// indexes and the monotonic clock differ after a restart of the process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedOutage {
    /// The destination.
    pub destination: u32,
    /// The endpoint, where each endpoint of the destination is a route of its own.
    pub uid: Option<String>,
    /// When the outage began, which is the last success before it, in Unix milliseconds.
    pub since_ms: u64,
    /// Evidence for the outage: the failed calls, counted with their weights.
    pub failure_weight: u32,
    /// None while the outage is unconfirmed; then whether calls were lost without an answer, not just rejected.
    pub calls_were_lost: Option<bool>,
    /// When the slow start after the outage began, in Unix milliseconds.
    pub slow_start_since_ms: Option<u64>,
    /// Calls per second that were served before the outage.
    pub served_per_second: f64,
}

impl PersistedOutage {
    fn key(&self) -> OutageKey {
        (self.destination, self.uid.clone())
    }
}

/// Identifies an outage: its destination, and its endpoint where each endpoint is a route of its own.
pub(crate) type OutageKey = (u32, Option<String>);

/// Difference between the outages in the state and those that there are now.
pub(crate) struct OutageChanges {
    /// New and changed outages.
    pub changed: Vec<PersistedOutage>,
    /// Outages that are over.
    pub removed: Vec<OutageKey>,
}

/// A record of the journal. The `u32` of message records is the message's number. Variants are stored by their index: new ones are added at the end, and only programs that
/// know them can read a journal that has them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// A message was accepted.
    Accepted(u32, AcceptedMessage),
    /// An attempt begins.
    AttemptStarted(u32, SentAttempt),
    /// The attempt in flight has ended. The flag says whether it may have run at the destination.
    AttemptFinished(u32, bool),
    /// The message will not be delivered, and the client is to be notified of this verdict.
    VerdictSet(u32, Verdict),
    /// The message is completed: nothing of it is pending any more.
    Completed(u32),
    /// The current state of a pending message. Written by compaction, by a repair, and after earlier records of the message
    /// could not be written.
    FullMessage(u32, PendingMessage),
    /// Changed and removed entries of the listing; the last record of an update carries the listing's revision.
    Listing { rev: Option<u64>, changed: Vec<Target>, removed: Vec<String> },
    /// Destinations that were ever listed.
    Destinations(Vec<u32>),
    /// Changed outages, and those that are over.
    Outages { changed: Vec<PersistedOutage>, removed: Vec<OutageKey> },
    /// Segments with sequence numbers less than `below` are not needed any more; `last` is the last message number given
    /// out.
    Freed { below: u64, last: u32 },
    /// A listing update as releases before 0.2 wrote it.
    LegacyListing(ListingUpdate),
    /// All current outages, as releases before 0.2 wrote them.
    LegacyOutages(Vec<PersistedOutage>),
    /// Endpoints, by uid, that operators suspended, and those that they resumed.
    Suspended { suspended: Vec<String>, resumed: Vec<String> },
    /// Uids of endpoints that have left the listing, oldest removal first. Written in snapshots only.
    FormerUids(Vec<String>),
}

/// Most uids of removed endpoints that are kept, so that operators can still suspend or resume such endpoints.
pub const MAX_FORMER_UIDS: usize = 1024;
/// Most endpoints that operators may have suspended at a time.
pub const MAX_SUSPENDED_ENDPOINTS: usize = 1024;

/// The state to which the records replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournalState {
    /// Pending messages by their number. Numbers are given out in the order of acceptance.
    pub pending: BTreeMap<u32, PendingMessage>,
    /// The last message number that was given out.
    pub last_number: u32,
    /// Revision of the listing.
    pub listing_rev: u64,
    /// The listing, by uid.
    pub targets: BTreeMap<String, Target>,
    /// All destinations that were ever listed: one without endpoints may get some later.
    pub destinations: BTreeSet<u32>,
    /// Uids of endpoints that operators suspended, whether listed or not.
    pub suspended_uids: BTreeSet<String>,
    /// Uids of endpoints that have left the listing, oldest removal first; at most [`MAX_FORMER_UIDS`], of which the
    /// oldest are dropped first.
    pub(crate) former_uids: VecDeque<String>,
    /// Outages, ordered by destination.
    pub(crate) outages: BTreeMap<OutageKey, PersistedOutage>,
}

impl JournalState {
    /// All outages, ordered by destination.
    pub fn outages(&self) -> impl Iterator<Item = &PersistedOutage> {
        self.outages.values()
    }

    /// Whether a uid is in the listing, is suspended, or is known to have been listed.
    pub fn was_listed(&self, uid: &str) -> bool {
        self.targets.contains_key(uid)
            || self.suspended_uids.contains(uid)
            || self.former_uids.iter().any(|former| former == uid)
    }

    fn add_former_uid(&mut self, uid: String) {
        if !self.targets.contains_key(&uid) && !self.former_uids.contains(&uid) {
            if self.former_uids.len() >= MAX_FORMER_UIDS {
                self.former_uids.pop_front();
            }
            self.former_uids.push_back(uid);
        }
    }

    /// Drops the uids of endpoints that are listed again.
    fn remove_former_uids(&mut self, listed: &[Target]) {
        if !self.former_uids.is_empty() {
            let listed: HashSet<&str> = listed.iter().map(|target| target.uid.as_str()).collect();
            self.former_uids.retain(|uid| !listed.contains(uid.as_str()));
        }
    }

    /// Applies a record. Records of unknown messages are ignored: the message was completed, and the segment with its
    /// completion record has been freed.
    pub(crate) fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted(number, message) => {
                self.last_number = self.last_number.max(number);
                self.pending.insert(number, PendingMessage::new(message));
            }
            Record::FullMessage(number, pending) => {
                self.last_number = self.last_number.max(number);
                self.pending.insert(number, pending);
            }
            Record::AttemptStarted(number, sent) => {
                self.update_message(number, |pending| pending.start_attempt(sent))
            }
            Record::AttemptFinished(number, may_have_run) => {
                self.update_message(number, |pending| pending.finish_attempt(may_have_run))
            }
            Record::VerdictSet(number, verdict) => {
                self.update_message(number, |pending| pending.verdict = Some(verdict))
            }
            Record::Completed(number) => {
                self.last_number = self.last_number.max(number);
                self.pending.remove(&number);
            }
            Record::Listing { rev, changed, removed } => {
                for uid in removed {
                    if self.targets.remove(&uid).is_some() {
                        self.add_former_uid(uid);
                    }
                }
                self.remove_former_uids(&changed);
                for target in changed {
                    self.destinations.insert(target.pod_group);
                    self.targets.insert(target.uid.clone(), target);
                }
                self.listing_rev = rev.unwrap_or(self.listing_rev);
            }
            Record::Destinations(destinations) => self.destinations.extend(destinations),
            Record::Outages { changed, removed } => {
                for key in removed {
                    self.outages.remove(&key);
                }
                self.outages.extend(changed.into_iter().map(|outage| (outage.key(), outage)));
            }
            Record::Freed { last, .. } => self.last_number = self.last_number.max(last),
            Record::LegacyListing(update) => {
                let (changed, removed, destinations) = self.listing_changes(&update);
                self.destinations.extend(destinations);
                self.apply(Record::Listing { rev: Some(update.rev), changed, removed });
            }
            Record::LegacyOutages(outages) => {
                let OutageChanges { changed, removed } = self.outage_changes(&outages);
                self.apply(Record::Outages { changed, removed });
            }
            Record::Suspended { suspended, resumed } => {
                for uid in resumed {
                    self.suspended_uids.remove(&uid);
                }
                self.suspended_uids.extend(suspended);
            }
            Record::FormerUids(uids) => uids.into_iter().for_each(|uid| self.add_former_uid(uid)),
        }
    }

    fn update_message(&mut self, number: u32, change: impl FnOnce(&mut PendingMessage)) {
        self.last_number = self.last_number.max(number);
        if let Some(pending) = self.pending.get_mut(&number) {
            change(pending);
        }
    }

    /// What an update changes: new and changed entries, uids of removed entries, and destinations not known before.
    pub(crate) fn listing_changes(&self, update: &ListingUpdate) -> (Vec<Target>, Vec<String>, Vec<u32>) {
        // If an update has several entries for one uid, the last one counts.
        let updated: BTreeMap<&str, &Target> = update.targets.iter().map(|t| (t.uid.as_str(), t)).collect();
        let mut removed: Vec<String> = Vec::new();
        if update.all {
            removed.extend(self.targets.keys().filter(|uid| !updated.contains_key(uid.as_str())).cloned());
        }
        let mut changed = Vec::new();
        for (uid, target) in updated {
            if target.is_deleted() {
                removed.extend(self.targets.contains_key(uid).then(|| uid.to_owned()));
            } else if self.targets.get(uid) != Some(target) {
                changed.push(target.clone());
            }
        }
        let destinations: BTreeSet<u32> = update.targets.iter().map(|target| target.pod_group).collect();
        (changed, removed, destinations.difference(&self.destinations).copied().collect())
    }

    /// Whether the state has exactly these outages.
    pub fn outages_match(&self, outages: &[PersistedOutage]) -> bool {
        let is_known =
            |outage: &PersistedOutage| self.outages_at(outage.destination).any(|(_, known)| known == outage);
        outages.len() == self.outages.len() && outages.iter().all(is_known)
    }

    /// The outages of one destination.
    fn outages_at(&self, destination: u32) -> impl Iterator<Item = (&OutageKey, &PersistedOutage)> {
        let from_there_on = self.outages.range((destination, None)..);
        from_there_on.take_while(move |(key, _)| key.0 == destination)
    }

    /// Changes that lead from the outages in the state to `outages`, which are all that there are.
    pub(crate) fn outage_changes(&self, outages: &[PersistedOutage]) -> OutageChanges {
        self.outage_changes_among(self.outages.keys(), outages)
    }

    /// Changes of the outages of `destinations`, where `outages` are all that these destinations have.
    pub(crate) fn outage_changes_of(
        &self,
        destinations: &[u32],
        outages: &[PersistedOutage],
    ) -> OutageChanges {
        let known = destinations.iter().flat_map(|destination| self.outages_at(*destination));
        self.outage_changes_among(known.map(|(key, _)| key), outages)
    }

    fn outage_changes_among<'a>(
        &self,
        known: impl Iterator<Item = &'a OutageKey>,
        outages: &[PersistedOutage],
    ) -> OutageChanges {
        let now: BTreeMap<OutageKey, &PersistedOutage> =
            outages.iter().map(|outage| (outage.key(), outage)).collect();
        let removed = known.filter(|key| !now.contains_key(key)).cloned().collect();
        let changed = |(key, outage): (&OutageKey, &&PersistedOutage)| {
            (self.outages.get(key) != Some(*outage)).then(|| (*outage).clone())
        };
        OutageChanges { changed: now.iter().filter_map(changed).collect(), removed }
    }

    /// Number of confirmed outages of these destinations.
    pub fn count_confirmed_outages(&self, destinations: &[u32]) -> usize {
        let known = destinations.iter().flat_map(|destination| self.outages_at(*destination));
        known.filter(|(_, outage)| outage.calls_were_lost.is_some()).count()
    }
}

#[cfg(test)]
mod tests;
