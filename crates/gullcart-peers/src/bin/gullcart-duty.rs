//! A process that belongs to a group and does nothing but act under duties: for proofs among processes that fail. It says
//! `<duty> <epoch>` to a partner, a line each, whenever it may, and asks right before each line whether it may.
//!
//! `GULLCART_GROUP` names the group's file, `BALANCER_STATE` the folder, `DUTY_NAMES` the duties, `DUTY_PARTNER` the partner.
//! On a line on its standard input it leaves the group and ends; its log says `status` with the group's standing as JSON.
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

/// Between two acts.
const ACTION_INTERVAL: Duration = Duration::from_millis(2);
/// Number of rounds between two status lines.
const ROUNDS_PER_STATUS: u32 = 50;

fn write_log(line: &str) {
    // A log that is read no more is nobody's loss.
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
            write_log(&format!("{duty} was not requested: too many requests are queued"));
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
