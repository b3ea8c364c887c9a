//! `Explain` call: where the requests of a key are routed, and why.

use winch_operator_api as api;

use super::backend::BackendView;
use crate::base::hash::hash_key;
use crate::base::hash::slice_of;
use crate::base::ids::Epoch;
use crate::declarations::Declaration;
use crate::declarations::DivisionMode;
use crate::declarations::ObjectKey;
use crate::declarations::ObjectKind;
use crate::declarations::ServiceDeclaration;
use crate::routing::table::serving_position;
use crate::state::folded::ChainEntry;
use crate::state::folded::HolderChain;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;

/// Explains the routing of a key.
///
/// A key with a chain of its own is routed by that chain, other keys by the chain
/// of their slice. Returns `None` if the service is not declared.
pub fn explain_key(view: &BackendView, service: &str, key: &str) -> Option<api::ExplainResponse> {
    let declared = find_service(view, service)?;
    let hash = hash_key(key.as_bytes());
    let slice = slice_of(hash, declared.slices);
    let chain_key_of = |subject| ChainKey {
        service: service.into(),
        subject,
    };
    let key_chain = chain_key_of(ChainSubject::Key(hash));
    let own_chain = view.state.chains.contains_key(&key_chain);
    let chain_key = if own_chain {
        key_chain
    } else {
        chain_key_of(ChainSubject::Slice(slice))
    };
    let chain_positions = view
        .state
        .chains
        .get(&chain_key)
        .map(|chain| explain_chain(view, &chain_key, chain))
        .unwrap_or_default();
    let serving = chain_positions.iter().find(|position| is_serving(position));
    Some(api::ExplainResponse {
        service: service.to_owned(),
        key: key.to_owned(),
        key_hash: hash,
        slice: slice.into(),
        own_chain,
        served_by: serving.map_or_else(String::new, |position| position.node.clone()),
        served_epoch: serving.map_or(0, |position| position.epoch),
        why: routing_reason(declared, own_chain, serving, chain_positions.is_empty()),
        positions: chain_positions,
        next_offset: view.state.next,
    })
}

/// Finds a declared service by name.
pub(super) fn find_service<'a>(
    view: &'a BackendView,
    service: &str,
) -> Option<&'a ServiceDeclaration> {
    let object = ObjectKey {
        kind: ObjectKind::Service,
        name: service.into(),
    };
    match view.state.objects.get(&object)?.declaration.as_ref()? {
        Declaration::Service(service) => Some(service),
        _ => None,
    }
}

fn is_serving(position: &api::ChainPosition) -> bool {
    matches!(
        position.state(),
        api::PositionState::Serving | api::PositionState::Leaving
    )
}

fn explain_chain(
    view: &BackendView,
    key: &ChainKey,
    chain: &HolderChain,
) -> Vec<api::ChainPosition> {
    let serving = serving_position(key, chain, view.route_inputs()).map(|owner| owner.epoch);
    (chain.first_epoch..)
        .zip(&chain.entries)
        .map(|(epoch, entry)| {
            let (state, reason) = position_state(view, key, chain, epoch, entry, serving);
            let member = view.state.members.get(&entry.holder);
            api::ChainPosition {
                epoch,
                incarnation: entry.holder,
                node: member.map_or_else(String::new, |member| member.info.node.to_string()),
                failure_domain: member
                    .map_or_else(String::new, |member| member.info.domain.to_string()),
                state: state.into(),
                reason,
            }
        })
        .collect()
}

fn position_state(
    view: &BackendView,
    key: &ChainKey,
    chain: &HolderChain,
    epoch: Epoch,
    entry: &ChainEntry,
    serving: Option<Epoch>,
) -> (api::PositionState, String) {
    use api::PositionState;
    if entry.resigned {
        return (PositionState::Resigned, "resigned, by the log".to_owned());
    }
    if view.resigned.contains(&(key.clone(), epoch)) {
        let reason = "resigned; the log does not tell yet".to_owned();
        return (PositionState::Resigned, reason);
    }
    if !view.state.members.contains_key(&entry.holder) {
        return (PositionState::Ended, "ended, by the log".to_owned());
    }
    if view.ended.contains(&entry.holder) {
        let reason = "lease ended, by certificate; the log does not tell yet".to_owned();
        return (PositionState::Ended, reason);
    }
    if serving == Some(epoch) && epoch < chain.target_epoch {
        let reason = format!("asked to resign in favour of epoch {}", chain.target_epoch);
        return (PositionState::Leaving, reason);
    }
    if serving == Some(epoch) {
        let reason = if epoch == chain.first_epoch {
            "first position of the chain".to_owned()
        } else {
            "every earlier position has resigned or ended".to_owned()
        };
        return (PositionState::Serving, reason);
    }
    let reason = serving.map_or_else(String::new, |epoch| {
        format!("waits for epoch {epoch} to resign or end")
    });
    (PositionState::Waiting, reason)
}

fn routing_reason(
    service: &ServiceDeclaration,
    own_chain: bool,
    serving: Option<&api::ChainPosition>,
    chain_is_empty: bool,
) -> String {
    let subject = if own_chain { "the key" } else { "its slice" };
    let owned = match serving {
        Some(position) => format!(
            "{} serves {subject} at epoch {} while its lease is live: {}",
            position.node, position.epoch, position.reason
        ),
        None if chain_is_empty => {
            "nobody was assigned yet; a planner assigns when a node of the service has joined"
                .to_owned()
        }
        None => {
            "every holder has resigned or ended; a planner appends a new one to the log".to_owned()
        }
    };
    match service.division {
        DivisionMode::Key => owned,
        DivisionMode::Load => format!(
            "idempotent work goes to the less loaded of two nodes of the service; \
             for non-idempotent work whose idempotency key this is, {owned}"
        ),
    }
}
