//! How figures are worked out of records: between sizes, beyond them, and where a limit is met.

use gullcart_scale::capacity::format::{figure, value, Unit};
use gullcart_scale::capacity::quantity::Quantity;
use gullcart_scale::capacity::workbook::{Figure, Method, Workbook};
use gullcart_scale::{Machine, Measurement, Point, RunRecord, SCHEMA};
use std::collections::BTreeMap;
use std::path::PathBuf;

const RECORD: &str = "sample";

/// Records in a folder of their own, which goes with the value.
struct Folder(PathBuf);

impl Folder {
    /// One record with quantities by their points, all in a unit.
    fn new(test: &str, unit: &str, quantities: &[(&str, &[(f64, f64)])]) -> Folder {
        let folder = std::env::temp_dir().join(format!("workbook-{test}-{}", std::process::id()));
        let measurement = |(name, points): &(&str, &[(f64, f64)])| {
            let point = |(size, value): &(f64, f64)| Point { size: *size, value: *value, samples: 1 };
            Measurement::new(name, unit, "things", points.iter().map(point).collect()).expect("a fit")
        };
        let record = RunRecord {
            schema: SCHEMA,
            name: RECORD.to_owned(),
            command: "none".to_owned(),
            commit: "none".to_owned(),
            date: "2026-12-02T00:00:00Z".to_owned(),
            machine: Machine { processor: "none".to_owned(), cores: 1, memory_bytes: 1 },
            parameters: BTreeMap::new(),
            measurements: quantities.iter().map(measurement).collect(),
            figures: Vec::new(),
        };
        record.write(&folder).expect("written");
        Folder(folder)
    }

