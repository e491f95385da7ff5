//! The group's loop, on a thread of its own with a runtime of its own. It moves bytes between connections, the folder and the
//! node, and decides nothing.

use crate::folder::{Keep, KeepError};
use crate::net::{self, Event, Net};
use crate::roster::{self, Change};
use crate::settings::Settings;
use crate::vocabulary::{now, DutyStatus, Given, GroupError, Look, Shared, Status, Wish};
use gullcart_group::door::{Door, Left, Origin, Passport};
use gullcart_group::log::{Image, Record};
use gullcart_group::member::Packed;
use gullcart_group::node::Node;
use gullcart_group::order::Run;
use gullcart_group::seat::{Opened, Seat, Step};
use gullcart_group::vocabulary::{Duty, Life, MemberId};
use gullcart_group::voter::Voter;
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

/// Events that wait for the loop; what comes beyond them is lost, as on a bad line.
const EVENTS: usize = 4096;
/// Events taken up in one turn.
const BATCH: usize = 256;
/// The longest that the loop sleeps.
const LONGEST: Duration = Duration::from_millis(500);
/// A process that leaves stays for so long after it has given all up.
const LINGER: Duration = Duration::from_millis(250);
/// Another one that holds a duty is believed to for so many leases after the group was heard last: who only watches asks it
/// every other lease.
const BELIEVED_LEASES: u32 = 4;
/// Steps of the seat in one turn at most; the rest is for the next one.
const STEPS: usize = 8;

/// All that a loop begins with.
pub(crate) struct Begin {
    settings: Settings,
    folder: PathBuf,
    keep: Keep,
    image: Image,
    passport: Passport,
    trouble: Option<String>,
    /// The member that it goes on as.
    member: Option<Packed>,
    /// The one that this process was given, whatever became of its life.
    wants: Vec<Duty>,
    listener: TcpListener,
    address: SocketAddr,
}

