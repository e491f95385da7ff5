//! What is done to the world: each fault as actions at their times.

use super::time::at;
use crate::scenario::{Fault, FaultKind, How, Replace, Scenario, Target};
use gullcart_judge::trace::Timestamp;
use gullcart_standins::partner::PartnerFault;
use std::time::Duration;

/// The troubles of one fault have numbers of its own, so many at most.
const IDS_PER_FAULT: u32 = 1000;
/// Stalls of one fault, at most; each is a trouble of its own.
const MOST_STALLS: f64 = 900.0;

/// Something that is done to the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A trouble begins at a partner, or at one of its endpoints.
    Begin {
        /// Its number, by which it ends.
        id: u32,
        /// What.
        trouble: PartnerFault,
        /// Where.
        partner: usize,
        /// One endpoint, or all.
        endpoint: Option<usize>,
        /// When it is to end.
        until: Timestamp,
    },
    /// A trouble ends.
    End {
        /// Its number.
        id: u32,
        /// Where.
        partner: usize,
    },
    /// A partner goes out.
    Out(usize),
    /// A partner comes back, cold.
    Back(usize),
    /// An endpoint is listed as draining.
    Drain {
        /// Whose.
        partner: usize,
        /// Which.
        endpoint: usize,
        /// What comes in its place.
        replace: Replace,
    },
    /// An endpoint that drained is gone.
    Gone {
        /// Whose.
        partner: usize,
        /// Which.
        endpoint: usize,
        /// What comes in its place.
        replace: Replace,
    },
    /// The register says nothing to a courier, or speaks again.
    Silence(usize, bool),
    /// The register's agent of a courier moves.
    Move(usize),
    /// SIGTERM to a courier.
    Term(usize),
    /// SIGKILL to a courier.
    Kill {
        /// Which.
        courier: usize,
        /// Whether its folder goes with it.
        folder_lost: bool,
    },
    /// A courier is started again.
    Start(usize),
    /// A second process takes a courier over.
    Upgrade(usize),
    /// A courier's process is stopped, or goes on.
    Suspend(usize, bool),
    /// A courier's folder takes no more, or does again.
    Full(usize, bool),
}

/// Where a partner's trouble is: at one of its endpoints, or at all.
#[derive(Clone, Copy)]
struct Site {
    partner: usize,
    endpoint: Option<usize>,
}

/// The actions of one fault, as they are put together.
pub(super) struct FaultActions<'a> {
    fault: &'a Fault,
    /// In seconds.
    begin: f64,
    /// The number of its first trouble.
    first_id: u32,
    actions: &'a mut Vec<(Timestamp, Action)>,
}

impl<'a> FaultActions<'a> {
    /// Actions of the fault of this number, which begins after so many seconds, go to the end of a list.
    pub fn new(number: u32, fault: &'a Fault, begin: f64, actions: &'a mut Vec<(Timestamp, Action)>) -> Self {
        FaultActions { fault, begin, first_id: number * IDS_PER_FAULT, actions }
    }

    /// Puts all actions of the fault.
    pub fn put_all(&mut self, scenario: &Scenario) {
        if self.fault.kind == FaultKind::Drain {
            return self.put_drains(scenario);
        }
        for target in scenario.targets(self.fault).unwrap_or_default() {
            match target {
                Target::Partner(partner) => self.put_at_partner(Site { partner, endpoint: None }),
                Target::Endpoint(partner, endpoint) => {
                    self.put_at_partner(Site { partner, endpoint: Some(endpoint) });
                }
                Target::Courier(courier) => self.put_at_courier(courier),
            }
        }
    }

    fn from(&self) -> Timestamp {
        at(self.begin)
    }

    fn to(&self) -> Timestamp {
        at(self.begin + self.fault.length_s)
    }

    fn put(&mut self, at: Timestamp, action: Action) {
        self.actions.push((at, action));
    }

    /// One action as the fault begins, another as it ends.
    fn put_both(&mut self, begins: Action, ends: Action) {
        self.put(self.from(), begins);
        self.put(self.to(), ends);
    }

