//! Stand-in for the upstream of a sidecar.
//!
//! It announces itself to the sidecar and accepts grants and releases of key
//! ranges. If its service is sharded, it runs a request only while it holds the
//! key and answers 421 otherwise. Stand-ins that share a [`KeyWorld`] are checked
//! against each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use eyre::WrapErr;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::time::Instant;
use warp::Filter;
use warp::http::HeaderMap;
use warp::http::Response;

use crate::key_world::GrantCall;
use crate::key_world::KeyWorld;
use crate::key_world::RunStart;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Factor by which a request runs longer whose path begins with `/slow/`.
const SLOW_PATH_FACTOR: u32 = 20;

/// Settings of an upstream.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct KeyedSettings {
    /// Name of the upstream; a request for another name is answered with 421.
    #[builder(into)]
    pub instance: Box<str>,
    /// Service that it serves and announces.
    #[builder(into)]
    pub service: Box<str>,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Address that it announces. Default: `address`.
    #[builder(default = address)]
    pub announced: SocketAddr,
    /// Address at which the sidecar accepts announcements.
    pub announce_to: SocketAddr,
    /// Whether its service is sharded by key. Default: true.
    #[builder(default = true)]
    pub divided: bool,
    /// Prefix of the paths whose requests may run at most once. Default: `/`, all
    /// of them.
    #[builder(default = "/", into)]
    pub once_prefix: Box<str>,
    /// Time that a request runs. Default: 5 ms.
    #[builder(default = Duration::from_millis(5))]
    pub work: Duration,
}

/// Faults, set at run time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KeyedFaults {
    /// Time added to the run of each request.
    pub slower: Duration,
    /// Probability that a request that has run is answered with 500.
    pub fail: f64,
    /// Probability that a request that has run is never answered.
    pub lose_answer: f64,
}

/// Returns the body of the response to a request that ran at an instance.
pub fn answer_body(instance: &str, path: &str, id: &str) -> String {
    format!("{instance}{}", answer_end(path, id))
}

/// Returns the end of a complete response body, which doesn't depend on where the
/// request ran.
pub fn answer_end(path: &str, id: &str) -> String {
    format!(" ran {path} for {id}, end")
}

/// Returns the value of the `response-signature` header of a response.
pub fn answer_signature(id: &str) -> String {
    format!("signed-{id}")
}

#[derive(Debug)]
struct UpstreamShared {
    settings: KeyedSettings,
    started_unix_ms: u64,
    world: KeyWorld,
    faults: Mutex<KeyedFaults>,
    draining: AtomicBool,
}

/// A running upstream. Dropping it simulates a crash.
#[derive(Debug)]
pub struct KeyedStandin {
    shared: Arc<UpstreamShared>,
    /// A separate runtime, so that dropping it closes every connection.
    runtime: Option<Runtime>,
}

impl KeyedStandin {
    /// Starts an upstream that reports its grants and requests to `world`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the runtime cannot be started.
    pub fn start(settings: KeyedSettings, world: KeyWorld) -> eyre::Result<Self> {
        let listener = std::net::TcpListener::bind(settings.address)
            .wrap_err("cannot bind the upstream's address")?;
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .wrap_err("cannot start the upstream's runtime")?;
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let shared = Arc::new(UpstreamShared {
            settings,
            started_unix_ms: started.as_millis() as u64,
            world,
            faults: Mutex::default(),
            draining: AtomicBool::default(),
        });
        let served = Arc::clone(&shared);
        runtime.spawn(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => serve(listener, served).await,
                Err(error) => log::error!("upstream: cannot serve: {error}"),
            }
        });
        runtime.spawn(announce(Arc::clone(&shared)));
        Ok(Self {
            shared,
            runtime: Some(runtime),
        })
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: KeyedFaults) {
        let current = &self.shared.faults;
        *current.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Announces from now on that the upstream drains. It still serves requests.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }
}

impl Drop for KeyedStandin {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.shared.world.end_life(&self.shared.settings.instance);
    }
}

async fn announce(shared: Arc<UpstreamShared>) {
    let client = reqwest::Client::new();
    let settings = &shared.settings;
    let url = format!(
        "http://{}/Instances.Heartbeat/{}",
        settings.announce_to, settings.instance
    );
    for number in 1_u64.. {
        let draining = shared.draining.load(Ordering::Relaxed);
        let state = if draining { "draining" } else { "ready" };
        let body = json!({
            "service": settings.service, "address": settings.announced, "zone": "a",
            "version": "v1", "slots": 8, "state": state, "coldRemaining": "0ms", "seq": number,
            "born": shared.started_unix_ms,
        });
        // A sidecar that is down misses the announcement, as in production.
        let response = client.post(&url).json(&body).send().await;
        if draining && response.is_ok_and(|response| response.status().is_success()) {
            shared.world.note_drain(&settings.instance, Instant::now());
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn serve(listener: TcpListener, shared: Arc<UpstreamShared>) {
    let with_shared = warp::any().map(move || Arc::clone(&shared));
    let grant = warp::post()
        .and(warp::path!("grant"))
        .and(warp::body::json())
        .and(with_shared.clone())
        .map(|call: GrantCall, shared: Arc<UpstreamShared>| {
            let accepted = shared.world.grant(&shared.settings.instance, &call);
            reply(if accepted { 200 } else { 409 }, &[], Bytes::new())
        });
    let release = warp::post()
        .and(warp::path!("release"))
        .and(warp::body::json())
        .and(with_shared.clone())
        .map(|call: GrantCall, shared: Arc<UpstreamShared>| {
            let instance = &shared.settings.instance;
            shared.world.release(instance, call.from, call.to);
            reply(200, &[("handover", "state")], Bytes::new())
        });
    let request = warp::any()
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(with_shared)
        .then(
            |path: warp::path::FullPath, headers: HeaderMap, shared: Arc<UpstreamShared>| async move {
                answer_request(path.as_str(), &headers, &shared).await
            },
        );
    warp::serve(grant.or(release).or(request))
        .incoming(listener)
        .run()
        .await;
}

async fn answer_request(
    path: &str,
    headers: &HeaderMap,
    shared: &UpstreamShared,
) -> Response<Bytes> {
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    let settings = &shared.settings;
    let id = text("request-id");
    let start = RunStart {
        instance: &settings.instance,
        id,
        path,
        key: settings
            .divided
            .then(|| text("shard-key").parse().unwrap_or_default()),
        once: path.starts_with(&*settings.once_prefix),
    };
    if text("expected-instance") != &*settings.instance || !shared.world.begin(&start) {
        return reply(
            421,
            &[("not-executed", "1"), ("request-id", id)],
            Bytes::new(),
        );
    }
    let faults = *shared.faults.lock().unwrap_or_else(PoisonError::into_inner);
    let factor = if path.starts_with("/slow/") {
        SLOW_PATH_FACTOR
    } else {
        1
    };
    tokio::time::sleep(settings.work * factor + faults.slower).await;
    if rand::random_bool(faults.lose_answer.clamp(0.0, 1.0)) {
        std::future::pending::<()>().await;
    }
    let signature = answer_signature(id);
    let headers = [("response-signature", &*signature), ("request-id", id)];
    if rand::random_bool(faults.fail.clamp(0.0, 1.0)) {
        return reply(500, &headers, Bytes::new());
    }
    reply(200, &headers, answer_body(&settings.instance, path, id))
}

fn reply(status: u16, headers: &[(&str, &str)], body: impl Into<Bytes>) -> Response<Bytes> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(body.into()).expect("the headers are valid")
}
