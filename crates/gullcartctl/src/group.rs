//! `gullcartctl group`: each member of a group is asked how the group stands, and what they say is put together.

use clap::{Args, Subcommand};
use gullcart_peers::operator;
use gullcart_peers::settings::Settings;
use gullcart_peers::types::{DutyStatus, Status};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Names the group's file to the daemon, and here where none is named.
const FILE: &str = "GULLCART_GROUP";
/// A courier that has not heard from its group for longer is said to be behind.
const LONG_UNHEARD_MS: u64 = 10_000;

#[derive(Args)]
#[command(after_help = "Examples:
  gullcartctl group status --file deploy/group.toml
  gullcartctl group members --json
  gullcartctl group duties

Exit codes: 0 all is well, 1 something is not (no leader, a member that cannot be reached or is in trouble, a duty that
nobody holds), 2 it could not be done")]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// The group's file, as a courier has it [default: what GULLCART_GROUP names]
    #[arg(long, global = true, value_name = "FILE")]
    file: Option<PathBuf>,
    /// For machines
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Who leads, how many vote, and what is wrong
    Status,
    /// Each member: whether it can be reached, votes, and is behind
    Members,
    /// Who holds which duty, under which epoch and for how long, and why nobody holds one
    Duties,
}

/// What one member says.
#[derive(Clone, Debug, Serialize)]
struct Told {
    name: String,
    number: u64,
    address: String,
    /// Whether it is to vote.
    is_voter: bool,
    status: Option<Status>,
    /// Why it says nothing.
    error: Option<String>,
}

