//! Determines when a process claims the planner's term.

use std::time::Duration;

use crate::base::collections::FastSet;
use crate::base::hash::rendezvous_score;
use crate::base::ids::Incarnation;
use crate::state::folded::FoldedState;

/// Number of candidates that the planner sends heartbeats to, in order of rank.
/// Only these take over from a planner that falls silent.
pub const HEARTBEAT_CANDIDATES: usize = 5;

/// Time between two heartbeats of the planner.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without heartbeats after which the first candidate claims the term.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Additional wait of each further candidate, so that those before it claim
/// first.
const CLAIM_STAGGER_INTERVAL: Duration = Duration::from_millis(300);

/// Returns the candidates for the next term, in order of rank.
///
/// The current planner, draining members and `ended`, the incarnations known to
/// have ended, are left out.
pub fn ranked_candidates(state: &FoldedState, ended: &FastSet<Incarnation>) -> Vec<Incarnation> {
    let mut candidates: Vec<Incarnation> = state
        .members
        .values()
        .filter(|member| !member.draining)
        .map(|member| member.info.incarnation)
        .filter(|member| !ended.contains(member) && state.planner != Some(*member))
        .collect();
    candidates.sort_by_key(|member| rendezvous_score(state.term, *member));
    candidates
}

/// Returns how long process `own` waits without hearing of a planner before it
/// claims the next term. `None` if it does not claim it: it is not a candidate,
/// or there is a planner that sends it no heartbeats.
pub fn claim_timeout(
    state: &FoldedState,
    ended: &FastSet<Incarnation>,
    own: Incarnation,
) -> Option<Duration> {
    let candidates = ranked_candidates(state, ended);
    let rank = candidates.iter().position(|candidate| *candidate == own)?;
    let is_planner_live = state.planner.is_some_and(|planner| {
        let member = state.members.get(&planner);
        member.is_some_and(|member| !member.draining) && !ended.contains(&planner)
    });
    let stagger = CLAIM_STAGGER_INTERVAL * rank as u32;
    if !is_planner_live {
        return Some(stagger);
    }
    // A candidate that gets no heartbeats cannot detect that they stopped.
    (rank < HEARTBEAT_CANDIDATES).then_some(HEARTBEAT_TIMEOUT + stagger)
}
