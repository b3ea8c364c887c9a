//! Encoded messages that share the body of the message.

use bytes::Bytes;
use bytes::BytesMut;
use postcard::ser_flavors::Flavor;

use super::frame::PeerMessage;

/// Space for all of a message but its body; the encoder reserves it at once.
const MESSAGE_HEAD_BYTES: usize = 512;

/// Bodies up to this size are copied.
const MAX_COPIED_BODY_BYTES: usize = 1024;

/// An encoded message: what comes before its body, its body, and what comes after.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EncodedMessage {
    pieces: [Bytes; 3],
}

impl From<Bytes> for EncodedMessage {
    fn from(bytes: Bytes) -> Self {
        Self {
            pieces: [bytes, Bytes::new(), Bytes::new()],
        }
    }
}

impl EncodedMessage {
    /// Returns the size of the message, in bytes.
    pub fn len(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum()
    }

    /// Returns whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes and returns the first bytes, `max` at most.
    pub fn split_chunk(&mut self, max: usize) -> Bytes {
        let size = self.len().min(max);
        let whole = self.pieces.iter_mut().find(|piece| !piece.is_empty());
        match whole {
            Some(piece) if piece.len() >= size => return piece.split_to(size),
            _ => {}
        }
        let mut chunk = BytesMut::with_capacity(size);
        for piece in &mut self.pieces {
            let part = piece.split_to(piece.len().min(size - chunk.len()));
            chunk.extend_from_slice(&part);
        }
        chunk.freeze()
    }
}

/// Encodes a message, which [`super::frame::ChunkQueue`] then splits into chunks. A large
/// body is shared with the message, not copied.
///
/// # Panics
///
/// Never: every message can be encoded.
pub fn encode_message(message: &PeerMessage) -> EncodedMessage {
    let body = message
        .body()
        .filter(|body| body.len() > MAX_COPIED_BODY_BYTES);
    let pieces = PieceBuffer {
        before: Vec::with_capacity(MESSAGE_HEAD_BYTES),
        body,
        after: Vec::new(),
        has_body: false,
    };
    postcard::serialize_with_flavor(message, pieces).expect("the length of every sequence is known")
}

/// Output of the encoder, which keeps the message's body apart.
struct PieceBuffer<'a> {
    before: Vec<u8>,
    body: Option<&'a Bytes>,
    after: Vec<u8>,
    has_body: bool,
}

impl PieceBuffer<'_> {
    fn target(&mut self) -> &mut Vec<u8> {
        if self.has_body {
            &mut self.after
        } else {
            &mut self.before
        }
    }
}

impl Flavor for PieceBuffer<'_> {
    type Output = EncodedMessage;

    fn try_extend(&mut self, data: &[u8]) -> postcard::Result<()> {
        // The encoder passes the body on as it is in the message.
        if !self.has_body
            && self
                .body
                .is_some_and(|body| std::ptr::eq(body.as_ref(), data))
        {
            self.has_body = true;
        } else {
            self.target().extend_from_slice(data);
        }
        Ok(())
    }

    fn try_push(&mut self, data: u8) -> postcard::Result<()> {
        self.target().push(data);
        Ok(())
    }

    fn finalize(self) -> postcard::Result<EncodedMessage> {
        let body = self.body.filter(|_body| self.has_body).cloned();
        Ok(EncodedMessage {
            pieces: [
                self.before.into(),
                body.unwrap_or_default(),
                self.after.into(),
            ],
        })
    }
}
