//! Snapshots of the folded state, split into chunks with a digest.
//!
//! The planner first appends a marker, a chunk with a chunk count of 0. Every
//! reader keeps the state right after the marker's entry, so that the planner
//! and the readers that verify its snapshot encode the state at the same
//! offset.

use std::collections::BTreeMap;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use super::codec::CodecError;
use super::folded::FoldedState;
use super::record::SnapshotChunk;
use crate::base::ids::Offset;
use crate::base::ids::Term;

/// Version of the state format and first byte of an encoded state. States of any
/// other version are rejected.
pub const STATE_VERSION: u8 = 1;

/// Maximum size of an encoded state, in bytes.
pub const MAX_STATE_BYTES: usize = 16 * 1024 * 1024;

/// Maximum size of one chunk's part of the encoded state, in bytes.
pub const CHUNK_BYTES: usize = 128 * 1024;

/// Number of snapshots that are assembled concurrently; those that cover the
/// fewest entries are dropped first.
const MAX_CANDIDATES: usize = 4;

/// Encodes a state for a snapshot or a peer. Equal states give equal bytes.
/// Fails if the encoded state would exceed [`MAX_STATE_BYTES`].
pub fn encode_state(state: &FoldedState) -> Result<Bytes, CodecError> {
    let bytes =
        postcard::to_extend(state, vec![STATE_VERSION]).map_err(|_error| CodecError::Malformed)?;
    check_size(bytes.len())?;
    Ok(bytes.into())
}

/// Decodes a state, which must fill `bytes` exactly.
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

/// Returns the marker that the planner of `term` appends before a snapshot.
pub fn snapshot_marker(term: Term) -> SnapshotChunk {
    SnapshotChunk {
        term,
        end_offset: 0,
        index: 0,
        count: 0,
        digest: 0,
        data: Bytes::new(),
    }
}

/// Returns whether a chunk is the marker before a snapshot.
pub fn is_marker(chunk: &SnapshotChunk) -> bool {
    chunk.count == 0
}

/// Splits a state into chunks of `chunk_bytes`, which must be from 1 to
/// [`CHUNK_BYTES`]: readers ignore larger chunks.
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
        end_offset: state.next,
        index,
        count,
        digest,
        data: encoded.slice_ref(data),
    });
    Ok(chunks.collect())
}

/// The fields that all chunks of one snapshot share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotId {
    end_offset: Offset,
    term: Term,
    digest: u64,
    count: u32,
}

/// Assembles snapshots from their chunks, which may arrive in any order.
#[derive(Debug, Clone, Default)]
pub struct SnapshotAssembler {
    candidates: BTreeMap<SnapshotId, BTreeMap<u32, Bytes>>,
    newest: Option<FoldedState>,
}

impl SnapshotAssembler {
    /// Adds a chunk that was read at `offset`.
    ///
    /// Ignores a chunk that cannot belong to a valid snapshot. Chunks of a
    /// superseded planner are accepted: the state below an offset is the same
    /// for every process, and the digest detects faults of the writer.
    pub fn add(&mut self, offset: Offset, chunk: &SnapshotChunk) {
        if !is_valid_chunk(offset, chunk) || self.is_older(chunk.end_offset) {
            return;
        }
        let id = SnapshotId {
            end_offset: chunk.end_offset,
            term: chunk.term,
            digest: chunk.digest,
            count: chunk.count,
        };
        let parts = self.candidates.entry(id).or_default();
        parts.insert(chunk.index, chunk.data.clone());
        if parts.len() == chunk.count as usize {
            self.finish(id);
        }
        while self.candidates.len() > MAX_CANDIDATES {
            self.candidates.pop_first();
        }
    }

    /// Returns the newest complete snapshot; none if none was assembled.
    pub fn newest(self) -> Option<FoldedState> {
        self.newest
    }

    fn is_older(&self, end_offset: Offset) -> bool {
        self.newest
            .as_ref()
            .is_some_and(|state| state.next >= end_offset)
    }

    fn finish(&mut self, id: SnapshotId) {
        let Some(parts) = self.candidates.remove(&id) else {
            return;
        };
        let encoded: Vec<u8> = parts.into_values().flatten().collect();
        if digest_of(&encoded) != id.digest {
            return;
        }
        if let Ok(state) = decode_state(&encoded)
            && state.next == id.end_offset
        {
            self.newest = Some(state);
        }
    }
}

/// Returns whether a chunk that was read at `offset` can belong to a valid
/// snapshot of the entries below it.
pub fn is_valid_chunk(offset: Offset, chunk: &SnapshotChunk) -> bool {
    let max_count = MAX_STATE_BYTES.div_ceil(CHUNK_BYTES) as u32;
    chunk.end_offset <= offset
        && chunk.index < chunk.count
        && chunk.count <= max_count
        && chunk.data.len() <= CHUNK_BYTES
}
