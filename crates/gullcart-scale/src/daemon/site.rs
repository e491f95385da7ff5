//! The folder of a daemon under measurement: its configuration, and the state that outlasts it.

use super::error::MeasureError;
use serde_json::{json, Value};
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The class of all messages here: unsafe to repeat, and in no order.
pub const CLASS: &str = "payment";
/// Partners that are silent for longer than a part of this are found to be out.
const AIM: Duration = Duration::from_secs(3);
/// Far longer than any run: nothing ends by its time.
const DEADLINE: Duration = Duration::from_secs(8 * 3600);
const KIND: &str = "bank";
const ZONE: &str = "here";
/// Calls a second that each endpoint is said to take.
const CALLS_PER_SECOND: f64 = 1000.0;
/// Calls that a daemon may have out.
const CALL_SLOTS: u32 = 64;
const SOCKETS: u32 = 2048;
const MEMORY_MB: f64 = 192.0;
const DISK_MB: f64 = 4000.0;
/// Read at once from a file's end.
const BLOCK: u64 = 64 << 10;
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
    /// Draining and serving in turns: what each of many changes tells, so that each has news.
    pub fn in_turns(number: u32) -> Self {
        match number % 2 {
            0 => EndpointState::Draining,
            _ => EndpointState::Serving,
        }
    }

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
    /// Endpoints, each of a destination of its own.
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

    /// The destination of an endpoint. A daemon that cannot tell so many apart does not start with them.
    pub fn destination(endpoint: usize) -> u32 {
        endpoint as u32
    }

    /// An endpoint for the operation of some number, so that those of a run are spread over all of the list.
    pub fn spread(&self, number: usize) -> usize {
        number.wrapping_mul(SPREAD) % self.endpoints
    }

    /// A destination that no endpoint has.
    pub fn unknown_destination(&self) -> u32 {
        Self::destination(self.endpoints)
    }

    fn entry(&self, endpoint: usize, state: EndpointState) -> Value {
        json!({
            "uid": format!("e{endpoint}"), "endpoint": self.partners.to_string(), "az": ZONE, "model": KIND,
            "pod_group": Self::destination(endpoint), "state": state.name(), "capacity_hint": CALLS_PER_SECOND,
            "boot_ms": 0,
        })
    }

    /// The whole list in some version, with all endpoints in one state, as one line of JSON.
    pub fn whole_list(&self, version: u64, state: EndpointState) -> String {
        let entries: Vec<Value> = (0..self.endpoints).map(|endpoint| self.entry(endpoint, state)).collect();
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
                "MostHeld": self.most_held, "SendCap": 1000, "Cancel": true,
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
        let known: Value =
            serde_json::from_str(&deployment.whole_list(FIRST_VERSION, EndpointState::Serving))
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

    /// Bytes that were written to the files of the state. Segments are as long as they will be from the first on, so that
    /// zeros at a file's end do not count.
    pub fn written_bytes(&self) -> Result<u64, MeasureError> {
        written_in(&self.state()).map_err(MeasureError::io("reading the state's size"))
    }
}

fn written_in(folder: &Path) -> io::Result<u64> {
    let mut sum = 0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            sum += written_to(&mut File::open(entry.path())?)?;
        }
    }
    Ok(sum)
}

/// The length of a file without the zeros at its end.
fn written_to(file: &mut File) -> io::Result<u64> {
    let mut end = file.metadata()?.len();
    let mut block = vec![0; BLOCK as usize];
    while end > 0 {
        let begin = end.saturating_sub(BLOCK);
        let part = &mut block[..(end - begin) as usize];
        file.seek(SeekFrom::Start(begin))?;
        file.read_exact(part)?;
        if let Some(last) = part.iter().rposition(|byte| *byte != 0) {
            return Ok(begin + last as u64 + 1);
        }
        end = begin;
    }
    Ok(0)
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}
