//! The route configuration that an operator publishes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::base::ids::ServiceName;
use crate::base::ids::Version;
use crate::upstream::cold_start::ColdPolicy;

/// Name of a route, unique within a configuration.
pub type RouteName = Box<str>;

/// A complete route configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteConfiguration {
    /// Version of the configuration; every newer one has a greater version.
    pub version: Version,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// The routes of each host.
    pub hosts: Vec<HostRoutes>,
    /// The services that routes may have as destinations.
    pub services: Vec<ServicePolicy>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from a request's first byte to the end of its headers.
    pub header_timeout: Duration,
    /// Maximum time for which a keep-alive connection may be idle.
    pub idle_timeout: Duration,
}

/// The routes of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostRoutes {
    /// Host name without port; compared without regard to case.
    pub host: Box<str>,
    /// Its routes, in no particular order.
    pub rules: Vec<RouteRule>,
}

/// A route: the requests of a host whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route, which is also the class of its requests.
    pub name: RouteName,
    /// Path prefix; begins and ends with a slash. The longest match wins.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Target latency of responses, from the arrival of the request.
    pub target: Duration,
    /// Rank of its requests; 0 is the most urgent.
    pub rank: u8,
    /// Maximum time from the arrival of a request to its response.
    pub timeout: Duration,
    /// Maximum number of upstreams that one request may be sent to; at least 1.
    pub attempts: u32,
    /// The services that handle its requests, by weight.
    pub destinations: Vec<WeightedService>,
}

/// A service that handles a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Its share, relative to the sum of the route's weights; 0 for no
    /// requests.
    pub weight: u32,
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Name of the service, unique within a configuration.
    pub name: ServiceName,
    /// Maximum number of connections to one of its upstreams.
    pub connections: u32,
    /// Whether it is sharded by key: each of its upstreams owns ranges of keys
    /// exclusively.
    pub sharded: bool,
    /// What its upstreams bear while they are cold; `None` if they bear as much as
    /// ever.
    pub cold: Option<ColdPolicy>,
    /// Path at which its upstreams answer questions about their state; `None` if they
    /// do not.
    pub health_path: Option<Box<str>>,
}

impl RouteConfiguration {
    /// Returns the service with this name; none if it is not declared.
    pub fn service(&self, name: &str) -> Option<&ServicePolicy> {
        self.services.iter().find(|policy| &*policy.name == name)
    }

    /// Returns whether a service is sharded by key; false if it is not
    /// declared.
    pub fn is_sharded(&self, service: &str) -> bool {
        self.service(service).is_some_and(|policy| policy.sharded)
    }
}
