//! The upstream's answer, derived from the request that it answers.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// First line of an answer.
const FIRST_LINE: &str = "winch-echo";

/// Last line of a whole answer.
const LAST_LINE: &str = "end";

/// What an answer says about the request that it answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EchoAnswer {
    /// The key.
    pub key: Box<str>,
    /// The idempotency key; empty when there was none.
    pub idempotency_key: Box<str>,
    /// The epoch under which the order ran; 0 when none was given.
    pub epoch: u64,
    /// Digest of the request's body.
    pub digest: u64,
}

/// Returns the digest of a request's body.
pub fn digest_body(body: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(body);
    hasher.finish()
}

impl EchoAnswer {
    /// Writes the answer, padded by `padding` bytes.
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

    /// Reads an answer. Returns nothing when it is not whole.
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
        let whole =
            lines.next()?.len() == padding && lines.next()? == LAST_LINE && lines.next().is_none();
        whole.then_some(Self {
            key,
            idempotency_key,
            epoch,
            digest,
        })
    }
}
