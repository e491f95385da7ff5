//! A node of the tree that feeds others, the source or a relay, on its sockets. All decisions are the state machine's.

use crate::link::{Link, LinkError, LinkShared, ReadPace};
use crate::machine::{distribution_now, sleep_until};
use gullcart_distribution::error::ProtocolError;
use gullcart_distribution::limits::{MAX_OUTPUT_MESSAGES, MAX_SCOPES};
use gullcart_distribution::message::Message;
use gullcart_distribution::publisher::SubscriberId;
use gullcart_distribution::relay::{PeerId, Relay};
use gullcart_distribution::source::Source;
use gullcart_distribution::time::Instant;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, JoinHandle};

/// Messages that wait for a node, over all of its links. Beyond them the links are not read.
const MOST_INCOMING: usize = 1024;
/// Messages that wait for a subscriber. One that lets more wait than its window has closed itself out.
const MOST_TO_SUBSCRIBER: usize = 2 * MAX_OUTPUT_MESSAGES;
/// Messages that wait for the upstream. A relay that takes scopes on asks for each of them at once.
const MOST_TO_UPSTREAM: usize = MAX_OUTPUT_MESSAGES + MAX_SCOPES;

/// The state machine of a node that feeds others.
pub enum Machine {
    /// The source.
    Source(Box<Source>),
    /// A relay.
    Relay(Box<Relay>),
}

impl Machine {
    fn connected(&mut self, now: Instant, peer: PeerId) {
        match (self, peer) {
            (Machine::Source(source), PeerId::Subscriber(subscriber)) => source.connected(subscriber),
            (Machine::Source(_), PeerId::Upstream) => {}
            (Machine::Relay(relay), peer) => relay.connected(now, peer),
        }
    }

    fn connect_failed(&mut self, now: Instant) {
        if let Machine::Relay(relay) = self {
            relay.connect_failed(now);
        }
    }

    fn disconnected(&mut self, now: Instant, peer: PeerId) {
        match (self, peer) {
            (Machine::Source(source), PeerId::Subscriber(subscriber)) => source.disconnected(now, subscriber),
            (Machine::Source(_), PeerId::Upstream) => {}
            (Machine::Relay(relay), peer) => relay.disconnected(now, peer),
        }
    }

    fn handle(&mut self, now: Instant, peer: PeerId, message: Message) -> Result<(), ProtocolError> {
        match (self, peer) {
            (Machine::Source(source), PeerId::Subscriber(subscriber)) => {
                source.handle(now, subscriber, message)
            }
            (Machine::Source(_), PeerId::Upstream) => Err(ProtocolError::UnknownPeer),
            (Machine::Relay(relay), peer) => relay.handle(now, peer, message),
        }
    }

    fn poll_output(&mut self) -> Option<(PeerId, Message)> {
        match self {
            Machine::Source(source) => {
                source.poll_output().map(|(subscriber, message)| (PeerId::Subscriber(subscriber), message))
            }
            Machine::Relay(relay) => relay.poll_output(),
        }
    }

    fn next_timeout(&self, now: Instant) -> Option<Instant> {
        match self {
            Machine::Source(source) => source.next_timeout(now),
            Machine::Relay(relay) => relay.next_timeout(now),
        }
    }

    fn on_timeout(&mut self, now: Instant) {
        match self {
            Machine::Source(source) => source.on_timeout(now),
            Machine::Relay(relay) => relay.on_timeout(now),
        }
    }

    fn wants_upstream_close(&self) -> bool {
        match self {
            Machine::Source(_) => false,
            Machine::Relay(relay) => relay.wants_upstream_close(),
        }
    }

    fn reconnect_at(&self) -> Option<Instant> {
        match self {
            Machine::Source(_) => None,
            Machine::Relay(relay) => Some(relay.upstream().reconnect_at()),
        }
    }
}

