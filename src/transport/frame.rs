//! Messages of a connection and the chunks into which they are split.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;

use super::encoded::EncodedMessage;
use crate::admission::load::OwnerLoad;
use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::RequestId;
use crate::base::shared_bytes::decode_shared;
use crate::delivery::message::RequestResult;
use crate::delivery::message::RoutedRequest;
use crate::held_bytes::budget::ByteBudget;
use crate::held_bytes::budget::ByteLease;

/// Version of the messages, which the connecting side sends in
/// [`PeerMessage::Hello`].
pub const PROTOCOL_VERSION: u16 = 4;

/// Maximum size of a chunk's data, without the chunk's header.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum size of an encoded message: a body of 64 MiB, and what goes with it.
pub const MAX_MESSAGE_BYTES: usize = 65 * 1024 * 1024;

/// Bodies up to this size are not counted as held bytes.
const UNCOUNTED_BODY_BYTES: usize = 1024;

/// Number of [`PeerMessage::Request`] in its encoding.
const REQUEST_TAG: u32 = 2;

/// Number of [`PeerMessage::Response`] in its encoding.
const RESPONSE_TAG: u32 = 3;

/// Maximum number of messages that a sender may interleave on one connection.
const MAX_OPEN_STREAMS: usize = 4096;

/// Message between an entry node and an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message of the connecting side.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u16,
        /// Incarnation that connects.
        from: Incarnation,
        /// Incarnation that it intends to reach.
        to: Incarnation,
    },
    /// Reply to [`PeerMessage::Hello`].
    Welcome {
        /// Incarnation that replies. Another one than the addressed one proves
        /// that the addressed one has ended.
        incarnation: Incarnation,
    },
    /// A request, sent for the first time or resent.
    Request {
        /// Request id, never reused by the sender's incarnation.
        id: RequestId,
        /// Request to process.
        request: Box<RoutedRequest>,
    },
    /// The result of a request.
    Response {
        /// Id of the request.
        id: RequestId,
        /// The upstream's response, or why there is none.
        result: Box<RequestResult>,
        /// The owner's load when it sent the result.
        load: OwnerLoad,
    },
    /// Cancels a request whose caller has gone or whose deadline has passed.
    Cancel {
        /// Id of the request.
        id: RequestId,
    },
    /// Asks the owner to show that the connection still works.
    Ping,
    /// Reply to [`PeerMessage::Ping`].
    Pong,
    /// Asks for the folded state; sent in place of [`PeerMessage::Hello`].
    StateRequest {
        /// The state is wanted only if its next offset is greater than this.
        newer_than: Offset,
    },
    /// Reply to [`PeerMessage::StateRequest`].
    StateResponse {
        /// The encoded state; `None` if it is not newer than requested.
        encoded: Option<Bytes>,
    },
    /// Tells the owner that the entry node shuts down.
    Ending {
        /// Time left when the message was sent. A result that comes later is lost.
        remaining: Duration,
    },
}

/// Reason why a received chunk is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes are no chunk, or the chunks are no message.
    Malformed,
    /// A message exceeds [`MAX_MESSAGE_BYTES`].
    TooLarge,
    /// The sender interleaves too many messages; the limit is 4096.
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

impl PeerMessage {
    /// Returns the body that the message carries; `None` if it carries none.
    pub(super) fn body(&self) -> Option<&Bytes> {
        match self {
            Self::Request { request, .. } => Some(&request.body),
            Self::Response { result, .. } => {
                let response = result.as_ref().as_ref().ok()?;
                Some(&response.body)
            }
            Self::StateResponse { encoded } => encoded.as_ref(),
            _ => None,
        }
    }

    /// Makes the lease a part of the message's body.
    fn attach(&mut self, lease: ByteLease) {
        let body = match self {
            Self::Request { request, .. } => &mut request.body,
            Self::Response { result, .. } => match result.as_mut() {
                Ok(response) => &mut response.body,
                Err(_failure) => return,
            },
            _ => return,
        };
        if body.len() > UNCOUNTED_BODY_BYTES {
            *body = lease.attach(std::mem::take(body));
        }
    }
}

/// Splits messages into chunks and interleaves the chunks of all messages.
#[derive(Debug, Default)]
pub struct ChunkQueue {
    next_stream: u64,
    waiting: VecDeque<(u64, EncodedMessage)>,
}

impl ChunkQueue {
    /// Adds an encoded message at the end of the queue.
    pub fn push(&mut self, message: EncodedMessage) {
        self.waiting.push_back((self.next_stream, message));
        self.next_stream += 1;
    }

