//! `Status` call: state of the fleet, and statistics of the answering process.
//!
//! The statistics are those that users measure: imbalance, churn, unavailable
//! time, and the service that each priority class gets, also during a flood.

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

/// Builds the response: fleet state from the folded state, request statistics
/// from the metrics of this process alone.
pub fn fleet_status(view: &BackendView) -> api::StatusResponse {
    let mut services = Vec::new();
    let mut classes = Vec::new();
    for declaration in declarations(view) {
        match declaration {
            Declaration::Service(service) => {
                services.push((service, SliceCounts::count(view.route_inputs(), service)));
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
            .map(|member| member_status(view, member, &services))
            .collect(),
        services: services
            .iter()
            .map(|(service, counts)| service_status(view, service, counts))
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

/// Returns the name of an incarnation's node, or the incarnation in hexadecimal
/// digits if it is no longer a member.
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
    services: &[(&ServiceDeclaration, SliceCounts)],
) -> api::MemberStatus {
    let info = &member.info;
    let sum = |field: fn(&SliceCounts) -> &FastMap<Incarnation, u32>| {
        services
            .iter()
            .filter_map(|(_, counts)| field(counts).get(&info.incarnation))
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
        slices: sum(|counts| &counts.owned),
        successor_slices: sum(|counts| &counts.first_successors),
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
    counts: &SliceCounts,
) -> api::ServiceStatus {
    let eligible = placement_candidates(&view.state, &service.name, &view.ended);
    api::ServiceStatus {
        name: service.name.to_string(),
        slices: service.slices.into(),
        unowned: counts.unowned,
        without_successor: counts.without_successor,
        imbalance: counts.imbalance(&eligible),
    }
}

fn class_status(view: &BackendView, class: &ClassDeclaration) -> api::ClassStatus {
    let summary = view.metrics.class(&class.name).summary();
    api::ClassStatus {
        name: class.name.to_string(),
        rank: class.rank.into(),
        target_ms: class.target.as_millis() as u64,
        answered: summary.answered,
        not_run: summary.not_run,
        unknown: summary.unknown,
        p50_seconds: summary.p50_seconds,
        p99_seconds: summary.p99_seconds,
    }
}
