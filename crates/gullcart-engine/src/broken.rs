//! Deliberately broken couriers, to prove that rehearsals catch them. Compiled with the feature `broken` alone, which
//! no installed build has; one fault is chosen at start, by the variable [`VARIABLE`].

use crate::types::CallResult;
use cloverstile::{Effect, Outcome, Parsed};
use gullcart_message::{Update, Verdict};
use std::cell::Cell;
use std::time::Duration;

/// Names the fault.
pub const FAULT_VARIABLE: &str = "GULLCART_BROKEN";

/// Every so many messages are swallowed, and calls sent astray.
const PERIOD: u32 = 20;
/// By how much drains are heard too late.
pub const LIST_UPDATE_DELAY: Duration = Duration::from_secs(4);

macro_rules! faults {
    ($($(#[$doc:meta])* $fault:ident = $name:literal),* $(,)?) => {
        /// What is broken.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Fault {
            $($(#[$doc])* $fault,)*
        }

        impl Fault {
            fn of(name: &str) -> Option<Self> {
                match name {
                    $($name => Some(Fault::$fault),)*
                    _ => None,
                }
            }
        }

        const NAMES: &[&str] = &[$($name),*];
    };
}

faults! {
    /// What is held is not taken up again at a restart.
    ForgetsAtRestart = "forgets-at-restart",
    /// `+OK` is answered before the journal has the message.
    EarlyOk = "early-ok",
    /// Some messages are taken on and never looked at again.
    Swallows = "swallows",
    /// Failures are never told.
    NeverTells = "never-tells",
    /// A call that may have run is held to have never run.
    ResendsUnsafe = "resends-unsafe",
    /// Later tries carry another idempotency key.
    NewKey = "new-key",
    /// A second call goes out beside the first.
    SideBySide = "side-by-side",
    /// What may have run is handed back.
    HandsBack = "hands-back",
    /// A keyed message is sent again long after its key is forgotten.
    PastWindow = "past-window",
    /// A repeat goes whenever its connection comes up.
    LateRepeats = "late-repeats",
    /// Drains are not heard.
    DeafToDrains = "deaf-to-drains",
    /// Drains are heard some seconds too late.
    LateToDrains = "late-to-drains",
    /// A returning partner is held to be warm at once.
    RushesCold = "rushes-cold",
    /// A returning partner is held to stand a hundred times as much.
    OverestimatesCold = "overestimates-cold",
    /// Messages of one key do not wait for each other.
    Overtakes = "overtakes",
    /// A key does not rest after a call that may still run.
    NoRest = "no-rest",
    /// What is held is taken up in the wrong order at a restart.
    ReordersAtRestart = "reorders-at-restart",
    /// A told wait is not heard.
    IgnoresWait = "ignores-wait",
    /// A told wait is cut to half.
    HalvesWait = "halves-wait",
    /// An end is told twice, in two ways.
    EndsTwice = "ends-twice",
    /// What has failed is told when its time is nearly up.
    KeepsBack = "keeps-back",
    /// Some calls go to another partner.
    GoesAstray = "goes-astray",
    /// Whatever comes first behind a call counts as its answer.
    BelievesCopies = "believes-copies",
}

/// The chosen fault.
#[derive(Clone, Default)]
pub struct FaultInjector {
    fault: Option<Fault>,
    count: Cell<u32>,
}

impl FaultInjector {
    /// The fault of that name; nothing is broken without one.
    pub fn from_name(name: Option<&str>) -> Result<Self, String> {
        let unknown =
            |name: &str| format!("{FAULT_VARIABLE}: no fault '{name}'; there are {}", NAMES.join(", "));
        let fault = name.map(|name| Fault::of(name).ok_or_else(|| unknown(name))).transpose()?;
        Ok(FaultInjector { fault, count: Cell::new(0) })
    }

    pub fn is_active(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    /// One time in [`SELDOM`].
    pub fn fires(&self, fault: Fault) -> bool {
        if !self.is_active(fault) {
            return false;
        }
        self.count.set(self.count.get() + 1);
        self.count.get().is_multiple_of(PERIOD)
    }

    /// What the decisions are made by.
    pub fn apply_to_settings(&self, mut parsed: Parsed) -> Parsed {
        let settings = &mut parsed.settings;
        match self.fault {
            Some(Fault::PastWindow) => {
                for class in settings.classes.iter_mut().filter(|class| class.effect == Effect::Keyed) {
                    class.repeat_window = Duration::from_secs(3600);
                }
            }
            Some(Fault::RushesCold) => {
                settings.rules.cold = Duration::ZERO;
                settings.rules.cold_from = 1.0;
                settings.rules.tip_multiple = 1000.0;
            }
            Some(Fault::OverestimatesCold) => settings.rules.tip_multiple *= 100.0,
            Some(Fault::Overtakes) => settings.classes.iter_mut().for_each(|class| class.in_order = false),
            Some(Fault::NoRest) => settings.rules.order_settle = Duration::ZERO,
            _ => {}
        }
        parsed
    }

    /// How a call is held to have ended.
    pub fn alter_call_result(&self, ended: CallResult) -> CallResult {
        let unsure =
            matches!(ended.outcome, Outcome::Reset | Outcome::Timeout | Outcome::Error | Outcome::Spoilt);
        let outcome = match (self.fault, ended.outcome) {
            (Some(Fault::ResendsUnsafe), _) if unsure => Outcome::ConnectFailed,
            (Some(Fault::IgnoresWait), Outcome::Full(Some(_))) => Outcome::Full(None),
            (Some(Fault::HalvesWait), Outcome::Full(Some(wait))) => Outcome::Full(Some(wait / 2)),
            (_, outcome) => outcome,
        };
        CallResult { outcome, ..ended }
    }

    /// What is heard of the list.
    pub fn alter_list_update(&self, mut update: Update) -> Update {
        if self.is_active(Fault::DeafToDrains) && !update.all {
            update.targets.retain(|target| target.state == "SERVING");
        }
        update
    }

    /// How a message is held to end.
    pub fn alter_verdict(&self, verdict: Verdict) -> Verdict {
        match verdict {
            Verdict::Failed if self.is_active(Fault::HandsBack) => Verdict::Returned { after_ms: 100 },
            told => told,
        }
    }
}
