//! Counts the running requests of each chain, and closes chains that move away.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::watch;

use crate::base::collections::FastMap;
use crate::base::ids::Epoch;
use crate::base::ids::KeyHash;
use crate::planner::placement::chain_hash;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;

/// Number of separately locked parts of the table, to reduce lock contention.
const SHARDS: usize = 32;

#[derive(Debug, Default)]
struct ChainState {
    running: watch::Sender<u32>,
    /// Requests under this epoch or an earlier one are rejected; `None` if the
    /// chain is open.
    closed_through: Option<Epoch>,
}

type ActivityShard = Mutex<FastMap<ChainKey, ChainState>>;

/// Running requests of each chain. Clones share the counts.
#[derive(Debug, Clone)]
pub struct ChainActivity {
    shards: Arc<[ActivityShard]>,
}

impl Default for ChainActivity {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_shard| ActivityShard::default()).collect(),
        }
    }
}

/// Counts one admitted request as running until it is dropped.
#[derive(Debug)]
pub struct ActivityGuard {
    activity: ChainActivity,
    chain: ChainKey,
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        let mut shard = self.activity.shard(&self.chain);
        if let Some(state) = shard.get_mut(&self.chain) {
            state.running.send_modify(|running| *running -= 1);
            let is_idle = *state.running.borrow() == 0;
            if is_idle && state.closed_through.is_none() {
                shard.remove(&self.chain);
            }
        }
    }
}

/// Counts one admitted request for a key as running until it is dropped.
#[derive(Debug)]
pub struct KeyGuard {
    _key: ActivityGuard,
    _slice: Option<ActivityGuard>,
}

impl ChainActivity {
    /// Admits a request for a key under `chain`, which is the chain of its
    /// slice or of the key itself; `None` if either chain is closed at the
    /// epoch.
    ///
    /// The request counts for both chains, so that a key that is moved out of
    /// its slice is handed over only after the requests that were admitted
    /// under the slice have finished.
    pub fn enter_key(&self, chain: &ChainKey, key: KeyHash, epoch: Epoch) -> Option<KeyGuard> {
        let single = ChainKey {
            service: chain.service.clone(),
            subject: ChainSubject::Key(key),
        };
        let in_key = self.enter(&single, epoch)?;
        let in_slice = if *chain == single {
            None
        } else {
            Some(self.enter(chain, epoch)?)
        };
        Some(KeyGuard {
            _key: in_key,
            _slice: in_slice,
        })
    }

    /// Admits a request; `None` if the chain is closed at the epoch.
    pub fn enter(&self, chain: &ChainKey, epoch: Epoch) -> Option<ActivityGuard> {
        let mut shard = self.shard(chain);
        let state = shard.entry(chain.clone()).or_default();
        if state.closed_through.is_some_and(|closed| epoch <= closed) {
            return None;
        }
        state.running.send_modify(|running| *running += 1);
        drop(shard);
        Some(ActivityGuard {
            activity: self.clone(),
            chain: chain.clone(),
        })
    }

    /// Closes a chain for all epochs up to and including `epoch`, and waits
    /// until no request of the chain is running.
    pub async fn close(&self, chain: &ChainKey, epoch: Epoch) {
        let mut running = {
            let mut shard = self.shard(chain);
            let state = shard.entry(chain.clone()).or_default();
            state.closed_through = state.closed_through.max(Some(epoch));
            state.running.subscribe()
        };
        // The sender stays in the table, so the wait ends only at zero.
        drop(running.wait_for(|running| *running == 0).await);
    }

    /// Opens a chain again after its move was abandoned.
    pub fn reopen(&self, chain: &ChainKey) {
        let mut shard = self.shard(chain);
        if let Some(state) = shard.get_mut(chain) {
            state.closed_through = None;
        }
    }

    fn shard(&self, chain: &ChainKey) -> MutexGuard<'_, FastMap<ChainKey, ChainState>> {
        let index = chain_hash(chain) as usize % SHARDS;
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
