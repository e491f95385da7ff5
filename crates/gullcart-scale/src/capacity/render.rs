//! All blocks and spans of the page.

use super::backlog::backlog;
use super::breaks::breaks;
use super::budget::{budget, machines};
use super::drawing::drawing;
use super::failures::failures;
use super::format::{figure, value, Unit, EXTRAPOLATED};
use super::options::options;
use super::page::{fill, Rendered};
use super::quantity as q;
use super::roles::{loads, roles, Moment, VOTERS};
use super::shared_sizes::shared_sizes;
use super::table::table;
use super::target::{self, assumed};
use super::workbook::{CapacityError, Method, Source, Workbook};
use std::collections::BTreeMap;
use std::path::Path;

/// The page as the records in a folder give it.
pub fn rendered_page(page: &str, folder: &Path) -> Result<String, CapacityError> {
    let mut workbook = Workbook::read(folder)?;
    fill(page, &render(&mut workbook)?)
}

/// All that can stand in the page.
pub fn render(workbook: &mut Workbook) -> Result<Rendered, CapacityError> {
    let mut blocks = BTreeMap::new();
    blocks.insert("drawing", drawing());
    blocks.insert("target", targets());
    blocks.insert("assumed", assumptions());
    blocks.insert("breaks", breaks(workbook)?);
    blocks.insert("roles", roles(workbook)?);
    blocks.insert("ordinary", loads(Moment::Ordinary, workbook)?);
    blocks.insert("burst", loads(Moment::Burst, workbook)?);
    blocks.insert("zone", loads(Moment::ZoneLost, workbook)?);
    blocks.insert("options", options(workbook)?);
    blocks.insert("budget", budget(workbook)?);
    blocks.insert("machines", machines(workbook)?);
    blocks.insert("backlog", backlog(workbook)?);
    blocks.insert("failures", failures(workbook)?);
    blocks.insert("shared", shared_sizes(workbook)?);
    blocks.insert("in-force", in_force(workbook)?);
    // Sources are known once all else is worked out.
    blocks.insert("sources", sources(&workbook.sources));
    blocks.insert("open", not_measured());
    let owned = |(name, text): (&str, String)| (name.to_owned(), text);
    Ok(Rendered { blocks: blocks.into_iter().map(owned).collect(), spans: spans(workbook)? })
}

fn targets() -> String {
    let rows = [
        ("couriers", value(target::COURIERS, Unit::Count)),
        ("events", value(target::EVENTS_A_SECOND, Unit::Rate)),
        ("events of one courier", value(target::events_a_courier(), Unit::Rate)),
        ("destinations", value(target::DESTINATIONS, Unit::Count)),
        ("destinations down", value(target::destinations_down(), Unit::Count)),
        ("events that wait at the worst", value(target::BACKLOG, Unit::Count)),
        ("... at one courier", value(target::backlog_a_courier(), Unit::Count)),
        ("regions", value(target::REGIONS, Unit::Count)),
        ("zones", value(target::ZONES, Unit::Count)),
        ("couriers of a zone", value(target::couriers_of_a_zone(), Unit::Count)),
        ("changes of configuration in a day", value(target::CHANGES_A_DAY, Unit::Count)),
        ("... in the mean", value(target::changes_a_second(), Unit::Rate)),
        ("in force everywhere within", value(target::IN_FORCE_WITHIN.as_secs_f64(), Unit::Seconds)),
        ("processor for control, of a courier", value(target::CONTROL_CORE, Unit::Cores)),
        ("memory for control, of a courier", value(target::CONTROL_MEMORY, Unit::Bytes)),
        ("network for control, of a courier", value(target::CONTROL_NETWORK, Unit::ByteRate)),
        ("machines for control", value(target::CONTROL_MACHINES, Unit::Count)),
        ("machines that fail in a day", value(target::FAILURES_A_DAY, Unit::Count)),
        ("couriers restarted or replaced in a day", value(target::RESTARTS_A_DAY, Unit::Count)),
    ];
    pairs(["asked for", "size"], &rows)
}

