//! A reader of the HTTP requests that couriers write, and listeners that serve each connection on a separate thread.

use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::thread;

/// A request.
pub(super) struct Request {
    /// The request line.
    pub line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Reads the next request of a connection; `None` once it has ended.
pub(super) fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut text = String::new();
        stream.read_line(&mut text).ok().filter(|count| *count > 0)?;
        let Some((name, value)) = text.trim_end().split_once(": ") else { break };
        headers.push((name.to_ascii_lowercase(), value.to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = vec![0; length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(Request { line, headers, body })
}

/// Calls `each` for every connection, on a separate thread.
pub(super) fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let each = each.clone();
            thread::spawn(move || each(stream));
        }
    });
}
