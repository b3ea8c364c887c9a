//! The last check before a dispatch.

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

/// Proof that this process may dispatch for a chain, at the moment it was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FencingToken {
    /// The epoch under which the order runs.
    pub epoch: Epoch,
    /// When the lease ends, by the VM's wall clock, for an upstream on the
    /// same VM that checks it.
    pub expires_at: SystemTime,
}

/// Tells whether this process may serve a chain now.
pub trait OwnershipGate: Clone + Send + Sync + 'static {
    /// Returns the token, or why the process may not serve the chain:
    /// [`ErrorKind::NotOwner`], [`ErrorKind::LeaseLapsed`] or
    /// [`ErrorKind::Draining`].
    fn admit(&self, chain: &ChainKey) -> Result<FencingToken, ErrorKind>;
}

/// Reads the clocks that leases are counted on.
pub trait ClockSource: Clone + Send + Sync + 'static {
    /// Returns what the clocks show now.
    fn read(&self) -> ClockReading;
}

/// The clocks of the VM.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic readings count from now.
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

/// The epochs under which chains may be served.
pub type ServingTable = FastMap<ChainKey, Epoch>;

/// What the gate decides on, replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct GateView {
    /// The chains that may be served while the lease is live.
    pub table: Arc<ServingTable>,
    /// When `remaining` was read; the process's last tick.
    pub read_at: ClockReading,
    /// For how long the lease is live from `read_at` on.
    pub remaining: Duration,
    /// Whether the process is draining and admits nothing new.
    pub draining: bool,
}

/// The gate of a process that holds a lease.
///
/// It costs one atomic load, one map look-up and one reading of the clocks.
/// Besides the lease it checks the age of the last tick: a process that was
/// paused finds the gate closed before its own ticks resume, and it opens
/// again only after a fresh renewal.
#[derive(Debug, Clone)]
pub struct LeaseGate<C> {
    clock: C,
    max_tick_gap: Duration,
    view: Arc<ArcSwap<GateView>>,
}

impl<C: ClockSource> LeaseGate<C> {
    /// Creates a gate that is closed.
    pub fn new(clock: C, max_tick_gap: Duration) -> Self {
        Self {
            clock,
            max_tick_gap,
            view: Arc::default(),
        }
    }

    /// Replaces what the gate decides on.
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
