//! Sends requests to an upstream over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use reqwest::Body;
use reqwest::Client;
use reqwest::Method;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::Url;
use reqwest::header::HeaderMap;
use reqwest::header::HeaderName;
use reqwest::header::HeaderValue;
use reqwest::redirect::Policy;

use super::service::CallError;
use super::service::DispatchId;
use super::service::UpstreamRequest;
use super::service::UpstreamService;
use crate::delivery::message::HeaderPair;
use crate::delivery::message::RoutedRequest;
use crate::delivery::message::UpstreamResponse;
use crate::held_bytes::body::BodyReader;
use crate::held_bytes::budget::ByteBudget;
use crate::state::record::ChainSubject;
use crate::state::record::UpstreamInfo;
use crate::upstream::condition::StatedCondition;

/// Time limit for connecting to an upstream, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for a cancellation or a health check.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 64;

const NOT_RUN: HeaderName = HeaderName::from_static("winch-not-run");
const SERVICE: HeaderName = HeaderName::from_static("winch-service");
const KEY: HeaderName = HeaderName::from_static("winch-key");
const SLICE: HeaderName = HeaderName::from_static("winch-slice");
const EPOCH: HeaderName = HeaderName::from_static("winch-epoch");
const LEASE_EXPIRES: HeaderName = HeaderName::from_static("winch-lease-expires");
const ORDER_ID: HeaderName = HeaderName::from_static("winch-order-id");
const DEADLINE: HeaderName = HeaderName::from_static("winch-deadline-ms");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// HTTP client of an upstream. Clones share the connections.
#[derive(Debug, Clone)]
pub struct HttpUpstream {
    client: Client,
    max_body_bytes: usize,
    responses: BodyReader,
}

impl HttpUpstream {
    /// Creates the client. A response whose body exceeds `max_body_bytes` bytes
    /// fails with [`CallError::Truncated`].
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP library cannot be initialized.
    pub fn new(max_body_bytes: usize) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .http1_only()
            .redirect(Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .tcp_nodelay(true)
            .build()?;
        Ok(Self {
            client,
            max_body_bytes,
            responses: BodyReader::new(max_body_bytes, ByteBudget::default()),
        })
    }

    /// Holds responses within `budget`. One for which there is no room fails with
    /// [`CallError::Truncated`].
    #[must_use]
    pub fn with_budget(self, budget: ByteBudget) -> Self {
        Self {
            responses: BodyReader::new(self.max_body_bytes, budget),
            ..self
        }
    }
}

impl UpstreamService for HttpUpstream {
    fn run(
        &self,
        request: UpstreamRequest,
    ) -> impl Future<Output = Result<UpstreamResponse, CallError>> + Send + 'static {
        run_request(self.client.clone(), self.responses.clone(), request)
    }

    fn cancel(
        &self,
        info: Arc<UpstreamInfo>,
        id: DispatchId,
    ) -> impl Future<Output = bool> + Send + 'static {
        cancel_request(self.client.clone(), info, id)
    }

    fn is_healthy(&self, info: Arc<UpstreamInfo>) -> impl Future<Output = bool> + Send + 'static {
        probe_health(self.client.clone(), info)
    }
}

async fn run_request(
    client: Client,
    responses: BodyReader,
    dispatch: UpstreamRequest,
) -> Result<UpstreamResponse, CallError> {
    let request = &dispatch.request;
    // Proof of "not run": a request that cannot be encoded was not sent.
    let url = upstream_url(dispatch.info.address, &request.path).ok_or(CallError::NotSent)?;
    let method =
        Method::from_bytes(request.method.as_bytes()).map_err(|_error| CallError::NotSent)?;
    let sent = client
        .request(method, url)
        .headers(upstream_headers(&dispatch))
        .body(request.body.clone())
        .send()
        .await;
    let response = match sent {
        Ok(response) => response,
        // Proof of "not run": the connection was never established.
        Err(error) if error.is_connect() || error.is_builder() => return Err(CallError::NotSent),
        Err(_) => return Err(CallError::Lost),
    };
    if is_refusal(&response) {
        return Err(CallError::Refused);
    }
    read_response(response, &responses, dispatch.token.epoch).await
}

