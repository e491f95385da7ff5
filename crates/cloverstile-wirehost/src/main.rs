//! Puts the decision module on the bench's wire: batches on standard input, one reply each on standard output.

use cloverstile_wirehost::{host, wire};
use std::io::{self, ErrorKind, Read, Write};
use std::process::ExitCode;

/// Reads one frame's body; none at a clean end of input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut length = [0; 4];
    let mut have = 0;
    while have < length.len() {
        match input.read(&mut length[have..]) {
            Ok(0) if have == 0 => return Ok(None),
            Ok(0) => return Err(format!("input ends after {have} of 4 bytes of a frame's length")),
            Ok(count) => have += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(format!("cannot read a frame's length: {error}")),
        }
    }
    let length = u64::from(u32::from_be_bytes(length));
    // Grows with what really comes, whatever the length field says.
    let mut body = Vec::new();
    input.take(length).read_to_end(&mut body).map_err(|error| format!("cannot read a frame: {error}"))?;
    if (body.len() as u64) < length {
        return Err(format!("input ends after {} of {length} bytes of a frame", body.len()));
    }
    Ok(Some(body))
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut batch = 0_u64;
    while let Some(body) = read_frame(input).map_err(|error| format!("batch {batch}: {error}"))? {
        let (clock, records) = wire::read_batch(&body).map_err(|error| format!("batch {batch}: {error}"))?;
        let replies = host.run(clock, records).map_err(|error| format!("batch {batch}: {error}"))?;
        let sent = output.write_all(&wire::write_frame(&replies)).and_then(|()| output.flush());
        sent.map_err(|error| format!("batch {batch}: cannot write the reply: {error}"))?;
        batch += 1;
    }
    Ok(())
}

fn main() -> ExitCode {
    let input = io::stdin().lock();
    match serve(&mut io::BufReader::with_capacity(1 << 16, input), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cloverstile-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