impl Begin {
    /// Opens the folder and the address.
    pub fn open(settings: Settings, folder: &Path, given: Option<Given>) -> Result<Self, GroupError> {
        let left: Option<Left> = given.as_ref().map(|given| given.left);
        let (mut keep, origin, image) = Keep::open(folder, settings.disk, fastrand::u64(1..), left)?;
        let listen = |error| GroupError::Listen(settings.listen, error);
        let listener = TcpListener::bind(settings.listen).map_err(listen)?;
        listener.set_nonblocking(true).map_err(listen)?;
        let address = listener.local_addr().map_err(listen)?;
        let trouble = match &origin {
            Origin::Copied(_) => Some("its folder is a copy, or was put back: it is a new member".to_owned()),
            Origin::New(_) | Origin::Same(_) | Origin::GoesOn(_) => None,
        };
        let goes_on = matches!(origin, Origin::GoesOn(_));
        let passport = origin.passport();
        // Before anybody hears of this life, or of this process in it: it is never used again.
        keep.passport(&passport)?;
        let wants = given.as_ref().map(|given| given.member.wants().to_vec()).unwrap_or_default();
        let member = given.filter(|_| goes_on).map(|given| given.member);
        let folder = folder.to_owned();
        Ok(Begin { settings, folder, keep, image, passport, trouble, member, wants, listener, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

struct Group {
    settings: Settings,
    /// Members for which there is room.
    room: usize,
    folder: PathBuf,
    /// None while it fails: then nothing may be promised.
    keep: Option<Keep>,
    /// What it kept when it was opened again.
    kept: Option<Image>,
    door: Rc<RefCell<Door>>,
    seat: Seat,
    node: Node,
    net: Net,
    shared: Arc<Mutex<Shared>>,
    changed: Arc<Notify>,
    life: Life,
}

/// Belongs to the group until the courier leaves it, or is gone.
pub(crate) async fn run(
    begin: Begin,
    shared: Arc<Mutex<Shared>>,
    changed: Arc<Notify>,
    mut wishes: mpsc::Receiver<Wish>,
) -> Result<(), GroupError> {
    let Begin { settings, folder, keep, image, passport, trouble, member, wants, listener, .. } = begin;
    let life = passport.life;
    let door = Door::new(settings.me, &settings.ids(), &settings.voters(), passport.clone());
    let votes = door.may_vote().then_some(image);
    let (seed, seat) = (fastrand::u64(..), Seat::new(votes.is_some(), trouble));
    let run = Run { life, hand: passport.hand, begun: 0 };
    let mut node = Node::new(settings.me, run, &settings.voters(), settings.terms, votes, seed, now())?;
    for duty in &wants {
        node.member.want(now(), duty);
    }
    if let Some(member) = member {
        let goes_on = node.go_on(member, now());
        info!(goes_on, "this process takes the place of another one in the group");
    }
    let door = Rc::new(RefCell::new(door));
    let (events, mut heard) = mpsc::channel(EVENTS);
    let net = net::open(&settings, listener, door.clone(), events);
    let mut group = Group {
        room: settings.room(),
        settings,
        folder,
        keep: Some(keep),
        kept: None,
        door,
        seat,
        node,
        net,
        shared,
        changed,
        life,
    };
    let mut batch = Vec::with_capacity(BATCH);
    let mut leaving: Option<oneshot::Sender<()>> = None;
    let mut ends_at = None;
    loop {
        group.turn();
        let mut longest = LONGEST;
        if leaving.is_some() && group.node.member.is_free() {
            // All that was held is given up, as the group has agreed. Where this voter leads, the others need it yet to hear
            // that, and to agree on who is next.
            let until = *ends_at.get_or_insert(now() + LINGER);
            if now() >= until {
                if let Some(done) = leaving.take() {
                    let _ = done.send(());
                }
                return Ok(());
            }
            longest = until - now();
        }
        let due = group.node.next_turn().map_or(longest, |due| due - now()).min(longest);
        tokio::select! {
            wish = wishes.recv() => match wish {
                Some(Wish::Want(duty)) => {
                    if !group.node.member.want(now(), &duty) {
                        warn!(%duty, "too many duties are wanted; this one is not asked for");
                    }
                }
                Some(Wish::GiveUp(duty)) => group.node.member.give_up(now(), &duty),
                Some(Wish::PassOn(duty, rest)) => group.node.member.pass_on(now(), &duty, rest),
                Some(Wish::Tell(duty, words)) => group.node.member.tell(now(), &duty, words),
                Some(Wish::Follow(settings)) => group.follow(*settings),
                Some(Wish::Leave(done)) => {
                    group.node.member.give_all_up(now());
                    leaving = Some(done);
                }
                Some(Wish::Pack(done)) => {
                    let left = group.door.borrow().passport().left();
                    let given = Given { member: group.node.member.pack(), left };
                    // The folder first: who is told may open it.
                    drop(group);
                    let _ = done.send(Box::new(given));
                    return Ok(());
                }
                None => return Ok(()),
            },
            _ = heard.recv_many(&mut batch, BATCH) => {}
            () = sleep(due.max(Duration::from_millis(1))) => {}
        }
        for event in batch.drain(..) {
            group.heard(event);
        }
    }
}

impl Group {
    /// All of what another file says, or nothing.
    fn follow(&mut self, settings: Settings) {
        match roster::change(&self.settings, &settings, self.room) {
            Ok(change) if change == Change::default() => {}
            Ok(change) => {
                let (added, removed) = (change.added.len(), change.removed.len());
                info!(added, removed, members = settings.members.len(), "the group has other members");
                self.door.borrow_mut().belong(&settings.ids());
                self.net.follow(&settings, &change);
                self.settings = settings;
            }
            Err(error) => error!(%error, "the file of the group was read again; the group stays as it was"),
        }
    }

    fn heard(&mut self, event: Event) {
        match event {
            Event::Met(member) => {
                let votes = self.door.borrow().may_vote();
                info!(%member, votes, "a member of the group was met");
                if let Some(voter) = self.node.voter_mut() {
                    voter.reconnected(member);
                }
            }
            Event::Said(from, say) => {
                if let Err(error) = self.node.hear(now(), from, *say) {
                    warn!(%from, %error, "what a member said is not listened to");
                }
            }
            Event::Changed => {}
            Event::Asked(reply) => {
                // Who does not wait any more has given up.
                let _ = reply.send(self.status());
            }
        }
    }

    /// What a turn wrote is kept before anything of it is said.
    fn turn(&mut self) {
        self.settle();
        let output = self.node.turn(now());
        if output.records.is_empty() || self.keep_records(output.records) {
            for (to, say) in output.messages {
                self.net.send(to, say);
            }
        }
        self.show();
    }

    /// Does what the seat says is to be done first.
    fn settle(&mut self) {
        let mut is_changed = std::mem::take(&mut *self.net.is_changed.borrow_mut());
        for _ in 0..STEPS {
            let (votes, is_new) = (self.node.voter().is_some(), std::mem::take(&mut is_changed));
            let Some(step) = self.seat.next(now(), &self.door.borrow(), votes, is_new) else { return };
            match step {
                Step::Halt => {
                    self.node.halt();
                    if !self.seat.is_open() {
                        // Its lock, too: it is judged anew when it is opened again.
                        self.keep = None;
                    }
                }
                Step::Open => self.open_again(),
                Step::Keep => {
                    let passport = self.door.borrow().passport().clone();
                    let kept = self.keep.as_mut().map(|keep| keep.passport(&passport));
                    if let Some(Err(error)) = kept {
                        self.lose_folder(&error);
                    }
                }
                Step::Begin => self.vote(Image::default()),
                Step::Resume => match self.kept.take() {
                    Some(image) => self.vote(image),
                    None => return,
                },
            }
        }
    }

    fn vote(&mut self, image: Image) {
        if let Err(error) = self.node.vote_again(self.settings.terms, image, now()) {
            error!(%error, "this courier cannot vote");
        }
    }

    fn open_again(&mut self) {
        self.keep = None;
        // As this process left it, it is its own, and in the same life.
        let left = self.door.borrow().passport().left();
        let opened = match Keep::open(&self.folder, self.settings.disk, fastrand::u64(1..), Some(left)) {
            Ok((keep, Origin::GoesOn(_), image)) => {
                (self.keep, self.kept) = (Some(keep), Some(image));
                Opened::Own
            }
            Ok(_) => Opened::Other,
            Err(error) => Opened::Failed(error.to_string()),
        };
        self.seat.opened(opened);
        info!(trouble = self.seat.trouble(), "the folder of the group was opened again");
    }

    fn keep_records(&mut self, records: Vec<Record>) -> bool {
        let Some(keep) = &mut self.keep else { return false };
        let mut kept = keep.records(records);
        if kept.is_ok() && keep.is_long() {
            if let Some(Record::Image(image)) = self.node.voter().map(Voter::image) {
                kept = keep.whole(self.door.borrow().passport(), *image);
            }
        }
        kept.inspect_err(|error| self.lose_folder(error)).is_ok()
    }

    /// Nothing is promised any more, until the folder can be written again.
    fn lose_folder(&mut self, why: &KeepError) {
        error!(%why, "what the group keeps cannot be written: this courier votes no more for now");
        self.seat.failed(now(), &why.to_string());
        self.node.halt();
        self.keep = None;
    }

    fn show(&self) {
        let member = &self.node.member;
        let until = member.lease().unwrap_or_default();
        let held: BTreeMap<_, _> =
            member.acts_on(now()).map(|(duty, epoch)| (duty.clone(), (epoch, until))).collect();
        let believed = member.heard() + self.settings.terms.lease * BELIEVED_LEASES;
        let look = |duty: &Duty| {
            let other = member.holder(duty).filter(|(holder, _)| *holder != self.settings.me);
            let told = member.note(duty);
            let told = told.map(|(note, at)| (note.epoch, note.words.bytes().to_vec(), at));
            (duty.clone(), Look { other_until: other.map(|_| believed), told })
        };
        let looks: BTreeMap<_, _> = member.wants().map(look).collect();
        if let Ok(mut shared) = self.shared.lock() {
            if !shared.held.keys().eq(held.keys()) || shared.looks != looks {
                self.changed.notify_one();
            }
            (shared.held, shared.looks) = (held, looks);
            if std::mem::take(&mut shared.is_asked) {
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
                since_ms: voter.held_since(duty).map_or(0, |at| (now - at).as_millis() as u64),
                why: None,
            });
            duties.extend(held);
            duties.extend(voter.vacant(now).map(|(duty, since, why)| DutyStatus {
                name: duty.name().to_owned(),
                holder: None,
                epoch: None,
                since_ms: (now - since).as_millis() as u64,
                why: Some(why.to_string()),
            }));
        }
        Status {
            me: self.settings.me.0,
            life: self.life.0,
            votes: voter.is_some(),
            trouble: self.seat.trouble().map(str::to_owned),
            leader: voter.and_then(Voter::leader).map(|MemberId(leader)| leader),
            version: voter.map_or(0, Voter::version),
            duties,
            holds: member.acts_on(now).map(|(duty, _)| duty.name().to_owned()).collect(),
            reached: self.net.reached().iter().map(|member| member.0).collect(),
            heard_ms: (now - member.heard()).as_millis() as u64,
        }
    }
}
