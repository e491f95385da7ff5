//! The courier's parts put together, in a process that begins with it or that goes on with that of another.

use cloverstile::{parse_settings_json, MessageId, Time};
use gullcart_engine::{CallsForLists, ConnectionAnswers, Engine, Input, Reading, Start, TrialDuties};
use gullcart_handover::{Act, Baggage, CarriedClient};
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

use crate::calls::CarriedCall;
use crate::clients::{self, Clients, Moved};
use crate::config::{Config, Sockets, StartError};
use crate::console::Question;
use crate::discovery;
use crate::driver::{self, Clock, Driver, End, Ends, Stopped};
use crate::group::Place;
use crate::places::ClientLimits;
use crate::update_stream::LongestList;
use crate::upgrade::{self, Arrived, Asked};
use crate::vocabulary::{Inputs, Told};

/// Clients hold a third of the descriptors at most: half of that may be idle.
const IDLE_OF_SOCKETS: usize = 6;
/// Requests of more than a few KiB, of 68 KiB at most, that are read at a time: an eighth of the memory.
const LONG_REQUESTS_PER_MB: f64 = 2.0;
/// Notices that wait to be told at most; more of them wait with the loop.
const NOTICES: usize = 1024;
/// Sets the chance of calls for lists, and of what is kept, apart from that of decisions.
const IDLE_SEED: u64 = 0x6964_6c65;
const LIST_SEED: u64 = 0x6c69_7374;
const DUTY_SEED: u64 = 0x6475_7479;
const NOTICE_SEED: u64 = 0x6e6f_7465;
/// Connections that wait to be accepted.
const QUEUE: u32 = 1024;
/// How long a process waits for the folder that another one holds, where it may: SIGTERM reaches that one 6 s after this one
/// was started at the latest, and SIGKILL 3.7 s later.
const FOLDER: Duration = Duration::from_secs(15);
const FOLDER_GAP: Duration = Duration::from_millis(20);
/// Between two times that the running process is asked for its courier.
const ASK_GAP: Duration = Duration::from_millis(50);

/// What does not change while the process lives.
pub struct Service {
    pub config: Config,
    pub state: PathBuf,
    /// Bytes of the folder, and descriptors, that are the group's.
    pub group_costs: (u64, usize),
    pub options: Options,
    /// Where discovery is, and whether the process was told to end.
    pub agent: watch::Receiver<String>,
    pub terminated: watch::Receiver<bool>,
    pub has_console: bool,
    /// The courier's place in a group, where it has one.
    pub place: Option<Place>,
    #[cfg(feature = "broken")]
    pub broken: gullcart_engine::broken::Broken,
}

/// A courier that came from another process, or that stays in this one after all.
pub struct Carried {
    pub baggage: Baggage,
    pub descriptors: Vec<OwnedFd>,
}

/// A courier at work.
pub struct Running {
    driver: Driver,
    events: mpsc::Receiver<Told>,
    clients: Clients,
    /// The same listener, for a process that comes after.
    listener: Option<OwnedFd>,
    /// Tasks that end with this courier.
    tasks: Vec<AbortHandle>,
}

/// What became of a courier that was asked for.
pub enum Move {
    /// It is in the other process; what this one counted.
    Done(Box<Reading>),
    /// It is still here.
    Stays(Box<Running>),
}

impl Service {
    /// The folder's journal, and the courier of the process that runs on it where one comes over. While another process has
    /// the folder and gives nothing, it is asked again: it may be giving its courier to a third one, and go on after all.
    pub async fn take(&self) -> Result<(Option<Box<Arrived>>, Journal<Folder>), StartError> {
        let until = Instant::now() + FOLDER;
        let mut arrived = None;
        let mut next_ask = self.has_console.then(Instant::now);
        let mut is_told = false;
        loop {
            if next_ask.is_some_and(|at| at <= Instant::now()) {
                next_ask = Some(Instant::now() + ASK_GAP);
                match self.ask().await {
                    Ok(Asked::Nobody) => {}
                    Ok(Asked::Arrived(courier)) => (arrived, next_ask) = (Some(courier), None),
                    Err(error) => {
                        warn!(%error, "the courier of the running process does not come over; waiting for its end");
                        next_ask = None;
                    }
                }
            }
            match Journal::open(&self.state, self.disk(), self.options) {
                Err(JournalError::Folder(error))
                    if self.has_console
                        && error.kind() == std::io::ErrorKind::ResourceBusy
                        && Instant::now() < until =>
                {
                    if !is_told && arrived.is_none() {
                        info!("another process holds the folder; waiting for its courier or its end");
                        is_told = true;
                    }
                    sleep(FOLDER_GAP).await;
                }
                opened => return Ok((arrived, opened?)),
            }
        }
    }

