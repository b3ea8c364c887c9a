//! Grants of key ranges to the upstream on this VM, and what it may hold.
//!
//! Requests for a range may be dispatched until the last confirmed grant expires,
//! counted from when the grant was sent. The upstream may hold the range for
//! longer: it counts a grant from its arrival, its clock may run slow, and a grant
//! without a response may still arrive, and then counts from its arrival too. No
//! other process may be given the range until all of that has expired or the
//! upstream has confirmed a release.

pub mod heartbeat;

use std::time::Duration;

use super::FenceNumber;
use super::RangeKey;
use super::map::KeyRange;
use crate::base::ids::Offset;

/// A grant is renewed once it expires within this time.
const RENEW_BEFORE_EXPIRY: Duration = Duration::from_secs(1);

/// Time from the sending of a refused grant to the next attempt.
const GRANT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Shortest hold time for which a grant is sent; a shorter one is not worth the
/// call.
const MIN_HOLD_TIME: Duration = Duration::from_millis(150);

/// Shortest time by which a renewal has to extend a grant. Without it, grants would follow
/// one another without a pause while the lease is not renewed.
const MIN_EXTENSION: Duration = Duration::from_millis(50);

/// Largest number of ranges with a grant in flight. Each of them takes a connection to
/// the upstream, which has few.
const MAX_GRANTS_IN_FLIGHT: usize = 8;

/// Largest relative error by which an upstream's clock may run slow.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Longest time that a grant may take to reach the upstream on the same VM.
const MAX_ARRIVAL_DELAY: Duration = Duration::from_millis(60);

/// Low bits of a fence, which hold the process number of the upstream. They tell
/// apart 1,024 upstream processes under one fence base.
const PROCESS_NUMBER_BITS: u32 = 10;

/// A grant to send to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeGrant {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// The fence of the grant.
    pub fence: FenceNumber,
    /// How long the upstream holds the keys, counted from the grant's arrival.
    pub hold: Duration,
    /// State that the former owner's upstream returned when it released the
    /// keys; `None` if there is none.
    pub handover: Option<Box<str>>,
}

/// A span of keys that the upstream may hold under one fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantedRange {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// Offset of the record that assigned the keys to this process.
    pub fence_base: Offset,
    /// The fence under which the upstream may hold the keys.
    pub fence: FenceNumber,
}

/// The outcome of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The upstream holds the keys.
    Granted,
    /// The upstream rejected the grant or was not sent it.
    Refused,
    /// Nothing listens at the upstream's address.
    Gone,
    /// No response was received; the grant may still take effect.
    Unknown,
}

/// Whether a request for a key may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAdmission {
    /// The upstream holds the key, so the request may be dispatched.
    Held,
    /// The process owns the key, but its upstream has no valid grant yet.
    Pending,
    /// The process does not own the key or is releasing it.
    NotOwned,
}

/// An owned range and its grants. Times are readings of the caller's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
struct OwnedRange {
    first: RangeKey,
    last: RangeKey,
    fence_base: Offset,
    handover: Option<Box<str>>,
    /// When requests may no longer be dispatched; `None` before the first
    /// confirmed grant.
    usable_until: Option<Duration>,
    /// When the upstream certainly no longer holds the keys, even if it confirms
    /// no release.
    latest_hold_end: Duration,
    /// When a grant without a response can no longer take effect.
    late_grant_until: Duration,
    /// When the grant that is still in flight was sent, or the last answer to a
    /// heartbeat that granted the keys.
    sent: Option<Duration>,
    /// Whether the newest heartbeat reported the keys as held.
    confirmed: bool,
    /// Earliest time of the next attempt after a refused grant.
    next_attempt: Duration,
    releasing: bool,
}

/// Tracks the ranges that this process owns and which of them the upstream
/// holds.
#[derive(Debug, Clone, Default)]
pub struct GrantTracker {
    ranges: Vec<OwnedRange>,
    /// Number of upstream processes seen so far, which numbers the present one.
    upstream_process: u64,
    reachable: bool,
    /// What a former process on this VM may have granted to an upstream that was
    /// running when this process started; `None` if there is no such upstream or
    /// it has not reported yet.
    former_grants: Option<FormerGrants>,
}

/// Bounds on the grants of a former process on this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FormerGrants {
    /// When the last of them has expired.
    hold_until: Duration,
    /// When its last answer can no longer take effect.
    answer_until: Duration,
}

