//! Reading and writing of frames on a TCP connection.

use crate::protocol::{FrameCodec, FrameError, Hello, MAC_BYTES, MAX_HELLO_BYTES};
use serde::Serialize;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Turns a protocol error into an I/O error.
pub(crate) fn invalid_data(error: FrameError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Reads a frame without decoding it, of at most `max_bytes`.
pub(crate) async fn read_frame(stream: &mut TcpStream, max_bytes: usize) -> io::Result<Vec<u8>> {
    let length = stream.read_u32_le().await? as usize;
    if !(MAC_BYTES..=max_bytes).contains(&length) {
        return Err(invalid_data(FrameError::Length(length)));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

/// Sends a hello.
pub(crate) async fn write_hello(stream: &mut TcpStream, hello: &Hello, key: &[u8]) -> io::Result<()> {
    let bytes = hello.write(key);
    stream.write_all(&[&(bytes.len() as u32).to_le_bytes()[..], &bytes].concat()).await
}

/// Sends a hello on a connection that this side has opened, and returns the reply.
pub(crate) async fn exchange_hellos(stream: &mut TcpStream, own: &Hello, key: &[u8]) -> io::Result<Hello> {
    write_hello(stream, own, key).await?;
    let bytes = read_frame(stream, MAX_HELLO_BYTES).await?;
    Hello::read_reply(key, &bytes, own).map_err(invalid_data)
}

/// Sends a message in a frame.
pub(crate) async fn write_frame<T: Serialize>(
    stream: &mut TcpStream,
    codec: &mut FrameCodec,
    message: &T,
) -> io::Result<()> {
    let frame = codec.write(message).ok_or(io::ErrorKind::InvalidData)?;
    stream.write_all(&frame).await
}
