//! Encodes and decodes log batches: a format version byte, then the batch in
//! `postcard`.

use bytes::Bytes;

use super::record::LogBatch;

/// Version of the batch format and first byte of every log entry. Entries of
/// any other version are rejected.
pub const FORMAT_VERSION: u8 = 1;

/// Maximum size of an encoded log entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = 256 * 1024;

/// Why a batch or a state cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// The input is empty and lacks even the version byte.
    Empty,
    /// The entry exceeds [`MAX_ENTRY_BYTES`], or the state exceeds
    /// [`MAX_STATE_BYTES`](super::snapshot::MAX_STATE_BYTES).
    TooLarge {
        /// Size of the encoded entry or state, in bytes.
        size: usize,
    },
    /// The input starts with this unsupported format version.
    UnknownVersion(u8),
    /// The input is not valid `postcard` of the expected type, or the value
    /// could not be encoded.
    Malformed,
    /// The batch or state is followed by extra bytes.
    TrailingBytes {
        /// Number of extra bytes.
        count: usize,
    },
}

/// Encodes a batch. Fails if the entry would exceed [`MAX_ENTRY_BYTES`].
pub fn encode_batch(batch: &LogBatch) -> Result<Bytes, CodecError> {
    let bytes =
        postcard::to_extend(batch, vec![FORMAT_VERSION]).map_err(|_error| CodecError::Malformed)?;
    check_size(&bytes)?;
    Ok(bytes.into())
}

/// Decodes a batch, which must fill the entry exactly.
pub fn decode_batch(bytes: &[u8]) -> Result<LogBatch, CodecError> {
    check_size(bytes)?;
    let (version, body) = bytes.split_first().ok_or(CodecError::Empty)?;
    if *version != FORMAT_VERSION {
        return Err(CodecError::UnknownVersion(*version));
    }
    let (batch, rest) = postcard::take_from_bytes(body).map_err(|_error| CodecError::Malformed)?;
    if !rest.is_empty() {
        return Err(CodecError::TrailingBytes { count: rest.len() });
    }
    Ok(batch)
}

fn check_size(bytes: &[u8]) -> Result<(), CodecError> {
    if bytes.len() > MAX_ENTRY_BYTES {
        return Err(CodecError::TooLarge { size: bytes.len() });
    }
    Ok(())
}
