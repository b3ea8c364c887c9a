//! A TCP connection that carries interleaved messages in length-prefixed
//! chunks.

use std::io;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use super::encoded::EncodedMessage;
use super::frame::CHUNK_BYTES;
use super::frame::ChunkQueue;
use super::frame::MessageAssembler;
use super::frame::PeerMessage;
use super::frame::ReceivedMessage;
use crate::base::sockets::PEER_RECEIVE_BYTES;
use crate::base::sockets::bound_unread;
use crate::base::sockets::bound_unsent;
use crate::held_bytes::budget::ByteBudget;

/// Maximum number of encoded messages that wait for the writer.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// Maximum number of messages that the writer interleaves. Further ones stay in
/// its queue.
const MAX_INTERLEAVED_MESSAGES: usize = 256;

/// Upper bound of the size of a chunk's header.
const MAX_CHUNK_HEADER_BYTES: usize = 64;

/// The receiving half of a connection.
#[derive(Debug)]
pub struct ConnectionReader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    assembler: MessageAssembler,
    last_chunk: Instant,
}

impl ConnectionReader {
    /// Returns the next message that there is room for, as [`Self::next_received`] does.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::next_received`] does.
    pub async fn next(&mut self) -> io::Result<Option<PeerMessage>> {
        loop {
            match self.next_received().await? {
                Some(ReceivedMessage::Whole(message)) => return Ok(Some(message)),
                Some(_refused) => {}
                None => return Ok(None),
            }
        }
    }

    /// Returns the next message, whole or refused, or `None` when the connection is
    /// closed.
    ///
    /// This method is cancel safe: no data is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the peer sends an invalid
    /// chunk.
    pub async fn next_received(&mut self) -> io::Result<Option<ReceivedMessage>> {
        while let Some(frame) = self.frames.next().await {
            self.last_chunk = Instant::now();
            let message = self.assembler.accept(&frame?).map_err(|error| {
                io::Error::new(io::ErrorKind::InvalidData, format!("{error:?}"))
            })?;
            if message.is_some() {
                return Ok(message);
            }
        }
        Ok(None)
    }

    /// Returns when the newest chunk of a message arrived, or when the connection was
    /// opened.
    pub fn last_chunk(&self) -> Instant {
        self.last_chunk
    }
}

/// The sending half of a connection: a bounded queue to its writer task.
pub type ConnectionSender = mpsc::Sender<EncodedMessage>;

/// Splits a stream and spawns its writer task, which ends when the last sender
/// is dropped.
///
/// # Errors
///
/// Returns an error if the socket's options cannot be set.
pub fn open(stream: TcpStream) -> io::Result<(ConnectionReader, ConnectionSender)> {
    open_within(stream, ByteBudget::default())
}

/// Opens a connection as [`open`] does. What it receives is held within `budget`.
///
/// # Errors
///
/// Returns an error if the socket's options cannot be set.
pub fn open_within(
    stream: TcpStream,
    budget: ByteBudget,
) -> io::Result<(ConnectionReader, ConnectionSender)> {
    stream.set_nodelay(true)?;
    bound_unread(&stream, PEER_RECEIVE_BYTES)?;
    bound_unsent(&stream)?;
    let (read, write) = stream.into_split();
    let reader = ConnectionReader {
        frames: FramedRead::new(read, codec()),
        assembler: MessageAssembler::new(budget),
        last_chunk: Instant::now(),
    };
    let (sender, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
    tokio::spawn(write_chunks(FramedWrite::new(write, codec()), queue));
    Ok((reader, sender))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(CHUNK_BYTES + MAX_CHUNK_HEADER_BYTES)
        .new_codec()
}

async fn write_chunks(
    mut frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut queue: mpsc::Receiver<EncodedMessage>,
) {
    let mut chunks = ChunkQueue::default();
    while let Some(message) = queue.recv().await {
        chunks.push(message);
        if write_until_empty(&mut frames, &mut chunks, &mut queue)
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn write_until_empty(
    frames: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    chunks: &mut ChunkQueue,
    queue: &mut mpsc::Receiver<EncodedMessage>,
) -> io::Result<()> {
    loop {
        while chunks.len() < MAX_INTERLEAVED_MESSAGES {
            let Ok(message) = queue.try_recv() else { break };
            chunks.push(message);
        }
        match chunks.next_chunk() {
            Some(chunk) => frames.feed(chunk).await?,
            None => return SinkExt::<Bytes>::flush(frames).await,
        }
    }
}
