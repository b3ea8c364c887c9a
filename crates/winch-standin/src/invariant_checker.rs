//! Invariants across all upstream stand-ins of a run: which key ranges they hold
//! and which requests they ran.
//!
//! Recorded as violations: a grant of a key that another upstream still holds, a
//! fencing token that does not rise, a second run of a request that may run at
//! most once, and a request that reaches an upstream more than `DRAIN_LIMIT`
//! after the sidecar was told that the upstream drains.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use tokio::time::Instant;

/// Span over which requests to an upstream with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Time from the first statement of a limit until its requests count.
const LIMIT_NOTICE: Duration = Duration::from_millis(500);

/// Time after which a draining upstream must not receive new requests: the
/// platform's bound on draining.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);

/// Body of a grant or release call.
#[derive(Debug, Clone, Deserialize)]
pub struct GrantCall {
    /// First key of the range.
    pub from: u16,
    /// Last key of the range, inclusive.
    pub to: u16,
    /// Fencing token; it rises with each change of the holder.
    pub fence: u64,
    /// Time for which the keys are held, in milliseconds with the unit, such as
    /// `1000ms`; empty in a release.
    #[serde(default)]
    pub hold_time: Box<str>,
}

impl GrantCall {
    fn hold(&self) -> Duration {
        Self::hold_of(&self.hold_time)
    }

    /// Returns a hold time from its text; zero if it is empty.
    pub fn hold_of(text: &str) -> Duration {
        let number = text.trim_end_matches("ms");
        Duration::from_millis(number.parse().unwrap_or_default())
    }
}

/// A request that an upstream is about to run.
#[derive(Debug, Clone, Copy)]
pub struct RequestStart<'a> {
    /// Name of the upstream.
    pub instance: &'a str,
    /// Id of the request, the same for all its attempts.
    pub id: &'a str,
    /// Path of the request's URL.
    pub path: &'a str,
    /// Key of the request; absent if the service is not sharded.
    pub key: Option<u16>,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
}

/// A key range that one upstream holds or has held.
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

/// A request that ran at least once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// Number of runs.
    pub count: u32,
    /// Path of the first run.
    pub path: Box<str>,
}

#[derive(Debug, Default)]
struct CheckerState {
    held: Vec<HeldKeys>,
    runs: FxHashMap<Box<str>, ExecutedRequest>,
    drained: FxHashMap<Box<str>, Instant>,
    /// Per upstream, the time until which grants that break an invariant are not
    /// violations, because a fault may have delayed them.
    ignored_until: FxHashMap<Box<str>, Instant>,
    limited: FxHashMap<Box<str>, LimitedUpstream>,
    violations: Vec<String>,
}

/// An upstream that states a limit on the rate of its requests.
#[derive(Debug)]
struct LimitedUpstream {
    /// Since when it has stated any limit.
    since: Instant,
    /// The limit, in requests per second.
    limit: f64,
    /// Recent arrivals, oldest first.
    arrivals: VecDeque<Instant>,
}

/// Checks the invariants across all upstreams of a run. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct InvariantChecker {
    state: Arc<Mutex<CheckerState>>,
}

impl InvariantChecker {
    /// Returns the violations so far.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns how many different requests ran.
    pub fn executed_count(&self) -> usize {
        self.lock().runs.len()
    }

    /// Returns the requests that ran, with their ids, in no particular order.
    pub fn executed_requests(&self) -> Vec<(Box<str>, ExecutedRequest)> {
        let state = self.lock();
        let runs = state.runs.iter();
        runs.map(|(id, ran)| (id.clone(), ran.clone())).collect()
    }

    /// Returns whether the request with that id ran.
    pub fn has_run(&self, id: &str) -> bool {
        self.lock().runs.contains_key(id)
    }

