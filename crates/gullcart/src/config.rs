//! The courier's configuration, and how its descriptors are divided.

use cloverstile::SettingError;
use gullcart_journal::{JournalError, OptionsError};
use gullcart_message::ListingUpdate;
use gullcart_peers::settings::SettingsError;
use serde::Deserialize;
use std::ffi::OsString;
use std::path::Path;
use thiserror::Error;

use crate::console;
use crate::driver::IDLE_CONNECTIONS_PER_SLOT;

/// Descriptors reserved for files, the runtime, the listener, discovery and notices.
const RESERVED_DESCRIPTORS: usize = 32;

/// The configuration file. The fields have the names of its keys.
#[derive(Deserialize)]
pub struct Config {
    /// Name of the courier, for the log.
    pub name: String,
    /// Address on which clients are served.
    pub listen: String,
    /// Address of the operators' console, if there is to be one.
    pub console: Option<String>,
    /// Address of discovery's agent.
    pub discovery: String,
    /// Seed of the random decisions.
    pub seed: String,
    /// Limits on the process's resources.
    pub limits: Limits,
    /// The list of endpoints known when the file was written.
    pub known: ListingUpdate,
    /// The settings, read by the package `cloverstile`.
    pub settings: serde_json::Value,
}

/// Limits on the process's resources.
#[derive(Deserialize)]
pub struct Limits {
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// Number of open descriptors.
    pub sockets: usize,
    /// Size of the state folder in megabytes.
    pub disk_mb: f64,
}

impl Config {
    /// The seed of the courier. Text that is not hexadecimal is hashed, so that couriers with different seeds act differently.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16)
            .unwrap_or_else(|_| u64::from(crc32fast::hash(self.seed.as_bytes())))
    }

    /// Checksum of the settings and the release: state is handed over only between processes with the same one.
    pub fn fingerprint(&self) -> u32 {
        let text = format!("{} {}", env!("CARGO_PKG_VERSION"), self.settings);
        crc32fast::hash(text.as_bytes())
    }

    /// Limit on the size of the state folder.
    pub fn disk_bytes(&self) -> u64 {
        (self.limits.disk_mb * 1e6) as u64
    }
}

/// Why the daemon cannot start, or why a configuration is invalid.
#[derive(Debug, Error)]
pub enum StartError {
    /// A required environment variable is not set.
    #[error("{0} is not set")]
    Variable(&'static str),
    /// A file, a signal or a socket cannot be used.
    #[error("the configuration: {0}")]
    Read(#[from] std::io::Error),
    /// The configuration file is not valid JSON of the expected format.
    #[error("the configuration: {0}")]
    Parse(#[from] serde_json::Error),
    /// A setting is invalid.
    #[error(transparent)]
    Setting(#[from] SettingError),
    /// The address of discovery's agent is invalid.
    #[error("the configuration: discovery is '{0}', which is not an address with a port")]
    Discovery(String),
    /// The journal cannot be opened or written.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The options file of the journal is invalid.
    #[error(transparent)]
    JournalOptions(#[from] OptionsError),
    /// The settings file of the group is invalid.
    #[error("the group: {0}")]
    Group(#[from] SettingsError),
    /// The group's limit, in bytes, is too large for the limit of the state folder.
    #[error(
        "the group's limit of {0} bytes (disk_kb) is more than half of the courier's {1} (limits.disk_mb)"
    )]
    GroupDisk(u64, u64),
    /// The name of the fault to be injected is unknown.
    #[cfg(feature = "broken")]
    #[error("{0}")]
    Broken(String),
    /// The clients' address cannot be used.
    #[error("cannot listen at {0}: {1}")]
    Listen(String, std::io::Error),
}

/// How the descriptors are divided. Each part stays within its own share, and closes idle connections for new ones.
pub struct DescriptorBudget {
    /// Descriptors of clients' connections.
    pub clients: usize,
    /// Descriptors of connections to endpoints.
    pub endpoints: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors. At most half of the rest goes to endpoints: calls in flight, calls being closed, and idle
    /// connections.
    pub fn split(limit: usize, slots: usize, has_console: bool, group_descriptors: usize) -> Self {
        let console = if has_console { console::DESCRIPTORS } else { 0 };
        let rest = limit.saturating_sub(RESERVED_DESCRIPTORS + console + group_descriptors);
        let endpoints = ((2 + IDLE_CONNECTIONS_PER_SLOT) * slots).min(rest / 2).max(1);
        DescriptorBudget { clients: rest.saturating_sub(endpoints).max(2), endpoints }
    }
}

/// The value of an environment variable that must be set.
pub fn required_variable(name: &'static str) -> Result<OsString, StartError> {
    std::env::var_os(name).ok_or(StartError::Variable(name))
}

/// Reads and validates the configuration with all of its settings.
pub fn read_config(path: &Path) -> Result<Config, StartError> {
    let config: Config = serde_json::from_slice(&std::fs::read(path)?)?;
    cloverstile::parse_settings_json(&config.settings)?;
    let port = config.discovery.rsplit_once(':').filter(|(host, _)| !host.is_empty()).map(|(_, port)| port);
    if port.and_then(|port| port.parse::<u16>().ok()).is_none() {
        return Err(StartError::Discovery(config.discovery));
    }
    Ok(config)
}
