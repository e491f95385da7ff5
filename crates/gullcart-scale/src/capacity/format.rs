//! How figures are written on the page.

use super::workbook::{Figure, Worked};

/// What a figure counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// A plain number.
    Count,
    /// Things a second.
    Rate,
    /// Bytes.
    Bytes,
    /// Bytes a second.
    ByteRate,
    /// Parts of a core.
    Cores,
    /// A time.
    Seconds,
    /// A part of a whole.
    Share,
}

/// Powers of a thousand, the largest first.
const BYTE_PREFIXES: [(f64, &str); 5] = [(1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1.0, "B")];
/// Numbers from here on are written in millions.
const IN_MILLIONS: f64 = 1e6;
/// ... and from here on in billions.
const IN_BILLIONS: f64 = 1e9;
/// What stands behind a figure that was carried outside of the sizes measured.
pub const EXTRAPOLATED: &str = "\\*";
/// What stands in place of a size that is never come to.
pub const NONE: &str = "none found";
/// What stands in place of a figure that nothing measures yet.
pub const OPEN: &str = "not measured";

/// A value in its unit.
pub fn value(value: f64, unit: Unit) -> String {
    if !value.is_finite() {
        return NONE.to_owned();
    }
    match unit {
        Unit::Count => count(value),
        Unit::Rate => format!("{}/s", count(value)),
        Unit::Bytes => bytes(value),
        Unit::ByteRate => format!("{}/s", bytes(value)),
        Unit::Cores => format!("{} % of a core", digits(value * 100.0)),
        Unit::Seconds => seconds(value),
        Unit::Share => format!("{} %", digits(value * 100.0)),
    }
}

/// A figure in its unit, with the mark of those that are extrapolated and the numbers of its sources.
pub fn figure(figure: &Figure, unit: Unit) -> String {
    match figure {
        Figure::Open => OPEN.to_owned(),
        Figure::Worked(worked) => {
            format!("{}{}", value(worked.value, unit), marks(worked))
        }
    }
}

fn marks(worked: &Worked) -> String {
    let star = if worked.is_extrapolated { EXTRAPOLATED } else { "" };
    let numbers: Vec<String> = worked.sources.iter().map(|source| (source + 1).to_string()).collect();
    match numbers.is_empty() {
        true => star.to_owned(),
        false => format!("{star} [{}]", numbers.join(", ")),
    }
}

fn count(value: f64) -> String {
    let size = value.abs();
    if size >= IN_BILLIONS {
        format!("{} billion", digits(value / IN_BILLIONS))
    } else if size >= IN_MILLIONS {
        format!("{} million", digits(value / IN_MILLIONS))
    } else {
        digits(value)
    }
}

fn bytes(value: f64) -> String {
    let fits = |(size, _): &&(f64, &str)| value.abs() >= *size;
    let (size, name) = BYTE_PREFIXES.iter().find(fits).unwrap_or(&(1.0, "B"));
    format!("{} {name}", digits(value / size))
}

fn seconds(value: f64) -> String {
    let size = value.abs();
    if size >= 2.0 * 3600.0 {
        format!("{} h", digits(value / 3600.0))
    } else if size >= 120.0 {
        format!("{} min", digits(value / 60.0))
    } else if size >= 1.0 {
        format!("{} s", digits(value))
    } else if size >= 1e-3 {
        format!("{} ms", digits(value * 1e3))
    } else {
        format!("{} us", digits(value * 1e6))
    }
}

/// Three digits of a number that has more behind its point, and all that stand before it.
fn digits(value: f64) -> String {
    let size = value.abs();
    let text = if size == 0.0 {
        "0".to_owned()
    } else if size >= 99.95 {
        grouped(value.round())
    } else if size >= 9.995 {
        format!("{value:.1}")
    } else if size >= 0.9995 {
        format!("{value:.2}")
    } else {
        let places = (2.0 - size.log10().floor()).clamp(1.0, 9.0) as usize;
        format!("{value:.places$}")
    };
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_owned(),
        false => text,
    }
}

/// A whole number with commas.
fn grouped(value: f64) -> String {
    let plain = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (place, digit) in plain.chars().enumerate() {
        if place > 0 && (plain.len() - place) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    match value < 0.0 {
        true => format!("-{text}"),
        false => text,
    }
}
