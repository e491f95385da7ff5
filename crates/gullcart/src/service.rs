//! Assembles the courier's parts, either with a fresh courier or with one that was handed over by another process.

use cloverstile::{parse_settings_json, MessageId, Time};
use gullcart_engine::{
    ConnectionAnswers, DiscoveryBackoff, Engine, EngineConfig, EngineMetrics, Input, TrialDuties,
};
use gullcart_handover::{pause_limit, HandoverAction, HandoverClient, HandoverState, RequestSchedule};
use gullcart_journal::{Folder, Journal, JournalError, Options};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep, Instant};
use tracing::{error, info, warn};

use crate::calls::ResumedCall;
use crate::clients::{self, Clients, HandedOverClient};
use crate::config::{Config, DescriptorBudget, StartError};
use crate::connection_slots::ClientLimits;
use crate::console::ControlRequest;
use crate::discovery;
use crate::driver::{self, Clock, Driver, DriverChannels, LoopExit, StoppedCourier};
use crate::group::{GroupMembership, GroupResources};
use crate::messages::{DriverEvent, EventSender};
use crate::update_stream::MaxListBytes;
use crate::upgrade::{self, ArrivedCourier, RequestOutcome};

/// The limit of descriptors divided by this is the number of client connections that may be idle: clients open at most a third
/// of the limit, and half of these may be idle.
const IDLE_CLIENTS_DIVISOR: usize = 6;
/// Long requests that may be read at the same time, for each MB of memory. A request has at most 68 KiB, so together they take
/// at most an eighth of the memory.
const LONG_REQUESTS_PER_MB: f64 = 2.0;
/// Capacity of the queue of notices to be sent; further ones stay with the driver.
const MAX_QUEUED_NOTICES: usize = 1024;
/// Combined with the seed for the choice of connections that are kept idle. This and the following masks make the random
/// sequences independent of each other and of the engine's decisions.
const IDLE_SEED_MASK: u64 = 0x6964_6c65;
/// Combined with the seed for the times of requests to discovery.
const LIST_SEED_MASK: u64 = 0x6c69_7374;
/// Combined with the seed for the requests for trial duties.
const DUTY_SEED_MASK: u64 = 0x6475_7479;
/// Combined with the seed for the backoff between attempts to send notices.
const NOTICE_SEED_MASK: u64 = 0x6e6f_7465;
/// Length of the queue of connections to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// How long a process with a console waits for a folder that another process holds. On an upgrade, the old process gets SIGTERM
/// at most 6 s after the start of the new one, and SIGKILL 3.7 s after that.
const FOLDER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two attempts to open the folder.
const FOLDER_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The parts of the daemon that last as long as the process.
pub struct Service {
    /// The configuration as read at the start.
    pub config: Config,
    /// The folder of the journal and of the group's state.
    pub state_folder: PathBuf,
    /// What the group takes from the limits of the configuration.
    pub group_resources: GroupResources,
    /// Options of the journal.
    pub journal_options: Options,
    /// The current address of discovery's agent.
    pub discovery_address: watch::Receiver<String>,
    /// True once the process was asked to shut down.
    pub terminated: watch::Receiver<bool>,
    /// Whether the process has a console. Only such a process hands its courier over or takes one over.
    pub has_console: bool,
    /// The courier's membership in a group, if it has one.
    pub group: Option<GroupMembership>,
    /// The injected fault, for tests.
    #[cfg(feature = "broken")]
    pub broken: gullcart_engine::broken::FaultInjector,
}

/// A courier that was handed over by another process, or that stays after a failed hand-over.
pub struct HandedOverCourier {
    /// Its state.
    pub state: HandoverState,
    /// Its descriptors: the listener if there is one, then those of clients, then those of calls.
    pub descriptors: Vec<OwnedFd>,
}

/// A courier in service.
pub struct RunningCourier {
    driver: Driver,
    events: mpsc::Receiver<DriverEvent>,
    clients: Clients,
    /// A duplicate of the listener, for a hand-over.
    listener_copy: Option<OwnedFd>,
    /// Tasks that are aborted when this courier is handed over.
    tasks: Vec<AbortHandle>,
}

/// The result of a hand-over.
pub enum HandoverResult {
    /// The courier no longer runs in this process: it was handed over, or its folder belongs to another process after a failed
    /// hand-over. The metrics are those that this process counted.
    HandedOver(Box<EngineMetrics>),
    /// The hand-over failed, and the courier runs in this process.
    Kept(Box<RunningCourier>),
}

