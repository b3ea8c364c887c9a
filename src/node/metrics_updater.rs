//! Updates the metrics that are derived from the state of the process.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::inputs::NodeInputs;
use crate::admission::load::OwnerLoad;
use crate::base::ids::Incarnation;
use crate::base::timer::TimerService;
use crate::held_bytes::budget::ByteBudget;
use crate::log::follower::FollowerHandle;
use crate::log::metered::MeteredLog;
use crate::log::service::LogService;
use crate::planner::placement::placement_candidates;
use crate::routing::slice_counts::SliceCounts;
use crate::routing::table::RouteInputs;
use crate::routing::table::serving_position;
use crate::telemetry::metrics::MetricRegistry;
use crate::upstream::announce::UpstreamWatch;

/// Interval at which stalled requests are sampled; the unit in which the
/// unavailable time is counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of stall samples between two updates of the other metrics.
const SAMPLES_PER_UPDATE: u32 = 10;

/// Load and stored outcomes of this process's owner service.
#[derive(Debug, Clone, Copy)]
pub struct OwnerStats {
    /// Concurrency limit and the requests running and waiting.
    pub load: OwnerLoad,
    /// Number of outcomes stored to answer retries.
    pub outcomes: usize,
}

/// Updates the metrics that are derived from the state of the process.
#[derive(Debug)]
#[derive(bon::Builder)]
pub struct MetricsUpdater<L: LogService, F: Fn() -> OwnerStats> {
    own: Incarnation,
    metrics: MetricRegistry,
    log: MeteredLog<L>,
    follower: FollowerHandle,
    inputs: watch::Receiver<NodeInputs>,
    upstream: UpstreamWatch,
    budget: ByteBudget,
    /// Returns the current stats of this process's owner service.
    owner: F,
}

/// Values at the previous update.
#[derive(Debug, Default)]
struct PreviousValues {
    inputs: NodeInputs,
    stalls: u64,
    undecodable: u64,
}

impl<L: LogService, F: Fn() -> OwnerStats> MetricsUpdater<L, F> {
    /// Updates the metrics periodically. Never returns.
    pub async fn run(self) {
        let mut ticks = TimerService.subscribe(SAMPLE_INTERVAL);
        let mut previous = PreviousValues::default();
        loop {
            for _sample in 0..SAMPLES_PER_UPDATE {
                ticks.next().await;
                self.sample_stalls(&mut previous);
            }
            self.update(&mut previous).await;
        }
    }

    fn sample_stalls(&self, previous: &mut PreviousValues) {
        let routing = &self.metrics.routing;
        let stalls = routing.stalls.get();
        if routing.stalled.get() > 0 || stalls > previous.stalls {
            routing
                .unavailable_seconds
                .inc_by(SAMPLE_INTERVAL.as_secs_f64());
        }
        previous.stalls = stalls;
    }

    async fn update(&self, previous: &mut PreviousValues) {
        let inputs = self.inputs.borrow().clone();
        self.update_upstream();
        self.metrics.memory.update(&self.budget);
        self.update_state(&previous.inputs, &inputs);
        previous.inputs = inputs;
        let age = self.log.read_age().as_secs_f64();
        self.metrics.log.configuration_age_seconds.set(age);
        let undecodable = self.follower.counters().await.undecodable;
        let skipped = undecodable.saturating_sub(previous.undecodable);
        self.metrics.log.undecodable.inc_by(skipped);
        previous.undecodable = undecodable;
    }

    fn update_upstream(&self) {
        let metrics = &self.metrics.upstream;
        let announced = self.upstream.borrow().clone();
        let slots = announced.as_ref().map_or(0, |info| info.slots);
        let OwnerStats { load, outcomes } = (self.owner)();
        metrics.announced.set(announced.is_some().into());
        metrics.slots.set(slots.into());
        metrics.limit.set(load.limit.into());
        metrics.running.set(load.running.into());
        metrics.waiting.set(load.waiting.into());
        metrics
            .outcomes
            .set(i64::try_from(outcomes).unwrap_or(i64::MAX));
    }

    fn update_state(&self, previous: &NodeInputs, inputs: &NodeInputs) {
        let is_same = Arc::ptr_eq(&previous.state, &inputs.state)
            && Arc::ptr_eq(&previous.view, &inputs.view);
        if is_same {
            return;
        }
        let state = &inputs.state;
        let holds_term = state.planner == Some(self.own);
        self.metrics.log.next_offset.set(state.next.cast_signed());
        self.metrics.planner.term.set(state.term.cast_signed());
        self.metrics.planner.holds_term.set(holds_term.into());
        self.metrics
            .planner
            .moves
            .inc_by(count_owner_changes(previous, inputs));
        self.update_imbalance(inputs);
    }

    fn update_imbalance(&self, inputs: &NodeInputs) {
        for service in inputs.state.services() {
            let counts = SliceCounts::count(route_inputs(inputs), service);
            let eligible = placement_candidates(&inputs.state, &service.name, &inputs.view.ended);
            let imbalance = counts.imbalance(&eligible);
            self.metrics.planner.set_imbalance(&service.name, imbalance);
        }
    }
}

fn route_inputs(inputs: &NodeInputs) -> RouteInputs<'_> {
    RouteInputs {
        state: &inputs.state,
        ended: &inputs.view.ended,
        resigned: &inputs.view.resigned,
    }
}

/// Counts the chains that have a serving position in both inputs, with
/// different owners. A chain that gained or lost its owner is not counted.
pub fn count_owner_changes(before: &NodeInputs, after: &NodeInputs) -> u64 {
    let moved = after.state.chains.iter().filter(|(key, chain)| {
        let earlier = before.state.chains.get(key);
        let earlier = earlier.and_then(|chain| serving_position(key, chain, route_inputs(before)));
        let now = serving_position(key, chain, route_inputs(after));
        matches!((earlier, now), (Some(earlier), Some(now)) if earlier.owner != now.owner)
    });
    moved.count() as u64
}
