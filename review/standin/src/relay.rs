//! A link between sidecars: a relay in front of a machine's address, with a limited
//! bandwidth, that can reset its connections.

use std::ffi::c_int;
use std::ffi::c_uint;
use std::ffi::c_void;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::machine::Machine;

unsafe extern "C" {
    fn setsockopt(socket: c_int, level: c_int, option: c_int, value: *const c_void, length: c_uint) -> c_int;
}

const SOL_SOCKET: c_int = 1;
const SO_LINGER: c_int = 13;
const CHUNK_BYTES: usize = 16 * 1024;

/// The relay of one machine's TCP connections.
pub struct Link {
    generation: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

/// Returns the address at which other sidecars reach a machine through its relay.
pub fn relay_address(machine: &Machine) -> SocketAddr {
    SocketAddr::from(([127, 32, 0, machine.number], machine.peers().port()))
}

impl Link {
    /// Relays the connections to a machine with `bytes_per_s` in each direction.
    pub fn start(machine: &Machine, bytes_per_s: f64) -> Self {
        let listener = TcpListener::bind(relay_address(machine)).expect("the relay's address is free");
        let link = Self {
            generation: Arc::default(),
            bytes: Arc::default(),
        };
        let (generation, bytes, target) = (Arc::clone(&link.generation), Arc::clone(&link.bytes), machine.peers());
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                // A target that refuses is refused to the client too: by a reset.
                let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
                    reset_on_close(&near);
                    continue;
                };
                let ended = Arc::new(AtomicBool::new(false));
                let first = generation.load(Ordering::Relaxed);
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let (generation, bytes, ended) = (Arc::clone(&generation), Arc::clone(&bytes), Arc::clone(&ended));
                    std::thread::spawn(move || {
                        copy(&from, &to, bytes_per_s, &bytes, &|| {
                            ended.load(Ordering::Relaxed) || generation.load(Ordering::Relaxed) != first
                        });
                        if generation.load(Ordering::Relaxed) != first {
                            reset_on_close(&from);
                            reset_on_close(&to);
                        }
                        ended.store(true, Ordering::Relaxed);
                    });
                }
            }
        });
        link
    }

    /// Resets all connections. New ones work.
    pub fn reset(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many bytes were relayed so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

fn reset_on_close(stream: &TcpStream) {
    let linger: [c_int; 2] = [1, 0];
    // SAFETY: the value is a `struct linger`, and the socket is open.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr().cast(), 8) };
}

fn copy(mut from: &TcpStream, mut to: &TcpStream, bytes_per_s: f64, total: &AtomicU64, is_over: &dyn Fn() -> bool) {
    let tick = Some(Duration::from_millis(10));
    let _ = (from.set_read_timeout(tick), to.set_write_timeout(tick), to.set_nodelay(true));
    let mut buffer = [0; CHUNK_BYTES];
    let mut free_at = Instant::now();
    while !is_over() {
        let count = match from.read(&mut buffer) {
            Ok(0) => return,
            Ok(count) => count,
            Err(error) if is_wait(&error) => continue,
            Err(_) => return,
        };
        free_at = free_at.max(Instant::now()) + Duration::from_secs_f64(count as f64 / bytes_per_s);
        std::thread::sleep(free_at.saturating_duration_since(Instant::now()));
        let mut rest = &buffer[..count];
        while !rest.is_empty() {
            if is_over() {
                return;
            }
            match to.write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(error) if is_wait(&error) => {}
                Err(_) => return,
            }
        }
        total.fetch_add(count as u64, Ordering::Relaxed);
    }
}

fn is_wait(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut | std::io::ErrorKind::Interrupted
    )
}

/// Relays the datagrams between machines that are reached through relays.
pub fn relay_datagrams(machines: &[&Machine]) {
    let sockets: Vec<(SocketAddr, UdpSocket)> = machines
        .iter()
        .map(|machine| {
            (
                machine.peers(),
                UdpSocket::bind(relay_address(machine)).expect("the relay's address is free"),
            )
        })
        .collect();
    let sockets = Arc::new(sockets);
    for index in 0..sockets.len() {
        let sockets = Arc::clone(&sockets);
        std::thread::spawn(move || {
            let (target, socket) = &sockets[index];
            let mut buffer = [0; 2048];
            while let Ok((count, from)) = socket.recv_from(&mut buffer) {
                if let Some((_, sender)) = sockets.iter().find(|(address, _)| *address == from) {
                    let _ = sender.send_to(&buffer[..count], target);
                }
            }
        });
    }
}
