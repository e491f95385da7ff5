use super::*;

const LINE: &str =
    "2026-12-01T17:16:36.122441Z DEBUG tally destination=5 taken=2 ok=0 full=1 told=1 lost=0 error=0 \
    unconnected=0 waiting=2 out=0 hold=Some(Told) pace=0.5 limit=60 left=0.25";

#[test]
fn couriers_add_up_second_by_second() {
    let mut table = Table::default();
    table.add(LINE, None);
    table.add(&LINE.replace("left=0.25", "left=0.75").replace("hold=Some(Told)", "hold=Some(Pace)"), None);
    // A log that began earlier, a later second, another destination.
    table.add(&LINE.replace("16:36.1", "16:35.9"), None);
    table.add(&LINE.replace("16:36.1", "16:37.9"), None);
    table.add(&LINE.replace("destination=5", "destination=6"), None);
    let row = &table.rows[&(0, 5)];
    assert_eq!((row.taken, row.full, row.waiting, row.pace), (4, 2, 4, 1.0));
    assert_eq!(row.holds, BTreeMap::from([("Pace".to_owned(), 2), ("Told".to_owned(), 2)]));
    assert_eq!((row.limit.value(), row.left.value()), (Some(60.0), Some(0.5)));
    assert_eq!(table.rows.keys().copied().collect::<Vec<_>>(), [(-1, 5), (0, 5), (0, 6), (1, 5)]);
}

#[test]
fn other_lines_and_damaged_ones_are_skipped() {
    let mut table = Table::default();
    for line in [
        "",
        "INFO load taken=3",
        " tally ",
        "2026-12-01T17:16:36Z tally destination=x",
        "now tally destination=5",
    ] {
        table.add(line, None);
    }
    table.add(LINE, Some(6));
    assert!(table.rows.is_empty());
    table.add("2026-12-01T17:16:36Z DEBUG tally destination=5 pace=inf limit=nan taken=-3", None);
    let row = table.rows.values().next().expect("a row");
    assert_eq!((row.pace, row.limit, row.taken), (0.0, Mean { sum: 0.0, count: 0 }, 0));
}
