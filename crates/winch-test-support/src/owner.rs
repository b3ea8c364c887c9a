//! Fake ownership gate and upstream, and an owner service built on them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::base::ids::Epoch;
use buckthornwinch::delivery::message::RequestResult;
use buckthornwinch::delivery::message::RoutedRequest;
use buckthornwinch::delivery::message::UpstreamResponse;
use buckthornwinch::delivery::owner::OwnerService;
use buckthornwinch::delivery::settings::OwnerSettings;
use buckthornwinch::ownership::gate::FencingToken;
use buckthornwinch::ownership::gate::OwnershipGate;
use buckthornwinch::state::record::ChainKey;
use buckthornwinch::state::record::ChainSubject;
use buckthornwinch::state::record::UpstreamInfo;
use buckthornwinch::upstream::announce::UpstreamRegistry;
use buckthornwinch::upstream::condition::StatedCondition;
use buckthornwinch::upstream::service::CallError;
use buckthornwinch::upstream::service::DispatchId;
use buckthornwinch::upstream::service::UpstreamRequest;
use buckthornwinch::upstream::service::UpstreamService;
use bytes::Bytes;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::classes::example_classes;

/// An ownership gate that returns the result set by the test for every chain.
#[derive(Debug, Clone)]
pub struct FakeGate {
    verdict: Arc<Mutex<Result<Epoch, ErrorKind>>>,
}

impl FakeGate {
    /// Creates a gate that admits every request at epoch 1.
    pub fn open() -> Self {
        Self {
            verdict: Arc::new(Mutex::new(Ok(1))),
        }
    }

    /// Sets the epoch or the error that later admissions return.
    pub fn set(&self, verdict: Result<Epoch, ErrorKind>) {
        *locked(&self.verdict) = verdict;
    }
}

impl OwnershipGate for FakeGate {
    fn admit(&self, _chain: &ChainKey) -> Result<FencingToken, ErrorKind> {
        let epoch = (*locked(&self.verdict))?;
        Ok(FencingToken {
            epoch,
            expires_at: SystemTime::UNIX_EPOCH,
        })
    }
}

/// How a fake upstream handles one request.
#[derive(Debug, Clone, Copy)]
pub enum FakeReply {
    /// Runs the request for the given time, then responds with the count of
    /// requests started so far.
    Answer(Duration),
    /// Runs the request for the given time, then drops the connection.
    Lose(Duration),
    /// Accepts no connection, so the request is not sent.
    NoConnection,
    /// Refuses the request without running it.
    Refuse,
}

/// Calls received by a fake upstream and its scripted behavior.
#[derive(Debug, Default)]
pub struct UpstreamCalls {
    /// Paths of the requests started, in order.
    pub started: Vec<Box<str>>,
    /// Paths of the requests that ran to the end, in order, including those
    /// whose connection was dropped.
    pub ended: Vec<Box<str>>,
    /// Ids of the requests for which a cancellation arrived.
    pub cancelled: Vec<DispatchId>,
    /// Whether the health probe reports the upstream as unhealthy.
    pub reports_unhealthy: bool,
    replies: VecDeque<FakeReply>,
}

/// An upstream that gives scripted replies, then a default reply.
#[derive(Debug, Clone)]
pub struct FakeUpstream {
    ledger: Arc<Mutex<UpstreamCalls>>,
    default_reply: FakeReply,
}

impl FakeUpstream {
    /// Creates an upstream that handles every unscripted request with
    /// `default_reply`.
    pub fn new(default_reply: FakeReply) -> Self {
        Self {
            ledger: Arc::new(Mutex::new(UpstreamCalls::default())),
            default_reply,
        }
    }

    /// Queues replies for the next requests, after those already queued.
    pub fn script(&self, replies: &[FakeReply]) {
        locked(&self.ledger).replies.extend(replies);
    }

    /// Locks and returns the recorded calls.
    pub fn ledger(&self) -> MutexGuard<'_, UpstreamCalls> {
        locked(&self.ledger)
    }

    fn next_reply(&self) -> FakeReply {
        let scripted = locked(&self.ledger).replies.pop_front();
        scripted.unwrap_or(self.default_reply)
    }
}

