//! Tables of the page.

/// A table: the names of its columns, and its rows.
pub fn table<const COLUMNS: usize>(header: [&str; COLUMNS], rows: Vec<[String; COLUMNS]>) -> String {
    let mut text = line(&header.map(str::to_owned));
    text.push_str(&line(&header.map(|_| "---".to_owned())));
    rows.iter().for_each(|row| text.push_str(&line(row)));
    text
}

fn line(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}
