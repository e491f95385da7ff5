//! Connections that are handed over with unread requests.

use super::*;
use crate::calls::tests::run;
use crate::messages::DriverEvent;
use std::io::Write;
use tokio::sync::mpsc::Receiver;

/// A request that enqueues a message.
const REQUEST: &[u8] =
    b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\na1\r\n$23\r\nd=20000,c=salary,dest=1\r\n$1\r\nx\r\n";
/// How long a connection may take to end.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A connection with three unread requests, the client's side of it, and the events of the connections.
fn handed_over_client() -> (Clients, HandedOverClient, std::net::TcpStream, Receiver<DriverEvent>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = listener.accept().unwrap().0;
    stream.set_nonblocking(true).unwrap();
    // The third request is still to be read.
    client.write_all(REQUEST).unwrap();
    let handed_over = HandedOverClient { stream, is_new: true, unread_bytes: REQUEST.repeat(2) };
    let (sender, events) = EventSender::channel();
    let (phase, phase_receiver) = watch::channel(Phase::Serving);
    let limits = ClientLimits { max_connections: 4, max_idle: 4, max_long_requests: 1 };
    let clients = Clients::new(sender, phase_receiver, limits);
    // A closed channel would end connections.
    std::mem::forget(phase);
    (clients, handed_over, client, events)
}

/// Guards against requests that the new process of an upgrade sends on although their client closed before.
#[test]
fn requests_of_a_closed_client_are_not_taken_from_a_handed_over_connection() {
    run(async {
        let (clients, handed_over, client, mut events) = handed_over_client();
        drop(client);
        clients.adopt(handed_over).unwrap();
        let ended = timeout(TIMEOUT, async {
            while clients.open_count() > 0 {
                yield_now().await;
            }
        });
        ended.await.expect("the connection ends");
        assert!(events.try_recv().is_err(), "a request was sent on");
    });
}

/// The requests of a client that has not closed are taken.
#[test]
fn requests_of_an_open_client_are_taken_from_a_handed_over_connection() {
    run(async {
        let (clients, handed_over, _client, mut events) = handed_over_client();
        clients.adopt(handed_over).unwrap();
        for _ in 0..3 {
            let event = timeout(TIMEOUT, events.recv()).await.expect("a request").unwrap();
            let DriverEvent::Enqueue(enqueue, reply) = event else { panic!("another event") };
            assert_eq!(enqueue.id, "a1");
            reply.send(Answer::Held).unwrap();
        }
    });
}
