//! The folder of a daemon under measurement: its configuration, and the state that outlasts it.

use super::error::MeasureError;
use serde_json::{json, Value};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The class of all messages here: unsafe to repeat, and in no order.
pub const CLASS: &str = "payment";
/// Far longer than any run: nothing ends by its time.
const AIM: Duration = Duration::from_secs(3600);
const DEADLINE: Duration = Duration::from_secs(8 * 3600);
const KIND: &str = "bank";
const ZONE: &str = "here";
/// Calls a second that each endpoint is said to take.
const CALLS_PER_SECOND: f64 = 1000.0;
/// Calls that a daemon may have out.
pub const CALL_SLOTS: u32 = 16;
const SOCKETS: u32 = 2048;
const MEMORY_MB: f64 = 192.0;
const DISK_MB: f64 = 4000.0;
/// The list of the configuration has this version; changes have later ones.
pub const FIRST_VERSION: u64 = 1;

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes calls.
    Serving,
    /// It takes no new calls.
    Draining,
}

impl EndpointState {
    fn name(self) -> &'static str {
        match self {
            EndpointState::Serving => "SERVING",
            EndpointState::Draining => "DRAINING",
        }
    }
}

/// How much a daemon is told of.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Endpoints, spread over as many destinations as there can be: one each up to that number.
    pub endpoints: usize,
    /// Couriers that share the endpoints.
    pub couriers: u32,
}

/// What a daemon is told of.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Endpoints.
    pub endpoints: usize,
    /// Where all of them are.
    partners: SocketAddr,
    couriers: u32,
    /// Messages that it may hold.
    pub most_held: u64,
}

/// Destinations are numbered by 16 bits.
const DESTINATIONS: usize = 1 << 16;
/// A prime: its multiples come by all endpoints.
const SPREAD: usize = 7919;
/// Messages that a daemon may hold: more than any run hands in.
const MOST_HELD: u64 = 10_000_000;

impl Deployment {
    /// A deployment of some size, with all endpoints at one address.
    pub fn new(size: DeploymentSize, partners: SocketAddr) -> Self {
        let DeploymentSize { endpoints, couriers } = size;
        Deployment { endpoints, partners, couriers, most_held: MOST_HELD }
    }

    /// The destination of an endpoint.
    pub fn destination(&self, endpoint: usize) -> u16 {
        (endpoint % DESTINATIONS) as u16
    }

    /// An endpoint for the operation of some number, so that those of a run are spread over all of the list.
    pub fn spread(&self, number: usize) -> usize {
        number.wrapping_mul(SPREAD) % self.endpoints
    }

    /// A destination that no endpoint has, if there is one.
    pub fn unknown_destination(&self) -> Option<u16> {
        u16::try_from(self.endpoints).ok()
    }

    fn entry(&self, endpoint: usize, state: EndpointState) -> Value {
        json!({
            "uid": format!("e{endpoint}"), "endpoint": self.partners.to_string(), "az": ZONE, "model": KIND,
            "pod_group": self.destination(endpoint), "state": state.name(), "capacity_hint": CALLS_PER_SECOND,
            "boot_ms": 0,
        })
    }

    /// The whole list in some version, as one line of JSON.
    pub fn whole_list(&self, version: u64) -> String {
        let entries: Vec<Value> =
            (0..self.endpoints).map(|endpoint| self.entry(endpoint, EndpointState::Serving)).collect();
        json!({"rev": version, "all": true, "targets": entries}).to_string()
    }

    /// A change of the list, as one line of JSON.
    pub fn change(&self, version: u64, endpoints: &[usize], state: EndpointState) -> String {
        let entries: Vec<Value> = endpoints.iter().map(|endpoint| self.entry(*endpoint, state)).collect();
        json!({"rev": version, "all": false, "targets": entries}).to_string()
    }

    fn settings(&self) -> Value {
        let nanoseconds = |span: Duration| span.as_nanos() as u64;
        json!({
            "Balancers": self.couriers, "MachineTypes": [KIND], "Zones": [ZONE], "WeightSource": "nominal",
            "Lanes": [{
                "Name": CLASS, "Effect": "non_idempotent", "Group": "all", "RepeatWindow": 0, "OneAtATime": false,
                "Worth": 1.0, "LateShare": 0.5, "Aim": nanoseconds(AIM), "Deadline": nanoseconds(DEADLINE),
            }],
            "FamilyInfo": {"CallsOut": CALL_SLOTS, "KindBatch": [1], "OwnLimits": [false]},
            "Permissions": {
                "MostHeld": self.most_held, "SendCap": 8, "Cancel": true,
                "ConnIdle": nanoseconds(Duration::from_secs(15)),
                "ConnectTimeout": nanoseconds(Duration::from_secs(5)),
            },
            "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Fall": 2_000_000_000_u64},
        })
    }
}

/// A folder of its own, which is removed when dropped.
pub struct Site {
    folder: PathBuf,
}

impl Site {
    /// A new folder.
    pub fn create() -> Result<Self, MeasureError> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let name = format!("gullcart-scale-{}-{number}", std::process::id());
        let site = Site { folder: std::env::temp_dir().join(name) };
        fs::create_dir_all(site.state()).map_err(MeasureError::io("creating a folder"))?;
        Ok(site)
    }

    /// Where the state lies.
    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Writes the configuration, and says where it lies.
    pub fn configure(&self, deployment: &Deployment, discovery: SocketAddr) -> Result<PathBuf, MeasureError> {
        let known: Value = serde_json::from_str(&deployment.whole_list(FIRST_VERSION))
            .map_err(|error| MeasureError::Io { what: "the list", error: error.into() })?;
        let configuration = json!({
            "name": "measured", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": DISK_MB},
            "known": known, "settings": deployment.settings(),
        });
        let (new, path) = (self.folder.join("config.new"), self.folder.join("config.json"));
        fs::write(&new, configuration.to_string()).map_err(MeasureError::io("writing the configuration"))?;
        fs::rename(new, &path).map_err(MeasureError::io("writing the configuration"))?;
        Ok(path)
    }

    /// Bytes of all files of the state.
    pub fn state_bytes(&self) -> Result<u64, MeasureError> {
        file_bytes(&self.state()).map_err(MeasureError::io("reading the state's size"))
    }
}

fn file_bytes(folder: &Path) -> std::io::Result<u64> {
    let mut sum = 0;
    for entry in fs::read_dir(folder)? {
        let data = entry?.metadata()?;
        sum += if data.is_file() { data.len() } else { 0 };
    }
    Ok(sum)
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}
