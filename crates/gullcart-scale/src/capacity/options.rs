//! Options of the design, weighed with figures at the target size.

use super::format::{figure, value, Unit};
use super::quantity as q;
use super::roles::{RELAYS_OF_A_ZONE, VOTERS};
use super::table::table;
use super::target::{self, assumed};
use super::workbook::{CapacityError, Figure, Workbook};
use gullcart_group::table::MAX_MEMBERS;

/// Between two renewals of a courier's lease at its relay.
const RENEWAL_S: f64 = 0.5;
/// Between two questions of a courier that pulls: a change has to be found, fetched and acted on within three seconds.
const PULL_S: f64 = 1.0;
/// Bytes of a digest, or of an answer that there is nothing new, with its frame.
const BYTES_OF_A_DIGEST: f64 = 64.0;
/// Bytes of a shard in the table of placement: its replicas and its epoch.
pub const BYTES_OF_A_SHARD: f64 = 20.0;
/// One holder of the trials of a partner tries this often in a second.
const HELD_TRIALS: f64 = 1.0;

/// The table of options.
pub fn options(workbook: &mut Workbook) -> Result<String, CapacityError> {
    let mut rows = knowledge(workbook)?;
    rows.extend(transport(workbook)?);
    rows.extend(trials(workbook)?);
    rows.extend(agreement(workbook)?);
    Ok(table(["question", "option", "at the target size", "verdict"], rows))
}

fn row(question: &str, option: &str, figures: String, verdict: &str) -> [String; 4] {
    [question.to_owned(), option.to_owned(), figures, verdict.to_owned()]
}

fn knowledge(workbook: &mut Workbook) -> Result<Vec<[String; 4]>, CapacityError> {
    let all = workbook.at(q::STORE_MEMORY, target::DESTINATIONS)?;
    let part =
        workbook.each(q::STORE_MEMORY, target::destinations_a_courier())? * target::destinations_a_courier();
    let least = target::DESTINATIONS * assumed::BYTES_OF_A_DESTINATION;
    let heard = target::state_changes_a_second() * assumed::BYTES_OF_A_STATE_CHANGE;
    let heard_part = heard * target::destinations_a_courier() / target::DESTINATIONS;
    let sent = target::state_changes_a_second() * target::COURIERS;
    let sent_part = target::state_changes_a_second() * target::replicas();
    let shards = target::shards() * BYTES_OF_A_SHARD;
    Ok(vec![
        row(
            "who knows a destination",
            "every courier",
            format!(
                "{} of memory, {} at the least, of a budget of {}; {} heard by each; {} told in sum",
                figure(&all, Unit::Bytes),
                value(least, Unit::Bytes),
                value(target::CONTROL_MEMORY, Unit::Bytes),
                value(heard, Unit::ByteRate),
                value(sent, Unit::Rate)
            ),
            "rejected: memory",
        ),
        row(
            "who knows a destination",
            "its replica set of couriers",
            format!(
                "{} of memory; {} heard by each; {} told in sum",
                figure(&part, Unit::Bytes),
                value(heard_part, Unit::ByteRate),
                value(sent_part, Unit::Rate)
            ),
            "chosen",
        ),
        row(
            "how a client's courier finds the replica set",
            "table of shards in every courier, destinations hashed to shards",
            format!(
                "{} shards of {} destinations; {} of memory",
                value(target::shards(), Unit::Count),
                value(target::DESTINATIONS / target::shards(), Unit::Count),
                value(shards, Unit::Bytes)
            ),
            "chosen",
        ),
        row(
            "how a client's courier finds the replica set",
            "table of destinations",
            value(target::DESTINATIONS * BYTES_OF_A_SHARD, Unit::Bytes),
            "rejected: moves of single destinations are many changes",
        ),
    ])
}

