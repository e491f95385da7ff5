//! gullcart: a courier that takes messages from clients and delivers them to partners' endpoints.
//!
//! The courier itself is `gullcart-engine`. Here are its sockets: `vocabulary` below all; `wire`, `calls`, `discovery` and
//! `clients` above it, none of which knows the loop; then `driver`, the loop round the engine; then this file.
#![forbid(unsafe_code)]

mod calls;
mod clients;
mod console;
mod discovery;
mod driver;
mod vocabulary;
mod wire;

use cloverstile::{parse_settings_json, SettingError};
use gullcart_engine::{CallsForLists, Engine, Input, Start};
use gullcart_journal::{Journal, JournalError, Options, OptionsError};
use gullcart_message::Update;
use serde::Deserialize;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tracing::{error, info};

use crate::clients::ClientLimits;
use crate::driver::{Clock, Driver, Ends, IDLE_OF_SLOTS};
use crate::vocabulary::Inputs;

/// Descriptors kept for files, the runtime, the listener, discovery and notices.
const OTHER_SOCKETS: usize = 32;
/// Clients hold a third of the descriptors at most: half of that may be idle.
const IDLE_OF_SOCKETS: usize = 6;
/// Requests of more than a few KiB, of 68 KiB at most, that are read at a time: an eighth of the memory.
const LONG_REQUESTS_PER_MB: f64 = 2.0;

/// Notices that wait to be told at most; more of them wait with the loop.
const NOTICES: usize = 1024;
/// Sets the chance of calls for lists, and of what is kept, apart from that of decisions.
const IDLE_SEED: u64 = 0x6964_6c65;
const LIST_SEED: u64 = 0x6c69_7374;
/// Names the console's address, before `console` in the configuration: without either there is none.
const CONSOLE: &str = "BALANCER_CONSOLE";
/// Names the operators' file of the journal, where there is one.
const JOURNAL_FILE: &str = "GULLCART_JOURNAL";

#[derive(Deserialize)]
struct Config {
    name: String,
    listen: String,
    console: Option<String>,
    discovery: String,
    seed: String,
    limits: Limits,
    known: Update,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
    disk_mb: f64,
}

