//! Decides when a snapshot is due, so that the log never drops an entry that no
//! complete, retained snapshot covers.

use std::time::Duration;

use crate::base::ids::Offset;

/// The position of a complete snapshot in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotPosition {
    /// The snapshot covers every entry below this offset.
    pub end_offset: Offset,
    /// Offset of its first chunk.
    pub first_chunk: Offset,
}

/// What the log retains, as seen by the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetentionView {
    /// The earliest retained offset; 0 while the log has dropped nothing.
    pub earliest: Offset,
    /// The next offset to read.
    pub next: Offset,
    /// The newest complete snapshot; none if none was read.
    pub snapshot: Option<SnapshotPosition>,
}

/// Limits on the distance between two snapshots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotPolicy {
    /// Number of entries after which a new snapshot is due; bounds how many
    /// entries a new reader folds. Default 4096.
    pub max_entries: u64,
    /// Age at which a snapshot is replaced; must be well below the log's
    /// retention time. Default 1 h.
    pub max_age: Duration,
    /// Minimum time between two attempts at a snapshot. Default 10 s.
    pub min_interval: Duration,
}

impl Default for SnapshotPolicy {
    fn default() -> Self {
        Self {
            max_entries: 4096,
            max_age: Duration::from_hours(1),
            min_interval: Duration::from_secs(10),
        }
    }
}

/// Decides when the next snapshot is due. Times are durations since a fixed but
/// arbitrary instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotSchedule {
    policy: SnapshotPolicy,
    newest: Option<SnapshotPosition>,
    newest_since: Duration,
    last_attempt: Option<Duration>,
}

impl SnapshotSchedule {
    /// Creates a schedule at time `now` that knows no snapshot yet.
    pub fn new(policy: SnapshotPolicy, now: Duration) -> Self {
        Self {
            policy,
            newest: None,
            newest_since: now,
            last_attempt: None,
        }
    }

    /// Returns whether a snapshot is due, and if so records an attempt at `now`.
    pub fn start_if_due(&mut self, view: &RetentionView, now: Duration) -> bool {
        if self.newest != view.snapshot {
            self.newest = view.snapshot;
            self.newest_since = now;
        }
        let is_due = self.min_interval_elapsed(now) && self.is_due(view, now);
        if is_due {
            self.last_attempt = Some(now);
        }
        is_due
    }

    fn min_interval_elapsed(&self, now: Duration) -> bool {
        self.last_attempt
            .is_none_or(|attempt| now.saturating_sub(attempt) >= self.policy.min_interval)
    }

    fn is_due(&self, view: &RetentionView, now: Duration) -> bool {
        if view.next == 0 {
            return false;
        }
        let end_offset = view.snapshot.map_or(0, |snapshot| snapshot.end_offset);
        let entries = view.next.saturating_sub(end_offset);
        let age = now.saturating_sub(self.newest_since);
        entries >= self.policy.max_entries || age >= self.policy.max_age || is_near_expiry(view)
    }
}

/// Returns whether the log has begun to drop entries and the snapshot is in the
/// older half of those retained, so that the log may soon drop it.
fn is_near_expiry(view: &RetentionView) -> bool {
    let kept = view.next.saturating_sub(view.earliest);
    let middle = view.earliest + kept / 2;
    // A reader of the snapshot also needs the entries from `end_offset` on.
    let needed = view
        .snapshot
        .map_or(0, |snapshot| snapshot.first_chunk.min(snapshot.end_offset));
    view.earliest > 0 && needed < middle.max(view.earliest)
}
