//! gullcart: a courier that takes messages from clients and delivers them to partners' endpoints.
//!
//! The courier itself is `gullcart-engine`. Here are its sockets: `vocabulary` and `resp` below all; `update_stream`, `wire`, `calls`, `discovery` and
//! `clients` above it, none of which knows the loop; then `driver`, the loop round the engine; `upgrade`, by which all of it moves
//! to another process; `service`, which puts the parts together; then this file.
#![forbid(unsafe_code)]

mod calls;
mod clients;
mod config;
mod console;
mod discovery;
mod driver;
mod group;
mod places;
mod resp;
mod service;
mod update_stream;
mod upgrade;
mod vocabulary;
mod wire;

use gullcart_engine::Reading;
use gullcart_journal::Options;
use gullcart_peers::settings::Settings;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Instant};
use tracing::{error, info, warn};

pub use crate::config::StartError;
use crate::config::{read_config, variable, Config};
use crate::console::Question;
use crate::driver::End;
use crate::group::Place;
use crate::service::{Carried, Move, Service};

/// Names the console's address, before `console` in the configuration: without either there is none.
const CONSOLE: &str = "BALANCER_CONSOLE";
/// Names the operators' file of the journal, where there is one.
const JOURNAL_FILE: &str = "GULLCART_JOURNAL";
/// Names the operators' file of the group, where there is one.
const GROUP_FILE: &str = "GULLCART_GROUP";
/// How long a process whose courier has moved waits for its SIGTERM.
const PAST: Duration = Duration::from_secs(60);

/// Reads the configuration again on each SIGHUP, and the file of the group where there is one. Only where discovery is, and who
/// belongs to the group without a vote, may change in service; a file that cannot be read changes nothing.
async fn follow(
    mut hang_up: Signal,
    path: PathBuf,
    agent: watch::Sender<String>,
    group: Option<(PathBuf, Place)>,
) {
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
        if let Some((path, place)) = &group {
            match Settings::read(path) {
                Ok(settings) => place.follow(settings),
                Err(error) => error!(%error, "the group stays as it was"),
            }
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

/// Answers operators after the courier has moved: what this process counted, and that it takes no clients.
async fn answer_past(questions: &mut mpsc::Receiver<Question>, reading: &Reading, until: Instant) {
    while let Ok(Some(question)) = tokio::time::timeout_at(until, questions.recv()).await {
        if let Question::Figures(reply) = question {
            let _ = reply.send(reading.clone());
        }
        // All else is dropped, which is a no.
    }
}

pub async fn run() -> Result<(), StartError> {
    // Before all else: without a handler the signal would end the process.
    let hang_up = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let state = PathBuf::from(variable("BALANCER_STATE")?);
    let path = PathBuf::from(variable("BALANCER_CONFIG")?);
    // All of it, first: a bad configuration must not take a running courier over.
    let config = read_config(&path)?;
    let options = match std::env::var_os(JOURNAL_FILE) {
        Some(path) => Options::read(Path::new(&path))?,
        None => Options::default(),
    };
    let group = match std::env::var_os(GROUP_FILE) {
        Some(path) => Some(Settings::read(Path::new(&path))?),
        None => None,
    };
    let costs = group.as_ref().map(Place::costs).unwrap_or_default();
    if costs.0 > config.disk() / 2 {
        return Err(StartError::GroupDisk(costs.0, config.disk()));
    }
    let console = open_console(&config).await;
    let (ask, mut questions) = console::questions();
    let (serves, serving) = watch::channel(false);
    let (found, agent) = watch::channel(config.discovery.clone());
    let (end, terminated) = watch::channel(false);
    tokio::task::spawn_local(async move {
        while terminate.recv().await.is_some() {
            end.send_replace(true);
        }
    });
    let place = group.map(|settings| Place::new(settings, &state));
    let file = std::env::var_os(GROUP_FILE).map(PathBuf::from);
    tokio::task::spawn_local(follow(hang_up, path, found, file.zip(place.clone())));
    let service = Service {
        config,
        group_costs: costs,
        state,
        options,
        agent,
        terminated,
        has_console: console.is_some(),
        place,
        #[cfg(feature = "broken")]
        broken: {
            use gullcart_engine::broken::{Broken, VARIABLE};
            Broken::chosen(std::env::var(VARIABLE).ok().as_deref()).map_err(StartError::Broken)?
        },
    };
    if let Some(listener) = console {
        tokio::task::spawn_local(console::serve(listener, ask.clone(), serving));
    }
    let (arrived, journal) = service.take().await?;
    #[cfg(feature = "broken")]
    let journal = journal.answering_early(service.broken.is(gullcart_engine::broken::Fault::EarlyOk));
    let mut given = Vec::new();
    let mut running = match arrived {
        None => service.start(journal, None).await?,
        Some(mut arrived) => {
            let mut baggage = std::mem::take(&mut arrived.baggage);
            given = std::mem::take(&mut baggage.group);
            let carried = Carried { baggage, descriptors: std::mem::take(&mut arrived.descriptors) };
            let running = service.start(journal, Some(carried)).await?;
            if let Err(error) = arrived.serves() {
                // It has given up the lock, and this process has it: there is one owner all the same.
                warn!(%error, "the process before does not hear that this one serves");
            }
            running
        }
    };
    if let Some(place) = &service.place {
        place.take(&given);
        let (place, mut terminated) = (place.clone(), service.terminated.clone());
        // At once, not when the last message is out: others go on with what is held here.
        tokio::task::spawn_local(async move {
            if terminated.wait_for(|is_told| *is_told).await.is_ok() {
                place.leave().await;
            }
        });
    }
    // As long as this process has the courier, not one run of it: who asks while a hand-over fails is heard after it.
    let asked = service.has_console.then(|| {
        let state = service.state.clone();
        tokio::task::spawn_local(async move { upgrade::listen(&state, ask).await })
    });
    loop {
        serves.send_replace(true);
        let stream = match running.run(&mut questions).await? {
            End::Over => {
                if let Some(place) = &service.place {
                    place.left().await;
                }
                return Ok(());
            }
            End::Move(stream) => stream,
        };
        serves.send_replace(false);
        match service.give(running, stream).await? {
            Move::Stays(stays) => running = *stays,
            Move::Done(reading) => {
                // The name is the new process's from here on; who waits in the queue asks there.
                if let Some(asked) = &asked {
                    asked.abort();
                }
                let mut terminated = service.terminated.clone();
                let until = Instant::now() + PAST;
                tokio::select! {
                    _ = timeout(PAST, terminated.wait_for(|is_told| *is_told)) => {}
                    () = answer_past(&mut questions, &reading, until) => {}
                }
                info!("this process ends; its courier goes on in another one");
                return Ok(());
            }
        }
    }
}
