//! Tells the state of the fleet and this process's figures.
//!
//! The figures answer what the users measure: imbalance, churn, unavailable
//! time, service by priority class, and what each class keeps during a flood.

use winch_operator_api as api;

use super::backend::BackendView;
use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;
use crate::declarations::ClassDeclaration;
use crate::declarations::Declaration;
use crate::declarations::ServiceDeclaration;
use crate::planner::placement::placement_candidates;
use crate::routing::slice_counts::SliceCounts;
use crate::state::folded::MemberState;

/// Tells the status.
pub fn fleet_status(view: &BackendView) -> api::StatusResponse {
    let mut tallies = Vec::new();
    let mut classes = Vec::new();
    for declaration in declarations(view) {
        match declaration {
            Declaration::Service(service) => {
                tallies.push((service, SliceCounts::count(view.route_inputs(), service)));
            }
            Declaration::PriorityClass(class) => classes.push(class_status(view, class)),
            Declaration::OwnershipRule(_) => {}
        }
    }
    classes.sort_by_key(|class| class.rank);
    let planner = &view.metrics.planner;
    let ownership = &view.metrics.ownership;
    let upstream = &view.metrics.upstream;
    let routing = &view.metrics.routing;
    api::StatusResponse {
        node: view.node.to_string(),
        incarnation: view.incarnation,
        next_offset: view.state.next,
        term: view.state.term,
        planner: view
            .state
            .planner
            .map_or_else(String::new, |planner| node_name(view, planner)),
        members: view
            .state
            .members
            .values()
            .map(|member| member_status(view, member, &tallies))
            .collect(),
        services: tallies
            .iter()
            .map(|(service, tally)| service_status(view, service, tally))
            .collect(),
        classes,
        chain_moves: planner.moves.get(),
        takeovers: ownership.takeovers.get(),
        running: upstream.running.get().unsigned_abs(),
        waiting: upstream.waiting.get().unsigned_abs(),
        limit: upstream.limit.get().unsigned_abs(),
        unavailable_seconds: routing.unavailable_seconds.get(),
        stalled: routing.stalled.get().unsigned_abs(),
    }
}

/// Returns the name of an incarnation's node, or its number when it is no
/// member any more.
pub(super) fn node_name(view: &BackendView, incarnation: Incarnation) -> String {
    view.state.members.get(&incarnation).map_or_else(
        || format!("{incarnation:x}"),
        |member| member.info.node.to_string(),
    )
}

fn declarations(view: &BackendView) -> impl Iterator<Item = &Declaration> {
    view.state
        .objects
        .values()
        .filter_map(|object| object.declaration.as_ref())
}

fn member_status(
    view: &BackendView,
    member: &MemberState,
    tallies: &[(&ServiceDeclaration, SliceCounts)],
) -> api::MemberStatus {
    let info = &member.info;
    let sum = |count: fn(&SliceCounts) -> &FastMap<Incarnation, u32>| {
        tallies
            .iter()
            .filter_map(|(_, tally)| count(tally).get(&info.incarnation))
            .sum()
    };
    api::MemberStatus {
        node: info.node.to_string(),
        incarnation: info.incarnation,
        region: info.region.to_string(),
        failure_domain: info.domain.to_string(),
        operator_address: info.operator_address.to_string(),
        service: info.upstream.service.to_string(),
        slots: info.upstream.slots.into(),
        draining: member.draining,
        slices: sum(|tally| &tally.owned),
        successor_slices: sum(|tally| &tally.first_successors),
        witnesses: member
            .witnesses
            .members
            .iter()
            .map(|witness| node_name(view, *witness))
            .collect(),
        certified_ended: view.ended.contains(&info.incarnation),
    }
}

fn service_status(
    view: &BackendView,
    service: &ServiceDeclaration,
    tally: &SliceCounts,
) -> api::ServiceStatus {
    let eligible = placement_candidates(&view.state, &service.name, &view.ended);
    api::ServiceStatus {
        name: service.name.to_string(),
        slices: service.slices.into(),
        unowned: tally.unowned,
        without_successor: tally.without_successor,
        imbalance: tally.imbalance(&eligible),
    }
}

fn class_status(view: &BackendView, class: &ClassDeclaration) -> api::ClassStatus {
    let figures = view.metrics.class(&class.name).summary();
    api::ClassStatus {
        name: class.name.to_string(),
        rank: class.rank.into(),
        target_ms: class.target.as_millis() as u64,
        answered: figures.answered,
        not_run: figures.not_run,
        unknown: figures.unknown,
        p50_seconds: figures.p50_seconds,
        p99_seconds: figures.p99_seconds,
    }
}
