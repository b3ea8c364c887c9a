//! Messages of a connection and the chunks that carry them.

use std::collections::VecDeque;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;

use crate::admission::load::OwnerLoad;
use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::RequestId;
use crate::delivery::message::RequestResult;
use crate::delivery::message::RoutedRequest;

/// Version of the connection's messages.
pub const PROTOCOL_VERSION: u16 = 1;

/// Largest chunk of a message, in bytes.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// Largest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Most messages that a sender may interleave on one connection.
const MAX_OPEN_STREAMS: usize = 4096;

/// A message between an entry and an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message of the connecting side.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u16,
        /// Who connects.
        from: Incarnation,
        /// Whom it means to reach.
        to: Incarnation,
    },
    /// Answer to [`PeerMessage::Hello`].
    Welcome {
        /// Who answers. Another incarnation than the addressed one proves that
        /// the addressed one has ended.
        incarnation: Incarnation,
    },
    /// A request, perhaps asked again.
    Request {
        /// Number of the request, never reused by the sender's incarnation.
        id: RequestId,
        /// The request.
        request: Box<RoutedRequest>,
    },
    /// The answer to a request.
    Response {
        /// Number of the request.
        id: RequestId,
        /// The answer.
        result: Box<RequestResult>,
        /// The owner's load when it answered.
        load: OwnerLoad,
    },
    /// The caller of a request has gone or its deadline has passed.
    Cancel {
        /// Number of the request.
        id: RequestId,
    },
    /// Asks for a sign of life.
    Ping,
    /// The sign of life.
    Pong,
    /// Asks for a folded state, in place of a greeting.
    StateRequest {
        /// The state is wanted only if it holds entries from this offset on.
        newer_than: Offset,
    },
    /// The answer to [`PeerMessage::StateRequest`].
    StateResponse {
        /// The encoded state; none if it is not newer than asked for.
        encoded: Option<Bytes>,
    },
}

/// Why bytes were refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes are no message.
    Malformed,
    /// A message exceeds [`MAX_MESSAGE_BYTES`].
    TooLarge,
    /// The sender interleaves too many messages.
    TooManyStreams,
}

/// Part of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct MessageChunk {
    stream: u64,
    last: bool,
    data: Bytes,
}

/// Encodes a message.
///
/// # Panics
///
/// Never: every message can be encoded.
pub fn encode_message(message: &PeerMessage) -> Bytes {
    postcard::to_stdvec(message)
        .expect("messages hold no unsized sequences")
        .into()
}

/// Cuts messages into chunks that take turns.
#[derive(Debug, Default)]
pub struct ChunkQueue {
    next_stream: u64,
    waiting: VecDeque<(u64, Bytes)>,
}

impl ChunkQueue {
    /// Adds an encoded message.
    pub fn push(&mut self, message: Bytes) {
        self.waiting.push_back((self.next_stream, message));
        self.next_stream += 1;
    }

    /// Returns how many messages are not wholly sent.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether everything is sent.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the next encoded chunk: each message sends one in turn.
    ///
    /// # Panics
    ///
    /// Never: every chunk can be encoded.
    pub fn next_chunk(&mut self) -> Option<Bytes> {
        let (stream, mut rest) = self.waiting.pop_front()?;
        let data = rest.split_to(rest.len().min(CHUNK_BYTES));
        let last = rest.is_empty();
        if !last {
            self.waiting.push_back((stream, rest));
        }
        let chunk = MessageChunk { stream, last, data };
        Some(
            postcard::to_stdvec(&chunk)
                .expect("chunks are bounded")
                .into(),
        )
    }
}

/// Joins chunks to messages.
#[derive(Debug, Default)]
pub struct MessageAssembler {
    open: FastMap<u64, BytesMut>,
}

impl MessageAssembler {
    /// Takes an encoded chunk and returns the message that it completes.
    pub fn accept(&mut self, encoded: &[u8]) -> Result<Option<PeerMessage>, FrameError> {
        let chunk: MessageChunk =
            postcard::from_bytes(encoded).map_err(|_malformed| FrameError::Malformed)?;
        if chunk.last && !self.open.contains_key(&chunk.stream) {
            return decode(&chunk.data).map(Some);
        }
        if self.open.len() >= MAX_OPEN_STREAMS {
            return Err(FrameError::TooManyStreams);
        }
        let buffer = self.open.entry(chunk.stream).or_default();
        if buffer.len() + chunk.data.len() > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLarge);
        }
        buffer.extend_from_slice(&chunk.data);
        if !chunk.last {
            return Ok(None);
        }
        let whole = self.open.remove(&chunk.stream).unwrap_or_default();
        decode(&whole).map(Some)
    }
}

fn decode(bytes: &[u8]) -> Result<PeerMessage, FrameError> {
    postcard::from_bytes(bytes).map_err(|_malformed| FrameError::Malformed)
}