async fn cancel_request(client: Client, info: Arc<UpstreamInfo>, id: DispatchId) -> bool {
    let path = ["/winch/orders/", &id].concat();
    let Some(url) = upstream_url(info.address, &path) else {
        return false;
    };
    let sent = client.delete(url).timeout(CONTROL_TIMEOUT).send().await;
    sent.is_ok_and(|response| response.status().is_success())
}

async fn probe_health(client: Client, info: Arc<UpstreamInfo>) -> bool {
    let Some(url) = upstream_url(info.address, "/winch/health") else {
        return false;
    };
    let sent = client.get(url).timeout(CONTROL_TIMEOUT).send().await;
    sent.is_ok_and(|response| response.status().is_success())
}

/// Returns whether the upstream refused the request. Proof of "not run": the
/// upstream states it with the status and the header that the interface
/// reserves for that.
fn is_refusal(response: &Response) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers()
            .get(NOT_RUN)
            .is_some_and(|value| value == "1")
}

async fn read_response(
    response: Response,
    responses: &BodyReader,
    epoch: u64,
) -> Result<UpstreamResponse, CallError> {
    let status = response.status().as_u16();
    let headers = response_headers(response.headers());
    let body = responses.read(Body::from(response)).await;
    let body = body.map_err(|error| {
        log::debug!("upstream: cannot read a response: {error}");
        CallError::Truncated
    })?;
    Ok(UpstreamResponse {
        status,
        headers,
        body,
        epoch,
        stated: StatedCondition::default(),
    })
}

fn upstream_url(address: SocketAddr, path: &str) -> Option<Url> {
    Url::parse(&format!("http://{address}{path}")).ok()
}

fn upstream_headers(dispatch: &UpstreamRequest) -> HeaderMap {
    let request = &dispatch.request;
    let mut headers = HeaderMap::with_capacity(request.headers.len() + 9);
    copy_headers(request, &mut headers);
    insert_text(&mut headers, SERVICE, &request.chain.service);
    insert_text(&mut headers, KEY, &request.key);
    insert_text(&mut headers, SLICE, &subject_text(&request.chain.subject));
    insert_text(&mut headers, ORDER_ID, &dispatch.id);
    headers.insert(EPOCH, HeaderValue::from(dispatch.token.epoch));
    let expires = unix_millis(dispatch.token.expires_at);
    headers.insert(LEASE_EXPIRES, HeaderValue::from(expires));
    if let Some(remaining) = dispatch.remaining {
        headers.insert(DEADLINE, HeaderValue::from(remaining.as_millis() as u64));
    }
    if let Some(key) = &request.idempotency_key {
        insert_text(&mut headers, IDEMPOTENCY_KEY, key);
    }
    headers
}

fn copy_headers(request: &RoutedRequest, headers: &mut HeaderMap) {
    for (name, value) in &request.headers {
        if is_connection_header(name) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

fn response_headers(headers: &HeaderMap) -> Vec<HeaderPair> {
    headers
        .iter()
        .filter(|(name, _)| !is_connection_header(name.as_str()))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().into(), value)
        })
        .collect()
}

/// Returns whether a header concerns one connection or the framing of one
/// message. Such headers are never forwarded.
fn is_connection_header(name: &str) -> bool {
    const NAMES: [&str; 9] = [
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    NAMES.iter().any(|other| name.eq_ignore_ascii_case(other))
}

fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Formats a chain's subject as the upstreams' interface defines it.
fn subject_text(subject: &ChainSubject) -> String {
    match subject {
        ChainSubject::Slice(slice) => format!("slice-{slice}"),
        ChainSubject::Key(key) => format!("key-{key:x}"),
        ChainSubject::Any => "any".to_owned(),
    }
}

fn unix_millis(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