fn transport(workbook: &mut Workbook) -> Result<Vec<[String; 4]>, CapacityError> {
    let endpoints = target::DESTINATIONS * assumed::ENDPOINTS_OF_A_DESTINATION;
    let taken_in = workbook.latest(q::WHOLE_LIST, endpoints)?;
    let whole = target::DESTINATIONS * assumed::BYTES_OF_A_DESTINATION;
    let scope = target::destinations_a_courier() * assumed::BYTES_OF_A_DESTINATION;
    let seconds = |bytes: f64| value(bytes / target::CONTROL_NETWORK, Unit::Seconds);
    let relays = target::couriers_of_a_zone();
    Ok(vec![
        row(
            "what a change sends",
            "the whole list",
            format!(
                "{}, {} at a courier's budget; {} of processor time to take it in",
                value(whole, Unit::Bytes),
                seconds(whole),
                figure(&taken_in, Unit::Seconds)
            ),
            "rejected",
        ),
        row(
            "what a change sends",
            "the whole scope",
            format!("{}, {} at a courier's budget", value(scope, Unit::Bytes), seconds(scope)),
            "as snapshot, where a digest differs",
        ),
        row(
            "what a change sends",
            "a delta, with digests for anti-entropy",
            format!(
                "{}, and {} for each digest",
                value(assumed::BYTES_OF_A_CHANGE, Unit::Bytes),
                value(BYTES_OF_A_DIGEST, Unit::Bytes)
            ),
            "chosen",
        ),
        row(
            "who begins",
            "pull, by every courier from one place",
            format!(
                "{} and {} where nothing changes",
                value(target::COURIERS / PULL_S, Unit::Rate),
                value(target::COURIERS / PULL_S * BYTES_OF_A_DIGEST, Unit::ByteRate)
            ),
            "rejected: nothing ends what a courier that cannot ask goes on doing",
        ),
        row(
            "who begins",
            "push by the relay of the zone; the courier renews a lease there",
            format!(
                "{} at a relay, {} for a courier",
                value(relays / RENEWAL_S / RELAYS_OF_A_ZONE, Unit::Rate),
                value(BYTES_OF_A_DIGEST / RENEWAL_S, Unit::ByteRate)
            ),
            "chosen",
        ),
    ])
}

fn trials(workbook: &mut Workbook) -> Result<Vec<[String; 4]>, CapacityError> {
    let of_one_partner = workbook.at(q::TRIALS, target::COURIERS)?;
    let between =
        of_one_partner.clone().value().map_or(Figure::Open, |rate| Figure::given(target::COURIERS / rate));
    let all = of_one_partner.clone() * target::destinations_down();
    let of_replicas = workbook.at(q::TRIALS, target::replicas())?;
    let return_of_replicas = workbook.at(q::RETURN_CALLS, target::replicas())?;
    let held = target::destinations_down() * HELD_TRIALS;
    Ok(vec![
        row(
            "who tries what is down",
            "every courier for itself",
            format!(
                "{} at one partner, {} between two of a courier, {} in sum",
                figure(&of_one_partner, Unit::Rate),
                figure(&between, Unit::Seconds),
                figure(&all, Unit::Rate)
            ),
            "rejected",
        ),
        row(
            "who tries what is down",
            "each of the replica set for itself",
            format!(
                "{} at one partner, {} in sum; {} of what a partner survives as it is back",
                figure(&of_replicas, Unit::Rate),
                figure(&(of_replicas.clone() * target::destinations_down()), Unit::Rate),
                figure(&return_of_replicas, Unit::Share)
            ),
            "where the lease is not there",
        ),
        row(
            "who tries what is down",
            "one of the replica set, under a lease",
            format!(
                "{} at one partner, {} in sum, {} for a courier",
                value(HELD_TRIALS, Unit::Rate),
                value(held, Unit::Rate),
                value(held / target::COURIERS, Unit::Rate)
            ),
            "chosen",
        ),
    ])
}

fn agreement(workbook: &mut Workbook) -> Result<Vec<[String; 4]>, CapacityError> {
    let flat = workbook.at(q::GROUP_MESSAGES, target::COURIERS)?;
    let flat_core = workbook.at(q::GROUP_PROCESSOR, target::COURIERS)?;
    let zone = workbook.at(q::GROUP_MESSAGES, target::couriers_of_a_zone())?;
    let top = workbook.at(q::VOTERS_MESSAGES, VOTERS)?;
    Ok(vec![
        row(
            "who agrees",
            "one quorum that all couriers ask",
            format!(
                "{} among all and {} for one duty; {} members are allowed; a region that is cut off renews nothing",
                figure(&flat, Unit::Rate),
                figure(&flat_core, Unit::Cores),
                value(MAX_MEMBERS as f64, Unit::Count)
            ),
            "rejected",
        ),
        row(
            "who agrees",
            "a quorum at the top on placement alone, leases renewed at the relays of the zone",
            format!(
                "{} among {} voters; {} in a zone",
                figure(&top, Unit::Rate),
                value(VOTERS, Unit::Count),
                figure(&zone, Unit::Rate)
            ),
            "chosen",
        ),
    ])
}
