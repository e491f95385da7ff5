//! An ordinary process that talks to others of its kind, to prove links and faults between processes with: it says numbers to
//! each of its peers, a line each, and says back whatever it hears. Its log tells all of it.
//!
//! `ECHO_NAME` is its name, `ECHO_PEERS` are the addresses of its peers, with commas. It reconnects where a connection ends or
//! gives nothing back for a while.
#![forbid(unsafe_code)]

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Between two numbers.
const SEND_INTERVAL: Duration = Duration::from_millis(5);
/// How long a connection may give nothing back.
const ECHO_TIMEOUT: Duration = Duration::from_millis(400);

fn log(line: &str) {
    // A log that is read no more is nobody's loss.
    let _ = writeln!(io::stderr(), "{line}");
}

/// Says numbers to one peer until the connection fails; they go on behind those that were said before.
fn send_numbers(peer: usize, address: &str, name: &str, next_number: &AtomicU64) -> io::Result<()> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let last_echo = Arc::new(Mutex::new(Instant::now()));
    let (echo_stream, last_echo_writer) = (stream.try_clone()?, last_echo.clone());
    thread::spawn(move || {
        for line in BufReader::new(echo_stream).lines().map_while(Result::ok) {
            log(&format!("back {peer} {line}"));
            if let Ok(mut last_echo) = last_echo_writer.lock() {
                *last_echo = Instant::now();
            }
        }
    });
    let mut out = stream.try_clone()?;
    out.set_write_timeout(Some(ECHO_TIMEOUT))?;
    let result = loop {
        let number = next_number.fetch_add(1, Ordering::Relaxed);
        if let Err(error) = writeln!(out, "{name} {number}") {
            break Err(error);
        }
        if last_echo.lock().map_or(true, |last_echo| last_echo.elapsed() > ECHO_TIMEOUT) {
            break Ok(());
        }
        thread::sleep(SEND_INTERVAL);
    };
    let _ = stream.shutdown(std::net::Shutdown::Both);
    result
}

fn echo_lines(stream: TcpStream) -> io::Result<()> {
    let mut out = stream.try_clone()?;
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    // A line that was cut in the middle was not heard.
    while input.read_line(&mut line)? > 0 && line.ends_with('\n') {
        log(&format!("heard {}", line.trim_end()));
        out.write_all(line.as_bytes())?;
        line.clear();
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let name = std::env::var("ECHO_NAME").unwrap_or_else(|_| "nobody".to_owned());
    let peers = std::env::var("ECHO_PEERS").unwrap_or_default();
    let listener = TcpListener::bind("127.0.0.1:0")?;
    log(&format!("listening address={}", listener.local_addr()?));
    for (peer, address) in peers.split(',').filter(|peer| !peer.is_empty()).enumerate() {
        let (name, address) = (name.clone(), address.to_owned());
        thread::spawn(move || {
            let next_number = AtomicU64::new(0);
            loop {
                let _ = send_numbers(peer, &address, &name, &next_number);
                log(&format!("anew {peer}"));
                thread::sleep(SEND_INTERVAL);
            }
        });
    }
    for stream in listener.incoming().map_while(Result::ok) {
        thread::spawn(move || echo_lines(stream));
    }
    Ok(())
}
