//! Interprets an endpoint's response.

use bytes::Bytes;
use cloverstile::{LimitReport, Outcome};
use gullcart_engine::CallResult;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::Response;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Largest body that is read. The body has no meaning for the courier, so a connection with a longer one is closed.
const MAX_BODY_BYTES: u64 = 64 << 10;
/// How long the rest of a response may take before its connection is closed.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest plausible remaining share in a load report; a report beyond it is ignored.
const MAX_REMAINING_SHARE: f64 = 2.0;
/// Largest plausible limit in a load report; a report beyond it is ignored.
const MAX_CALL_LIMIT: f64 = 1e6;
/// Upper bound on the retry-after interval that an endpoint can ask for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);

/// The outcome that a response's head reports for its call.
pub(super) fn parse_response_head(response: &Response<Incoming>, latency: Duration) -> CallResult {
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    let (outcome, is_final) = match response.status().as_u16() {
        200 => (Outcome::Ok, true),
        429 => {
            let retry_after = header("X-Come-Back-Ms").and_then(|text| text.trim().parse().ok());
            let retry_after =
                retry_after.filter(|ms| *ms > 0).map(|ms| Duration::from_millis(ms).min(MAX_RETRY_AFTER));
            (Outcome::Rejected(retry_after), false)
        }
        503 if header("X-Line-Busy").is_some_and(|text| text.trim() == "1") => (Outcome::NotSent, false),
        503 => (Outcome::Rejected(None), false),
        504 => (Outcome::AttemptsExhausted, false),
        410 => (Outcome::NotSent, true),
        // A server error, or a status without a defined meaning: the call may have run.
        _ => (Outcome::Error, false),
    };
    CallResult { outcome, latency, is_final, allowance: header("X-Load-Report").and_then(parse_load_report) }
}

/// Parses the load report header; none where a value is missing or implausible.
pub(super) fn parse_load_report(text: &str) -> Option<LimitReport> {
    let value = |name: &str| -> Option<f64> {
        let fields = text.split(',').filter_map(|field| field.trim().split_once('='));
        fields.filter(|(field, _)| *field == name).find_map(|(_, value)| value.trim().parse().ok())
    };
    let (share, limit) = (value("x0")?, value("x1")?);
    let is_plausible =
        (0.0..=MAX_REMAINING_SHARE).contains(&share) && (0.0..=MAX_CALL_LIMIT).contains(&limit);
    is_plausible.then_some(LimitReport { remaining_share: share, limit })
}

/// Reads the body of a response; none if it is too long, incomplete, or not received by `end`.
pub(super) async fn read_body(response: Response<Incoming>, end: Instant) -> Option<Bytes> {
    if response.body().size_hint().lower() > MAX_BODY_BYTES {
        return None;
    }
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES as usize).collect();
    let deadline = end.min(Instant::now() + BODY_TIMEOUT);
    let body = timeout_at(deadline, body).await.ok()?.ok()?;
    Some(body.to_bytes())
}