/// A node that serves, for whoever started it. It ends when this is dropped.
pub struct Station {
    machine: Rc<RefCell<Machine>>,
    changed: Rc<Notify>,
    cut: watch::Sender<bool>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Station {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Station {
    /// A node that listens there, and subscribes at the first of these addresses that takes it.
    pub async fn start(
        machine: Machine,
        listen: SocketAddr,
        upstream: Vec<SocketAddr>,
        shared: LinkShared,
    ) -> io::Result<Station> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let machine = Rc::new(RefCell::new(machine));
        let changed = Rc::new(Notify::new());
        let (cut, is_cut) = watch::channel(false);
        let (events, incoming) = mpsc::channel(MOST_INCOMING);
        let driver = Driver {
            machine: machine.clone(),
            changed: changed.clone(),
            upstream,
            next_upstream: 0,
            shared,
            is_cut,
            events,
            links: BTreeMap::new(),
            upstream_link: None,
            last_link: 0,
        };
        let task = spawn_local(driver.run(listener, incoming));
        Ok(Station { machine, changed, cut, address, task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Does something with the state machine; what it wants sent goes out.
    pub fn with_machine<Done>(&self, act: impl FnOnce(&mut Machine) -> Done) -> Done {
        let done = act(&mut self.machine.borrow_mut());
        self.changed.notify_one();
        done
    }

    /// Looks at the state machine, of which nothing changes that others have to be told.
    pub fn inspect<Done>(&self, look: impl FnOnce(&mut Machine) -> Done) -> Done {
        look(&mut self.machine.borrow_mut())
    }

    /// Cuts the node off from its upstream, or lets it through again. Bytes stay where they are; nothing is closed.
    pub fn cut_upstream(&self, is_cut: bool) {
        self.cut.send_replace(is_cut);
    }
}

/// Names a link within a driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkId(u64);

/// What a link has to tell.
struct LinkEvent {
    link: LinkId,
    peer: PeerId,
    what: LinkNews,
}

enum LinkNews {
    Connected(mpsc::Sender<Message>),
    Message(Box<Message>),
    Closed,
}

/// The driver's end of a link.
struct LinkHandle {
    /// The state machine knows of it.
    is_connected: bool,
    /// None before it is connected, and once it is to write what waits and end.
    outgoing: Option<mpsc::Sender<Message>>,
    task: JoinHandle<()>,
}

impl Drop for LinkHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Driver {
    machine: Rc<RefCell<Machine>>,
    changed: Rc<Notify>,
    upstream: Vec<SocketAddr>,
    next_upstream: usize,
    shared: LinkShared,
    is_cut: watch::Receiver<bool>,
    events: mpsc::Sender<LinkEvent>,
    links: BTreeMap<LinkId, LinkHandle>,
    upstream_link: Option<LinkId>,
    last_link: u64,
}

impl Driver {
    async fn run(mut self, listener: TcpListener, mut incoming: mpsc::Receiver<LinkEvent>) {
        loop {
            let timeout = self.machine.borrow().next_timeout(distribution_now());
            let reconnect_at = match self.upstream_link {
                None => self.machine.borrow().reconnect_at().filter(|_| !self.upstream.is_empty()),
                Some(_) => None,
            };
            tokio::select! {
                Some(event) = incoming.recv() => self.take_event(event),
                Ok((stream, _)) = listener.accept() => self.accept(stream),
                () = sleep_until(timeout) => self.machine.borrow_mut().on_timeout(distribution_now()),
                () = sleep_until(reconnect_at) => self.connect_upstream(),
                () = self.changed.notified() => {}
            }
            self.send_output();
            self.close_upstream_if_wanted();
        }
    }

    fn accept(&mut self, stream: TcpStream) {
        let link = self.new_link();
        let peer = PeerId::Subscriber(SubscriberId(link.0));
        self.machine.borrow_mut().connected(distribution_now(), peer);
        let (outgoing, queue) = mpsc::channel(MOST_TO_SUBSCRIBER);
        let task =
            LinkTask { link, peer, events: self.events.clone(), shared: self.shared.clone(), is_cut: None };
        let task = spawn_local(task.serve(stream, queue));
        self.links.insert(link, LinkHandle { is_connected: true, outgoing: Some(outgoing), task });
    }

    fn connect_upstream(&mut self) {
        let link = self.new_link();
        let address = self.upstream[self.next_upstream % self.upstream.len()];
        self.next_upstream += 1;
        let is_cut = Some(self.is_cut.clone());
        let (events, shared) = (self.events.clone(), self.shared.clone());
        let task = LinkTask { link, peer: PeerId::Upstream, events, shared, is_cut };
        let task = spawn_local(task.connect(address));
        self.links.insert(link, LinkHandle { is_connected: false, outgoing: None, task });
        self.upstream_link = Some(link);
    }

    fn new_link(&mut self) -> LinkId {
        self.last_link += 1;
        LinkId(self.last_link)
    }

    fn take_event(&mut self, event: LinkEvent) {
        let LinkEvent { link, peer, what } = event;
        // What a link said before it was closed here concerns nobody any more.
        let Some(handle) = self.links.get_mut(&link) else { return };
        match what {
            LinkNews::Connected(outgoing) => {
                handle.is_connected = true;
                handle.outgoing = Some(outgoing);
                self.machine.borrow_mut().connected(distribution_now(), peer);
            }
            LinkNews::Message(message) => {
                let taken = self.machine.borrow_mut().handle(distribution_now(), peer, *message);
                if taken.is_err_and(|error| error.ends_session()) && peer != PeerId::Upstream {
                    self.send_output();
                    self.close_after_output(link);
                }
            }
            LinkNews::Closed => self.close(link, peer),
        }
    }

    /// Lets a link write what waits for it, and takes nothing more from it.
    fn close_after_output(&mut self, link: LinkId) {
        if let Some(handle) = self.links.get_mut(&link) {
            // Its task ends by itself once it has written all, and says so.
            handle.outgoing = None;
        }
    }

    fn close(&mut self, link: LinkId, peer: PeerId) {
        let Some(handle) = self.links.remove(&link) else { return };
        if self.upstream_link == Some(link) {
            self.upstream_link = None;
        }
        let mut machine = self.machine.borrow_mut();
        if handle.is_connected {
            machine.disconnected(distribution_now(), peer);
        } else {
            machine.connect_failed(distribution_now());
        }
    }

    fn close_upstream_if_wanted(&mut self) {
        let Some(link) = self.upstream_link else { return };
        let is_connected = self.links.get(&link).is_some_and(|handle| handle.is_connected);
        if is_connected && self.machine.borrow().wants_upstream_close() {
            self.close(link, PeerId::Upstream);
        }
    }

    fn send_output(&mut self) {
        loop {
            let next = self.machine.borrow_mut().poll_output();
            let Some((peer, message)) = next else { return };
            let link = match peer {
                PeerId::Upstream => self.upstream_link,
                PeerId::Subscriber(subscriber) => Some(LinkId(subscriber.0)),
            };
            let Some(link) = link else { continue };
            let Some(outgoing) = self.links.get(&link).and_then(|handle| handle.outgoing.as_ref()) else {
                continue;
            };
            if outgoing.try_send(message).is_err() {
                self.close(link, peer);
            }
        }
    }
}

/// What serves one link.
struct LinkTask {
    link: LinkId,
    peer: PeerId,
    events: mpsc::Sender<LinkEvent>,
    shared: LinkShared,
    /// Whether the way there is cut, where that can be.
    is_cut: Option<watch::Receiver<bool>>,
}

impl LinkTask {
    async fn connect(mut self, address: SocketAddr) {
        self.wait_while_cut().await;
        let Ok(stream) = TcpStream::connect(address).await else {
            self.tell(LinkNews::Closed).await;
            return;
        };
        let (outgoing, queue) = mpsc::channel(MOST_TO_UPSTREAM);
        self.tell(LinkNews::Connected(outgoing)).await;
        self.serve(stream, queue).await;
    }

    async fn serve(mut self, stream: TcpStream, mut queue: mpsc::Receiver<Message>) {
        if let Ok(mut link) = Link::new(stream, self.shared.clone(), ReadPace::Full) {
            // Why it ended is of no concern to the node: it has to go on without it in any case.
            let _ended: Result<(), LinkError> = self.pass_messages(&mut link, &mut queue).await;
        }
        self.tell(LinkNews::Closed).await;
    }

    /// Passes messages both ways until the link breaks or the node lets go of it.
    async fn pass_messages(
        &mut self,
        link: &mut Link,
        queue: &mut mpsc::Receiver<Message>,
    ) -> Result<(), LinkError> {
        loop {
            self.wait_while_cut().await;
            tokio::select! {
                biased;
                () = cut_begins(&mut self.is_cut) => {}
                next = queue.recv(), if link.has_room() => match next {
                    Some(message) => {
                        link.queue(&message)?;
                        queue_all(link, queue)?;
                        link.flush()?;
                    }
                    None => return Ok(()),
                },
                ready = link.ready() => {
                    ready?;
                    self.read(link).await?;
                    link.flush()?;
                }
            }
        }
    }

    async fn read(&mut self, link: &mut Link) -> Result<(), LinkError> {
        link.read()?;
        while let Some(message) = link.next_message()? {
            self.tell(LinkNews::Message(Box::new(message))).await;
        }
        Ok(())
    }

    async fn wait_while_cut(&mut self) {
        if let Some(is_cut) = &mut self.is_cut {
            // The sender goes only with the whole node.
            let _ = is_cut.wait_for(|is_cut| !is_cut).await;
        }
    }

    async fn tell(&self, what: LinkNews) {
        // The receiver goes only with the whole node.
        let _ = self.events.send(LinkEvent { link: self.link, peer: self.peer, what }).await;
    }
}

/// Returns when the way is cut; never where it cannot be.
async fn cut_begins(is_cut: &mut Option<watch::Receiver<bool>>) {
    match is_cut {
        // The sender goes only with the whole node.
        Some(is_cut) => drop(is_cut.wait_for(|is_cut| *is_cut).await),
        None => std::future::pending().await,
    }
}

/// Takes on what waits already, so that it is written together.
fn queue_all(link: &mut Link, queue: &mut mpsc::Receiver<Message>) -> Result<(), LinkError> {
    while link.has_room() {
        let Ok(message) = queue.try_recv() else { return Ok(()) };
        link.queue(&message)?;
    }
    Ok(())
}
