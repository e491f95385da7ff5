//! Frames on a connection, as bytes come and go.

use crate::sealed::{Greeting, SealError, Sealed, CODE, MOST_GREETING};
use serde::Serialize;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub(crate) fn bad(error: SealError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

pub(crate) async fn read_frame(stream: &mut TcpStream, most: usize) -> io::Result<Vec<u8>> {
    let length = stream.read_u32_le().await? as usize;
    if !(CODE..=most).contains(&length) {
        return Err(bad(SealError::Length(length)));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

pub(crate) async fn write_greeting(
    stream: &mut TcpStream,
    greeting: &Greeting,
    key: &[u8],
) -> io::Result<()> {
    let bytes = greeting.write(key);
    stream.write_all(&[&(bytes.len() as u32).to_le_bytes()[..], &bytes].concat()).await
}

/// Greets a member that was called, which answers.
pub(crate) async fn greet(stream: &mut TcpStream, mine: &Greeting, key: &[u8]) -> io::Result<Greeting> {
    write_greeting(stream, mine, key).await?;
    let bytes = read_frame(stream, MOST_GREETING).await?;
    Greeting::read_answer(key, &bytes, mine).map_err(bad)
}

pub(crate) async fn write_frame<T: Serialize>(
    stream: &mut TcpStream,
    sealed: &mut Sealed,
    words: &T,
) -> io::Result<()> {
    let frame = sealed.write(words).ok_or(io::ErrorKind::InvalidData)?;
    stream.write_all(&frame).await
}