impl GrantTracker {
    /// Sets the ranges that this process owns by the newest map. Keys that it
    /// owned before under the same fence base and handover keep their grants.
    pub fn update_owned(&mut self, owned: &[KeyRange]) {
        let former = std::mem::take(&mut self.ranges);
        for range in owned {
            let pieces = former
                .iter()
                .filter(|old| old.fence_base == range.fence_base && old.handover == range.handover);
            let mut next = u32::from(range.first);
            for piece in pieces {
                let (first, last) = (piece.first.max(range.first), piece.last.min(range.last));
                if first > last || u32::from(first) < next {
                    continue;
                }
                if u32::from(first) > next {
                    self.ranges
                        .push(ungranted(range, next as RangeKey, first - 1));
                }
                self.ranges.push(OwnedRange {
                    first,
                    last,
                    ..piece.clone()
                });
                next = u32::from(last) + 1;
            }
            if next <= u32::from(range.last) {
                self.ranges
                    .push(ungranted(range, next as RangeKey, range.last));
            }
        }
    }

    /// Records that a new process of the upstream started. It holds no keys.
    pub fn upstream_started(&mut self) {
        self.upstream_process += 1;
        self.reachable = true;
        self.clear_grants();
    }

    /// Records that the upstream is reachable. Its grants are unchanged.
    pub fn upstream_reachable(&mut self) {
        self.reachable = true;
    }

    /// Records that the upstream has ended. It holds no keys any more.
    pub fn upstream_stopped(&mut self) {
        self.reachable = false;
        self.clear_grants();
    }

    /// Records that the upstream has fallen silent. It may still hold its keys, and
    /// no grants are sent to it.
    pub fn upstream_unreachable(&mut self) {
        self.reachable = false;
    }

    fn clear_grants(&mut self) {
        for range in &mut self.ranges {
            range.usable_until = None;
            range.latest_hold_end = Duration::ZERO;
            range.late_grant_until = Duration::ZERO;
            range.sent = None;
            range.confirmed = false;
        }
        self.former_grants = None;
    }

    /// Returns the grants to send now and marks them as sent. `lease` is when the
    /// lease of this process expires. The hold time is shorter than the rest of
    /// the lease, so that the upstream lets the keys go before the lease expires
    /// even if the grant arrives late and the upstream's clock runs slow.
    ///
    /// At most [`MAX_GRANTS_IN_FLIGHT`] ranges have a grant in flight; those that
    /// are not granted go first, then those that expire first.
    pub fn due_grants(&mut self, now: Duration, lease: Duration) -> Vec<RangeGrant> {
        let left = lease.saturating_sub(now);
        let hold = (left * 100 / (100 + CLOCK_DRIFT_PERCENT)).saturating_sub(MAX_ARRIVAL_DELAY);
        if hold < MIN_HOLD_TIME || !self.reachable {
            return Vec::new();
        }
        let upstream_process = self.upstream_process;
        let in_flight = self.ranges.iter().filter(|range| range.sent.is_some());
        let free = MAX_GRANTS_IN_FLIGHT.saturating_sub(in_flight.count());
        let mut due: Vec<&mut OwnedRange> = self
            .ranges
            .iter_mut()
            .filter(|range| range.is_due(now, hold))
            .collect();
        due.sort_by_key(|range| range.usable_until);
        due.truncate(free);
        due.sort_by_key(|range| range.first);
        let mut grants: Vec<RangeGrant> = Vec::with_capacity(due.len());
        for range in due {
            range.sent = Some(now);
            range.latest_hold_end = range.latest_hold_end.max(lease);
            let grant = RangeGrant {
                first: range.first,
                last: range.last,
                fence: fence_of(range.fence_base, upstream_process),
                hold,
                handover: range.handover.clone(),
            };
            match grants.last_mut() {
                Some(previous) if continues(previous, &grant) => previous.last = grant.last,
                _ => grants.push(grant),
            }
        }
        grants
    }

    /// Records the outcome of a grant that was sent at `sent`. The outcome of a
    /// grant to an earlier process of the upstream is ignored.
    pub fn record_outcome(&mut self, grant: &RangeGrant, sent: Duration, outcome: GrantOutcome) {
        let upstream_process = self.upstream_process;
        for range in &mut self.ranges {
            let inside = range.first >= grant.first && range.last <= grant.last;
            let same = fence_of(range.fence_base, upstream_process) == grant.fence
                && range.sent == Some(sent);
            if !inside || !same {
                continue;
            }
            range.sent = None;
            match outcome {
                GrantOutcome::Granted => {
                    range.usable_until = range.usable_until.max(Some(sent + grant.hold));
                }
                GrantOutcome::Refused | GrantOutcome::Gone => {
                    range.next_attempt = sent + GRANT_RETRY_DELAY;
                }
                GrantOutcome::Unknown => {
                    range.late_grant_until = range.latest_hold_end + MAX_ARRIVAL_DELAY;
                }
            }
        }
    }

