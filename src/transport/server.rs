//! Owner's side of the connections: accepts entry nodes and runs their requests.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::connection;
use super::connection::ConnectionReader;
use super::connection::ConnectionSender;
use super::encoded::EncodedMessage;
use super::encoded::encode_message;
use super::frame::PROTOCOL_VERSION;
use super::frame::PeerMessage;
use super::frame::ReceivedMessage;
use super::handshakes::HandshakeGuard;
use super::handshakes::PendingHandshakes;
use super::inbound::InboundDecision;
use super::inbound::InboundRequests;
use super::kept_results::KeptResults;
use crate::admission::load::OwnerLoad;
use crate::base::collections::FastMap;
use crate::base::error::ErrorKind;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::RequestId;
use crate::base::process_end::ProcessEnd;
use crate::base::timer::TimerService;
use crate::delivery::message::RequestFailure;
use crate::delivery::message::RequestResult;
use crate::delivery::message::RoutedRequest;
use crate::held_bytes::budget::ByteBudget;

/// Time limit for the first message on a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an entry node may resend a request that has no deadline.
const RESEND_PERIOD: Duration = Duration::from_mins(1);

/// How long a connection may be silent before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Fraction of the budget that kept results may hold: one eighth.
const KEPT_DIVISOR: usize = 8;

/// How often results that are kept no longer are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// What an entry node tells about a request while it is processed.
#[derive(Debug, Clone, Default)]
pub struct EntrySignals {
    /// Fires when nobody waits for the result any more.
    pub cancelled: CancellationToken,
    /// When the entry node ends. A result that comes later is lost.
    pub end: ProcessEnd,
}

/// Processes the requests of entry nodes at the owner.
pub trait OwnerRequestHandler: Clone + Send + Sync + 'static {
    /// Processes a request to its result. A request that was started is never
    /// reported as not run, also when `signals.cancelled` fires.
    fn handle(
        &self,
        request: RoutedRequest,
        signals: EntrySignals,
    ) -> impl Future<Output = RequestResult> + Send;

    /// Returns the current load, which is sent with each result.
    fn load(&self) -> OwnerLoad;

    /// Returns the encoded folded state, or `None` unless its next offset is
    /// greater than `newer_than`. The default implementation has no state.
    fn newer_state(&self, newer_than: Offset) -> Option<Bytes> {
        let _ = newer_than;
        None
    }
}

/// State of one entry node, shared by its connections.
#[derive(Debug, Default)]
struct EntrySession {
    inbound: Mutex<InboundRequests>,
    /// Open connections. There is more than one while a connection that the
    /// entry node has replaced is not known to be closed. A replaced connection
    /// may even arrive after its successor, so the order of arrival does not
    /// show which one is in use.
    connections: Mutex<Vec<ConnectionSender>>,
    /// When the entry node ends.
    end: ProcessEnd,
}

impl EntrySession {
    fn with_inbound<T>(&self, action: impl FnOnce(&mut InboundRequests) -> T) -> T {
        action(&mut self.inbound.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn connections(&self) -> MutexGuard<'_, Vec<ConnectionSender>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends an encoded result on every open connection. The entry node drops
    /// results that it does not wait for.
    async fn send_result(&self, response: &EncodedMessage) {
        let connections = self.connections().clone();
        // A closed connection loses the result; the entry node resends the
        // request then.
        let sends = connections
            .iter()
            .map(|connection| connection.send(response.clone()));
        join_all(sends).await;
    }
}

/// Registers a connection for sending results until it is dropped.
struct ConnectionGuard {
    session: Arc<EntrySession>,
    sender: ConnectionSender,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let sender = &self.sender;
        self.session
            .connections()
            .retain(|connection| !connection.same_channel(sender));
    }
}

/// Accepts connections of entry nodes. Clones share the sessions.
#[derive(Debug, Clone)]
pub struct PeerServer<H> {
    incarnation: Incarnation,
    handler: H,
    budget: ByteBudget,
    kept: KeptResults,
    handshakes: PendingHandshakes,
    sessions: Arc<Mutex<FastMap<Incarnation, Arc<EntrySession>>>>,
}

impl<H: OwnerRequestHandler> PeerServer<H> {
    /// Creates the server of an incarnation, which refuses connections that
    /// are meant for another one.
    pub fn new(incarnation: Incarnation, handler: H) -> Self {
        Self {
            incarnation,
            handler,
            budget: ByteBudget::default(),
            kept: KeptResults::default(),
            handshakes: PendingHandshakes::default(),
            sessions: Arc::default(),
        }
    }

