//! Parser of [`Settings`], used by the simulator's adapter and by the courier. Settings are `path=value` lines, or the same
//! names as nested JSON. Unknown paths are ignored.

use crate::{Class, Decay, DedupScope, Effect, Kind, Rules, Settings, Tenant, WeightSource, ZoneId};
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// Settings that cannot be parsed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingError {
    /// A line without an equals sign.
    #[error("line {line}: '{text}' is not path=value")]
    Line {
        /// Line number, from 1.
        line: usize,
        /// Text of the line.
        text: String,
    },
    /// A value of the wrong type, or not among the known ones.
    #[error("setting {path}: '{value}' is not valid")]
    Value {
        /// Path of the setting.
        path: String,
        /// Its value.
        value: String,
    },
}

/// Parsed settings, with the positions of limit and unused share in load reports and the names of classes, kinds and zones.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// Settings of [`Courier`](crate::Courier).
    pub settings: Settings,
    /// Index of the unused share of the limit among the values of a load report.
    pub remaining_share_index: Option<usize>,
    /// Index of the limit among the values of a load report.
    pub limit_index: Option<usize>,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the kinds of destination, in the order of [`Settings::kinds`].
    pub kind_names: Vec<String>,
    /// Names of the zones, indexed by [`ZoneId`].
    pub zone_names: Vec<String>,
}

/// Values by path.
struct PathValues(BTreeMap<String, String>);

impl PathValues {
    fn get<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingError> {
        self.0.get(path).map(|value| parse(path, value)).transpose()
    }

    fn or_default<T: FromStr>(&self, path: &str, default: T) -> Result<T, SettingError> {
        Ok(self.get(path)?.unwrap_or(default))
    }

    /// A duration in nanoseconds.
    fn duration(&self, path: &str, default: Duration) -> Result<Duration, SettingError> {
        Ok(self.get(path)?.map_or(default, Duration::from_nanos))
    }

    /// The non-empty items of a comma-separated list.
    fn comma_separated(&self, path: &str) -> Vec<&str> {
        self.0.get(path).map_or(Vec::new(), |v| v.split(',').filter(|w| !w.is_empty()).collect())
    }

    /// The meaning of a value that must be one of the `known` words.
    fn one_of<T>(&self, path: &str, default: T, known: &[(&str, T)]) -> Result<T, SettingError>
    where
        T: Copy,
    {
        let Some(value) = self.0.get(path) else {
            return Ok(default);
        };
        known
            .iter()
            .find(|(name, _)| name == value)
            .map(|(_, meaning)| *meaning)
            .ok_or_else(|| invalid_value(path, value))
    }
}

fn invalid_value(path: &str, value: &str) -> SettingError {
    SettingError::Value { path: path.to_owned(), value: value.to_owned() }
}

fn parse<T: FromStr>(path: &str, value: &str) -> Result<T, SettingError> {
    value.parse().map_err(|_| invalid_value(path, value))
}

/// Parses `path=value` lines, as in the `Config` field of the simulator's wire protocol.
pub fn parse_settings(text: &str) -> Result<ParsedSettings, SettingError> {
    let mut map = BTreeMap::new();
    for (index, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        let malformed = || SettingError::Line { line: index + 1, text: line.to_owned() };
        let (path, value) = line.split_once('=').ok_or_else(malformed)?;
        map.insert(path.to_owned(), value.to_owned());
    }
    read_settings(&PathValues(map))
}

/// Parses the same settings from nested JSON.
pub fn parse_settings_json(value: &Value) -> Result<ParsedSettings, SettingError> {
    let mut map = BTreeMap::new();
    flatten(String::new(), value, &mut map);
    read_settings(&PathValues(map))
}

/// Flattens nested JSON to paths: lists of scalars are joined by commas, lists of objects become a count and numbered
/// items. Commas inside a string become underscores, as on the wire.
fn flatten(path: String, value: &Value, map: &mut BTreeMap<String, String>) {
    let child = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, field)| flatten(child(name), field, map)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            map.insert(child("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(at, item)| flatten(child(&at.to_string()), item, map));
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(scalar).collect();
            map.insert(path, texts.join(","));
        }
        Value::Null => {}
        _ => {
            map.insert(path, scalar(value));
        }
    }
}

