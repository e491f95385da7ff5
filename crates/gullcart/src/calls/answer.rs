//! What an endpoint's answer says.

use bytes::Bytes;
use cloverstile::{Allowance, Outcome};
use gullcart_engine::Ended;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::Response;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The body of an answer means nothing; a longer one, or a longer wait for its end, is not worth the connection.
const LONGEST_BODY: u64 = 64 << 10;
pub(super) const DRAIN: Duration = Duration::from_millis(500);
/// What is reported of a limit beyond these figures is no report.
const MOST_LEFT: f64 = 2.0;
const MOST_LIMIT: f64 = 1e6;
/// A longer wait than this is no wait that anybody can mean.
const LONGEST_WAIT: Duration = Duration::from_secs(600);

/// What an answer's head says of its call.
pub(super) fn read_answer(response: &Response<Incoming>, latency: Duration) -> Ended {
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    let (outcome, complete) = match response.status().as_u16() {
        200 => (Outcome::Ok, true),
        429 => {
            let wait = header("X-Come-Back-Ms").and_then(|text| text.trim().parse().ok());
            let wait = wait.filter(|ms| *ms > 0).map(|ms| Duration::from_millis(ms).min(LONGEST_WAIT));
            (Outcome::Full(wait), false)
        }
        503 if header("X-Line-Busy").is_some_and(|text| text.trim() == "1") => (Outcome::Moot, false),
        503 => (Outcome::Full(None), false),
        504 => (Outcome::Spent, false),
        410 => (Outcome::Moot, true),
        // An error, or an answer that nobody knows: it may have run.
        _ => (Outcome::Error, false),
    };
    Ended { outcome, latency, complete, allowance: header("X-Load-Report").and_then(read_report) }
}

pub(super) fn read_report(text: &str) -> Option<Allowance> {
    let value = |name: &str| -> Option<f64> {
        let fields = text.split(',').filter_map(|field| field.trim().split_once('='));
        fields.filter(|(field, _)| *field == name).find_map(|(_, value)| value.trim().parse().ok())
    };
    let (left, limit) = (value("x0")?, value("x1")?);
    let sound = (0.0..=MOST_LEFT).contains(&left) && (0.0..=MOST_LIMIT).contains(&limit);
    sound.then_some(Allowance { left, limit })
}

/// The body of an answer; none where it is too long, does not come by the end of its call, or breaks off.
pub(super) async fn whole_body(answer: Response<Incoming>, end: Instant) -> Option<Bytes> {
    if answer.body().size_hint().lower() > LONGEST_BODY {
        return None;
    }
    let body = Limited::new(answer.into_body(), LONGEST_BODY as usize).collect();
    let by = end.min(Instant::now() + DRAIN);
    let body = timeout_at(by, body).await.ok()?.ok()?;
    Some(body.to_bytes())
}
