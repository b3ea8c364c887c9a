//! When a process claims the planner's term.

use std::time::Duration;

use crate::base::collections::FastSet;
use crate::base::hash::pair_score;
use crate::base::ids::Incarnation;
use crate::state::folded::FoldedState;

/// Candidates that the planner sends heartbeats to.
pub const HEARTBEAT_CANDIDATES: usize = 5;

/// How often the planner sends heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which the first candidate suspects the planner.
const SUSPICION_TIME: Duration = Duration::from_secs(2);

/// How long each further candidate waits for those before it.
const STAGGER: Duration = Duration::from_millis(300);

/// Returns the candidates for the next term, first choice first.
///
/// The planner itself and draining members are left out.
pub fn ranked_candidates(state: &FoldedState, ended: &FastSet<Incarnation>) -> Vec<Incarnation> {
    let mut candidates: Vec<Incarnation> = state
        .members
        .values()
        .filter(|member| !member.draining)
        .map(|member| member.info.incarnation)
        .filter(|member| !ended.contains(member) && state.planner != Some(*member))
        .collect();
    candidates.sort_by_key(|member| pair_score(state.term, *member));
    candidates
}

/// Returns how long the planner has to be silent before `own` claims the next
/// term; none when `own` is no candidate.
pub fn claim_timeout(
    state: &FoldedState,
    ended: &FastSet<Incarnation>,
    own: Incarnation,
) -> Option<Duration> {
    let candidates = ranked_candidates(state, ended);
    let rank = candidates.iter().position(|candidate| *candidate == own)?;
    let planner_lives = state.planner.is_some_and(|planner| {
        let member = state.members.get(&planner);
        member.is_some_and(|member| !member.draining) && !ended.contains(&planner)
    });
    let stagger = STAGGER * rank as u32;
    if !planner_lives {
        return Some(stagger);
    }
    // Only those that get heartbeats can tell silence from not being told.
    (rank < HEARTBEAT_CANDIDATES).then_some(SUSPICION_TIME + stagger)
}
