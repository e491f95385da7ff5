//! A courier that stops for a hand-over while calls are in flight to an endpoint on a real socket.

use super::*;
use crate::calls::tests::{add_idle_connection, read_call, run};
use crate::config::read_config;
use crate::connection_slots::ClientLimits;
use crate::console;
use bytes::Bytes;
use cloverstile::{parse_settings_json, EndpointId};
use gullcart_engine::{EngineConfig, Enqueue};
use gullcart_journal::{Journal, Options};
use gullcart_standins::world::World;
use std::future::poll_fn;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::task::Poll;
use tokio::sync::mpsc;
use tokio::task::{spawn_blocking, spawn_local};

/// The only endpoint, as the engine numbers it.
const ENDPOINT: EndpointId = EndpointId(1);
/// Tasks that are always ready. A `LocalSet` runs 61 tasks before it polls the driver again. With more than half as many ready
/// tasks, and fewer than all of them, a call that the driver starts in one turn has passed its request to the HTTP library by
/// the next turn, and the library has not written it yet.
const READY_TASKS: usize = 45;
/// How long a read waits that does not end on its own in a courier with the fault.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A courier on sockets, without a listener.
struct Courier {
    driver: Driver,
    events: Receiver<DriverEvent>,
    sender: EventSender,
    clients: Clients,
    _notices: Receiver<Notice>,
    _world: World,
}

impl Courier {
    /// A courier that knows one endpoint.
    fn new(endpoint: SocketAddr) -> Self {
        let world = World::new("", 1, 3.0);
        world.configure(&world.agent_with_handler(|_, _| {}));
        let mut config = read_config(&world.folder().join("config.json")).unwrap();
        config.known.targets[0].endpoint = endpoint.to_string();
        let parsed_settings = parse_settings_json(&config.settings).unwrap();
        let journal = Journal::open(&world.state_folder(), config.disk_bytes(), Options::default()).unwrap();
        let clock = Clock::new();
        let pool = connection_pool(&parsed_settings.settings, config.limits.sockets, config.seed());
        let trial_duties = TrialDuties::new(parsed_settings.settings.rules.collapse_window, config.seed());
        let start = EngineConfig {
            parsed_settings,
            seed: config.seed(),
            initial_list: config.known.clone(),
            now: clock.now(),
            start_unix_ms: clock.start_unix_ms,
            settings_checksum: config.fingerprint(),
            #[cfg(feature = "broken")]
            fault_injector: Default::default(),
        };
        let (sender, events) = EventSender::channel();
        let (notices, queued_notices) = mpsc::channel(1);
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let limits = ClientLimits { max_connections: 1, max_idle: 1, max_long_requests: 1 };
        let clients = Clients::new(sender.clone(), phase_receiver, limits);
        let channels = DriverChannels { group: None, events: sender.clone(), notices, phase };
        let driver = Driver::new(Engine::new(start, journal), clock, pool, channels, trial_duties);
        Courier { driver, events, sender, clients, _notices: queued_notices, _world: world }
    }

    /// Puts a message without a safe repeat into the queue of events.
    fn enqueue(&self, id: &str) {
        let message = Enqueue {
            id: id.to_owned(),
            order_key: 0,
            class: "salary".to_owned(),
            destination: 1,
            time_left: Duration::from_secs(20),
            idempotency_key: None,
            from_dead_courier: false,
            body: Bytes::from_static(b"x"),
            client: None,
        };
        let sender = self.sender.clone();
        spawn_local(async move { sender.enqueue(message).await });
    }

    /// Runs the courier until the endpoint has received a call, and returns its connection.
    async fn run_until_called(&mut self, listener: TcpListener) -> TcpStream {
        let called = spawn_blocking(move || {
            let mut connection = listener.accept().unwrap().0;
            read_call(&mut connection);
            connection
        });
        let (_requests, mut control_requests) = console::control_channel();
        tokio::select! {
            _ = self.driver.run(&mut self.events, &mut control_requests, &self.clients) => panic!("the courier has ended"),
            connection = called => connection.unwrap(),
        }
    }
}

