//! Asks another process for its folded state.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::connection;
use super::frame::PeerMessage;
use super::frame::encode_message;
use crate::base::ids::Offset;
use crate::state::folded::FoldedState;
use crate::state::snapshot::decode_state;

/// Asks the process at `address` for its state, if that holds entries from
/// `newer_than` on. Takes `limit` at most.
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

/// Asks the process at `address` for its state as [`fetch_state`] does, and
/// leaves it encoded.
pub async fn fetch_encoded_state(
    address: SocketAddr,
    newer_than: Offset,
    limit: Duration,
) -> io::Result<Option<Bytes>> {
    timeout(limit, ask_state(address, newer_than)).await?
}

async fn ask_state(address: SocketAddr, newer_than: Offset) -> io::Result<Option<Bytes>> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, sender) = connection::open(stream)?;
    let question = encode_message(&PeerMessage::StateRequest { newer_than });
    // A closed connection shows in the read below.
    drop(sender.send(question).await);
    let Some(PeerMessage::StateResponse { encoded }) = reader.next().await? else {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the peer did not answer with a state",
        ));
    };
    Ok(encoded)
}
