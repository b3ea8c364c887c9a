//! HTTP server for callers, with limits on connections, headers and bodies.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::dispatch::IncomingRequest;
use super::dispatch::RequestDispatcher;
use super::headers;
use super::request::RequestHead;
use super::request::check_headers;
use super::request::forwarded_headers;
use super::response::CallerResponse;
use super::response::respond;
use crate::base::error::ErrorKind;
use crate::delivery::message::RequestFailure;
use crate::delivery::message::RequestResult;
use crate::delivery::message::RoutedRequest;
use crate::held_bytes::body::BodyError;
use crate::held_bytes::body::BodyReader;
use crate::held_bytes::budget::ByteBudget;
use crate::held_bytes::connections::ConnectionPhase;
use crate::held_bytes::connections::OperatorTimeouts;
use crate::http_server::callers::CallerConnections;
use crate::http_server::metrics::ClosedConnections;
use crate::http_server::server::ClientLimits;
use crate::http_server::server::HttpHandler;
use crate::http_server::server::ListenerBounds;
use crate::http_server::server::OutgoingBody;
use crate::http_server::server::serve;
use crate::http_server::watched_stream::ConnectionWatch;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;
use crate::transport::server::OwnerRequestHandler;

/// Largest head of a request, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy)]
#[derive(bon::Builder)]
pub struct EntryLimits {
    /// Maximum number of open connections. A further one takes the place of the least
    /// useful one, or is closed if all are in use.
    pub max_connections: usize,
    /// Longest deadline that a caller may set.
    pub max_deadline: Duration,
    /// Maximum size of a request body, in bytes. Services may set a lower one.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request's headers.
    pub header_timeout: Duration,
    /// Time limit for receiving a request's body.
    pub body_timeout: Duration,
}

/// Is notified of each request when it is answered.
pub trait RequestObserver: Clone + Send + Sync + 'static {
    /// Records a request's class, its result and the time since its arrival.
    /// `class` is empty if the request's headers were refused.
    fn observe(&self, class: &str, result: &RequestResult, latency: Duration);
}

/// HTTP server for callers.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct EntryServer<H, O> {
    /// Sends requests to their owners.
    dispatcher: RequestDispatcher<H>,
    /// Limits on callers' connections and requests.
    limits: EntryLimits,
    /// Is told how requests ended.
    observer: O,
    /// Holds connections and bodies.
    budget: ByteBudget,
    /// Counts the connections that are closed.
    closed_connections: ClosedConnections,
}

impl<H: OwnerRequestHandler, O: RequestObserver> EntryServer<H, O> {
    /// Accepts connections until `stop` fires, then waits until the open ones
    /// have finished their requests.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        let callers = CallerConnections::default();
        let bounds = ListenerBounds {
            connections: self.limits.max_connections,
            budget: self.budget.clone(),
            closed_connections: self.closed_connections.clone(),
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = serve(listener, self, bounds, callers.clone()) => {}
        }
        callers.close();
        callers.wait_closed().await;
    }

    async fn answer(
        &self,
        parts: Parts,
        body: Incoming,
        watch: &ConnectionWatch,
    ) -> CallerResponse {
        let started = tokio::time::Instant::now();
        let table = self.dispatcher.routes().load();
        let head = match check_headers(&parts.headers, &table, self.limits.max_deadline) {
            Ok(head) => head,
            Err(failure) => return self.refuse("", failure, started.elapsed()),
        };
        drop(table);
        let limit = self.limits.max_body_bytes.min(head.max_body_bytes);
        let read = self.read_body(body, limit).await;
        watch.enter(ConnectionPhase::Answering);
        let body = match read {
            Ok(body) => body,
            Err(failure) => {
                return closing(self.refuse(&head.class, failure, started.elapsed()));
            }
        };
        let class = head.class.clone();
        let dispatched = self
            .dispatcher
            .dispatch(incoming_request(head, &parts, body))
            .await;
        self.observer
            .observe(&class, &dispatched.result, started.elapsed());
        respond(dispatched.result, dispatched.owner.as_deref())
    }

    /// Reads the body of a request.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, comes too slowly or breaks off, or if there is no
    /// room for it. The request has not run then.
    async fn read_body(&self, body: Incoming, limit: usize) -> Result<Bytes, RequestFailure> {
        let reader = BodyReader::new(limit, self.budget.clone());
        let Ok(read) = timeout(self.limits.body_timeout, reader.read(body)).await else {
            return Err(RequestFailure::new(
                ErrorKind::BodyTimeout,
                "the body did not arrive in time",
            ));
        };
        read.map_err(|error| match error {
            BodyError::TooLarge => RequestFailure::new(
                ErrorKind::BodyTooLarge,
                format!("the body exceeds {limit} bytes"),
            ),
            BodyError::NoRoom => {
                self.budget.record_refusal("a request body");
                RequestFailure::new(
                    ErrorKind::Overloaded,
                    "the process has no room for the body",
                )
            }
            BodyError::Broken(reason) => RequestFailure::new(
                ErrorKind::BodyTimeout,
                format!("the body broke off: {reason}"),
            ),
        })
    }

    fn refuse(&self, class: &str, failure: RequestFailure, latency: Duration) -> CallerResponse {
        let result = Err(failure);
        self.observer.observe(class, &result, latency);
        respond(result, None)
    }
}

impl<H: OwnerRequestHandler, O: RequestObserver> HttpHandler for EntryServer<H, O> {
    async fn handle(
        &self,
        request: Request<Incoming>,
        watch: &ConnectionWatch,
    ) -> Response<OutgoingBody> {
        let (mut parts, body) = request.into_parts();
        insert_default_caller(&mut parts.headers, watch.client());
        self.answer(parts, body, watch).await.map(Full::new)
    }

    fn limits(&self) -> Option<ClientLimits> {
        Some(ClientLimits {
            header_bytes: MAX_HEADER_BYTES,
            timeouts: OperatorTimeouts {
                head: self.limits.header_timeout,
                idle: IDLE_TIMEOUT,
            },
        })
    }
}

/// Adds that the connection is closed after the response, since it still carries the
/// rest of the request.
fn closing(mut response: CallerResponse) -> CallerResponse {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn insert_default_caller(headers: &mut HeaderMap, from: SocketAddr) {
    if !headers.contains_key(headers::CALLER)
        && let Ok(value) = HeaderValue::from_str(&from.ip().to_string())
    {
        headers.insert(headers::CALLER, value);
    }
}

fn incoming_request(head: RequestHead, parts: &Parts, body: Bytes) -> IncomingRequest {
    let path = parts.uri.path_and_query();
    let routed = RoutedRequest {
        chain: ChainKey {
            service: head.service,
            subject: ChainSubject::Any,
        },
        key: head.key,
        class: head.class,
        remaining: head.deadline,
        target: None,
        idempotency_key: head.idempotency_key,
        attempt: head.attempt,
        caller: head.caller,
        method: parts.method.as_str().into(),
        path: path.map_or("", |path| path.as_str()).into(),
        headers: forwarded_headers(&parts.headers),
        body,
        stated: None,
        crashes: None,
    };
    IncomingRequest {
        request: routed,
        idempotent: head.idempotent,
    }
}
