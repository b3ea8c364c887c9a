//! Grants in the answers to the upstream's heartbeats.
//!
//! Such an upstream reports in each heartbeat the keys that it holds or still
//! works on. The answer lists all keys that it is to hold, with one hold time; it
//! gives up every other key. An answer without a list renews and takes nothing.
//!
//! The hold time counts from when the heartbeat was sent, which this process does
//! not know. Two bounds follow from when it was received:
//!
//! * The upstream holds the keys until the receipt plus the hold time at most,
//!   stretched by its clock's drift. That is never later than the lease.
//! * Requests are dispatched as if the heartbeat had taken [`MAX_ARRIVAL_DELAY`].
//!   If it took longer, the upstream refuses them without running them.

use std::time::Duration;

use super::CLOCK_DRIFT_PERCENT;
use super::FormerGrants;
use super::GrantTracker;
use super::MAX_ARRIVAL_DELAY;
use super::MIN_HOLD_TIME;
use super::OwnedRange;
use super::fence_of;
use crate::ranges::FenceNumber;
use crate::ranges::RangeKey;

/// Time after a heartbeat for which its answer can still take effect: an upstream
/// waits one second for it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of the first upstream process that a tracker sees; later ones started
/// during its life.
const FIRST_UPSTREAM_PROCESS: u64 = 1;

/// Largest number of ranges in one answer: 100 of up to 40 bytes, with the largest
/// fences, fit into the 4 KiB that an upstream accepts.
pub const MAX_GRANTED_RANGES: usize = 100;

/// Keys that the upstream holds or still works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRange {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// The fence under which it holds the keys.
    pub fence: FenceNumber,
}

/// Keys that the upstream has given up on request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleasedRange {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// State for the next owner's upstream; `None` if there is none.
    pub handover: Option<Box<str>>,
}

/// What an upstream reports about its keys in a heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldReport {
    /// All keys that it holds or still works on.
    pub holds: Vec<HeldRange>,
    /// The keys that it has given up since its last answered heartbeat.
    pub released: Vec<ReleasedRange>,
}

impl HeldReport {
    /// Returns whether the upstream holds or works on any of the keys.
    pub fn holds_any(&self, first: RangeKey, last: RangeKey) -> bool {
        self.holds
            .iter()
            .any(|held| held.first <= last && first <= held.last)
    }

    /// Returns whether the upstream holds all of the keys under `fence`.
    fn holds_all(&self, first: RangeKey, last: RangeKey, fence: FenceNumber) -> bool {
        let held = self.holds.iter().filter(|held| held.fence == fence);
        let mut spans: Vec<_> = held.map(|held| (held.first, held.last)).collect();
        spans.sort_unstable();
        let mut next = u32::from(first);
        for (from, to) in spans {
            if u32::from(from) <= next {
                next = next.max(u32::from(to) + 1);
            }
        }
        next > u32::from(last)
    }
}

/// Keys that the upstream is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantedKeys {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// The fence of the grant.
    pub fence: FenceNumber,
    /// State that the former owner's upstream returned for the keys.
    pub handover: Option<Box<str>>,
}

/// All keys that the upstream is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantSet {
    /// How long it holds them, counted from when it sent the heartbeat.
    pub hold: Duration,
    /// The keys, in ascending order.
    pub ranges: Vec<GrantedKeys>,
}

impl GrantTracker {
    /// Records the report of a heartbeat that arrived at `received`. `lease` is
    /// the longest time for which a former process on this VM may have granted
    /// keys.
    ///
    /// An upstream that was running when this process started may hold keys of the
    /// former process, or be about to take them from its last answer, until it
    /// has taken a grant under a higher fence.
    pub fn record_report(&mut self, report: &HeldReport, received: Duration, lease: Duration) {
        if self.upstream_process == FIRST_UPSTREAM_PROCESS {
            self.former_grants.get_or_insert(FormerGrants {
                hold_until: received + lease,
                answer_until: received + ANSWER_TIMEOUT + MAX_ARRIVAL_DELAY,
            });
        }
        let upstream_process = self.upstream_process;
        for range in &mut self.ranges {
            let fence = fence_of(range.fence_base, upstream_process);
            let is_held = report.holds_all(range.first, range.last, fence);
            // The grant was lost, or the upstream did not accept it.
            let is_lost = !is_held && range.sent.is_some_and(|sent| sent < received);
            if is_lost {
                range.usable_until = None;
            }
            range.confirmed = is_held;
        }
    }

