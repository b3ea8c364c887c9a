//! Applies the orders to evacuate failure domains to the local upstream.

use std::sync::Arc;

use super::fleet::FleetState;
use super::metrics::SidecarMetrics;
use super::upstream::LocalUpstreamRegistry;

/// Takes the local upstream out of service while its failure domain is evacuated, until
/// the process ends. It is out of service until the orders in force are first known.
pub async fn follow_evacuations(
    fleet: Arc<FleetState>,
    registry: LocalUpstreamRegistry,
    metrics: SidecarMetrics,
) {
    let mut changes = fleet.watch_evacuations();
    let mut was_evacuated = false;
    loop {
        let state = changes.borrow_and_update().clone();
        if state.is_known() {
            let domain = &fleet.own().domain;
            let is_evacuated = state.is_evacuated(domain);
            metrics.evacuation.own.set(i64::from(is_evacuated));
            let count = i64::try_from(state.count()).unwrap_or(i64::MAX);
            metrics.evacuation.domains.set(count);
            if is_evacuated != was_evacuated {
                log::info!(domain = &**domain, evacuated = is_evacuated, offset = state.end(); "evacuation: own failure domain");
            }
            if was_evacuated && !is_evacuated {
                // Before it takes requests again.
                registry.expect_cold();
            }
            registry.set_evacuated(is_evacuated);
            was_evacuated = is_evacuated;
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}
