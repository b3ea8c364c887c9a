//! The ranges that the local upstream holds, as far as this process knows.
//!
//! A range is usable while a grant that was answered runs, counted from its
//! sending. The upstream may hold it longer: the grant counts there from its
//! arrival, on a clock that may run slow, and a grant without an answer may
//! take effect at any time, though it still counts from its arrival. Until all
//! that has passed, or the upstream has answered a release, nobody else may be
//! given the range.

use std::time::Duration;

use super::FenceNumber;
use super::RangeKey;
use super::map::KeyRange;
use crate::base::ids::Offset;

/// A grant that ends sooner than this is renewed.
const RENEW_BEFORE: Duration = Duration::from_secs(1);

/// Wait before a grant that was refused is tried again.
const RETRY_GRANT: Duration = Duration::from_millis(250);

/// Grants shorter than this are not worth a call.
const LEAST_HOLD: Duration = Duration::from_millis(150);

/// By how much an upstream's clock may run slow, in hundredths.
const SLOW_CLOCK_PERCENT: u32 = 2;

/// How long a grant may take to arrive at the upstream on the same VM.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(60);

/// Lives of an upstream that one fence base can tell apart.
const LIFE_BITS: u32 = 10;

/// A grant to send to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeGrant {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// The fence.
    pub fence: FenceNumber,
    /// How long the upstream holds the keys, from the grant's arrival.
    pub hold: Duration,
    /// What the former owner's upstream handed over.
    pub handover: Option<Box<str>>,
}

/// A run of keys that the upstream may hold under one fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantedRange {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// Offset of the record that gave the keys to this process.
    pub fence_base: Offset,
    /// The fence.
    pub fence: FenceNumber,
}

/// What became of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The upstream holds the keys.
    Granted,
    /// The upstream did not take the grant.
    Refused,
    /// Nothing listens at the upstream's address.
    Gone,
    /// No answer: the grant may take effect at any time.
    Unknown,
}

/// Whether a request for a key may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAdmission {
    /// The upstream holds the key.
    Held,
    /// The process owns the key and its upstream is about to hold it.
    Pending,
    /// The process does not own the key.
    NotOwned,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct HeldRange {
    first: RangeKey,
    last: RangeKey,
    base: Offset,
    handover: Option<Box<str>>,
    /// Until when requests may be dispatched.
    usable_until: Option<Duration>,
    /// Until when the upstream may hold the keys.
    latest_hold_end: Duration,
    /// Until when a grant without an answer may take effect.
    late_grant_until: Duration,
    /// When the grant was sent that waits for its answer.
    sent: Option<Duration>,
    /// When a grant that was refused is tried again.
    next_try: Duration,
    releasing: bool,
}

/// The ranges that the local upstream holds.
#[derive(Debug, Clone, Default)]
pub struct GrantTracker {
    ranges: Vec<HeldRange>,
    life: u64,
    present: bool,
}

impl GrantTracker {
    /// Takes the ranges that the newest map gives to this process.
    pub fn update_owned(&mut self, owned: &[KeyRange]) {
        let former = std::mem::take(&mut self.ranges);
        for range in owned {
            let pieces = former
                .iter()
                .filter(|held| held.base == range.fence_base && held.handover == range.handover);
            let mut next = u32::from(range.first);
            for piece in pieces {
                let (first, last) = (piece.first.max(range.first), piece.last.min(range.last));
                if first > last || u32::from(first) < next {
                    continue;
                }
                if u32::from(first) > next {
                    self.ranges.push(fresh(range, next as RangeKey, first - 1));
                }
                self.ranges.push(HeldRange {
                    first,
                    last,
                    ..piece.clone()
                });
                next = u32::from(last) + 1;
            }
            if next <= u32::from(range.last) {
                self.ranges.push(fresh(range, next as RangeKey, range.last));
            }
        }
    }

    /// A new life of the upstream has begun; it holds nothing.
    pub fn upstream_started(&mut self) {
        self.life += 1;
        self.present = true;
        self.forget_grants();
    }

    /// The upstream is there.
    pub fn upstream_reachable(&mut self) {
        self.present = true;
    }

    /// The upstream has ended, so it holds nothing.
    pub fn upstream_stopped(&mut self) {
        self.present = false;
        self.forget_grants();
    }

    /// The upstream is silent; it may still hold its keys.
    pub fn upstream_unreachable(&mut self) {
        self.present = false;
    }

    fn forget_grants(&mut self) {
        for range in &mut self.ranges {
            range.usable_until = None;
            range.latest_hold_end = Duration::ZERO;
            range.late_grant_until = Duration::ZERO;
            range.sent = None;
        }
    }

    /// Returns the grants to send now, under a lease that is valid until
    /// `lease`; they count as sent.
    pub fn due_grants(&mut self, now: Duration, lease: Duration) -> Vec<RangeGrant> {
        let left = lease.saturating_sub(now);
        let hold = (left * 100 / (100 + SLOW_CLOCK_PERCENT)).saturating_sub(ARRIVAL_MARGIN);
        if hold < LEAST_HOLD || !self.present {
            return Vec::new();
        }
        let life = self.life;
        let mut grants = Vec::new();
        for range in &mut self.ranges {
            let ends_soon = range
                .usable_until
                .is_none_or(|until| until < now + RENEW_BEFORE);
            let gains = range.usable_until.is_none_or(|until| until < now + hold);
            let waits = range.releasing || range.sent.is_some() || now < range.next_try;
            if waits || !ends_soon || !gains {
                continue;
            }
            range.sent = Some(now);
            range.latest_hold_end = range.latest_hold_end.max(lease);
            grants.push(RangeGrant {
                first: range.first,
                last: range.last,
                fence: fence_of(range.base, life),
                hold,
                handover: range.handover.clone(),
            });
        }
        grants
    }

