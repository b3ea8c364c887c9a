//! Chooses the witnesses of each member's lease.

use std::collections::BTreeMap;

use crate::base::collections::FastSet;
use crate::base::hash::rendezvous_score;
use crate::base::ids::Incarnation;
use crate::base::ids::Version;
use crate::state::folded::FoldedState;
use crate::state::folded::MemberState;

/// Number of witnesses of a member, if its region has that many other members.
pub const WITNESS_COUNT: usize = 3;

/// A new witness set for a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WitnessChange {
    /// The lease holder that gets the set.
    pub member: Incarnation,
    /// Version of the new set: one above the previous one.
    pub version: Version,
    /// The members of the new set.
    pub witnesses: Vec<Incarnation>,
}

/// Returns new witness sets for the members that need one.
///
/// A member needs a new set if it has none, if one of its witnesses has ended,
/// or if it has fewer than [`WITNESS_COUNT`] witnesses and more members are
/// available. Witnesses are in the member's region. `ended` are incarnations
/// known to have ended that are still members in the folded state.
pub fn witness_changes(state: &FoldedState, ended: &FastSet<Incarnation>) -> Vec<WitnessChange> {
    let live: Vec<&MemberState> = state
        .members
        .values()
        .filter(|member| !ended.contains(&member.info.incarnation))
        .collect();
    let mut loads = witness_loads(&live);
    let mut changes = Vec::new();
    for member in &live {
        if let Some(change) = change_for(member, &live, &mut loads) {
            changes.push(change);
        }
    }
    changes
}

fn witness_loads(live: &[&MemberState]) -> BTreeMap<Incarnation, usize> {
    let mut loads: BTreeMap<Incarnation, usize> = live
        .iter()
        .map(|member| (member.info.incarnation, 0))
        .collect();
    for witness in live.iter().flat_map(|member| &member.witnesses.members) {
        if let Some(load) = loads.get_mut(witness) {
            *load += 1;
        }
    }
    loads
}

fn change_for(
    member: &MemberState,
    live: &[&MemberState],
    loads: &mut BTreeMap<Incarnation, usize>,
) -> Option<WitnessChange> {
    let others: Vec<&MemberState> = live
        .iter()
        .copied()
        .filter(|other| other.info.incarnation != member.info.incarnation)
        .filter(|other| other.info.region == member.info.region)
        .collect();
    let wanted = WITNESS_COUNT.min(others.len());
    let mut chosen: Vec<&MemberState> = others
        .iter()
        .copied()
        .filter(|other| member.witnesses.members.contains(&other.info.incarnation))
        .collect();
    let complete = chosen.len() == member.witnesses.members.len() && chosen.len() >= wanted;
    if member.witnesses.version > 0 && complete {
        return None;
    }
    while chosen.len() < wanted {
        let next = best_witness(member, &others, &chosen, loads)?;
        *loads.entry(next.info.incarnation).or_default() += 1;
        chosen.push(next);
    }
    Some(WitnessChange {
        member: member.info.incarnation,
        version: member.witnesses.version + 1,
        witnesses: chosen
            .iter()
            .map(|witness| witness.info.incarnation)
            .collect(),
    })
}

/// Returns the best additional witness. Prefers, in this order, failure domains
/// without a witness of the member, failure domains other than the member's
/// own, members that are not draining, and members with the fewest leases to
/// witness.
fn best_witness<'a>(
    member: &MemberState,
    others: &[&'a MemberState],
    chosen: &[&MemberState],
    loads: &BTreeMap<Incarnation, usize>,
) -> Option<&'a MemberState> {
    others
        .iter()
        .copied()
        .filter(|other| {
            chosen
                .iter()
                .all(|taken| taken.info.incarnation != other.info.incarnation)
        })
        .min_by_key(|other| {
            let used_domain = chosen
                .iter()
                .any(|taken| taken.info.domain == other.info.domain);
            let own_domain = other.info.domain == member.info.domain;
            let load = loads
                .get(&other.info.incarnation)
                .copied()
                .unwrap_or_default();
            let tie = rendezvous_score(member.info.incarnation, other.info.incarnation);
            (used_domain, own_domain, other.draining, load, tie)
        })
}
