//! How the parts of the daemon reach the loop. It lies below all of them, so that imports run one way.

use gullcart_engine::{Answer, Enqueue, Input};
use tokio::sync::{mpsc, oneshot};

/// EventSender that wait for the loop at most. Where there are more, whoever tells the next one waits: clients for their
/// answers, calls for their ends to be heard. The loop itself waits for nobody.
const MAX_QUEUED_EVENTS: usize = 4096;

/// What the loop is told.
pub enum DriverEvent {
    /// A client hands a message in and waits for its answer here.
    Enqueue(Enqueue, oneshot::Sender<Answer>),
    /// Something else has happened.
    Input(Input),
}

/// Tells the loop what happens.
#[derive(Clone)]
pub struct EventSender(mpsc::Sender<DriverEvent>);

impl EventSender {
    /// Where it is told, and where it listens.
    pub fn channel() -> (Self, mpsc::Receiver<DriverEvent>) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        (EventSender(sender), receiver)
    }

    /// Something has happened. Once the loop has ended nobody listens.
    pub async fn send(&self, input: Input) {
        let _ = self.0.send(DriverEvent::Input(input)).await;
    }

    /// Hands a message in; none if the loop ends before it has an answer.
    pub async fn enqueue(&self, enqueue: Enqueue) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        self.0.send(DriverEvent::Enqueue(enqueue, reply)).await.ok()?;
        answer.await.ok()
    }
}