    /// Holds what entry nodes send within `budget`. Results that are kept in case their
    /// requests are sent again have an eighth of it.
    #[must_use]
    pub fn with_budget(self, budget: ByteBudget) -> Self {
        let kept = KeptResults::new(budget.limit() / KEPT_DIVISOR);
        Self {
            budget,
            kept,
            ..self
        }
    }

    /// Lets at most `max` connections be in their handshake. A further one takes the place
    /// of the oldest.
    #[must_use]
    pub fn with_max_handshakes(self, max: usize) -> Self {
        Self {
            handshakes: PendingHandshakes::new(max),
            ..self
        }
    }

    /// Accepts connections until `stop` fires, which also closes the open ones.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        let mut ticks = TimerService.subscribe(EXPIRY_INTERVAL);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                tick = ticks.next() => self.remove_expired(tick.now),
                accepted = listener.accept() => self.accept(accepted, &stop).await,
            }
        }
    }

    async fn accept(
        &self,
        accepted: io::Result<(TcpStream, std::net::SocketAddr)>,
        stop: &CancellationToken,
    ) {
        match accepted {
            Ok((stream, from)) => {
                let server = self.clone();
                let stop = stop.clone();
                let pending = self.handshakes.begin();
                tokio::spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        ended = server.serve_connection(stream, pending) => if let Err(error) = ended {
                            log::debug!("transport: closed the connection from {from}: {error}");
                        }
                    }
                });
            }
            Err(error) => {
                log::warn!("transport: failed to accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    async fn serve_connection(&self, stream: TcpStream, pending: HandshakeGuard) -> io::Result<()> {
        let (mut reader, sender) = connection::open_within(stream, self.budget.clone())?;
        let from = tokio::select! {
            () = pending.closed() => return Ok(()),
            from = self.handshake(&mut reader, &sender) => from?,
        };
        drop(pending);
        let Some(from) = from else {
            return Ok(());
        };
        let guard = self.register(from, &sender);
        let session = &guard.session;
        loop {
            let Ok(received) = timeout(IDLE_TIMEOUT, reader.next_received()).await else {
                return Ok(());
            };
            match received? {
                Some(ReceivedMessage::Whole(message)) => {
                    self.handle_message(message, session, &sender).await;
                }
                Some(ReceivedMessage::RefusedRequest(id)) => {
                    self.receive_request(id, None, session, &sender).await;
                }
                Some(ReceivedMessage::RefusedResponse(_id)) => {}
                None => return Ok(()),
            }
        }
    }

    async fn handshake(
        &self,
        reader: &mut ConnectionReader,
        sender: &ConnectionSender,
    ) -> io::Result<Option<Incarnation>> {
        let hello = timeout(HELLO_TIMEOUT, reader.next()).await??;
        let (version, from, to) = match hello {
            Some(PeerMessage::Hello { version, from, to }) => (version, from, to),
            Some(PeerMessage::StateRequest { newer_than }) => {
                let encoded = self.handler.newer_state(newer_than);
                drop(
                    sender
                        .send(encode_message(&PeerMessage::StateResponse { encoded }))
                        .await,
                );
                return Ok(None);
            }
            _ => return Ok(None),
        };
        let welcome = PeerMessage::Welcome {
            incarnation: self.incarnation,
        };
        drop(sender.send(encode_message(&welcome)).await);
        let accepted = version == PROTOCOL_VERSION && to == self.incarnation;
        if !accepted {
            log::info!(
                "transport: refused {from:x}, which connected to {to:x} in version {version}"
            );
        }
        Ok(accepted.then_some(from))
    }

    /// Registers a connection at the session of its entry node.
    ///
    /// The sessions stay locked meanwhile, so that a session is not removed between the
    /// two steps: a second one would not know what has run.
    fn register(&self, entry: Incarnation, sender: &ConnectionSender) -> ConnectionGuard {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        let session = sessions.entry(entry).or_insert_with(|| {
            Arc::new(EntrySession {
                inbound: Mutex::new(InboundRequests::new(&self.kept)),
                ..EntrySession::default()
            })
        });
        let session = Arc::clone(session);
        session.connections().push(sender.clone());
        ConnectionGuard {
            session,
            sender: sender.clone(),
        }
    }

    /// Removes results that are kept no longer, and sessions without connections or
    /// requests. Without this, what was kept for an entry node that has ended would be
    /// kept for good.
    fn remove_expired(&self, now: Instant) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.retain(|_entry, session| {
            let is_empty = session.with_inbound(|inbound| {
                inbound.remove_expired(now);
                inbound.is_empty()
            });
            !(is_empty && session.connections().is_empty())
        });
    }

    /// Removes the sessions of entry nodes that have ended, which are those for
    /// which `is_live` returns false.
    pub fn retain_entries(&self, is_live: impl Fn(Incarnation) -> bool) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.retain(|entry, _session| is_live(*entry));
    }

    async fn handle_message(
        &self,
        message: PeerMessage,
        session: &Arc<EntrySession>,
        sender: &ConnectionSender,
    ) {
        match message {
            PeerMessage::Request { id, request } => {
                self.receive_request(id, Some(*request), session, sender)
                    .await;
            }
            PeerMessage::Cancel { id } => session.with_inbound(|inbound| inbound.cancel(id)),
            PeerMessage::Ending { remaining } => session.end.set(Instant::now() + remaining),
            PeerMessage::Ping => drop(sender.send(encode_message(&PeerMessage::Pong)).await),
            PeerMessage::Hello { .. }
            | PeerMessage::Welcome { .. }
            | PeerMessage::Response { .. }
            | PeerMessage::StateRequest { .. }
            | PeerMessage::StateResponse { .. }
            | PeerMessage::Pong => {}
        }
    }

    /// Runs a request unless it was received before. One for which there was no room,
    /// `None`, gets a refusal instead.
    async fn receive_request(
        &self,
        id: RequestId,
        request: Option<RoutedRequest>,
        session: &Arc<EntrySession>,
        sender: &ConnectionSender,
    ) {
        let remaining = request.as_ref().and_then(|request| request.remaining);
        let deadline = Instant::now() + remaining.unwrap_or(RESEND_PERIOD);
        match session.with_inbound(|inbound| inbound.receive(id, deadline)) {
            InboundDecision::Running => {}
            InboundDecision::Completed(response) => drop(sender.send(response).await),
            InboundDecision::Dropped => {
                log::info!("transport: the result of a resent request is no longer kept");
                let response = encode_message(&PeerMessage::Response {
                    id,
                    result: Box::new(Err(RequestFailure::new(
                        ErrorKind::ConnectionLost,
                        "the result was lost after the request had run",
                    ))),
                    load: self.handler.load(),
                });
                drop(sender.send(response).await);
            }
            InboundDecision::Run(cancelled) => {
                let Some(request) = request else {
                    let response = self.encode_refusal(id);
                    session.with_inbound(|inbound| {
                        inbound.complete(id, response.clone(), Instant::now());
                    });
                    drop(sender.send(response).await);
                    return;
                };
                let signals = EntrySignals {
                    cancelled,
                    end: session.end.clone(),
                };
                let server = self.clone();
                let session = Arc::clone(session);
                tokio::spawn(async move {
                    let result = server.handler.handle(request, signals).await;
                    let response = encode_message(&PeerMessage::Response {
                        id,
                        result: Box::new(result),
                        load: server.handler.load(),
                    });
                    session.with_inbound(|inbound| {
                        inbound.complete(id, response.clone(), Instant::now());
                    });
                    session.send_result(&response).await;
                });
            }
        }
    }

    fn encode_refusal(&self, id: RequestId) -> EncodedMessage {
        self.budget.record_refusal("a request of a peer");
        encode_message(&PeerMessage::Response {
            id,
            result: Box::new(Err(RequestFailure::new(
                ErrorKind::Overloaded,
                "the owner has no room for the request",
            ))),
            load: self.handler.load(),
        })
    }
}
