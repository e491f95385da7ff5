//! Parsing of a console command line that arrives in pieces.

use thiserror::Error;

/// Maximum size of a line, without its line ending.
pub const MAX_LINE_BYTES: usize = 512;
/// Maximum size of an endpoint's id.
pub const MAX_ID_BYTES: usize = 256;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleCommand {
    /// Asks whether this process accepts clients.
    Status,
    /// Asks for the metrics.
    Metrics,
    /// Takes the endpoint with this id out of service.
    Suspend(String),
    /// Puts the endpoint with this id back into service.
    Restore(String),
}

/// Why a line is no valid command; the text is the reason in the answer. Nothing was changed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LineError {
    /// The line has no words.
    #[error("the line is empty; ask STATUS, METRICS, SUSPEND ID or RESTORE ID")]
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not valid UTF-8.
    #[error("the line is not text in UTF-8")]
    NotUtf8,
    /// Bytes follow the end of the line.
    #[error("one line to a connection")]
    ExtraLine,
    /// The client closed its sending side within the line.
    #[error("the connection's sending side ended within the line")]
    Incomplete,
    /// The line was not complete in time.
    #[error("the line did not come to its end in time")]
    TimedOut,
    /// The first word is no command.
    #[error("unknown call; ask STATUS, METRICS, SUSPEND ID or RESTORE ID")]
    UnknownCommand,
    /// SUSPEND or RESTORE came without a valid id, or with more than one.
    #[error("SUSPEND and RESTORE take the id of one endpoint, of {MAX_ID_BYTES} bytes at most")]
    EndpointIdExpected,
    /// STATUS or METRICS came with an argument.
    #[error("STATUS and METRICS take nothing more")]
    UnexpectedArgument,
}

impl ConsoleCommand {
    /// Parses a line without its line feed.
    pub fn parse(line: &[u8]) -> Result<ConsoleCommand, LineError> {
        let text = std::str::from_utf8(line).map_err(|_| LineError::NotUtf8)?;
        let mut words = text.split_ascii_whitespace();
        let keyword = words.next().ok_or(LineError::Empty)?.to_ascii_uppercase();
        let id = words.next();
        let extra = words.next();
        let single_id = || match (id, extra) {
            (Some(id), None) if id.len() <= MAX_ID_BYTES && !id.chars().any(char::is_control) => {
                Ok(id.to_owned())
            }
            _ => Err(LineError::EndpointIdExpected),
        };
        match keyword.as_str() {
            "STATUS" | "METRICS" if id.is_some() => Err(LineError::UnexpectedArgument),
            "STATUS" => Ok(ConsoleCommand::Status),
            "METRICS" => Ok(ConsoleCommand::Metrics),
            "SUSPEND" => single_id().map(ConsoleCommand::Suspend),
            "RESTORE" => single_id().map(ConsoleCommand::Restore),
            _ => Err(LineError::UnknownCommand),
        }
    }
}

/// Assembles a line from pieces of any size, and parses it.
#[derive(Debug, Default)]
pub struct LineParser {
    buffer: Vec<u8>,
}

impl LineParser {
    /// Adds a piece. Returns the command once its line is complete, or the error as soon as the line is known to be invalid.
    pub fn feed(&mut self, piece: &[u8]) -> Option<Result<ConsoleCommand, LineError>> {
        let Some(end) = piece.iter().position(|byte| *byte == b'\n') else {
            if self.buffer.len() + piece.len() > MAX_LINE_BYTES {
                return Some(Err(LineError::TooLong));
            }
            self.buffer.extend_from_slice(piece);
            return None;
        };
        if self.buffer.len() + end > MAX_LINE_BYTES {
            return Some(Err(LineError::TooLong));
        }
        self.buffer.extend_from_slice(&piece[..end]);
        if end + 1 < piece.len() {
            return Some(Err(LineError::ExtraLine));
        }
        Some(ConsoleCommand::parse(self.buffer.strip_suffix(b"\r").unwrap_or(&self.buffer)))
    }

    /// Returns the error if the client closes its sending side before its line is complete. To be called only as long as
    /// [`Self::feed`] has returned nothing; there is no error if the client has sent nothing at all.
    pub fn end_of_input(&self) -> Option<LineError> {
        (!self.buffer.is_empty()).then_some(LineError::Incomplete)
    }
}

#[cfg(test)]
mod tests;