/// Spawns [`READY_TASKS`] tasks that never end.
fn spawn_ready_tasks() {
    for _ in 0..READY_TASKS {
        spawn_local(poll_fn(|context| {
            context.waker().wake_by_ref();
            Poll::<()>::Pending
        }));
    }
}

/// Guards against a message that is sent twice, by the old and by the new process of an upgrade: a request that the hand-over
/// reported as not sent was written after it, since the HTTP library's task outlives the call's aborted one.
#[test]
fn a_request_that_is_unwritten_at_the_hand_over_is_never_written() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    run(async {
        let mut courier = Courier::new(address);
        let connection = add_idle_connection(&courier.driver.pool, ENDPOINT, address).await;
        let (mut endpoint, _) = listener.accept().unwrap();
        courier.enqueue("a1");
        while courier.events.is_empty() {
            yield_now().await;
        }
        spawn_ready_tasks();
        let stopped = courier.driver.stop(&mut courier.events, &courier.clients).await.unwrap();
        assert_eq!(connection.call_count(), 1, "the call was not started");
        assert!(stopped.state.calls.is_empty(), "the request was written before the hand-over");
        drop(connection);
        let received = spawn_blocking(move || {
            let mut received = String::new();
            endpoint.read_to_string(&mut received).map(|_| received)
        });
        assert_eq!(received.await.unwrap().unwrap(), "");
    });
}

/// Guards against a delivered message that is reported as failed or is sent again: after the hand-over, the old process read the
/// response that the new process was to read.
#[test]
fn a_response_that_arrives_during_the_hand_over_is_left_to_the_next_process() {
    const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    run(async {
        let mut courier = Courier::new(address);
        courier.enqueue("a1");
        let mut endpoint = courier.run_until_called(listener).await;
        spawn_ready_tasks();
        // The courier is notified of the response in the same moment in which it stops.
        endpoint.write_all(RESPONSE).unwrap();
        let mut stopped = courier.driver.stop(&mut courier.events, &courier.clients).await.unwrap();
        // All tasks of the old process run.
        for _ in 0..READY_TASKS {
            yield_now().await;
        }
        assert_eq!(stopped.state.calls.remove(0).response, b"");
        let mut connection = TcpStream::from(stopped.call_connections.remove(0));
        connection.set_nonblocking(false).unwrap();
        connection.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut response = vec![0; RESPONSE.len()];
        connection.read_exact(&mut response).expect("the old process has read the response");
        assert_eq!(response, RESPONSE);
    });
}

/// Guards the order of keys (incident 64b87a) at a hand-over: a call that ended with it stayed open at the endpoint until the
/// old process ran its tasks again, after the new one had begun to serve.
#[test]
fn a_call_that_ends_with_the_hand_over_is_closed_before_its_end_is_reported() {
    // Longer than a response that can be handed over, and not complete.
    const LENGTH: usize = 60_000;
    const SENT: usize = LENGTH / 2;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    run(async {
        let mut courier = Courier::new(address);
        courier.enqueue("a1");
        let mut endpoint = courier.run_until_called(listener).await;
        write!(endpoint, "HTTP/1.1 500 Oops\r\nContent-Length: {LENGTH}\r\n\r\n").unwrap();
        endpoint.write_all(&[b'x'; SENT]).unwrap();
        while courier.driver.in_flight_calls.values().any(|call| call.progress.to_handover().is_some()) {
            yield_now().await;
        }
        let stopped = courier.driver.stop(&mut courier.events, &courier.clients).await.unwrap();
        assert!(stopped.state.calls.is_empty());
        // No task of the old process has run since.
        endpoint.set_read_timeout(Some(TIMEOUT)).unwrap();
        assert_eq!(endpoint.read(&mut [0]).expect("the call is open at the endpoint"), 0);
    });
}
