//! How an upstream makes itself known to the process on its VM.
//!
//! An announcement counts until the upstream leaves or stays silent for
//! [`ANNOUNCEMENT_TIMEOUT`]. Silence is measured by the registry's own ticks, so that
//! a pause of this process is not taken for the upstream's silence.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use warp::Filter;
use warp::Rejection;
use warp::Reply;
use warp::http::StatusCode;

use crate::base::timer::TimerService;
use crate::state::record::UpstreamInfo;

/// How often the registry looks for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// An upstream that was silent for so many checks is gone.
const SILENT_CHECKS: u32 = 6;
/// How long an upstream may be silent.
pub const ANNOUNCEMENT_TIMEOUT: Duration = CHECK_INTERVAL.saturating_mul(SILENT_CHECKS);
/// Largest announcement, in bytes.
const MAX_ANNOUNCEMENT: u64 = 16 * 1024;

/// The body of an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAnnouncement {
    /// The service that the upstream serves.
    pub service: Box<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: u16,
    /// How many connections it accepts.
    pub connections: u16,
    /// Whether it checks the epoch and expiry of each order.
    pub checks_fence: bool,
    /// Whether it accepts cancellation.
    pub accepts_cancel: bool,
    /// How long one order may run at most, in milliseconds.
    pub longest_order_ms: u64,
    /// How long it takes to warm up, in milliseconds.
    pub cold_start_ms: u64,
}

impl From<UpstreamAnnouncement> for UpstreamInfo {
    fn from(announcement: UpstreamAnnouncement) -> Self {
        Self {
            service: announcement.service,
            address: announcement.address,
            slots: announcement.slots,
            connections: announcement.connections,
            checks_fence: announcement.checks_fence,
            accepts_cancel: announcement.accepts_cancel,
            longest_order: Duration::from_millis(announcement.longest_order_ms),
            cold_start: Duration::from_millis(announcement.cold_start_ms),
        }
    }
}

/// Receives the latest announcement; none when there is no upstream.
pub type UpstreamWatch = watch::Receiver<Option<Arc<UpstreamInfo>>>;

/// Keeps the latest announcement of this VM's upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRegistry {
    published: Arc<watch::Sender<Option<Arc<UpstreamInfo>>>>,
    silent_checks: Arc<AtomicU32>,
}

impl UpstreamRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        let (published, _receiver) = watch::channel(None);
        Self {
            published: Arc::new(published),
            silent_checks: Arc::new(AtomicU32::new(0)),
        }
    }

    /// Subscribes to the latest announcement.
    pub fn subscribe(&self) -> UpstreamWatch {
        self.published.subscribe()
    }

    /// Takes an announcement.
    pub fn announce(&self, info: UpstreamInfo) {
        self.silent_checks.store(0, Ordering::Relaxed);
        self.published.send_if_modified(|current| {
            if current.as_deref() == Some(&info) {
                return false;
            }
            log::info!(
                "upstream: {} of {} announced {} slots",
                info.address,
                info.service,
                info.slots
            );
            *current = Some(Arc::new(info));
            true
        });
    }

    /// Takes the upstream's word that it leaves.
    pub fn deregister(&self) {
        self.forget("is leaving");
    }

    /// Forgets a silent upstream; runs until the registry's last subscriber is
    /// gone.
    pub async fn expire_announcements(self, timer: TimerService) {
        let mut ticks = timer.subscribe(CHECK_INTERVAL);
        while !self.published.is_closed() {
            ticks.next().await;
            let silent = self.silent_checks.fetch_add(1, Ordering::Relaxed) + 1;
            if silent > SILENT_CHECKS {
                self.forget("went silent");
            }
        }
    }

    fn forget(&self, reason: &str) {
        self.published.send_if_modified(|current| {
            let Some(info) = current.take() else {
                return false;
            };
            log::info!("upstream: {} of {} {reason}", info.address, info.service);
            true
        });
    }
}

impl Default for UpstreamRegistry {
    fn default() -> Self {
        Self::new()
    }
}

/// The announcement endpoint: `POST` and `DELETE` of `/v1/announce`.
pub fn announce_routes(
    registry: UpstreamRegistry,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let registry = warp::any().map(move || registry.clone());
    let path = warp::path!("v1" / "announce");
    let announce = path
        .and(warp::post())
        .and(registry.clone())
        .and(warp::body::content_length_limit(MAX_ANNOUNCEMENT))
        .and(warp::body::json())
        .map(|registry: UpstreamRegistry, body| take_announcement(&registry, body));
    let deregister = path
        .and(warp::delete())
        .and(registry)
        .map(|registry: UpstreamRegistry| {
            registry.deregister();
            StatusCode::NO_CONTENT
        });
    announce.or(deregister).unify()
}

fn take_announcement(registry: &UpstreamRegistry, body: UpstreamAnnouncement) -> StatusCode {
    if body.slots == 0 || body.connections == 0 {
        return StatusCode::BAD_REQUEST;
    }
    registry.announce(body.into());
    StatusCode::NO_CONTENT
}
