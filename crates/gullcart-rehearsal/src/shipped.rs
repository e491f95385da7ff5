//! The scenarios that ship with the program.

/// A scenario that ships.
#[derive(Clone, Copy, Debug)]
pub struct Shipped {
    /// Its name.
    pub name: &'static str,
    /// Its text.
    pub text: &'static str,
}

macro_rules! scenarios {
    ($($name:literal),* $(,)?) => {
        /// All of them, the shortest first.
        pub const SHIPPED: &[Shipped] = &[
            $(Shipped { name: $name, text: include_str!(concat!("../scenarios/", $name, ".toml")) }),*
        ];
    };
}

scenarios![
    "soak",
    "smoke",
    "upgrade",
    "suspend",
    "copies",
    "gauntlet",
    "cut-off",
    "cold-return",
    "overlap",
    "mid-drain",
    "restarts",
    "compaction",
    "busy",
    "payday",
    "christmas"
];

/// The one of that name.
pub fn shipped(name: &str) -> Option<&'static Shipped> {
    SHIPPED.iter().find(|shipped| shipped.name == name)
}
