//! Small messages between processes over UDP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;

/// Version of the datagram format, sent as the first byte of each datagram.
const DATAGRAM_VERSION: u8 = 3;

/// Maximum size of a datagram, including its version byte.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Reason why a datagram cannot be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramError {
    /// The datagram has no bytes.
    Empty,
    /// The datagram has this version, which this process does not support.
    UnknownVersion(u8),
    /// The message cannot be encoded, or the bytes are no message.
    Malformed,
    /// The datagram exceeds [`MAX_DATAGRAM_BYTES`].
    TooLarge,
}

/// Encodes a message as a datagram.
///
/// # Errors
///
/// Returns [`DatagramError::TooLarge`] if the encoded message does not fit, and
/// [`DatagramError::Malformed`] if it cannot be encoded.
pub fn encode_datagram<M: Serialize>(message: &M) -> Result<Vec<u8>, DatagramError> {
    let bytes = postcard::to_extend(message, vec![DATAGRAM_VERSION])
        .map_err(|_error| DatagramError::Malformed)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLarge);
    }
    Ok(bytes)
}

/// Decodes a datagram, which must hold one message and nothing after it.
///
/// # Errors
///
/// Returns [`DatagramError::Empty`], [`DatagramError::UnknownVersion`] or
/// [`DatagramError::Malformed`].
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

/// UDP socket that sends and receives datagrams. Clones share the socket.
#[derive(Debug, Clone)]
pub struct DatagramSocket {
    socket: Arc<UdpSocket>,
}

impl DatagramSocket {
    /// Binds a socket to `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, such as an address in use.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(address).await?);
        Ok(Self { socket })
    }

    /// Returns the address that the socket is bound to, with the assigned port
    /// if it was bound to port 0.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message without waiting. A datagram that cannot be sent at once
    /// is dropped; callers must expect loss on the network anyway.
    pub fn send<M: Serialize>(&self, to: SocketAddr, message: &M) {
        match encode_datagram(message) {
            Ok(bytes) => {
                if let Err(error) = self.socket.try_send_to(&bytes, to) {
                    log::debug!("transport: dropped a datagram to {to}: {error}");
                }
            }
            Err(error) => log::warn!("transport: failed to encode a datagram: {error:?}"),
        }
    }

    /// Waits for the next datagram and returns its sender and its message. A
    /// datagram that cannot be decoded is returned as the inner error, so that
    /// the caller can count it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the socket fails.
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
