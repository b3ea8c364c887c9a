//! What all stand-ins of upstreams hold and ran, and what that breaks.
//!
//! Noted as violations: a grant of a key that another upstream still holds, a
//! fence that does not rise, a request that runs twice where it may run once,
//! and one that comes long after the upstream's leaving was taken note of.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use tokio::time::Instant;

/// Time after which a leaving upstream gets no new requests: the platform's
/// bound on draining.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);

/// A grant or a release as it arrives.
#[derive(Debug, Clone, Deserialize)]
pub struct GrantCall {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Fence; it rises with each change of holder.
    pub fence: u64,
    /// Time for which the keys are held, in milliseconds with their unit.
    #[serde(default)]
    pub hold_time: Box<str>,
}

impl GrantCall {
    fn hold(&self) -> Duration {
        let text = self.hold_time.trim_end_matches("ms");
        Duration::from_millis(text.parse().unwrap_or_default())
    }
}

/// A request that an upstream is to begin.
#[derive(Debug, Clone, Copy)]
pub struct RunStart<'a> {
    /// The upstream.
    pub instance: &'a str,
    /// The request's id.
    pub id: &'a str,
    /// Its path.
    pub path: &'a str,
    /// Its key, if the service is divided by key.
    pub key: Option<u16>,
    /// Whether it may run once at most.
    pub once: bool,
}

/// A range that one upstream holds or has held.
#[derive(Debug, Clone)]
struct HeldKeys {
    instance: Box<str>,
    first: u16,
    last: u16,
    fence: u64,
    until: Instant,
}

impl HeldKeys {
    fn overlaps(&self, call: &GrantCall) -> bool {
        self.first <= call.to && call.from <= self.last
    }

    fn is_within(&self, call: &GrantCall) -> bool {
        call.from <= self.first && self.last <= call.to
    }
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RanRequest {
    /// How often.
    pub count: u32,
    /// The path of the newest run.
    pub path: Box<str>,
}

#[derive(Debug, Default)]
struct WorldState {
    held: Vec<HeldKeys>,
    runs: FxHashMap<Box<str>, RanRequest>,
    drained: FxHashMap<Box<str>, Instant>,
    /// Until when grants at an upstream are held-up ones, which break nothing.
    excused: FxHashMap<Box<str>, Instant>,
    violations: Vec<String>,
}

/// What all upstreams of a run hold and ran. Cloning shares it.
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

    /// Returns the requests that ran, by their ids.
    pub fn ran(&self) -> Vec<(Box<str>, RanRequest)> {
        let state = self.lock();
        let runs = state.runs.iter();
        runs.map(|(id, ran)| (id.clone(), ran.clone())).collect()
    }

    /// Returns whether a request ran.
    pub fn has_run(&self, id: &str) -> bool {
        self.lock().runs.contains_key(id)
    }

    /// Grants that reach an upstream until then were sent before a fault and
    /// held up by it, so they prove nothing against their sender.
    pub fn excuse(&self, instance: &str, until: Instant) {
        self.lock().excused.insert(instance.into(), until);
    }

    /// An upstream has ended and holds nothing any more.
    pub fn end_life(&self, instance: &str) {
        let now = Instant::now();
        let mut state = self.lock();
        for held in &mut state.held {
            if *held.instance == *instance {
                held.until = held.until.min(now);
            }
        }
        state.drained.remove(instance);
    }

    /// The process beside an upstream has taken note that it leaves.
    pub fn note_drain(&self, instance: &str, at: Instant) {
        self.lock().drained.entry(instance.into()).or_insert(at);
    }

    /// Takes a grant. Returns whether the upstream accepts it.
    pub fn grant(&self, instance: &str, call: &GrantCall) -> bool {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let excused = state
            .excused
            .get(instance)
            .is_some_and(|until| now < *until);
        let mut accepted = true;
        for other in state.held.iter().filter(|held| held.overlaps(call)) {
            let same = *other.instance == *instance;
            if !same && other.until > now && !excused {
                let left = other.until - now;
                let text = format!("{instance} is granted {call:?}, {other:?} holds {left:?} on");
                state.violations.push(text);
            }
            let falls = if same {
                other.fence > call.fence
            } else {
                other.fence >= call.fence
            };
            if falls {
                accepted = false;
                if !excused {
                    let text = format!("{instance} is granted {call:?}, not above {other:?}");
                    state.violations.push(text);
                }
            }
        }
        if !accepted {
            return false;
        }
        state.held.retain(|held| {
            let replaced = *held.instance == *instance || held.until <= now;
            !(replaced && held.is_within(call))
        });
        state.held.push(HeldKeys {
            instance: instance.into(),
            first: call.from,
            last: call.to,
            fence: call.fence,
            until: now + call.hold(),
        });
        true
    }

    /// Takes a release of keys.
    pub fn release(&self, instance: &str, first: u16, last: u16) {
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
                until: held.until.min(now),
                ..held
            });
        }
        state.held = kept;
    }

    /// Begins a request, unless the upstream does not hold its key.
    pub fn begin(&self, start: &RunStart<'_>) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let holds = start.key.is_none_or(|key| {
            state.held.iter().any(|held| {
                *held.instance == *start.instance
                    && held.first <= key
                    && key <= held.last
                    && held.until > now
            })
        });
        if !holds {
            return false;
        }
        if let Some(drained) = state.drained.get(start.instance)
            && now > *drained + DRAIN_LIMIT
        {
            let late = now - *drained;
            let text = format!(
                "{} reaches {} {late:?} after its leaving",
                start.id, start.instance
            );
            state.violations.push(text);
        }
        let ran = state
            .runs
            .entry(start.id.into())
            .or_insert_with(|| RanRequest {
                count: 0,
                path: start.path.into(),
            });
        ran.count += 1;
        if ran.count > 1 && start.once {
            let text = format!("{} runs again at {}", start.id, start.instance);
            state.violations.push(text);
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, WorldState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
