//! The upstream's response, derived from the request that it responds to.

use std::hash::Hasher;

use rustc_hash::FxHasher;

const FIRST_LINE: &str = "winch-echo";

/// Last line, which marks a response as complete.
const LAST_LINE: &str = "end";

/// What a response says about its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EchoAnswer {
    /// Routing key of the request; empty when there was none.
    pub key: Box<str>,
    /// Idempotency key of the request; empty when there was none.
    pub idempotency_key: Box<str>,
    /// Epoch under which the request ran; 0 when none was given.
    pub epoch: u64,
    /// Digest of the request's body, from [`digest_body`].
    pub digest: u64,
}

/// Returns a non-cryptographic digest of a request's body.
pub fn digest_body(body: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(body);
    hasher.finish()
}

impl EchoAnswer {
    /// Encodes the response as text, with `padding` bytes of padding.
    pub fn encode(&self, padding: usize) -> Vec<u8> {
        let mut text = format!(
            "{FIRST_LINE}\n{}\n{}\n{}\n{}\n{padding}\n",
            self.key, self.idempotency_key, self.epoch, self.digest
        )
        .into_bytes();
        text.resize(text.len() + padding, b'.');
        text.extend_from_slice(b"\n");
        text.extend_from_slice(LAST_LINE.as_bytes());
        text
    }

    /// Decodes a response. Returns `None` if it is truncated or malformed.
    pub fn decode(body: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(body).ok()?;
        let mut lines = text.split('\n');
        if lines.next()? != FIRST_LINE {
            return None;
        }
        let key = lines.next()?.into();
        let idempotency_key = lines.next()?.into();
        let epoch = lines.next()?.parse().ok()?;
        let digest = lines.next()?.parse().ok()?;
        let padding: usize = lines.next()?.parse().ok()?;
        let complete =
            lines.next()?.len() == padding && lines.next()? == LAST_LINE && lines.next().is_none();
        complete.then_some(Self {
            key,
            idempotency_key,
            epoch,
            digest,
        })
    }
}
