//! The owner's side of connections: accepts entries and runs their requests.

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
use super::frame::PROTOCOL_VERSION;
use super::frame::PeerMessage;
use super::frame::encode_message;
use super::inbound::InboundDecision;
use super::inbound::InboundRequests;
use crate::admission::load::OwnerLoad;
use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::RequestId;
use crate::delivery::message::RequestResult;
use crate::delivery::message::RoutedRequest;

/// How long a new connection may take to introduce itself.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection may be silent before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Runs the requests that arrive from entries.
pub trait OwnerRequestHandler: Clone + Send + Sync + 'static {
    /// Runs a request. Cancelling never turns a started request into
    /// "not run".
    fn handle(
        &self,
        request: RoutedRequest,
        cancelled: CancellationToken,
    ) -> impl Future<Output = RequestResult> + Send;

    /// Returns the load that answers carry.
    fn load(&self) -> OwnerLoad;

    /// Returns the encoded folded state if it is newer than `newer_than`.
    fn newer_state(&self, newer_than: Offset) -> Option<Bytes> {
        let _ = newer_than;
        None
    }
}

/// What is kept for one entry over its connections.
#[derive(Debug, Default)]
struct EntrySession {
    inbound: Mutex<InboundRequests>,
    /// The open connections. There is one, or a few while one that the entry
    /// has given up is not known to be closed: it may even arrive after its
    /// successor, so the order tells nothing.
    outlets: Mutex<Vec<ConnectionSender>>,
}

impl EntrySession {
    fn with_inbound<T>(&self, action: impl FnOnce(&mut InboundRequests) -> T) -> T {
        action(&mut self.inbound.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn outlets(&self) -> MutexGuard<'_, Vec<ConnectionSender>> {
        self.outlets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends an answer on every open connection: the entry drops what it does
    /// not wait for.
    async fn answer(&self, answer: &Bytes) {
        let outlets = self.outlets().clone();
        // A closed connection loses the answer; the entry asks again.
        let sends = outlets.iter().map(|outlet| outlet.send(answer.clone()));
        join_all(sends).await;
    }
}

/// A connection that answers may be sent on, until dropped.
struct OpenOutlet {
    session: Arc<EntrySession>,
    sender: ConnectionSender,
}

impl OpenOutlet {
    fn new(session: Arc<EntrySession>, sender: ConnectionSender) -> Self {
        session.outlets().push(sender.clone());
        Self { session, sender }
    }
}

impl Drop for OpenOutlet {
    fn drop(&mut self) {
        let sender = &self.sender;
        self.session
            .outlets()
            .retain(|outlet| !outlet.same_channel(sender));
    }
}

/// Accepts connections of entries.
#[derive(Debug, Clone)]
pub struct PeerServer<H> {
    incarnation: Incarnation,
    handler: H,
    sessions: Arc<Mutex<FastMap<Incarnation, Arc<EntrySession>>>>,
}

impl<H: OwnerRequestHandler> PeerServer<H> {
    /// Creates the server of one incarnation.
    pub fn new(incarnation: Incarnation, handler: H) -> Self {
        Self {
            incarnation,
            handler,
            sessions: Arc::default(),
        }
    }

    /// Accepts connections until the stop token fires.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
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
                tokio::spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        ended = server.converse(stream) => if let Err(error) = ended {
                            log::debug!("transport: closed the connection from {from}: {error}");
                        }
                    }
                });
            }
            Err(error) => {
                log::warn!("transport: cannot accept: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    async fn converse(&self, stream: TcpStream) -> io::Result<()> {
        let (mut reader, sender) = connection::open(stream)?;
        let Some(from) = self.introduce(&mut reader, &sender).await? else {
            return Ok(());
        };
        let session = self.session(from);
        let _outlet = OpenOutlet::new(Arc::clone(&session), sender.clone());
        loop {
            let Ok(message) = timeout(IDLE_TIMEOUT, reader.next()).await else {
                return Ok(());
            };
            match message? {
                Some(message) => self.take(message, &session, &sender).await,
                None => return Ok(()),
            }
        }
    }

    async fn introduce(
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
            log::info!("transport: refused {from:x}, which asked for {to:x} in version {version}");
        }
        Ok(accepted.then_some(from))
    }

    fn session(&self, entry: Incarnation) -> Arc<EntrySession> {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(sessions.entry(entry).or_default())
    }

    /// Forgets the sessions of entries that have ended.
    pub fn retain_entries(&self, is_live: impl Fn(Incarnation) -> bool) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.retain(|entry, _session| is_live(*entry));
    }

    async fn take(
        &self,
        message: PeerMessage,
        session: &Arc<EntrySession>,
        sender: &ConnectionSender,
    ) {
        match message {
            PeerMessage::Request { id, request } => {
                self.arrive(id, *request, session, sender).await;
            }
            PeerMessage::Cancel { id } => session.with_inbound(|inbound| inbound.cancel(id)),
            PeerMessage::Ping => drop(sender.send(encode_message(&PeerMessage::Pong)).await),
            PeerMessage::Hello { .. }
            | PeerMessage::Welcome { .. }
            | PeerMessage::Response { .. }
            | PeerMessage::StateRequest { .. }
            | PeerMessage::StateResponse { .. }
            | PeerMessage::Pong => {}
        }
    }

    async fn arrive(
        &self,
        id: RequestId,
        request: RoutedRequest,
        session: &Arc<EntrySession>,
        sender: &ConnectionSender,
    ) {
        match session.with_inbound(|inbound| inbound.receive(id)) {
            InboundDecision::Running => {}
            InboundDecision::Completed(answer) => drop(sender.send(answer).await),
            InboundDecision::Run(cancelled) => {
                let handler = self.handler.clone();
                let session = Arc::clone(session);
                tokio::spawn(async move {
                    let result = handler.handle(request, cancelled).await;
                    let answer = encode_message(&PeerMessage::Response {
                        id,
                        result: Box::new(result),
                        load: handler.load(),
                    });
                    session.with_inbound(|inbound| {
                        inbound.complete(id, answer.clone(), Instant::now());
                    });
                    session.answer(&answer).await;
                });
            }
        }
    }
}
