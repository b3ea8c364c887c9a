//! Finds the verdict on a change by its id.

use crate::operator::backend::SubmitVerdict;
use crate::state::folded::ChangeVerdict;
use crate::state::folded::FoldedState;

/// Returns the verdict on a change; none if the state has no record of it.
///
/// The state keeps only the latest verdicts, but also the change that created
/// the current version of each object.
pub fn find_verdict(state: &FoldedState, change: &str) -> Option<ChangeVerdict> {
    if let Some(verdict) = state.verdict_of(change) {
        return Some(verdict.clone());
    }
    let object = state
        .objects
        .values()
        .find(|object| *object.change == *change)?;
    Some(ChangeVerdict::Accepted(object.version))
}

/// Returns the verdict on a change, or unknown with the reason.
pub fn settle_change(state: &FoldedState, change: &str) -> SubmitVerdict {
    find_verdict(state, change).map_or_else(
        || SubmitVerdict::Unknown("the log holds no verdict on it so far".into()),
        SubmitVerdict::Settled,
    )
}
