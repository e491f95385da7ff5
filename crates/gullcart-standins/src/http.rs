//! A parser of HTTP/1.1 requests that records the time of their first byte; only what partners and the register need.

use gullcart_judge::trace::Timestamp;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum size of the buffered bytes of a request, and of its body.
const MAX_REQUEST_BYTES: usize = 80 << 10;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 32;

/// A parsed request.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte arrived.
    pub first_byte: Timestamp,
}

impl Request {
    /// The value of a header, whose name is compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Reads consecutive requests from a connection.
#[derive(Default)]
pub struct RequestReader {
    buffer: Vec<u8>,
    first_byte: Option<Timestamp>,
}

fn invalid_data(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

impl RequestReader {
    /// The next request; `None` if the connection ends between two requests. `now` is the clock.
    pub async fn next(
        &mut self,
        input: &mut (impl AsyncRead + Unpin),
        now: impl Fn() -> Timestamp,
    ) -> io::Result<Option<Request>> {
        loop {
            if let Some((request, length)) = self.parse(self.first_byte.unwrap_or_else(&now))? {
                self.buffer.drain(..length);
                self.first_byte = (!self.buffer.is_empty()).then(&now);
                return Ok(Some(request));
            }
            if self.buffer.len() > MAX_REQUEST_BYTES {
                return Err(invalid_data("the request is too long"));
            }
            let before = self.buffer.len();
            self.buffer.reserve(4096);
            let count = input.read_buf(&mut self.buffer).await?;
            if count == 0 {
                return if before == 0 {
                    Ok(None)
                } else {
                    Err(invalid_data("the connection ended within a request"))
                };
            }
            self.first_byte.get_or_insert_with(&now);
        }
    }

    /// The request at the start of the buffer and its length; `None` if it is not complete yet.
    fn parse(&self, first_byte: Timestamp) -> io::Result<Option<(Request, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let head = match parsed.parse(&self.buffer).map_err(|error| invalid_data(&error.to_string()))? {
            httparse::Status::Complete(head) => head,
            httparse::Status::Partial => return Ok(None),
        };
        let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
        let mut request = Request {
            method: parsed.method.unwrap_or_default().to_owned(),
            path: parsed.path.unwrap_or_default().to_owned(),
            headers: parsed.headers.iter().map(|h| (h.name.to_owned(), text(h.value))).collect(),
            body: Vec::new(),
            first_byte,
        };
        let length = match request.header("content-length") {
            Some(length) => {
                length.trim().parse().map_err(|_| invalid_data("the content length is not a number"))?
            }
            None => 0,
        };
        if length > MAX_REQUEST_BYTES {
            return Err(invalid_data("the body is too long"));
        }
        let Some(body) = self.buffer.get(head..head + length) else { return Ok(None) };
        request.body = body.to_vec();
        Ok(Some((request, head + length)))
    }
}
