//! A process for tests of links and faults between processes. It sends increasing numbers to each of its peers, one a line,
//! and echoes every line that it receives. It logs what it receives, the echoes and its reconnects.
//!
//! `ECHO_NAME` is its name, `ECHO_PEERS` the comma-separated addresses of its peers. It reconnects when a connection ends or
//! returns no echo for [`ECHO_TIMEOUT`].
#![forbid(unsafe_code)]

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between two numbers, and before reconnecting.
const SEND_INTERVAL: Duration = Duration::from_millis(5);
/// How long a connection may return no echo.
const ECHO_TIMEOUT: Duration = Duration::from_millis(400);

/// Writes a line to the log.
fn log(line: &str) {
    // Fails only if the reader of the log is gone.
    let _ = writeln!(io::stderr(), "{line}");
}

/// Sends numbers to one peer until the connection fails or its echoes stop. Numbers continue from those of earlier
/// connections.
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

/// Echoes the lines of one connection.
fn echo_lines(stream: TcpStream) -> io::Result<()> {
    let mut out = stream.try_clone()?;
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    // A last line without its end was cut off, and does not count as received.
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
