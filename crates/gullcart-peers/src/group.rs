//! The main loop of the group, on a thread and runtime of its own. It moves data between connections, the folder and the
//! [`Node`], which makes all decisions.

use crate::folder::{FolderError, GroupFolder};
use crate::net::{self, Connections, Event};
use crate::roster::{self, MemberChanges};
use crate::settings::Settings;
use crate::types::{
    now, DutyObservation, DutyStatus, GroupError, GroupHandover, LoopCommand, Shared, Status,
};
use gullcart_group::log::{Record, VoterSnapshot};
use gullcart_group::member::MemberHandover;
use gullcart_group::membership::{FolderOrigin, FolderVersion, Membership, ReplicaIdentity};
use gullcart_group::message_order::RunId;
use gullcart_group::node::Node;
use gullcart_group::types::{Duty, Incarnation, MemberId};
use gullcart_group::voter::Voter;
use gullcart_group::voting_state::{ReopenResult, VotingState, VotingStep};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::sleep;
use tracing::{error, info, warn};

/// Maximum number of events waiting for the loop. Further messages and status queries wait on their connections; other events are
/// dropped.
const MAX_QUEUED_EVENTS: usize = 4096;
/// Maximum number of events handled between two polls.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Maximum time that the loop sleeps.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// How long a leaving member keeps running after it has released all duties.
const LEAVE_LINGER: Duration = Duration::from_millis(250);
/// Number of lease durations after the last contact with the group for which another member is assumed to keep a duty. A member
/// that holds nothing asks for the current state only every second lease.
const REMOTE_HOLDER_LEASES: u32 = 4;
/// Maximum number of voting steps in one poll; the rest is left to the next one.
const MAX_VOTING_STEPS: usize = 8;

/// Everything that the loop is started with.
pub(crate) struct GroupStart {
    settings: Settings,
    folder_path: PathBuf,
    folder: GroupFolder,
    snapshot: VoterSnapshot,
    identity: ReplicaIdentity,
    problem: Option<String>,
    /// The member to continue, if its incarnation continues.
    member: Option<MemberHandover>,
    /// The duties that the previous process requested, even if its incarnation does not continue.
    requested_duties: Vec<Duty>,
    listener: TcpListener,
    address: SocketAddr,
}

impl GroupStart {
    /// Opens the folder and binds the address.
    pub fn open(
        settings: Settings,
        folder_path: &Path,
        handover: Option<GroupHandover>,
    ) -> Result<Self, GroupError> {
        let left_version: Option<FolderVersion> = handover.as_ref().map(|handover| handover.folder_version);
        let (mut folder, origin, snapshot) =
            GroupFolder::open(folder_path, settings.disk_bytes, fastrand::u64(1..), left_version)?;
        let listen = |error| GroupError::Listen(settings.listen, error);
        let listener = TcpListener::bind(settings.listen).map_err(listen)?;
        listener.set_nonblocking(true).map_err(listen)?;
        let address = listener.local_addr().map_err(listen)?;
        let problem = match &origin {
            FolderOrigin::Copied(_) => {
                Some("the member's folder is a copy or was restored; it is treated as new".to_owned())
            }
            FolderOrigin::New(_) | FolderOrigin::Unchanged(_) | FolderOrigin::HandedOver(_) => None,
        };
        let is_continued = matches!(origin, FolderOrigin::HandedOver(_));
        let identity = origin.into_identity();
        // Saved before any other member learns of this incarnation or handover, so that its number is never used again.
        folder.save_identity(&identity)?;
        let requested_duties =
            handover.as_ref().map(|handover| handover.member.requested_duties().to_vec()).unwrap_or_default();
        let member = handover.filter(|_| is_continued).map(|handover| handover.member);
        let folder_path = folder_path.to_owned();
        Ok(GroupStart {
            settings,
            folder_path,
            folder,
            snapshot,
            identity,
            problem,
            member,
            requested_duties,
            listener,
            address,
        })
    }

