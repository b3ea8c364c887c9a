//! Keeps the metrics that follow from the state of the process.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::inputs::NodeInputs;
use crate::admission::load::OwnerLoad;
use crate::base::ids::Incarnation;
use crate::base::timer::TimerService;
use crate::log::follower::FollowerHandle;
use crate::log::metered::MeteredLog;
use crate::log::service::LogService;
use crate::planner::placement::placement_candidates;
use crate::routing::slice_counts::SliceCounts;
use crate::routing::table::RouteInputs;
use crate::routing::table::serving_position;
use crate::telemetry::metrics::MetricRegistry;
use crate::upstream::announce::UpstreamWatch;

/// How often it is looked whether requests find an owner.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// The other figures are kept after so many samples.
const KEEP_SAMPLES: u32 = 10;

/// Figures of a process as owner.
#[derive(Debug, Clone, Copy)]
pub struct OwnerFigures {
    /// Its load.
    pub load: OwnerLoad,
    /// Outcomes that it keeps for repetitions.
    pub outcomes: usize,
}

/// Keeps the metrics that follow from the state of the process.
#[derive(Debug)]
#[derive(bon::Builder)]
pub struct FigureKeeper<L: LogService, F: Fn() -> OwnerFigures> {
    own: Incarnation,
    metrics: MetricRegistry,
    log: MeteredLog<L>,
    follower: FollowerHandle,
    inputs: watch::Receiver<NodeInputs>,
    upstream: UpstreamWatch,
    /// Tells the figures of this process as owner.
    owner: F,
}

/// What the figures were at the last look.
#[derive(Debug, Default)]
struct SeenFigures {
    inputs: NodeInputs,
    stalls: u64,
    undecodable: u64,
}

impl<L: LogService, F: Fn() -> OwnerFigures> FigureKeeper<L, F> {
    /// Keeps the figures until the process stops.
    pub async fn run(self) {
        let mut ticks = TimerService.subscribe(SAMPLE_INTERVAL);
        let mut seen = SeenFigures::default();
        loop {
            for _sample in 0..KEEP_SAMPLES {
                ticks.next().await;
                self.sample_stalls(&mut seen);
            }
            self.keep(&mut seen).await;
        }
    }

    fn sample_stalls(&self, seen: &mut SeenFigures) {
        let routing = &self.metrics.routing;
        let stalls = routing.stalls.get();
        if routing.stalled.get() > 0 || stalls > seen.stalls {
            routing
                .unavailable_seconds
                .inc_by(SAMPLE_INTERVAL.as_secs_f64());
        }
        seen.stalls = stalls;
    }

    async fn keep(&self, seen: &mut SeenFigures) {
        let inputs = self.inputs.borrow().clone();
        self.keep_upstream();
        self.keep_state(&seen.inputs, &inputs);
        seen.inputs = inputs;
        let age = self.log.read_age().as_secs_f64();
        self.metrics.log.configuration_age_seconds.set(age);
        let undecodable = self.follower.counters().await.undecodable;
        let skipped = undecodable.saturating_sub(seen.undecodable);
        self.metrics.log.undecodable.inc_by(skipped);
        seen.undecodable = undecodable;
    }

    fn keep_upstream(&self) {
        let metrics = &self.metrics.upstream;
        let announced = self.upstream.borrow().clone();
        let slots = announced.as_ref().map_or(0, |info| info.slots);
        let OwnerFigures { load, outcomes } = (self.owner)();
        metrics.announced.set(announced.is_some().into());
        metrics.slots.set(slots.into());
        metrics.limit.set(load.limit.into());
        metrics.running.set(load.running.into());
        metrics.waiting.set(load.waiting.into());
        metrics
            .outcomes
            .set(i64::try_from(outcomes).unwrap_or(i64::MAX));
    }

    fn keep_state(&self, seen: &NodeInputs, inputs: &NodeInputs) {
        let is_same =
            Arc::ptr_eq(&seen.state, &inputs.state) && Arc::ptr_eq(&seen.view, &inputs.view);
        if is_same {
            return;
        }
        let state = &inputs.state;
        let holds_term = state.planner == Some(self.own);
        self.metrics.log.next_offset.set(state.next.cast_signed());
        self.metrics.planner.term.set(state.term.cast_signed());
        self.metrics.planner.holds_term.set(holds_term.into());
        self.metrics.planner.moves.inc_by(count_moves(seen, inputs));
        self.keep_imbalance(inputs);
    }

    fn keep_imbalance(&self, inputs: &NodeInputs) {
        for service in inputs.state.services() {
            let tally = SliceCounts::count(route_inputs(inputs), service);
            let eligible = placement_candidates(&inputs.state, &service.name, &inputs.view.ended);
            let imbalance = tally.imbalance(&eligible);
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

/// Counts the chains that had an owner and have another now.
pub fn count_moves(before: &NodeInputs, after: &NodeInputs) -> u64 {
    let moved = after.state.chains.iter().filter(|(key, chain)| {
        let earlier = before.state.chains.get(key);
        let earlier = earlier.and_then(|chain| serving_position(key, chain, route_inputs(before)));
        let now = serving_position(key, chain, route_inputs(after));
        matches!((earlier, now), (Some(earlier), Some(now)) if earlier.owner != now.owner)
    });
    moved.count() as u64
}
