//! As much of HTTP/1.1 as the daemon speaks to its stand-ins, on blocking sockets.

use std::io::{self, BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// A request that is longer is not of the daemon.
const LONGEST_BODY: usize = 16 << 20;

/// A request of the daemon.
pub struct Request {
    /// Method, path and version.
    pub line: String,
}

/// Reads the next request with its body; none where the connection ends before it.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut length = 0;
    loop {
        let mut header = String::new();
        if stream.read_line(&mut header)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().map_err(io::Error::other)?;
        }
    }
    if length > LONGEST_BODY {
        return Err(io::Error::other("a body without end"));
    }
    stream.read_exact(&mut vec![0; length])?;
    Ok(Some(Request { line }))
}

/// Serves each connection of a new loopback address on a thread of its own, as long as this process lives.
pub fn serve(each: impl Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let each = each.clone();
            // A daemon that is killed breaks its connections.
            thread::spawn(move || drop(each(stream)));
        }
    });
    Ok(address)
}
