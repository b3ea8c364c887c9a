//! An HTTP/1.1 server that bounds what its clients hold.

use std::convert::Infallible;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::callers::CallerConnections;
use super::metrics::ClosedConnections;
use super::watched_stream::ConnectionTable;
use super::watched_stream::ConnectionWatch;
use super::watched_stream::TableEntry;
use super::watched_stream::WatchedStream;
use crate::base::sockets::bound_unread;
use crate::base::sockets::bound_unsent;
use crate::base::sockets::detect_dead_peer;
use crate::base::timer::TimerService;
use crate::held_bytes::budget::ByteBudget;
use crate::held_bytes::budget::ByteLease;
use crate::held_bytes::connections::CloseCause;
use crate::held_bytes::connections::ConnectionPhase;
use crate::held_bytes::connections::OperatorTimeouts;
use crate::held_bytes::limits::CONNECTION_BYTES;
use crate::held_bytes::limits::UNREAD_BYTES;

/// A body that is sent in one piece.
pub type OutgoingBody = Full<Bytes>;

/// Largest head while the operator's limit is not known.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// Least read buffer of a connection, for heads and parts of bodies.
const MIN_BUFFER_BYTES: usize = 16 * 1024;

/// Time-outs while those of the operator are not known.
const DEFAULT_TIMEOUTS: OperatorTimeouts = OperatorTimeouts {
    head: Duration::from_secs(10),
    idle: Duration::from_mins(1),
};

/// Delay after a failed accept. It is most likely due to a lack of file
/// descriptors, and the delay lets some connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval between checks of a listener's connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Limits on the clients of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// How long clients may take for a head, and be idle.
    pub timeouts: OperatorTimeouts,
}

/// A handler of HTTP requests, shared by all connections of a listener.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// Responds to a request. The future is dropped if the client closes its
    /// connection. `watch` is told when the body has been read.
    fn handle(
        &self,
        request: Request<Incoming>,
        watch: &ConnectionWatch,
    ) -> impl Future<Output = Response<OutgoingBody>> + Send;

    /// Returns the operator's limits on the clients; `None` if there are none.
    fn limits(&self) -> Option<ClientLimits> {
        None
    }
}

/// What the connections of one listener may use.
#[derive(Debug, Clone)]
pub struct ListenerBounds {
    /// Number of connections that may be open.
    pub connections: usize,
    /// Holds the connections.
    pub budget: ByteBudget,
    /// Counts the connections that are closed.
    pub closed_connections: ClosedConnections,
}

/// Accepts and serves `callers` until the future is dropped; connections that are open
/// then are served on. Once they are to close, each is closed after its current request.
pub async fn serve<H: HttpHandler>(
    listener: TcpListener,
    handler: H,
    bounds: ListenerBounds,
    callers: CallerConnections,
) {
    if let Err(error) = bound_unread(&listener, UNREAD_BYTES) {
        log::warn!("http: cannot bound the receive buffers: {error}");
    }
    let table = ConnectionTable::new(bounds.closed_connections.clone());
    let ended = CancellationToken::new();
    let _guard = ended.clone().drop_guard();
    tokio::spawn(close_overdue(
        handler.clone(),
        table.clone(),
        bounds.budget.clone(),
        ended,
    ));
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                if let Err(error) = detect_dead_peer(&stream).and(bound_unsent(&stream)) {
                    log::debug!("http: cannot configure a connection: {error}");
                }
                let Some(lease) = make_room(&table, &bounds).await else {
                    bounds.budget.record_refusal("a connection");
                    table.count(CloseCause::Crowded);
                    continue;
                };
                let entry = table.add(client);
                let connection = serve_connection(stream, handler.clone(), entry, callers.clone());
                callers.spawn(async move {
                    connection.await;
                    drop(lease);
                });
            }
            Err(error) => {
                log::warn!("http: cannot accept a connection: {error}");
                table.close_victim();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns a lease for a new connection, and closes another one if there are too many.
/// `None` if all of them are in use.
async fn make_room(table: &ConnectionTable, bounds: &ListenerBounds) -> Option<ByteLease> {
    let mut lease = bounds.budget.lease();
    if table.len() < bounds.connections && lease.try_grow(CONNECTION_BYTES).is_ok() {
        return Some(lease);
    }
    table.close_victim();
    // Lets the closed connection return its descriptor and its lease.
    tokio::task::yield_now().await;
    let is_crowded = table.len() >= bounds.connections;
    if is_crowded || (lease.bytes() == 0 && lease.try_grow(CONNECTION_BYTES).is_err()) {
        return None;
    }
    Some(lease)
}

/// Closes the connections of a listener that make too little progress, until the
/// listener has `ended` and none is open.
async fn close_overdue<H: HttpHandler>(
    handler: H,
    table: ConnectionTable,
    budget: ByteBudget,
    ended: CancellationToken,
) {
    let mut ticks = TimerService.subscribe(CHECK_INTERVAL);
    while !(ended.is_cancelled() && table.is_empty()) {
        let now = ticks.next().await.now;
        let limits = handler.limits();
        let timeouts = limits.map_or(DEFAULT_TIMEOUTS, |limits| limits.timeouts);
        table.close_overdue(now, timeouts, budget.is_short(now));
    }
}

async fn serve_connection<H: HttpHandler>(
    stream: TcpStream,
    handler: H,
    entry: TableEntry,
    callers: CallerConnections,
) {
    let closing = callers.closing().clone();
    let header_bytes = handler
        .limits()
        .map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    // Dropped with the connection, once its last response is written.
    let answering = OnceLock::new();
    let watch = entry.watch().clone();
    let service = service_fn(move |request| {
        answering.get_or_init(|| callers.count());
        let handler = handler.clone();
        let watch = watch.clone();
        watch.enter(ConnectionPhase::Body);
        async move {
            let response = handler.handle(request, &watch).await;
            watch.enter(ConnectionPhase::Writing);
            Ok::<_, Infallible>(response)
        }
    });
    // A connection that is accepted while the process shuts down gets one response
    // and is then closed.
    let shutting_down = closing.is_cancelled();
    let stream = WatchedStream::new(stream, entry.watch().clone());
    let connection = hyper::server::conn::http1::Builder::new()
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
        .max_header_size(header_bytes)
        .keep_alive(!shutting_down)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A connection that is to close passes no further request on.
    let ended = tokio::select! {
        biased;
        () = entry.watch().closed() => return,
        ended = &mut connection => ended,
        () = closing.cancelled(), if !shutting_down => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                () = entry.watch().closed() => return,
                ended = connection => ended,
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("http: client connection failed: {error}");
    }
}
