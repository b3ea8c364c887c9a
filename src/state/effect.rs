//! What the fold made of a record.

use serde::Deserialize;
use serde::Serialize;

use super::folded::ChangeVerdict;

/// Why a record folded to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum IgnoreReason {
    /// The offset or the batch was folded before.
    Duplicate,
    /// The author is not a live member.
    AuthorNotMember,
    /// The joining incarnation ended, or a newer one took its address.
    IncarnationEnded,
    /// The author may not say this about the named incarnation.
    WrongAuthor,
    /// The named incarnation is not a live member.
    UnknownMember,
    /// The certificate names no quorum of the member's witnesses.
    NoQuorum,
    /// The author does not hold the named term, or the term is not the next.
    StaleTerm,
    /// The named version is not the next.
    StaleVersion,
    /// The chain's tail is elsewhere.
    StaleTail,
    /// A named holder or witness is not a live member that may get work.
    Ineligible,
    /// The chain does not exist, or its service is not declared.
    UnknownChain,
    /// The author does not hold the named position.
    NotHolder,
    /// The key's chain cannot be dropped yet.
    NotMergeable,
    /// The declaration is of another object than the record names.
    WrongObject,
    /// The service's keys are owned: its slices and division cannot change.
    KeysOwned,
}

/// What the fold made of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FoldEffect {
    /// The record took effect as a whole.
    Accepted,
    /// Some chains of the record took effect; the others were stale.
    Partial {
        /// How many chains took effect.
        taken: u32,
        /// Why the first of the others did not.
        reason: IgnoreReason,
    },
    /// The record folded to nothing.
    Ignored(IgnoreReason),
    /// What became of an operator's change.
    Change(ChangeVerdict),
}

impl FoldEffect {
    /// Tells whether the whole record, or the change in it, took effect.
    pub fn is_accepted(&self) -> bool {
        matches!(
            self,
            Self::Accepted | Self::Change(ChangeVerdict::Accepted(_))
        )
    }
}
