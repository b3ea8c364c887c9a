//! A naive router for comparison: it picks the upstream by the hash of the key
//! modulo the number of upstreams, forwards in order of arrival, sets no limits,
//! and retries every failure.

use std::net::SocketAddr;
use std::sync::Arc;

use buckthornwinch::base::collections::FastMap;
use buckthornwinch::base::hash::hash_key;
use bytes::Bytes;
use reqwest::Client;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use warp::Filter;
use warp::http::HeaderMap;
use warp::http::HeaderValue;
use warp::http::Response;
use warp::http::StatusCode;
use warp::path::FullPath;

use crate::load::generator::new_client;

const SERVICE_HEADER: &str = "winch-service";
const KEY_HEADER: &str = "winch-key";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const NOT_RUN_HEADER: &str = "winch-not-run";
const OUTCOME_HEADER: &str = "winch-outcome";

/// Attempts per request, the first included.
const ATTEMPTS: usize = 3;

type Answer = Response<Bytes>;

/// Upstream addresses by service name.
pub type UpstreamMap = FastMap<Box<str>, Vec<SocketAddr>>;

/// A running naive router. Dropping it stops the router.
#[derive(Debug)]
pub struct NaiveRouter {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl NaiveRouter {
    /// Starts a router on a free loopback port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(upstreams: UpstreamMap) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let forwarder = Arc::new(NaiveForwarder {
            client: new_client(),
            upstreams,
        });
        let routes = warp::any()
            .map(move || Arc::clone(&forwarder))
            .and(warp::path::full())
            .and(warp::header::headers_cloned())
            .and(warp::body::bytes())
            .then(forward);
        let task = tokio::spawn(warp::serve(routes).incoming(listener).run());
        Ok(Self { address, task })
    }

    /// Returns the address on which the router accepts callers' requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for NaiveRouter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct NaiveForwarder {
    client: Client,
    upstreams: UpstreamMap,
}

async fn forward(
    forwarder: Arc<NaiveForwarder>,
    path: FullPath,
    headers: HeaderMap,
    body: Bytes,
) -> Answer {
    let mut answer = with_status(StatusCode::BAD_GATEWAY);
    for _ in 0..ATTEMPTS {
        answer = forwarder.send(path.as_str(), &headers, body.clone()).await;
        if answer.status() == StatusCode::OK {
            break;
        }
    }
    answer
}

impl NaiveForwarder {
    async fn send(&self, path: &str, headers: &HeaderMap, body: Bytes) -> Answer {
        let Some(upstream) = self.upstream(headers) else {
            return with_outcome(with_status(StatusCode::NOT_FOUND), "not-run");
        };
        let mut call = self.client.post(format!("http://{upstream}{path}"));
        for name in [KEY_HEADER, IDEMPOTENCY_HEADER] {
            if let Some(value) = headers.get(name) {
                call = call.header(name, value);
            }
        }
        let Ok(response) = call.body(body).send().await else {
            return with_outcome(with_status(StatusCode::BAD_GATEWAY), "unknown");
        };
        let status = response.status();
        let outcome = match status {
            StatusCode::OK => "answered",
            _ if response.headers().contains_key(NOT_RUN_HEADER) => "not-run",
            _ => "unknown",
        };
        let Ok(body) = response.bytes().await else {
            return with_outcome(with_status(StatusCode::BAD_GATEWAY), "unknown");
        };
        let mut answer = Response::new(body);
        *answer.status_mut() = status;
        with_outcome(answer, outcome)
    }

    fn upstream(&self, headers: &HeaderMap) -> Option<SocketAddr> {
        let service = headers.get(SERVICE_HEADER)?.to_str().ok()?;
        let key = headers.get(KEY_HEADER)?.as_bytes();
        let upstreams = self.upstreams.get(service)?;
        let index = hash_key(key) % upstreams.len() as u64;
        upstreams.get(index as usize).copied()
    }
}

fn with_status(status: StatusCode) -> Answer {
    let mut answer = Response::new(Bytes::new());
    *answer.status_mut() = status;
    answer
}

fn with_outcome(mut answer: Answer, outcome: &'static str) -> Answer {
    let value = HeaderValue::from_static(outcome);
    answer.headers_mut().insert(OUTCOME_HEADER, value);
    answer
}
