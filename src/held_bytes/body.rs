//! Reads bodies within limits.
//!
//! A client or a server may send a body without end, and many may send large ones at the
//! same time. So each body has a limit, and all of them share a budget.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::Instant;

use super::budget::ByteBudget;
use super::budget::ByteLease;
use super::budget::NoRoom;

/// Size of the blocks in which a body is held until its end. Growing one buffer
/// instead would take up to three times the bytes of the body while it is copied.
const BLOCK_BYTES: usize = 64 * 1024;

/// How long a body may wait for room in all.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// The connection failed, or the other side broke off: why.
    Broken(Box<str>),
    /// The body exceeded its limit.
    TooLarge,
    /// There was no room for the body in time.
    NoRoom,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "connection failed: {error}"),
            Self::TooLarge => write!(f, "body exceeds the limit"),
            Self::NoRoom => write!(f, "no room for the body"),
        }
    }
}

/// The bytes of a body so far, in blocks.
#[derive(Debug, Default)]
struct BodyBlocks(Vec<BytesMut>);

impl BodyBlocks {
    fn extend(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let has_room = self
                .0
                .last()
                .is_some_and(|last| last.len() < last.capacity());
            if !has_room {
                // The first block has the size of most bodies, which come in one piece.
                let size = if self.0.is_empty() {
                    data.len()
                } else {
                    BLOCK_BYTES
                };
                self.0.push(BytesMut::with_capacity(size));
            }
            let Some(last) = self.0.last_mut() else {
                return;
            };
            let (fitting, rest) = data.split_at(data.len().min(last.capacity() - last.len()));
            last.extend_from_slice(fitting);
            data = rest;
        }
    }

    /// Returns all bytes in one piece.
    fn join(mut self) -> Bytes {
        if self.0.len() <= 1 {
            return self.0.pop().unwrap_or_default().freeze();
        }
        let mut joined = BytesMut::with_capacity(self.0.iter().map(BytesMut::len).sum());
        for block in self.0 {
            joined.extend_from_slice(&block);
        }
        joined.freeze()
    }
}

/// Limits on the bodies that are read from one side. Clones share what is in use.
#[derive(Debug, Clone)]
pub struct BodyReader {
    limit: usize,
    budget: ByteBudget,
}

impl BodyReader {
    /// Creates a reader of bodies of up to `limit` bytes each, which are held within
    /// `budget` from then on until they are dropped.
    pub fn new(limit: usize, budget: ByteBudget) -> Self {
        Self { limit, budget }
    }

    /// Reads a body to its end. While there is no room for more of it, the connection is
    /// not read.
    ///
    /// # Errors
    ///
    /// Fails if the other side breaks off, a limit is exceeded or there is no room in
    /// time. The connection then still carries the rest of the body.
    pub async fn read<B>(&self, mut body: B) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes, Error: std::fmt::Display> + Unpin,
    {
        let mut room = RoomClaim::new(self.budget.lease());
        if let Some(size) = body.size_hint().exact() {
            let size = usize::try_from(size).unwrap_or(usize::MAX);
            if size > self.limit {
                return Err(BodyError::TooLarge);
            }
            room.claim(size).await?;
            let mut whole = Vec::with_capacity(size);
            while let Some(data) = next_data(&mut body).await? {
                whole.extend_from_slice(&data);
            }
            return Ok(room.lease.attach(whole.into()));
        }
        let mut blocks = BodyBlocks::default();
        while let Some(data) = next_data(&mut body).await? {
            if room.lease.bytes() + data.len() > self.limit {
                return Err(BodyError::TooLarge);
            }
            room.claim(data.len()).await?;
            blocks.extend(&data);
        }
        if blocks.0.len() > 1 {
            room.claim(room.lease.bytes()).await?;
        }
        Ok(room.lease.attach(blocks.join()))
    }
}

/// Returns the next data of a body; `None` at its end.
async fn next_data<B>(body: &mut B) -> Result<Option<Bytes>, BodyError>
where
    B: Body<Data = Bytes, Error: std::fmt::Display> + Unpin,
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken(error.to_string().into()))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// A lease for a body, whose waits for room are bounded together.
struct RoomClaim {
    lease: ByteLease,
    deadline: Option<Instant>,
}

impl RoomClaim {
    fn new(lease: ByteLease) -> Self {
        Self {
            lease,
            deadline: None,
        }
    }

    async fn claim(&mut self, bytes: usize) -> Result<(), BodyError> {
        if self.lease.try_grow(bytes).is_ok() {
            return Ok(());
        }
        let deadline = *self
            .deadline
            .get_or_insert_with(|| Instant::now() + ROOM_TIMEOUT);
        let grown = self.lease.grow_by(bytes, deadline).await;
        grown.map_err(|NoRoom| BodyError::NoRoom)
    }
}
