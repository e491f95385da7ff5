//! The figures of a scenario, for the judge, the stand-ins and the couriers.

use crate::day::Day;
use crate::scenario::{Effect, Scenario};
use gullcart_judge::{ClassRules, ClassWorth, RuleLimits};
use gullcart_standins::partner::{Limit, PartnerSpec};
use serde_json::{json, Value};
use std::time::Duration;

/// A client of a courier that is away tries so many others.
pub const MOST_TRIES: u32 = 4;
/// Clients go on using a courier that was told to end for so long.
pub const FRONT_NOTICES: Duration = Duration::from_millis(300);
/// SIGKILL comes so long after SIGTERM.
pub const END: Duration = Duration::from_millis(3700);
/// A restart takes so long at least.
pub const RESTART: Duration = Duration::from_millis(600);
/// What a dead courier held comes again to a live one after a draw from this.
pub const HANDED_AGAIN_MS: (u64, u64) = (410, 1700);
/// After the last end, so that what is told too late, or twice, is still heard.
pub const AFTERMATH: Duration = Duration::from_millis(1300);
/// Hand-ins are remembered for so long after their time, to check what arrives.
pub const REMEMBERED: Duration = Duration::from_secs(10);
/// How often a run looks whether it may end.
pub const LOOK: Duration = Duration::from_millis(50);
/// The one zone there is.
pub const ZONE: &str = "kingston-dc";

/// What the judge judges by.
pub fn rules(scenario: &Scenario) -> RuleLimits {
    let classes = scenario.classes.iter().map(|class| ClassRules {
        effect: match class.effect {
            Effect::Safe => gullcart_judge::Effect::Safe,
            Effect::Keyed => {
                gullcart_judge::Effect::Keyed { window: Duration::from_secs_f64(class.window_s) }
            }
            Effect::Unsafe => gullcart_judge::Effect::Unsafe,
        },
        in_order: class.in_order,
    });
    RuleLimits::new(classes.collect())
}

/// What service is measured by.
pub fn worths(scenario: &Scenario) -> Vec<ClassWorth> {
    let worth = |class: &crate::scenario::Class| ClassWorth {
        worth: class.worth,
        aim: Duration::from_secs_f64(class.aim_s),
        deadline: Duration::from_secs_f64(class.deadline_s),
        share_at_deadline: class.late_share,
    };
    scenario.classes.iter().map(worth).collect()
}

/// A partner's figures.
pub fn spec(partner: &crate::scenario::Partner) -> PartnerSpec {
    let figures = RuleLimits::new(Vec::new());
    let span = Duration::from_secs_f64(partner.span_s);
    PartnerSpec {
        limit: match (partner.rate, partner.count) {
            (Some(rate), _) => Limit::Rate(rate),
            (None, count) => Limit::PerWindow { calls: count.unwrap_or(1), window: span },
        },
        capacity_factor: partner.spare,
        mean_service_time: Duration::from_secs_f64(partner.pace_ms / 1e3),
        queue_capacity: partner.queue,
        retry_after_share: partner.tells_wait,
        min_retry_after: Duration::from_secs_f64(partner.wait_ms / 1e3),
        count_rejected_calls: partner.refused_count,
        cold_capacity_share: partner.cold_from,
        warm_up: Duration::from_secs_f64(partner.cold_s),
        collapse_multiple: figures.collapse_multiple,
        collapse_window: figures.collapse_window,
        error_share: partner.errors,
    }
}

fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

/// The settings that couriers are given, in the names of the operators' wire.
pub fn settings(scenario: &Scenario, day: &Day) -> Value {
    let figures = rules(scenario);
    let lanes: Vec<Value> = scenario
        .classes
        .iter()
        .map(|class| {
            let effect = match class.effect {
                Effect::Safe => "read_like",
                Effect::Keyed => "idempotency_key",
                Effect::Unsafe => "non_idempotent",
            };
            let window = if class.effect == Effect::Keyed { nanos(class.window_s) } else { 0 };
            json!({
                "Name": class.name, "Effect": effect, "Group": "all", "RepeatWindow": window,
                "OneAtATime": class.in_order, "Worth": class.worth, "LateShare": class.late_share,
                "Aim": nanos(class.aim_s), "Deadline": nanos(class.deadline_s),
            })
        })
        .collect();
    let mut kinds: Vec<&str> = scenario.partners.iter().map(|partner| partner.kind.as_str()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let cold_from = scenario.partners.iter().map(|partner| partner.cold_from).fold(1.0, f64::min);
    let cold = scenario.partners.iter().map(|partner| partner.cold_s).fold(0.0, f64::max);
    json!({
        "Balancers": scenario.couriers.count, "Lanes": lanes, "MachineTypes": kinds, "Zones": [ZONE],
        "WeightSource": "nominal",
        "Report": {"Fields": ["x0", "x1"]},
        "FamilyInfo": {
            "CallsOut": day.slots, "KindBatch": vec![1; kinds.len()], "OwnLimits": vec![false; kinds.len()],
        },
        "Permissions": {
            "MostHeld": day.most_held, "SendCap": 8, "Cancel": true, "ConnIdle": nanos(15.0),
            "ConnectTimeout": nanos(scenario.couriers.connect_s),
        },
        "Rules": {
            "AnswerSlack": 20_000_000, "OrderSettle": figures.order_settle_time.as_nanos() as u64,
            "Fall": figures.collapse_window.as_nanos() as u64, "TipMultiple": figures.collapse_multiple,
            "Cold": nanos(cold), "ColdFrom": cold_from,
            "StopSendingWithin": figures.drain_grace.as_nanos() as u64,
        },
    })
}
