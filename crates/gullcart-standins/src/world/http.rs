//! HTTP requests as couriers write them, and listeners that serve each connection on a thread.

use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::thread;

/// One request.
pub(super) struct Request {
    /// Its first line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The next request of a connection; none once it has ended.
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

/// Serves each connection on a thread of its own.
pub(super) fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let each = each.clone();
            thread::spawn(move || each(stream));
        }
    });
}
