//! The events that the parts of the daemon send to the driver. This module imports none of them, which keeps dependencies
//! acyclic.

use gullcart_engine::{Answer, Enqueue, Input};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the event queue. When it is full, senders wait: clients for their replies, and calls to report their end. The
/// driver never waits for a sender.
const MAX_QUEUED_EVENTS: usize = 4096;

/// An event for the driver.
pub enum DriverEvent {
    /// A client enqueues a message and waits for the reply on the channel.
    Enqueue(Enqueue, oneshot::Sender<Answer>),
    /// Any other input for the engine.
    Input(Input),
}

/// Sends events to the driver.
#[derive(Clone)]
pub struct EventSender(mpsc::Sender<DriverEvent>);

impl EventSender {
    /// A sender and the receiver that belongs to it.
    pub fn channel() -> (Self, mpsc::Receiver<DriverEvent>) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        (EventSender(sender), receiver)
    }

    /// Sends an input. It is dropped if the driver has ended.
    pub async fn send(&self, input: Input) {
        let _ = self.0.send(DriverEvent::Input(input)).await;
    }

    /// Enqueues a message and waits for the reply; none if the driver ends before that.
    pub async fn enqueue(&self, enqueue: Enqueue) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        self.0.send(DriverEvent::Enqueue(enqueue, reply)).await.ok()?;
        answer.await.ok()
    }
}
