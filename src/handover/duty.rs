//! What a process has to resign.

use crate::base::collections::FastSet;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::state::folded::ChainEntry;
use crate::state::folded::FoldedState;
use crate::state::folded::HolderChain;
use crate::state::record::ChainKey;

/// One position that a process has to resign.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResignDuty {
    /// The chain.
    pub chain: ChainKey,
    /// The position.
    pub epoch: Epoch,
    /// Who has to be ready first; none for a position that does not serve.
    pub successor: Option<Incarnation>,
}

/// Derives what `own` has to resign.
pub fn resign_duties(
    state: &FoldedState,
    ended: &FastSet<Incarnation>,
    own: Incarnation,
) -> Vec<ResignDuty> {
    let mut duties = Vec::new();
    for (key, chain) in &state.chains {
        if chain.target > chain.base {
            add_duties(&mut duties, state, ended, own, key, chain);
        }
    }
    duties
}

fn add_duties(
    duties: &mut Vec<ResignDuty>,
    state: &FoldedState,
    ended: &FastSet<Incarnation>,
    own: Incarnation,
    key: &ChainKey,
    chain: &HolderChain,
) {
    let is_active = |entry: &ChainEntry| !state.is_passed(entry) && !ended.contains(&entry.holder);
    let active: Vec<(Epoch, Incarnation)> = (chain.base..)
        .zip(&chain.entries)
        .filter(|(_epoch, entry)| is_active(entry))
        .map(|(epoch, entry)| (epoch, entry.holder))
        .collect();
    let Some(target) = active
        .iter()
        .find(|(epoch, _holder)| *epoch >= chain.target)
    else {
        return;
    };
    for (place, (epoch, holder)) in active.iter().enumerate() {
        if *epoch < target.0 && *holder == own {
            duties.push(ResignDuty {
                chain: key.clone(),
                epoch: *epoch,
                successor: (place == 0).then_some(target.1),
            });
        }
    }
}
