//! Tells the state of the fleet and this process's figures.
//!
//! The figures answer what the users measure: imbalance, churn, unavailable
//! time, service by priority class, and what each class keeps during a flood.

use winch_operator_api as api;

use super::backend::BackendView;
use crate::base::collections::FastMap;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::declarations::ClassDeclaration;
use crate::declarations::Declaration;
use crate::declarations::ServiceDeclaration;
use crate::planner::placement::PlacementCandidate;
use crate::planner::placement::candidates;
use crate::routing::table::serving_position;
use crate::state::folded::HolderChain;
use crate::state::folded::MemberState;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;

#[derive(Debug, Default)]
struct SliceTally {
    owned: FastMap<Incarnation, u32>,
    succeeding: FastMap<Incarnation, u32>,
    unowned: u32,
    without_successor: u32,
}

/// Tells the status.
pub fn fleet_status(view: &BackendView) -> api::StatusResponse {
    let mut tallies = Vec::new();
    let mut classes = Vec::new();
    for declaration in declarations(view) {
        match declaration {
            Declaration::Service(service) => tallies.push((service, tally_slices(view, service))),
            Declaration::PriorityClass(class) => classes.push(class_status(view, class)),
            Declaration::OwnershipRule(_) => {}
        }
    }
    classes.sort_by_key(|class| class.rank);
    let planner = &view.metrics.planner;
    let ownership = &view.metrics.ownership;
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
        unavailable_seconds: ownership.unavailable.get(),
        takeovers: ownership.takeovers.get(),
    }
}

/// Returns the name of an incarnation's node, or its number when it is no
/// member any more.
pub(super) fn node_name(view: &BackendView, incarnation: Incarnation) -> String {
    view.state.members.get(&incarnation).map_or_else(
        || incarnation.to_string(),
        |member| member.info.node.to_string(),
    )
}

fn declarations(view: &BackendView) -> impl Iterator<Item = &Declaration> {
    view.state
        .objects
        .values()
        .filter_map(|object| object.declaration.as_ref())
}

fn tally_slices(view: &BackendView, service: &ServiceDeclaration) -> SliceTally {
    let mut tally = SliceTally::default();
    for slice in 0..service.slices {
        let key = ChainKey {
            service: service.name.clone(),
            subject: ChainSubject::Slice(slice),
        };
        let chain = view.state.chains.get(&key);
        let serving = chain
            .and_then(|chain| Some((chain, serving_position(&key, chain, view.route_inputs())?)));
        let Some((chain, route)) = serving else {
            tally.unowned += 1;
            continue;
        };
        *tally.owned.entry(route.owner).or_default() += 1;
        let successors = later_positions(chain, route.epoch);
        match serving_position(&key, &successors, view.route_inputs()) {
            Some(next) => *tally.succeeding.entry(next.owner).or_default() += 1,
            None => tally.without_successor += 1,
        }
    }
    tally
}

/// Returns the positions of a chain after an epoch.
fn later_positions(chain: &HolderChain, epoch: Epoch) -> HolderChain {
    let passed = (epoch + 1 - chain.base) as usize;
    HolderChain {
        base: epoch + 1,
        entries: chain.entries[passed..].to_vec(),
        target: chain.target,
    }
}

fn member_status(
    view: &BackendView,
    member: &MemberState,
    tallies: &[(&ServiceDeclaration, SliceTally)],
) -> api::MemberStatus {
    let info = &member.info;
    let sum = |count: fn(&SliceTally) -> &FastMap<Incarnation, u32>| {
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
        successor_slices: sum(|tally| &tally.succeeding),
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
    tally: &SliceTally,
) -> api::ServiceStatus {
    let eligible = candidates(&view.state, &service.name, &view.ended);
    api::ServiceStatus {
        name: service.name.to_string(),
        slices: service.slices.into(),
        unowned: tally.unowned,
        without_successor: tally.without_successor,
        imbalance: imbalance(&eligible, tally),
    }
}

/// Greatest load of one node over the mean, minus 1, where a node's load is
/// its slices by its weight. 0 without a node or slice.
fn imbalance(eligible: &[PlacementCandidate], tally: &SliceTally) -> f64 {
    let owned = |candidate: &PlacementCandidate| {
        f64::from(
            tally
                .owned
                .get(&candidate.incarnation)
                .copied()
                .unwrap_or(0),
        )
    };
    let slices: f64 = eligible.iter().map(owned).sum();
    let weight: f64 = eligible.iter().map(|candidate| candidate.weight).sum();
    let greatest = eligible
        .iter()
        .map(|candidate| owned(candidate) / candidate.weight)
        .fold(0.0, f64::max);
    if slices == 0.0 {
        0.0
    } else {
        greatest * weight / slices - 1.0
    }
}

fn class_status(view: &BackendView, class: &ClassDeclaration) -> api::ClassStatus {
    let figures = view.metrics.class(&class.name).figures();
    api::ClassStatus {
        name: class.name.to_string(),
        rank: class.rank.into(),
        target_ms: class.target.as_millis() as u64,
        answered: figures.answered,
        not_run: figures.not_run,
        unknown: figures.unknown,
        p50_seconds: figures.p50,
        p99_seconds: figures.p99,
        queued: figures.queued,
        running: figures.running,
    }
}
