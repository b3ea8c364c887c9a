//! What a process has promised as a voter of other holders.

use std::time::Duration;

use super::lease::VOTER_LEASE;
use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct VoteRecord {
    term: Offset,
    renewed: Duration,
    refused: bool,
}

/// A voter's promises. Kept in memory only: a voter that restarts is another
/// incarnation, which nobody has named yet.
#[derive(Debug, Clone, Default)]
pub struct VoterState {
    records: FastMap<Incarnation, VoteRecord>,
}

impl VoterState {
    /// Answers a renewal: true promises not to refuse the holder under this
    /// term for [`VOTER_LEASE`] from now.
    pub fn renew(&mut self, holder: Incarnation, term: Offset, now: Duration) -> bool {
        let record = self.records.entry(holder).or_insert(VoteRecord {
            term,
            renewed: now,
            refused: false,
        });
        if term < record.term || (record.refused && term == record.term) {
            return false;
        }
        *record = VoteRecord {
            term,
            renewed: now,
            refused: false,
        };
        true
    }

    /// Answers the question whether a holder has lapsed: true refuses it under
    /// this term for good.
    ///
    /// A holder that this voter knows nothing of under the term may still
    /// serve under its former voters, so the time counts from the question.
    pub fn refuse_if_lapsed(&mut self, holder: Incarnation, term: Offset, now: Duration) -> bool {
        let record = self.records.entry(holder).or_insert(VoteRecord {
            term,
            renewed: now,
            refused: false,
        });
        if record.term > term {
            return false;
        }
        if record.term < term {
            *record = VoteRecord {
                term,
                renewed: now,
                refused: false,
            };
        }
        if now.saturating_sub(record.renewed) >= VOTER_LEASE {
            record.refused = true;
        }
        record.refused
    }
}