    fn put_drains(&mut self, scenario: &Scenario) {
        let replace = self.fault.replace;
        for (step, (partner, endpoint)) in scenario.drained(self.fault).into_iter().enumerate() {
            let later = Duration::from_secs_f64(step as f64 * self.fault.step_s);
            self.put(self.from() + later, Action::Drain { partner, endpoint, replace });
            self.put(self.to() + later, Action::Gone { partner, endpoint, replace });
        }
    }

    fn put_at_courier(&mut self, courier: usize) {
        match self.fault.kind {
            FaultKind::RegisterSilent => {
                self.put_both(Action::Silence(courier, true), Action::Silence(courier, false));
            }
            FaultKind::RegisterMove => self.put(self.from(), Action::Move(courier)),
            FaultKind::Term => self.put_both(Action::Term(courier), Action::Start(courier)),
            FaultKind::Upgrade => self.put_upgrades(courier),
            FaultKind::Suspend => {
                self.put_both(Action::Suspend(courier, true), Action::Suspend(courier, false));
            }
            FaultKind::Kill => {
                let folder_lost = self.fault.folder_lost;
                self.put_both(Action::Kill { courier, folder_lost }, Action::Start(courier));
            }
            _ => self.put_both(Action::Full(courier, true), Action::Full(courier, false)),
        }
    }

    fn put_upgrades(&mut self, courier: usize) {
        let gap = self.fault.every_s.unwrap_or(self.fault.length_s);
        let times = (self.fault.length_s / gap).ceil().max(1.0) as u32;
        for time in 0..times {
            let later = Duration::from_secs_f64(gap * f64::from(time));
            self.put(self.from() + later, Action::Upgrade(courier));
        }
    }

    fn put_at_partner(&mut self, site: Site) {
        let &Fault { kind, severity, tells_wait, how, .. } = self.fault;
        match kind {
            FaultKind::Silent => self.put_trouble(site, PartnerFault::Silent),
            FaultKind::Slow => self.put_trouble(site, PartnerFault::Slow(severity)),
            FaultKind::Refuse => self.put_trouble(site, PartnerFault::Reject(severity, tells_wait)),
            FaultKind::Shut => self.put_trouble(site, PartnerFault::Closed(tells_wait)),
            FaultKind::Reset => self.put_trouble(site, PartnerFault::Reset(severity)),
            FaultKind::Spoil => self.put_trouble(site, PartnerFault::Malformed(severity)),
            FaultKind::Copies => self.put_trouble(site, PartnerFault::DuplicateAnswers(severity)),
            FaultKind::Stall => self.put_stalls(site),
            FaultKind::Outage => {
                self.put_trouble(site, outage_trouble(how, tells_wait));
                self.put_both(Action::Out(site.partner), Action::Back(site.partner));
            }
            _ => {}
        }
    }

    /// A trouble for as long as the fault lasts.
    fn put_trouble(&mut self, site: Site, trouble: PartnerFault) {
        self.put_trouble_within(self.first_id, site, trouble, self.from(), self.to());
    }

    fn put_trouble_within(
        &mut self,
        id: u32,
        site: Site,
        trouble: PartnerFault,
        from: Timestamp,
        until: Timestamp,
    ) {
        let Site { partner, endpoint } = site;
        self.put(from, Action::Begin { id, trouble, partner, endpoint, until });
        self.put(until, Action::End { id, partner });
    }

    /// One stall, or a short one every so many seconds.
    fn put_stalls(&mut self, site: Site) {
        let Some(every) = self.fault.every_s else { return self.put_trouble(site, PartnerFault::Stall) };
        let stalls = (self.fault.length_s / every).ceil().min(MOST_STALLS) as u32;
        for stall in 0..stalls {
            let begins = self.begin + f64::from(stall) * every;
            let ends = begins + self.fault.severity / 1e3;
            self.put_trouble_within(self.first_id + stall, site, PartnerFault::Stall, at(begins), at(ends));
        }
    }
}

/// How a partner that is out treats calls.
fn outage_trouble(how: How, tells_wait: bool) -> PartnerFault {
    match how {
        How::Down => PartnerFault::Down,
        How::Silent => PartnerFault::Silent,
        How::Cut => PartnerFault::Unreachable,
        How::Shut => PartnerFault::Closed(tells_wait),
    }
}
