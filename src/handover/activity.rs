//! Counts what runs for each chain, and closes chains that move away.

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

/// Parts of the table, so that requests rarely share a lock.
const SHARDS: usize = 32;

#[derive(Debug, Default)]
struct ChainState {
    running: watch::Sender<u32>,
    /// Requests under this epoch or an earlier one are not admitted.
    closed_through: Option<Epoch>,
}

type ActivityShard = Mutex<FastMap<ChainKey, ChainState>>;

/// Counts what runs for each chain. Cloning shares it.
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

/// One admitted request; it ends when this is dropped.
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

/// One admitted request for a key; it ends when this is dropped.
#[derive(Debug)]
pub struct KeyGuard {
    _key: ActivityGuard,
    _slice: Option<ActivityGuard>,
}

impl ChainActivity {
    /// Admits a request for a key under its slice's chain or its own.
    ///
    /// It counts for both: a key that is taken out of its slice moves away only
    /// when what was admitted under the slice has finished.
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

    /// Admits a request; none if the chain is closed at the epoch.
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

    /// Closes a chain through an epoch and waits until nothing runs for it.
    pub async fn close(&self, chain: &ChainKey, epoch: Epoch) {
        let mut running = {
            let mut shard = self.shard(chain);
            let state = shard.entry(chain.clone()).or_default();
            state.closed_through = state.closed_through.max(Some(epoch));
            state.running.subscribe()
        };
        // The sender stays in the table, so the wait ends only with the count.
        drop(running.wait_for(|running| *running == 0).await);
    }

    /// Opens a chain again after a move that was given up.
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
