//! Callers that stop one byte short of the end of large bodies and stay.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Callers of a crowd. Their bodies exceed the memory of a sidecar together.
const CROWD_SIZE: usize = 200;

/// Size of each body, the largest that the configurations of a run allow.
const BODY_BYTES: usize = 1_000_000;

/// A crowd at one sidecar. Dropping it closes the connections.
#[derive(Debug)]
pub struct StalledCrowd {
    _callers: JoinSet<()>,
}

impl StalledCrowd {
    /// Starts callers of the sidecar at `address`.
    pub fn start(address: SocketAddr) -> Self {
        let body: Arc<[u8]> = vec![b'x'; BODY_BYTES - 1].into();
        let mut callers = JoinSet::new();
        for number in 0..CROWD_SIZE {
            callers.spawn(stall(address, number, Arc::clone(&body)));
        }
        Self { _callers: callers }
    }
}

/// Sends a request without its last byte and keeps the connection.
async fn stall(address: SocketAddr, number: usize, body: Arc<[u8]>) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let head = format!(
        "POST /orders/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: crowd-{number}\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    for part in [head.as_bytes(), &body] {
        if stream.write_all(part).await.is_err() {
            return;
        }
    }
    std::future::pending::<()>().await;
}
