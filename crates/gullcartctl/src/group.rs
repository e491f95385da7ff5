//! `gullcartctl group`: asks each member of a group for its status, and combines the answers into one report.

use clap::{Args, Subcommand};
use gullcart_peers::operator;
use gullcart_peers::settings::Settings;
use gullcart_peers::types::{DutyStatus, Status};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The environment variable with the path of the group's file, as for the daemon. `--file` overrides it.
const FILE_VARIABLE: &str = "GULLCART_GROUP";
/// A member that holds duties and has not heard from its group for longer than this is a problem.
const MAX_SILENCE_MS: u64 = 10_000;

/// The arguments of the command.
#[derive(Args)]
#[command(after_help = "Examples:
  gullcartctl group status --file deploy/group.toml
  gullcartctl group members --json
  gullcartctl group duties

Exit codes: 0 no problem was found, 1 there is a problem (no leader, a member that cannot be reached or reports a problem, a \
  duty that nobody holds), 2 the command could not be run")]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// The group's file, as the couriers use it [default: the value of GULLCART_GROUP]
    #[arg(long, global = true, value_name = "FILE")]
    file: Option<PathBuf>,
    /// Print JSON
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Show the leader, how many members vote, and the problems
    Status,
    /// Show for each member whether it can be reached, whether it votes, and how far it is behind
    ///
    /// Columns: `life` is the incarnation of its process, `behind` the number of commands of the agreed state that it does not
    /// know yet, and `reaches` the number of members that it is connected to.
    Members,
    /// Show the holder of each duty, its epoch and since when, or why nobody holds it
    Duties,
}

/// A member's answer.
#[derive(Clone, Debug, Serialize)]
struct MemberAnswer {
    name: String,
    number: u64,
    address: String,
    /// Whether the group's file makes it a voter.
    is_voter: bool,
    status: Option<Status>,
    /// Why it gave no status.
    error: Option<String>,
}

/// The status of the group, from the answers of all members.
#[derive(Debug, Serialize)]
struct Report {
    /// Name of the leader that a majority of the voters follows.
    leader: Option<String>,
    /// Number of members that answered that they vote now; only voters do.
    #[serde(rename = "voting")]
    voting_members: usize,
    /// Number of voters in the group's file.
    voters: usize,
    /// The newest version of the agreed state that a voting member knows: the number of commands agreed on.
    version: u64,
    /// Descriptions of what is wrong.
    #[serde(rename = "wrong")]
    problems: Vec<String>,
    members: Vec<MemberAnswer>,
    duties: Vec<Duty>,
}

/// A duty, and who holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct Duty {
    name: String,
    /// Name of the member that holds it.
    holder: Option<String>,
    epoch: Option<u64>,
    /// How long, in milliseconds, it has been held, or has had no holder.
    since_ms: u64,
    /// Why nobody holds it.
    #[serde(rename = "why")]
    reason: Option<String>,
}

