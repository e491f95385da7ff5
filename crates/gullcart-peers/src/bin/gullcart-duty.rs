//! A test process that belongs to a group and acts on its duties. While it holds a duty, it keeps sending lines of the form
//! `<duty> <epoch>` to a partner, and checks its lease right before each line.
//!
//! Environment variables: `GULLCART_GROUP` is the group's settings file, `BALANCER_STATE` the state folder, `DUTY_NAMES` the
//! duties, separated by commas, and `DUTY_PARTNER` the partner's address. The line `follow` on standard input makes it read the
//! settings again; any other line makes it leave the group and exit. Log lines that begin with `status` carry the group's
//! status as JSON.
#![forbid(unsafe_code)]

use gullcart_group::types::Duty;
use gullcart_peers::handle::{start, Handle};
use gullcart_peers::settings::Settings;
use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::Duration;

/// Time between two rounds of actions.
const ACTION_INTERVAL: Duration = Duration::from_millis(2);
/// Number of rounds between two status lines.
const ROUNDS_PER_STATUS: u32 = 50;

fn write_log(line: &str) {
    // Failure to write the log must not stop the process.
    let _ = writeln!(std::io::stderr(), "{line}");
}

fn send_actions(group: &Handle, duties: &[Duty], partner: &mut TcpStream) -> std::io::Result<()> {
    for duty in duties {
        if let Some(epoch) = group.active_epoch(duty) {
            partner.write_all(format!("{duty} {}\n", epoch.0).as_bytes())?;
        }
    }
    Ok(())
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let settings = Settings::read(&PathBuf::from(std::env::var("GULLCART_GROUP")?))?;
    let me = settings.me.0;
    let group = start(settings, &PathBuf::from(std::env::var("BALANCER_STATE")?).join("group"), None)?;
    let names = std::env::var("DUTY_NAMES")?;
    let duties: Vec<Duty> = names.split(',').filter_map(Duty::new).collect();
    for duty in &duties {
        if !group.request(duty.clone()) {
            write_log(&format!("{duty} was not requested: too many commands are queued"));
        }
    }
    let mut partner = TcpStream::connect(std::env::var("DUTY_PARTNER")?)?;
    partner.set_nodelay(true)?;
    partner.write_all(format!("{me}\n").as_bytes())?;
    write_log(&format!("listening address={}", group.address()));
    let (lines, received) = channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if lines.send(line).is_err() {
                return;
            }
        }
    });
    let mut rounds = 0u32;
    loop {
        match received.recv_timeout(ACTION_INTERVAL) {
            Ok(line) if line == "follow" => {
                let settings = Settings::read(&PathBuf::from(std::env::var("GULLCART_GROUP")?))?;
                write_log(&format!("settings queued: {}", group.apply_settings(settings)));
            }
            Ok(_) => {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
                let released = runtime.block_on(group.leave(Duration::from_secs(2)));
                write_log(&format!("left the group; releases confirmed: {released}"));
                return Ok(());
            }
            Err(RecvTimeoutError::Disconnected) => std::thread::sleep(ACTION_INTERVAL),
            Err(RecvTimeoutError::Timeout) => {}
        }
        send_actions(&group, &duties, &mut partner)?;
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(ROUNDS_PER_STATUS) {
            write_log(&format!("status {}", serde_json::to_string(&group.status())?));
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            write_log(&format!("error: {error}"));
            ExitCode::FAILURE
        }
    }
}
