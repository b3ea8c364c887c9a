//! Entry node's side of the connections: one link to each owner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout;

use super::connection;
use super::connection::ConnectionReader;
use super::connection::ConnectionSender;
use super::encoded::EncodedMessage;
use super::encoded::encode_message;
use super::frame::PROTOCOL_VERSION;
use super::frame::PeerMessage;
use super::frame::ReceivedMessage;
use super::link_limiter::LinkLimiter;
use crate::admission::load::OwnerLoad;
use crate::base::collections::FastMap;
use crate::base::error::ErrorKind;
use crate::base::ids::Incarnation;
use crate::base::ids::RequestId;
use crate::base::process_end::ProcessEnd;
use crate::base::timer::TickSubscription;
use crate::base::timer::TimerService;
use crate::base::timer::TimerTick;
use crate::delivery::message::RequestFailure;
use crate::delivery::message::RequestResult;
use crate::delivery::message::RoutedRequest;
use crate::held_bytes::budget::ByteBudget;

/// Maximum number of commands that wait for a link.
const MAX_QUEUED_COMMANDS: usize = 1024;

/// Interval between checks of a link's connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which a link that is in use sends a ping.
const PING_AFTER: Duration = Duration::from_millis(300);

/// Silence after which a connection is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a link counts as in use after its last request.
const IN_USE_PERIOD: Duration = Duration::from_secs(10);

/// Time limit for connecting, including the exchange of the first messages.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum gap between ticks. A longer gap shows that this process was paused,
/// so that the silence of the owner is counted anew.
const MAX_TICK_GAP: Duration = Duration::from_millis(300);

/// Generates the request ids of this incarnation. Clones share the counter, so
/// that no id is used twice, on whichever link.
#[derive(Debug, Clone, Default)]
struct RequestIdGenerator(Arc<AtomicU64>);

impl RequestIdGenerator {
    fn next(&self) -> RequestId {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// The entry process of links. Clones share its request ids and its end.
#[derive(Debug, Clone)]
pub struct EntryProcess {
    incarnation: Incarnation,
    ids: RequestIdGenerator,
    end: ProcessEnd,
    budget: ByteBudget,
}

impl EntryProcess {
    /// Creates a process whose links tell their owners when it ends.
    pub fn new(incarnation: Incarnation, end: ProcessEnd) -> Self {
        Self {
            incarnation,
            ids: RequestIdGenerator::default(),
            end,
            budget: ByteBudget::default(),
        }
    }

    /// Holds what owners return within `budget`.
    #[must_use]
    pub fn with_budget(self, budget: ByteBudget) -> Self {
        Self { budget, ..self }
    }
}

/// The owner's load, as reported with its latest result.
pub type ReportedLoad = ArcSwap<OwnerLoad>;

enum LinkCommand {
    Call {
        id: RequestId,
        request: Box<RoutedRequest>,
        reply: oneshot::Sender<RequestResult>,
    },
    Cancel {
        id: RequestId,
    },
}

/// Cancels the request when dropped while armed, since nobody waits for its
/// result any more.
struct CancelGuard<'a> {
    commands: &'a mpsc::Sender<LinkCommand>,
    id: RequestId,
    armed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            // If the queue is full, the cancellation is dropped. The deadline
            // at the owner ends the request then.
            drop(self.commands.try_send(LinkCommand::Cancel { id: self.id }));
        }
    }
}

/// Link to one owner. Clones share it; it closes when the last one is dropped.
#[derive(Debug, Clone)]
pub struct PeerLink {
    commands: mpsc::Sender<LinkCommand>,
    ids: RequestIdGenerator,
    load: Arc<ReportedLoad>,
    limiter: Arc<LinkLimiter>,
}

