//! The load report that an owner sends to the processes that forward requests
//! to it.

use serde::Deserialize;
use serde::Serialize;

use crate::base::hash::hash_key;

/// Number of classes in a report; the most urgent ones if more are declared.
pub const MAX_RATES: usize = 8;

/// Hash of a class name, the same on every process; 0 stands for no class.
pub type ClassTag = u32;

/// Number of kinds whose costs are in a report.
pub const MAX_COSTS: usize = 4;

/// Value of [`ClassRate::admitted_permille`] that admits every request.
pub const FULL_PERMILLE: u16 = 1000;

/// Pressure per thousandth of failed requests: an upstream that fails every
/// request counts like one with 20 requests per slot.
const FAILURE_PENALTY: u64 = 20;

/// Returns the tag of the class with this name.
pub fn class_tag(name: &str) -> ClassTag {
    hash_key(name.as_bytes()) as ClassTag
}

/// The rate at which an owner admits the requests of a class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassRate {
    /// The class; 0 for an unused element.
    pub class: ClassTag,
    /// Requests started per second, from all senders.
    pub admitted_per_second: u32,
    /// Fraction of its requests that each sender should send, in thousandths.
    pub admitted_permille: u16,
}

/// What requests of a class cost an owner's upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassCost {
    /// The class; 0 for an unused element.
    pub class: ClassTag,
    /// Usual cost, in thousandths of the mean over all classes.
    pub permille: u16,
}

/// Load of an owner, small enough to be attached to every response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Smoothed ratio of requests that failed, in thousandths.
    pub failing_permille: u16,
    /// Maximum number of concurrent requests.
    pub limit: u16,
    /// Admitted rates of the most urgent classes.
    pub rates: [ClassRate; MAX_RATES],
    /// Expected slot time of running and waiting requests that is still to come, in
    /// microseconds.
    pub work_micros: u32,
    /// Smoothed time for which a request holds a slot now, in microseconds.
    pub service_micros: u32,
    /// How long work takes now, in thousandths of the usual time; 0 if the owner does
    /// not tell its work.
    pub pace_permille: u16,
    /// Costs of the classes that the upstream runs.
    pub costs: [ClassCost; MAX_COSTS],
}

impl OwnerLoad {
    /// Returns what requests of a class usually cost, as a ratio to the mean over all
    /// classes; `None` if the owner does not tell.
    pub fn cost_ratio(&self, class: ClassTag) -> Option<f32> {
        let mut costs = self.costs.iter();
        let cost = costs.find(|cost| cost.class == class && cost.permille > 0)?;
        Some(f32::from(cost.permille) / 1000.0)
    }

    /// Returns a score for comparing owners: running and waiting requests per
    /// thousand of the limit, plus a penalty for failures.
    ///
    /// Without the penalty, an upstream that fails every request immediately
    /// would look idle. Since scores are only compared with each other, an
    /// upstream that fails no more than all the others is still used.
    pub fn pressure(&self) -> u64 {
        let busy = u64::from(self.running) + u64::from(self.waiting);
        let penalty = u64::from(self.failing_permille) * FAILURE_PENALTY;
        busy * 1000 / u64::from(self.limit.max(1)) + penalty
    }
}
