//! A planned move of ranges from this process to others.
//!
//! The keys are closed to new requests, released at the upstream, which
//! answers when their work is done, and written to the map with what the
//! upstream handed over. An upstream that does not answer may hold its keys
//! until its last grant has run out; the move waits that long.

use std::time::Duration;

use super::upstream::ReleaseVerdict;
use crate::base::ids::Incarnation;
use crate::base::ids::ServiceName;
use crate::ranges::FenceNumber;
use crate::ranges::RangeKey;
use crate::ranges::edit::RangeTransfer;
use crate::ranges::grants::GrantTracker;
use crate::ranges::grants::GrantedRange;

/// Why ranges are given away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveCause {
    /// To even out the load.
    Load,
    /// The process or its upstream leaves, or the upstream is gone.
    Leave,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum PieceState {
    /// A grant of the keys still waits for its answer.
    Closed,
    /// The release was sent.
    Releasing,
    /// The keys are free from this time on.
    Free {
        from: Duration,
        handover: Option<Box<str>>,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct MovePiece {
    run: GrantedRange,
    target: Option<Incarnation>,
    state: PieceState,
}

/// A release to send to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleaseCall {
    /// The first key.
    pub first: RangeKey,
    /// The last key, inclusive.
    pub last: RangeKey,
    /// The fence under which the upstream holds the keys.
    pub fence: FenceNumber,
}

/// A planned move under way.
#[derive(Debug, Clone)]
pub struct RangeMove {
    /// The service.
    pub service: ServiceName,
    /// Why.
    pub cause: MoveCause,
    /// When it began.
    pub started: Duration,
    pieces: Vec<MovePiece>,
}

impl RangeMove {
    /// Closes the keys of `parts` and begins to move them.
    pub fn begin(
        service: ServiceName,
        cause: MoveCause,
        parts: &[RangeTransfer],
        holdings: &mut GrantTracker,
        now: Duration,
    ) -> Self {
        for part in parts {
            holdings.begin_release(part.first, part.last);
        }
        let mut pieces = Vec::new();
        for part in parts {
            let held = holdings.granted_ranges(part.first, part.last);
            pieces.extend(held.into_iter().map(|run| MovePiece {
                run,
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

    /// Returns the releases to send now. An upstream that is absent is sent
    /// none.
    pub fn due_releases(&mut self, holdings: &GrantTracker, present: bool) -> Vec<ReleaseCall> {
        let mut calls = Vec::new();
        for piece in &mut self.pieces {
            if piece.state != PieceState::Closed
                || holdings.has_grant_in_flight(piece.run.first, piece.run.last)
            {
                continue;
            }
            let possible = holdings.latest_hold_end(piece.run.first, piece.run.last);
            if present && !possible.is_zero() {
                piece.state = PieceState::Releasing;
                calls.push(ReleaseCall {
                    first: piece.run.first,
                    last: piece.run.last,
                    fence: piece.run.fence,
                });
            } else {
                piece.state = PieceState::Free {
                    from: possible,
                    handover: None,
                };
            }
        }
        calls
    }

    /// Takes what became of a release.
    pub fn take_release(
        &mut self,
        call: ReleaseCall,
        verdict: &ReleaseVerdict,
        holdings: &GrantTracker,
    ) {
        for piece in &mut self.pieces {
            if piece.run.first != call.first || piece.state != PieceState::Releasing {
                continue;
            }
            piece.state = match verdict {
                ReleaseVerdict::Released(handover) => PieceState::Free {
                    from: holdings.late_grant_until(piece.run.first, piece.run.last),
                    handover: handover.clone(),
                },
                ReleaseVerdict::Unknown => PieceState::Free {
                    from: holdings.latest_hold_end(piece.run.first, piece.run.last),
                    handover: None,
                },
            };
        }
    }

    /// The upstream has ended, so it holds nothing.
    pub fn free_all(&mut self) {
        for piece in &mut self.pieces {
            if !matches!(piece.state, PieceState::Free { .. }) {
                piece.state = PieceState::Free {
                    from: Duration::ZERO,
                    handover: None,
                };
            }
        }
    }

    /// Returns what is to be written to the map, once every key is free.
    pub fn transfers(&self, now: Duration) -> Option<Vec<RangeTransfer>> {
        let transfers = self.pieces.iter().map(|piece| match &piece.state {
            PieceState::Free { from, handover } if *from <= now => Some(RangeTransfer {
                first: piece.run.first,
                last: piece.run.last,
                target: piece.target,
                fence_base: piece.run.fence_base,
                handover: handover.clone(),
            }),
            _ => None,
        });
        transfers.collect()
    }
}
