//! Fault injection: deliberately broken couriers, to prove that rehearsals, which are checked simulations of a whole fleet,
//! detect each fault. Compiled only with the feature `broken`, which no release build has. The environment variable
//! [`FAULT_VARIABLE`] selects one fault at the start.

use crate::types::CallResult;
use cloverstile::{Effect, Outcome, ParsedSettings};
use gullcart_message::{ListingUpdate, Verdict};
use std::cell::Cell;
use std::time::Duration;

/// Environment variable with the name of the fault.
pub const FAULT_VARIABLE: &str = "GULLCART_BROKEN";

/// Faults that affect only some messages or calls affect one in this number.
const PERIOD: u32 = 20;
/// Delay of list updates under [`Fault::LateToDrains`].
pub const LIST_UPDATE_DELAY: Duration = Duration::from_secs(4);

macro_rules! faults {
    ($($(#[$doc:meta])* $fault:ident = $name:literal),* $(,)?) => {
        /// A fault that can be injected.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Fault {
            $($(#[$doc])* $fault,)*
        }

        impl Fault {
            fn from_name(name: &str) -> Option<Self> {
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
    /// A restart drops the messages that are held.
    ForgetsAtRestart = "forgets-at-restart",
    /// `+OK` is answered before the message is in the journal.
    EarlyOk = "early-ok",
    /// Some messages are accepted and never processed.
    Swallows = "swallows",
    /// Notices of failed messages are never sent.
    NeverTells = "never-tells",
    /// A call that may have run is treated as one that never ran.
    ResendsUnsafe = "resends-unsafe",
    /// Retries carry a different idempotency key.
    NewKey = "new-key",
    /// Each call is sent twice in parallel.
    SideBySide = "side-by-side",
    /// A failed message, which may have run, is reported as returned.
    HandsBack = "hands-back",
    /// A message with an idempotency key is sent again long after its repeat window.
    PastWindow = "past-window",
    /// A retry is sent whenever its connection is established, however late.
    LateRepeats = "late-repeats",
    /// Drains are ignored.
    DeafToDrains = "deaf-to-drains",
    /// Drains take effect [`LIST_UPDATE_DELAY`] late.
    LateToDrains = "late-to-drains",
    /// A destination that serves again gets full load at once, without a slow start.
    RushesCold = "rushes-cold",
    /// The load that a destination can take in its slow start is overestimated by a factor of 100.
    OverestimatesCold = "overestimates-cold",
    /// Messages with the same order key do not wait for each other.
    Overtakes = "overtakes",
    /// An order key does not rest after a call that may still be running.
    NoRest = "no-rest",
    /// A restart restores the messages in the wrong order.
    ReordersAtRestart = "reorders-at-restart",
    /// Retry-after times are ignored.
    IgnoresWait = "ignores-wait",
    /// Retry-after times are halved.
    HalvesWait = "halves-wait",
    /// Each undelivered message gets two notices with different verdicts.
    EndsTwice = "ends-twice",
    /// The notice of a failed message is sent only shortly before the message's deadline.
    KeepsBack = "keeps-back",
    /// Some calls go to an endpoint of another destination.
    GoesAstray = "goes-astray",
    /// The first answer after a call counts as its answer, even if it duplicates an earlier one.
    BelievesCopies = "believes-copies",
}

/// Injects the selected fault, if any.
#[derive(Clone, Default)]
pub struct FaultInjector {
    fault: Option<Fault>,
    /// Number of calls to [`FaultInjector::fires`] for the selected fault.
    count: Cell<u32>,
}

impl FaultInjector {
    /// Selects the fault with this name; none without a name.
    pub fn from_name(name: Option<&str>) -> Result<Self, String> {
        let unknown = |name: &str| {
            format!("{FAULT_VARIABLE}: unknown fault '{name}', expected one of: {}", NAMES.join(", "))
        };
        let fault = name.map(|name| Fault::from_name(name).ok_or_else(|| unknown(name))).transpose()?;
        Ok(FaultInjector { fault, count: Cell::new(0) })
    }

    /// Whether this fault is selected.
    pub fn is_active(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    /// Whether this fault is selected and affects this one of every [`PERIOD`] cases.
    pub fn fires(&self, fault: Fault) -> bool {
        if !self.is_active(fault) {
            return false;
        }
        self.count.set(self.count.get() + 1);
        self.count.get().is_multiple_of(PERIOD)
    }

    /// Applies the fault to the settings.
    pub fn apply_to_settings(&self, mut parsed: ParsedSettings) -> ParsedSettings {
        let settings = &mut parsed.settings;
        match self.fault {
            Some(Fault::PastWindow) => {
                for class in settings.classes.iter_mut().filter(|class| class.effect == Effect::Keyed) {
                    class.repeat_window = Duration::from_secs(3600);
                }
            }
            Some(Fault::RushesCold) => {
                settings.rules.warm_up = Duration::ZERO;
                settings.rules.cold_capacity_share = 1.0;
                settings.rules.collapse_multiple = 1000.0;
            }
            Some(Fault::OverestimatesCold) => settings.rules.collapse_multiple *= 100.0,
            Some(Fault::Overtakes) => settings.classes.iter_mut().for_each(|class| class.in_order = false),
            Some(Fault::NoRest) => settings.rules.order_settle = Duration::ZERO,
            _ => {}
        }
        parsed
    }

    /// Applies the fault to the result of a call.
    pub fn alter_call_result(&self, result: CallResult) -> CallResult {
        let is_ambiguous =
            matches!(result.outcome, Outcome::Reset | Outcome::Timeout | Outcome::Error | Outcome::Malformed);
        let outcome = match (self.fault, result.outcome) {
            (Some(Fault::ResendsUnsafe), _) if is_ambiguous => Outcome::ConnectFailed,
            (Some(Fault::IgnoresWait), Outcome::Rejected(Some(_))) => Outcome::Rejected(None),
            (Some(Fault::HalvesWait), Outcome::Rejected(Some(wait))) => Outcome::Rejected(Some(wait / 2)),
            (_, outcome) => outcome,
        };
        CallResult { outcome, ..result }
    }

    /// Applies the fault to an update of the list.
    pub fn alter_list_update(&self, mut update: ListingUpdate) -> ListingUpdate {
        if self.is_active(Fault::DeafToDrains) && !update.all {
            update.targets.retain(|target| target.state == "SERVING");
        }
        update
    }

    /// Applies the fault to the verdict of a message.
    pub fn alter_verdict(&self, verdict: Verdict) -> Verdict {
        match verdict {
            Verdict::Failed if self.is_active(Fault::HandsBack) => Verdict::Returned { after_ms: 100 },
            verdict => verdict,
        }
    }
}
