//! Derives the positions that a process has to resign.

use crate::base::collections::FastSet;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::state::folded::FoldedState;
use crate::state::folded::HolderChain;
use crate::state::record::ChainKey;

/// One position that a process has to resign.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingResignation {
    /// The chain that contains the position.
    pub chain: ChainKey,
    /// The epoch of the position.
    pub epoch: Epoch,
    /// The holder that has to be ready first; `None` for a standby position,
    /// which is resigned at once.
    pub successor: Option<Incarnation>,
}

/// Returns the positions that process `incarnation` has to resign for planned
/// moves.
///
/// If the process is leaving, these include every position that another holder
/// can take over. `ended` are incarnations known to have ended that are still
/// members in the folded state.
pub fn pending_resignations(
    state: &FoldedState,
    ended: &FastSet<Incarnation>,
    incarnation: Incarnation,
    is_leaving: bool,
) -> Vec<PendingResignation> {
    let mut resignations = Vec::new();
    for (key, chain) in &state.chains {
        if is_leaving || chain.target_epoch > chain.first_epoch {
            let active = state.active_positions(chain, ended).collect::<Vec<_>>();
            add_resignations(
                &mut resignations,
                &active,
                incarnation,
                key,
                designated_successor(&active, chain, incarnation, is_leaving),
            );
        }
    }
    resignations
}

/// Returns the position in whose favour all earlier positions are resigned;
/// `None` if no holder may take the chain.
fn designated_successor(
    active: &[(Epoch, Incarnation)],
    chain: &HolderChain,
    incarnation: Incarnation,
    is_leaving: bool,
) -> Option<(Epoch, Incarnation)> {
    let is_eligible = |holder: Incarnation| !(is_leaving && holder == incarnation);
    let after_target = active
        .iter()
        .find(|(epoch, holder)| *epoch >= chain.target_epoch && is_eligible(*holder));
    let other = || active.iter().find(|(_epoch, holder)| is_eligible(*holder));
    after_target.or_else(other).copied()
}

fn add_resignations(
    resignations: &mut Vec<PendingResignation>,
    active: &[(Epoch, Incarnation)],
    incarnation: Incarnation,
    key: &ChainKey,
    designated: Option<(Epoch, Incarnation)>,
) {
    let Some((successor_epoch, successor)) = designated else {
        return;
    };
    for (index, (epoch, holder)) in active.iter().enumerate() {
        if *epoch < successor_epoch && *holder == incarnation {
            resignations.push(PendingResignation {
                chain: key.clone(),
                epoch: *epoch,
                successor: (index == 0).then_some(successor),
            });
        }
    }
}
