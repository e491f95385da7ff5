//! Records on disk: read as they were written, and refused where they were changed by hand.

use gullcart_scale::{Figure, Machine, Measurement, Point, RecordError, RunRecord, SCHEMA};
use std::collections::BTreeMap;
use std::path::PathBuf;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("gullcart-scale-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn record() -> RunRecord {
    let points = [(10.0, 25.0), (100.0, 211.0), (1_000.0, 1_990.0)]
        .map(|(size, value)| Point { size, value, samples: 3 })
        .to_vec();
    RunRecord {
        schema: SCHEMA,
        name: "memory-by-endpoints".to_owned(),
        command: "gullcartctl scale endpoints".to_owned(),
        commit: "0123456789abcdef".to_owned(),
        date: "2026-12-02T00:00:00Z".to_owned(),
        machine: Machine { processor: "some".to_owned(), cores: 8, memory_bytes: 1 << 34 },
        parameters: BTreeMap::new(),
        measurements: vec![Measurement::new("memory", "bytes", "endpoints", points).unwrap()],
        figures: vec![Figure { name: "ready".to_owned(), unit: "s".to_owned(), value: 0.25 }],
    }
}

#[test]
fn a_record_is_read_as_it_was_written() {
    let folder = folder("same");
    let path = record().write(&folder).unwrap();
    assert_eq!(RunRecord::read(&path).unwrap(), record());
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_changed_point_or_schema_is_refused() {
    let folder = folder("changed");
    let path = record().write(&folder).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, text.replace("211.0", "150.0")).unwrap();
    assert!(matches!(RunRecord::read(&path), Err(RecordError::Fit(..))));
    std::fs::write(&path, text.replace("\"schema\": 1", "\"schema\": 2")).unwrap();
    assert!(matches!(RunRecord::read(&path), Err(RecordError::Schema(_, 2))));
    std::fs::write(&path, "{}").unwrap();
    assert!(matches!(RunRecord::read(&path), Err(RecordError::Content(..))));
    std::fs::remove_dir_all(folder).unwrap();
}