    /// Returns whether a request for a key may be dispatched at `now`.
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

    /// Marks keys as being released: they take no requests and no grants any
    /// more.
    pub fn begin_release(&mut self, first: RangeKey, last: RangeKey) {
        let former = std::mem::take(&mut self.ranges);
        for owned in former {
            for (from, to, inside) in split_span((owned.first, owned.last), (first, last)) {
                self.ranges.push(OwnedRange {
                    first: from,
                    last: to,
                    releasing: owned.releasing || inside,
                    ..owned.clone()
                });
            }
        }
    }

    /// Returns the spans of keys from `first` to `last` that this process owns,
    /// each with the one fence under which the upstream may hold it.
    pub fn granted_ranges(&self, first: RangeKey, last: RangeKey) -> Vec<GrantedRange> {
        let inside = self.inside(first, last);
        inside
            .map(|range| GrantedRange {
                first: range.first,
                last: range.last,
                fence_base: range.fence_base,
                fence: fence_of(range.fence_base, self.upstream_process),
            })
            .collect()
    }

    /// Returns whether a grant of any of the keys is still in flight.
    pub fn has_grant_in_flight(&self, first: RangeKey, last: RangeKey) -> bool {
        self.inside(first, last).any(|range| range.sent.is_some())
    }

    /// Returns when a grant without a response can no longer take effect on the
    /// keys. A transfer waits for it even after the upstream has confirmed the
    /// release, since such a grant may arrive later. Zero if there is none.
    pub fn late_grant_until(&self, first: RangeKey, last: RangeKey) -> Duration {
        let former = self.former_grants.map(|former| former.answer_until);
        let untils = self.inside(first, last).map(|range| range.late_grant_until);
        untils.chain(former).max().unwrap_or(Duration::ZERO)
    }

    /// Returns when the upstream certainly no longer holds the keys, even if it
    /// confirms no release. Zero if it was granted none of them.
    pub fn latest_hold_end(&self, first: RangeKey, last: RangeKey) -> Duration {
        let former = self.former_grants.map(|former| former.hold_until);
        let untils = self.inside(first, last).map(|range| range.latest_hold_end);
        untils.chain(former).max().unwrap_or(Duration::ZERO)
    }

    fn inside(&self, first: RangeKey, last: RangeKey) -> impl Iterator<Item = &OwnedRange> {
        self.ranges
            .iter()
            .filter(move |range| range.first >= first && range.last <= last)
    }
}

impl OwnedRange {
    /// Returns whether a grant for `hold` should be sent.
    fn is_due(&self, now: Duration, hold: Duration) -> bool {
        let is_blocked = self.releasing || self.sent.is_some() || now < self.next_attempt;
        let extends = self.usable_until.is_none_or(|until| {
            until < now + RENEW_BEFORE_EXPIRY && until + MIN_EXTENSION <= now + hold
        });
        extends && !is_blocked
    }
}

/// Returns whether one grant can cover the keys of both.
fn continues(previous: &RangeGrant, next: &RangeGrant) -> bool {
    previous.fence == next.fence
        && u32::from(previous.last) + 1 == u32::from(next.first)
        && previous.handover.is_none()
        && next.handover.is_none()
}

/// Returns the fence of a range for one process of the upstream. It grows with
/// every change of owner, since the base is the offset of the record that assigned
/// the range, and with every upstream process under the same owner.
fn fence_of(fence_base: Offset, upstream_process: u64) -> FenceNumber {
    ((fence_base + 1) << PROCESS_NUMBER_BITS) + upstream_process
}

fn ungranted(range: &KeyRange, first: RangeKey, last: RangeKey) -> OwnedRange {
    OwnedRange {
        first,
        last,
        fence_base: range.fence_base,
        handover: range.handover.clone(),
        usable_until: None,
        latest_hold_end: Duration::ZERO,
        late_grant_until: Duration::ZERO,
        sent: None,
        confirmed: false,
        next_attempt: Duration::ZERO,
        releasing: false,
    }
}

/// Splits a span of keys into its parts before, inside and after another span.
/// The flag marks the part inside.
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