    /// Takes what became of a grant that was sent at `sent`.
    pub fn record_outcome(&mut self, grant: &RangeGrant, sent: Duration, verdict: GrantOutcome) {
        let life = self.life;
        for range in &mut self.ranges {
            let inside = range.first >= grant.first && range.last <= grant.last;
            let same = fence_of(range.base, life) == grant.fence && range.sent == Some(sent);
            if !inside || !same {
                continue;
            }
            range.sent = None;
            match verdict {
                GrantOutcome::Granted => {
                    range.usable_until = range.usable_until.max(Some(sent + grant.hold));
                }
                GrantOutcome::Refused | GrantOutcome::Gone => {
                    range.next_try = sent + RETRY_GRANT;
                }
                GrantOutcome::Unknown => {
                    range.late_grant_until = range.latest_hold_end + ARRIVAL_MARGIN;
                }
            }
        }
    }

    /// Tells whether a request for a key may be dispatched now.
    pub fn admit(&self, key: RangeKey, now: Duration) -> KeyAdmission {
        let range = self
            .ranges
            .iter()
            .find(|range| range.first <= key && key <= range.last);
        match range {
            None => KeyAdmission::NotOwned,
            Some(range) if range.releasing => KeyAdmission::NotOwned,
            Some(range) if range.usable_until.is_some_and(|until| now < until) => {
                KeyAdmission::Held
            }
            Some(_) => KeyAdmission::Pending,
        }
    }

    /// Stops requests for keys that are given away, and grants of them.
    pub fn begin_release(&mut self, first: RangeKey, last: RangeKey) {
        let former = std::mem::take(&mut self.ranges);
        for held in former {
            for (from, to, inside) in split_span((held.first, held.last), (first, last)) {
                self.ranges.push(HeldRange {
                    first: from,
                    last: to,
                    releasing: held.releasing || inside,
                    ..held.clone()
                });
            }
        }
    }

    /// Returns the runs of keys from `first` to `last` that the upstream may
    /// hold, each under one fence.
    pub fn granted_ranges(&self, first: RangeKey, last: RangeKey) -> Vec<GrantedRange> {
        let inside = self.inside(first, last);
        inside
            .map(|range| GrantedRange {
                first: range.first,
                last: range.last,
                fence_base: range.base,
                fence: fence_of(range.base, self.life),
            })
            .collect()
    }

    /// Tells whether a grant of the keys still waits for its answer.
    pub fn has_grant_in_flight(&self, first: RangeKey, last: RangeKey) -> bool {
        self.inside(first, last).any(|range| range.sent.is_some())
    }

    /// Returns until when a grant without an answer may take effect on the
    /// keys, after a release that was answered.
    pub fn late_grant_until(&self, first: RangeKey, last: RangeKey) -> Duration {
        let untils = self.inside(first, last).map(|range| range.late_grant_until);
        untils.max().unwrap_or(Duration::ZERO)
    }

    /// Returns until when the upstream may hold the keys if it answers
    /// nothing.
    pub fn latest_hold_end(&self, first: RangeKey, last: RangeKey) -> Duration {
        let untils = self.inside(first, last).map(|range| range.latest_hold_end);
        untils.max().unwrap_or(Duration::ZERO)
    }

    fn inside(&self, first: RangeKey, last: RangeKey) -> impl Iterator<Item = &HeldRange> {
        self.ranges
            .iter()
            .filter(move |range| range.first >= first && range.last <= last)
    }
}

/// Returns the fence of a range for one life of the upstream. It grows with
/// every owner, since the base is the offset of the record that named the
/// owner, and with every life under the same owner.
fn fence_of(base: Offset, life: u64) -> FenceNumber {
    ((base + 1) << LIFE_BITS) + life
}

fn fresh(range: &KeyRange, first: RangeKey, last: RangeKey) -> HeldRange {
    HeldRange {
        first,
        last,
        base: range.fence_base,
        handover: range.handover.clone(),
        usable_until: None,
        latest_hold_end: Duration::ZERO,
        late_grant_until: Duration::ZERO,
        sent: None,
        next_try: Duration::ZERO,
        releasing: false,
    }
}

/// Splits a span of keys into the parts before, inside and after another.
fn split_span(
    (first, last): (RangeKey, RangeKey),
    (from, to): (RangeKey, RangeKey),
) -> Vec<(RangeKey, RangeKey, bool)> {
    let mut parts = Vec::new();
    if first < from {
        parts.push((first, last.min(from - 1), false));
    }
    if first.max(from) <= last.min(to) {
        parts.push((first.max(from), last.min(to), true));
    }
    if last > to {
        parts.push((first.max(to + 1), last, false));
    }
    parts
}
