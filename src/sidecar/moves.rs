//! A planned move of ranges from this sidecar to others.
//!
//! The keys are first closed to new requests. Then they are released at the
//! upstream, which responds once their running requests are done. Finally the
//! new owners are written to the map, with the state that the upstream handed
//! over. An upstream that does not respond may hold its keys until its last
//! grant has expired, so the move waits until then.

use std::time::Duration;

use super::upstream::ReleaseOutcome;
use crate::base::ids::Incarnation;
use crate::base::ids::ServiceName;
use crate::ranges::FenceNumber;
use crate::ranges::RangeKey;
use crate::ranges::edit::RangeTransfer;
use crate::ranges::grants::GrantTracker;
use crate::ranges::grants::GrantedRange;
use crate::ranges::grants::heartbeat::HeldReport;
use crate::ranges::grants::heartbeat::ReleasedRange;

/// Reason for a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveCause {
    /// To balance the load between owners.
    Load,
    /// To give keys to holders without any.
    NewHolder,
    /// The sidecar shuts down, or its upstream is draining or absent.
    Leave,
}

impl MoveCause {
    /// Returns the name of the cause in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::NewHolder => "new-holder",
            Self::Leave => "leave",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum PieceState {
    /// Closed to new requests; not released yet, as a grant of the keys may
    /// still wait for its response.
    Closed,
    /// The release was sent.
    Releasing,
    /// An answer to a heartbeat left the keys out.
    LeftOut {
        /// When the upstream's last grant of the keys has expired.
        expires: Duration,
    },
    /// The upstream does not hold the keys from this time on.
    Free {
        from: Duration,
        handover: Option<Box<str>>,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct MovePiece {
    range: GrantedRange,
    target: Option<Incarnation>,
    state: PieceState,
}

/// A release to send to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleaseRequest {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// Fencing token under which the upstream holds the keys.
    pub fence: FenceNumber,
}

/// A planned move in progress.
#[derive(Debug, Clone)]
pub struct RangeMove {
    /// Service that the keys belong to.
    pub service: ServiceName,
    /// Reason for the move.
    pub cause: MoveCause,
    /// When the move began, by the clock of
    /// [`since_boot`](crate::base::boot_clock::since_boot).
    pub started: Duration,
    pieces: Vec<MovePiece>,
}

impl RangeMove {
    /// Closes the keys of `parts` to new requests and begins to move them.
    pub fn begin(
        service: ServiceName,
        cause: MoveCause,
        parts: &[RangeTransfer],
        grants: &mut GrantTracker,
        now: Duration,
    ) -> Self {
        for part in parts {
            grants.begin_release(part.first, part.last);
        }
        let mut pieces = Vec::new();
        for part in parts {
            let granted = grants.granted_ranges(part.first, part.last);
            pieces.extend(granted.into_iter().map(|range| MovePiece {
                range,
                target: part.target,
                state: PieceState::Closed,
            }));
        }
        Self {
            service,
            cause,
            started: now,
            pieces,
        }
    }

    /// Returns the releases to send now; they count as sent. If the upstream is
    /// not `present`, there are none, and its keys become free once their
    /// grants have expired.
    pub fn due_releases(&mut self, grants: &GrantTracker, present: bool) -> Vec<ReleaseRequest> {
        let mut releases = Vec::new();
        for piece in &mut self.pieces {
            if piece.state != PieceState::Closed
                || grants.has_grant_in_flight(piece.range.first, piece.range.last)
            {
                continue;
            }
            let hold_end = grants.latest_hold_end(piece.range.first, piece.range.last);
            if present && !hold_end.is_zero() {
                piece.state = PieceState::Releasing;
                releases.push(ReleaseRequest {
                    first: piece.range.first,
                    last: piece.range.last,
                    fence: piece.range.fence,
                });
            } else {
                piece.state = PieceState::Free {
                    from: hold_end,
                    handover: None,
                };
            }
        }
        releases
    }

    /// Records the outcome of a release. Keys whose release got no response
    /// become free once their grants have expired.
    pub fn record_release(
        &mut self,
        release: ReleaseRequest,
        outcome: &ReleaseOutcome,
        grants: &GrantTracker,
    ) {
        for piece in &mut self.pieces {
            if piece.range.first != release.first || piece.state != PieceState::Releasing {
                continue;
            }
            piece.state = match outcome {
                ReleaseOutcome::Released(handover) => PieceState::Free {
                    from: grants.late_grant_until(piece.range.first, piece.range.last),
                    handover: handover.clone(),
                },
                ReleaseOutcome::Unknown => PieceState::Free {
                    from: grants.latest_hold_end(piece.range.first, piece.range.last),
                    handover: None,
                },
            };
        }
    }

    /// Records that the answer to a heartbeat was sent, which leaves out all keys of
    /// the move.
    pub fn record_answer(&mut self, grants: &GrantTracker) {
        for piece in &mut self.pieces {
            if piece.state == PieceState::Closed {
                piece.state = PieceState::LeftOut {
                    expires: grants.latest_hold_end(piece.range.first, piece.range.last),
                };
            }
        }
    }

    /// Records the report of a heartbeat. Keys that an earlier answer left out and
    /// that the upstream no longer holds are free, once no earlier answer can grant
    /// them any more.
    pub fn record_report(&mut self, report: &HeldReport, grants: &GrantTracker) {
        let former = std::mem::take(&mut self.pieces);
        for piece in former {
            let (first, last) = (piece.range.first, piece.range.last);
            let is_given_up =
                matches!(piece.state, PieceState::LeftOut { .. }) && !report.holds_any(first, last);
            if !is_given_up {
                self.pieces.push(piece);
                continue;
            }
            let from = grants.late_grant_until(first, last);
            for (first, last, handover) in handovers(report, first, last) {
                self.pieces.push(MovePiece {
                    range: GrantedRange {
                        first,
                        last,
                        ..piece.range
                    },
                    state: PieceState::Free { from, handover },
                    ..piece
                });
            }
        }
    }

    /// Frees closed keys that the upstream was never granted or whose grants have
    /// expired.
    pub fn free_expired(&mut self, grants: &GrantTracker, now: Duration) {
        for piece in &mut self.pieces {
            let hold_end = grants.latest_hold_end(piece.range.first, piece.range.last);
            if piece.state == PieceState::Closed && hold_end <= now {
                piece.state = PieceState::Free {
                    from: hold_end,
                    handover: None,
                };
            }
        }
    }

    /// Marks all keys as free, because the upstream has ended and holds
    /// nothing.
    pub fn mark_all_free(&mut self) {
        for piece in &mut self.pieces {
            if !matches!(piece.state, PieceState::Free { .. }) {
                piece.state = PieceState::Free {
                    from: Duration::ZERO,
                    handover: None,
                };
            }
        }
    }

    /// Leaves keys without an owner whose target no longer `may_hold` them: its process
    /// has restarted, so the map accepts no transfer to it and the move would never end,
    /// or its failure domain is evacuated.
    pub fn drop_lost_targets(&mut self, may_hold: impl Fn(Incarnation) -> bool) {
        for piece in &mut self.pieces {
            piece.target = piece.target.filter(|target| may_hold(*target));
        }
    }

    /// Returns the new owners of the keys, each once.
    pub fn targets(&self) -> Vec<Incarnation> {
        let mut targets: Vec<Incarnation> = self
            .pieces
            .iter()
            .filter_map(|piece| piece.target)
            .collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the transfers to write to the map; `None` until all keys are
    /// free.
    pub fn transfers(&self, now: Duration) -> Option<Vec<RangeTransfer>> {
        let transfers = self.pieces.iter().map(|piece| match &piece.state {
            PieceState::Free { from, handover } if *from <= now => Some(RangeTransfer {
                first: piece.range.first,
                last: piece.range.last,
                target: piece.target,
                fence_base: piece.range.fence_base,
                handover: handover.clone(),
            }),
            PieceState::LeftOut { expires } if *expires <= now => Some(RangeTransfer {
                first: piece.range.first,
                last: piece.range.last,
                target: piece.target,
                fence_base: piece.range.fence_base,
                handover: None,
            }),
            _ => None,
        });
        transfers.collect()
    }
}

/// Splits the keys from `first` to `last` by the released ranges of a report, each
/// part with the state that was handed over for it.
fn handovers(
    report: &HeldReport,
    first: RangeKey,
    last: RangeKey,
) -> Vec<(RangeKey, RangeKey, Option<Box<str>>)> {
    let mut released: Vec<&ReleasedRange> = report.released.iter().collect();
    released.sort_by_key(|range| range.first);
    let mut parts = Vec::new();
    let mut next = u32::from(first);
    for range in released {
        let from = u32::from(range.first).max(next);
        let to = u32::from(range.last).min(u32::from(last));
        if from > to {
            continue;
        }
        if next < from {
            parts.push((next as RangeKey, (from - 1) as RangeKey, None));
        }
        parts.push((from as RangeKey, to as RangeKey, range.handover.clone()));
        next = to + 1;
    }
    if next <= u32::from(last) {
        parts.push((next as RangeKey, last, None));
    }
    parts
}