    /// The address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// The state of the main loop.
struct Group {
    settings: Settings,
    /// Maximum number of members without a restart.
    capacity: usize,
    folder_path: PathBuf,
    /// `None` while the folder fails; the process must not vote then.
    folder: Option<GroupFolder>,
    /// The state that was read when the folder was reopened.
    reopened_snapshot: Option<VoterSnapshot>,
    membership: Rc<RefCell<Membership>>,
    voting_state: VotingState,
    node: Node,
    connections: Connections,
    shared: Arc<Mutex<Shared>>,
    changed: Arc<Notify>,
    incarnation: Incarnation,
}

/// Runs the member until the courier leaves the group, hands the member over, or drops its handle.
pub(crate) async fn run(
    start: GroupStart,
    shared: Arc<Mutex<Shared>>,
    changed: Arc<Notify>,
    mut commands: mpsc::Receiver<LoopCommand>,
) -> Result<(), GroupError> {
    let GroupStart {
        settings,
        folder_path,
        folder,
        snapshot,
        identity,
        problem,
        member,
        requested_duties,
        listener,
        ..
    } = start;
    let incarnation = identity.incarnation;
    let membership =
        Membership::new(settings.me, &settings.member_ids(), &settings.voter_ids(), identity.clone());
    let voter_state = membership.may_vote().then_some(snapshot);
    let seed = fastrand::u64(..);
    let voting_state = VotingState::new(voter_state.is_some(), problem);
    let run = RunId { incarnation, handovers: identity.handovers, previous_runs: 0 };
    let mut node =
        Node::new(settings.me, run, &settings.voter_ids(), settings.terms, voter_state, seed, now())?;
    for duty in &requested_duties {
        node.member.request(now(), duty);
    }
    if let Some(member) = member {
        let goes_on = node.resume(member, now());
        info!(goes_on, "received the state of this member's previous process");
    }
    let membership = Rc::new(RefCell::new(membership));
    let (events, mut received) = mpsc::channel(MAX_QUEUED_EVENTS);
    let connections = net::open(&settings, listener, membership.clone(), events);
    let mut group = Group {
        capacity: settings.member_capacity(),
        settings,
        folder_path,
        folder: Some(folder),
        reopened_snapshot: None,
        membership,
        voting_state,
        node,
        connections,
        shared,
        changed,
        incarnation,
    };
    let mut batch = Vec::with_capacity(MAX_EVENTS_PER_POLL);
    let mut leave_reply: Option<oneshot::Sender<()>> = None;
    let mut ends_at = None;
    loop {
        group.poll();
        let mut max_sleep = MAX_SLEEP;
        if leave_reply.is_some() && group.node.member.is_idle() {
            // The group has decided all releases. If this process leads the voters, the others still need its messages to learn
            // of the decision and to elect the next leader.
            let until = *ends_at.get_or_insert(now() + LEAVE_LINGER);
            if now() >= until {
                if let Some(done) = leave_reply.take() {
                    let _ = done.send(());
                }
                return Ok(());
            }
            max_sleep = until - now();
        }
        let due = group.node.next_poll().map_or(max_sleep, |due| due - now()).min(max_sleep);
        tokio::select! {
            command = commands.recv() => match command {
                Some(LoopCommand::RequestDuty(duty)) => {
                    if !group.node.member.request(now(), &duty) {
                        warn!(%duty, "too many duties are requested; this one is ignored");
                    }
                }
                Some(LoopCommand::ReleaseDuty(duty)) => group.node.member.release(now(), &duty),
                Some(LoopCommand::YieldDuty(duty, cooldown)) => group.node.member.yield_duty(now(), &duty, cooldown),
                Some(LoopCommand::PublishNote(duty, payload)) => group.node.member.publish_note(now(), &duty, payload),
                Some(LoopCommand::ApplySettings(settings)) => group.apply_settings(*settings),
                Some(LoopCommand::Leave(done)) => {
                    group.node.member.release_all(now());
                    leave_reply = Some(done);
                }
                Some(LoopCommand::HandOver(done)) => {
                    let folder_version = group.membership.borrow().identity().folder_version();
                    let handover = GroupHandover { member: group.node.member.hand_over(), folder_version };
                    // Unlocks the folder first: the receiver may open it at once.
                    drop(group);
                    let _ = done.send(Box::new(handover));
                    return Ok(());
                }
                None => return Ok(()),
            },
            _ = received.recv_many(&mut batch, MAX_EVENTS_PER_POLL) => {}
            () = sleep(due.max(Duration::from_millis(1))) => {}
        }
        for event in batch.drain(..) {
            group.handle_event(event);
        }
    }
}

impl Group {
    /// Applies all changes in the settings, or none if some are not possible.
    fn apply_settings(&mut self, settings: Settings) {
        match roster::diff(&self.settings, &settings, self.capacity) {
            Ok(changes) if changes == MemberChanges::default() => {}
            Ok(changes) => {
                let (added, removed) = (changes.added.len(), changes.removed.len());
                info!(
                    added,
                    removed,
                    members = settings.members.len(),
                    "the members of the group have changed"
                );
                self.membership.borrow_mut().set_members(&settings.member_ids());
                self.connections.apply_changes(&settings, &changes);
                self.settings = settings;
            }
            Err(error) => error!(%error, "the group's settings file was read again and rejected"),
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Connected(member) => {
                let votes = self.membership.borrow().may_vote();
                info!(%member, votes, "connected to another member (votes: whether this member may vote)");
                if let Some(voter) = self.node.voter_mut() {
                    voter.reconnected(member);
                }
            }
            Event::Message(from, message) => {
                if let Err(error) = self.node.handle_message(now(), from, *message) {
                    warn!(%from, %error, "a message from a member was rejected");
                }
            }
            // The next poll reads the flag in `connections`.
            Event::IdentityChanged => {}
            Event::StatusRequested(reply) => {
                // Fails if the operator's connection has been closed.
                let _ = reply.send(self.status());
            }
        }
    }

