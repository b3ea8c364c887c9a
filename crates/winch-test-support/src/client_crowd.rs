//! Callers that write raw bytes, and crowds of them.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

/// Bytes that a caller writes at a time.
const WRITE_BYTES: usize = 16 * 1024;

/// Receive buffer of a slow reader, so that little is left to its kernel.
const RECEIVE_BYTES: u32 = 16 * 1024;

/// Reads of a slow reader, and the time between two of them.
const READ_STEPS: u32 = 3;
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// How long a caller waits for the process to take or send more.
const PATIENCE: Duration = Duration::from_secs(5);

/// Writes until all is written, or the process closes or takes nothing more.
pub async fn write_while_taken(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    matches!(timeout(PATIENCE, stream.write_all(bytes)).await, Ok(Ok(())))
}

/// Returns the status of the response that comes next; `None` if the connection ends
/// or nothing comes.
pub async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        let byte = timeout(2 * PATIENCE, stream.read_u8()).await.ok()?.ok()?;
        line.push(byte);
    }
    let line = String::from_utf8_lossy(&line);
    line.split(' ').nth(1)?.parse().ok()
}

/// Sends bytes on a new connection and returns the status of the response.
pub async fn status_of(address: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let connected = timeout(PATIENCE, TcpStream::connect(address)).await;
    let mut stream = connected.ok()?.ok()?;
    if !write_while_taken(&mut stream, bytes).await {
        return None;
    }
    read_status(&mut stream).await
}

/// Sends a head and then a body of `size` bytes of which the last `missing` never come.
/// The connection stays open.
pub async fn send_stated(
    address: SocketAddr,
    head: &str,
    size: usize,
    missing: usize,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    if write_while_taken(&mut stream, head.as_bytes()).await {
        write_while_taken(&mut stream, &vec![b'x'; size - missing]).await;
    }
    Some(stream)
}

/// Sends a head and then `size` bytes in chunks of `chunk_bytes`. The last chunk never
/// comes, and the connection stays open.
pub async fn send_chunks(
    address: SocketAddr,
    head: &str,
    size: usize,
    chunk_bytes: usize,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    if !write_while_taken(&mut stream, head.as_bytes()).await {
        return Some(stream);
    }
    let chunk = [
        format!("{chunk_bytes:x}\r\n").as_bytes(),
        &vec![b'x'; chunk_bytes],
        b"\r\n",
    ]
    .concat();
    // Written many at a time, so that the callers are not slower than the process.
    let repeated = (WRITE_BYTES / chunk.len()).max(1);
    let block = chunk.repeat(repeated);
    let deadline = Instant::now() + PATIENCE;
    for _block in 0..size / (chunk_bytes * repeated) {
        if Instant::now() > deadline || !write_while_taken(&mut stream, &block).await {
            break;
        }
    }
    Some(stream)
}

/// Asks for a response over a small receive buffer and reads a little of it, in steps.
/// The connection stays open.
pub async fn read_slowly(address: SocketAddr, head: &str) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BYTES).ok()?;
    let mut stream = socket.connect(address).await.ok()?;
    write_while_taken(&mut stream, head.as_bytes()).await;
    let mut piece = [0; 1024];
    for _step in 0..READ_STEPS {
        drop(timeout(READ_INTERVAL, stream.read(&mut piece)).await);
        tokio::time::sleep(READ_INTERVAL).await;
    }
    Some(stream)
}

/// Runs `caller` for each number below `size` at once, and returns what they return:
/// their connections, which stay open until dropped.
///
/// # Panics
///
/// If a caller panics.
pub async fn gather<F>(size: usize, caller: impl Fn(usize) -> F) -> Vec<Option<TcpStream>>
where
    F: Future<Output = Option<TcpStream>> + Send + 'static,
{
    let tasks: Vec<_> = (0..size)
        .map(|number| tokio::spawn(caller(number)))
        .collect();
    let mut streams = Vec::new();
    for task in tasks {
        streams.push(task.await.expect("a caller does not panic"));
    }
    streams
}
