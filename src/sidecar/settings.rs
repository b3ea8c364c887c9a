//! Settings of one sidecar, fixed while the process runs.

use std::net::SocketAddr;
use std::time::Duration;

use crate::base::ids::FailureDomainName;
use crate::base::ids::NodeName;
use crate::base::ids::ServiceName;
use crate::held_bytes::limits::ProcessLimits;
use crate::ranges::lease::LeaseTimes;
use crate::upstream::cold_start::ColdBound;

/// Rate of a store that does not state its own, in bytes a second.
const USUAL_STORE_READ_RATE: f64 = 20e6;

/// The settings of one sidecar.
#[derive(Debug, Clone, PartialEq)]
#[derive(bon::Builder)]
pub struct SidecarSettings {
    /// Node name; stays the same across restarts.
    #[builder(into)]
    pub node: NodeName,
    /// Service that the local upstream serves.
    #[builder(into)]
    pub service: ServiceName,
    /// Failure domain of the VM. Load balancing prefers upstreams in the same
    /// domain, and lease voters are spread over domains.
    #[builder(into)]
    pub domain: FailureDomainName,
    /// Address to bind for traffic between sidecars, for both TCP and UDP.
    pub peers: SocketAddr,
    /// Address that other sidecars connect to. Differs from `peers` behind a
    /// relay; defaults to `peers`.
    #[builder(default = peers)]
    pub advertised_peers: SocketAddr,
    /// Interval between heartbeats of the local upstream.
    pub announce_interval: Duration,
    /// Time from the start of a shutdown to the exit of the process.
    pub shutdown_grace: Duration,
    /// Upper bound on the time for which one grant lets the upstream hold a
    /// range.
    pub max_grant_duration: Duration,
    /// Retry budget shared by all sidecars of the fleet.
    pub retry_limits: RetryLimits,
    /// How grants of ranges reach the local upstream. Default: calls.
    #[builder(default)]
    pub grant_delivery: GrantDelivery,
    /// How many requests a cold upstream may get beyond the rate that it bears.
    /// Default: none.
    #[builder(default)]
    pub cold_bound: ColdBound,
    /// Memory and descriptors of the process.
    #[builder(default)]
    pub process_limits: ProcessLimits,
    /// Bytes a second that the store sends to all its readers together. Default: 20 MB.
    #[builder(default = USUAL_STORE_READ_RATE)]
    pub store_read_rate: f64,
}

/// Number of heartbeats of the upstream in one lease. Grants that travel in
/// answers to heartbeats survive one that is lost.
const HEARTBEATS_PER_LEASE: u32 = 3;

impl SidecarSettings {
    /// Returns how long leases on ranges last: long enough for the grants that
    /// depend on them to be renewed in time.
    pub fn lease_times(&self) -> LeaseTimes {
        let times = LeaseTimes::default();
        match self.grant_delivery {
            GrantDelivery::Calls => times,
            GrantDelivery::Heartbeats => {
                let holder = self.announce_interval * HEARTBEATS_PER_LEASE;
                LeaseTimes::of_holder(holder.max(times.holder))
            }
        }
    }
}

/// How grants of ranges reach the local upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum GrantDelivery {
    /// By a call to the upstream for each grant and each release.
    #[default]
    Calls,
    /// In the answers to the upstream's heartbeats.
    Heartbeats,
}

/// Limits on requests that are sent to a second upstream, for each service
/// over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request; 0.2 allows one retry for five requests.
    pub ratio: f64,
    /// Time over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed per window on top of the ratio.
    pub slack: f64,
}
