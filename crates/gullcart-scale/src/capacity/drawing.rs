//! The drawing of the design: who knows what.

use super::format::{value, Unit};
use super::roles::{RELAYS_OF_A_ZONE, VOTERS};
use super::target;

/// The drawing, as a block of text.
pub fn drawing() -> String {
    let count = |number: f64| value(number, Unit::Count);
    let lines = [
        format!("{} voters, each in another region: agreement on placement", count(VOTERS)),
        format!(
            "  know: {} shards -> replica set, epoch; who may write which settings",
            count(target::shards())
        ),
        "  never know: messages, leases of couriers, states of destinations".to_owned(),
        "      |  snapshot, then deltas by epoch and position".to_owned(),
        "      v".to_owned(),
        format!("{} regions: relays of the region", count(target::REGIONS)),
        "  know: the scopes that their zones want; hold one lease of the top each".to_owned(),
        "      |".to_owned(),
        "      v".to_owned(),
        format!("{} zones: {} relays in each", count(target::ZONES), count(RELAYS_OF_A_ZONE)),
        format!(
            "  know: the scopes of {} couriers; renew the leases of these",
            count(target::couriers_of_a_zone())
        ),
        "      |  delta and acknowledged position; digest against drift; admission after a loss".to_owned(),
        "      v".to_owned(),
        format!("{} couriers", count(target::COURIERS)),
        format!(
            "  know: the table of shards; settings of their scopes; {} destinations of {}",
            count(target::destinations_a_courier()),
            count(target::DESTINATIONS)
        ),
        "      |  one of a replica set tries a partner that is down, under a lease".to_owned(),
        "      v".to_owned(),
        format!(
            "{} partners, {} of them down",
            count(target::DESTINATIONS),
            count(target::destinations_down())
        ),
    ];
    format!("```text\n{}\n```\n", lines.join("\n"))
}
