//! Codec of the simulator's wire protocol: batches of records to the host, replies from it. All numbers are big-endian,
//! without padding; times are in nanoseconds. Field names in errors are those of the protocol description.

use thiserror::Error;

/// What is wrong with a batch. `at` is the offset in bytes from the start of the frame's body.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The body ends within a field.
    #[error("byte {at}: {field} is cut short")]
    Truncated { at: usize, field: &'static str },
    /// A record of an unknown type.
    #[error("byte {at}: record {index} has the unknown code {code}")]
    UnknownRecord { at: usize, index: u32, code: u8 },
    /// A field with an unknown value.
    #[error("byte {at}: {field} has the unknown value {value}")]
    UnknownValue { at: usize, field: &'static str, value: u32 },
    /// Bytes after the last record.
    #[error("byte {at}: {left} bytes left over after the last record")]
    TrailingBytes { at: usize, left: usize },
    /// Settings that are not UTF-8.
    #[error("byte {at}: the settings are not UTF-8 text")]
    NotUtf8 { at: usize },
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub endpoint: u32,
    pub zone: u8,
    /// Index of the kind of destination.
    pub kind: u16,
    /// Destination of the endpoint.
    pub cell: u16,
    /// 1: draining, 2: removed, 3: ready.
    pub mode: u8,
    pub weight: f32,
    /// When the endpoint started.
    pub up_since: u64,
}

/// A record of a batch. `instance` is the courier instance that it is for.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Creates an instance.
    NewInstance { instance: u16, seed: u64, settings: String },
    /// Stores an endpoint list under a number.
    EndpointList { list_number: u16, entries: Vec<Entry> },
    /// Service discovery sent an update.
    ListingChanged {
        instance: u16,
        /// Number of an endpoint list sent before.
        list_number: u16,
        /// Version of the listing.
        generation: u32,
        /// 0: changed entries, 1 or 2: the complete listing, 3: not available.
        kind: u8,
    },
    /// A message was accepted.
    Accept {
        instance: u16,
        message: u32,
        class: u8,
        /// A whole number; the protocol sends it as a float.
        destination: f32,
        /// Order key; 0 for none.
        key: u64,
        deadline: u64,
        weight_hint: u64,
        /// Bit flags.
        options: u8,
        tenant: u32,
    },
    /// Removes an instance.
    RemoveInstance { instance: u16 },
    /// A probe ended.
    Probed { instance: u16, code: u16, latency: u64, endpoint: u32, report: Vec<f32> },
    /// The client withdrew a message.
    ClientGone { instance: u16, message: u32 },
    /// The answer of a streamed message has begun.
    FirstByte { instance: u16, message: u32, endpoint: u32, attempt: u16, latency: u64 },
    /// An attempt ended.
    Finished(FinishedRecord),
    /// A timer expired.
    TimerExpired { instance: u16, token: u64 },
    /// A note from another courier.
    Note { instance: u16, from: u32, text: Vec<u8> },
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRecord {
    pub instance: u16,
    pub message: u32,
    /// Outcome: 100 is success, 301 to 307 are failures.
    pub code: u16,
    pub latency: u64,
    /// The message is final.
    pub complete: bool,
    pub endpoint: u32,
    pub attempt: u16,
    /// Depends on the code; for a rejection the retry-after time in milliseconds, or zero.
    pub detail: u32,
    /// Values of the destination's load report.
    pub report: Vec<f32>,
}

/// A record of a reply; see [`cloverstile::Action`].
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Sends a message to an endpoint.
    Route { instance: u16, message: u32, endpoint: u32, timeout: u64 },
    /// Returns a message that did not run.
    Return { instance: u16, message: u32, retry_after: u64 },
    /// Abandons a message.
    ReportFailure { instance: u16, message: u32 },
    /// Cancels an attempt.
    CancelAttempt { instance: u16, message: u32, attempt: u16 },
    /// Requests a `TimerExpired` record.
    SetTimer { instance: u16, after: u64, token: u64 },
    /// Probes an endpoint.
    Probe { instance: u16, endpoint: u32 },
    /// Closes idle connections to an endpoint.
    CloseIdle { instance: u16, endpoint: u32 },
    /// Sends a note to another courier, or to all if `peer` is 65535.
    SendNote { instance: u16, peer: u16, text: Vec<u8> },
    /// Writes a line to the log.
    Log { instance: u16, text: String },
    /// Reports a panic of the instance.
    Panic { instance: u16, text: String },
    /// Subscribes to changes of the listing, or ends the subscription.
    SubscribeListing { instance: u16, active: bool },
    /// Requests the complete listing.
    RefreshListing { instance: u16 },
}

