//! What to send.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;

/// Where the requests of a stream go.
#[derive(Debug, Clone)]
pub enum TrafficTarget {
    /// To any of these `winchd` processes; to another one when a connection is
    /// refused.
    Entries(Arc<[SocketAddr]>),
    /// Straight to these upstreams.
    Upstreams(Arc<[SocketAddr]>),
}

impl TrafficTarget {
    /// Returns the addresses.
    pub fn addresses(&self) -> &[SocketAddr] {
        match self {
            Self::Entries(addresses) | Self::Upstreams(addresses) => addresses,
        }
    }

    /// Returns whether requests pass through a `winchd`.
    pub fn is_routed(&self) -> bool {
        matches!(self, Self::Entries(_))
    }
}

/// Requests of one kind, sent at a constant rate.
#[derive(Debug, Clone)]
#[derive(Builder)]
pub struct TrafficStream {
    /// Name, as reports show it.
    #[builder(into)]
    pub name: Box<str>,
    /// The service.
    #[builder(into)]
    pub service: Box<str>,
    /// The priority class.
    #[builder(into)]
    pub class: Box<str>,
    /// Requests a second.
    pub rate: f64,
    /// Where they go.
    pub target: TrafficTarget,
    /// The keys.
    pub keys: Arc<[Box<str>]>,
    /// Whether keys are taken in turn; otherwise they are drawn evenly.
    #[builder(default)]
    pub keys_in_turn: bool,
    /// When the stream starts, from the start of the load.
    #[builder(default)]
    pub start: Duration,
    /// How long it sends.
    pub duration: Duration,
    /// Whether each request carries an idempotency key.
    #[builder(default)]
    pub ordered_once: bool,
    /// Deadline that each attempt names; none names none.
    pub deadline: Option<Duration>,
    /// How long a caller waits for one answer before it gives up.
    #[builder(default = Duration::from_secs(5))]
    pub patience: Duration,
    /// How often a request is sent at most.
    #[builder(default = 1)]
    pub attempts: u16,
    /// Size of a request's body, in bytes.
    #[builder(default = 32)]
    pub body_bytes: usize,
    /// Most requests in flight; those beyond it are counted as not sent.
    #[builder(default = 4_000)]
    pub in_flight: usize,
}

/// Returns `count` keys with a common prefix.
pub fn numbered_keys(prefix: &str, count: usize) -> Arc<[Box<str>]> {
    (0..count)
        .map(|number| format!("{prefix}-{number}").into())
        .collect()
}
