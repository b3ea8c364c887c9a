//! What callers sent and were answered, and what that breaks.

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

/// Time without faults after which a machine's promises hold again.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time after which a configuration is in force on every machine in touch.
const CONFIGURATION_TIME: Duration = Duration::from_millis(2_500);

/// Time after which a request that was read counts as passed on.
const LOST_TIME: Duration = Duration::from_millis(200);

/// Cut requests beyond planned work that are taken for races of a close with a
/// request.
const MOST_CUTS: usize = 3;

/// Violations of one kind that are kept word for word.
const MOST_VIOLATIONS: usize = 200;

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerOutcome {
    /// It was answered.
    Answer(CallerAnswer),
    /// The connection ended first.
    Cut,
    /// The connection had ended before it was sent.
    Unsent,
    /// No answer came in time.
    TimedOut,
}

/// An answer as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// Status.
    pub status: u16,
    /// Signature of the upstream, if it has one.
    pub signature: Option<Box<str>>,
    /// The body.
    pub body: Box<str>,
}

/// A request that a caller sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentRequest {
    /// Its id.
    pub id: Box<str>,
    /// The machine on which it begins.
    pub machine: MachineIndex,
    /// Its path.
    pub path: Box<str>,
    /// Whether its service is divided by key.
    pub keyed: bool,
    /// The configuration whose route it uses, if only that one has it.
    pub version: Option<u64>,
    /// When it is sent.
    pub at: Instant,
}

/// How many requests ended how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Answered with success.
    pub served: u64,
    /// Refused with the promise that they have not run.
    pub refused: u64,
    /// Failed otherwise.
    pub failed: u64,
    /// Cut, or not answered in time.
    pub unanswered: u64,
}

/// The newest configuration that a process is known to have used.
#[derive(Debug, Clone, Copy)]
struct SeenVersion {
    version: u64,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct ProcessLife {
    number: u32,
    since: Instant,
    seen: Option<SeenVersion>,
}

#[derive(Debug, Default)]
struct LedgerState {
    sent: FxHashMap<Box<str>, SentRequest>,
    refused: Vec<Box<str>>,
    cuts: Vec<(SentRequest, Instant)>,
    counts: OutcomeCounts,
    versions: Vec<Instant>,
    lives: FxHashMap<MachineIndex, ProcessLife>,
    spans: FaultSpans,
    violations: Vec<Box<str>>,
}

/// Judges a run. Cloning shares it.
#[derive(Debug, Clone, Default)]
pub struct SoakLedger {
    state: Arc<Mutex<LedgerState>>,
}

impl SoakLedger {
    /// Notes something that must not happen.
    pub fn violation(&self, text: String) {
        self.lock().note(text);
    }

    /// Returns what must not have happened.
    pub fn violations(&self) -> Vec<Box<str>> {
        self.lock().violations.clone()
    }

    /// Returns how many requests ended how.
    pub fn counts(&self) -> OutcomeCounts {
        self.lock().counts
    }

    /// Lets an action use the spans of faults.
    pub fn with_spans<T>(&self, action: impl FnOnce(&mut FaultSpans) -> T) -> T {
        action(&mut self.lock().spans)
    }

    /// Notes that a machine's process starts.
    pub fn start_life(&self, machine: MachineIndex) {
        let mut state = self.lock();
        let number = state.lives.get(&machine).map_or(0, |life| life.number + 1);
        let life = ProcessLife {
            number,
            since: Instant::now(),
            seen: None,
        };
        state.lives.insert(machine, life);
    }

    /// Returns the number of a machine's present life.
    pub fn life(&self, machine: MachineIndex) -> u32 {
        self.lock()
            .lives
            .get(&machine)
            .map_or(0, |life| life.number)
    }

    /// Notes that a configuration was written. Versions begin with 1.
    pub fn note_version(&self, version: u64) {
        let mut state = self.lock();
        debug_assert_eq!(state.versions.len() as u64 + 1, version);
        state.versions.push(Instant::now());
    }

    /// Returns the newest configuration.
    pub fn version(&self) -> u64 {
        self.lock().versions.len() as u64
    }

    /// Notes a request before it is sent.
    pub fn send(&self, request: &SentRequest) {
        self.lock().sent.insert(request.id.clone(), request.clone());
    }

    /// Judges the end of a request that was sent in a life of its machine.
    pub fn end(&self, request: &SentRequest, life: u32, outcome: &CallerOutcome) {
        let mut state = self.lock();
        match outcome {
            CallerOutcome::Answer(answer) => {
                state.count(answer.status);
                if state.judge_answer(request, answer) {
                    state.judge_version(request, life, answer.status);
                }
            }
            CallerOutcome::Cut => {
                state.counts.unanswered += 1;
                state.cuts.push((request.clone(), Instant::now()));
            }
            CallerOutcome::Unsent => {}
            CallerOutcome::TimedOut => {
                state.counts.unanswered += 1;
                state.judge_silence(request);
            }
        }
    }

