//! `docs/CAPACITY.md` is what the kept records give, to the last digit; and what is not so is found.

use gullcart_scale::capacity::page::fill;
use gullcart_scale::capacity::quantity::NOT_MEASURED;
use gullcart_scale::capacity::render::render;
use gullcart_scale::capacity::rendered_page;
use gullcart_scale::capacity::workbook::Workbook;
use gullcart_scale::capacity::CapacityError;
use gullcart_scale::{Figure, RunRecord};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const NOW: &str = "gullcartctl scale page --write";

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn records() -> PathBuf {
    docs().join("capacity/results")
}

fn page() -> String {
    std::fs::read_to_string(docs().join("CAPACITY.md")).expect("the page is there")
}

/// A copy of the records in a folder of its own, which goes with the value.
struct Copied(PathBuf);

impl Copied {
    fn new(name: &str) -> Copied {
        let folder = std::env::temp_dir().join(format!("capacity-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        for entry in std::fs::read_dir(records()).expect("records") {
            let path = entry.expect("a record").path();
            std::fs::copy(&path, folder.join(path.file_name().expect("a name"))).expect("a copy");
        }
        Copied(folder)
    }
}

impl Drop for Copied {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn the_page_is_what_the_records_give() {
    let page = page();
    let rendered = rendered_page(&page, &records()).unwrap_or_else(|error| panic!("CAPACITY.md: {error}"));
    for (index, (is, should)) in page.lines().zip(rendered.lines()).enumerate() {
        assert_eq!(is, should, "line {} of CAPACITY.md is not what the records give; {NOW}", index + 1);
    }
    assert_eq!(page, rendered, "CAPACITY.md; {NOW}");
}

#[test]
fn a_figure_that_is_changed_by_hand_is_found_wherever_it_stands() {
    let page = page();
    let rendered = render(&mut Workbook::read(&records()).expect("records")).expect("the page");
    let mut tried = 0;
    for place in numbers(&page) {
        let digit = if page.as_bytes()[place] == b'9' { "8" } else { "9" };
        let changed = format!("{}{digit}{}", &page[..place], &page[place + 1..]);
        let is_found = fill(&changed, &rendered).map_or(true, |filled| filled != changed);
        let line = page[..place].lines().count();
        assert!(is_found, "line {line} of CAPACITY.md may be changed by hand");
        tried += 1;
    }
    assert!(tried > 300, "only {tried} figures were tried");
}

/// Where the numbers of a text begin.
fn numbers(text: &str) -> Vec<usize> {
    let bytes = text.as_bytes();
    let begins = |place: &usize| {
        bytes[*place].is_ascii_digit()
            && !place.checked_sub(1).is_some_and(|before| bytes[before].is_ascii_digit())
    };
    (0..bytes.len()).filter(begins).collect()
}

#[test]
fn a_figure_in_prose_is_refused_in_digits_and_in_words() {
    for prose in ["It takes 3 s.", "It has two hundred of them.", "A Million.", "½ of it"] {
        let page = format!("{}\n{prose}\n", page());
        let error = rendered_page(&page, &records()).expect_err(prose);
        assert!(matches!(error, CapacityError::Page { .. }), "{prose}: {error}");
    }
}

#[test]
fn markers_without_their_end_and_unknown_names_are_refused() {
    for line in [
        "<!-- capacity:drawing -->",
        "<!-- capacity:nothing -->\n<!-- /capacity -->",
        "<!-- /capacity -->",
        "<!--=couriers-->",
        "<!--=nothing-->many<!--/-->",
    ] {
        let page = format!("{}\n{line}\n", page());
        let error = rendered_page(&page, &records()).expect_err(line);
        assert!(matches!(error, CapacityError::Page { .. }), "{line}: {error}");
    }
}

#[test]
fn every_record_that_the_page_uses_is_needed() {
    let mut workbook = Workbook::read(&records()).expect("records");
    render(&mut workbook).expect("the page");
    let used: BTreeSet<&str> = workbook.sources.iter().map(|source| source.quantity.record).collect();
    assert!(!used.is_empty());
    for record in used {
        let folder = Copied::new(record);
        std::fs::remove_file(folder.0.join(format!("{record}.json"))).expect("the record is there");
        let error = rendered_page(&page(), &folder.0).expect_err(record);
        assert!(
            matches!(error, CapacityError::Missing(missing, _) if missing == record),
            "{record}: {error}"
        );
    }
}

#[test]
fn a_figure_follows_its_record() {
    let folder = Copied::new("follows");
    let path = folder.0.join("couriers-trials.json");
    let mut record = RunRecord::read(&path).expect("the record");
    let measurement = record.measurements.first_mut().expect("a quantity");
    measurement.points.iter_mut().for_each(|point| point.value *= 2.0);
    measurement.fit = gullcart_scale::Fit::of(&measurement.points).expect("a fit");
    record.write(&folder.0).expect("written");
    let page = page();
    assert_ne!(rendered_page(&page, &folder.0).expect("a page"), page);
}

#[test]
fn what_is_listed_as_not_measured_may_not_be_in_a_record() {
    let Some(quantity) = NOT_MEASURED.first() else { return };
    let folder = Copied::new("measured");
    let any = std::fs::read_dir(&folder.0).expect("records").next().expect("one").expect("one").path();
    let mut record = RunRecord::read(&any).expect("the record");
    record.name = quantity.record.to_owned();
    record.figures.push(Figure { name: quantity.name.to_owned(), unit: "s".to_owned(), value: 1.0 });
    record.write(&folder.0).expect("written");
    let error = rendered_page(&page(), &folder.0).expect_err("it is measured");
    assert!(matches!(error, CapacityError::Measured(..)), "{error}");
}