impl Service {
    /// Opens the journal, and first takes the courier over from a running process if that is possible. While another process
    /// holds the folder and hands nothing over, it is asked repeatedly: it may be in a hand-over to a third process, which can
    /// fail.
    pub async fn open_journal(&self) -> Result<(Option<Box<ArrivedCourier>>, Journal<Folder>), StartError> {
        let started_at = Instant::now();
        let mut arrived = None;
        let mut requests = RequestSchedule::new(self.has_console);
        let mut is_waiting_logged = false;
        loop {
            if requests.is_due(started_at.elapsed()) {
                match self.request_courier().await {
                    Ok(RequestOutcome::Unavailable) => requests.record_unavailable(started_at.elapsed()),
                    Ok(RequestOutcome::Arrived(courier)) => {
                        arrived = Some(courier);
                        requests.stop();
                    }
                    Err(error) if error.is_transient() => {
                        warn!(%error, "cannot take over from the running process; asking again later");
                        requests.record_failure(started_at.elapsed());
                    }
                    Err(error) => {
                        warn!(%error, "cannot take over from the running process; waiting for it to end");
                        requests.stop();
                    }
                }
            }
            let opened = Journal::open(&self.state_folder, self.journal_disk_bytes(), self.journal_options);
            // With the lock held, if it is. Otherwise, descriptors of connections that the other process goes on with are closed
            // here, or its clients and endpoints would not notice when it closes them.
            if arrived.take_if(|courier| courier.is_withdrawn()).is_some() {
                warn!("the previous process took its courier back, or has ended");
                requests.record_failure(started_at.elapsed());
            }
            match opened {
                Err(JournalError::Folder(error))
                    if self.has_console
                        && error.kind() == std::io::ErrorKind::ResourceBusy
                        && started_at.elapsed() < FOLDER_TIMEOUT =>
                {
                    if !is_waiting_logged && arrived.is_none() {
                        info!("another process holds the folder; waiting for a hand-over or its end");
                        is_waiting_logged = true;
                    }
                    sleep(FOLDER_RETRY_INTERVAL).await;
                }
                opened => return Ok((arrived, opened?)),
            }
        }
    }

    /// Limit on the size of the journal.
    fn journal_disk_bytes(&self) -> u64 {
        self.config.disk_bytes().saturating_sub(self.group_resources.disk_bytes)
    }

