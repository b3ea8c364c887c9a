//! Records the requests of callers and their outcomes, and checks the sidecars'
//! guarantees.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::time::Instant;
use winch_standin::key_world::KeyWorld;
use winch_standin::keyed_standin::answer_end;
use winch_standin::keyed_standin::answer_signature;

use crate::plan::MachineIndex;
use crate::spans::FaultSpans;
use crate::spans::FaultTarget;

/// Time without faults after which the guarantees of undisturbed operation hold
/// again.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Maximum time until a configuration is in effect on every machine that can reach
/// the store.
const MAX_CONFIGURATION_DELAY: Duration = Duration::from_millis(2_500);

/// Time after which a sidecar is assumed to have read and forwarded a request.
const FORWARD_TIME: Duration = Duration::from_millis(200);

/// Maximum number of connections lost without a fault, planned operations included,
/// that is tolerated: a connection may be closed just as a request is sent.
const MAX_CLOSE_RACES: usize = 3;

/// Maximum number of violations that are kept; further ones are discarded.
const MAX_VIOLATIONS: usize = 200;

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A response arrived, of any status.
    Answer(CallerAnswer),
    /// The connection was lost before the response was complete.
    Cut,
    /// The connection was lost before the request was sent.
    Unsent,
    /// No response arrived in time.
    TimedOut,
}

/// A response as a caller receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `response-signature` header, which only an upstream sets.
    pub signature: Option<Box<str>>,
    /// Body, with invalid UTF-8 replaced.
    pub body: Box<str>,
}

/// A request that a caller sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentRequest {
    /// Id of the request, unique in the run.
    pub id: Box<str>,
    /// Machine whose sidecar receives it from the caller.
    pub machine: MachineIndex,
    /// Path of the request's URL.
    pub path: Box<str>,
    /// Whether it has a key, because its service is sharded.
    pub keyed: bool,
    /// For a probe, the version of the only configuration that has its route.
    pub version: Option<u64>,
    /// Time at which it is sent.
    pub at: Instant,
}

/// Number of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Answered with a status of 200 to 299.
    pub served: u64,
    /// Refused with a status that guarantees that they did not run: 408, 421, 429
    /// or 503.
    pub refused: u64,
    /// Answered with any other status.
    pub failed: u64,
    /// Not answered in time, or the connection was lost.
    pub unanswered: u64,
}

/// The newest configuration that a process has used, as far as its responses show.
#[derive(Debug, Clone, Copy)]
struct SeenVersion {
    version: u64,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct ProcessRun {
    number: u32,
    started: Instant,
    seen: Option<SeenVersion>,
}

#[derive(Debug, Default)]
struct LedgerState {
    sent: FxHashMap<Box<str>, SentRequest>,
    refused: Vec<Box<str>>,
    lost_connections: Vec<(SentRequest, Instant)>,
    counts: OutcomeCounts,
    versions: Vec<Instant>,
    processes: FxHashMap<MachineIndex, ProcessRun>,
    spans: FaultSpans,
    violations: Vec<Box<str>>,
}

/// Records and checks the requests of a run. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct SoakLedger {
    state: Arc<Mutex<LedgerState>>,
}

impl SoakLedger {
    /// Records a violation. The text begins with the name of the violated rule where
    /// there is one.
    pub fn violation(&self, text: String) {
        self.lock().note(text);
    }

    /// Returns the violations so far, of which the first 200 are kept.
    pub fn violations(&self) -> Vec<Box<str>> {
        self.lock().violations.clone()
    }

    /// Returns the number of requests by outcome.
    pub fn counts(&self) -> OutcomeCounts {
        self.lock().counts
    }

    /// Calls `action` with the spans of the faults, while the ledger is locked.
    pub fn with_spans<T>(&self, action: impl FnOnce(&mut FaultSpans) -> T) -> T {
        action(&mut self.lock().spans)
    }

    /// Records that the sidecar process of a machine starts.
    pub fn start_life(&self, machine: MachineIndex) {
        let mut state = self.lock();
        let number = state
            .processes
            .get(&machine)
            .map_or(0, |process| process.number + 1);
        let process = ProcessRun {
            number,
            started: Instant::now(),
            seen: None,
        };
        state.processes.insert(machine, process);
    }

    /// Returns the number of a machine's present process: 0 for the first, one more
    /// for each restart.
    pub fn life(&self, machine: MachineIndex) -> u32 {
        self.lock()
            .processes
            .get(&machine)
            .map_or(0, |process| process.number)
    }

    /// Records that a configuration was written. Versions are consecutive from 1.
    pub fn note_version(&self, version: u64) {
        let mut state = self.lock();
        debug_assert_eq!(state.versions.len() as u64 + 1, version);
        state.versions.push(Instant::now());
    }

    /// Returns the version of the newest configuration; 0 before the first.
    pub fn version(&self) -> u64 {
        self.lock().versions.len() as u64
    }

    /// Records a request before it is sent.
    pub fn send(&self, request: &SentRequest) {
        self.lock().sent.insert(request.id.clone(), request.clone());
    }

    /// Records and checks the outcome of a request that was sent to the machine's
    /// process `process_number`.
    pub fn end(&self, request: &SentRequest, process_number: u32, outcome: &CallerOutcome) {
        let mut state = self.lock();
        match outcome {
            CallerOutcome::Answer(answer) => {
                state.count(answer.status);
                if state.check_response(request, answer) {
                    state.check_version(request, process_number, answer.status);
                }
            }
            CallerOutcome::Cut => {
                state.counts.unanswered += 1;
                state
                    .lost_connections
                    .push((request.clone(), Instant::now()));
            }
            CallerOutcome::Unsent => {}
            CallerOutcome::TimedOut => {
                state.counts.unanswered += 1;
                state.check_timeout(request);
            }
        }
    }

