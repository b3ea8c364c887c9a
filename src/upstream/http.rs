//! Orders to an upstream over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use bytes::BytesMut;
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
use crate::state::record::ChainSubject;
use crate::state::record::UpstreamInfo;

/// How long a new connection to an upstream on the same VM may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a cancellation or a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept to the upstream.
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

/// An upstream reached over HTTP.
#[derive(Debug, Clone)]
pub struct HttpUpstream {
    client: Client,
    max_answer: usize,
}

impl HttpUpstream {
    /// Creates the client; answers may be `max_answer` bytes long.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library cannot be set up.
    pub fn new(max_answer: usize) -> Result<Self, reqwest::Error> {
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
        Ok(Self { client, max_answer })
    }
}

impl UpstreamService for HttpUpstream {
    fn run(
        &self,
        request: UpstreamRequest,
    ) -> impl Future<Output = Result<UpstreamResponse, CallError>> + Send + 'static {
        run_order(self.client.clone(), self.max_answer, request)
    }

    fn cancel(
        &self,
        info: Arc<UpstreamInfo>,
        id: DispatchId,
    ) -> impl Future<Output = bool> + Send + 'static {
        cancel_order(self.client.clone(), info, id)
    }

    fn is_healthy(&self, info: Arc<UpstreamInfo>) -> impl Future<Output = bool> + Send + 'static {
        probe_health(self.client.clone(), info)
    }
}

async fn run_order(
    client: Client,
    max_answer: usize,
    order: UpstreamRequest,
) -> Result<UpstreamResponse, CallError> {
    let request = &order.request;
    // Nothing was sent when the request cannot even be written.
    let url = upstream_url(order.info.address, &request.path).ok_or(CallError::NotSent)?;
    let method =
        Method::from_bytes(request.method.as_bytes()).map_err(|_error| CallError::NotSent)?;
    let sent = client
        .request(method, url)
        .headers(order_headers(&order))
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
    read_answer(response, max_answer, order.token.epoch).await
}

async fn cancel_order(client: Client, info: Arc<UpstreamInfo>, id: DispatchId) -> bool {
    let path = ["/winch/orders/", &id].concat();
    let Some(url) = upstream_url(info.address, &path) else {
        return false;
    };
    let sent = client.delete(url).timeout(PROBE_TIMEOUT).send().await;
    sent.is_ok_and(|response| response.status().is_success())
}

async fn probe_health(client: Client, info: Arc<UpstreamInfo>) -> bool {
    let Some(url) = upstream_url(info.address, "/winch/health") else {
        return false;
    };
    let sent = client.get(url).timeout(PROBE_TIMEOUT).send().await;
    sent.is_ok_and(|response| response.status().is_success())
}

/// Proof of "not run": the upstream itself states it, with the status and the
/// header that the interface reserves for that.
fn is_refusal(response: &Response) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers()
            .get(NOT_RUN)
            .is_some_and(|value| value == "1")
}

async fn read_answer(
    mut response: Response,
    max_answer: usize,
    epoch: u64,
) -> Result<UpstreamResponse, CallError> {
    let status = response.status().as_u16();
    let headers = answer_headers(response.headers());
    let body = read_body(&mut response, max_answer).await?;
    Ok(UpstreamResponse {
        status,
        headers,
        body,
        epoch,
    })
}

async fn read_body(response: &mut Response, max_answer: usize) -> Result<Bytes, CallError> {
    let mut whole = BytesMut::new();
    let mut first = Bytes::new();
    loop {
        let chunk = response
            .chunk()
            .await
            .map_err(|_error| CallError::Truncated)?;
        let Some(chunk) = chunk else {
            return Ok(joined_body(first, &whole));
        };
        if first.len() + whole.len() + chunk.len() > max_answer {
            return Err(CallError::Truncated);
        }
        if first.is_empty() {
            first = chunk;
        } else {
            whole.extend_from_slice(&chunk);
        }
    }
}

/// Most answers come in one chunk, which is passed on without a copy.
fn joined_body(first: Bytes, rest: &BytesMut) -> Bytes {
    if rest.is_empty() {
        return first;
    }
    let mut body = BytesMut::with_capacity(first.len() + rest.len());
    body.extend_from_slice(&first);
    body.extend_from_slice(rest);
    body.freeze()
}

fn upstream_url(address: SocketAddr, path: &str) -> Option<Url> {
    Url::parse(&format!("http://{address}{path}")).ok()
}

fn order_headers(order: &UpstreamRequest) -> HeaderMap {
    let request = &order.request;
    let mut headers = HeaderMap::with_capacity(request.headers.len() + 9);
    copy_headers(request, &mut headers);
    insert_text(&mut headers, SERVICE, &request.chain.service);
    insert_text(&mut headers, KEY, &request.key);
    insert_text(&mut headers, SLICE, &subject_text(&request.chain.subject));
    insert_text(&mut headers, ORDER_ID, &order.id);
    headers.insert(EPOCH, HeaderValue::from(order.token.epoch));
    let expires = unix_millis(order.token.expires_at);
    headers.insert(LEASE_EXPIRES, HeaderValue::from(expires));
    if let Some(remaining) = order.remaining {
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

fn answer_headers(headers: &HeaderMap) -> Vec<HeaderPair> {
    headers
        .iter()
        .filter(|(name, _)| !is_connection_header(name.as_str()))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().into(), value)
        })
        .collect()
}

/// Headers that concern one connection or one framing, and are never passed on.
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

/// Writes a chain's subject as the upstreams' interface spells it.
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