    /// Returns the number of messages that are not completely split yet.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no message is left.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the next encoded chunk, or `None` if no message is left. The
    /// messages take turns, one chunk each.
    ///
    /// # Panics
    ///
    /// Never: every chunk can be encoded.
    pub fn next_chunk(&mut self) -> Option<Bytes> {
        let (stream, mut rest) = self.waiting.pop_front()?;
        let data = rest.split_chunk(CHUNK_BYTES);
        let last = rest.is_empty();
        if !last {
            self.waiting.push_back((stream, rest));
        }
        let chunk = MessageChunk { stream, last, data };
        Some(
            postcard::to_stdvec(&chunk)
                .expect("the length of a chunk is known")
                .into(),
        )
    }
}

/// What a connection received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReceivedMessage {
    /// A whole message.
    Whole(PeerMessage),
    /// A request for which there was no room. It was dropped.
    RefusedRequest(RequestId),
    /// A response for which there was no room. It was dropped.
    RefusedResponse(RequestId),
}

/// A message of which chunks are missing.
#[derive(Debug)]
enum PartialMessage {
    Held {
        buffer: BytesMut,
        lease: ByteLease,
    },
    /// There was no room for it. Its other chunks are dropped.
    Refused,
}

/// Reassembles messages from their chunks, within a budget.
#[derive(Debug, Default)]
pub struct MessageAssembler {
    open: FastMap<u64, PartialMessage>,
    budget: ByteBudget,
}

impl MessageAssembler {
    /// Creates an assembler that holds what arrives within `budget`.
    pub fn new(budget: ByteBudget) -> Self {
        Self {
            open: FastMap::default(),
            budget,
        }
    }

    /// Accepts an encoded chunk and returns the message that it completes, or the
    /// request or response that is refused because there is no room for it, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if the chunk or its message is invalid or exceeds a
    /// limit. The connection cannot be used any more then.
    pub fn accept(&mut self, encoded: &[u8]) -> Result<Option<ReceivedMessage>, FrameError> {
        let chunk: MessageChunk =
            postcard::from_bytes(encoded).map_err(|_malformed| FrameError::Malformed)?;
        if !self.open.contains_key(&chunk.stream) {
            if chunk.last {
                return decode_single(&chunk.data, self.budget.lease()).map(Some);
            }
            if self.open.len() >= MAX_OPEN_STREAMS {
                return Err(FrameError::TooManyStreams);
            }
            let held = PartialMessage::Held {
                buffer: BytesMut::new(),
                lease: self.budget.lease(),
            };
            self.open.insert(chunk.stream, held);
        }
        let Some(PartialMessage::Held { buffer, lease }) = self.open.get_mut(&chunk.stream) else {
            if chunk.last {
                self.open.remove(&chunk.stream);
            }
            return Ok(None);
        };
        if buffer.len() + chunk.data.len() > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLarge);
        }
        if lease.try_grow(chunk.data.len()).is_err() {
            let start = if buffer.is_empty() {
                &*chunk.data
            } else {
                &**buffer
            };
            let refused = refuse(start)?;
            if chunk.last {
                self.open.remove(&chunk.stream);
            } else {
                self.open.insert(chunk.stream, PartialMessage::Refused);
            }
            return Ok(refused);
        }
        buffer.extend_from_slice(&chunk.data);
        if !chunk.last {
            return Ok(None);
        }
        match self.open.remove(&chunk.stream) {
            Some(PartialMessage::Held { buffer, lease }) => {
                decode(&buffer.freeze(), lease).map(Some)
            }
            _ => Ok(None),
        }
    }
}

/// Decodes a message of one chunk, which is not held yet.
fn decode_single(bytes: &Bytes, mut lease: ByteLease) -> Result<ReceivedMessage, FrameError> {
    if bytes.len() > UNCOUNTED_BODY_BYTES
        && lease.try_grow(bytes.len()).is_err()
        && let Some(refused) = refuse(bytes)?
    {
        return Ok(refused);
    }
    decode(bytes, lease)
}

/// Decodes a message, which shares its body with `bytes`. `lease` holds them.
fn decode(bytes: &Bytes, lease: ByteLease) -> Result<ReceivedMessage, FrameError> {
    let decoded = decode_shared(bytes, |encoded| {
        postcard::from_bytes::<PeerMessage>(encoded)
    });
    let mut message = decoded.map_err(|_malformed| FrameError::Malformed)?;
    message.attach(lease);
    Ok(ReceivedMessage::Whole(message))
}

/// Returns what is refused with a message that begins with these bytes; `None` if it is
/// neither a request nor a response.
fn refuse(start: &[u8]) -> Result<Option<ReceivedMessage>, FrameError> {
    let (tag, rest) =
        postcard::take_from_bytes::<u32>(start).map_err(|_malformed| FrameError::Malformed)?;
    if tag != REQUEST_TAG && tag != RESPONSE_TAG {
        return Ok(None);
    }
    let (id, _rest) =
        postcard::take_from_bytes::<RequestId>(rest).map_err(|_malformed| FrameError::Malformed)?;
    Ok(Some(if tag == REQUEST_TAG {
        ReceivedMessage::RefusedRequest(id)
    } else {
        ReceivedMessage::RefusedResponse(id)
    }))
}
