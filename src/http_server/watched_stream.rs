//! Watches the progress of clients' connections.

use std::io;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::WaitForCancellationFuture;

use super::metrics::ClosedConnections;
use crate::base::collections::FastMap;
use crate::held_bytes::connections::CloseCause;
use crate::held_bytes::connections::ConnectionActivity;
use crate::held_bytes::connections::ConnectionPhase;
use crate::held_bytes::connections::OperatorTimeouts;
use crate::held_bytes::connections::choose_victim;

/// What one connection does, and whether it is to be closed. Clones share it.
#[derive(Debug, Clone)]
pub struct ConnectionWatch {
    client: SocketAddr,
    activity: Arc<Mutex<ConnectionActivity>>,
    closing: CancellationToken,
}

impl ConnectionWatch {
    fn new(client: SocketAddr) -> Self {
        Self {
            client,
            activity: Arc::new(Mutex::new(ConnectionActivity::new(Instant::now()))),
            closing: CancellationToken::new(),
        }
    }

    /// Returns the address of the client.
    pub fn client(&self) -> SocketAddr {
        self.client
    }

    /// Records the begin of a phase.
    pub fn enter(&self, phase: ConnectionPhase) {
        self.activity().enter(phase, Instant::now());
    }

    /// Completes when the connection is to be closed.
    pub fn closed(&self) -> WaitForCancellationFuture<'_> {
        self.closing.cancelled()
    }

    fn activity(&self) -> MutexGuard<'_, ConnectionActivity> {
        let activity = &self.activity;
        activity.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug, Default)]
struct TableState {
    watches: FastMap<u64, ConnectionWatch>,
    last_number: u64,
}

/// The open connections of a listener. Clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionTable {
    state: Arc<Mutex<TableState>>,
    closed: ClosedConnections,
}

/// Keeps a connection in its table until dropped.
#[derive(Debug)]
pub struct TableEntry {
    table: ConnectionTable,
    number: u64,
    watch: ConnectionWatch,
}

impl TableEntry {
    /// Returns the watch of the connection.
    pub fn watch(&self) -> &ConnectionWatch {
        &self.watch
    }
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.table.lock().watches.remove(&self.number);
    }
}

impl ConnectionTable {
    /// Creates an empty table that counts the connections that it closes.
    pub fn new(closed: ClosedConnections) -> Self {
        Self {
            state: Arc::default(),
            closed,
        }
    }

    /// Adds a connection that `client` has just opened.
    pub fn add(&self, client: SocketAddr) -> TableEntry {
        let watch = ConnectionWatch::new(client);
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.watches.insert(number, watch.clone());
        TableEntry {
            table: self.clone(),
            number,
            watch,
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.lock().watches.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Counts a connection that was closed.
    pub fn count(&self, cause: CloseCause) {
        self.closed.count(cause);
    }

    /// Closes the least useful connection, if any may be closed.
    pub fn close_victim(&self) {
        let victim = {
            let state = self.lock();
            choose_victim(
                state
                    .watches
                    .iter()
                    .map(|(number, watch)| (*number, *watch.activity())),
            )
        };
        if let Some(number) = victim {
            self.close(number, CloseCause::Crowded);
        }
    }

    /// Closes the connections that make too little progress.
    pub fn close_overdue(&self, now: Instant, timeouts: OperatorTimeouts, is_short: bool) {
        let overdue: Vec<(u64, CloseCause)> = self
            .lock()
            .watches
            .iter()
            .filter_map(|(number, watch)| {
                let cause = watch.activity().overdue(now, timeouts, is_short)?;
                Some((*number, cause))
            })
            .collect();
        for (number, cause) in overdue {
            self.close(number, cause);
        }
    }

    fn close(&self, number: u64, cause: CloseCause) {
        if let Some(watch) = self.lock().watches.remove(&number) {
            watch.closing.cancel();
            self.count(cause);
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A client's socket whose reads and writes are recorded.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    watch: ConnectionWatch,
}

impl WatchedStream {
    /// Wraps the socket of a watched connection.
    pub fn new(stream: TcpStream, watch: ConnectionWatch) -> Self {
        Self { stream, watch }
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.watch.activity().record_write(*bytes, Instant::now());
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            self.watch.activity().record_read(bytes, Instant::now());
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called once all that was to be written has been passed to the socket.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.watch.activity().record_flush(Instant::now());
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
