//! Finds free ports on loopback.
//!
//! The ports lie below the kernel's ephemeral range, so that no outgoing
//! connection takes the port of a process between its end and its restart.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use eyre::bail;

const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns an address on loopback whose port is free for TCP and UDP, and that
/// this process has not returned before.
///
/// # Errors
///
/// When all 12,000 ports have been tried.
pub fn free_address() -> eyre::Result<SocketAddr> {
    let span = LAST_PORT - FIRST_PORT;
    // The process id offsets the first port, so that concurrent runs rarely try
    // the same ports.
    let first = (std::process::id() % u32::from(span)) as u16;
    loop {
        let taken = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if taken >= span {
            bail!("no free port is left between {FIRST_PORT} and {LAST_PORT}");
        }
        let port = FIRST_PORT + (first + taken) % span;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
