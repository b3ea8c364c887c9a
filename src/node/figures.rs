//! Keeps the metrics that follow from the state of the process.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::inputs::NodeInputs;
use crate::admission::load::OwnerLoad;
use crate::base::ids::Incarnation;
use crate::base::timer::TimerService;
use crate::declarations::Declaration;
use crate::log::follower::FollowerHandle;
use crate::log::metered::MeteredLog;
use crate::log::service::LogService;
use crate::planner::placement::candidates;
use crate::routing::table::RouteInputs;
use crate::routing::table::serving_position;
use crate::routing::tally::SliceTally;
use crate::telemetry::metrics::MetricRegistry;
use crate::upstream::announce::UpstreamWatch;

/// How often the figures are kept.
const KEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the metrics that follow from the state of the process.
#[derive(Debug)]
#[derive(bon::Builder)]
pub struct FigureKeeper<L: LogService, F: Fn() -> OwnerLoad> {
    own: Incarnation,
    metrics: MetricRegistry,
    log: MeteredLog<L>,
    follower: FollowerHandle,
    inputs: watch::Receiver<NodeInputs>,
    upstream: UpstreamWatch,
    /// Tells the load of this process as owner.
    load: F,
}

impl<L: LogService, F: Fn() -> OwnerLoad> FigureKeeper<L, F> {
    /// Keeps the figures until the process stops.
    pub async fn run(self) {
        let mut ticks = TimerService.subscribe(KEEP_INTERVAL);
        let mut seen = NodeInputs::default();
        let mut undecodable = 0;
        loop {
            ticks.next().await;
            let inputs = self.inputs.borrow().clone();
            self.keep_upstream();
            self.keep_state(&seen, &inputs);
            let age = self.log.read_age().as_secs_f64();
            self.metrics.log.configuration_age.set(age);
            let counters = self.follower.counters().await;
            let skipped = counters.undecodable - undecodable;
            self.metrics.log.undecodable.inc_by(skipped);
            undecodable = counters.undecodable;
            seen = inputs;
        }
    }

    fn keep_upstream(&self) {
        let metrics = &self.metrics.upstream;
        let announced = self.upstream.borrow().clone();
        let slots = announced.as_ref().map_or(0, |info| info.slots);
        let load = (self.load)();
        metrics.announced.set(announced.is_some().into());
        metrics.slots.set(slots.into());
        metrics.limit.set(load.limit.into());
        metrics.running.set(load.running.into());
        metrics.waiting.set(load.waiting.into());
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
        for object in inputs.state.objects.values() {
            if let Some(Declaration::Service(service)) = &object.declaration {
                let tally = SliceTally::count(route_inputs(inputs), service);
                let eligible = candidates(&inputs.state, &service.name, &inputs.view.ended);
                let imbalance = tally.imbalance(&eligible);
                self.metrics.planner.set_imbalance(&service.name, imbalance);
            }
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
