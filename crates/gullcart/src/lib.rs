//! gullcart: a courier that accepts messages from clients and delivers them to partners' endpoints.
//!
//! The decisions are made by the package `gullcart-engine`; this package connects the engine to real sockets. The modules, from
//! the bottom up: `messages` and `resp` depend on no other module; `update_stream`, `tracked_connection`, `calls`, `discovery`
//! and `clients` handle connections and do not know the event loop; `driver` is the event loop around the engine; `upgrade`
//! moves a running courier to another process; `service` assembles the parts; this file starts and ends the process.
#![forbid(unsafe_code)]

mod calls;
mod clients;
mod config;
mod connection_slots;
mod console;
mod discovery;
mod driver;
mod group;
mod messages;
mod resp;
mod service;
mod tracked_connection;
mod update_stream;
mod upgrade;

use gullcart_engine::EngineMetrics;
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
use crate::config::{read_config, required_variable, Config};
use crate::console::ControlRequest;
use crate::driver::LoopExit;
use crate::group::GroupMembership;
use crate::service::{HandedOverCourier, HandoverResult, Service};

/// Environment variable with the console's address. It overrides `console` in the configuration; without both there is no
/// console.
const CONSOLE_VARIABLE: &str = "BALANCER_CONSOLE";
/// Environment variable with the path of the journal's options file, which is optional.
const JOURNAL_FILE_VARIABLE: &str = "GULLCART_JOURNAL";
/// Environment variable with the path of the group's settings file, which is optional.
const GROUP_FILE_VARIABLE: &str = "GULLCART_GROUP";
/// How long a process whose courier was handed over waits for its SIGTERM.
const POST_HANDOVER_WAIT: Duration = Duration::from_secs(60);

/// Reads the configuration, and the group's settings file if there is one, again on each SIGHUP. Only discovery's address and
/// the group's members without a vote can change while the process runs; a file that cannot be read changes nothing.
async fn reload_on_hangup(
    mut hang_up: Signal,
    path: PathBuf,
    discovery_address: watch::Sender<String>,
    group: Option<(PathBuf, GroupMembership)>,
) {
    while hang_up.recv().await.is_some() {
        match read_config(&path) {
            Ok(config) => {
                info!(discovery = config.discovery, "the configuration was read again");
                discovery_address.send_if_modified(|address| {
                    let is_changed = *address != config.discovery;
                    *address = config.discovery;
                    is_changed
                });
            }
            Err(error) => {
                error!(%error, "the new configuration cannot be used; the configuration stays as it was")
            }
        }
        if let Some((path, group)) = &group {
            match Settings::read(path) {
                Ok(settings) => group.apply_settings(settings),
                Err(error) => {
                    error!(%error, "the new settings of the group cannot be used; the group stays as it was")
                }
            }
        }
    }
}