#[derive(Debug, Error)]
pub enum StartError {
    #[error("{0} is not set")]
    Variable(&'static str),
    #[error("the configuration: {0}")]
    Read(#[from] std::io::Error),
    #[error("the configuration: {0}")]
    Parse(#[from] serde_json::Error),
    #[error(transparent)]
    Setting(#[from] SettingError),
    #[error(transparent)]
    Journal(#[from] JournalError),
    #[error(transparent)]
    JournalOptions(#[from] OptionsError),
    #[cfg(feature = "broken")]
    #[error("{0}")]
    Broken(String),
    #[error("cannot listen at {0}: {1}")]
    Listen(String, std::io::Error),
}

/// How the descriptors are dealt out: each part keeps to its own, and idle connections give way inside it.
struct Sockets {
    clients: usize,
    endpoints: usize,
}

impl Sockets {
    /// At most half goes to endpoints: calls out, calls that are ending, and idle connections.
    fn deal(limit: usize, slots: usize, has_console: bool) -> Self {
        let console = if has_console { console::SOCKETS } else { 0 };
        let rest = limit.saturating_sub(OTHER_SOCKETS + console);
        let endpoints = ((2 + IDLE_OF_SLOTS) * slots).min(rest / 2).max(1);
        Sockets { clients: rest.saturating_sub(endpoints).max(2), endpoints }
    }
}

fn variable(name: &'static str) -> Result<OsString, StartError> {
    std::env::var_os(name).ok_or(StartError::Variable(name))
}

fn read_config(path: &Path) -> Result<Config, StartError> {
    Ok(serde_json::from_slice(&std::fs::read(path)?)?)
}

/// Reads the configuration again on each SIGHUP. Only where discovery is may change in service; a file that
/// cannot be read changes nothing.
async fn follow(mut hang_up: Signal, path: PathBuf, agent: watch::Sender<String>) {
    while hang_up.recv().await.is_some() {
        match read_config(&path) {
            Ok(config) => {
                info!(discovery = config.discovery, "the configuration was read again");
                agent.send_if_modified(|address| {
                    let other = *address != config.discovery;
                    *address = config.discovery;
                    other
                });
            }
            Err(error) => error!(%error, "the configuration stays as it was"),
        }
    }
}

/// The console's listener, where one is named. Clients are served without it: their messages do not wait for operators.
async fn open_console(config: &Config) -> Option<TcpListener> {
    let named = std::env::var(CONSOLE).ok().filter(|address| !address.is_empty());
    let address = named.or_else(|| config.console.clone())?;
    match TcpListener::bind(&address).await {
        Ok(listener) => {
            let bound = listener.local_addr().map_or(address, |at| at.to_string());
            info!(address = bound, "the console is open");
            Some(listener)
        }
        Err(error) => {
            error!(address, %error, "the console cannot be opened; clients are served without it");
            None
        }
    }
}

pub async fn run() -> Result<(), StartError> {
    // Before all else: without a handler the signal would end the process.
    let hang_up = signal(SignalKind::hangup())?;
    let state = PathBuf::from(variable("BALANCER_STATE")?);
    let path = PathBuf::from(variable("BALANCER_CONFIG")?);
    let config = read_config(&path)?;
    let parsed = parse_settings_json(&config.settings)?;
    #[cfg(feature = "broken")]
    let broken = {
        use gullcart_engine::broken::{Broken, VARIABLE};
        Broken::chosen(std::env::var(VARIABLE).ok().as_deref()).map_err(StartError::Broken)?
    };
    #[cfg(feature = "broken")]
    let parsed = broken.settings(parsed);
    let (slots, couriers) = (parsed.settings.call_slots, parsed.settings.couriers);
    // Any text serves as a seed, but two couriers must not act alike.
    let seed = u64::from_str_radix(&config.seed, 16)
        .unwrap_or_else(|_| u64::from(crc32fast::hash(config.seed.as_bytes())));
    let console = open_console(&config).await;
    let options = match std::env::var_os(JOURNAL_FILE) {
        Some(path) => Options::read(Path::new(&path))?,
        None => Options::default(),
    };
    let journal = Journal::open(&state, (config.limits.disk_mb * 1e6) as u64, options)?;

    #[cfg(feature = "broken")]
    let journal = journal.answering_early(broken.is(gullcart_engine::broken::Fault::EarlyOk));
    let mut terminate = signal(SignalKind::terminate())?;
    let (inputs, events) = Inputs::new();
    let (notices, owed) = mpsc::channel(NOTICES);
    let (closing, closes) = watch::channel(false);
    let sockets = Sockets::deal(config.limits.sockets, slots, console.is_some());
    let pool = driver::pool(&parsed.settings, sockets.endpoints, seed ^ IDLE_SEED);
    let clock = Clock::new();
    let start = Start {
        parsed,
        seed,
        known: config.known,
        now: clock.now(),
        epoch_ms: clock.epoch_ms,
        #[cfg(feature = "broken")]
        broken,
    };
    let engine = Engine::new(start, journal);
    let rev = engine.rev();
    let driver = Driver::new(engine, clock, pool, Ends { inputs: inputs.clone(), notices, closing });

    let clients = ClientLimits {
        connections: sockets.clients,
        idle: (config.limits.sockets / IDLE_OF_SOCKETS).max(1),
        long_requests: (config.limits.memory_mb * LONG_REQUESTS_PER_MB) as usize,
    };
    let (ask, questions) = console::questions();
    let (serves, serving) = watch::channel(false);
    if let Some(listener) = console {
        tokio::task::spawn_local(console::serve(listener, ask.clone(), serving));
    }
    // Clients may come once all that was taken on before has been taken up again.
    let listener = TcpListener::bind(&config.listen)
        .await
        .map_err(|error| StartError::Listen(config.listen.clone(), error))?;
    let address = listener.local_addr()?;
    info!(name = config.name, %address, "listening");
    serves.send_replace(true);
    tokio::task::spawn_local(clients::serve(listener, inputs.clone(), closes, clients));
    let (found, agent) = watch::channel(config.discovery);
    let calls = CallsForLists::new(couriers, seed ^ LIST_SEED);
    tokio::task::spawn_local(discovery::watch(agent.clone(), rev, calls, inputs.clone()));
    tokio::task::spawn_local(discovery::notices(agent, owed, inputs.clone()));
    tokio::task::spawn_local(follow(hang_up, path, found));
    tokio::task::spawn_local(async move {
        while terminate.recv().await.is_some() {
            inputs.tell(Input::Terminate).await;
        }
    });
    Ok(driver.run(events, questions).await?)
}
