//! What an operator publishes about routes and services.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::base::ids::ServiceName;
use crate::base::ids::Version;

/// Name of a route, unique in a configuration.
pub type RouteName = Box<str>;

/// A whole configuration. Versions only grow.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteConfiguration {
    /// The configuration's version.
    pub version: Version,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The routes of each host.
    pub hosts: Vec<HostRoutes>,
    /// The services that routes lead to.
    pub services: Vec<ServicePolicy>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub header_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from a request's first byte to the end of its head.
    pub header_timeout: Duration,
    /// How long a kept connection may be idle.
    pub idle_timeout: Duration,
}

/// The routes of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostRoutes {
    /// The host, without port.
    pub host: Box<str>,
    /// Its routes, in no particular order.
    pub rules: Vec<RouteRule>,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteRule {
    /// Its name.
    pub name: RouteName,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Latency within which an answer is worth most.
    pub target: Duration,
    /// Rank of its requests; 0 is the most urgent.
    pub rank: u8,
    /// Longest time that a request may be kept waiting for its answer.
    pub timeout: Duration,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Where its requests go, by weight.
    pub destinations: Vec<WeightedService>,
}

/// A service that takes a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the weights of the route's other services.
    pub weight: u32,
}

/// What an operator says of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServicePolicy {
    /// The service.
    pub name: ServiceName,
    /// Most connections that one of its upstreams takes.
    pub connections: u32,
    /// Whether its upstreams own ranges of keys exclusively.
    pub sharded: bool,
}

impl RouteConfiguration {
    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&ServicePolicy> {
        self.services.iter().find(|policy| &*policy.name == name)
    }

    /// Tells whether a service is divided by key; false for one that is not
    /// declared.
    pub fn is_sharded(&self, service: &str) -> bool {
        self.service(service).is_some_and(|policy| policy.sharded)
    }
}
