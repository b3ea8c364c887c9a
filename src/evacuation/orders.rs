//! The orders in force, and how they are merged.
//!
//! The operator's topic orders all changes, so what is known up to a higher offset
//! replaces what is known up to a lower one as a whole. A deleted record needs no
//! trace of its own: whoever knows the topic beyond it knows that it is gone.
//!
//! The exception is a store that comes back from an older copy. The copy may lack
//! orders that the operator is about to write again. Orders from a former era
//! therefore stay in force for [`RESTORE_HOLD`] unless the new era decides otherwise.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::base::ids::FailureDomainName;
use crate::base::ids::Offset;
use crate::store::StoreRecord;
use crate::store::era::era_of;

/// Prefix of the keys of orders in the operator's topic; the name of the failure
/// domain follows.
const ORDER_PREFIX: &str = "evacuate/";

/// Time for which an order stays in force after the store has come back from a copy
/// that lacks it. By then the operator has written it again.
pub const RESTORE_HOLD: Duration = Duration::from_secs(10);

/// One record of the operator's topic about a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// The failure domain.
    pub domain: FailureDomainName,
    /// Offset of the record.
    pub offset: Offset,
    /// Whether the failure domain is to be evacuated; `false` if the record ends that.
    pub is_evacuated: bool,
}

impl EvacuationRecord {
    /// Returns what a record orders; `None` if it is about something else.
    pub fn decode(record: &StoreRecord) -> Option<Self> {
        let domain = record.key.strip_prefix(ORDER_PREFIX)?;
        Some(Self {
            domain: domain.into(),
            offset: record.offset,
            is_evacuated: !record.value.is_empty(),
        })
    }
}

/// The orders in force at one end of the operator's topic, as sent to peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EvacuationOrders {
    /// The offset up to which the topic is known, exclusive; `None` before the first
    /// read.
    end: Option<Offset>,
    /// The evacuated failure domains with the offsets of their records.
    domains: BTreeMap<FailureDomainName, Offset>,
}

/// Failure domains whose evacuation has begun or ended by news.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Those whose evacuation is now known.
    pub begun: Vec<FailureDomainName>,
    /// Those whose evacuation has ended, with the time for which it was known.
    pub ended: Vec<(FailureDomainName, Duration)>,
}

impl EvacuationChange {
    /// Returns whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

/// What one sidecar knows of the orders to evacuate.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationState {
    orders: EvacuationOrders,
    /// When each evacuation was learnt, by the local clock.
    learnt: BTreeMap<FailureDomainName, Duration>,
    /// When the present era of the store was first known, by the local clock.
    era_since: Option<Duration>,
}

impl EvacuationState {
    /// Returns whether the orders in force are known at all.
    pub fn is_known(&self) -> bool {
        self.orders.end.is_some()
    }

    /// Returns the orders in force.
    pub fn orders(&self) -> &EvacuationOrders {
        &self.orders
    }

    /// Returns the offset up to which the operator's topic is known, exclusive; 0
    /// before the first read.
    pub fn end(&self) -> Offset {
        self.orders.end.unwrap_or(0)
    }

    /// Returns whether a failure domain is to be evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.orders.domains.contains_key(domain)
    }

    /// Returns the number of evacuated failure domains.
    pub fn count(&self) -> usize {
        self.orders.domains.len()
    }

    /// Returns the offset of the record that evacuates a failure domain; `None` if it
    /// is not evacuated.
    pub fn offset_of(&self, domain: &str) -> Option<Offset> {
        self.orders.domains.get(domain).copied()
    }

    /// Applies records that follow those known so far, up to the offset `end`. Records
    /// that are known already, also from a peer, are ignored.
    pub fn apply_news(
        &mut self,
        records: &[EvacuationRecord],
        end: Offset,
        now: Duration,
    ) -> EvacuationChange {
        if !self.is_news(end) {
            return EvacuationChange::default();
        }
        let known_end = self.end();
        let mut domains = self.orders.domains.clone();
        for record in records.iter().filter(|record| record.offset >= known_end) {
            if record.is_evacuated {
                domains.insert(record.domain.clone(), record.offset);
            } else {
                domains.remove(&record.domain);
            }
        }
        self.replace(domains, end, now)
    }

    /// Applies the newest records of all keys, as of the offset `end`. A failure domain
    /// without a record is not evacuated.
    pub fn apply_whole(
        &mut self,
        records: &[EvacuationRecord],
        end: Offset,
        now: Duration,
    ) -> EvacuationChange {
        let in_force = records.iter().filter(|record| record.is_evacuated);
        let domains = in_force
            .map(|record| (record.domain.clone(), record.offset))
            .collect();
        self.merge(
            &EvacuationOrders {
                end: Some(end),
                domains,
            },
            now,
        )
    }

    /// Merges what a peer knows.
    pub fn merge(&mut self, orders: &EvacuationOrders, now: Duration) -> EvacuationChange {
        let Some(end) = orders.end.filter(|end| self.is_news(*end)) else {
            return EvacuationChange::default();
        };
        self.enter_era(end, now);
        let mut domains = orders.domains.clone();
        if self.is_holding(now) {
            for (domain, offset) in &self.orders.domains {
                if is_outdated(*offset, end) && !domains.contains_key(domain) {
                    domains.insert(domain.clone(), *offset);
                }
            }
        } else {
            domains.retain(|_domain, offset| !is_outdated(*offset, end));
        }
        self.replace(domains, end, now)
    }

    /// Ends the evacuations that only a former era of the store ordered, once
    /// [`RESTORE_HOLD`] has passed.
    pub fn expire(&mut self, now: Duration) -> EvacuationChange {
        let end = self.end();
        let mut domains = self.orders.domains.clone();
        domains.retain(|_domain, offset| !is_outdated(*offset, end));
        if self.is_holding(now) || domains.len() == self.orders.domains.len() {
            return EvacuationChange::default();
        }
        self.replace(domains, end, now)
    }

    fn is_news(&self, end: Offset) -> bool {
        self.orders.end.is_none_or(|known| end > known)
    }

    fn enter_era(&mut self, end: Offset, now: Duration) {
        let is_later = |known: Offset| era_of(end) > era_of(known);
        if self.orders.end.is_none_or(is_later) {
            self.era_since = Some(now);
        }
    }

    /// Returns whether orders of a former era stay in force.
    fn is_holding(&self, now: Duration) -> bool {
        self.era_since
            .is_some_and(|since| now < since + RESTORE_HOLD)
    }

    fn replace(
        &mut self,
        domains: BTreeMap<FailureDomainName, Offset>,
        end: Offset,
        now: Duration,
    ) -> EvacuationChange {
        self.enter_era(end, now);
        let former = std::mem::replace(&mut self.orders.domains, domains);
        self.orders.end = Some(end);
        let mut change = EvacuationChange::default();
        for domain in self.orders.domains.keys() {
            if !former.contains_key(domain) {
                self.learnt.insert(domain.clone(), now);
                change.begun.push(domain.clone());
            }
        }
        for domain in former.keys() {
            if !self.orders.domains.contains_key(domain) {
                let learnt = self.learnt.remove(domain).unwrap_or(now);
                let lasted = now.saturating_sub(learnt);
                change.ended.push((domain.clone(), lasted));
            }
        }
        change
    }
}

/// Returns whether an order's record was written in an era before that of `end`.
fn is_outdated(offset: Offset, end: Offset) -> bool {
    era_of(offset) < era_of(end)
}