    /// Starts a courier, or resumes one that was handed over.
    pub async fn start(
        &self,
        journal: Journal<Folder>,
        handed_over: Option<HandedOverCourier>,
    ) -> Result<RunningCourier, StartError> {
        let config = &self.config;
        let parsed = parse_settings_json(&config.settings)?;
        #[cfg(feature = "broken")]
        let parsed = self.broken.apply_to_settings(parsed);
        let (slots, couriers, seed) = (parsed.settings.call_slots, parsed.settings.couriers, config.seed());
        let drain_grace = parsed.settings.rules.drain_grace;
        let trial_duties = TrialDuties::new(parsed.settings.rules.collapse_window, seed ^ DUTY_SEED_MASK);
        let budget = DescriptorBudget::split(
            config.limits.sockets,
            slots,
            self.has_console,
            self.group_resources.descriptors,
        );
        let pool = driver::connection_pool(&parsed.settings, budget.endpoints, seed ^ IDLE_SEED_MASK);
        #[cfg(feature = "broken")]
        pool.accept_copies(self.broken.is_active(gullcart_engine::broken::Fault::BelievesCopies));
        let HandedOverCourier { state, descriptors } = handed_over
            .unwrap_or(HandedOverCourier { state: HandoverState::default(), descriptors: Vec::new() });
        let is_handed_over = !state.engine_state.is_empty();
        let clock = match is_handed_over {
            true => Clock::resumed(state.clock_epoch_ms, Time(state.stopped_at_ns)),
            false => Clock::new(),
        };
        let start = EngineConfig {
            parsed_settings: parsed,
            seed,
            initial_list: config.known.clone(),
            now: clock.now(),
            start_unix_ms: clock.start_unix_ms,
            settings_checksum: config.fingerprint(),
            #[cfg(feature = "broken")]
            fault_injector: self.broken.clone(),
        };
        let (engine, is_state_resumed) = match is_handed_over {
            true => match Engine::resume(start, journal, &state.engine_state) {
                (engine, Ok(())) => (engine, true),
                (engine, Err(error)) => {
                    warn!(%error, "cannot use the state of the previous process; the courier starts from its journal");
                    (engine, false)
                }
            },
            false => (Engine::new(start, journal), false),
        };
        let mut descriptors = descriptors.into_iter();
        let handed_over_listener = if state.has_listener { descriptors.next() } else { None };
        let connections: Vec<OwnedFd> = descriptors.by_ref().take(state.clients.len()).collect();
        let calls: Vec<_> = state
            .calls
            .into_iter()
            .zip(descriptors)
            .filter(|_| is_state_resumed)
            .filter_map(|(handed_over, connection)| {
                let timeout = Duration::from_micros(handed_over.timeout_us);
                let call = engine.in_flight_call(MessageId(handed_over.message), timeout)?;
                let stream = std::net::TcpStream::from(connection);
                stream.set_nonblocking(true).ok()?;
                let elapsed = Duration::from_micros(handed_over.elapsed_us);
                let earlier_answers =
                    ConnectionAnswers::from_fingerprints(&handed_over.earlier_response_hashes);
                Some((
                    call,
                    ResumedCall {
                        stream: Some(stream),
                        response_bytes: handed_over.response,
                        earlier_answers,
                        elapsed,
                    },
                ))
            })
            .collect();

        let (event_sender, events) = EventSender::channel();
        let (notices, queued_notices) = mpsc::channel(MAX_QUEUED_NOTICES);
        let (phase, phase_receiver) = watch::channel(clients::Phase::Serving);
        let rev = engine.list_revision();
        let channels =
            DriverChannels { group: self.group.clone(), events: event_sender.clone(), notices, phase };
        let mut driver = Driver::new(engine, clock, pool, channels, trial_duties);
        driver.resume_calls(calls);
        let limits = ClientLimits {
            max_connections: budget.clients,
            max_idle: (config.limits.sockets / IDLE_CLIENTS_DIVISOR).max(1),
            max_long_requests: (config.limits.memory_mb * LONG_REQUESTS_PER_MB) as usize,
        };
        let clients = Clients::new(event_sender.clone(), phase_receiver, limits);
        for (handed_over, connection) in state.clients.into_iter().zip(connections) {
            let HandoverClient { is_fresh, unprocessed } = handed_over;
            let client =
                HandedOverClient { stream: connection.into(), is_new: is_fresh, unread_bytes: unprocessed };
            if let Err(error) = client.stream.set_nonblocking(true).and_then(|()| clients.adopt(client)) {
                warn!(%error, "cannot take over a client's connection");
            }
        }

        // Listens only after the messages accepted earlier were restored.
        let (listener, address) = self
            .listen(handed_over_listener)
            .map_err(|error| StartError::Listen(config.listen.clone(), error))?;
        let listener_copy =
            std::os::fd::AsFd::as_fd(&listener).try_clone_to_owned().ok().filter(|_| self.has_console);
        info!(name = config.name, %address, "listening");
        let mut tasks = vec![tokio::task::spawn_local(clients::serve(listener, clients.clone()))];
        let pacing = DiscoveryBackoff::new(couriers, drain_grace, seed ^ LIST_SEED_MASK);
        tasks.push(tokio::task::spawn_local(discovery::watch(
            self.discovery_address.clone(),
            rev,
            pacing,
            event_sender.clone(),
            MaxListBytes::for_memory(config.limits.memory_mb),
        )));
        let rng = fastrand::Rng::with_seed(seed ^ NOTICE_SEED_MASK);
        tasks.push(tokio::task::spawn_local(discovery::notices(
            self.discovery_address.clone(),
            queued_notices,
            event_sender.clone(),
            rng,
        )));
        let mut terminated = self.terminated.clone();
        tasks.push(tokio::task::spawn_local(async move {
            if terminated.wait_for(|is_terminated| *is_terminated).await.is_ok() {
                event_sender.send(Input::Terminate).await;
            }
        }));
        let tasks = tasks.iter().map(|task| task.abort_handle()).collect();
        Ok(RunningCourier { driver, events, clients, listener_copy, tasks })
    }

