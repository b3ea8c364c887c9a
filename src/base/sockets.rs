//! Options of TCP sockets.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time before the first TCP keepalive probe, and time between two probes.
/// With [`KEEPALIVE_PROBES`], a dead peer is detected after about three seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// `TCP_USER_TIMEOUT`: how long sent data may stay unacknowledged before the
/// connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Receive buffer of a connection to a process of the fleet, to the upstream or to the
/// store, in bytes.
pub const PEER_RECEIVE_BYTES: usize = 256 * 1024;

/// Most bytes that the kernel takes for a connection ahead of what it can send. What is on
/// its way is not part of it, so long links are not slower.
const UNSENT_BYTES: u32 = 16 * 1024;

/// Bounds the bytes that the kernel receives on a connection and that are not read, to
/// `bytes`. The connections that a listener accepts have its bound.
///
/// # Errors
///
/// Fails if the system refuses the option.
pub fn bound_unread<'s, S>(socket: &'s S, bytes: usize) -> io::Result<()>
where
    SockRef<'s>: From<&'s S>,
{
    // The kernel doubles the value and counts its own overhead within the result.
    SockRef::from(socket).set_recv_buffer_size(bytes / 2)
}

/// Bounds the bytes that are written on a connection whose other side does not take them.
///
/// # Errors
///
/// Fails if the system refuses the option.
pub fn bound_unsent(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(UNSENT_BYTES)
}

/// Sets the options that detect a dead peer within seconds.
///
/// # Errors
///
/// Fails if the system refuses an option.
pub fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