    /// Bytes that the journal may have.
    fn disk(&self) -> u64 {
        self.config.disk().saturating_sub(self.group_costs.0)
    }

    /// Begins a courier, or goes on with one that was carried over.
    pub async fn start(
        &self,
        journal: Journal<Folder>,
        carried: Option<Carried>,
    ) -> Result<Running, StartError> {
        let config = &self.config;
        let parsed = parse_settings_json(&config.settings)?;
        #[cfg(feature = "broken")]
        let parsed = self.broken.settings(parsed);
        let (slots, couriers, seed) = (parsed.settings.call_slots, parsed.settings.couriers, config.seed());
        let grace = parsed.settings.rules.drain_grace;
        let duties = TrialDuties::new(parsed.settings.rules.fall, seed ^ DUTY_SEED);
        let sockets = Sockets::deal(config.limits.sockets, slots, self.has_console, self.group_costs.1);
        let pool = driver::pool(&parsed.settings, sockets.endpoints, seed ^ IDLE_SEED);
        #[cfg(feature = "broken")]
        pool.believe_copies(self.broken.is(gullcart_engine::broken::Fault::BelievesCopies));
        let Carried { baggage, descriptors } =
            carried.unwrap_or(Carried { baggage: Baggage::default(), descriptors: Vec::new() });
        let is_carried = !baggage.books.is_empty();
        let clock = match is_carried {
            true => Clock::resumed(baggage.epoch_ms, Time(baggage.stopped_ns)),
            false => Clock::new(),
        };
        let start = Start {
            parsed,
            seed,
            known: config.known.clone(),
            now: clock.now(),
            epoch_ms: clock.epoch_ms,
            fingerprint: config.fingerprint(),
            #[cfg(feature = "broken")]
            broken: self.broken.clone(),
        };
        let (engine, are_calls_known) = match is_carried {
            true => match Engine::resume(start, journal, &baggage.books) {
                (engine, Ok(())) => (engine, true),
                (engine, Err(error)) => {
                    warn!(%error, "the books of the process before are left; the courier starts from its journal");
                    (engine, false)
                }
            },
            false => (Engine::new(start, journal), false),
        };
        let mut descriptors = descriptors.into_iter();
        let carried_listener = if baggage.has_listener { descriptors.next() } else { None };
        let connections: Vec<OwnedFd> = descriptors.by_ref().take(baggage.clients.len()).collect();
        let calls: Vec<_> = baggage
            .calls
            .into_iter()
            .zip(descriptors)
            .filter(|_| are_calls_known)
            .filter_map(|(carried, connection)| {
                let try_for = Duration::from_micros(carried.try_for_us);
                let call = engine.call(MessageId(carried.message), try_for)?;
                let stream = std::net::TcpStream::from(connection);
                stream.set_nonblocking(true).ok()?;
                let elapsed = Duration::from_micros(carried.elapsed_us);
                let earlier = ConnectionAnswers::carried_over(&carried.earlier_answers);
                Some((call, CarriedCall { stream: Some(stream), answer: carried.answer, earlier, elapsed }))
            })
            .collect();

        let (inputs, events) = Inputs::new();
        let (notices, owed) = mpsc::channel(NOTICES);
        let (phase, phases) = watch::channel(clients::Phase::Serving);
        let rev = engine.rev();
        let ends = Ends { place: self.place.clone(), inputs: inputs.clone(), notices, phase };
        let mut driver = Driver::new(engine, clock, pool, ends, duties);
        driver.go_on(calls);
        let limits = ClientLimits {
            connections: sockets.clients,
            idle: (config.limits.sockets / IDLE_OF_SOCKETS).max(1),
            long_requests: (config.limits.memory_mb * LONG_REQUESTS_PER_MB) as usize,
        };
        let clients = Clients::new(inputs.clone(), phases, limits);
        for (about, connection) in baggage.clients.into_iter().zip(connections) {
            let CarriedClient { is_fresh, unread } = about;
            let moved = Moved { stream: connection.into(), is_fresh, unread };
            if let Err(error) = moved.stream.set_nonblocking(true).and_then(|()| clients.take_over(moved)) {
                warn!(%error, "a client's connection did not come over");
            }
        }

        // Clients may come once all that was taken on before has been taken up again.
        let (listener, address) = self
            .listen(carried_listener)
            .map_err(|error| StartError::Listen(config.listen.clone(), error))?;
        let copy = std::os::fd::AsFd::as_fd(&listener).try_clone_to_owned().ok().filter(|_| self.has_console);
        info!(name = config.name, %address, "listening");
        let mut tasks = vec![tokio::task::spawn_local(clients::serve(listener, clients.clone()))];
        let calls = CallsForLists::new(couriers, grace, seed ^ LIST_SEED);
        tasks.push(tokio::task::spawn_local(discovery::watch(
            self.agent.clone(),
            rev,
            calls,
            inputs.clone(),
            LongestList::for_memory(config.limits.memory_mb),
        )));
        let chance = fastrand::Rng::with_seed(seed ^ NOTICE_SEED);
        tasks.push(tokio::task::spawn_local(discovery::notices(
            self.agent.clone(),
            owed,
            inputs.clone(),
            chance,
        )));
        let mut terminated = self.terminated.clone();
        tasks.push(tokio::task::spawn_local(async move {
            if terminated.wait_for(|is_told| *is_told).await.is_ok() {
                inputs.tell(Input::Terminate).await;
            }
        }));
        let tasks = tasks.iter().map(|task| task.abort_handle()).collect();
        Ok(Running { driver, events, clients, listener: copy, tasks })
    }