    fn workbook(&self) -> Workbook {
        Workbook::read(&self.0).expect("records")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn quantity(name: &'static str) -> Quantity {
    Quantity { record: RECORD, name }
}

fn at(workbook: &mut Workbook, name: &'static str, size: f64) -> (f64, bool, Method) {
    let Figure::Worked(worked) = workbook.at(quantity(name), size).expect("measured") else {
        panic!("{name} is open")
    };
    let source = worked.sources.first().expect("one source");
    (worked.value, worked.is_extrapolated, workbook.sources[*source].method)
}

const LINE: &[(f64, f64)] = &[(10.0, 25.0), (100.0, 205.0), (1000.0, 2005.0)];
const SQUARE: &[(f64, f64)] = &[(10.0, 200.0), (100.0, 11_000.0), (1000.0, 1_100_000.0)];
/// Flat at first, then a line: the fitted line misses it by much.
const BENT: &[(f64, f64)] = &[(1.0, 100.0), (10.0, 100.0), (100.0, 100.0), (1000.0, 1_000.0)];

#[test]
fn between_two_sizes_the_value_lies_between_theirs_and_is_not_extrapolated() {
    let folder = Folder::new("between", "bytes", &[("square", SQUARE)]);
    let (value, is_extrapolated, method) = at(&mut folder.workbook(), "square", 55.0);
    assert_eq!((value, is_extrapolated, method), (5_600.0, false, Method::Between));
}

#[test]
fn beyond_the_largest_size_a_line_goes_on_and_is_marked() {
    let folder = Folder::new("beyond", "bytes", &[("line", LINE)]);
    let (value, is_extrapolated, method) = at(&mut folder.workbook(), "line", 10_000.0);
    assert!((value - 20_005.0).abs() < 1.0, "{value}");
    assert_eq!((is_extrapolated, method), (true, Method::Line));
    let (_, is_extrapolated, _) = at(&mut folder.workbook(), "line", 1.0);
    assert!(is_extrapolated, "a size below the smallest was not measured either");
}

#[test]
fn beyond_the_largest_size_a_square_goes_on_as_a_square() {
    let folder = Folder::new("square", "bytes", &[("square", SQUARE)]);
    let (value, is_extrapolated, method) = at(&mut folder.workbook(), "square", 10_000.0);
    assert!((value / 1.1e8 - 1.0).abs() < 1e-9, "{value}");
    assert!(
        is_extrapolated && matches!(method, Method::Power(power) if (power - 2.0).abs() < 1e-9),
        "{method:?}"
    );
}

#[test]
fn a_line_that_misses_its_points_gives_way_to_the_slope_at_the_end() {
    let folder = Folder::new("bent", "bytes", &[("bent", BENT)]);
    let (value, _, method) = at(&mut folder.workbook(), "bent", 1_900.0);
    assert_eq!((value, method), (1_900.0, Method::Secant));
}

/// Noise about a cost that does not grow: no cost is worked out to be less than what was measured, and never nothing.
#[test]
fn a_falling_line_stands_for_no_growth() {
    let falling = &[(1_000.0, 74.0), (10_000.0, 53.0), (100_000.0, 32.0)];
    let folder = Folder::new("falling", "us", &[("falling", falling)]);
    let (value, is_extrapolated, method) = at(&mut folder.workbook(), "falling", 3e6);
    assert!((value - 74e-6).abs() < 1e-12, "{value}");
    assert_eq!((is_extrapolated, method), (true, Method::Level));
    let Figure::Worked(limit) = folder.workbook().size_at(quantity("falling"), 1.0).unwrap() else {
        panic!("it is measured")
    };
    assert_eq!(limit.value, f64::INFINITY);
}

#[test]
fn a_limit_is_met_where_the_value_comes_to_it() {
    let folder = Folder::new(
        "limit",
        "bytes",
        &[("line", LINE), ("square", SQUARE), ("flat", &[(1.0, 2.0), (2.0, 2.0), (3.0, 2.0)])],
    );
    let mut workbook = folder.workbook();
    let mut met =
        |name, limit| workbook.size_at(quantity(name), limit).expect("measured").value().expect("a size");
    assert!((met("line", 115.0) - 55.0).abs() < 1e-9);
    assert!((met("line", 4_005.0) - 2_000.0).abs() < 1.0);
    assert!((met("square", 4_400_000.0) - 2_000.0).abs() < 1e-6);
    assert!(met("flat", 3.0).is_infinite());
}

#[test]
fn times_come_in_seconds_whatever_the_unit_of_the_record() {
    let folder = Folder::new("units", "us", &[("line", LINE)]);
    let mut workbook = folder.workbook();
    let time = workbook.at(quantity("line"), 100.0).expect("measured");
    assert_eq!(figure(&time, Unit::Seconds), "205 us [1]");
    let size = workbook.size_at(quantity("line"), 205e-6).expect("measured").value().expect("a size");
    assert!((size - 100.0).abs() < 1e-6, "{size}");
}

#[test]
fn a_sum_has_the_sources_of_its_parts_and_is_open_where_one_is() {
    let folder = Folder::new("sum", "bytes", &[("line", LINE), ("square", SQUARE)]);
    let mut workbook = folder.workbook();
    let line = workbook.at(quantity("line"), 10_000.0).expect("measured");
    let square = workbook.at(quantity("square"), 100.0).expect("measured");
    assert_eq!(figure(&(line.clone() + square.clone()), Unit::Bytes), "31 KB\\* [1, 2]");
    assert_eq!(line + Figure::Open, Figure::Open);
    assert_eq!(figure(&(square * 2.0), Unit::Bytes), "22 KB [2]");
}

#[test]
fn figures_have_three_digits_and_a_unit_that_fits() {
    for (number, unit, text) in [
        (0.0, Unit::Count, "0"),
        (0.2662, Unit::Rate, "0.266/s"),
        (536.36, Unit::Rate, "536/s"),
        (1_024.0, Unit::Count, "1,024"),
        (3_272_727.0, Unit::Count, "3.27 million"),
        (36e9, Unit::Count, "36 billion"),
        (64e6, Unit::Bytes, "64 MB"),
        (999.0, Unit::Bytes, "999 B"),
        (0.046, Unit::Cores, "4.6 % of a core"),
        (0.0016, Unit::Seconds, "1.6 ms"),
        (95.0, Unit::Seconds, "95 s"),
        (300.0, Unit::Seconds, "5 min"),
        (90_000.0, Unit::Seconds, "25 h"),
        (f64::INFINITY, Unit::Count, "none found"),
    ] {
        assert_eq!(value(number, unit), text);
    }
}
