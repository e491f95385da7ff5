//! What a courier is told at its start, and how its descriptors are dealt out.

use cloverstile::SettingError;
use gullcart_journal::{JournalError, OptionsError};
use gullcart_message::Update;
use gullcart_peers::settings::SettingsError;
use serde::Deserialize;
use std::ffi::OsString;
use std::path::Path;
use thiserror::Error;

use crate::console;
use crate::driver::IDLE_CONNECTIONS_PER_SLOT;

/// Descriptors kept for files, the runtime, the listener, discovery and notices.
const RESERVED_DESCRIPTORS: usize = 32;

#[derive(Deserialize)]
pub struct Config {
    pub name: String,
    pub listen: String,
    pub console: Option<String>,
    pub discovery: String,
    pub seed: String,
    pub limits: Limits,
    pub known: Update,
    pub settings: serde_json::Value,
}

#[derive(Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
    pub disk_mb: f64,
}

impl Config {
    /// Any text serves as a seed, but two couriers must not act alike.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16)
            .unwrap_or_else(|_| u64::from(crc32fast::hash(self.seed.as_bytes())))
    }

    /// Sum over the settings and the release: books are carried over only between processes that have the same.
    pub fn fingerprint(&self) -> u32 {
        let text = format!("{} {}", env!("CARGO_PKG_VERSION"), self.settings);
        crc32fast::hash(text.as_bytes())
    }

    /// Bytes that the folder may hold.
    pub fn disk_bytes(&self) -> u64 {
        (self.limits.disk_mb * 1e6) as u64
    }
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
    #[error("the configuration: discovery is '{0}', and not an address with a port")]
    Discovery(String),
    #[error(transparent)]
    Journal(#[from] JournalError),
    #[error(transparent)]
    JournalOptions(#[from] OptionsError),
    #[error("the group: {0}")]
    Group(#[from] SettingsError),
    #[error("the group may have {0} bytes (disk_kb), which is more than half of the courier's {1} (limits.disk_mb)")]
    GroupDisk(u64, u64),
    #[cfg(feature = "broken")]
    #[error("{0}")]
    Broken(String),
    #[error("cannot listen at {0}: {1}")]
    Listen(String, std::io::Error),
}

/// How the descriptors are dealt out: each part keeps to its own, and idle connections give way inside it.
pub struct DescriptorBudget {
    pub clients: usize,
    pub endpoints: usize,
}

impl DescriptorBudget {
    /// At most half goes to endpoints: calls out, calls that are ending, and idle connections.
    pub fn split(limit: usize, slots: usize, has_console: bool, group_descriptors: usize) -> Self {
        let console = if has_console { console::DESCRIPTORS } else { 0 };
        let rest = limit.saturating_sub(RESERVED_DESCRIPTORS + console + group_descriptors);
        let endpoints = ((2 + IDLE_CONNECTIONS_PER_SLOT) * slots).min(rest / 2).max(1);
        DescriptorBudget { clients: rest.saturating_sub(endpoints).max(2), endpoints }
    }
}

pub fn required_variable(name: &'static str) -> Result<OsString, StartError> {
    std::env::var_os(name).ok_or(StartError::Variable(name))
}

/// Reads the configuration, and all of its settings: one of which a part cannot be read is none.
pub fn read_config(path: &Path) -> Result<Config, StartError> {
    let config: Config = serde_json::from_slice(&std::fs::read(path)?)?;
    cloverstile::parse_settings_json(&config.settings)?;
    let port = config.discovery.rsplit_once(':').filter(|(host, _)| !host.is_empty()).map(|(_, port)| port);
    if port.and_then(|port| port.parse::<u16>().ok()).is_none() {
        return Err(StartError::Discovery(config.discovery));
    }
    Ok(config)
}