/// Runs the command.
pub fn group(arguments: &Arguments) -> Result<ExitCode, String> {
    let named = arguments.file.clone().or_else(|| std::env::var_os(FILE_VARIABLE).map(PathBuf::from));
    let path = named.ok_or_else(|| format!("name the group's file with --file, or in {FILE_VARIABLE}"))?;
    let settings = Settings::read(&path).map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let report = runtime.map_err(|error| error.to_string())?.block_on(async {
        // All members are asked at once: one after the other, the timeouts of those that are down would add up.
        let requests: Vec<_> = settings
            .members
            .iter()
            .map(|member| {
                let (settings, member) = (settings.clone(), member.clone());
                tokio::spawn(async move {
                    let answer = operator::fetch_status(&settings, &member).await;
                    let error = answer.as_ref().err().map(ToString::to_string);
                    MemberAnswer {
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
        let mut answers = Vec::new();
        for request in requests {
            answers.extend(request.await);
        }
        Report::from_answers(answers)
    });
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?);
    } else {
        let lines = match arguments.command {
            Command::Status => report.status_lines(),
            Command::Members => report.member_lines(),
            Command::Duties => report.duty_lines(),
        };
        println!("{}", lines.join("\n"));
    }
    let is_well = match arguments.command {
        Command::Duties => report.duties.iter().all(|duty| duty.holder.is_some()) && report.leader.is_some(),
        Command::Status | Command::Members => report.problems.is_empty(),
    };
    Ok(if is_well { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn format_milliseconds(ms: u64) -> String {
    humantime::format_duration(Duration::from_millis(ms)).to_string()
}

impl Report {
    fn from_answers(members: Vec<MemberAnswer>) -> Self {
        let names: BTreeMap<u64, String> =
            members.iter().map(|answer| (answer.number, answer.name.clone())).collect();
        let name = |number: u64| names.get(&number).cloned().unwrap_or_else(|| number.to_string());
        let voters = members.iter().filter(|answer| answer.is_voter).count();
        let statuses: Vec<&Status> = members.iter().filter_map(|answer| answer.status.as_ref()).collect();
        let voting_members = statuses.iter().filter(|status| status.votes).count();
        let mut followers: BTreeMap<u64, usize> = BTreeMap::new();
        statuses
            .iter()
            .filter_map(|status| status.leader)
            .for_each(|leader| *followers.entry(leader).or_default() += 1);
        let leader = followers.into_iter().find(|(_, count)| 2 * count > voters).map(|(leader, _)| leader);
        let newest = statuses.iter().filter(|status| status.votes).max_by_key(|status| status.version);
        let version = newest.map_or(0, |status| status.version);
        let to_duty = |duty: &DutyStatus| Duty {
            name: duty.name.clone(),
            holder: duty.holder.map(name),
            epoch: duty.epoch,
            since_ms: duty.since_ms,
            reason: duty.vacancy_reason.clone(),
        };
        // Duties without a holder are known only to the members that request them; held ones are known to all that vote.
        let mut duties: BTreeMap<String, Duty> = BTreeMap::new();
        for status in statuses.iter().filter(|status| status.votes) {
            for unheld_duty in status.duties.iter().filter(|duty| duty.holder.is_none()) {
                duties.entry(unheld_duty.name.clone()).or_insert_with(|| to_duty(unheld_duty));
            }
        }
        for held_duty in newest.iter().flat_map(|status| &status.duties).filter(|duty| duty.holder.is_some())
        {
            duties.insert(held_duty.name.clone(), to_duty(held_duty));
        }
        let mut problems = Vec::new();
        if leader.is_none() {
            problems.push(format!(
                "no leader that a majority of the {voters} voters follows: nobody holds any duty, and each courier acts on \
                 its own"
            ));
        }
        for answer in &members {
            match (&answer.status, &answer.error) {
                (Some(Status { problem: Some(problem), .. }), _) => {
                    problems.push(format!("{}: {problem}", answer.name));
                }
                (Some(status), _) if answer.is_voter && !status.votes => {
                    problems.push(format!(
                        "{} does not vote yet: it has not been connected to all other voters",
                        answer.name
                    ));
                }
                (Some(status), _)
                    if status.last_contact_ms > MAX_SILENCE_MS && !status.held_duties.is_empty() =>
                {
                    problems.push(format!(
                        "{} has not heard from the group for {}",
                        answer.name,
                        format_milliseconds(status.last_contact_ms)
                    ));
                }
                (Some(_), _) => {}
                (None, error) => {
                    let error = error.as_deref().unwrap_or("no reason is known");
                    problems.push(format!("{} at {} cannot be asked: {error}", answer.name, answer.address));
                }
            }
        }
        let duties = duties.into_values().collect();
        Report { leader: leader.map(name), voting_members, voters, version, problems, members, duties }
    }

    /// The summary and the problems.
    fn status_lines(&self) -> Vec<String> {
        let leader =
            self.leader.as_ref().map_or("nobody leads".to_owned(), |leader| format!("{leader} leads"));
        let held = self.duties.iter().filter(|duty| duty.holder.is_some()).count();
        let mut lines = vec![format!(
            "{leader}; {} of {} voters vote; {} members; {held} of {} duties held; the agreed state has version {}",
            self.voting_members,
            self.voters,
            self.members.len(),
            self.duties.len(),
            self.version
        )];
        lines.extend(self.problems.iter().map(|problem| format!("WRONG: {problem}")));
        lines
    }

    /// The table of members.
    fn member_lines(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "{:<20} {:>6} {:<7} {:>5} {:>8} {:>7}  {}",
            "member", "number", "votes", "life", "behind", "reaches", "trouble"
        )];
        for answer in &self.members {
            let Some(status) = &answer.status else {
                let error = answer.error.as_deref().unwrap_or_default();
                let line = format!("{:<20} {:>6} {:<7} {error}", answer.name, answer.number, "unknown");
                lines.push(line);
                continue;
            };
            let votes = match (answer.is_voter, status.votes) {
                (true, true) => "yes",
                (true, false) => "NOT NOW",
                (false, _) => "no",
            };
            let behind =
                if status.votes { (self.version - status.version).to_string() } else { "-".to_owned() };
            lines.push(format!(
                "{:<20} {:>6} {votes:<7} {:>5} {behind:>8} {:>7}  {}",
                answer.name,
                answer.number,
                status.incarnation,
                status.connected_members.len(),
                status.problem.as_deref().unwrap_or("-"),
            ));
        }
        lines
    }

    /// The table of duties.
    fn duty_lines(&self) -> Vec<String> {
        let mut lines = vec![format!("{:<34} {:<20} {:>8} {:>14}", "duty", "holder", "epoch", "for")];
        for duty in &self.duties {
            let holder = duty.holder.as_deref().unwrap_or("NOBODY");
            let epoch = duty.epoch.map_or("-".to_owned(), |epoch| epoch.to_string());
            let reason = duty.reason.as_ref().map_or(String::new(), |reason| format!("  {reason}"));
            lines.push(format!(
                "{:<34} {holder:<20} {epoch:>8} {:>14}{reason}",
                duty.name,
                format_milliseconds(duty.since_ms)
            ));
        }
        lines
    }
}

#[cfg(test)]
mod tests;
