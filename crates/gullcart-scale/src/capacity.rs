//! What the target size needs, worked out from kept records, and the page that says so.
//!
//! [`target`] has the size asked for and what is assumed beside it, [`quantity`] the measured quantities that are needed,
//! and [`workbook`] works figures out of them. The other modules make one table each; [`page`] puts them into the prose.

pub mod backlog;
pub mod breaks;
pub mod budget;
pub mod drawing;
pub mod failures;
pub mod format;
pub mod options;
pub mod page;
pub mod quantity;
pub mod render;
pub mod roles;
pub mod shared_sizes;
pub mod table;
pub mod target;
pub mod virtual_fleet;
pub mod workbook;

pub use render::rendered_page;
pub use workbook::CapacityError;