impl PeerLink {
    /// Creates a link from a process to another incarnation and spawns its task. The
    /// link connects when the first request is sent.
    pub fn start(from: &EntryProcess, to: Incarnation, address: SocketAddr) -> Self {
        let (sender, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let load = Arc::<ReportedLoad>::default();
        let limiter = Arc::new(LinkLimiter::new(to));
        let task = LinkTask {
            from: from.incarnation,
            end: from.end.clone(),
            budget: from.budget.clone(),
            to,
            address,
            commands,
            load: Arc::clone(&load),
            limiter: Arc::clone(&limiter),
            pending: FastMap::default(),
            last_used: Instant::now(),
        };
        tokio::spawn(task.run());
        Self {
            commands: sender,
            ids: from.ids.clone(),
            load,
            limiter,
        }
    }

    /// Returns the load that the owner reported last; zero before its first
    /// result.
    pub fn load(&self) -> OwnerLoad {
        **self.load.load()
    }

    /// Sends a request and waits for its result. Dropping the future cancels
    /// the request.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Overloaded`] if the owner reported that it
    /// refuses such requests, with [`ErrorKind::OwnerUnreachable`] if the
    /// request was never sent, with [`ErrorKind::ConnectionLost`] if it was
    /// sent and the owner has ended, or with the failure that the owner
    /// returned.
    pub async fn call(&self, request: RoutedRequest) -> RequestResult {
        self.limiter.admit(&request.class).map_err(refused)?;
        let id = self.ids.next();
        let (reply, result) = oneshot::channel();
        let command = LinkCommand::Call {
            id,
            request: Box::new(request),
            reply,
        };
        if self.commands.send(command).await.is_err() {
            return Err(unreachable());
        }
        let mut guard = CancelGuard {
            commands: &self.commands,
            id,
            armed: true,
        };
        let result = result.await.unwrap_or_else(|_ended| Err(lost()));
        guard.armed = false;
        result
    }
}

fn refused(retry_after: Duration) -> RequestFailure {
    RequestFailure {
        kind: ErrorKind::Overloaded,
        retry_after: Some(retry_after),
        detail: "the owner takes no more of this class".into(),
    }
}

fn unreachable() -> RequestFailure {
    RequestFailure::new(ErrorKind::OwnerUnreachable, "the owner cannot be reached")
}

fn lost() -> RequestFailure {
    RequestFailure::new(
        ErrorKind::ConnectionLost,
        "the owner was lost after the request was sent",
    )
}

#[derive(Debug)]
struct PendingCall {
    message: EncodedMessage,
    reply: oneshot::Sender<RequestResult>,
}

/// Result of a connection attempt.
enum ConnectResult {
    Connected(Box<ActiveConnection>),
    /// The addressed incarnation has ended, or nothing listens at its address.
    Ended,
    /// No connection within the time limit, or an error that does not show
    /// whether the incarnation has ended.
    Failed,
}

/// Reason why a connection is no longer used.
enum ConnectionEnd {
    /// The last clone of the link was dropped.
    Unused,
    /// The connection is closed or silent.
    Broken,
}

struct ActiveConnection {
    reader: ConnectionReader,
    sender: ConnectionSender,
    /// Silence is not counted from before this time.
    counted_from: Instant,
    /// Whether the owner was told on this connection when this process ends.
    is_end_told: bool,
}

impl ActiveConnection {
    /// Tells the owner when this process ends.
    async fn tell_end(&mut self, at: Instant) {
        let remaining = at.saturating_duration_since(Instant::now());
        let ending = encode_message(&PeerMessage::Ending { remaining });
        drop(self.sender.send(ending).await);
        self.is_end_told = true;
    }
}

struct LinkTask {
    from: Incarnation,
    end: ProcessEnd,
    budget: ByteBudget,
    to: Incarnation,
    address: SocketAddr,
    commands: mpsc::Receiver<LinkCommand>,
    load: Arc<ReportedLoad>,
    limiter: Arc<LinkLimiter>,
    /// Requests that were sent and have no result yet.
    pending: FastMap<RequestId, PendingCall>,
    last_used: Instant,
}

impl LinkTask {
    async fn run(mut self) {
        while let Some(command) = self.commands.recv().await {
            let Some(connection) = self.connect_for(command).await else {
                continue;
            };
            if self.run_connections(connection).await.is_err() {
                return;
            }
        }
    }

