//! An in-memory log with random faults that depend on a seed.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use buckthornwinch::base::ids::Offset;
use buckthornwinch::log::service::LogEntry;
use buckthornwinch::log::service::LogError;
use buckthornwinch::log::service::LogPage;
use buckthornwinch::log::service::LogService;
use buckthornwinch::state::codec::decode_batch;
use buckthornwinch::state::folded::FoldedState;
use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Faults of the log; the numbers are probabilities for each append, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FakeFaults {
    /// Whether every call is refused.
    pub is_down: bool,
    /// The append takes effect, but the response is lost.
    pub lose_answer: f64,
    /// The append has no effect, and the response is lost.
    pub lose_append: f64,
    /// The entry is written now and a second time after a later append.
    pub duplicate: f64,
    /// The append is refused without effect.
    pub refuse: f64,
}

#[derive(Debug)]
struct FakeState {
    entries: Vec<Bytes>,
    earliest: Offset,
    delayed_copies: Vec<Bytes>,
    faults: FakeFaults,
    random: SmallRng,
    appends: u64,
}

/// An in-memory [`LogService`]; clones share the entries and faults.
#[derive(Debug, Clone)]
pub struct FakeLog {
    state: Arc<Mutex<FakeState>>,
}

impl FakeLog {
    /// Creates an empty log without faults.
    pub fn new(seed: u64) -> Self {
        let state = FakeState {
            entries: Vec::new(),
            earliest: 0,
            delayed_copies: Vec::new(),
            faults: FakeFaults::default(),
            random: SmallRng::seed_from_u64(seed),
            appends: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Replaces the faults for all later calls.
    pub fn set_faults(&self, faults: FakeFaults) {
        self.with(|state| state.faults = faults);
    }

    /// Makes the entries below `earliest` unavailable to readers.
    pub fn expire(&self, earliest: Offset) {
        self.with(|state| state.earliest = earliest);
    }

    /// Writes an entry without any fault.
    pub fn write(&self, data: impl Into<Bytes>) {
        self.with(|state| state.entries.push(data.into()));
    }

    /// Returns every entry ever written, expired ones included.
    pub fn written(&self) -> Vec<Bytes> {
        self.with(|state| state.entries.clone())
    }

    /// Folds every entry ever written, passes the state after each to `show`, and
    /// returns the last one.
    pub fn replay(&self, mut show: impl FnMut(&FoldedState)) -> FoldedState {
        let mut state = FoldedState::default();
        for (offset, data) in (0..).zip(self.written()) {
            match decode_batch(&data) {
                Ok(batch) => drop(state.apply(offset, &batch)),
                Err(_) => state.skip(offset),
            }
            show(&state);
        }
        state
    }

    /// Returns the number of calls to append, failed ones included.
    pub fn attempts(&self) -> u64 {
        self.with(|state| state.appends)
    }

    fn with<T>(&self, run: impl FnOnce(&mut FakeState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl FakeState {
    fn append(&mut self, data: Bytes) -> Result<Offset, LogError> {
        self.appends += 1;
        let faults = self.faults;
        if faults.is_down || self.random.random_bool(faults.refuse) {
            return Err(LogError::Refused("refused".into()));
        }
        if self.random.random_bool(faults.lose_append) {
            return Err(LogError::Ambiguous("lost before the write".into()));
        }
        let offset = self.entries.len() as Offset;
        self.entries.push(data.clone());
        self.entries.append(&mut self.delayed_copies);
        if self.random.random_bool(faults.duplicate) {
            self.delayed_copies.push(data);
        }
        if self.random.random_bool(faults.lose_answer) {
            return Err(LogError::Ambiguous("lost after the write".into()));
        }
        Ok(offset)
    }

    fn read(&self, from: Offset, limit: usize) -> Result<LogPage, LogError> {
        if self.faults.is_down {
            return Err(LogError::Refused("down".into()));
        }
        if from < self.earliest {
            return Err(LogError::Expired {
                earliest: self.earliest,
            });
        }
        let entries = (0..)
            .zip(&self.entries)
            .skip(from as usize)
            .take(limit)
            .map(|(offset, data)| LogEntry {
                offset,
                data: data.clone(),
            });
        Ok(LogPage {
            entries: entries.collect(),
            end: self.entries.len() as Offset,
        })
    }
}

impl LogService for FakeLog {
    async fn append(&self, data: Bytes) -> Result<Offset, LogError> {
        self.with(|state| state.append(data))
    }

    async fn read(&self, from: Offset, limit: usize) -> Result<LogPage, LogError> {
        self.with(|state| state.read(from, limit))
    }

    async fn earliest(&self) -> Result<Offset, LogError> {
        self.with(|state| {
            if state.faults.is_down {
                Err(LogError::Refused("down".into()))
            } else {
                Ok(state.earliest)
            }
        })
    }
}
