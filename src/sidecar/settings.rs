//! What a sidecar is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use crate::base::ids::DomainName;
use crate::base::ids::NodeName;
use crate::base::ids::ServiceName;

/// The settings of one sidecar.
#[derive(Debug, Clone, PartialEq)]
#[derive(bon::Builder)]
pub struct SidecarSettings {
    /// Name of the node, constant over restarts.
    #[builder(into)]
    pub node: NodeName,
    /// The service of the upstream on the VM.
    #[builder(into)]
    pub service: ServiceName,
    /// Failure domain of the VM.
    #[builder(into)]
    pub domain: DomainName,
    /// Where the process talks to other processes, by TCP and UDP.
    pub peers: SocketAddr,
    /// Where others reach that address; it differs behind a relay.
    #[builder(default = peers)]
    pub advertised: SocketAddr,
    /// How often the upstream announces itself.
    pub announce_interval: Duration,
    /// How long the process may take to leave.
    pub grace: Duration,
    /// Longest hold of a grant.
    pub longest_hold: Duration,
    /// How many repeats the fleet may send.
    pub repeats: RepeatLimits,
}

/// How many requests may be sent to a second upstream, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatLimits {
    /// Repeats for each request of a service.
    pub ratio: f64,
    /// Time over which requests and repeats are counted.
    pub window: Duration,
    /// Repeats that are allowed besides.
    pub slack: f64,
}