    /// Connects to send a first request. If that fails, the request fails as
    /// not run.
    async fn connect_for(&mut self, command: LinkCommand) -> Option<Box<ActiveConnection>> {
        let LinkCommand::Call { id, request, reply } = command else {
            return None;
        };
        match self.connect().await {
            ConnectResult::Connected(connection) => {
                self.send_call(&connection, id, request, reply).await;
                Some(connection)
            }
            ConnectResult::Ended | ConnectResult::Failed => {
                // The caller may have gone; then nobody waits for the result.
                drop(reply.send(Err(unreachable())));
                None
            }
        }
    }

    /// Uses a connection and its replacements until one breaks and needs no
    /// replacement. Returns an error if the last clone of the link was dropped.
    async fn run_connections(&mut self, mut connection: Box<ActiveConnection>) -> Result<(), ()> {
        loop {
            match self.run_connection(&mut connection).await {
                ConnectionEnd::Unused => return Err(()),
                ConnectionEnd::Broken => {}
            }
            drop(connection);
            let Some(replacement) = self.replace().await else {
                return Ok(());
            };
            connection = replacement;
        }
    }

    /// Connects again and resends the outstanding requests. If the owner has
    /// ended, fails all of them as lost and returns `None`.
    async fn replace(&mut self) -> Option<Box<ActiveConnection>> {
        loop {
            self.pending.retain(|_id, call| !call.reply.is_closed());
            if self.pending.is_empty() {
                return None;
            }
            match self.connect().await {
                ConnectResult::Connected(connection) => {
                    log::info!(
                        "transport: replaced the connection to {:x}, resending {} requests",
                        self.to,
                        self.pending.len()
                    );
                    self.resend_pending(&connection).await;
                    return Some(connection);
                }
                ConnectResult::Ended => {
                    log::info!(
                        "transport: {:x} has ended, {} requests are lost",
                        self.to,
                        self.pending.len()
                    );
                    self.fail_pending();
                    return None;
                }
                ConnectResult::Failed => self.fail_unsent(),
            }
        }
    }

    async fn resend_pending(&self, connection: &ActiveConnection) {
        for call in self.pending.values() {
            drop(connection.sender.send(call.message.clone()).await);
        }
    }

    fn fail_pending(&mut self) {
        for (_id, call) in self.pending.drain() {
            drop(call.reply.send(Err(lost())));
        }
    }

    /// Fails the requests that were not sent yet, so that the entry node can
    /// route them to another owner.
    fn fail_unsent(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            if let LinkCommand::Call { reply, .. } = command {
                drop(reply.send(Err(unreachable())));
            }
        }
    }