fn assumptions() -> String {
    let rows = [
        ("shards of a zone", value(assumed::SHARDS_OF_A_ZONE, Unit::Count)),
        ("so shards", value(target::shards(), Unit::Count)),
        ("so destinations of a shard", value(target::destinations_a_shard(), Unit::Count)),
        ("shards of a courier", value(assumed::SHARDS_OF_A_COURIER, Unit::Count)),
        ("so couriers of a shard, its replica set", value(target::replicas(), Unit::Count)),
        ("endpoints of a destination", value(assumed::ENDPOINTS_OF_A_DESTINATION, Unit::Count)),
        ("so destinations of a courier", value(target::destinations_a_courier(), Unit::Count)),
        ("so endpoints of a courier", value(target::endpoints_a_courier(), Unit::Count)),
        ("how long a message is held where nothing is wrong", value(assumed::HELD_FOR_S, Unit::Seconds)),
        ("changes of configuration in the worst second", value(assumed::BURST_CHANGES, Unit::Count)),
        ("how long a destination is down in the mean", value(assumed::OUTAGE_S, Unit::Seconds)),
        ("so falls and returns", value(target::state_changes_a_second(), Unit::Rate)),
        ("bytes kept of a destination", value(assumed::BYTES_OF_A_DESTINATION, Unit::Bytes)),
        ("bytes of a fall or return on its way", value(assumed::BYTES_OF_A_STATE_CHANGE, Unit::Bytes)),
        ("bytes of a change of a setting", value(assumed::BYTES_OF_A_CHANGE, Unit::Bytes)),
        ("couriers of a rack", value(assumed::RACK, Unit::Count)),
        ("regions apart for", value(assumed::REGIONS_APART_S, Unit::Seconds)),
    ];
    pairs(["assumed", "size"], &rows)
}

/// How long changes took at the full size, and what the worst seconds were.
fn in_force(workbook: &mut Workbook) -> Result<String, CapacityError> {
    let slope = [
        (
            "sockets: the worst change at the usual rate, until in force everywhere",
            q::IN_FORCE_USUAL,
            Unit::Seconds,
        ),
        (
            "sockets: the worst change of the burst, until in force everywhere",
            q::IN_FORCE_BURST,
            Unit::Seconds,
        ),
        ("... until the source knew of it", q::KNOWN_BURST, Unit::Seconds),
    ];
    let runs = [
        (
            "sockets, another run: the worst change of the burst, until in force everywhere",
            q::IN_FORCE_BURST_AGAIN,
            Unit::Seconds,
        ),
        ("... until the source knew of it", q::KNOWN_BURST_AGAIN, Unit::Seconds),
        ("virtual time: the worst change at the usual rate", q::VIRTUAL_IN_FORCE, Unit::Seconds),
        (
            "virtual time: the worst one where destinations fall and return as well",
            q::VIRTUAL_STATES_IN_FORCE,
            Unit::Seconds,
        ),
        ("virtual time: the worst change of the burst", q::VIRTUAL_BURST_IN_FORCE, Unit::Seconds),
        (
            "virtual time: a courier where destinations fall and return as well",
            q::VIRTUAL_STATES_BYTES,
            Unit::ByteRate,
        ),
        (
            "virtual time: a courier in its busiest second of the burst",
            q::VIRTUAL_BURST_BYTES,
            Unit::ByteRate,
        ),
        (
            "virtual time: a zone's relay in its busiest second of the burst",
            q::VIRTUAL_BURST_RELAY_BYTES,
            Unit::ByteRate,
        ),
        (
            "virtual time: a zone's relay in its busiest second as the zone is back",
            q::VIRTUAL_ZONE_BACK_BYTES,
            Unit::ByteRate,
        ),
    ];
    let mut rows = Vec::new();
    for (what, quantity, unit) in slope {
        rows.push((what, figure(&workbook.at(quantity, target::COURIERS)?, unit)));
    }
    for (what, quantity, unit) in runs {
        rows.push((what, figure(&workbook.read_figure(quantity)?, unit)));
    }
    Ok(pairs(["distribution at the full size", "measured"], &rows))
}

