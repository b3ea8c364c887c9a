//! A TCP relay that harms the connections through it.

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

/// Largest piece that is relayed at once, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// A direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilentDirection {
    /// From the connecting side.
    Forward,
    /// Towards the connecting side.
    Back,
    /// Both.
    Both,
}

impl SilentDirection {
    fn covers(self, other: Self) -> bool {
        self == Self::Both || self == other
    }
}

/// What happens to connections, present and new.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RelayFaults {
    /// New connections are reset.
    pub refuse: bool,
    /// Time that each piece of data is held up.
    pub delay: Duration,
    /// Direction in which nothing arrives until the fault ends; then all does,
    /// as TCP retransmits what a cut link has lost.
    pub stalled: Option<SilentDirection>,
}

#[derive(Debug, Clone, Copy, Default)]
struct RelayState {
    faults: RelayFaults,
    /// Connections up to this number lose everything in a direction, for good.
    silenced: Option<(u64, SilentDirection)>,
    /// Connections up to this number are reset.
    reset: u64,
}

/// Relays connections to one address.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    state: watch::Sender<RelayState>,
    accepted: watch::Receiver<u64>,
}

impl TcpRelay {
    /// Starts a relay on an address of its own.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(to: SocketAddr) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(any, to).await.expect("a port is free")
    }

    /// Starts a relay on an address.
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

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections were accepted.
    pub fn accepted(&self) -> u64 {
        *self.accepted.borrow()
    }

    /// Switches the faults.
    pub fn set_faults(&self, faults: RelayFaults) {
        self.state.send_modify(|state| state.faults = faults);
    }

    /// Makes the present connections lose everything from now on, for good.
    pub fn silence(&self, direction: SilentDirection) {
        let through = self.accepted();
        self.state
            .send_modify(|state| state.silenced = Some((through, direction)));
    }

    /// Resets the present connections.
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
    while let Ok((near, _from)) = listener.accept().await {
        if states.borrow().faults.refuse {
            abort(&near);
            continue;
        }
        let Ok(far) = TcpStream::connect(to).await else {
            abort(&near);
            continue;
        };
        for stream in [&near, &far] {
            // Without it, small answers wait for the peer's acknowledgement.
            drop(stream.set_nodelay(true));
        }
        accepted.send_modify(|count| *count += 1);
        let number = *accepted.borrow();
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let forward = RelayPipe {
            number,
            direction: SilentDirection::Forward,
            states: states.clone(),
        };
        let back = RelayPipe {
            direction: SilentDirection::Back,
            ..forward.clone()
        };
        tokio::spawn(forward.copy(near_read, far_write));
        tokio::spawn(back.copy(far_read, near_write));
    }
}

/// Lets the stream end with a reset when it is dropped.
fn abort(stream: &TcpStream) {
    // A stream that has failed already needs no reset.
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
    /// Copies until an end closes or the connection is reset.
    async fn copy(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut states = self.states.clone();
        let number = self.number;
        tokio::select! {
            () = self.copy_on(&mut from, &mut to) => {}
            _reset = states.wait_for(|state| number <= state.reset) => {
                abort(from.as_ref());
                abort(to.as_ref());
            }
        }
    }

    async fn copy_on(&mut self, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf) {
        let mut buffer = vec![0; PIECE_BYTES];
        while let Ok(size) = from.read(&mut buffer).await {
            if size == 0 {
                return;
            }
            let delay = self.states.borrow().faults.delay;
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            self.wait_out_stall().await;
            if !self.is_silenced() && to.write_all(&buffer[..size]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_out_stall(&mut self) {
        let direction = self.direction;
        let flows = |state: &RelayState| {
            !state
                .faults
                .stalled
                .is_some_and(|stalled| stalled.covers(direction))
        };
        // A relay that is gone leaves its connections as they are.
        drop(self.states.wait_for(flows).await);
    }

    fn is_silenced(&self) -> bool {
        self.states
            .borrow()
            .silenced
            .is_some_and(|(through, silent)| {
                self.number <= through && silent.covers(self.direction)
            })
    }
}
