//! A process that belongs to a group and does nothing but act under duties: for proofs among processes that fail. It says
//! `<duty> <epoch>` to a partner, a line each, whenever it may, and asks right before each line whether it may.
//!
//! `GULLCART_GROUP` names the group's file, `BALANCER_STATE` the folder, `DUTY_NAMES` the duties, `DUTY_PARTNER` the partner.
//! On a line on its standard input it leaves the group and ends; its log says `status` with the group's standing as JSON.
#![forbid(unsafe_code)]

use gullcart_group::vocabulary::Duty;
use gullcart_peers::handle::{start, Handle};
use gullcart_peers::settings::Settings;
use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::Duration;

/// Between two acts.
const GAP: Duration = Duration::from_millis(2);
/// Acts between two words on how the group stands.
const STATUS: u32 = 50;

fn say(line: &str) {
    // A log that is read no more is nobody's loss.
    let _ = writeln!(std::io::stderr(), "{line}");
}

fn act(group: &Handle, duties: &[Duty], partner: &mut TcpStream) -> std::io::Result<()> {
    for duty in duties {
        if let Some(epoch) = group.may_act(duty) {
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
        if !group.want(duty.clone()) {
            say(&format!("{duty} is not asked for: there are too many"));
        }
    }
    let mut partner = TcpStream::connect(std::env::var("DUTY_PARTNER")?)?;
    partner.set_nodelay(true)?;
    partner.write_all(format!("{me}\n").as_bytes())?;
    say(&format!("listening address={}", group.address()));
    let (tell, told) = channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if tell.send(line).is_err() {
                return;
            }
        }
    });
    let mut count = 0u32;
    loop {
        match told.recv_timeout(GAP) {
            Ok(line) if line == "follow" => {
                let settings = Settings::read(&PathBuf::from(std::env::var("GULLCART_GROUP")?))?;
                say(&format!("follows {}", group.follow(settings)));
            }
            Ok(_) => {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
                let heard = runtime.block_on(group.leave(Duration::from_secs(2)));
                say(&format!("left {heard}"));
                return Ok(());
            }
            Err(RecvTimeoutError::Disconnected) => std::thread::sleep(GAP),
            Err(RecvTimeoutError::Timeout) => {}
        }
        act(&group, &duties, &mut partner)?;
        count = count.wrapping_add(1);
        if count.is_multiple_of(STATUS) {
            say(&format!("status {}", serde_json::to_string(&group.status())?));
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            say(&format!("cannot go on: {error}"));
            ExitCode::FAILURE
        }
    }
}
