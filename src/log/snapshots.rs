//! What a follower knows of the snapshots that it has read.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::base::ids::Offset;
use crate::state::effect::FoldEffect;
use crate::state::folded::FoldedState;
use crate::state::record::LogBatch;
use crate::state::record::LogRecord;
use crate::state::record::SnapshotChunk;
use crate::state::retention::SnapshotMark;
use crate::state::snapshot::digest_of;
use crate::state::snapshot::encode_state;
use crate::state::snapshot::is_marker;
use crate::state::snapshot::is_sound;

/// The snapshots that a follower has read.
#[derive(Debug, Clone, Default)]
pub struct SnapshotStatus {
    /// The state right after the newest marker.
    pub marked: Option<Arc<FoldedState>>,
    /// The newest whole snapshot.
    pub whole: Option<SnapshotMark>,
    /// Chunks whose digest was not that of the state here.
    pub mismatches: u64,
}

/// Follows markers and chunks as they are folded.
#[derive(Debug, Default)]
pub(super) struct SnapshotTracker {
    status: SnapshotStatus,
    marked_digest: Option<u64>,
    progress: Option<SnapshotProgress>,
}

/// The chunks seen of the newest snapshot.
#[derive(Debug)]
struct SnapshotProgress {
    through: Offset,
    digest: u64,
    first_chunk: Offset,
    indices: BTreeSet<u32>,
}

impl SnapshotTracker {
    pub(super) fn status(&self) -> SnapshotStatus {
        self.status.clone()
    }

    /// Takes note of a batch that was folded at `offset` into `state`.
    pub(super) fn note(
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
                self.note_chunk(offset, chunk, state);
            }
        }
    }

    fn note_chunk(&mut self, offset: Offset, chunk: &SnapshotChunk, state: &Arc<FoldedState>) {
        if is_marker(chunk) {
            self.status.marked = Some(Arc::clone(state));
            self.marked_digest = None;
            return;
        }
        if !is_sound(offset, chunk) || !self.verify(offset, chunk) {
            return;
        }
        let progress = self
            .progress
            .take()
            .filter(|progress| progress.through == chunk.through && progress.digest == chunk.digest)
            .unwrap_or_else(|| SnapshotProgress::new(offset, chunk));
        self.advance(progress, chunk);
    }

    fn advance(&mut self, mut progress: SnapshotProgress, chunk: &SnapshotChunk) {
        progress.indices.insert(chunk.index);
        if progress.indices.len() < chunk.count as usize {
            self.progress = Some(progress);
            return;
        }
        let through = progress.through;
        let first_chunk = progress.first_chunk;
        log::info!("log: read a whole snapshot through offset {through} from offset {first_chunk}");
        self.status.whole = Some(SnapshotMark {
            through,
            first_chunk,
        });
    }

    /// Compares a chunk with the state here, if a marker was seen. A chunk of
    /// an older snapshot is left out.
    fn verify(&mut self, offset: Offset, chunk: &SnapshotChunk) -> bool {
        let Some(marked) = &self.status.marked else {
            return true;
        };
        if chunk.through < marked.next {
            return false;
        }
        let digest = *self
            .marked_digest
            .get_or_insert_with(|| encode_state(marked).map_or(0, |encoded| digest_of(&encoded)));
        if chunk.through == marked.next && chunk.digest == digest {
            return true;
        }
        self.status.mismatches += 1;
        log::error!(
            "log: snapshot chunk at offset {offset} has digest {:016x} through offset {}, \
             the state here {digest:016x} through {}",
            chunk.digest,
            chunk.through,
            marked.next
        );
        false
    }
}

impl SnapshotProgress {
    fn new(offset: Offset, chunk: &SnapshotChunk) -> Self {
        Self {
            through: chunk.through,
            digest: chunk.digest,
            first_chunk: offset,
            indices: BTreeSet::new(),
        }
    }
}