/// Text of a scalar. Whole numbers lose a decimal point that JSON may give them.
fn scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace(',', "_"),
        Value::Number(number) => match number.as_f64().filter(|n| n.fract() == 0.0 && n.abs() < 1e15) {
            Some(whole) if number.is_f64() => format!("{whole:.0}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}

fn read_settings(values: &PathValues) -> Result<ParsedSettings, SettingError> {
    let defaults = Settings::default();
    let rules = defaults.rules;
    let fields = values.comma_separated("Report.Fields");
    let position = |name: &str| fields.iter().position(|field| *field == name);
    let settings = Settings {
        couriers: values.or_default("Balancers", defaults.couriers)?,
        zone: values.get("Locality")?.map(ZoneId),
        classes: list(values, "Lanes", class)?,
        decay: values.one_of(
            "FamilyInfo.Decay",
            defaults.decay,
            &[("line", Decay::Linear), ("halves", Decay::Halving)],
        )?,
        tenants: list(values, "Projects", tenant)?,
        kinds: kinds(values)?,
        weight_source: values.one_of(
            "WeightSource",
            WeightSource::Unspecified,
            &[
                ("silent", WeightSource::Unspecified),
                ("nominal", WeightSource::Nominal),
                ("rough", WeightSource::Approximate),
                ("live", WeightSource::Unspecified),
            ],
        )?,
        call_slots: values.or_default("FamilyInfo.CallsOut", defaults.call_slots)?,
        max_held: values.or_default("Permissions.MostHeld", defaults.max_held)?,
        max_attempts: values.or_default("Permissions.SendCap", defaults.max_attempts)?,
        cancel: values.or_default("Permissions.Cancel", false)?,
        second_copies: values.or_default("Permissions.SecondCopies", false)?,
        acknowledged_answers: defaults.acknowledged_answers,
        max_pause: defaults.max_pause,
        over_quota_worth: values.or_default("OverShareWorth", defaults.over_quota_worth)?,
        connect_timeout: values.duration("Permissions.ConnectTimeout", defaults.connect_timeout)?,
        connection_idle_timeout: values.duration("Permissions.ConnIdle", defaults.connection_idle_timeout)?,
        rules: Rules {
            answer_slack: values.duration("Rules.AnswerSlack", rules.answer_slack)?,
            cold_capacity_share: values.or_default("Rules.ColdFrom", rules.cold_capacity_share)?,
            warm_up: values.duration("Rules.Cold", rules.warm_up)?,
            collapse_multiple: values.or_default("Rules.TipMultiple", rules.collapse_multiple)?,
            collapse_window: values.duration("Rules.Fall", rules.collapse_window)?,
            order_settle: values.duration("Rules.OrderSettle", rules.order_settle)?,
            drain_grace: values.duration("Rules.StopSendingWithin", rules.drain_grace)?,
        },
    };
    let names = |path: &str| values.comma_separated(path).into_iter().map(str::to_owned).collect();
    let class_name = |at: usize| values.get::<String>(&format!("Lanes.{at}.Name")).ok().flatten();
    Ok(ParsedSettings {
        remaining_share_index: position("x0"),
        limit_index: position("x1"),
        class_names: (0..settings.classes.len()).map(|at| class_name(at).unwrap_or_default()).collect(),
        kind_names: names("MachineTypes"),
        zone_names: names("Zones"),
        settings,
    })
}

fn list<T>(
    values: &PathValues,
    path: &str,
    item: fn(&PathValues, &str) -> Result<T, SettingError>,
) -> Result<Vec<T>, SettingError> {
    let count: u16 = values.or_default(&format!("{path}.count"), 0)?;
    (0..count).map(|index| item(values, &format!("{path}.{index}"))).collect()
}

fn class(values: &PathValues, path: &str) -> Result<Class, SettingError> {
    let field = |name: &str| format!("{path}.{name}");
    let defaults = Class::default();
    Ok(Class {
        aim: values.duration(&field("Aim"), defaults.aim)?,
        deadline: values.duration(&field("Deadline"), defaults.deadline)?,
        effect: values.one_of(
            &field("Effect"),
            Effect::Unsafe,
            &[
                ("read_like", Effect::Safe),
                ("idempotency_key", Effect::Keyed),
                ("non_idempotent", Effect::Unsafe),
            ],
        )?,
        dedup_scope: values.one_of(
            &field("Group"),
            DedupScope::Zone,
            // A cell is a destination.
            &[("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::All)],
        )?,
        repeat_window: values.duration(&field("RepeatWindow"), Duration::ZERO)?,
        in_order: values.or_default(&field("OneAtATime"), false)?,
        worth: values.or_default(&field("Worth"), defaults.worth)?,
        late_share: values.or_default(&field("LateShare"), 0.0)?,
    })
}

fn tenant(values: &PathValues, path: &str) -> Result<Tenant, SettingError> {
    Ok(Tenant { quota: values.or_default(&format!("{path}.QuotaPerS"), f64::INFINITY)? })
}

fn kinds(values: &PathValues) -> Result<Vec<Kind>, SettingError> {
    let batches = values.comma_separated("FamilyInfo.KindBatch");
    let own_limits = values.comma_separated("FamilyInfo.OwnLimits");
    (0..batches.len().max(own_limits.len()))
        .map(|index| {
            Ok(Kind {
                max_batch: batches.get(index).map_or(Ok(1), |v| parse("FamilyInfo.KindBatch", v))?,
                own_limits: own_limits.get(index).map_or(Ok(false), |v| parse("FamilyInfo.OwnLimits", v))?,
            })
        })
        .collect()
}
