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
