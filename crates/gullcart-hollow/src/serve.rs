//! A process of the fleet: it carries out the commands that come by its standard input, and ends when that closes.

use crate::control::{Command, Cost, Probe, Report, Usage};
use crate::courier::{target, CourierError, CourierSettings, HollowEngine};
use crate::machine::{self, MachineError};
use gullcart_message::Update;
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

/// What the process holds between commands.
#[derive(Default)]
struct Node {
    probed: Vec<HollowEngine>,
}

impl Node {
    async fn carry_out(&mut self, command: Command) -> Result<Report, ServeError> {
        match command {
            Command::Probe(probe) => self.probe(probe).map(Report::Probed),
            Command::Usage => Ok(Report::Usage(Usage { processor: machine::processor_time() })),
        }
    }

    fn probe(&mut self, probe: Probe) -> Result<Cost, ServeError> {
        self.probed.clear();
        let empty = machine::resident(getpid())?;
        let settings = CourierSettings::for_fleet(probe.couriers)?;
        for number in 0..probe.couriers {
            let mut engine = HollowEngine::new(&settings, u64::from(number))?;
            let uid = |endpoint: u32| format!("endpoint-{endpoint}");
            let targets = (0..probe.endpoints).map(|endpoint| target(uid(endpoint), endpoint as u16, true));
            engine.apply(Update { rev: 1, all: true, targets: targets.collect() })?;
            self.probed.push(engine);
        }
        Ok(Cost { empty, full: machine::resident(getpid())?, couriers: probe.couriers })
    }
}
