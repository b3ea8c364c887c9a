//! Relays datagrams between the machines, and drops or delays them.
//!
//! Every machine advertises an address of the relay. The relay forwards a datagram
//! from the address that its sender advertises, so that the receiver sees the
//! address under which it knows the sender.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::UdpSocket;

use crate::plan::DatagramFault;

/// Larger than any datagram that the sidecars send.
const BUFFER_BYTES: usize = 2048;

#[derive(Debug)]
struct RelayShared {
    /// Sockets bound to the advertised addresses, by machine.
    sockets: Vec<UdpSocket>,
    /// Addresses on which the machines listen, by machine.
    machines: Vec<SocketAddr>,
    faults: Mutex<Vec<DatagramFault>>,
}

/// A relay of the datagrams of a fleet. It runs until the runtime ends; clones
/// share it.
#[derive(Debug, Clone)]
pub struct DatagramRelay {
    shared: Arc<RelayShared>,
}

impl DatagramRelay {
    /// Starts the relay. `machines` are the addresses on which the machines listen,
    /// `advertised` those of the relay that they advertise, in the same order.
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
            tokio::spawn(relay_to_machine(Arc::clone(&shared), to));
        }
        Ok(Self { shared })
    }

    /// Begins a fault. Several faults can be active at once.
    pub fn begin(&self, fault: DatagramFault) {
        self.shared.lock().push(fault);
    }

    /// Ends a fault; does nothing if it isn't active.
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

    /// Returns the delay of a datagram; none if it is dropped.
    fn delay(&self, from: usize, to: usize) -> Option<Duration> {
        let mut delay = Duration::ZERO;
        for fault in &*self.lock() {
            let dropped = match *fault {
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
            if dropped {
                return None;
            }
        }
        Some(delay)
    }

    async fn forward(&self, from: usize, to: usize, datagram: &[u8]) {
        // The receiver may be down, in which case the datagram is lost.
        drop(
            self.sockets[from]
                .send_to(datagram, self.machines[to])
                .await,
        );
    }
}

async fn relay_to_machine(shared: Arc<RelayShared>, to: usize) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        // An error reports that an earlier datagram could not be delivered.
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
            shared.forward(from, to, &buffer[..size]).await;
            continue;
        }
        let (shared, datagram) = (Arc::clone(&shared), buffer[..size].to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            shared.forward(from, to, &datagram).await;
        });
    }
}
