//! The bytes of a batch: one version byte, then `postcard`.

use bytes::Bytes;

use super::record::LogBatch;

/// Version of the format, the first byte of every entry.
pub const FORMAT_VERSION: u8 = 1;

/// Largest entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = 256 * 1024;

/// Why bytes are no batch, or a batch cannot be encoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// There are no bytes.
    Empty,
    /// The entry exceeds [`MAX_ENTRY_BYTES`].
    TooLarge {
        /// Size of the entry, in bytes.
        size: usize,
    },
    /// The format version is unknown.
    UnknownVersion(u8),
    /// The bytes do not hold a batch.
    Malformed,
    /// Bytes follow the batch.
    TrailingBytes {
        /// How many.
        count: usize,
    },
}

/// Encodes a batch.
pub fn encode_batch(batch: &LogBatch) -> Result<Bytes, CodecError> {
    let bytes =
        postcard::to_extend(batch, vec![FORMAT_VERSION]).map_err(|_error| CodecError::Malformed)?;
    check_size(&bytes)?;
    Ok(bytes.into())
}

/// Decodes a batch.
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
