//! Sends requests for the keys of one node in round-robin order, to measure how
//! long they are unavailable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::bail;
use rand::RngExt;
use rand::rngs::StdRng;

use super::support::OwnerMap;
use super::support::keys_of;
use crate::fleet::deployment::ServiceSize;
use crate::fleet::harness::FleetHarness;
use crate::load::stream::TrafficStream;
use crate::load::stream::TrafficTarget;

/// Maximum number of probed keys.
const MAX_KEYS: usize = 32;

/// Requests per second for each key.
const RATE_PER_KEY: f64 = 50.0;

const DEADLINE: Duration = Duration::from_secs(2);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// A node that an experiment makes fail, with keys that it owns.
#[derive(Debug, Clone)]
pub(super) struct ProbedNode {
    /// Index of the node in the fleet.
    pub(super) index: usize,
    /// Keys that it owned when it was drawn.
    pub(super) keys: Arc<[Box<str>]>,
}

impl ProbedNode {
    /// Draws one of a service's nodes that own keys, at random.
    pub(super) fn draw(
        fleet: &FleetHarness,
        service: &ServiceSize,
        owners: &OwnerMap,
        random: &mut StdRng,
    ) -> eyre::Result<Self> {
        let mut nodes: Vec<Self> = Vec::new();
        for index in fleet.nodes_of(service.name) {
            let keys = keys_of(owners, &fleet.nodes[index].name);
            if !keys.is_empty() {
                let keys = keys.iter().take(MAX_KEYS).cloned().collect();
                nodes.push(Self { index, keys });
            }
        }
        if nodes.is_empty() {
            bail!("no node of {} owns a key: {owners:?}", service.name);
        }
        Ok(nodes.swap_remove(random.random_range(0..nodes.len())))
    }

    /// Returns a stream of requests for the node's keys, sent to `entries`.
    pub(super) fn stream(
        &self,
        name: &str,
        service: &ServiceSize,
        entries: Arc<[SocketAddr]>,
        duration: Duration,
    ) -> TrafficStream {
        TrafficStream::builder()
            .name(name)
            .service(service.name)
            .class(service.class)
            .rate(RATE_PER_KEY * self.keys.len() as f64)
            .target(TrafficTarget::Entries(entries))
            .keys(Arc::clone(&self.keys))
            .round_robin_keys(true)
            .duration(duration)
            .deadline(DEADLINE)
            .timeout(REQUEST_TIMEOUT)
            .build()
    }
}