    /// Persists what the node has written before sending its messages.
    fn poll(&mut self) {
        self.update_voting();
        let output = self.node.poll(now());
        if output.records.is_empty() || self.persist_records(output.records) {
            for (to, message) in output.messages {
                self.connections.send(to, message);
            }
        }
        self.publish_state();
    }

    /// Takes the actions that the voting state requires.
    fn update_voting(&mut self) {
        let mut is_changed = std::mem::take(&mut *self.connections.identity_changed.borrow_mut());
        for _ in 0..MAX_VOTING_STEPS {
            let (is_voting, is_new) = (self.node.voter().is_some(), std::mem::take(&mut is_changed));
            let Some(step) = self.voting_state.next_step(now(), &self.membership.borrow(), is_voting, is_new)
            else {
                return;
            };
            match step {
                VotingStep::StopVoting => {
                    self.node.stop_voting();
                    if !self.voting_state.is_folder_open() {
                        // Also releases the lock. The folder is checked again when it is reopened.
                        self.folder = None;
                    }
                }
                VotingStep::ReopenFolder => self.reopen_folder(),
                VotingStep::SaveIdentity => {
                    let identity = self.membership.borrow().identity().clone();
                    let result = self.folder.as_mut().map(|folder| folder.save_identity(&identity));
                    if let Some(Err(error)) = result {
                        self.folder_failed(&error);
                    }
                }
                VotingStep::StartVoting => self.start_voting(VoterSnapshot::default()),
                VotingStep::ResumeVoting => match self.reopened_snapshot.take() {
                    Some(snapshot) => self.start_voting(snapshot),
                    None => return,
                },
            }
        }
    }

    fn start_voting(&mut self, snapshot: VoterSnapshot) {
        if let Err(error) = self.node.start_voting(self.settings.terms, snapshot, now()) {
            error!(%error, "this member cannot vote");
        }
    }

