//! Links to other processes, with what this entry knows of the load there.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::admission::load::OwnerLoad;
use crate::base::boot_clock::since_boot;
use crate::load_balancing::UpstreamCandidate;
use crate::transport::link::PeerLink;

/// A link to another process, with the requests that this entry has there.
#[derive(Debug, Clone)]
pub(super) struct CountedLink {
    pub(super) link: PeerLink,
    pub(super) in_flight: Arc<AtomicU32>,
    pub(super) learned: Arc<Mutex<LearnedLoad>>,
}

/// The load that the newest answer told, and what was sent since.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LearnedLoad {
    pub(super) load: OwnerLoad,
    pub(super) at: Duration,
    pub(super) sent_since: u32,
}

impl CountedLink {
    pub(super) fn learned(&self) -> MutexGuard<'_, LearnedLoad> {
        self.learned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn learn(&self) {
        *self.learned() = LearnedLoad {
            load: self.link.load(),
            at: since_boot(),
            sent_since: 0,
        };
    }
}

/// Counts a request as being at a process until dropped.
pub(super) struct FlightGuard(Arc<AtomicU32>);

impl FlightGuard {
    pub(super) fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Adds what this entry's own requests showed of an upstream: the load that an
/// answer told, if that is newer than the report, and what was sent since.
pub(super) fn add_learned(candidate: &mut UpstreamCandidate, link: &CountedLink, now: Duration) {
    let learned = *link.learned();
    let in_flight = link.in_flight.load(Ordering::Relaxed);
    candidate.unreported = learned.sent_since.min(in_flight);
    let age = now.saturating_sub(learned.at);
    if age < candidate.age && learned.load.limit > 0 {
        candidate.age = age;
        candidate.gauge.running = u16::try_from(learned.load.running).unwrap_or(u16::MAX);
        candidate.gauge.waiting = u16::try_from(learned.load.waiting).unwrap_or(u16::MAX);
    }
}
