//! Ranks the members that may own or succeed to a chain.

use crate::base::collections::FastSet;
use crate::base::hash::hash_key;
use crate::base::hash::rendezvous_score;
use crate::base::ids::FailureDomainName;
use crate::base::ids::Incarnation;
use crate::declarations::RuleDeclaration;
use crate::state::folded::FoldedState;
use crate::state::folded::MemberState;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;

/// Seed that makes the ranking of successors independent of that of owners.
const SUCCESSOR_SEED: u64 = 0x5cc3_5501;

/// A member that may hold chains of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementCandidate {
    /// The member's current incarnation.
    pub incarnation: Incarnation,
    /// Hash of the node's name, which is the same after a restart.
    pub node: u64,
    /// The member's failure domain.
    pub domain: FailureDomainName,
    /// The member's capacity relative to other candidates: the number of its
    /// upstream's slots, at least 1.
    pub weight: f64,
}

/// Returns the members that may hold chains of a service.
///
/// Draining members, members without a witness set, members that a rule
/// excludes and `ended`, the incarnations known to have ended, are left out.
pub fn placement_candidates(
    state: &FoldedState,
    service: &str,
    ended: &FastSet<Incarnation>,
) -> Vec<PlacementCandidate> {
    let rules: Vec<&RuleDeclaration> = state.rules_of(service).collect();
    let eligible = state
        .members
        .values()
        .filter(|member| !member.draining && member.witnesses.version > 0)
        .filter(|member| member.info.upstream.service.as_ref() == service)
        .filter(|member| !ended.contains(&member.info.incarnation))
        .filter(|member| rules.iter().all(|rule| allows(rule, member)));
    eligible.map(candidate).collect()
}

fn allows(rule: &RuleDeclaration, member: &MemberState) -> bool {
    let in_domain =
        rule.failure_domains.is_empty() || rule.failure_domains.contains(&member.info.domain);
    let in_region = rule.regions.is_empty() || rule.regions.contains(&member.info.region);
    in_domain && in_region
}

fn candidate(member: &MemberState) -> PlacementCandidate {
    PlacementCandidate {
        incarnation: member.info.incarnation,
        node: hash_key(member.info.node.as_bytes()),
        domain: member.info.domain.clone(),
        weight: f64::from(member.info.upstream.slots.max(1)),
    }
}

/// Returns a chain's hash, which is the same on every process.
pub fn chain_hash(chain: &ChainKey) -> u64 {
    let service = hash_key(chain.service.as_bytes());
    match chain.subject {
        ChainSubject::Slice(slice) => rendezvous_score(u64::from(slice), service),
        ChainSubject::Key(key) => rendezvous_score(key, service),
        ChainSubject::Any => service,
    }
}

/// Returns a candidate's weighted rendezvous score for the chain with the given
/// hash. The candidate with the highest score is the preferred owner.
pub fn owner_score(chain: u64, candidate: &PlacementCandidate) -> f64 {
    weighted_score(rendezvous_score(chain, candidate.node), candidate.weight)
}

/// Maps a uniform hash to a score. Each candidate has the highest score for a
/// fraction of all chains in proportion to its weight.
fn weighted_score(hash: u64, weight: f64) -> f64 {
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight / uniform.ln()
}

/// Chooses up to `count` successors for the chain with the given hash.
///
/// Candidates in failure domains without a holder are preferred. `holders` are
/// the chain's present holders, which are not chosen again.
pub fn choose_successors(
    chain: u64,
    candidates: &[PlacementCandidate],
    holders: &[Incarnation],
    count: usize,
) -> Vec<Incarnation> {
    let mut chosen: Vec<&PlacementCandidate> = candidates
        .iter()
        .filter(|candidate| holders.contains(&candidate.incarnation))
        .collect();
    let mut added = Vec::new();
    while added.len() < count {
        let Some(next) = best_successor(chain, candidates, &chosen) else {
            break;
        };
        chosen.push(next);
        added.push(next.incarnation);
    }
    added
}

fn best_successor<'a>(
    chain: u64,
    candidates: &'a [PlacementCandidate],
    chosen: &[&PlacementCandidate],
) -> Option<&'a PlacementCandidate> {
    candidates
        .iter()
        .filter(|candidate| {
            chosen
                .iter()
                .all(|other| other.incarnation != candidate.incarnation)
        })
        .max_by_key(|candidate| {
            let new_domain = chosen.iter().all(|other| other.domain != candidate.domain);
            (
                new_domain,
                rendezvous_score(chain ^ SUCCESSOR_SEED, candidate.node),
            )
        })
}
