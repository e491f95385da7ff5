//! How the parts of the daemon reach the loop. It lies below all of them, so that imports run one way.

use gullcart_engine::{Answer, Enqueue, Input};
use tokio::sync::{mpsc, oneshot};

/// Inputs that wait for the loop at most. Where there are more, whoever tells the next one waits: clients for their
/// answers, calls for their ends to be heard. The loop itself waits for nobody.
const WAITING: usize = 4096;

/// What the loop is told.
pub enum Told {
    /// A client hands a message in and waits for its answer here.
    HandIn(Enqueue, oneshot::Sender<Answer>),
    /// Something else has happened.
    Input(Input),
}

/// Tells the loop what happens.
#[derive(Clone)]
pub struct Inputs(mpsc::Sender<Told>);

impl Inputs {
    /// Where it is told, and where it listens.
    pub fn new() -> (Self, mpsc::Receiver<Told>) {
        let (send, receive) = mpsc::channel(WAITING);
        (Inputs(send), receive)
    }

    /// Something has happened. Once the loop has ended nobody listens.
    pub async fn tell(&self, input: Input) {
        let _ = self.0.send(Told::Input(input)).await;
    }

    /// Hands a message in; none if the loop ends before it has an answer.
    pub async fn hand_in(&self, enqueue: Enqueue) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Told::HandIn(enqueue, reply)).await.ok()?;
        answer.await.ok()
    }
}
