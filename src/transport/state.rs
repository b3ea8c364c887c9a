//! Fetches the folded state from another process.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::connection;
use super::encoded::encode_message;
use super::frame::PeerMessage;
use crate::base::ids::Offset;
use crate::state::folded::FoldedState;
use crate::state::snapshot::decode_state;

/// Fetches the state of the process at `address` within `limit`. Returns `None`
/// unless the next offset of that state is greater than `newer_than`.
///
/// # Errors
///
/// Returns an error if the process cannot be reached in time, does not reply
/// with a state, or sends one that cannot be decoded.
pub async fn fetch_state(
    address: SocketAddr,
    newer_than: Offset,
    limit: Duration,
) -> io::Result<Option<FoldedState>> {
    let encoded = fetch_encoded_state(address, newer_than, limit).await?;
    encoded
        .map(|bytes| decode_state(&bytes))
        .transpose()
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, format!("{error:?}")))
}

/// Fetches the state as [`fetch_state`] does, without decoding it.
///
/// # Errors
///
/// Returns an error if the process cannot be reached in time or does not reply
/// with a state.
pub async fn fetch_encoded_state(
    address: SocketAddr,
    newer_than: Offset,
    limit: Duration,
) -> io::Result<Option<Bytes>> {
    timeout(limit, request_state(address, newer_than)).await?
}

async fn request_state(address: SocketAddr, newer_than: Offset) -> io::Result<Option<Bytes>> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, sender) = connection::open(stream)?;
    let request = encode_message(&PeerMessage::StateRequest { newer_than });
    // If the connection is closed, the read below fails.
    drop(sender.send(request).await);
    let Some(PeerMessage::StateResponse { encoded }) = reader.next().await? else {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the peer did not reply with a state",
        ));
    };
    Ok(encoded)
}
