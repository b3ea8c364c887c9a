//! Tracks the snapshots that a follower has read, and verifies their digests.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::base::ids::Offset;
use crate::state::effect::FoldEffect;
use crate::state::folded::FoldedState;
use crate::state::record::LogBatch;
use crate::state::record::LogRecord;
use crate::state::record::SnapshotChunk;
use crate::state::retention::SnapshotPosition;
use crate::state::snapshot::digest_of;
use crate::state::snapshot::encode_state;
use crate::state::snapshot::is_marker;
use crate::state::snapshot::is_valid_chunk;

/// What a follower knows about the snapshots in the log.
#[derive(Debug, Clone, Default)]
pub struct SnapshotStatus {
    /// The state right after the newest marker; none if none was read since the
    /// last state was installed.
    pub marker_state: Option<Arc<FoldedState>>,
    /// The newest complete snapshot; none if none was read since the last state
    /// was installed.
    pub newest_complete: Option<SnapshotPosition>,
    /// Number of chunks whose digest or offset differed from the state here.
    pub mismatches: u64,
}

/// Tracks markers and chunks as they are folded.
#[derive(Debug, Default)]
pub(super) struct SnapshotTracker {
    status: SnapshotStatus,
    marked_digest: Option<u64>,
    progress: Option<SnapshotProgress>,
}

/// The chunks that were read of an incomplete snapshot.
#[derive(Debug)]
struct SnapshotProgress {
    end_offset: Offset,
    digest: u64,
    first_chunk: Offset,
    indices: BTreeSet<u32>,
}

impl SnapshotTracker {
    pub(super) fn status(&self) -> SnapshotStatus {
        self.status.clone()
    }

    /// Records the snapshot chunks of a batch that was folded at `offset` into
    /// `state`.
    pub(super) fn record(
        &mut self,
        offset: Offset,
        batch: &LogBatch,
        effects: &[FoldEffect],
        state: &Arc<FoldedState>,
    ) {
        for (record, effect) in batch.records.iter().zip(effects) {
            if let LogRecord::Snapshot(chunk) = record
                && effect.is_accepted()
            {
                self.record_chunk(offset, chunk, state);
            }
        }
    }

    fn record_chunk(&mut self, offset: Offset, chunk: &SnapshotChunk, state: &Arc<FoldedState>) {
        if is_marker(chunk) {
            self.status.marker_state = Some(Arc::clone(state));
            self.marked_digest = None;
            return;
        }
        if !is_valid_chunk(offset, chunk) || !self.verify(offset, chunk) {
            return;
        }
        let progress = self
            .progress
            .take()
            .filter(|progress| {
                progress.end_offset == chunk.end_offset && progress.digest == chunk.digest
            })
            .unwrap_or_else(|| SnapshotProgress::new(offset, chunk));
        self.advance(progress, chunk);
    }

    fn advance(&mut self, mut progress: SnapshotProgress, chunk: &SnapshotChunk) {
        progress.indices.insert(chunk.index);
        if progress.indices.len() < chunk.count as usize {
            self.progress = Some(progress);
            return;
        }
        let end_offset = progress.end_offset;
        let first_chunk = progress.first_chunk;
        log::info!("log: read a complete snapshot below offset {end_offset} at {first_chunk}");
        self.status.newest_complete = Some(SnapshotPosition {
            end_offset,
            first_chunk,
        });
    }

    /// Compares a chunk with the state at the newest marker. Returns true if no
    /// marker was read, and false for a chunk of an older snapshot.
    fn verify(&mut self, offset: Offset, chunk: &SnapshotChunk) -> bool {
        let Some(marked) = &self.status.marker_state else {
            return true;
        };
        if chunk.end_offset < marked.next {
            return false;
        }
        let digest = *self
            .marked_digest
            .get_or_insert_with(|| encode_state(marked).map_or(0, |encoded| digest_of(&encoded)));
        if chunk.end_offset == marked.next && chunk.digest == digest {
            return true;
        }
        self.status.mismatches += 1;
        log::error!(
            "log: snapshot chunk at offset {offset} has digest {:016x} for the entries below \
             offset {}, but the state here has {digest:016x} below {}",
            chunk.digest,
            chunk.end_offset,
            marked.next
        );
        false
    }
}

impl SnapshotProgress {
    fn new(offset: Offset, chunk: &SnapshotChunk) -> Self {
        Self {
            end_offset: chunk.end_offset,
            digest: chunk.digest,
            first_chunk: offset,
            indices: BTreeSet::new(),
        }
    }
}