impl UpstreamService for FakeUpstream {
    fn run(
        &self,
        request: UpstreamRequest,
    ) -> impl Future<Output = Result<UpstreamResponse, CallError>> + Send + 'static {
        let upstream = self.clone();
        async move {
            let (time, answered) = match upstream.next_reply() {
                FakeReply::Answer(time) => (time, true),
                FakeReply::Lose(time) => (time, false),
                FakeReply::NoConnection => return Err(CallError::NotSent),
                FakeReply::Refuse => return Err(CallError::Refused),
            };
            let path = request.request.path.clone();
            let number = {
                let mut ledger = upstream.ledger();
                ledger.started.push(path.clone());
                ledger.started.len()
            };
            tokio::time::sleep(time).await;
            upstream.ledger().ended.push(path);
            if !answered {
                return Err(CallError::Lost);
            }
            Ok(UpstreamResponse {
                status: 200,
                headers: Vec::new(),
                body: Bytes::from(format!("run {number}")),
                epoch: request.token.epoch,
                stated: StatedCondition::default(),
            })
        }
    }

    fn cancel(
        &self,
        _info: Arc<UpstreamInfo>,
        id: DispatchId,
    ) -> impl Future<Output = bool> + Send + 'static {
        self.ledger().cancelled.push(id);
        std::future::ready(true)
    }

    fn is_healthy(&self, _info: Arc<UpstreamInfo>) -> impl Future<Output = bool> + Send + 'static {
        std::future::ready(!self.ledger().reports_unhealthy)
    }
}

/// An owner service with a fake gate and a fake upstream.
#[derive(Debug)]
pub struct OwnerFixture {
    /// Decides whether the owner admits a request.
    pub gate: FakeGate,
    /// Runs the admitted requests and records them.
    pub upstream: FakeUpstream,
    /// Registry in which the upstream is announced.
    pub registry: UpstreamRegistry,
    /// The service under test.
    pub owner: Arc<OwnerService<FakeGate, FakeUpstream>>,
}

/// Builds an owner whose upstream has announced `slots` slots.
pub async fn owner_fixture(slots: u16, reply: FakeReply) -> OwnerFixture {
    let gate = FakeGate::open();
    let upstream = FakeUpstream::new(reply);
    let registry = UpstreamRegistry::new();
    registry.announce(upstream_info(slots));
    let settings = OwnerSettings::builder().incarnation(7).build();
    let owner = OwnerService::new(
        gate.clone(),
        upstream.clone(),
        registry.subscribe(),
        settings,
    );
    owner.set_classes(&example_classes());
    tokio::time::sleep(Duration::from_millis(1)).await;
    OwnerFixture {
        gate,
        upstream,
        registry,
        owner: Arc::new(owner),
    }
}

impl OwnerFixture {
    /// Handles a request and returns its result.
    pub async fn handle(&self, request: RoutedRequest) -> RequestResult {
        self.owner.handle(request, CancellationToken::new()).await
    }

    /// Handles a request in a background task.
    pub fn spawn(&self, request: RoutedRequest) -> JoinHandle<RequestResult> {
        let owner = Arc::clone(&self.owner);
        tokio::spawn(async move { owner.handle(request, CancellationToken::new()).await })
    }
}

/// Returns the announcement of an upstream that needs no cold start.
pub fn upstream_info(slots: u16) -> UpstreamInfo {
    UpstreamInfo {
        service: "orders".into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots,
        connections: slots * 4,
        checks_fence: true,
        accepts_cancel: true,
        max_request_duration: Duration::from_secs(30),
        cold_start: Duration::ZERO,
    }
}

/// Builds a request of the given class with one second left until its deadline.
pub fn order(class: &str, path: &str) -> RoutedRequest {
    RoutedRequest {
        chain: ChainKey {
            service: "orders".into(),
            subject: ChainSubject::Slice(3),
        },
        key: "shop-1".into(),
        class: class.into(),
        remaining: Some(Duration::from_secs(1)),
        target: None,
        idempotency_key: None,
        attempt: 1,
        caller: "screen-1".into(),
        method: "POST".into(),
        path: path.into(),
        headers: Vec::new(),
        body: Bytes::new(),
        stated: None,
        crashes: None,
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