fn pairs(header: [&str; 2], rows: &[(&str, String)]) -> String {
    table(header, rows.iter().map(|(name, size)| [(*name).to_owned(), size.clone()]).collect())
}

fn sources(sources: &[Source]) -> String {
    let row = |(place, source): (usize, &Source)| {
        let record = source.quantity.record;
        let star = if source.is_extrapolated() { EXTRAPOLATED } else { "" };
        [
            (place + 1).to_string(),
            format!("[{record}](capacity/results/{record}.json)"),
            source.quantity.name.to_owned(),
            value(source.size, Unit::Count) + star + " " + &source.axis,
            measured_at(source.measured),
            method(source.method),
            format!("{} {}", value(source.value, Unit::Count), source.unit),
        ]
    };
    let header = ["no.", "record", "quantity", "at", "measured at", "by", "value"];
    table(header, sources.iter().enumerate().map(row).collect())
}

fn measured_at((smallest, largest): (f64, f64)) -> String {
    format!("{} to {}", value(smallest, Unit::Count), value(largest, Unit::Count))
}

fn method(method: Method) -> String {
    match method {
        Method::Read => "the run".to_owned(),
        Method::Between => "two measured sizes".to_owned(),
        Method::Line => "the fitted line".to_owned(),
        Method::Secant => "the slope between the two largest".to_owned(),
        Method::Level => "no growth, the most measured".to_owned(),
        Method::Power(exponent) => format!("size to the power of {}", value(exponent, Unit::Count)),
    }
}

fn not_measured() -> String {
    let rows = q::NOT_MEASURED.iter().map(|quantity| [quantity.record.to_owned(), quantity.name.to_owned()]);
    table(["record", "quantity"], rows.collect())
}

fn spans(workbook: &mut Workbook) -> Result<BTreeMap<String, String>, CapacityError> {
    let count = |number: f64| value(number, Unit::Count);
    let trials = workbook.at(q::TRIALS, target::COURIERS)?;
    let spans = [
        ("couriers", count(target::COURIERS)),
        ("destinations", count(target::DESTINATIONS)),
        ("down", count(target::destinations_down())),
        ("events-a-courier", value(target::events_a_courier(), Unit::Rate)),
        ("backlog", count(target::BACKLOG)),
        ("backlog-a-courier", count(target::backlog_a_courier())),
        ("served", count(target::destinations_a_courier())),
        ("replicas", count(target::replicas())),
        ("shards", count(target::shards())),
        ("voters", count(VOTERS)),
        ("zone", count(target::couriers_of_a_zone())),
        ("zones", count(target::ZONES)),
        ("regions", count(target::REGIONS)),
        ("changes-a-day", count(target::CHANGES_A_DAY)),
        ("changes-a-second", value(target::changes_a_second(), Unit::Rate)),
        ("burst", count(assumed::BURST_CHANGES)),
        ("states", value(target::state_changes_a_second(), Unit::Rate)),
        ("within", value(target::IN_FORCE_WITHIN.as_secs_f64(), Unit::Seconds)),
        ("control-core", value(target::CONTROL_CORE, Unit::Cores)),
        ("control-memory", value(target::CONTROL_MEMORY, Unit::Bytes)),
        ("control-network", value(target::CONTROL_NETWORK, Unit::ByteRate)),
        ("control-machines", count(target::CONTROL_MACHINES)),
        ("couriers-a-machine", count(target::COURIERS / target::CONTROL_MACHINES)),
        ("bytes-of-a-destination", value(assumed::BYTES_OF_A_DESTINATION, Unit::Bytes)),
        ("restarts-a-day", count(target::RESTARTS_A_DAY)),
        ("trials", figure(&trials, Unit::Rate)),
        (
            "trial-interval",
            trials.value().map_or(String::new(), |rate| value(target::COURIERS / rate, Unit::Seconds)),
        ),
    ];
    Ok(spans.into_iter().map(|(name, text)| (name.to_owned(), text)).collect())
}
