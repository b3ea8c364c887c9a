//! Relays datagrams between the machines, and loses or delays them.
//!
//! Every machine advertises an address of the relay. What comes from a machine
//! leaves from the address that this machine advertises, so that receivers see
//! the sender that they know.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::UdpSocket;

use crate::plan::DatagramFault;

/// Largest datagram that the processes send, and more.
const BUFFER_BYTES: usize = 2048;

#[derive(Debug)]
struct RelayShared {
    /// Socket of each machine's advertised address.
    sockets: Vec<UdpSocket>,
    /// Where each machine listens.
    machines: Vec<SocketAddr>,
    faults: Mutex<Vec<DatagramFault>>,
}

/// Relays datagrams of a fleet.
#[derive(Debug, Clone)]
pub struct DatagramRelay {
    shared: Arc<RelayShared>,
}

impl DatagramRelay {
    /// Starts the relay between machines, each at its advertised address.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(machines: Vec<SocketAddr>, advertised: &[SocketAddr]) -> eyre::Result<Self> {
        let mut sockets = Vec::new();
        for address in advertised {
            let socket = UdpSocket::bind(address)
                .await
                .wrap_err_with(|| format!("cannot bind {address} for datagrams"))?;
            sockets.push(socket);
        }
        let shared = Arc::new(RelayShared {
            sockets,
            machines,
            faults: Mutex::default(),
        });
        for to in 0..advertised.len() {
            tokio::spawn(relay_to(Arc::clone(&shared), to));
        }
        Ok(Self { shared })
    }

    /// Begins a fault.
    pub fn begin(&self, fault: DatagramFault) {
        self.shared.lock().push(fault);
    }

    /// Ends a fault.
    pub fn end(&self, fault: DatagramFault) {
        let mut faults = self.shared.lock();
        if let Some(index) = faults.iter().position(|other| *other == fault) {
            faults.swap_remove(index);
        }
    }
}

impl RelayShared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<DatagramFault>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns for how long a datagram is held up; none if it is lost.
    fn delay(&self, from: usize, to: usize) -> Option<Duration> {
        let mut delay = Duration::ZERO;
        for fault in &*self.lock() {
            let lost = match *fault {
                DatagramFault::Deaf(machine) => machine == to,
                DatagramFault::Mute(machine) => machine == from,
                DatagramFault::Pair(one, other) => {
                    (from, to) == (one, other) || (from, to) == (other, one)
                }
                DatagramFault::Loss(permille) => rand::random_range(0..1000) < permille,
                DatagramFault::Delay(by) => {
                    delay = delay.max(by);
                    false
                }
            };
            if lost {
                return None;
            }
        }
        Some(delay)
    }

    async fn pass_on(&self, from: usize, to: usize, datagram: &[u8]) {
        // A receiver that is gone loses its datagrams.
        drop(
            self.sockets[from]
                .send_to(datagram, self.machines[to])
                .await,
        );
    }
}

async fn relay_to(shared: Arc<RelayShared>, to: usize) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        // An error tells of an earlier datagram that found no receiver.
        let Ok((size, sender)) = shared.sockets[to].recv_from(&mut buffer).await else {
            continue;
        };
        let Some(from) = shared
            .machines
            .iter()
            .position(|machine| *machine == sender)
        else {
            continue;
        };
        let Some(delay) = shared.delay(from, to) else {
            continue;
        };
        if delay.is_zero() {
            shared.pass_on(from, to, &buffer[..size]).await;
            continue;
        }
        let (shared, datagram) = (Arc::clone(&shared), buffer[..size].to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            shared.pass_on(from, to, &datagram).await;
        });
    }
}
