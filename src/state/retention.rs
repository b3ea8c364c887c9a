//! When a snapshot is due, so that the log never loses the beginning before a
//! whole snapshot stands after it.

use std::time::Duration;

use crate::base::ids::Offset;

/// Where a whole snapshot stands in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotMark {
    /// The snapshot holds every entry below this offset.
    pub through: Offset,
    /// Offset of its first chunk.
    pub first_chunk: Offset,
}

/// What the log keeps, as seen by the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetentionView {
    /// The earliest offset kept.
    pub earliest: Offset,
    /// The next offset to read.
    pub next: Offset,
    /// The newest whole snapshot.
    pub snapshot: Option<SnapshotMark>,
}

/// Bounds on the distance between snapshots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotPolicy {
    /// Entries after which a new snapshot is due: what a new reader folds.
    pub max_entries: u64,
    /// Age at which a snapshot is taken again, well below the log's retention.
    pub max_age: Duration,
    /// Least time between two snapshots.
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

/// Decides when the next snapshot is due. Times are since any fixed start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotSchedule {
    policy: SnapshotPolicy,
    newest: Option<SnapshotMark>,
    newest_since: Duration,
    tried: Option<Duration>,
}

impl SnapshotSchedule {
    /// Creates a schedule at `now`, which knows of no snapshot yet.
    pub fn new(policy: SnapshotPolicy, now: Duration) -> Self {
        Self {
            policy,
            newest: None,
            newest_since: now,
            tried: None,
        }
    }

    /// Tells whether a snapshot is due, and if so counts it as tried.
    pub fn check(&mut self, view: &RetentionView, now: Duration) -> bool {
        if self.newest != view.snapshot {
            self.newest = view.snapshot;
            self.newest_since = now;
        }
        let is_due = self.has_rested(now) && self.is_due(view, now);
        if is_due {
            self.tried = Some(now);
        }
        is_due
    }

    fn has_rested(&self, now: Duration) -> bool {
        self.tried
            .is_none_or(|tried| now.saturating_sub(tried) >= self.policy.min_interval)
    }

    fn is_due(&self, view: &RetentionView, now: Duration) -> bool {
        if view.next == 0 {
            return false;
        }
        let through = view.snapshot.map_or(0, |snapshot| snapshot.through);
        let entries = view.next.saturating_sub(through);
        let age = now.saturating_sub(self.newest_since);
        entries >= self.policy.max_entries || age >= self.policy.max_age || is_endangered(view)
    }
}

/// Tells whether the log has begun to drop entries and the snapshot stands in
/// the older half of what is left.
fn is_endangered(view: &RetentionView) -> bool {
    let kept = view.next.saturating_sub(view.earliest);
    let middle = view.earliest + kept / 2;
    // Entries from `through` on are read after the snapshot.
    let needed = view
        .snapshot
        .map_or(0, |snapshot| snapshot.first_chunk.min(snapshot.through));
    view.earliest > 0 && needed < middle.max(view.earliest)
}