    /// Returns whether the report differs from what the upstream is to hold, so
    /// that the heartbeat should be answered at once.
    pub fn differs_from(&self, report: &HeldReport) -> bool {
        let is_missing = |range: &OwnedRange| {
            let fence = fence_of(range.fence_base, self.upstream_process);
            !range.releasing && !report.holds_all(range.first, range.last, fence)
        };
        let is_surplus =
            |range: &OwnedRange| range.releasing && report.holds_any(range.first, range.last);
        let owned_keys = |first: RangeKey, last: RangeKey| -> u32 {
            let spans = self.ranges.iter().map(|range| {
                let (from, to) = (range.first.max(first), range.last.min(last));
                (u32::from(to) + 1).saturating_sub(u32::from(from))
            });
            spans.sum()
        };
        let is_foreign = report.holds.iter().any(|held| {
            owned_keys(held.first, held.last) < u32::from(held.last) + 1 - u32::from(held.first)
        });
        is_foreign
            || self
                .ranges
                .iter()
                .any(|range| is_missing(range) || is_surplus(range))
    }

    /// Returns when the first of the granted ranges can no longer be used; `None`
    /// if none is granted.
    pub fn first_expiry(&self) -> Option<Duration> {
        let usable = self.ranges.iter().filter(|range| !range.releasing);
        usable.filter_map(|range| range.usable_until).min()
    }

    /// Returns the answer to a heartbeat that arrived at `received`, and records it
    /// as sent. `lease` is when the lease of this process expires. `None` renews
    /// nothing, because too little of the lease is left.
    pub fn answer_heartbeat(
        &mut self,
        received: Duration,
        now: Duration,
        lease: Duration,
    ) -> Option<GrantSet> {
        let left = lease.saturating_sub(received);
        let hold = left * 100 / (100 + CLOCK_DRIFT_PERCENT);
        if received + hold < now + MIN_HOLD_TIME {
            return None;
        }
        let upstream_process = self.upstream_process;
        // Ranges that the upstream holds already keep their place in a full answer.
        let mut granted: Vec<&mut OwnedRange> = self
            .ranges
            .iter_mut()
            .filter(|range| !range.releasing)
            .collect();
        granted.sort_by_key(|range| (!range.confirmed, range.first));
        granted.truncate(MAX_GRANTED_RANGES);
        let mut ranges: Vec<GrantedKeys> = Vec::with_capacity(granted.len());
        for range in granted {
            let usable_until = (received + hold).saturating_sub(MAX_ARRIVAL_DELAY);
            range.usable_until = range.usable_until.max(Some(usable_until));
            range.latest_hold_end = range.latest_hold_end.max(lease);
            range.late_grant_until = received + ANSWER_TIMEOUT + MAX_ARRIVAL_DELAY;
            range.sent = Some(now);
            ranges.push(GrantedKeys {
                first: range.first,
                last: range.last,
                fence: fence_of(range.fence_base, upstream_process),
                handover: range.handover.clone().filter(|_state| !range.confirmed),
            });
        }
        ranges.sort_by_key(|range| range.first);
        ranges.dedup_by(|next, previous| {
            let joined = previous.fence == next.fence
                && u32::from(previous.last) + 1 == u32::from(next.first)
                && previous.handover.is_none()
                && next.handover.is_none();
            if joined {
                previous.last = next.last;
            }
            joined
        });
        Some(GrantSet { hold, ranges })
    }
}