    async fn connect(&self) -> ConnectResult {
        let attempt = timeout(CONNECT_TIMEOUT, self.handshake()).await;
        match attempt {
            Ok(Ok(Some(connection))) => ConnectResult::Connected(Box::new(connection)),
            Ok(Ok(None)) => ConnectResult::Ended,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                ConnectResult::Ended
            }
            Ok(Err(error)) => {
                log::debug!("transport: failed to connect to {:x}: {error}", self.to);
                tokio::time::sleep(CHECK_INTERVAL).await;
                ConnectResult::Failed
            }
            Err(_elapsed) => ConnectResult::Failed,
        }
    }

    async fn handshake(&self) -> std::io::Result<Option<ActiveConnection>> {
        let stream = tokio::net::TcpStream::connect(self.address).await?;
        let (mut reader, sender) = connection::open_within(stream, self.budget.clone())?;
        let hello = PeerMessage::Hello {
            version: PROTOCOL_VERSION,
            from: self.from,
            to: self.to,
        };
        drop(sender.send(encode_message(&hello)).await);
        let welcome = reader.next().await?;
        let expected =
            matches!(welcome, Some(PeerMessage::Welcome { incarnation }) if incarnation == self.to);
        if welcome.is_none() {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        Ok(expected.then(|| ActiveConnection {
            reader,
            sender,
            counted_from: Instant::now(),
            is_end_told: false,
        }))
    }

    async fn run_connection(&mut self, connection: &mut ActiveConnection) -> ConnectionEnd {
        let mut ticks = TimerService.subscribe(CHECK_INTERVAL);
        loop {
            let end = self.step(connection, &mut ticks).await;
            if let Some(end) = end {
                return end;
            }
        }
    }

    async fn step(
        &mut self,
        connection: &mut ActiveConnection,
        ticks: &mut TickSubscription,
    ) -> Option<ConnectionEnd> {
        let writable = connection.sender.capacity() > 0;
        tokio::select! {
            received = connection.reader.next_received() => match received {
                Ok(Some(received)) => {
                    self.handle_received(received);
                    None
                }
                Ok(None) | Err(_) => Some(ConnectionEnd::Broken),
            },
            command = self.commands.recv(), if writable => match command {
                Some(command) => {
                    self.execute(connection, command).await;
                    None
                }
                None => Some(ConnectionEnd::Unused),
            },
            at = self.end.known(), if writable && !connection.is_end_told => {
                connection.tell_end(at).await;
                None
            }
            tick = ticks.next() => self.check(connection, tick),
        }
    }

    fn handle_received(&mut self, received: ReceivedMessage) {
        match received {
            ReceivedMessage::Whole(message) => self.handle_message(message),
            ReceivedMessage::RefusedResponse(id) => {
                if let Some(call) = self.pending.remove(&id) {
                    self.budget.record_refusal("a response of a peer");
                    drop(call.reply.send(Err(RequestFailure::new(
                        ErrorKind::ConnectionLost,
                        "the entry node had no room for the response",
                    ))));
                }
            }
            ReceivedMessage::RefusedRequest(_id) => {}
        }
    }

    fn handle_message(&mut self, message: PeerMessage) {
        if let PeerMessage::Response { id, result, load } = message {
            self.limiter.update(&load);
            if **self.load.load() != load {
                self.load.store(Arc::new(load));
            }
            // A result without a pending request arrived late, after a
            // cancellation, or twice. It is dropped.
            if let Some(call) = self.pending.remove(&id) {
                drop(call.reply.send(*result));
            }
        }
    }

    async fn execute(&mut self, connection: &ActiveConnection, command: LinkCommand) {
        match command {
            LinkCommand::Call { id, request, reply } => {
                self.send_call(connection, id, request, reply).await;
            }
            LinkCommand::Cancel { id } => {
                if self.pending.remove(&id).is_some() {
                    let cancel = encode_message(&PeerMessage::Cancel { id });
                    drop(connection.sender.send(cancel).await);
                }
            }
        }
    }

    async fn send_call(
        &mut self,
        connection: &ActiveConnection,
        id: RequestId,
        request: Box<RoutedRequest>,
        reply: oneshot::Sender<RequestResult>,
    ) {
        if reply.is_closed() {
            return;
        }
        let message = encode_message(&PeerMessage::Request { id, request });
        self.last_used = Instant::now();
        // From here on the request counts as sent, even if the connection fails.
        self.pending.insert(
            id,
            PendingCall {
                message: message.clone(),
                reply,
            },
        );
        drop(connection.sender.send(message).await);
    }

    fn check(
        &mut self,
        connection: &mut ActiveConnection,
        tick: TimerTick,
    ) -> Option<ConnectionEnd> {
        if tick.since_last > MAX_TICK_GAP {
            connection.counted_from = tick.now;
        }
        let in_use =
            !self.pending.is_empty() || tick.now.duration_since(self.last_used) < IN_USE_PERIOD;
        if !in_use {
            connection.counted_from = tick.now;
            return None;
        }
        // A large message takes a while to arrive on a slow link.
        let last_chunk = connection.reader.last_chunk();
        let silence = tick
            .now
            .saturating_duration_since(last_chunk.max(connection.counted_from));
        if silence > SILENCE_TIMEOUT {
            log::info!("transport: the connection to {:x} is silent", self.to);
            return Some(ConnectionEnd::Broken);
        }
        if silence > PING_AFTER {
            drop(
                connection
                    .sender
                    .try_send(encode_message(&PeerMessage::Ping)),
            );
        }
        None
    }
}