    /// Judges what can be told only after the run.
    pub fn close(&self, world: &KeyWorld) {
        let mut state = self.lock();
        let refused = std::mem::take(&mut state.refused);
        for id in refused.iter().filter(|id| world.has_run(id)) {
            state.note(format!("REFUSED: {id} ran, and was told that it did not"));
        }
        for (id, ran) in world.ran() {
            let sent = state.sent.get(&id).cloned();
            if sent.as_ref().is_none_or(|sent| sent.path != ran.path) {
                state.note(format!("UNASKED: {id} ran for {}, {sent:?}", ran.path));
            }
        }
        state.judge_cuts(world);
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
        if self.violations.len() < MOST_VIOLATIONS {
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

    /// Tells whether the answer shows which configuration is in force.
    fn judge_answer(&mut self, request: &SentRequest, answer: &CallerAnswer) -> bool {
        let SentRequest { id, path, .. } = request;
        match answer.status {
            200 => {
                let whole = answer.body.ends_with(&answer_end(path, id));
                let signed = answer.signature.as_deref() == Some(&*answer_signature(id));
                if !whole || !signed {
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

    fn judge_version(&mut self, request: &SentRequest, life: u32, status: u16) {
        let newest = self.versions.len() as u64;
        let Some(version) = request.version else {
            return;
        };
        let Some(current) = self.lives.get(&request.machine).copied() else {
            return;
        };
        if current.number != life {
            return;
        }
        let SentRequest { id, machine, .. } = request;
        let in_force = status == 200;
        let seen = current.seen.filter(|seen| seen.at < request.at);
        if let Some(seen) = seen {
            let back = in_force && seen.version > version;
            let gone = !in_force && seen.version == version && newest == version;
            if back || gone {
                self.note(format!(
                    "CONFIG: machine {machine} had {} and treats {id} by another ({status})",
                    seen.version
                ));
            }
        }
        // The newest one must be in force some time after it was written, and
        // no older one some time after its successor was.
        let due = if in_force {
            self.versions.get(version as usize).copied()
        } else {
            (version == newest).then(|| self.versions[version as usize - 1])
        };
        let in_time = due.is_none_or(|written| request.at < written + CONFIGURATION_TIME);
        if !in_time && self.is_in_touch(request, current.since) {
            self.note(format!(
                "CONFIG: machine {machine} treats {id} by an old configuration ({status})"
            ));
        }
        if in_force && current.seen.is_none_or(|seen| seen.version < version) {
            let seen = SeenVersion {
                version,
                at: Instant::now(),
            };
            if let Some(life) = self.lives.get_mut(machine) {
                life.seen = Some(seen);
            }
        }
    }

    /// Tells whether nothing has struck the machine or the store of late.
    fn is_in_touch(&self, request: &SentRequest, since: Instant) -> bool {
        let now = Instant::now();
        since + STABLE_WINDOW < request.at
            && !self
                .spans
                .any(request.at, STABLE_WINDOW, now, |target| match target {
                    FaultTarget::Machine(machine) => machine == request.machine,
                    FaultTarget::Store | FaultTarget::All => true,
                })
    }

    fn judge_silence(&mut self, request: &SentRequest) {
        let now = Instant::now();
        let disturbed = self.spans.any(request.at, STABLE_WINDOW, now, |_any| true);
        if !disturbed {
            self.note(format!(
                "HELD: {} for {} at machine {} was not answered",
                request.id, request.path, request.machine
            ));
        }
    }

    fn judge_cuts(&mut self, world: &KeyWorld) {
        let mut excess = Vec::new();
        for (request, at) in std::mem::take(&mut self.cuts) {
            let disturbed = self
                .spans
                .any(request.at, STABLE_WINDOW, at, |target| match target {
                    FaultTarget::Machine(_) | FaultTarget::All => true,
                    FaultTarget::Store => request.keyed,
                });
            let after = at - request.at;
            let lost = world.has_run(&request.id) || after > LOST_TIME;
            if lost && !disturbed {
                excess.push(format!(
                    "LOST: {} for {} at machine {} was cut after {after:?}, ran: {}",
                    request.id,
                    request.path,
                    request.machine,
                    world.has_run(&request.id)
                ));
            }
        }
        if excess.len() > MOST_CUTS {
            for text in excess {
                self.note(text);
            }
        }
    }
}