    /// Ignores violations by grants that reach an upstream until then: a fault may
    /// have delayed them since they were sent, so they don't show that the sender
    /// is wrong.
    pub fn ignore_grants_until(&self, instance: &str, until: Instant) {
        self.lock().ignored_until.insert(instance.into(), until);
    }

    /// Records that an upstream has stopped and holds no keys any more.
    pub fn record_stop(&self, instance: &str) {
        let now = Instant::now();
        let mut state = self.lock();
        for held in &mut state.held {
            if *held.instance == *instance {
                held.until = held.until.min(now);
            }
        }
        state.drained.remove(instance);
    }

    /// Records that the sidecar of an upstream has acknowledged that it drains.
    /// Only the first call for an upstream counts until it stops.
    pub fn record_drain(&self, instance: &str, at: Instant) {
        self.lock().drained.entry(instance.into()).or_insert(at);
    }

    /// Returns whether the sidecar of an upstream has acknowledged that it drains.
    pub fn is_draining(&self, instance: &str) -> bool {
        self.lock().drained.contains_key(instance)
    }

    /// Records that an upstream sends a response that states `limit`, in requests per
    /// second; `None` if it states none.
    pub fn record_limit(&self, instance: &str, limit: Option<f64>) {
        let mut state = self.lock();
        let Some(limit) = limit else {
            state.limited.remove(instance);
            return;
        };
        let limited = state
            .limited
            .entry(instance.into())
            .or_insert_with(|| LimitedUpstream {
                since: Instant::now(),
                limit,
                arrivals: VecDeque::new(),
            });
        limited.limit = limit;
    }

    /// Checks the arrival of a request at an upstream against its limit. Requests
    /// count once the senders have had time to learn of the limit.
    pub fn record_arrival(&self, instance: &str) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some(limited) = state.limited.get_mut(instance) else {
            return;
        };
        if now < limited.since + LIMIT_NOTICE {
            return;
        }
        limited.arrivals.push_back(now);
        limited
            .arrivals
            .retain(|arrival| *arrival + LIMIT_WINDOW > now);
        let allowed = limited.limit * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0;
        let count = limited.arrivals.len();
        if count as f64 > allowed {
            let text = format!(
                "{instance} gets {count} requests in {LIMIT_WINDOW:?}, its limit allows {allowed}"
            );
            limited.arrivals.clear();
            state.violations.push(text);
        }
    }

    /// Checks a grant and records it. Returns whether the upstream accepts it; it
    /// refuses a fencing token that is too low.
    pub fn grant(&self, instance: &str, call: &GrantCall) -> bool {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let ignored = state
            .ignored_until
            .get(instance)
            .is_some_and(|until| now < *until);
        let mut accepted = true;
        for other in state.held.iter().filter(|held| held.overlaps(call)) {
            let same = *other.instance == *instance;
            if !same && other.until > now && !ignored {
                let left = other.until - now;
                let text = format!(
                    "{instance} is granted {call:?}, but {other:?} holds it for {left:?} more"
                );
                state.violations.push(text);
            }
            let is_stale = if same {
                other.fence > call.fence
            } else {
                other.fence >= call.fence
            };
            if is_stale {
                accepted = false;
                if !ignored {
                    let text = format!(
                        "{instance} is granted {call:?}, whose fence is too low after {other:?}"
                    );
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

    /// Records that an upstream has released the keys from `first` to `last`.
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

    /// Checks a request and records its run. Returns false and records nothing if
    /// the upstream does not hold its key.
    pub fn begin_request(&self, start: &RequestStart<'_>) -> bool {
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
                "{} reaches {} {late:?} after it began to drain",
                start.id, start.instance
            );
            state.violations.push(text);
        }
        let ran = state
            .runs
            .entry(start.id.into())
            .or_insert_with(|| ExecutedRequest {
                count: 0,
                path: start.path.into(),
            });
        ran.count += 1;
        if ran.count > 1 && start.at_most_once {
            let text = format!("{} runs again at {}", start.id, start.instance);
            state.violations.push(text);
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, CheckerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
