//! A TCP relay that injects faults into the connections through it.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Size of the buffer through which each direction of a connection is copied.
const BUFFER_BYTES: usize = 64 * 1024;

/// One or both directions of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilentDirection {
    /// From the client, which opened the connection, to the server.
    Forward,
    /// From the server to the client.
    Back,
    /// Both directions.
    Both,
}

impl SilentDirection {
    fn covers(self, other: Self) -> bool {
        self == Self::Both || self == other
    }
}

/// Faults of all connections, existing and new. The default has none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RelayFaults {
    /// Whether new connections are reset.
    pub refuse: bool,
    /// Delay of each chunk of data that is copied.
    pub delay: Duration,
    /// Direction in which no data arrives until the fault ends. Then all of it
    /// arrives, because TCP retransmits what a broken link has lost.
    pub stalled: Option<SilentDirection>,
}

#[derive(Debug, Clone, Copy, Default)]
struct RelayState {
    faults: RelayFaults,
    /// Connections up to this number permanently lose all data in a direction.
    blackholed: Option<(u64, SilentDirection)>,
    /// Connections up to this number are reset.
    reset: u64,
}

/// A relay of connections to one address. Dropping it resets its connections.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    state: watch::Sender<RelayState>,
    accepted: watch::Receiver<u64>,
}

impl TcpRelay {
    /// Starts a relay to `to` on a free port of the loopback address.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(to: SocketAddr) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(any, to)
            .await
            .expect("the loopback address has a free port")
    }

    /// Starts a relay from `address` to `to`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start_at(address: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(RelayState::default());
        let (accepting, accepted) = watch::channel(0);
        tokio::spawn(accept(listener, to, states, accepting));
        Ok(Self {
            address,
            state,
            accepted,
        })
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections were relayed so far.
    pub fn accepted(&self) -> u64 {
        *self.accepted.borrow()
    }

    /// Replaces the faults, also those of existing connections.
    pub fn set_faults(&self, faults: RelayFaults) {
        self.state.send_modify(|state| state.faults = faults);
    }

    /// Permanently drops all data of the existing connections in a direction. They
    /// stay open.
    pub fn silence(&self, direction: SilentDirection) {
        let through = self.accepted();
        self.state
            .send_modify(|state| state.blackholed = Some((through, direction)));
    }

    /// Resets the existing connections.
    pub fn reset(&self) {
        let through = self.accepted();
        self.state.send_modify(|state| state.reset = through);
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    states: watch::Receiver<RelayState>,
    accepted: watch::Sender<u64>,
) {
    while let Ok((client, _peer)) = listener.accept().await {
        if states.borrow().faults.refuse {
            reset_on_drop(&client);
            continue;
        }
        let Ok(server) = TcpStream::connect(to).await else {
            reset_on_drop(&client);
            continue;
        };
        for stream in [&client, &server] {
            // With Nagle's algorithm, small responses wait for the peer's
            // acknowledgement.
            drop(stream.set_nodelay(true));
        }
        accepted.send_modify(|count| *count += 1);
        let number = *accepted.borrow();
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let forward = RelayPipe {
            number,
            direction: SilentDirection::Forward,
            states: states.clone(),
        };
        let back = RelayPipe {
            direction: SilentDirection::Back,
            ..forward.clone()
        };
        tokio::spawn(forward.copy(client_read, server_write));
        tokio::spawn(back.copy(server_read, client_write));
    }
}

/// Makes the stream send a reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    // This fails only on a stream that has failed already and needs no reset.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

/// One direction of one connection.
#[derive(Debug, Clone)]
struct RelayPipe {
    number: u64,
    direction: SilentDirection,
    states: watch::Receiver<RelayState>,
}

impl RelayPipe {
    /// Copies data until either side closes or the connection is reset.
    async fn copy(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut states = self.states.clone();
        let number = self.number;
        tokio::select! {
            () = self.copy_data(&mut from, &mut to) => {}
            _reset = states.wait_for(|state| number <= state.reset) => {
                reset_on_drop(from.as_ref());
                reset_on_drop(to.as_ref());
            }
        }
    }

    async fn copy_data(&mut self, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(size) = from.read(&mut buffer).await {
            if size == 0 {
                return;
            }
            let delay = self.states.borrow().faults.delay;
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            self.wait_out_stall().await;
            if !self.is_blackholed() && to.write_all(&buffer[..size]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_out_stall(&mut self) {
        let direction = self.direction;
        let is_flowing = |state: &RelayState| {
            !state
                .faults
                .stalled
                .is_some_and(|stalled| stalled.covers(direction))
        };
        // This fails only when the relay was dropped, which resets the connection.
        drop(self.states.wait_for(is_flowing).await);
    }

    fn is_blackholed(&self) -> bool {
        self.states
            .borrow()
            .blackholed
            .is_some_and(|(through, direction)| {
                self.number <= through && direction.covers(self.direction)
            })
    }
}
