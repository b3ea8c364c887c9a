//! The ownership check on the request path, directly before dispatch.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use arc_swap::ArcSwap;

use super::timing::ClockReading;
use crate::base::collections::FastMap;
use crate::base::error::ErrorKind;
use crate::base::ids::Epoch;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;

/// Proof that this process was allowed to dispatch a request for a chain at the
/// time of the check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FencingToken {
    /// The epoch under which the request runs; 0 for a chain whose subject is
    /// [`ChainSubject::Any`].
    pub epoch: Epoch,
    /// When the lease expires on the VM's wall clock, for an upstream on the
    /// same VM that checks it.
    pub expires_at: SystemTime,
}

/// Checks whether this process may serve a chain now.
pub trait OwnershipGate: Clone + Send + Sync + 'static {
    /// Returns a token for one dispatch.
    ///
    /// # Errors
    ///
    /// * [`ErrorKind::Draining`] if the process is leaving.
    /// * [`ErrorKind::NotOwner`] if the process does not serve the chain.
    /// * [`ErrorKind::LeaseLapsed`] if the lease is not live.
    fn admit(&self, chain: &ChainKey) -> Result<FencingToken, ErrorKind>;
}

/// Source of the clock readings that leases are measured with.
pub trait ClockSource: Clone + Send + Sync + 'static {
    /// Returns the current readings.
    fn read(&self) -> ClockReading;
}

/// The monotonic clock and the wall clock of the VM.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic readings start at zero now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl ClockSource for SystemClock {
    fn read(&self) -> ClockReading {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        ClockReading {
            monotonic: self.start.elapsed(),
            wall: wall.unwrap_or(Duration::ZERO),
        }
    }
}

/// The chains that a process may serve, with the epoch of each.
pub type ServingTable = FastMap<ChainKey, Epoch>;

/// The data that the gate decides on. It is replaced as a whole, so that a
/// check never mixes two steps.
#[derive(Debug, Clone, Default)]
pub struct GateView {
    /// The chains that may be served while the lease is live.
    pub table: Arc<ServingTable>,
    /// Time of the state machine's last step, at which `remaining` was
    /// computed.
    pub read_at: ClockReading,
    /// Remaining time of the lease as of `read_at`; zero if it is not live.
    pub remaining: Duration,
    /// Whether the process is draining and admits no new requests.
    pub draining: bool,
}

/// The gate of a process that holds a lease. Clones share the published view.
///
/// A check costs one atomic load, one map lookup and one reading of the clocks.
/// It covers the lease and the age of the last step: after a pause the gate is
/// closed even before the process's ticks resume, and it opens only after a
/// new renewal.
#[derive(Debug, Clone)]
pub struct LeaseGate<C> {
    clock: C,
    max_tick_gap: Duration,
    view: Arc<ArcSwap<GateView>>,
}

impl<C: ClockSource> LeaseGate<C> {
    /// Creates a gate that admits nothing until a view is published.
    ///
    /// `max_tick_gap` is the age of the last step above which the process
    /// counts as paused.
    pub fn new(clock: C, max_tick_gap: Duration) -> Self {
        Self {
            clock,
            max_tick_gap,
            view: Arc::default(),
        }
    }

    /// Replaces the view of this gate and its clones.
    pub fn publish(&self, view: GateView) {
        self.view.store(Arc::new(view));
    }
}

impl<C: ClockSource> OwnershipGate for LeaseGate<C> {
    fn admit(&self, chain: &ChainKey) -> Result<FencingToken, ErrorKind> {
        let view = self.view.load();
        if view.draining {
            return Err(ErrorKind::Draining);
        }
        let epoch = match chain.subject {
            ChainSubject::Any => 0,
            ChainSubject::Slice(_) | ChainSubject::Key(_) => {
                *view.table.get(chain).ok_or(ErrorKind::NotOwner)?
            }
        };
        let elapsed = self.clock.read().elapsed_since(&view.read_at);
        if elapsed >= view.remaining || elapsed > self.max_tick_gap {
            return Err(ErrorKind::LeaseLapsed);
        }
        let expires_at = SystemTime::UNIX_EPOCH + view.read_at.wall + view.remaining;
        Ok(FencingToken { epoch, expires_at })
    }
}
