//! A TCP relay whose connections can go silent while new ones work.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Which direction of the present connections loses everything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilentDirection {
    /// From the connecting side.
    Forward,
    /// Towards the connecting side.
    Back,
    /// Both.
    Both,
}

/// Relays connections to one address.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    silence: watch::Sender<Option<(u64, SilentDirection)>>,
    accepted: watch::Receiver<u64>,
}

impl TcpRelay {
    /// Starts a relay on an address of its own.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (silence, silenced) = watch::channel(None);
        let (accepting, accepted) = watch::channel(0);
        tokio::spawn(accept(listener, to, silenced, accepting));
        Self {
            address,
            silence,
            accepted,
        }
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections were accepted.
    pub fn accepted(&self) -> u64 {
        *self.accepted.borrow()
    }

    /// Makes the present connections lose everything from now on, for good.
    pub fn silence(&self, direction: SilentDirection) {
        self.silence
            .send_replace(Some((self.accepted(), direction)));
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    silence: watch::Receiver<Option<(u64, SilentDirection)>>,
    accepted: watch::Sender<u64>,
) {
    while let Ok((near, _from)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(to).await else {
            continue;
        };
        accepted.send_modify(|count| *count += 1);
        let number = *accepted.borrow();
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(copy(
            near_read,
            far_write,
            number,
            SilentDirection::Forward,
            silence.clone(),
        ));
        tokio::spawn(copy(
            far_read,
            near_write,
            number,
            SilentDirection::Back,
            silence.clone(),
        ));
    }
}

/// Copies until an end closes; a silent direction reads on and drops.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    direction: SilentDirection,
    silence: watch::Receiver<Option<(u64, SilentDirection)>>,
) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(size) = from.read(&mut buffer).await {
        if size == 0 {
            return;
        }
        let is_silent = silence.borrow().is_some_and(|(through, silent)| {
            number <= through && (silent == direction || silent == SilentDirection::Both)
        });
        if !is_silent && to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}