    /// Uses the listener that was handed over, if it has the configured address; otherwise opens one.
    fn listen(&self, handed_over: Option<OwnedFd>) -> std::io::Result<(TcpListener, SocketAddr)> {
        let configured = self.config.listen.parse::<SocketAddr>().ok();
        if let Some(handed_over) = handed_over {
            let listener = std::net::TcpListener::from(handed_over);
            listener.set_nonblocking(true)?;
            let address = listener.local_addr()?;
            if configured.is_none_or(|configured| configured == address || configured.port() == 0) {
                return Ok((TcpListener::from_std(listener)?, address));
            }
        }
        let listener = match configured {
            Some(address) => {
                let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
                socket.set_reuseaddr(true)?;
                // A later release may be unable to use this listener, and then binds the address beside it.
                if self.has_console {
                    socket.set_reuseport(true)?;
                }
                socket.bind(address)?;
                socket.listen(LISTEN_BACKLOG)?
            }
            None => {
                let listener = std::net::TcpListener::bind(&self.config.listen)?;
                listener.set_nonblocking(true)?;
                TcpListener::from_std(listener)?
            }
        };
        let address = listener.local_addr()?;
        Ok((listener, address))
    }

    /// Stops the courier and hands it over to the process that asks for it. If that fails, the courier is resumed here.
    pub async fn hand_over(
        &self,
        running: RunningCourier,
        stream: UnixStream,
    ) -> Result<HandoverResult, StartError> {
        let RunningCourier { driver, mut events, clients, listener_copy, tasks } = running;
        tasks.iter().for_each(AbortHandle::abort);
        let started_at = Instant::now();
        let StoppedCourier { engine, mut state, call_connections, last_metrics } =
            driver.stop(&mut events, &clients).await?;
        if let Some(group) = &self.group {
            state.group_state = group.hand_over().await;
        }
        state.has_listener = listener_copy.is_some();
        let mut descriptors: Vec<OwnedFd> = listener_copy.into_iter().collect();
        for HandedOverClient { stream, is_new, unread_bytes } in clients.take_handed_over() {
            state.clients.push(HandoverClient { is_fresh: is_new, unprocessed: unread_bytes });
            descriptors.push(stream.into());
        }
        descriptors.extend(call_connections);
        let (client_count, call_count) = (state.clients.len(), state.calls.len());
        let (held_messages, _) = engine.load();
        let deadline = (started_at + pause_limit(held_messages)).into_std();
        let mut engine = Some(engine);
        let action = upgrade::hand_over(stream, &state, &descriptors, deadline, || drop(engine.take()));
        let took = started_at.elapsed();
        if action == HandoverAction::Finish {
            info!(
                ?took,
                of_clients = client_count,
                of_calls = call_count,
                "the courier was handed over to another process"
            );
            return Ok(HandoverResult::HandedOver(Box::new(last_metrics)));
        }
        // Reopens the journal. The lock was released for the hand-over, or is released here; if another process has taken it in
        // the meantime, the courier belongs to that process.
        drop(engine);
        match Journal::open(&self.state_folder, self.journal_disk_bytes(), self.journal_options) {
            Ok(journal) => {
                if let Some(group) = &self.group {
                    // In the same incarnation, unless the other process has started a new one.
                    group.join(&std::mem::take(&mut state.group_state));
                }
                let handed_over = HandedOverCourier { state, descriptors };
                Ok(HandoverResult::Kept(Box::new(self.start(journal, Some(handed_over)).await?)))
            }
            Err(error) => {
                error!(%error, "cannot reopen the journal after the failed hand-over; another process may own the folder");
                Ok(HandoverResult::HandedOver(Box::new(last_metrics)))
            }
        }
    }

    /// Asks the process that holds the folder for its courier, and accepts it.
    async fn request_courier(&self) -> Result<RequestOutcome, upgrade::HandoverError> {
        let state_folder = self.state_folder.clone();
        // Blocking, so on a thread of its own: the console answers meanwhile.
        let task = tokio::task::spawn_blocking(move || {
            let mut outcome = ArrivedCourier::request(&state_folder)?;
            if let RequestOutcome::Arrived(arrived) = &mut outcome {
                arrived.accept()?;
            }
            Ok(outcome)
        });
        task.await.unwrap_or_else(|error| Err(std::io::Error::other(error).into()))
    }
}

impl RunningCourier {
    /// Runs until the courier has shut down or another process asks for it.
    pub async fn run(
        &mut self,
        control_requests: &mut mpsc::Receiver<ControlRequest>,
    ) -> Result<LoopExit, JournalError> {
        self.driver.run(&mut self.events, control_requests, &self.clients).await
    }
}
