//! Small messages between processes over UDP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;

/// Version of the datagrams.
const DATAGRAM_VERSION: u8 = 1;

/// Largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Why a datagram was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramError {
    /// It holds nothing.
    Empty,
    /// It has another version than this process speaks.
    UnknownVersion(u8),
    /// It cannot be decoded.
    Malformed,
    /// It exceeds [`MAX_DATAGRAM_BYTES`].
    TooLarge,
}

/// Encodes a message as a datagram.
pub fn encode_datagram<M: Serialize>(message: &M) -> Result<Vec<u8>, DatagramError> {
    let bytes = postcard::to_extend(message, vec![DATAGRAM_VERSION])
        .map_err(|_error| DatagramError::Malformed)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLarge);
    }
    Ok(bytes)
}

/// Decodes a datagram.
pub fn decode_datagram<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, DatagramError> {
    let (&version, rest) = bytes.split_first().ok_or(DatagramError::Empty)?;
    if version != DATAGRAM_VERSION {
        return Err(DatagramError::UnknownVersion(version));
    }
    let (message, trailing) =
        postcard::take_from_bytes(rest).map_err(|_error| DatagramError::Malformed)?;
    if trailing.is_empty() {
        Ok(message)
    } else {
        Err(DatagramError::Malformed)
    }
}

/// Sends and receives datagrams. Cloning shares the socket.
#[derive(Debug, Clone)]
pub struct DatagramSocket {
    socket: Arc<UdpSocket>,
}

impl DatagramSocket {
    /// Binds the socket.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(address).await?);
        Ok(Self { socket })
    }

    /// Returns the address that the socket is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message without waiting. A datagram that cannot be sent now is
    /// lost, as one that the network loses.
    pub fn send<M: Serialize>(&self, to: SocketAddr, message: &M) {
        match encode_datagram(message) {
            Ok(bytes) => {
                if let Err(error) = self.socket.try_send_to(&bytes, to) {
                    log::debug!("transport: lost a datagram to {to}: {error}");
                }
            }
            Err(error) => log::warn!("transport: cannot send a datagram: {error:?}"),
        }
    }

    /// Waits for the next datagram. Malformed ones are returned as errors to
    /// be counted.
    pub async fn receive<M: DeserializeOwned>(
        &self,
    ) -> io::Result<(SocketAddr, Result<M, DatagramError>)> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (size, from) = self.socket.recv_from(&mut buffer).await?;
        if size > MAX_DATAGRAM_BYTES {
            return Ok((from, Err(DatagramError::TooLarge)));
        }
        Ok((from, decode_datagram(&buffer[..size])))
    }
}
