//! Settings parser: path=value lines to [`Settings`]. Unknown paths are skipped.

use cloverstile::{Class, Effect, Group, Kind, Rules, Settings, Tenant, WeightSource};
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// A setting that cannot be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingError {
    #[error("line {line}: '{text}' is not path=value")]
    Line { line: usize, text: String },
    #[error("setting {path}: '{value}' cannot be read")]
    Value { path: String, value: String },
}

/// The settings, and where the load report keeps its two values.
#[derive(Debug)]
pub struct Parsed {
    pub settings: Settings,
    pub left_at: Option<usize>,
    pub limit_at: Option<usize>,
}

struct Lines<'a>(BTreeMap<&'a str, &'a str>);

impl Lines<'_> {
    fn get<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingError> {
        self.0.get(path).map(|value| parse(path, value)).transpose()
    }

    fn or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, SettingError> {
        Ok(self.get(path)?.unwrap_or(absent))
    }

    fn span(&self, path: &str, absent: Duration) -> Result<Duration, SettingError> {
        Ok(self.get(path)?.map_or(absent, Duration::from_nanos))
    }

    fn words(&self, path: &str) -> Vec<&str> {
        self.0.get(path).map_or(Vec::new(), |v| v.split(',').filter(|w| !w.is_empty()).collect())
    }

    fn choice<T>(&self, path: &str, absent: T, known: &[(&str, T)]) -> Result<T, SettingError>
    where
        T: Copy,
    {
        let Some(value) = self.0.get(path) else {
            return Ok(absent);
        };
        known
            .iter()
            .find(|(word, _)| word == value)
            .map(|(_, meaning)| *meaning)
            .ok_or_else(|| bad(path, value))
    }
}

fn bad(path: &str, value: &str) -> SettingError {
    SettingError::Value { path: path.to_owned(), value: value.to_owned() }
}

fn parse<T: FromStr>(path: &str, value: &str) -> Result<T, SettingError> {
    value.parse().map_err(|_| bad(path, value))
}

/// Reads the text of a `Config` field.
pub fn parse_settings(text: &str) -> Result<Parsed, SettingError> {
    let mut map = BTreeMap::new();
    for (index, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        let unreadable = || SettingError::Line { line: index + 1, text: line.to_owned() };
        let (path, value) = line.split_once('=').ok_or_else(unreadable)?;
        map.insert(path, value);
    }
    let lines = Lines(map);
    let base = Settings::default();
    let rules = base.rules;
    let fields = lines.words("Report.Fields");
    let place = |name: &str| fields.iter().position(|field| *field == name);
    let settings = Settings {
        couriers: lines.or("Balancers", base.couriers)?,
        classes: list(&lines, "Lanes", class)?,
        tenants: list(&lines, "Projects", tenant)?,
        kinds: kinds(&lines)?,
        weights: lines.choice(
            "WeightSource",
            WeightSource::Silent,
            &[
                ("silent", WeightSource::Silent),
                ("nominal", WeightSource::Nominal),
                ("rough", WeightSource::Rough),
                ("live", WeightSource::Silent),
            ],
        )?,
        call_slots: lines.or("FamilyInfo.CallsOut", base.call_slots)?,
        most_held: lines.or("Permissions.MostHeld", base.most_held)?,
        send_cap: lines.or("Permissions.SendCap", base.send_cap)?,
        cancel: lines.or("Permissions.Cancel", false)?,
        second_copies: lines.or("Permissions.SecondCopies", false)?,
        over_share_worth: lines.or("OverShareWorth", base.over_share_worth)?,
        connect_timeout: lines.span("Permissions.ConnectTimeout", base.connect_timeout)?,
        conn_idle: lines.span("Permissions.ConnIdle", base.conn_idle)?,
        rules: Rules {
            answer_slack: lines.span("Rules.AnswerSlack", rules.answer_slack)?,
            cold_from: lines.or("Rules.ColdFrom", rules.cold_from)?,
            cold: lines.span("Rules.Cold", rules.cold)?,
            tip_multiple: lines.or("Rules.TipMultiple", rules.tip_multiple)?,
            fall: lines.span("Rules.Fall", rules.fall)?,
            order_settle: lines.span("Rules.OrderSettle", rules.order_settle)?,
        },
    };
    Ok(Parsed { settings, left_at: place("x0"), limit_at: place("x1") })
}

fn list<T>(
    lines: &Lines,
    path: &str,
    item: fn(&Lines, &str) -> Result<T, SettingError>,
) -> Result<Vec<T>, SettingError> {
    let count: u16 = lines.or(&format!("{path}.count"), 0)?;
    (0..count).map(|index| item(lines, &format!("{path}.{index}"))).collect()
}

fn class(lines: &Lines, path: &str) -> Result<Class, SettingError> {
    let at = |name: &str| format!("{path}.{name}");
    let base = Class::default();
    Ok(Class {
        aim: lines.span(&at("Aim"), base.aim)?,
        deadline: lines.span(&at("Deadline"), base.deadline)?,
        effect: lines.choice(
            &at("Effect"),
            Effect::Unsafe,
            &[
                ("read_like", Effect::Safe),
                ("idempotency_key", Effect::Keyed),
                ("non_idempotent", Effect::Unsafe),
            ],
        )?,
        group: lines.choice(
            &at("Group"),
            Group::Zone,
            &[("all", Group::All), ("zone", Group::Zone), ("cell", Group::All)],
        )?,
        repeat_window: lines.span(&at("RepeatWindow"), Duration::ZERO)?,
        in_order: lines.or(&at("OneAtATime"), false)?,
        worth: lines.or(&at("Worth"), base.worth)?,
        late_share: lines.or(&at("LateShare"), 0.0)?,
    })
}

fn tenant(lines: &Lines, path: &str) -> Result<Tenant, SettingError> {
    Ok(Tenant { quota: lines.or(&format!("{path}.QuotaPerS"), f64::INFINITY)? })
}

fn kinds(lines: &Lines) -> Result<Vec<Kind>, SettingError> {
    let batches = lines.words("FamilyInfo.KindBatch");
    let apart = lines.words("FamilyInfo.OwnLimits");
    (0..batches.len().max(apart.len()))
        .map(|index| {
            Ok(Kind {
                batch: batches.get(index).map_or(Ok(1), |v| parse("FamilyInfo.KindBatch", v))?,
                own_limits: apart.get(index).map_or(Ok(false), |v| parse("FamilyInfo.OwnLimits", v))?,
            })
        })
        .collect()
}
