//! The promises and refusals of a process as a voter on other holders' leases.

use std::time::Duration;

use super::lease::LeaseTimes;
use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct VoteRecord {
    term: Offset,
    /// When the last renewal under the term was received, or the first question
    /// about the term if there was no renewal.
    renewed: Duration,
    refused: bool,
}

/// The votes of a voter. They are kept in memory only: a voter that restarts is
/// another incarnation, which no holder has named as its voter yet.
#[derive(Debug, Clone, Default)]
pub struct VoterState {
    times: LeaseTimes,
    records: FastMap<Incarnation, VoteRecord>,
}

impl VoterState {
    /// Creates the state of a voter that keeps its promises for
    /// [`LeaseTimes::voter`].
    pub fn new(times: LeaseTimes) -> Self {
        Self {
            times,
            records: FastMap::default(),
        }
    }

    /// Votes on a holder's renewal. `true` promises not to refuse the holder under
    /// this term until [`LeaseTimes::voter`] from now; `false` means that the voter has
    /// refused the holder under this term or knows a later one.
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

    /// Answers the question whether a holder's lease has lapsed. `true` refuses
    /// the holder under this term for good.
    ///
    /// If the voter has had no renewal under the term, the holder may still serve
    /// under its former voters, so the lease is counted from the first question
    /// about the term.
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
        if now.saturating_sub(record.renewed) >= self.times.voter {
            record.refused = true;
        }
        record.refused
    }
}
