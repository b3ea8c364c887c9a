//! Reads the log, folds it and publishes the state.
//!
//! A reader task polls the log and sends pages to the [`LogFollower`] actor,
//! which folds them. An entry that cannot be decoded is skipped. While the log
//! is down, the last state stays published, and a newer one may be installed
//! from a peer.

use std::sync::Arc;

use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use xtra::Address;
use xtra::Context;
use xtra::Handler;
use xtra::Mailbox;
use xtra::WeakAddress;

use super::reader::LogReader;
use super::reader::PageSink;
use super::service::LogEntry;
use super::service::LogPage;
use super::service::LogService;
use super::settings::FollowerSettings;
use super::snapshot_tracker::SnapshotStatus;
use super::snapshot_tracker::SnapshotTracker;
use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::Sequence;
use crate::state::codec::decode_batch;
use crate::state::effect::FoldEffect;
use crate::state::folded::FoldedState;

/// Maximum number of messages that wait for the follower.
const MAILBOX_CAPACITY: usize = 64;

/// Counters of a follower since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Number of folded batches, ignored ones included.
    pub batches: u64,
    /// Number of entries that were skipped because they cannot be decoded.
    pub undecodable: u64,
    /// Number of states installed from peers or snapshots.
    pub installed_states: u64,
}

/// Folds pages of the log and publishes the state.
#[derive(Debug)]
#[derive(xtra::Actor)]
pub struct LogFollower {
    state: Arc<FoldedState>,
    states: watch::Sender<Arc<FoldedState>>,
    waiting: FastMap<(Incarnation, Sequence), oneshot::Sender<Vec<FoldEffect>>>,
    counters: FollowerCounters,
    snapshots: SnapshotTracker,
    /// Ends the reader's wait before its next read.
    wake: Arc<Notify>,
}

/// Folds a page; returns the next offset to read.
#[derive(Debug)]
struct FoldPage(LogPage);

/// Installs a state if it is newer; returns whether it was installed.
#[derive(Debug)]
struct InstallState(FoldedState);

#[derive(Debug)]
struct AwaitEffects {
    author: Incarnation,
    sequence: Sequence,
}

#[derive(Debug)]
struct ReadCounters;

#[derive(Debug)]
struct ReadSnapshots;

/// Starts a follower of a log, which continues from `state`.
///
/// The follower stops when the last handle is dropped.
pub fn start_follower<L: LogService>(
    log: L,
    state: FoldedState,
    settings: FollowerSettings,
) -> FollowerHandle {
    let from = state.next;
    let state = Arc::new(state);
    let (sender, states) = watch::channel(Arc::clone(&state));
    let wake = Arc::new(Notify::new());
    let actor = LogFollower {
        state,
        states: sender,
        waiting: FastMap::default(),
        counters: FollowerCounters::default(),
        snapshots: SnapshotTracker::default(),
        wake: Arc::clone(&wake),
    };
    let address = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY));
    let (reachable_sender, reachable) = watch::channel(true);
    let reader = LogReader::new(
        log,
        address.downgrade(),
        Arc::clone(&wake),
        reachable_sender,
        settings,
    );
    tokio::spawn(reader.run(from));
    FollowerHandle {
        address,
        states,
        reachable,
        wake,
    }
}

/// Handle of a running follower.
#[derive(Debug, Clone)]
pub struct FollowerHandle {
    address: Address<LogFollower>,
    states: watch::Receiver<Arc<FoldedState>>,
    reachable: watch::Receiver<bool>,
    wake: Arc<Notify>,
}

impl FollowerHandle {
    /// Subscribes to whether the latest read of the log succeeded; true before
    /// the first read.
    pub fn reachable(&self) -> watch::Receiver<bool> {
        self.reachable.clone()
    }

    /// Subscribes to the published states, of which only the latest is kept.
    pub fn states(&self) -> watch::Receiver<Arc<FoldedState>> {
        self.states.clone()
    }

    /// Returns the latest published state.
    pub fn state(&self) -> Arc<FoldedState> {
        Arc::clone(&self.states.borrow())
    }

    /// Reads without further delay if `end`, the next offset that a peer has
    /// reported, is beyond what was folded here.
    pub fn wake_if_behind(&self, end: Offset) {
        if end > self.states.borrow().next {
            self.wake.notify_one();
        }
    }

    /// Installs a peer's state if it is newer; returns whether it was installed.
    pub async fn install(&self, state: FoldedState) -> bool {
        self.address
            .send(InstallState(state))
            .await
            .unwrap_or(false)
    }