    /// Makes the checks that need the whole run, after its last request.
    pub fn close(&self, world: &KeyWorld) {
        let mut state = self.lock();
        let refused = std::mem::take(&mut state.refused);
        for id in refused.iter().filter(|id| world.has_run(id)) {
            state.note(format!("REFUSED: {id} ran although it was refused"));
        }
        for (id, ran) in world.ran() {
            let sent = state.sent.get(&id).cloned();
            if sent.as_ref().is_none_or(|sent| sent.path != ran.path) {
                state.note(format!(
                    "UNASKED: {id} ran for {}, but the caller sent {sent:?}",
                    ran.path
                ));
            }
        }
        state.check_lost_connections(world);
        for violation in world.violations() {
            state.note(format!("UPSTREAM: {violation}"));
        }
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LedgerState {
    fn note(&mut self, text: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(text.into());
        }
    }

    fn count(&mut self, status: u16) {
        let count = match status {
            200..300 => &mut self.counts.served,
            408 | 421 | 429 | 503 => &mut self.counts.refused,
            _ => &mut self.counts.failed,
        };
        *count += 1;
    }

    /// Checks a response. Returns whether it shows which configuration is in effect.
    fn check_response(&mut self, request: &SentRequest, answer: &CallerAnswer) -> bool {
        let SentRequest { id, path, .. } = request;
        match answer.status {
            200 => {
                let complete = answer.body.ends_with(&answer_end(path, id));
                let signed = answer.signature.as_deref() == Some(&*answer_signature(id));
                if !complete || !signed {
                    self.note(format!("MIXED: {id} for {path} got {answer:?}"));
                }
            }
            408 | 421 | 429 | 503 => {
                self.refused.push(id.clone());
                return false;
            }
            404 if request.version.is_some() => {}
            400..500 => self.note(format!("DENIED: {id} for {path} got {answer:?}")),
            _ => return false,
        }
        request.version.is_some()
    }

    /// Checks that the configuration in effect is not older than one that the same
    /// process has used, nor older than [`MAX_CONFIGURATION_DELAY`] allows.
    fn check_version(&mut self, request: &SentRequest, process_number: u32, status: u16) {
        let newest = self.versions.len() as u64;
        let Some(version) = request.version else {
            return;
        };
        let Some(current) = self.processes.get(&request.machine).copied() else {
            return;
        };
        if current.number != process_number {
            return;
        }
        let SentRequest { id, machine, .. } = request;
        let in_effect = status == 200;
        let seen = current.seen.filter(|seen| seen.at < request.at);
        if let Some(seen) = seen {
            let went_back = in_effect && seen.version > version;
            let disappeared = !in_effect && seen.version == version && newest == version;
            if went_back || disappeared {
                self.note(format!(
                    "CONFIG: machine {machine} used configuration {} and then answered {id} by another one ({status})",
                    seen.version
                ));
            }
        }
        // The newest configuration must be in effect some time after it was written,
        // and an older one must not be some time after its successor was written.
        let due = if in_effect {
            self.versions.get(version as usize).copied()
        } else {
            (version == newest).then(|| self.versions[version as usize - 1])
        };
        let in_time = due.is_none_or(|written| request.at < written + MAX_CONFIGURATION_DELAY);
        if !in_time && self.is_undisturbed(request, current.started) {
            self.note(format!(
                "CONFIG: machine {machine} answered {id} by an outdated configuration ({status})"
            ));
        }
        if in_effect && current.seen.is_none_or(|seen| seen.version < version) {
            let seen = SeenVersion {
                version,
                at: Instant::now(),
            };
            if let Some(process) = self.processes.get_mut(machine) {
                process.seen = Some(seen);
            }
        }
    }

    /// Returns whether the process has run for a while, and neither its machine nor
    /// the store had a recent fault.
    fn is_undisturbed(&self, request: &SentRequest, started: Instant) -> bool {
        let now = Instant::now();
        started + STABLE_WINDOW < request.at
            && !self
                .spans
                .any(request.at, STABLE_WINDOW, now, |target| match target {
                    FaultTarget::Machine(machine) => machine == request.machine,
                    FaultTarget::Store | FaultTarget::All => true,
                })
    }

    /// Checks that a fault explains a request that timed out.
    fn check_timeout(&mut self, request: &SentRequest) {
        let now = Instant::now();
        let disturbed = self.spans.any(request.at, STABLE_WINDOW, now, |_any| true);
        if !disturbed {
            self.note(format!(
                "HELD: {} for {} at machine {} was not answered",
                request.id, request.path, request.machine
            ));
        }
    }

    /// Checks that faults explain the requests that lost their connection, except a
    /// few, after the sidecar had forwarded them.
    fn check_lost_connections(&mut self, world: &KeyWorld) {
        let mut excess = Vec::new();
        for (request, lost_at) in std::mem::take(&mut self.lost_connections) {
            let disturbed =
                self.spans
                    .any(request.at, STABLE_WINDOW, lost_at, |target| match target {
                        FaultTarget::Machine(_) | FaultTarget::All => true,
                        FaultTarget::Store => request.keyed,
                    });
            let after = lost_at - request.at;
            let was_forwarded = world.has_run(&request.id) || after > FORWARD_TIME;
            if was_forwarded && !disturbed {
                excess.push(format!(
                    "LOST: {} for {} at machine {} lost its connection after {after:?}, ran: {}",
                    request.id,
                    request.path,
                    request.machine,
                    world.has_run(&request.id)
                ));
            }
        }
        if excess.len() > MAX_CLOSE_RACES {
            for text in excess {
                self.note(text);
            }
        }
    }
}
