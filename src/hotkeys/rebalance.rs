//! The planner's view of load, and the keys that it takes out of their slices.

use std::collections::BTreeMap;
use std::time::Duration;

use super::report::LoadSummary;
use super::sketch::ServiceKey;
use crate::base::ids::Incarnation;

/// How long a report counts.
const REPORT_MEMORY: Duration = Duration::from_mins(1);

/// An owner above this many percent of the mean rate is overloaded.
const OVERLOAD: u64 = 125;

/// Least rate of a key that is worth a move, in requests a second.
const MIN_KEY_RATE: u32 = 50;

/// Keys that one plan moves at most.
const KEYS_PER_PLAN: usize = 15;

#[derive(Debug, Clone)]
struct MemberReport {
    summary: LoadSummary,
    at: Duration,
}

/// The latest report of each member. Times are since an arbitrary start.
#[derive(Debug, Clone, Default)]
pub struct KeyRebalancer {
    reports: BTreeMap<Incarnation, MemberReport>,
}

/// A key that should move, and where to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyMove {
    /// The key.
    pub key: ServiceKey,
    /// Its new owner.
    pub owner: Incarnation,
}

impl KeyRebalancer {
    /// Takes a report.
    pub fn record(&mut self, summary: LoadSummary, now: Duration) {
        self.reports
            .insert(summary.owner, MemberReport { summary, at: now });
        self.reports
            .retain(|_owner, report| now.saturating_sub(report.at) < REPORT_MEMORY);
    }

    /// Chooses keys of overloaded owners and the least loaded members to take
    /// them, among `members`, all of one service.
    ///
    /// Every move leaves its taker with less load than the giver had, so that
    /// no key goes back and forth. Moved load is counted at the taker at once.
    pub fn choose_moves(&mut self, service: &str, members: &[Incarnation]) -> Vec<KeyMove> {
        let mut moves = Vec::new();
        while moves.len() < KEYS_PER_PLAN {
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
        let (busiest, giver) = rates.iter().max().copied()?;
        let (idlest, taker) = rates.iter().min().copied()?;
        if u64::from(busiest) * rates.len() as u64 * 100 <= total * OVERLOAD {
            return None;
        }
        let place = self
            .reports
            .get(&giver)?
            .summary
            .keys
            .iter()
            .position(|key| {
                let is_worth = key.rate >= MIN_KEY_RATE && key.service.as_ref() == service;
                is_worth && idlest + key.rate < busiest
            })?;
        let key = self.reports.get_mut(&giver)?.summary.keys.remove(place);
        self.shift(giver, taker, key.rate);
        Some(KeyMove {
            key: ServiceKey {
                service: key.service,
                key: key.key,
            },
            owner: taker,
        })
    }

    fn shift(&mut self, giver: Incarnation, taker: Incarnation, rate: u32) {
        if let Some(report) = self.reports.get_mut(&giver) {
            report.summary.rate = report.summary.rate.saturating_sub(rate);
        }
        if let Some(report) = self.reports.get_mut(&taker) {
            report.summary.rate += rate;
        }
    }
}
