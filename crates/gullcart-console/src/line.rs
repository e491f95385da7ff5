//! A caller's line, as it comes in pieces.

use thiserror::Error;

/// Bytes of a line at most, its end not counted.
pub const LONGEST_LINE: usize = 512;
/// Bytes of an endpoint's id at most.
pub const LONGEST_ID: usize = 256;

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Does this process take clients?
    Status,
    /// The figures.
    Metrics,
    /// Take this endpoint out.
    Suspend(String),
    /// This endpoint may serve again.
    Restore(String),
}

/// Why a line is no call. Nothing was done.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Fault {
    #[error("the line is empty; ask STATUS, METRICS, SUSPEND ID or RESTORE ID")]
    Empty,
    #[error("the line is longer than {LONGEST_LINE} bytes")]
    TooLong,
    #[error("the line is not text in UTF-8")]
    NotText,
    #[error("one line to a connection")]
    TwoLines,
    #[error("the connection's sending side ended within the line")]
    Half,
    #[error("the line did not come to its end in time")]
    Late,
    #[error("unknown call; ask STATUS, METRICS, SUSPEND ID or RESTORE ID")]
    Unknown,
    #[error("SUSPEND and RESTORE take the id of one endpoint, of {LONGEST_ID} bytes at most")]
    WantsId,
    #[error("STATUS and METRICS take nothing more")]
    WantsNothing,
}

impl Call {
    /// Reads a line without its end.
    pub fn parse(line: &[u8]) -> Result<Call, Fault> {
        let text = std::str::from_utf8(line).map_err(|_| Fault::NotText)?;
        let mut words = text.split_ascii_whitespace();
        let verb = words.next().ok_or(Fault::Empty)?.to_ascii_uppercase();
        let (id, more) = (words.next(), words.next());
        let id_alone = || match (id, more) {
            (Some(id), None) if id.len() <= LONGEST_ID && !id.chars().any(char::is_control) => {
                Ok(id.to_owned())
            }
            _ => Err(Fault::WantsId),
        };
        match verb.as_str() {
            "STATUS" | "METRICS" if id.is_some() => Err(Fault::WantsNothing),
            "STATUS" => Ok(Call::Status),
            "METRICS" => Ok(Call::Metrics),
            "SUSPEND" => id_alone().map(Call::Suspend),
            "RESTORE" => id_alone().map(Call::Restore),
            _ => Err(Fault::Unknown),
        }
    }
}

/// Puts a line together from pieces of any size.
#[derive(Debug, Default)]
pub struct Lines {
    held: Vec<u8>,
}

impl Lines {
    /// Takes a piece in: the call once its line is whole, the fault where it can be none any more.
    pub fn feed(&mut self, piece: &[u8]) -> Option<Result<Call, Fault>> {
        let Some(end) = piece.iter().position(|byte| *byte == b'\n') else {
            if self.held.len() + piece.len() > LONGEST_LINE {
                return Some(Err(Fault::TooLong));
            }
            self.held.extend_from_slice(piece);
            return None;
        };
        if self.held.len() + end > LONGEST_LINE {
            return Some(Err(Fault::TooLong));
        }
        self.held.extend_from_slice(&piece[..end]);
        if end + 1 < piece.len() {
            return Some(Err(Fault::TwoLines));
        }
        Some(Call::parse(self.held.strip_suffix(b"\r").unwrap_or(&self.held)))
    }

    /// The caller has ended its sending side: what is wrong, or nothing where it never said anything.
    pub fn end(&self) -> Option<Fault> {
        (!self.held.is_empty()).then_some(Fault::Half)
    }
}

#[cfg(test)]
mod tests;
