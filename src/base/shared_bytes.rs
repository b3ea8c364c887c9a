//! Decodes byte fields as parts of the buffer that they came in, instead of copying
//! them.

use std::cell::RefCell;
use std::fmt;

use bytes::Bytes;
use serde::Deserializer;
use serde::de::Error;
use serde::de::Visitor;

thread_local! {
    /// The buffer that is being decoded; empty outside of [`decode_shared`].
    static SOURCE: RefCell<Bytes> = const { RefCell::new(Bytes::new()) };
}

/// Decodes a value from `source`. Its fields that use [`deserialize`] become parts of
/// `source`.
pub fn decode_shared<T>(source: &Bytes, decode: impl FnOnce(&[u8]) -> T) -> T {
    SOURCE.set(source.clone());
    let decoded = decode(source);
    SOURCE.set(Bytes::new());
    decoded
}

/// Deserializes bytes, for `#[serde(deserialize_with)]`. They are copied unless they are
/// decoded by [`decode_shared`].
///
/// # Errors
///
/// Fails if the input has no bytes here.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    deserializer.deserialize_bytes(SharedVisitor)
}

struct SharedVisitor;

impl<'de> Visitor<'de> for SharedVisitor {
    type Value = Bytes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_borrowed_bytes<E: Error>(self, v: &'de [u8]) -> Result<Bytes, E> {
        Ok(SOURCE.with_borrow(|source| share(source, v)))
    }

    fn visit_bytes<E: Error>(self, v: &[u8]) -> Result<Bytes, E> {
        Ok(Bytes::copy_from_slice(v))
    }
}

/// Returns `part` as a part of `source`, or a copy of it if it is none.
fn share(source: &Bytes, part: &[u8]) -> Bytes {
    let (whole, range) = (source.as_ptr_range(), part.as_ptr_range());
    if !part.is_empty() && whole.start <= range.start && range.end <= whole.end {
        source.slice_ref(part)
    } else {
        Bytes::copy_from_slice(part)
    }
}
