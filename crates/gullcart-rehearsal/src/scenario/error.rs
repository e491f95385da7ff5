//! What is wrong with a scenario file, and on which of its lines.

use thiserror::Error;
use toml::de::{DeTable, DeValue};

/// One thing that is wrong with a scenario file.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{file}:{line}: {key}: {what}")]
pub struct ScenarioError {
    /// The file.
    pub file: String,
    /// Counted from 1.
    pub line: usize,
    /// The key that is meant, with the tables it is in.
    pub key: String,
    /// What is wrong, and what would be right.
    pub what: String,
}

/// A value that cannot be played, before its line in the file is known.
#[derive(Debug)]
pub struct Invalid {
    /// The table that holds it; empty for the top of the file.
    pub table: &'static str,
    /// The place of the table among those of its name.
    pub place: usize,
    /// Its key.
    pub key: &'static str,
    /// What is wrong, and what would be right.
    pub what: String,
}

/// The table that is checked.
pub(super) struct Table {
    /// Its name; empty for the top of the file.
    pub name: &'static str,
    /// Its place among those of its name.
    pub place: usize,
}

impl Table {
    /// A value of this table is wrong.
    pub fn invalid(&self, key: &'static str, what: String) -> Invalid {
        Invalid { table: self.name, place: self.place, key, what }
    }

    /// An error unless something holds.
    pub fn require(&self, holds: bool, key: &'static str, what: &str) -> Result<(), Invalid> {
        if holds {
            return Ok(());
        }
        Err(self.invalid(key, what.to_owned()))
    }

    /// An error unless a value lies between two others.
    pub fn require_between(
        &self,
        key: &'static str,
        value: f64,
        least: f64,
        most: f64,
    ) -> Result<(), Invalid> {
        let holds = (least..=most).contains(&value);
        self.require(holds, key, &format!("must lie between {least} and {most}"))
    }

    /// An error unless a range lies between 0 and a value, the smaller end first.
    pub fn require_range(&self, key: &'static str, range: [f64; 2], most: f64) -> Result<(), Invalid> {
        let [from, to] = range;
        let holds = 0.0 <= from && from <= to && to <= most;
        self.require(holds, key, &format!("must be a range from 0 to {most} at most, the smaller end first"))
    }
}

impl ScenarioError {
    /// The text is no scenario.
    pub(super) fn unreadable(file: &str, text: &str, error: &toml::de::Error) -> Self {
        let at = error.span().map_or(0, |span| span.start);
        let key = key_at(text, at);
        let what = error.message().trim_end().replace('\n', ", ");
        ScenarioError { file: file.to_owned(), line: line_at(text, at), key, what }
    }

    /// The text holds a value that cannot be played. Its line is that of its table where the key is not there.
    pub(super) fn invalid(file: &str, text: &str, invalid: Invalid) -> Self {
        let (key, at) = locate(text, &invalid);
        ScenarioError { file: file.to_owned(), line: line_at(text, at), key, what: invalid.what }
    }
}

fn line_at(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|byte| *byte == b'\n').count() + 1
}

/// The key of the line at a place, or the table that it begins.
fn key_at(text: &str, at: usize) -> String {
    let line = text.lines().nth(line_at(text, at) - 1).unwrap_or_default().trim();
    let key = line.split_once('=').map_or(line, |(key, _)| key);
    if key.is_empty() {
        "the file".to_owned()
    } else {
        key.trim().to_owned()
    }
}

/// The key with the tables it is in, and the place in the text of its value, else of its table, else of the file.
fn locate(text: &str, invalid: &Invalid) -> (String, usize) {
    let &Invalid { table, place, key, .. } = invalid;
    let Ok(root) = DeTable::parse(text) else { return (key.to_owned(), 0) };
    if table.is_empty() {
        return (key.to_owned(), place_of(root.get_ref(), key).unwrap_or(0));
    }
    let found = root.get_ref().get(table);
    let (path, item) = match found.map(|found| found.get_ref()) {
        Some(DeValue::Array(items)) => (format!("{table}[{place}].{key}"), items.get(place)),
        _ => (format!("{table}.{key}"), found),
    };
    let Some(item) = item else { return (path, 0) };
    let value = item.get_ref().as_table().and_then(|inside| place_of(inside, key));
    (path, value.unwrap_or(item.span().start))
}

/// The place in the text of the value of a key.
fn place_of(table: &DeTable<'_>, key: &str) -> Option<usize> {
    table.get(key).map(|value| value.span().start)
}