    fn reopen_folder(&mut self) {
        self.folder = None;
        // If it is still as this process left it, it is the same folder, and the incarnation continues.
        let left_version = self.membership.borrow().identity().folder_version();
        let result = match GroupFolder::open(
            &self.folder_path,
            self.settings.disk_bytes,
            fastrand::u64(1..),
            Some(left_version),
        ) {
            Ok((folder, FolderOrigin::HandedOver(_), snapshot)) => {
                (self.folder, self.reopened_snapshot) = (Some(folder), Some(snapshot));
                ReopenResult::SameFolder
            }
            Ok(_) => ReopenResult::DifferentFolder,
            Err(error) => ReopenResult::Failed(error.to_string()),
        };
        self.voting_state.folder_reopened(result);
        info!(trouble = self.voting_state.problem(), "tried to reopen the group's folder");
    }

    fn persist_records(&mut self, records: Vec<Record>) -> bool {
        let Some(folder) = &mut self.folder else { return false };
        let mut result = folder.append_records(records);
        if result.is_ok() && folder.should_rewrite() {
            if let Some(Record::Snapshot(snapshot)) = self.node.voter().map(Voter::snapshot_record) {
                result = folder.rewrite(self.membership.borrow().identity(), *snapshot);
            }
        }
        result.inspect_err(|error| self.folder_failed(error)).is_ok()
    }

    /// Stops voting until the folder can be written again.
    fn folder_failed(&mut self, error: &FolderError) {
        error!(why = %error, "the group's folder cannot be written: this member stops voting for now");
        self.voting_state.folder_failed(now(), &error.to_string());
        self.node.stop_voting();
        self.folder = None;
    }

    /// Publishes the held and requested duties, and the status if it was asked for, to the courier.
    fn publish_state(&self) {
        let member = &self.node.member;
        let until = member.lease_until().unwrap_or_default();
        let held: BTreeMap<_, _> =
            member.active_duties(now()).map(|(duty, epoch)| (duty.clone(), (epoch, until))).collect();
        let believed_until = member.last_contact() + self.settings.terms.duration * REMOTE_HOLDER_LEASES;
        let observe = |duty: &Duty| {
            let other = member.holder(duty).filter(|(holder, _)| *holder != self.settings.me);
            let note = member.note(duty);
            let note = note.map(|(note, at)| (note.epoch, note.payload.bytes().to_vec(), at));
            (duty.clone(), DutyObservation { held_elsewhere_until: other.map(|_| believed_until), note })
        };
        let observations: BTreeMap<_, _> = member.requested_duties().map(observe).collect();
        if let Ok(mut shared) = self.shared.lock() {
            if !shared.held_duties.keys().eq(held.keys()) || shared.requested_duties != observations {
                self.changed.notify_one();
            }
            (shared.held_duties, shared.requested_duties) = (held, observations);
            if std::mem::take(&mut shared.is_status_requested) {
                shared.status = self.status();
            }
        }
    }

    fn status(&self) -> Status {
        let (now, member, voter) = (now(), &self.node.member, self.node.voter());
        let mut duties = Vec::new();
        if let Some(voter) = voter {
            let held = voter.table().grants().map(|(duty, grant)| DutyStatus {
                name: duty.name().to_owned(),
                holder: Some(grant.holder.0),
                epoch: Some(grant.epoch.0),
                since_ms: voter.unchanged_since(duty).map_or(0, |at| (now - at).as_millis() as u64),
                vacancy_reason: None,
            });
            duties.extend(held);
            duties.extend(voter.vacant_duties(now).map(|(duty, since, reason)| DutyStatus {
                name: duty.name().to_owned(),
                holder: None,
                epoch: None,
                since_ms: (now - since).as_millis() as u64,
                vacancy_reason: Some(reason.to_string()),
            }));
        }
        Status {
            me: self.settings.me.0,
            incarnation: self.incarnation.0,
            votes: voter.is_some(),
            problem: self.voting_state.problem().map(str::to_owned),
            leader: voter.and_then(Voter::leader).map(|MemberId(leader)| leader),
            version: voter.map_or(0, Voter::version),
            duties,
            held_duties: member.active_duties(now).map(|(duty, _)| duty.name().to_owned()).collect(),
            connected_members: self.connections.connected_members().iter().map(|member| member.0).collect(),
            last_contact_ms: (now - member.last_contact()).as_millis() as u64,
        }
    }
}
