//! Announcements with which an upstream registers at the process on its VM.
//!
//! An announcement is valid until the upstream withdraws it or does not repeat
//! it for [`ANNOUNCEMENT_TIMEOUT`]. That time is counted in ticks of the
//! registry, so that a pause of this process is not taken for silence of the
//! upstream.

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

/// Interval at which the registry checks for a missing announcement.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of consecutive checks without an announcement.
const MAX_MISSED_CHECKS: u32 = 6;
/// How long an announcement is valid without being repeated; 1.5 s.
pub const ANNOUNCEMENT_TIMEOUT: Duration = CHECK_INTERVAL.saturating_mul(MAX_MISSED_CHECKS);
/// Maximum size of an announcement's body.
const MAX_ANNOUNCEMENT_BYTES: u64 = 16 * 1024;

/// JSON body of an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAnnouncement {
    /// Name of the service that the upstream serves.
    pub service: Box<str>,
    /// Address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the upstream runs at once, at least 1.
    pub slots: u16,
    /// Number of connections that the upstream accepts, at least 1.
    pub connections: u16,
    /// Whether the upstream checks the epoch and lease expiry of each request.
    pub checks_fence: bool,
    /// Whether the upstream accepts the cancellation of a running request.
    pub accepts_cancel: bool,
    /// Maximum run time of one request, in milliseconds.
    pub longest_order_ms: u64,
    /// Time that the upstream needs to warm up, in milliseconds.
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
            max_request_duration: Duration::from_millis(announcement.longest_order_ms),
            cold_start: Duration::from_millis(announcement.cold_start_ms),
        }
    }
}

/// Receives the latest announcement; `None` while there is no upstream.
pub type UpstreamWatch = watch::Receiver<Option<Arc<UpstreamInfo>>>;

/// Holds the latest announcement of this VM's upstream. Clones share it.
#[derive(Debug, Clone)]
pub struct UpstreamRegistry {
    published: Arc<watch::Sender<Option<Arc<UpstreamInfo>>>>,
    missed_checks: Arc<AtomicU32>,
}

impl UpstreamRegistry {
    /// Creates a registry without an announcement.
    pub fn new() -> Self {
        let (published, _receiver) = watch::channel(None);
        Self {
            published: Arc::new(published),
            missed_checks: Arc::new(AtomicU32::new(0)),
        }
    }

    /// Returns a receiver of the latest announcement.
    pub fn subscribe(&self) -> UpstreamWatch {
        self.published.subscribe()
    }

    /// Records an announcement. Subscribers are notified only if it differs
    /// from the previous one.
    pub fn announce(&self, info: UpstreamInfo) {
        self.missed_checks.store(0, Ordering::Relaxed);
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

    /// Removes the announcement at the request of the upstream, which is
    /// leaving.
    pub fn deregister(&self) {
        self.remove("is leaving");
    }

    /// Removes an announcement that is not repeated in time. Runs until the
    /// registry's last subscriber is dropped.
    pub async fn expire_announcements(self, timer: TimerService) {
        let mut ticks = timer.subscribe(CHECK_INTERVAL);
        while !self.published.is_closed() {
            ticks.next().await;
            let missed = self.missed_checks.fetch_add(1, Ordering::Relaxed) + 1;
            if missed > MAX_MISSED_CHECKS {
                self.remove("did not repeat its announcement in time");
            }
        }
    }

    fn remove(&self, reason: &str) {
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

/// Returns the routes of the announcement endpoint: `POST` and `DELETE` of
/// `/v1/announce`.
pub fn announce_routes(
    registry: UpstreamRegistry,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let registry = warp::any().map(move || registry.clone());
    let path = warp::path!("v1" / "announce");
    let announce = path
        .and(warp::post())
        .and(registry.clone())
        .and(warp::body::content_length_limit(MAX_ANNOUNCEMENT_BYTES))
        .and(warp::body::json())
        .map(|registry: UpstreamRegistry, body| record_announcement(&registry, body));
    let deregister = path
        .and(warp::delete())
        .and(registry)
        .map(|registry: UpstreamRegistry| {
            registry.deregister();
            StatusCode::NO_CONTENT
        });
    announce.or(deregister).unify()
}

fn record_announcement(registry: &UpstreamRegistry, body: UpstreamAnnouncement) -> StatusCode {
    if body.slots == 0 || body.connections == 0 {
        return StatusCode::BAD_REQUEST;
    }
    registry.announce(body.into());
    StatusCode::NO_CONTENT
}
