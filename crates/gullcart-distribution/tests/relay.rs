//! A relay between a source and a subscriber, with messages that arrive at once.

use std::time::Duration;

use gullcart_distribution::error::ProtocolError;
use gullcart_distribution::limits::RESCOPE_DELAY;
use gullcart_distribution::message::{Message, Reason, Refused};
use gullcart_distribution::position::{Epoch, Position};
use gullcart_distribution::publisher::SubscriberId;
use gullcart_distribution::relay::{PeerId, Relay};
use gullcart_distribution::scope::{Key, Scope, Value};
use gullcart_distribution::source::{Edit, Source, SourceState};
use gullcart_distribution::subscriber::{Acting, Role, Subscriber};
use gullcart_distribution::time::Instant;

const RELAY: SubscriberId = SubscriberId(1);
const COURIER: SubscriberId = SubscriberId(2);
const SCOPE: Scope = Scope::Zone(3);

/// A source, a relay and a courier on one clock.
struct Chain {
    now: Instant,
    source: Source,
    relay: Relay,
    courier: Subscriber,
    /// The last refusal that the courier heard.
    refused: Option<Reason>,
}

impl Chain {
    fn new() -> Self {
        let now = Instant::from_millis(10_000);
        let mut source = Source::new(Instant::from_millis(0), SourceState::default(), 1);
        source.begin_epoch(now, Epoch(1)).unwrap();
        let courier = Subscriber::new(Role::Edge, [SCOPE], 3);
        let mut chain = Self { now, source, relay: Relay::new(2), courier, refused: None };
        chain.connect_relay();
        chain.relay.connected(now, PeerId::Subscriber(COURIER));
        chain.courier.connected(now);
        chain
    }

    fn connect_relay(&mut self) {
        self.source.connected(RELAY);
        self.relay.connected(self.now, PeerId::Upstream);
    }

    fn set(&mut self, text: &str) -> Position {
        let value = Some(Value::new(text.to_string()).unwrap());
        let edit = Edit { scope: SCOPE, key: Key::new("limit").unwrap(), value };
        let epoch = self.source.epoch();
        self.source.change(self.now, epoch, edit).unwrap()
    }

    /// Passes messages on until there are none.
    fn settle(&mut self) {
        loop {
            let mut passed = false;
            while let Some((to, message)) = self.source.poll_output() {
                passed = true;
                if to == RELAY {
                    let _ = self.relay.handle(self.now, PeerId::Upstream, message);
                }
            }
            while let Some((to, message)) = self.relay.poll_output() {
                passed = true;
                self.pass_from_relay(to, message);
            }
            while let Some(message) = self.courier.poll_output() {
                passed = true;
                self.relay.handle(self.now, PeerId::Subscriber(COURIER), message).unwrap();
            }
            if !passed {
                return;
            }
        }
    }

    fn pass_from_relay(&mut self, to: PeerId, message: Message) {
        match to {
            PeerId::Upstream => self.source.handle(self.now, RELAY, message).unwrap(),
            PeerId::Subscriber(_) => {
                if let Err(ProtocolError::Refused(reason)) = self.courier.handle(self.now, message) {
                    self.refused = Some(reason);
                }
            }
        }
    }

    /// Lets time pass in small steps; who has to connect again does.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            self.source.on_timeout(self.now);
            self.relay.on_timeout(self.now);
            self.courier.on_timeout(self.now);
            self.settle();
            if self.courier.wants_close() {
                self.courier.disconnected(self.now);
                self.relay.disconnected(self.now, PeerId::Subscriber(COURIER));
                if self.courier.reconnect_at() <= self.now {
                    self.relay.connected(self.now, PeerId::Subscriber(COURIER));
                    self.courier.connected(self.now);
                    self.settle();
                }
            }
        }
    }

    fn acts_on(&self) -> Option<Position> {
        match self.courier.acting(self.now, SCOPE) {
            Acting::UnderRevision(position) => Some(position),
            Acting::NotCurrent => None,
        }
    }
}

/// A chain whose courier is current.
fn started() -> Chain {
    let mut chain = Chain::new();
    chain.set("1");
    chain.run(Duration::from_secs(2));
    assert_eq!(chain.acts_on(), Some(chain.source.position()));
    chain
}

