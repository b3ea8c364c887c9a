//! HTTP server for callers, with limits on connections, headers and bodies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use warp::Filter;
use warp::http::HeaderMap;
use warp::http::HeaderValue;
use warp::http::Method;

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
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;
use crate::transport::server::OwnerRequestHandler;

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy)]
#[derive(bon::Builder)]
pub struct EntryLimits {
    /// Maximum number of open connections. Further ones wait to be accepted.
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
pub struct EntryServer<H, O> {
    dispatcher: RequestDispatcher<H>,
    limits: EntryLimits,
    observer: O,
}

struct CallerRequest {
    method: Method,
    path: Box<str>,
    headers: HeaderMap,
}

impl<H: OwnerRequestHandler, O: RequestObserver> EntryServer<H, O> {
    /// Creates a server that sends requests to `dispatcher` and reports their
    /// results to `observer`.
    pub fn new(dispatcher: RequestDispatcher<H>, limits: EntryLimits, observer: O) -> Self {
        Self {
            dispatcher,
            limits,
            observer,
        }
    }

    /// Accepts connections until `stop` fires, then waits until the open ones
    /// have finished their requests.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        let permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let connections = TaskTracker::new();
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                break;
            };
            tokio::select! {
                () = stop.cancelled() => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, from)) => {
                        connections.spawn(self.clone().serve_connection(stream, from, permit, stop.clone()));
                    }
                    Err(error) => {
                        log::warn!("entry: failed to accept a connection: {error}");
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                },
            }
        }
        drop(listener);
        connections.close();
        connections.wait().await;
    }

    async fn serve_connection(
        self,
        stream: TcpStream,
        from: SocketAddr,
        _permit: OwnedSemaphorePermit,
        stop: CancellationToken,
    ) {
        drop(stream.set_nodelay(true));
        let header_timeout = self.limits.header_timeout;
        let service = TowerToHyperService::new(warp::service(self.routes(from)));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(header_timeout)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("entry: closed the connection from {from}: {error}");
        }
    }

    fn routes(
        self,
        from: SocketAddr,
    ) -> impl Filter<Extract = (CallerResponse,), Error = warp::Rejection> + Clone + Send + Sync + 'static
    {
        let query = warp::query::raw()
            .map(|query| format!("?{query}"))
            .or(warp::any().map(String::new))
            .unify();
        warp::method()
            .and(warp::path::full())
            .and(query)
            .and(warp::header::headers_cloned())
            .and(warp::body::stream())
            .then(
                move |method,
                      path: warp::path::FullPath,
                      query: String,
                      mut headers: HeaderMap,
                      body| {
                    let server = self.clone();
                    insert_default_caller(&mut headers, from);
                    let request = CallerRequest {
                        method,
                        path: format!("{}{query}", path.as_str()).into(),
                        headers,
                    };
                    async move { server.handle(request, body).await }
                },
            )
    }

    async fn handle<B: Buf>(
        &self,
        request: CallerRequest,
        body: impl Stream<Item = Result<B, warp::Error>> + Send,
    ) -> CallerResponse {
        let started = tokio::time::Instant::now();
        let table = self.dispatcher.routes().load();
        let head = match check_headers(&request.headers, &table, self.limits.max_deadline) {
            Ok(head) => head,
            Err(failure) => return self.refuse("", failure, started.elapsed()),
        };
        drop(table);
        let limit = self.limits.max_body_bytes.min(head.max_body_bytes);
        let body = match timeout(self.limits.body_timeout, collect_body(body, limit)).await {
            Ok(Ok(body)) => body,
            Ok(Err(failure)) => return self.refuse(&head.class, failure, started.elapsed()),
            Err(_elapsed) => {
                let failure =
                    RequestFailure::new(ErrorKind::BodyTimeout, "the body did not arrive in time");
                return self.refuse(&head.class, failure, started.elapsed());
            }
        };
        let class = head.class.clone();
        let dispatched = self
            .dispatcher
            .dispatch(incoming_request(head, request, body))
            .await;
        self.observer
            .observe(&class, &dispatched.result, started.elapsed());
        respond(dispatched.result, dispatched.owner.as_deref())
    }

    fn refuse(&self, class: &str, failure: RequestFailure, latency: Duration) -> CallerResponse {
        let result = Err(failure);
        self.observer.observe(class, &result, latency);
        respond(result, None)
    }
}

fn insert_default_caller(headers: &mut HeaderMap, from: SocketAddr) {
    if !headers.contains_key(headers::CALLER)
        && let Ok(value) = HeaderValue::from_str(&from.ip().to_string())
    {
        headers.insert(headers::CALLER, value);
    }
}

fn incoming_request(head: RequestHead, request: CallerRequest, body: Bytes) -> IncomingRequest {
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
        method: request.method.as_str().into(),
        path: request.path,
        headers: forwarded_headers(&request.headers),
        body,
        stated: None,
        crashes: None,
    };
    IncomingRequest {
        request: routed,
        idempotent: head.idempotent,
    }
}

async fn collect_body<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    limit: usize,
) -> Result<Bytes, RequestFailure> {
    let mut collected = BytesMut::new();
    let mut body = std::pin::pin!(body);
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|error| {
            RequestFailure::new(
                ErrorKind::BodyTimeout,
                format!("the body broke off: {error}"),
            )
        })?;
        if collected.len() + part.remaining() > limit {
            return Err(RequestFailure::new(
                ErrorKind::BodyTooLarge,
                format!("the body exceeds {limit} bytes"),
            ));
        }
        collected.extend_from_slice(&part.copy_to_bytes(part.remaining()));
    }
    Ok(collected.freeze())
}