    /// The listener that came over, where it is that of the configuration; else one of its own.
    fn listen(&self, carried: Option<OwnedFd>) -> std::io::Result<(TcpListener, SocketAddr)> {
        let named = self.config.listen.parse::<SocketAddr>().ok();
        if let Some(carried) = carried {
            let listener = std::net::TcpListener::from(carried);
            listener.set_nonblocking(true)?;
            let address = listener.local_addr()?;
            if named.is_none_or(|named| named == address || named.port() == 0) {
                return Ok((TcpListener::from_std(listener)?, address));
            }
        }
        let listener = match named {
            Some(address) => {
                let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
                socket.set_reuseaddr(true)?;
                // A version that comes after may be unable to take the listener over.
                if self.has_console {
                    socket.set_reuseport(true)?;
                }
                socket.bind(address)?;
                socket.listen(QUEUE)?
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

    /// Stops the courier and gives it to a process that asks; where that fails it goes on here.
    pub async fn give(&self, running: Running, stream: UnixStream) -> Result<Move, StartError> {
        let Running { driver, mut events, clients, listener, tasks } = running;
        tasks.iter().for_each(AbortHandle::abort);
        let began = Instant::now();
        let Stopped { engine, mut baggage, calls, reading } = driver.stop(&mut events, &clients).await?;
        if let Some(place) = &self.place {
            baggage.group = place.give().await;
        }
        baggage.has_listener = listener.is_some();
        let mut descriptors: Vec<OwnedFd> = listener.into_iter().collect();
        for Moved { stream, is_fresh, unread } in clients.given_up() {
            baggage.clients.push(CarriedClient { is_fresh, unread });
            descriptors.push(stream.into());
        }
        descriptors.extend(calls);
        let (of_clients, of_calls) = (baggage.clients.len(), baggage.calls.len());
        let mut engine = Some(engine);
        let act = upgrade::give(stream, &baggage, &descriptors, || drop(engine.take()));
        let took = began.elapsed();
        if act == Act::Finish {
            info!(?took, of_clients, of_calls, "the courier has moved to another process");
            return Ok(Move::Done(Box::new(reading)));
        }
        // Its lock goes with it, and is taken again: whoever has it meanwhile is the owner.
        drop(engine);
        match Journal::open(&self.state, self.disk(), self.options) {
            Ok(journal) => {
                if let Some(place) = &self.place {
                    // In the same life, unless the other process began to live it.
                    place.take(&std::mem::take(&mut baggage.group));
                }
                let carried = Carried { baggage, descriptors };
                Ok(Move::Stays(Box::new(self.start(journal, Some(carried)).await?)))
            }
            Err(error) => {
                error!(%error, "the folder belongs to another process by now");
                Ok(Move::Done(Box::new(reading)))
            }
        }
    }

    /// Asks the process that runs on the same folder for its courier, and accepts it.
    async fn ask(&self) -> Result<Asked, upgrade::MoveError> {
        let state = self.state.clone();
        // On a thread of its own: the console answers meanwhile.
        let asked = tokio::task::spawn_blocking(move || {
            let mut asked = Arrived::ask(&state)?;
            if let Asked::Arrived(arrived) = &mut asked {
                arrived.own()?;
            }
            Ok(asked)
        });
        asked.await.unwrap_or_else(|error| Err(std::io::Error::other(error).into()))
    }
}

impl Running {
    /// Works until the process is to end, or another one asks for the courier.
    pub async fn run(&mut self, questions: &mut mpsc::Receiver<Question>) -> Result<End, JournalError> {
        self.driver.run(&mut self.events, questions, &self.clients).await
    }
}