#[test]
fn a_relay_holds_the_scopes_that_are_wanted_and_no_others() {
    let mut chain = Chain::new();
    chain.settle();
    assert_eq!(chain.refused, Some(Reason::NotReady));
    assert!(chain.relay.upstream().scopes().is_empty());
    chain.run(RESCOPE_DELAY + Duration::from_millis(20));
    assert_eq!(chain.relay.upstream().scopes().iter().collect::<Vec<_>>(), [&SCOPE]);
    chain.run(Duration::from_secs(2));
    chain.relay.disconnected(chain.now, PeerId::Subscriber(COURIER));
    for _ in 0..40 {
        chain.now = chain.now + Duration::from_secs(1);
        chain.relay.on_timeout(chain.now);
        while chain.relay.poll_output().is_some() {}
    }
    assert!(chain.relay.upstream().scopes().is_empty(), "nobody wants it any more");
}

#[test]
fn a_relay_without_a_lease_grants_none() {
    let mut chain = started();
    chain.source.disconnected(chain.now, RELAY);
    chain.relay.disconnected(chain.now, PeerId::Upstream);
    chain.run(Duration::from_millis(2_400));
    assert!(chain.relay.upstream().lease_until(SCOPE, chain.now).is_some());
    chain.run(Duration::from_millis(200));
    assert_eq!(chain.acts_on(), None, "the courier's lease does not outlive that of the relay");
}

#[test]
fn a_relay_says_that_a_change_is_in_force_once_it_is_below() {
    let mut chain = started();
    let position = chain.set("2");
    while let Some((_, message)) = chain.source.poll_output() {
        chain.relay.handle(chain.now, PeerId::Upstream, message).unwrap();
    }
    let mut frames = Vec::new();
    while let Some((to, message)) = chain.relay.poll_output() {
        match to {
            PeerId::Upstream => chain.source.handle(chain.now, RELAY, message).unwrap(),
            PeerId::Subscriber(_) => frames.push(message),
        }
    }
    assert!(chain.source.in_force(chain.now) < position, "the courier has not heard of it");
    frames.into_iter().for_each(|frame| chain.courier.handle(chain.now, frame).unwrap());
    chain.settle();
    assert_eq!(chain.source.in_force(chain.now), position);
}

#[test]
fn a_relay_whose_state_is_replaced_ends_sessions_that_cannot_go_on() {
    let mut chain = started();
    let taken_over = chain.source.state().clone();
    chain.set("lost with the old writer");
    chain.run(Duration::from_secs(1));
    assert_eq!(chain.acts_on(), Some(chain.source.position()));

    chain.source = Source::new(chain.now, taken_over, 9);
    chain.source.begin_epoch(chain.now, Epoch(2)).unwrap();
    chain.relay.disconnected(chain.now, PeerId::Upstream);
    chain.connect_relay();
    chain.refused = None;
    chain.settle();
    assert_eq!(chain.refused, Some(Reason::Replaced));
    chain.run(Duration::from_secs(3));
    assert_eq!(chain.acts_on(), Some(chain.source.position()));
    let value =
        chain.courier.store().get(SCOPE, &Key::new("limit").unwrap()).map(|entry| entry.value.clone());
    assert_eq!(value, Some(Value::new("1").unwrap()));
}

#[test]
fn a_new_writer_is_made_known_below_without_new_sessions() {
    let mut chain = started();
    chain.source.begin_epoch(chain.now, Epoch(2)).unwrap();
    let position = chain.set("2");
    chain.refused = None;
    chain.run(Duration::from_millis(100));
    assert_eq!((chain.refused, chain.acts_on()), (None, Some(position)));
    assert_eq!(chain.courier.lineage().latest(), Some(Epoch(2)));
}

#[test]
fn a_subscriber_that_breaks_the_protocol_is_refused_and_the_others_are_not() {
    let mut chain = started();
    let stranger = PeerId::Subscriber(SubscriberId(8));
    chain.courier.on_timeout(chain.now + Duration::from_secs(1));
    let session = chain.courier.poll_output().expect("a renewal").session();
    let message = Refused { session, reason: Reason::Full, retry_after_millis: 1 };
    let unknown = chain.relay.handle(chain.now, stranger, Message::Refused(message.clone()));
    assert_eq!(unknown, Err(ProtocolError::UnknownPeer));
    let courier = PeerId::Subscriber(COURIER);
    let wrong = chain.relay.handle(chain.now, courier, Message::Refused(message));
    assert_eq!(wrong, Err(ProtocolError::WrongDirection));
    let Some((to, Message::Refused(refused))) = chain.relay.poll_output() else {
        panic!("not refused");
    };
    assert_eq!((to, refused.reason), (courier, Reason::Protocol));
    assert_eq!(chain.relay.session_count(), 0);
}
