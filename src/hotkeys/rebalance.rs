//! The planner's view of the members' load, and its choice of hot keys to move
//! out of their slices.

use std::collections::BTreeMap;
use std::time::Duration;

use super::report::LoadSummary;
use super::sketch::ServiceKey;
use crate::base::ids::Incarnation;

/// Age at which a report is discarded.
const REPORT_EXPIRY: Duration = Duration::from_mins(1);

/// Rate above which an owner is overloaded, in percent of the mean rate.
const OVERLOAD_PERCENT: u64 = 125;

/// Lowest rate of a key that is worth a move, in requests per second.
const MIN_KEY_RATE: u32 = 50;

/// Maximum number of keys that one plan moves.
const MAX_KEYS_PER_PLAN: usize = 15;

#[derive(Debug, Clone)]
struct MemberReport {
    summary: LoadSummary,
    received: Duration,
}

/// Chooses hot keys to move by the latest load report of each member. Times are
/// since an arbitrary start.
#[derive(Debug, Clone, Default)]
pub struct KeyRebalancer {
    reports: BTreeMap<Incarnation, MemberReport>,
}

/// A move of one key out of its slice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyMove {
    /// The key to move.
    pub key: ServiceKey,
    /// The member that is to own it.
    pub owner: Incarnation,
}

impl KeyRebalancer {
    /// Stores a member's report, and discards those older than a minute.
    pub fn record(&mut self, summary: LoadSummary, now: Duration) {
        self.reports.insert(
            summary.owner,
            MemberReport {
                summary,
                received: now,
            },
        );
        self.reports
            .retain(|_owner, report| now.saturating_sub(report.received) < REPORT_EXPIRY);
    }

    /// Chooses hot keys to move from overloaded members to the least loaded
    /// ones. `members` all serve `service`; those without a report are ignored.
    ///
    /// After a move the destination has less load than the source had before
    /// it, so no key moves back and forth. The moved load counts at the
    /// destination at once.
    pub fn choose_moves(&mut self, service: &str, members: &[Incarnation]) -> Vec<KeyMove> {
        let mut moves = Vec::new();
        while moves.len() < MAX_KEYS_PER_PLAN {
            let Some(next) = self.choose_move(service, members) else {
                break;
            };
            moves.push(next);
        }
        moves
    }

    fn choose_move(&mut self, service: &str, members: &[Incarnation]) -> Option<KeyMove> {
        let rates: Vec<(u32, Incarnation)> = members
            .iter()
            .filter_map(|member| {
                self.reports
                    .get(member)
                    .map(|report| (report.summary.rate, *member))
            })
            .collect();
        let total: u64 = rates.iter().map(|(rate, _member)| u64::from(*rate)).sum();
        let (busiest, source) = rates.iter().max().copied()?;
        let (idlest, destination) = rates.iter().min().copied()?;
        if u64::from(busiest) * rates.len() as u64 * 100 <= total * OVERLOAD_PERCENT {
            return None;
        }
        let position = self
            .reports
            .get(&source)?
            .summary
            .keys
            .iter()
            .position(|key| {
                let is_worth_moving = key.rate >= MIN_KEY_RATE && key.service.as_ref() == service;
                is_worth_moving && idlest + key.rate < busiest
            })?;
        let key = self.reports.get_mut(&source)?.summary.keys.remove(position);
        self.move_load(source, destination, key.rate);
        Some(KeyMove {
            key: ServiceKey {
                service: key.service,
                key: key.key,
            },
            owner: destination,
        })
    }

    fn move_load(&mut self, source: Incarnation, destination: Incarnation, rate: u32) {
        if let Some(report) = self.reports.get_mut(&source) {
            report.summary.rate = report.summary.rate.saturating_sub(rate);
        }
        if let Some(report) = self.reports.get_mut(&destination) {
            report.summary.rate += rate;
        }
    }
}