/// Opens the console's listener, if an address is configured. A failure is only logged: clients are served without a console.
async fn open_console(config: &Config) -> Option<TcpListener> {
    let overriding = std::env::var(CONSOLE_VARIABLE).ok().filter(|address| !address.is_empty());
    let address = overriding.or_else(|| config.console.clone())?;
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

/// Answers operators after a hand-over: with the metrics that this process counted, and that it serves no clients.
async fn answer_after_handover(
    control_requests: &mut mpsc::Receiver<ControlRequest>,
    metrics: &EngineMetrics,
    until: Instant,
) {
    while let Ok(Some(request)) = tokio::time::timeout_at(until, control_requests.recv()).await {
        if let ControlRequest::Metrics(reply) = request {
            let _ = reply.send(metrics.clone());
        }
        // Any other request is dropped, which refuses it.
    }
}

/// Runs the daemon until the courier has shut down, or was handed over and this process may end.
pub async fn run() -> Result<(), StartError> {
    // Before anything else: without a handler, SIGHUP and SIGTERM would end the process.
    let hang_up = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let state_folder = PathBuf::from(required_variable("BALANCER_STATE")?);
    let path = PathBuf::from(required_variable("BALANCER_CONFIG")?);
    // Validates all of the configuration first: a process with an invalid one must not take over a running courier.
    let config = read_config(&path)?;
    let options = match std::env::var_os(JOURNAL_FILE_VARIABLE) {
        Some(path) => Options::read(Path::new(&path))?,
        None => Options::default(),
    };
    let group_settings = match std::env::var_os(GROUP_FILE_VARIABLE) {
        Some(path) => Some(Settings::read(Path::new(&path))?),
        None => None,
    };
    let group_resources = group_settings.as_ref().map(GroupMembership::resources).unwrap_or_default();
    if group_resources.disk_bytes > config.disk_bytes() / 2 {
        return Err(StartError::GroupDisk(group_resources.disk_bytes, config.disk_bytes()));
    }
    let console = open_console(&config).await;
    let (requests, mut control_requests) = console::control_channel();
    let (set_serving, serving) = watch::channel(false);
    let (set_discovery_address, discovery_address) = watch::channel(config.discovery.clone());
    let (set_terminated, terminated) = watch::channel(false);
    tokio::task::spawn_local(async move {
        while terminate.recv().await.is_some() {
            set_terminated.send_replace(true);
        }
    });
    let group = group_settings.map(|settings| GroupMembership::new(settings, &state_folder));
    let file = std::env::var_os(GROUP_FILE_VARIABLE).map(PathBuf::from);
    tokio::task::spawn_local(reload_on_hangup(hang_up, path, set_discovery_address, file.zip(group.clone())));
    let service = Service {
        config,
        group_resources,
        state_folder,
        journal_options: options,
        discovery_address,
        terminated,
        has_console: console.is_some(),
        group,
        #[cfg(feature = "broken")]
        broken: {
            use gullcart_engine::broken::{FaultInjector, FAULT_VARIABLE};
            FaultInjector::from_name(std::env::var(FAULT_VARIABLE).ok().as_deref())
                .map_err(StartError::Broken)?
        },
    };
    if let Some(listener) = console {
        tokio::task::spawn_local(console::serve(listener, requests.clone(), serving));
    }
    let (arrived, journal) = service.open_journal().await?;
    #[cfg(feature = "broken")]
    let journal = journal.with_early_ok(service.broken.is_active(gullcart_engine::broken::Fault::EarlyOk));
    let mut group_state = Vec::new();
    let mut running = match arrived {
        None => service.start(journal, None).await?,
        Some(mut arrived) => {
            let mut state = std::mem::take(&mut arrived.state);
            group_state = std::mem::take(&mut state.group_state);
            let handed_over =
                HandedOverCourier { state, descriptors: std::mem::take(&mut arrived.descriptors) };
            let running = service.start(journal, Some(handed_over)).await?;
            if let Err(error) = arrived.confirm_serving() {
                // The courier has one owner all the same: the previous process has released the lock, and this one holds it.
                warn!(%error, "cannot confirm the takeover to the previous process");
            }
            running
        }
    };
    if let Some(group) = &service.group {
        group.join(&group_state);
        let (group, mut terminated) = (group.clone(), service.terminated.clone());
        // Leaves at SIGTERM, not after the last message, so that other members can take over the duties held here at once.
        tokio::task::spawn_local(async move {
            if terminated.wait_for(|is_terminated| *is_terminated).await.is_ok() {
                group.leave().await;
            }
        });
    }
    // Runs as long as this process owns the courier: requests that arrive during a failing hand-over are handled after it.
    let handover_listener = service.has_console.then(|| {
        let state_folder = service.state_folder.clone();
        tokio::task::spawn_local(async move { upgrade::listen(&state_folder, requests).await })
    });
    loop {
        set_serving.send_replace(true);
        let stream = match running.run(&mut control_requests).await? {
            LoopExit::Terminated => {
                if let Some(group) = &service.group {
                    group.wait_until_left().await;
                }
                return Ok(());
            }
            LoopExit::HandOver(stream) => stream,
        };
        set_serving.send_replace(false);
        match service.hand_over(running, stream).await? {
            HandoverResult::Kept(kept) => running = *kept,
            HandoverResult::HandedOver(metrics) => {
                // The name of the hand-over socket belongs to the new process now; processes in the queue of this socket
                // connect again.
                if let Some(task) = &handover_listener {
                    task.abort();
                }
                let mut terminated = service.terminated.clone();
                let until = Instant::now() + POST_HANDOVER_WAIT;
                tokio::select! {
                    _ = timeout(POST_HANDOVER_WAIT, terminated.wait_for(|is_terminated| *is_terminated)) => {}
                    () = answer_after_handover(&mut control_requests, &metrics, until) => {}
                }
                info!("process ends after the hand-over of its courier");
                return Ok(());
            }
        }
    }
}
