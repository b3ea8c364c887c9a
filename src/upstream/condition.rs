//! What an upstream states about itself in its responses.

use serde::Deserialize;
use serde::Serialize;

/// Thousandths of a request per second in a request per second.
const MILLI: f64 = 1000.0;

/// A rate of requests, exact to a thousandth of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestRate(u32);

impl RequestRate {
    /// No requests.
    pub const ZERO: Self = Self(0);

    /// Returns a rate in requests per second; `None` if it is negative or not a
    /// number. One that is too large to represent becomes the largest.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        (rate >= 0.0).then_some(Self((rate * MILLI) as u32))
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / MILLI
    }
}

/// How long work takes at an upstream at one moment, in thousandths of the usual
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct WorkPace(u16);

impl WorkPace {
    /// The usual time.
    pub const USUAL: Self = Self(1000);

    /// Returns the pace at which work takes `permille` thousandths of the usual time;
    /// `None` for zero.
    pub fn from_permille(permille: u16) -> Option<Self> {
        (permille > 0).then_some(Self(permille))
    }

    /// Returns the thousandths of the usual time.
    pub fn permille(self) -> u16 {
        self.0
    }

    /// Returns the factor by which work takes longer than usual; below 1 if it takes
    /// less time.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / MILLI
    }
}

impl Default for WorkPace {
    fn default() -> Self {
        Self::USUAL
    }
}

/// Identifies an upstream process; the same at every sidecar.
pub type UpstreamTag = u64;

/// The condition of an upstream, as it states it in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamCondition {
    /// The rate of requests that it accepts from all VMs together; `None` if it
    /// states no limit.
    pub rate_limit: Option<RequestRate>,
    /// Whether it is about to end and must get no new requests. Final for an
    /// upstream process.
    pub leaving: bool,
}

impl UpstreamCondition {
    /// Returns whether the upstream states nothing that concerns its callers.
    pub fn is_plain(self) -> bool {
        self == Self::default()
    }
}

/// The condition that an upstream process stated in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StatedCondition {
    /// The process; 0 if it is not known.
    pub upstream: UpstreamTag,
    /// What it stated.
    pub condition: UpstreamCondition,
}
