//! The one reader of settings, shared by the bench adapter and the courier: path=value lines, or the same names
//! as nested JSON, to [`Settings`]. Unknown paths are skipped.

use crate::{Class, Decay, Effect, Group, Kind, Rules, Settings, Tenant, WeightSource, ZoneId};
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// A setting that cannot be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingError {
    /// A line without an equals sign.
    #[error("line {line}: '{text}' is not path=value")]
    Line {
        /// Counted from 1.
        line: usize,
        /// What it says.
        text: String,
    },
    /// A value of the wrong form.
    #[error("setting {path}: '{value}' cannot be read")]
    Value {
        /// The setting's full name.
        path: String,
        /// What it holds.
        value: String,
    },
}

/// The settings, where the load report keeps its two values, and the names that the protocol on sockets uses.
#[derive(Clone, Debug)]
pub struct Parsed {
    /// What the decision module is given.
    pub settings: Settings,
    /// Place of the share that is left among the values of a report.
    pub left_at: Option<usize>,
    /// Place of the limit among the values of a report.
    pub limit_at: Option<usize>,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the kinds of destination, in the order of [`Settings::kinds`].
    pub kind_names: Vec<String>,
    /// Names of the locations.
    pub zone_names: Vec<String>,
}

struct Lines(BTreeMap<String, String>);

impl Lines {
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
        map.insert(path.to_owned(), value.to_owned());
    }
    read(&Lines(map))
}

/// Reads the same settings as nested JSON.
pub fn parse_settings_json(value: &Value) -> Result<Parsed, SettingError> {
    let mut map = BTreeMap::new();
    flatten(String::new(), value, &mut map);
    read(&Lines(map))
}

/// Spreads nested JSON into the paths of the line form: lists of scalars are joined by commas, lists of objects
/// get a count and numbered items. Commas inside a word become underscores, as they do on the wire.
fn flatten(path: String, value: &Value, map: &mut BTreeMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, field)| flatten(below(name), field, map)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            map.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(at, item)| flatten(below(&at.to_string()), item, map));
        }
        Value::Array(items) => {
            let words: Vec<String> = items.iter().map(scalar).collect();
            map.insert(path, words.join(","));
        }
        Value::Null => {}
        _ => {
            map.insert(path, scalar(value));
        }
    }
}

/// A whole number may come with a decimal point in JSON; the line form has none.
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

fn read(lines: &Lines) -> Result<Parsed, SettingError> {
    let base = Settings::default();
    let rules = base.rules;
    let fields = lines.words("Report.Fields");
    let place = |name: &str| fields.iter().position(|field| *field == name);
    let settings = Settings {
        couriers: lines.or("Balancers", base.couriers)?,
        zone: lines.get("Locality")?.map(ZoneId),
        classes: list(lines, "Lanes", class)?,
        decay: lines.choice(
            "FamilyInfo.Decay",
            base.decay,
            &[("line", Decay::Line), ("halves", Decay::Halves)],
        )?,
        tenants: list(lines, "Projects", tenant)?,
        kinds: kinds(lines)?,
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
        answers_take_time: base.answers_take_time,
        held_up: base.held_up,
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
            drain_grace: lines.span("Rules.StopSendingWithin", rules.drain_grace)?,
        },
    };
    let names = |path: &str| lines.words(path).into_iter().map(str::to_owned).collect();
    let class_name = |at: usize| lines.get::<String>(&format!("Lanes.{at}.Name")).ok().flatten();
    Ok(Parsed {
        left_at: place("x0"),
        limit_at: place("x1"),
        class_names: (0..settings.classes.len()).map(|at| class_name(at).unwrap_or_default()).collect(),
        kind_names: names("MachineTypes"),
        zone_names: names("Zones"),
        settings,
    })
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