/// What they say together.
#[derive(Debug, Serialize)]
struct Report {
    /// Who most of the voters say leads.
    leader: Option<String>,
    voting: usize,
    voters: usize,
    /// What is agreed on, as far as anybody knows.
    version: u64,
    wrong: Vec<String>,
    members: Vec<Told>,
    duties: Vec<Duty>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct Duty {
    name: String,
    holder: Option<String>,
    epoch: Option<u64>,
    since_ms: u64,
    why: Option<String>,
}

pub fn group(arguments: &Arguments) -> Result<ExitCode, String> {
    let named = arguments.file.clone().or_else(|| std::env::var_os(FILE).map(PathBuf::from));
    let path = named.ok_or_else(|| format!("name the group's file with --file, or by {FILE}"))?;
    let settings = Settings::read(&path).map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let report = runtime.map_err(|error| error.to_string())?.block_on(async {
        // One after the other would take as long as all that are down together.
        let asked: Vec<_> = settings
            .members
            .iter()
            .map(|member| {
                let (settings, member) = (settings.clone(), member.clone());
                tokio::spawn(async move {
                    let answer = operator::fetch_status(&settings, &member).await;
                    let error = answer.as_ref().err().map(ToString::to_string);
                    Told {
                        name: member.name,
                        number: member.number,
                        address: member.address.to_string(),
                        is_voter: member.votes,
                        status: answer.ok(),
                        error,
                    }
                })
            })
            .collect();
        let mut told = Vec::new();
        for answer in asked {
            told.extend(answer.await);
        }
        Report::of(told)
    });
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?);
    } else {
        let lines = match arguments.command {
            Command::Status => report.status(),
            Command::Members => report.members(),
            Command::Duties => report.duties(),
        };
        println!("{}", lines.join("\n"));
    }
    let is_well = match arguments.command {
        Command::Duties => report.duties.iter().all(|duty| duty.holder.is_some()) && report.leader.is_some(),
        Command::Status | Command::Members => report.wrong.is_empty(),
    };
    Ok(if is_well { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn span(ms: u64) -> String {
    humantime::format_duration(Duration::from_millis(ms)).to_string()
}

impl Report {
    fn of(members: Vec<Told>) -> Self {
        let names: BTreeMap<u64, String> =
            members.iter().map(|told| (told.number, told.name.clone())).collect();
        let name = |number: u64| names.get(&number).cloned().unwrap_or_else(|| number.to_string());
        let voters = members.iter().filter(|told| told.is_voter).count();
        let said: Vec<&Status> = members.iter().filter_map(|told| told.status.as_ref()).collect();
        let voting = said.iter().filter(|status| status.votes).count();
        let mut followers: BTreeMap<u64, usize> = BTreeMap::new();
        said.iter()
            .filter_map(|status| status.leader)
            .for_each(|leader| *followers.entry(leader).or_default() += 1);
        let leader = followers.into_iter().find(|(_, count)| 2 * count > voters).map(|(leader, _)| leader);
        let newest = said.iter().filter(|status| status.votes).max_by_key(|status| status.version);
        let version = newest.map_or(0, |status| status.version);
        let duty = |duty: &DutyStatus| Duty {
            name: duty.name.clone(),
            holder: duty.holder.map(name),
            epoch: duty.epoch,
            since_ms: duty.since_ms,
            why: duty.vacancy_reason.clone(),
        };
        // What is wanted is known where it was asked for; what is held is known to all that vote.
        let mut duties: BTreeMap<String, Duty> = BTreeMap::new();
        for status in said.iter().filter(|status| status.votes) {
            for free in status.duties.iter().filter(|duty| duty.holder.is_none()) {
                duties.entry(free.name.clone()).or_insert_with(|| duty(free));
            }
        }
        for held in newest.iter().flat_map(|status| &status.duties).filter(|duty| duty.holder.is_some()) {
            duties.insert(held.name.clone(), duty(held));
        }
        let mut wrong = Vec::new();
        if leader.is_none() {
            wrong.push(format!(
                "no leader that a majority of the {voters} voters follows: nobody holds any duty, and each courier goes by \
                 itself"
            ));
        }
        for told in &members {
            match (&told.status, &told.error) {
                (Some(Status { problem: Some(trouble), .. }), _) => {
                    wrong.push(format!("{}: {trouble}", told.name));
                }
                (Some(status), _) if told.is_voter && !status.votes => {
                    wrong.push(format!("{} does not vote yet: it has not met all other voters", told.name));
                }
                (Some(status), _)
                    if status.last_contact_ms > LONG_UNHEARD_MS && !status.held_duties.is_empty() =>
                {
                    wrong.push(format!(
                        "{} has not heard from the group for {}",
                        told.name,
                        span(status.last_contact_ms)
                    ));
                }
                (Some(_), _) => {}
                (None, error) => {
                    let error = error.as_deref().unwrap_or("it says nothing");
                    wrong.push(format!("{} at {} cannot be asked: {error}", told.name, told.address));
                }
            }
        }
        let duties = duties.into_values().collect();
        Report { leader: leader.map(name), voting, voters, version, wrong, members, duties }
    }

    fn status(&self) -> Vec<String> {
        let leader =
            self.leader.as_ref().map_or("nobody leads".to_owned(), |leader| format!("{leader} leads"));
        let held = self.duties.iter().filter(|duty| duty.holder.is_some()).count();
        let mut lines = vec![format!(
            "{leader}; {} of {} voters vote; {} members; {held} of {} duties held; {} agreed on so far",
            self.voting,
            self.voters,
            self.members.len(),
            self.duties.len(),
            self.version
        )];
        lines.extend(self.wrong.iter().map(|wrong| format!("WRONG: {wrong}")));
        lines
    }

    fn members(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "{:<20} {:>6} {:<7} {:>5} {:>8} {:>7}  {}",
            "member", "number", "votes", "life", "behind", "reaches", "trouble"
        )];
        for told in &self.members {
            let Some(status) = &told.status else {
                let why = told.error.as_deref().unwrap_or_default();
                let line = format!("{:<20} {:>6} {:<7} {why}", told.name, told.number, "unknown");
                lines.push(line);
                continue;
            };
            let votes = match (told.is_voter, status.votes) {
                (true, true) => "yes",
                (true, false) => "NOT NOW",
                (false, _) => "no",
            };
            let behind =
                if status.votes { (self.version - status.version).to_string() } else { "-".to_owned() };
            lines.push(format!(
                "{:<20} {:>6} {votes:<7} {:>5} {behind:>8} {:>7}  {}",
                told.name,
                told.number,
                status.incarnation,
                status.connected_members.len(),
                status.problem.as_deref().unwrap_or("-"),
            ));
        }
        lines
    }

    fn duties(&self) -> Vec<String> {
        let mut lines = vec![format!("{:<34} {:<20} {:>8} {:>14}", "duty", "holder", "epoch", "for")];
        for duty in &self.duties {
            let holder = duty.holder.as_deref().unwrap_or("NOBODY");
            let epoch = duty.epoch.map_or("-".to_owned(), |epoch| epoch.to_string());
            let why = duty.why.as_ref().map_or(String::new(), |why| format!("  {why}"));
            lines.push(format!("{:<34} {holder:<20} {epoch:>8} {:>14}{why}", duty.name, span(duty.since_ms)));
        }
        lines
    }
}

#[cfg(test)]
mod tests;