/// Reads fields from the body of a frame.
struct Reader<'a> {
    body: &'a [u8],
    /// Offset of the next field.
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], WireError> {
        let short = WireError::Truncated { at: self.at, field };
        let end = self.at.checked_add(count).filter(|end| *end <= self.body.len()).ok_or(short)?;
        let bytes = &self.body[self.at..end];
        self.at = end;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.take(N, field)?);
        Ok(bytes)
    }

    fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        Ok(self.array::<1>(field)?[0])
    }

    fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        self.array(field).map(u16::from_be_bytes)
    }

    fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        self.array(field).map(u32::from_be_bytes)
    }

    fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        self.array(field).map(u64::from_be_bytes)
    }

    fn f32(&mut self, field: &'static str) -> Result<f32, WireError> {
        self.array(field).map(f32::from_be_bytes)
    }

    fn report(&mut self) -> Result<Vec<f32>, WireError> {
        let count = self.u8("Report count")?;
        (0..count).map(|_| self.f32("Report")).collect()
    }

    fn entry(&mut self) -> Result<Entry, WireError> {
        Ok(Entry {
            endpoint: self.u32("entry Endpoint")?,
            zone: self.u8("entry Zone")?,
            kind: self.u16("entry ClassOfHost")?,
            cell: self.u16("entry Cell")?,
            mode: self.u8("entry Mode")?,
            weight: self.f32("entry Weight")?,
            up_since: self.u64("entry UpSince")?,
        })
    }

    fn record(&mut self, index: u32) -> Result<Record, WireError> {
        let at = self.at;
        let code = self.u8("record code")?;
        if code == 110 {
            let list_number = self.u16("Slot")?;
            let count = self.u32("NodesList count")?;
            // Grows as entries are read: a wrong count ends in an error, not in a large allocation.
            let entries = (0..count).map(|_| self.entry()).collect::<Result<_, _>>()?;
            return Ok(Record::EndpointList { list_number, entries });
        }
        if !matches!(code, 10 | 20 | 30 | 40 | 50 | 60 | 70 | 80 | 90 | 100) {
            return Err(WireError::UnknownRecord { at, index, code });
        }
        let instance = self.u16("Who")?;
        Ok(match code {
            10 => {
                let seed = self.u64("Nonce64")?;
                let count = self.u32("Config count")? as usize;
                let at = self.at;
                let text = self.take(count, "Config")?;
                let settings = std::str::from_utf8(text).map_err(|_| WireError::NotUtf8 { at })?.to_owned();
                Record::NewInstance { instance, seed, settings }
            }
            20 => Record::ListingChanged {
                instance,
                list_number: self.u16("Slot")?,
                generation: self.u32("Generation")?,
                kind: self.u8("Kind")?,
            },
            30 => Record::Accept {
                instance,
                message: self.u32("Call")?,
                class: self.u8("Profile")?,
                destination: self.f32("Dest")?,
                key: self.u64("Key")?,
                deadline: self.u64("ClientDeadline")?,
                weight_hint: self.u64("WeightHint")?,
                options: self.u8("Opts")?,
                tenant: self.u32("Owner")?,
            },
            40 => Record::FirstByte {
                instance,
                message: self.u32("Call")?,
                endpoint: self.u32("Endpoint")?,
                attempt: self.u16("Trial")?,
                latency: self.u64("DelaySeen")?,
            },
            50 => Record::Finished(FinishedRecord {
                instance,
                message: self.u32("Call")?,
                code: self.u16("Code")?,
                latency: self.u64("DelaySeen")?,
                complete: self.u8("Complete")? != 0,
                endpoint: self.u32("Endpoint")?,
                attempt: self.u16("Trial")?,
                detail: self.u32("Detail")?,
                report: self.report()?,
            }),
            60 => Record::ClientGone { instance, message: self.u32("Call")? },
            70 => Record::TimerExpired { instance, token: self.u64("Cookie")? },
            80 => Record::Probed {
                instance,
                code: self.u16("Code")?,
                latency: self.u64("DelaySeen")?,
                endpoint: self.u32("Endpoint")?,
                report: self.report()?,
            },
            90 => {
                let from = self.u32("From")?;
                let count = usize::from(self.u16("Msg count")?);
                Record::Note { instance, from, text: self.take(count, "Msg")?.to_vec() }
            }
            _ => Record::RemoveInstance { instance },
        })
    }
}

