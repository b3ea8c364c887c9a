//! What a process has to resign.

use crate::base::collections::FastSet;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::state::folded::FoldedState;
use crate::state::folded::HolderChain;
use crate::state::record::ChainKey;

/// One position that a process has to resign.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingResignation {
    /// The chain.
    pub chain: ChainKey,
    /// The position.
    pub epoch: Epoch,
    /// Who has to be ready first; none for a position that does not serve.
    pub successor: Option<Incarnation>,
}

/// Derives what `incarnation` has to resign; everything that somebody else
/// stands by for when it is leaving.
pub fn pending_resignations(
    state: &FoldedState,
    ended: &FastSet<Incarnation>,
    incarnation: Incarnation,
    is_leaving: bool,
) -> Vec<PendingResignation> {
    let mut duties = Vec::new();
    for (key, chain) in &state.chains {
        if is_leaving || chain.target > chain.base {
            let active = state.active_positions(chain, ended).collect::<Vec<_>>();
            add_duties(
                &mut duties,
                &active,
                incarnation,
                key,
                keeper(&active, chain, incarnation, is_leaving),
            );
        }
    }
    duties
}

/// Returns the position that the earlier ones resign in favour of.
fn keeper(
    active: &[(Epoch, Incarnation)],
    chain: &HolderChain,
    incarnation: Incarnation,
    is_leaving: bool,
) -> Option<(Epoch, Incarnation)> {
    let may_keep = |holder: Incarnation| !(is_leaving && holder == incarnation);
    let after_target = active
        .iter()
        .find(|(epoch, holder)| *epoch >= chain.target && may_keep(*holder));
    let other = || active.iter().find(|(_epoch, holder)| may_keep(*holder));
    after_target.or_else(other).copied()
}

fn add_duties(
    duties: &mut Vec<PendingResignation>,
    active: &[(Epoch, Incarnation)],
    incarnation: Incarnation,
    key: &ChainKey,
    keeper: Option<(Epoch, Incarnation)>,
) {
    let Some((kept, successor)) = keeper else {
        return;
    };
    for (place, (epoch, holder)) in active.iter().enumerate() {
        if *epoch < kept && *holder == incarnation {
            duties.push(PendingResignation {
                chain: key.clone(),
                epoch: *epoch,
                successor: (place == 0).then_some(successor),
            });
        }
    }
}
