//! A process of the fleet: it carries out the commands that come by its standard input, and ends when that closes.

use crate::control::{Command, Cost, Probe, Report, Usage};
use crate::courier::{target, CourierError, CourierSettings, HollowEngine};
use crate::couriers_node::CouriersNode;
use crate::link::LinkShared;
use crate::machine::{self, MachineError, Monotonic};
use crate::relays_node::RelaysNode;
use crate::source_node::{SourceNode, SourceNodeError};
use crate::structures::{self, StructureError};
use gullcart_message::ListingUpdate;
use rustix::process::{getpid, set_parent_process_death_signal, Signal};
use std::io;
use std::os::fd::AsFd;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::pipe;
use tokio::task::LocalSet;

/// Why a process of the fleet cannot go on.
#[derive(Debug, Error)]
pub enum ServeError {
    /// Its pipes to the manager cannot be used.
    #[error("the pipes to the manager: {0}")]
    Pipe(#[from] io::Error),
    /// What came is no command.
    #[error("what came is no command: {0}")]
    Command(#[from] serde_json::Error),
    /// The machine could not be asked.
    #[error(transparent)]
    Machine(#[from] MachineError),
    /// A courier cannot run.
    #[error(transparent)]
    Courier(#[from] CourierError),
    /// The source cannot run.
    #[error(transparent)]
    Source(#[from] SourceNodeError),
    /// Data structures cannot be measured.
    #[error(transparent)]
    Structures(#[from] StructureError),
    /// The command is for a process of another role.
    #[error("the command is for a process of another role")]
    Role,
}

/// Serves as a process of the fleet until standard input closes.
pub fn serve() -> Result<(), ServeError> {
    // A paused process would not see its input close; the kernel ends it with its manager.
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(io::Error::from)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let input = pipe::Receiver::from_owned_fd(io::stdin().as_fd().try_clone_to_owned()?)?;
        let output = pipe::Sender::from_owned_fd(io::stdout().as_fd().try_clone_to_owned()?)?;
        carry_out_commands(BufReader::new(input), output).await
    })
}

async fn carry_out_commands(
    mut input: BufReader<pipe::Receiver>,
    mut output: pipe::Sender,
) -> Result<(), ServeError> {
    let mut node = Node::default();
    let mut line = String::new();
    while input.read_line(&mut line).await? > 0 {
        let done = match serde_json::from_str(&line) {
            Ok(command) => node.carry_out(command).await,
            Err(error) => Err(error.into()),
        };
        let report = done.unwrap_or_else(|error| Report::Failed(error.to_string()));
        let mut answer = serde_json::to_vec(&report)?;
        answer.push(b'\n');
        output.write_all(&answer).await?;
        line.clear();
    }
    Ok(())
}

/// What the process is.
#[derive(Default)]
enum Role {
    /// Not told yet.
    #[default]
    Unknown,
    Source(SourceNode),
    Relays(RelaysNode),
    Couriers(Box<CouriersNode>),
}

/// What the process holds between commands.
#[derive(Default)]
struct Node {
    role: Role,
    shared: LinkShared,
    probed: Vec<HollowEngine>,
}

impl Node {
    async fn carry_out(&mut self, command: Command) -> Result<Report, ServeError> {
        match command {
            Command::Probe(probe) => self.probe(probe).map(Report::Probed),
            Command::Structures(plan) => Ok(Report::Structures(structures::measure(&plan)?)),
            Command::Source(plan) => {
                let source = SourceNode::start(plan, self.shared.clone()).await?;
                let addresses = vec![source.address()];
                self.role = Role::Source(source);
                Ok(Report::Listening(addresses))
            }
            Command::Relays(plans) => {
                let relays = RelaysNode::start(plans, self.shared.clone()).await?;
                let addresses = relays.addresses();
                self.role = Role::Relays(relays);
                Ok(Report::Listening(addresses))
            }
            Command::Couriers(plan) => {
                self.role = Role::Couriers(Box::new(CouriersNode::start(plan, self.shared.clone())?));
                Ok(Report::Done)
            }
            Command::Usage => self.usage().map(Report::Usage),
            Command::Status => self.status(),
            Command::Collect => self.collect(),
            command => self.act(command).await.map(|()| Report::Done),
        }
    }

    /// Carries out what belongs to one role and has nothing to tell.
    async fn act(&mut self, command: Command) -> Result<(), ServeError> {
        match (&mut self.role, command) {
            (Role::Source(source), Command::Publish(publication)) => source.publish(publication),
            (Role::Relays(relays), Command::StopRelay(relay)) => relays.stop_relay(relay),
            (Role::Relays(relays), Command::StartRelay(relay)) => relays.start_relay(relay).await?,
            (Role::Relays(relays), Command::CutUpstream(is_cut)) => relays.cut_upstream(is_cut),
            (Role::Couriers(node), Command::StopCouriers(couriers)) => node.stop_couriers(couriers),
            (Role::Couriers(node), Command::StartCouriers(couriers)) => node.start_couriers(couriers)?,
            (Role::Couriers(node), Command::SlowCourier(courier)) => node.slow_courier(courier)?,
            _ => return Err(ServeError::Role),
        }
        Ok(())
    }

    fn usage(&self) -> Result<Usage, ServeError> {
        Ok(Usage {
            at: Monotonic::now(),
            processor: machine::processor_time(),
            traffic: self.shared.traffic(),
            resident: machine::resident(getpid())?,
        })
    }

    fn status(&self) -> Result<Report, ServeError> {
        match &self.role {
            Role::Unknown => Err(ServeError::Role),
            Role::Source(source) => Ok(Report::SourceStatus(source.status())),
            Role::Relays(relays) => Ok(Report::RelaysStatus(relays.status())),
            Role::Couriers(couriers) => Ok(Report::CouriersStatus(couriers.status())),
        }
    }

    fn collect(&self) -> Result<Report, ServeError> {
        match &self.role {
            Role::Source(source) => Ok(Report::Published(source.collect())),
            Role::Couriers(couriers) => Ok(Report::Advanced(couriers.collect())),
            Role::Unknown | Role::Relays(_) => Err(ServeError::Role),
        }
    }

    fn probe(&mut self, probe: Probe) -> Result<Cost, ServeError> {
        self.probed.clear();
        let empty = machine::resident(getpid())?;
        let settings = CourierSettings::for_fleet(probe.couriers)?;
        for number in 0..probe.couriers {
            let mut engine = HollowEngine::new(&settings, u64::from(number))?;
            let uid = |endpoint: u32| format!("endpoint-{endpoint}");
            let targets = (0..probe.endpoints).map(|endpoint| target(uid(endpoint), endpoint, true));
            engine.apply(ListingUpdate { rev: 1, all: true, targets: targets.collect() })?;
            self.probed.push(engine);
        }
        Ok(Cost { empty, full: machine::resident(getpid())?, couriers: probe.couriers })
    }
}