/// Reads the body of a batch (without its length): the clock and the records.
pub fn read_batch(body: &[u8]) -> Result<(u64, Vec<Record>), WireError> {
    let mut reader = Reader { body, at: 0 };
    let clock = reader.u64("clock")?;
    let count = reader.u32("record count")?;
    let mut records = Vec::new();
    for index in 0..count {
        records.push(reader.record(index)?);
    }
    match body.len() - reader.at {
        0 => Ok((clock, records)),
        left => Err(WireError::TrailingBytes { at: reader.at, left }),
    }
}

/// Appends a text of at most 64 KiB with its length.
fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    let count = text.len().min(usize::from(u16::MAX));
    out.extend((count as u16).to_be_bytes());
    out.extend(&text[..count]);
}

/// Appends one record of a reply.
pub fn write_reply(out: &mut Vec<u8>, reply: &Reply) {
    let mut head = |code: u8, instance: &u16| {
        out.push(code);
        out.extend(instance.to_be_bytes());
    };
    match reply {
        Reply::Route { instance, message, endpoint, timeout } => {
            head(10, instance);
            out.extend(message.to_be_bytes());
            out.extend(endpoint.to_be_bytes());
            out.extend(timeout.to_be_bytes());
        }
        Reply::Return { instance, message, retry_after } => {
            head(20, instance);
            out.extend(message.to_be_bytes());
            out.extend(retry_after.to_be_bytes());
        }
        Reply::ReportFailure { instance, message } => {
            head(30, instance);
            out.extend(message.to_be_bytes());
        }
        Reply::CancelAttempt { instance, message, attempt } => {
            head(40, instance);
            out.extend(message.to_be_bytes());
            out.extend(attempt.to_be_bytes());
        }
        Reply::SetTimer { instance, after, token } => {
            head(50, instance);
            out.extend(after.to_be_bytes());
            out.extend(token.to_be_bytes());
        }
        Reply::Probe { instance, endpoint } => {
            head(60, instance);
            out.extend(endpoint.to_be_bytes());
        }
        Reply::CloseIdle { instance, endpoint } => {
            head(70, instance);
            out.extend(endpoint.to_be_bytes());
        }
        Reply::SendNote { instance, peer, text } => {
            head(80, instance);
            out.extend(peer.to_be_bytes());
            put_text(out, text);
        }
        Reply::Log { instance, text } => {
            head(90, instance);
            put_text(out, text.as_bytes());
        }
        Reply::Panic { instance, text } => {
            head(100, instance);
            put_text(out, text.as_bytes());
        }
        Reply::SubscribeListing { instance, active } => {
            head(110, instance);
            out.push(u8::from(*active));
        }
        Reply::RefreshListing { instance } => head(120, instance),
    }
}

/// A complete reply frame: length and records.
pub fn write_frame(replies: &[Reply]) -> Vec<u8> {
    let mut out = vec![0; 4];
    for reply in replies {
        write_reply(&mut out, reply);
    }
    let length = u32::try_from(out.len() - 4).unwrap_or(u32::MAX);
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}
