//! The result of folding a record into the state.

use serde::Deserialize;
use serde::Serialize;

use super::folded::ChangeVerdict;

/// Why the fold ignored a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum IgnoreReason {
    /// The offset or the batch has already been folded.
    Duplicate,
    /// The author is not a live member.
    AuthorNotMember,
    /// The joining incarnation has ended, or a newer one uses its address.
    IncarnationEnded,
    /// The author may not append this record for the named incarnation.
    WrongAuthor,
    /// The named incarnation is not a live member.
    UnknownMember,
    /// The certificate does not name a quorum of the member's witnesses.
    NoQuorum,
    /// The author does not hold the named term, or a claimed term is not the
    /// current one plus one.
    StaleTerm,
    /// The version of the witness set is not the one the rule requires: the
    /// next one for a new set, the current or previous one for a certificate.
    StaleVersion,
    /// The append does not start at the chain's next epoch.
    StaleTail,
    /// A named holder or witness is not an eligible live member; draining
    /// members cannot become holders.
    Ineligible,
    /// The chain does not exist, or its service is not declared.
    UnknownChain,
    /// The author does not hold the named position.
    NotHolder,
    /// The key's chain cannot be merged back into its slice's chain yet.
    NotMergeable,
    /// The declaration describes a different object than the record names.
    WrongObject,
    /// The service's keys are owned, so its slices and division cannot change.
    KeysOwned,
}

/// The result of folding one record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FoldEffect {
    /// The whole record took effect.
    Accepted,
    /// The changes to some of the record's chains took effect; the others were
    /// ignored.
    Partial {
        /// Number of chains that were changed.
        taken: u32,
        /// Why the first of the others was ignored.
        reason: IgnoreReason,
    },
    /// The record had no effect.
    Ignored(IgnoreReason),
    /// The verdict on an operator's change.
    Change(ChangeVerdict),
}

impl FoldEffect {
    /// Returns whether the whole record, or the operator's change in it, took
    /// effect.
    pub fn is_accepted(&self) -> bool {
        matches!(
            self,
            Self::Accepted | Self::Change(ChangeVerdict::Accepted(_))
        )
    }
}
