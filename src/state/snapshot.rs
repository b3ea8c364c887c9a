//! Snapshots of the folded state, in chunks with a digest.
//!
//! The planner first appends a marker: a chunk of a snapshot of no chunks.
//! Every reader keeps the state right after the marker's entry, so that the
//! planner and those who verify its snapshot build it at the same offset.

use std::collections::BTreeMap;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use super::codec::CodecError;
use super::folded::FoldedState;
use super::record::SnapshotChunk;
use crate::base::ids::Offset;
use crate::base::ids::Term;

/// Version of the format, the first byte of an encoded state.
pub const STATE_VERSION: u8 = 1;

/// Largest encoded state, in bytes.
pub const MAX_STATE_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of state in one chunk.
pub const CHUNK_BYTES: usize = 128 * 1024;

/// Snapshots that are put together side by side.
const MAX_CANDIDATES: usize = 4;

/// Encodes a state for a snapshot or a peer. Equal states give equal bytes.
pub fn encode_state(state: &FoldedState) -> Result<Bytes, CodecError> {
    let bytes =
        postcard::to_extend(state, vec![STATE_VERSION]).map_err(|_error| CodecError::Malformed)?;
    check_size(bytes.len())?;
    Ok(bytes.into())
}

/// Decodes a state.
pub fn decode_state(bytes: &[u8]) -> Result<FoldedState, CodecError> {
    check_size(bytes.len())?;
    let (version, body) = bytes.split_first().ok_or(CodecError::Empty)?;
    if *version != STATE_VERSION {
        return Err(CodecError::UnknownVersion(*version));
    }
    let (state, rest) = postcard::take_from_bytes(body).map_err(|_error| CodecError::Malformed)?;
    if !rest.is_empty() {
        return Err(CodecError::TrailingBytes { count: rest.len() });
    }
    Ok(state)
}

fn check_size(size: usize) -> Result<(), CodecError> {
    if size > MAX_STATE_BYTES {
        return Err(CodecError::TooLarge { size });
    }
    Ok(())
}

/// Returns the digest of an encoded state.
pub fn digest_of(encoded: &[u8]) -> u64 {
    xxh3_64(encoded)
}

/// Returns the marker that a snapshot starts with.
pub fn snapshot_marker(term: Term) -> SnapshotChunk {
    SnapshotChunk {
        term,
        through: 0,
        index: 0,
        count: 0,
        digest: 0,
        data: Bytes::new(),
    }
}

/// Tells whether a chunk is a marker.
pub fn is_marker(chunk: &SnapshotChunk) -> bool {
    chunk.count == 0
}

/// Splits a state into chunks of `chunk_bytes`, at most [`CHUNK_BYTES`].
pub fn split_state(
    state: &FoldedState,
    term: Term,
    chunk_bytes: usize,
) -> Result<Vec<SnapshotChunk>, CodecError> {
    let encoded = encode_state(state)?;
    let digest = digest_of(&encoded);
    let count = encoded.len().div_ceil(chunk_bytes) as u32;
    let chunks = (0..count).zip(encoded.chunks(chunk_bytes));
    let chunks = chunks.map(|(index, data)| SnapshotChunk {
        term,
        through: state.next,
        index,
        count,
        digest,
        data: encoded.slice_ref(data),
    });
    Ok(chunks.collect())
}

/// What the chunks of one snapshot have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotName {
    through: Offset,
    term: Term,
    digest: u64,
    count: u32,
}

/// Puts snapshots together from their chunks, in any order.
#[derive(Debug, Clone, Default)]
pub struct SnapshotAssembler {
    candidates: BTreeMap<SnapshotName, BTreeMap<u32, Bytes>>,
    newest: Option<FoldedState>,
}

impl SnapshotAssembler {
    /// Adds a chunk that was read at `offset`.
    ///
    /// A chunk that cannot belong to a sound snapshot is left out. The digest
    /// guards against a fault of the writer, so chunks of a superseded planner
    /// are as good as any: the state below an offset is the same for all.
    pub fn add(&mut self, offset: Offset, chunk: &SnapshotChunk) {
        if !is_sound(offset, chunk) || self.is_older(chunk.through) {
            return;
        }
        let name = SnapshotName {
            through: chunk.through,
            term: chunk.term,
            digest: chunk.digest,
            count: chunk.count,
        };
        let parts = self.candidates.entry(name).or_default();
        parts.insert(chunk.index, chunk.data.clone());
        if parts.len() == chunk.count as usize {
            self.finish(name);
        }
        while self.candidates.len() > MAX_CANDIDATES {
            self.candidates.pop_first();
        }
    }

    /// Returns the newest whole snapshot.
    pub fn newest(self) -> Option<FoldedState> {
        self.newest
    }

    fn is_older(&self, through: Offset) -> bool {
        self.newest
            .as_ref()
            .is_some_and(|state| state.next >= through)
    }

    fn finish(&mut self, name: SnapshotName) {
        let Some(parts) = self.candidates.remove(&name) else {
            return;
        };
        let encoded: Vec<u8> = parts.into_values().flatten().collect();
        if digest_of(&encoded) != name.digest {
            return;
        }
        if let Ok(state) = decode_state(&encoded)
            && state.next == name.through
        {
            self.newest = Some(state);
        }
    }
}

/// Tells whether a chunk can be a part of a snapshot that precedes `offset`.
pub fn is_sound(offset: Offset, chunk: &SnapshotChunk) -> bool {
    let max_count = MAX_STATE_BYTES.div_ceil(CHUNK_BYTES) as u32;
    chunk.through <= offset
        && chunk.index < chunk.count
        && chunk.count <= max_count
        && chunk.data.len() <= CHUNK_BYTES
}