    /// Returns a receiver of the effects of a batch that is not folded yet.
    ///
    /// The receiver fails if the follower moves past the batch without its
    /// effects, as when a newer state is installed.
    pub async fn await_effects(
        &self,
        author: Incarnation,
        sequence: Sequence,
    ) -> oneshot::Receiver<Vec<FoldEffect>> {
        let message = AwaitEffects { author, sequence };
        let registered = self.address.send(message).await;
        registered.unwrap_or_else(|_stopped| oneshot::channel().1)
    }

    /// Returns what the follower knows about the snapshots in the log; empty if
    /// the follower has stopped.
    pub async fn snapshots(&self) -> SnapshotStatus {
        self.address.send(ReadSnapshots).await.unwrap_or_default()
    }

    /// Returns the counters since the start; zeros if the follower has stopped.
    pub async fn counters(&self) -> FollowerCounters {
        self.address.send(ReadCounters).await.unwrap_or_default()
    }
}

impl LogFollower {
    fn fold_entry(&mut self, entry: &LogEntry) {
        let state = Arc::make_mut(&mut self.state);
        if entry.offset < state.next {
            return;
        }
        match decode_batch(&entry.data) {
            Ok(batch) => {
                let effects = state.apply(entry.offset, &batch);
                self.counters.batches += 1;
                self.snapshots
                    .record(entry.offset, &batch, &effects, &self.state);
                if let Some(waiter) = self.waiting.remove(&(batch.author, batch.sequence)) {
                    // The writer may have stopped waiting, which is not an error.
                    let _ = waiter.send(effects);
                }
            }
            Err(error) => {
                state.skip(entry.offset);
                self.counters.undecodable += 1;
                let offset = entry.offset;
                log::warn!("log: skipped the undecodable entry at offset {offset}: {error:?}");
            }
        }
    }

    fn publish(&self) {
        self.states.send_replace(Arc::clone(&self.state));
    }

    /// Drops the waiters whose batches are folded already, so their effects are
    /// missed, and those that have stopped waiting.
    fn drop_stale_waiters(&mut self) {
        let members = &self.state.members;
        self.waiting.retain(|(author, sequence), waiter| {
            let is_folded = members
                .get(author)
                .is_some_and(|member| member.sequence >= *sequence);
            !is_folded && !waiter.is_closed()
        });
    }
}

impl PageSink for WeakAddress<LogFollower> {
    async fn fold(&self, page: LogPage) -> Option<Offset> {
        self.try_upgrade()?.send(FoldPage(page)).await.ok()
    }

    async fn install(&self, state: FoldedState) {
        if let Some(follower) = self.try_upgrade() {
            // If the follower has stopped, the reader stops at its next page.
            let _ = follower.send(InstallState(state)).await;
        }
    }
}

impl Handler<FoldPage> for LogFollower {
    type Return = Offset;

    async fn handle(&mut self, message: FoldPage, _ctx: &mut Context<Self>) -> Offset {
        let before = self.state.next;
        for entry in &message.0.entries {
            self.fold_entry(entry);
        }
        if self.state.next > before {
            self.publish();
        }
        self.state.next
    }
}

impl Handler<InstallState> for LogFollower {
    type Return = bool;

    async fn handle(&mut self, message: InstallState, _ctx: &mut Context<Self>) -> bool {
        let InstallState(state) = message;
        if state.next <= self.state.next {
            return false;
        }
        log::info!(
            "log: installed a state at offset {} in place of {}",
            state.next,
            self.state.next
        );
        self.state = Arc::new(state);
        // The markers between the two states were not read.
        self.snapshots = SnapshotTracker::default();
        self.counters.installed_states += 1;
        self.drop_stale_waiters();
        self.publish();
        self.wake.notify_one();
        true
    }
}

impl Handler<AwaitEffects> for LogFollower {
    type Return = oneshot::Receiver<Vec<FoldEffect>>;

    async fn handle(&mut self, message: AwaitEffects, _ctx: &mut Context<Self>) -> Self::Return {
        let (sender, receiver) = oneshot::channel();
        self.waiting
            .insert((message.author, message.sequence), sender);
        self.drop_stale_waiters();
        receiver
    }
}

impl Handler<ReadCounters> for LogFollower {
    type Return = FollowerCounters;

    async fn handle(
        &mut self,
        _message: ReadCounters,
        _ctx: &mut Context<Self>,
    ) -> FollowerCounters {
        self.counters
    }
}

impl Handler<ReadSnapshots> for LogFollower {
    type Return = SnapshotStatus;

    async fn handle(
        &mut self,
        _message: ReadSnapshots,
        _ctx: &mut Context<Self>,
    ) -> SnapshotStatus {
        self.snapshots.status()
    }
}
