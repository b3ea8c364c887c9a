//! Describes the requests of a load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;

/// Addresses that receive the requests of a stream.
#[derive(Debug, Clone)]
pub enum TrafficTarget {
    /// These `winchd` processes; a retry goes to the next one.
    Entries(Arc<[SocketAddr]>),
    /// These upstreams, without a router.
    Upstreams(Arc<[SocketAddr]>),
}

impl TrafficTarget {
    /// Returns the addresses, of either kind.
    pub fn addresses(&self) -> &[SocketAddr] {
        match self {
            Self::Entries(addresses) | Self::Upstreams(addresses) => addresses,
        }
    }

    /// Returns whether requests pass through a router.
    pub fn is_routed(&self) -> bool {
        matches!(self, Self::Entries(_))
    }
}

/// Requests of one kind, sent at a constant rate.
#[derive(Debug, Clone)]
#[derive(Builder)]
pub struct TrafficStream {
    /// Name in reports; also the first segment of the requests' paths.
    #[builder(into)]
    pub name: Box<str>,
    /// Service that the requests name.
    #[builder(into)]
    pub service: Box<str>,
    /// Priority class that the requests name.
    #[builder(into)]
    pub class: Box<str>,
    /// Requests per second.
    pub rate: f64,
    /// Addresses that receive the requests.
    pub target: TrafficTarget,
    /// Keys of the requests; at least one.
    pub keys: Arc<[Box<str>]>,
    /// Whether keys are used in round-robin order; by default they are drawn
    /// uniformly at random.
    #[builder(default)]
    pub round_robin_keys: bool,
    /// Delay from the start of the load to the start of the stream.
    #[builder(default)]
    pub start: Duration,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Whether each request carries an idempotency key.
    #[builder(default)]
    pub with_idempotency_key: bool,
    /// Deadline sent with each attempt; `None` sends no deadline header.
    pub deadline: Option<Duration>,
    /// Timeout of one attempt, on the caller's side.
    #[builder(default = Duration::from_secs(5))]
    pub timeout: Duration,
    /// Attempts per request, the first included.
    #[builder(default = 1)]
    pub attempts: u16,
    /// Minimum size of a request's body, in bytes; a longer path is sent whole.
    #[builder(default = 32)]
    pub body_bytes: usize,
    /// Limit of requests in flight; requests due while it is reached are dropped
    /// and counted.
    #[builder(default = 4_000)]
    pub max_in_flight: usize,
}

/// Returns `count` keys of the form `PREFIX-NUMBER`, numbered from 0.
pub fn numbered_keys(prefix: &str, count: usize) -> Arc<[Box<str>]> {
    (0..count)
        .map(|number| format!("{prefix}-{number}").into())
        .collect()
}
