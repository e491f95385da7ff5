//! What the target size needs, worked out from kept records, and the page that says so.

pub mod format;
pub mod page;
pub mod quantity;
pub mod target;
pub mod workbook;
