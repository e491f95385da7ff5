//! The figures of a scenario, for the judge, the stand-ins and the couriers.

use super::*;
use gullcart_judge::{ClassRules, Figures, Worth};
use gullcart_standins::partner::{Limit, Spec};
use serde_json::{json, Value};

pub(super) fn rules(scenario: &Scenario) -> Figures {
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
    Figures::new(classes.collect())
}

pub(super) fn worths(scenario: &Scenario) -> Vec<Worth> {
    let worth = |class: &crate::scenario::Class| Worth {
        worth: class.worth,
        aim: Duration::from_secs_f64(class.aim_s),
        deadline: Duration::from_secs_f64(class.deadline_s),
        late_share: class.late_share,
    };
    scenario.classes.iter().map(worth).collect()
}

pub(super) fn spec(partner: &crate::scenario::Partner) -> Spec {
    let figures = Figures::new(Vec::new());
    let span = Duration::from_secs_f64(partner.span_s);
    Spec {
        limit: match (partner.rate, partner.count) {
            (Some(rate), _) => Limit::Rate(rate),
            (None, count) => Limit::Count { calls: count.unwrap_or(1), span },
        },
        spare: partner.spare,
        pace: Duration::from_secs_f64(partner.pace_ms / 1e3),
        queue: partner.queue,
        tells_wait: partner.tells_wait,
        wait: Duration::from_secs_f64(partner.wait_ms / 1e3),
        refused_count: partner.refused_count,
        cold_from: partner.cold_from,
        cold: Duration::from_secs_f64(partner.cold_s),
        fall_multiple: figures.fall_multiple,
        fall_window: figures.fall_window,
        errors: partner.errors,
    }
}

pub(super) fn nanos(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

/// The settings that couriers are given, in the names of the operators' wire.
pub(super) fn settings(scenario: &Scenario, day: &Day) -> Value {
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
            "ConnectTimeout": nanos(1.0),
        },
        "Rules": {
            "AnswerSlack": 20_000_000, "OrderSettle": figures.order_settle.as_nanos() as u64,
            "Fall": figures.fall_window.as_nanos() as u64, "TipMultiple": figures.fall_multiple,
            "Cold": nanos(cold), "ColdFrom": cold_from,
            "StopSendingWithin": figures.drain_grace.as_nanos() as u64,
        },
    })
}
