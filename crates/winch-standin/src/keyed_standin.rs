//! Stand-in of an upstream that holds key ranges under fenced grants.
//!
//! It announces itself to the process beside it, takes grants and releases, runs
//! a request only while it holds the key, and answers 421 otherwise. All
//! stand-ins of one [`KeyWorld`] check each other: a grant of a key that another
//! one still holds, a fence that does not rise and a request that runs twice are
//! noted as violations.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use warp::Filter;
use warp::http::HeaderMap;
use warp::http::Response;

/// A range that one upstream holds.
#[derive(Debug, Clone)]
struct HeldKeys {
    instance: Box<str>,
    first: u16,
    last: u16,
    fence: u64,
    until: Instant,
}

#[derive(Debug, Default)]
struct WorldState {
    held: Vec<HeldKeys>,
    runs: HashMap<Box<str>, u32>,
    violations: Vec<String>,
}

/// What all upstreams of a test hold and ran. Cloning shares it.
#[derive(Debug, Clone, Default)]
pub struct KeyWorld {
    state: Arc<Mutex<WorldState>>,
}

impl KeyWorld {
    /// Returns what went wrong so far.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns how many requests ran.
    pub fn runs(&self) -> usize {
        self.lock().runs.len()
    }

    fn lock(&self) -> MutexGuard<'_, WorldState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn grant(&self, instance: &str, grant: &GrantCall, hold: Duration) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let overlaps = |held: &HeldKeys| held.first <= grant.to && grant.from <= held.last;
        let others: Vec<HeldKeys> = state
            .held
            .iter()
            .filter(|held| overlaps(held) && *held.instance != *instance)
            .cloned()
            .collect();
        for other in others {
            if other.until > now {
                let text = format!("{instance} is granted {grant:?} while {other:?}");
                state.violations.push(text);
            }
            if other.fence >= grant.fence {
                let text = format!("{instance} is granted {grant:?}, not above {other:?}");
                state.violations.push(text);
                return false;
            }
        }
        state.held.push(HeldKeys {
            instance: instance.into(),
            first: grant.from,
            last: grant.to,
            fence: grant.fence,
            until: now + hold,
        });
        true
    }

    fn release(&self, instance: &str, first: u16, last: u16) {
        let now = Instant::now();
        let mut state = self.lock();
        let mut kept = Vec::new();
        for held in std::mem::take(&mut state.held) {
            let inside = held.first <= last && first <= held.last;
            if *held.instance != *instance || !inside {
                kept.push(held);
                continue;
            }
            if held.first < first {
                kept.push(HeldKeys {
                    last: first - 1,
                    ..held.clone()
                });
            }
            if held.last > last {
                kept.push(HeldKeys {
                    first: last + 1,
                    ..held.clone()
                });
            }
            kept.push(HeldKeys {
                first: held.first.max(first),
                last: held.last.min(last),
                until: now,
                ..held
            });
        }
        state.held = kept;
    }

    fn begin(&self, instance: &str, id: &str, key: u16) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let holds = state.held.iter().any(|held| {
            *held.instance == *instance && held.first <= key && key <= held.last && held.until > now
        });
        if holds {
            let runs = state.runs.entry(id.into()).or_default();
            *runs += 1;
            if *runs > 1 {
                state
                    .violations
                    .push(format!("{id} runs again at {instance}"));
            }
        }
        holds
    }
}

/// How an upstream is set up.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct KeyedSettings {
    /// Its name.
    #[builder(into)]
    pub instance: Box<str>,
    /// The service that it serves.
    #[builder(into)]
    pub service: Box<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it announces itself.
    pub announce_to: SocketAddr,
    /// How long a request takes.
    #[builder(default = Duration::from_millis(5))]
    pub work: Duration,
}

#[derive(Debug, Clone, Deserialize)]
struct GrantCall {
    from: u16,
    to: u16,
    fence: u64,
    #[serde(default)]
    hold_time: String,
}

/// A running upstream; it stops when this is dropped.
#[derive(Debug)]
pub struct KeyedStandin {
    tasks: Vec<JoinHandle<()>>,
}

impl KeyedStandin {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Fails if its address cannot be bound.
    pub async fn start(settings: KeyedSettings, world: KeyWorld) -> eyre::Result<Self> {
        let listener = TcpListener::bind(settings.address)
            .await
            .wrap_err("cannot bind the upstream")?;
        let settings = Arc::new(settings);
        let served = tokio::spawn(serve(listener, Arc::clone(&settings), world));
        let announced = tokio::spawn(announce(settings));
        Ok(Self {
            tasks: vec![served, announced],
        })
    }
}

impl Drop for KeyedStandin {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn announce(settings: Arc<KeyedSettings>) {
    let client = reqwest::Client::new();
    let url = format!(
        "http://{}/Instances.Heartbeat/{}",
        settings.announce_to, settings.instance
    );
    for number in 1_u64.. {
        let body = json!({
            "service": settings.service, "address": settings.address, "zone": "a", "version": "v1",
            "slots": 8, "state": "ready", "coldRemaining": "0ms", "seq": number, "born": 1_000,
        });
        // A process that is away misses the announcement, as in the field.
        drop(client.post(&url).json(&body).send().await);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

async fn serve(listener: TcpListener, settings: Arc<KeyedSettings>, world: KeyWorld) {
    let with_parts = {
        let parts = (settings, world);
        warp::any().map(move || parts.clone())
    };
    let grant = warp::post()
        .and(warp::path!("grant"))
        .and(warp::body::json())
        .and(with_parts.clone())
        .map(
            |call: GrantCall, (settings, world): (Arc<KeyedSettings>, KeyWorld)| {
                let text = call.hold_time.trim_end_matches("ms");
                let hold = Duration::from_millis(text.parse().unwrap_or_default());
                let taken = world.grant(&settings.instance, &call, hold);
                reply(if taken { 200 } else { 409 }, &[], Bytes::new())
            },
        );
    let release = warp::post()
        .and(warp::path!("release"))
        .and(warp::body::json())
        .and(with_parts.clone())
        .map(
            |call: GrantCall, (settings, world): (Arc<KeyedSettings>, KeyWorld)| {
                world.release(&settings.instance, call.from, call.to);
                reply(200, &[("handover", "state")], Bytes::new())
            },
        );
    let work = warp::any()
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(with_parts)
        .then(
            |path: warp::path::FullPath,
             headers: HeaderMap,
             parts: (Arc<KeyedSettings>, KeyWorld)| async move {
                answer_work(path.as_str(), &headers, &parts.0, &parts.1).await
            },
        );
    warp::serve(grant.or(release).or(work))
        .incoming(listener)
        .run()
        .await;
}

async fn answer_work(
    path: &str,
    headers: &HeaderMap,
    settings: &KeyedSettings,
    world: &KeyWorld,
) -> Response<Bytes> {
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    let id = text("request-id");
    let expected = text("expected-instance");
    let key = text("shard-key").parse().unwrap_or_default();
    if expected != &*settings.instance || !world.begin(&settings.instance, id, key) {
        return reply(
            421,
            &[("not-executed", "1"), ("request-id", id)],
            Bytes::new(),
        );
    }
    tokio::time::sleep(settings.work).await;
    let body = format!("{} ran {path}", settings.instance);
    reply(
        200,
        &[("response-signature", "signed"), ("request-id", id)],
        body,
    )
}

fn reply(status: u16, headers: &[(&str, &str)], body: impl Into<Bytes>) -> Response<Bytes> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(body.into()).expect("valid headers")
}
