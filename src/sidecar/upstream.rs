//! State of the local upstream, from its announcements and from calls to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

use super::cold_upstream::ColdUpstream;
use super::departures::DepartureLog;
pub use super::upstream_client::HealthAnswer;
pub use super::upstream_client::ReleaseOutcome;
pub use super::upstream_client::UpstreamCall;
pub use super::upstream_client::UpstreamClient;
use super::upstream_pace::UpstreamPace;
use crate::base::boot_clock::since_boot;
use crate::base::hash::hash_key;
use crate::base::ids::InstanceId;
use crate::base::ids::ServiceName;
use crate::peers::message::UpstreamPhase;
use crate::upstream::cold_start::ColdBound;
use crate::upstream::cold_start::ColdPolicy;
use crate::upstream::cold_start::lower_limit;
use crate::upstream::condition::RequestRate;
use crate::upstream::condition::StatedCondition;
use crate::upstream::condition::UpstreamCondition;
use crate::upstream::condition::UpstreamTag;
use crate::upstream::departure::DepartedUpstream;

/// An upstream counts as absent after this many missed announcements.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 3;

/// One announcement of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncedUpstream {
    /// Name of the upstream. A restarted upstream may reuse it.
    pub instance: InstanceId,
    /// Start time of the upstream process, in milliseconds since the Unix epoch
    /// by its own clock; `None` if it did not send one.
    pub started_unix_ms: Option<u64>,
    /// Sequence number; increases with each announcement of one upstream
    /// process and starts over with the next.
    pub sequence: u64,
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// Address on which the upstream takes requests.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the upstream is draining and takes no new requests.
    pub draining: bool,
    /// How much longer it stays cold; `None` if it does not say.
    pub cold_remaining: Option<Duration>,
}

impl AnnouncedUpstream {
    /// Returns the tag of the upstream process.
    pub fn tag(&self) -> UpstreamTag {
        let started = self.started_unix_ms.unwrap_or_default();
        hash_key(format!("{}/{started}", self.instance).as_bytes())
    }
}

/// Current state of the local upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalUpstream {
    /// Newest announcement.
    pub announced: AnnouncedUpstream,
    /// Whether the upstream takes requests.
    pub phase: UpstreamPhase,
    /// Whether the upstream process is known to have ended, so that it no
    /// longer holds any ranges.
    pub ended: bool,
    /// When the newest announcement arrived, by the clock of [`since_boot`].
    pub last_heard: Duration,
    /// Ordinal of the upstream process among those seen since this sidecar
    /// started, from 1.
    pub process_number: u64,
    /// What it stated in its newest response, to this sidecar or, before the first
    /// one, to a peer; `None` before any.
    pub condition: Option<UpstreamCondition>,
}

impl LocalUpstream {
    /// Returns the rate of requests that it accepts; `None` without a limit.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.condition?.rate_limit
    }
}

/// Merges an announcement into the known state; returns `None` if the
/// announcement is outdated. `silence` is the time without announcements after
/// which the known upstream counts as absent.
///
/// Pure, so that tests can pass announcements that are late or out of order.
pub fn merge_announcement(
    known: Option<&LocalUpstream>,
    announcement: &AnnouncedUpstream,
    now: Duration,
    silence: Duration,
) -> Option<LocalUpstream> {
    let phase = if announcement.draining {
        UpstreamPhase::Draining
    } else {
        UpstreamPhase::Ready
    };
    let process_number = known.map_or(1, |known| known.process_number);
    let merged = |process_number, condition| LocalUpstream {
        announced: announcement.clone(),
        phase,
        ended: false,
        last_heard: now,
        process_number,
        condition,
    };
    let Some(known) = known else {
        return Some(merged(process_number, None));
    };
    let same_process = known.announced.instance == announcement.instance
        && known.announced.started_unix_ms == announcement.started_unix_ms;
    if same_process {
        let late = announcement.sequence <= known.announced.sequence;
        // Draining is final for a process, so a non-draining announcement was
        // sent before draining began.
        let returns = known.phase == UpstreamPhase::Draining && !announcement.draining;
        return (!late && !returns).then(|| merged(process_number, known.condition));
    }
    // Another process. If its start time is older, the announcement was delayed
    // and is ignored, unless the known process is silent: clocks may be set
    // back.
    let silent = known.ended || now.saturating_sub(known.last_heard) > silence;
    let older = announcement.started_unix_ms < known.announced.started_unix_ms;
    (silent || !older).then(|| merged(process_number + 1, None))
}

/// A change of an upstream's limit is logged if it exceeds this fraction of the
/// former limit.
const LOGGED_LIMIT_CHANGE: f64 = 0.1;

/// Tracks the state of the local upstream and publishes changes. Clones share
/// state.
#[derive(Debug, Clone)]
pub struct LocalUpstreamRegistry {
    published: Arc<watch::Sender<Option<LocalUpstream>>>,
    silence: Duration,
    departures: DepartureLog,
    /// Whether the failure domain of this VM is evacuated.
    evacuated: Arc<AtomicBool>,
    cold: ColdUpstream,
    pace: UpstreamPace,
    last_logged: Arc<Mutex<Option<(InstanceId, UpstreamPhase)>>>,
}

impl LocalUpstreamRegistry {
    /// Creates the registry of an upstream that announces itself every
    /// `interval`. No upstream is known until its first announcement.
    pub fn new(interval: Duration) -> Self {
        Self {
            published: Arc::new(watch::channel(None).0),
            silence: interval * MAX_MISSED_ANNOUNCEMENTS,
            departures: DepartureLog::new(),
            evacuated: Arc::default(),
            cold: ColdUpstream::default(),
            pace: UpstreamPace::default(),
            last_logged: Arc::default(),
        }
    }

    /// Subscribes to changes of the state. An announcement that changes nothing
    /// but the time of the last announcement does not notify subscribers.
    pub fn subscribe(&self) -> watch::Receiver<Option<LocalUpstream>> {
        self.published.subscribe()
    }

    /// Returns the current state; `None` before the first announcement.
    pub fn current(&self) -> Option<LocalUpstream> {
        self.published.borrow().clone()
    }

    /// Records an announcement and returns whether it is the newest. An outdated
    /// one is ignored.
    pub fn announce(&self, announcement: &AnnouncedUpstream) -> bool {
        let now = since_boot();
        if announcement.draining {
            self.departures
                .record(&announcement.instance, announcement.started_unix_ms);
        }
        let announcement = &AnnouncedUpstream {
            draining: self.departures.includes(announcement),
            ..announcement.clone()
        };
        let mut is_newest = false;
        self.published.send_if_modified(|known| {
            let Some(merged) = merge_announcement(known.as_ref(), announcement, now, self.silence)
            else {
                return false;
            };
            is_newest = true;
            let merged = LocalUpstream {
                phase: self.phase_in_force(merged.phase),
                ..merged
            };
            let is_successor = known
                .as_ref()
                .is_some_and(|known| known.process_number != merged.process_number);
            let remaining = announcement.cold_remaining;
            let cold_changed = self.cold.announce(now, is_successor, remaining);
            let changed = known.as_ref().is_none_or(|known| {
                known.process_number != merged.process_number
                    || known.phase != merged.phase
                    || known.announced.slots != merged.announced.slots
                    || known.ended != merged.ended
            });
            *known = Some(merged);
            changed || cold_changed
        });
        self.log_change("announced");
        is_newest
    }

    /// Sets what upstreams of the service bear while they are cold; `None` if they bear
    /// as much as ever.
    pub fn set_cold_policy(&self, policy: Option<ColdPolicy>, bound: ColdBound) {
        self.cold.set_policy(policy, bound);
    }

    /// Counts the upstream as cold from now on, for as long as after a start, until it
    /// is asked and answers otherwise. For upstreams that may have become cold
    /// unnoticed. No effect if its service's upstreams bear as much as ever while they
    /// are cold.
    pub fn expect_cold(&self) {
        let changed = self.cold.expect(since_boot());
        self.published.send_if_modified(|_known| changed);
    }

    /// Asks the upstream soon whether it is cold.
    pub fn suspect_cold(&self) {
        self.cold.request_inquiry();
        self.published.send_modify(|_known| {});
    }

    /// Returns the instance that is to be asked now whether it is cold; `None` if there
    /// is none. If there is one, [`Self::end_cold_inquiry`] must follow.
    pub(super) fn begin_cold_inquiry(&self) -> Option<InstanceId> {
        let ready = self
            .current()
            .filter(|known| known.phase == UpstreamPhase::Ready)?;
        let is_asked = self.cold.begin_inquiry(since_boot());
        is_asked.then_some(ready.announced.instance)
    }

    /// Records the answer to a question that was asked at `asked`, by the clock of
    /// [`since_boot`]: how much longer the upstream is cold; `None` without an answer.
    pub(super) fn end_cold_inquiry(&self, asked: Duration, remaining: Option<Duration>) {
        let changed = self.cold.end_inquiry(asked, since_boot(), remaining);
        self.published.send_if_modified(|_known| changed);
        match remaining {
            Some(remaining) => log::info!(
                remaining_ms = remaining.as_millis() as u64;
                "upstream: answered whether it is cold"
            ),
            None => log::debug!("upstream: did not say whether it is cold"),
        }
    }

    /// Returns whether the upstream takes requests and is cold or is to be asked whether
    /// it is.
    pub(super) fn is_cold_watched(&self) -> bool {
        let known = self.current();
        known.is_some_and(|known| known.phase == UpstreamPhase::Ready)
            && self.cold.is_watched(since_boot())
    }

    /// Records that a request to the upstream starts. Returns whether the upstream is
    /// cold, so that its limit may have changed.
    pub fn record_start(&self) -> bool {
        self.cold.record_start(since_boot())
    }

    /// Returns how much longer the upstream is cold; zero if it is not.
    pub fn cold_remaining(&self) -> Duration {
        self.cold.remaining(since_boot())
    }

    /// Returns the rate at which the upstream may get requests now: the lower of the
    /// limit that it states and what it bears while it is cold; `None` without either.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        let stated = self.current().and_then(|known| known.rate_limit());
        lower_limit(stated, self.cold.rate(since_boot()))
    }

    /// Returns the pace that the upstream states.
    pub fn pace(&self) -> &UpstreamPace {
        &self.pace
    }

    /// Records that an upstream deregistered: it finishes its requests and
    /// takes no new ones. Delayed announcements of that process count as
    /// draining from now on.
    pub fn deregister(&self, instance: &str) {
        let known = self.current();
        let known = known.filter(|known| &*known.announced.instance == instance);
        let started = known.and_then(|known| known.announced.started_unix_ms);
        self.departures.record(&instance.into(), started);
        self.set_draining("deregistered", |known| {
            &*known.announced.instance == instance
        });
    }

    /// Sets whether the failure domain of this VM is evacuated. While it is, an upstream
    /// that is ready counts as [`UpstreamPhase::Evacuated`].
    pub fn set_evacuated(&self, evacuated: bool) {
        self.published.send_if_modified(|known| {
            // Within the lock, so that an announcement cannot set the former phase.
            self.evacuated.store(evacuated, Ordering::Relaxed);
            let Some(known) = known else { return false };
            let phase = match known.phase {
                UpstreamPhase::Evacuated => UpstreamPhase::Ready,
                other => other,
            };
            let phase = self.phase_in_force(phase);
            let changed = phase != known.phase;
            known.phase = phase;
            changed
        });
        self.log_change(if evacuated {
            "evacuated"
        } else {
            "not evacuated"
        });
    }

    fn phase_in_force(&self, announced: UpstreamPhase) -> UpstreamPhase {
        if announced == UpstreamPhase::Ready && self.evacuated.load(Ordering::Relaxed) {
            UpstreamPhase::Evacuated
        } else {
            announced
        }
    }

    /// Returns the departures of this VM's upstreams.
    pub fn departures(&self) -> &DepartureLog {
        &self.departures
    }

    /// Records departures that a former process on this VM had recorded; `source`
    /// names where they come from in the log.
    pub fn recall_departures(&self, departures: &[DepartedUpstream], source: &str) {
        if self.departures.merge(departures) {
            log::info!(departures = departures.len(), source = source; "upstream: recalled departures");
            self.set_draining("recalled departure", |known| {
                known.phase != UpstreamPhase::Absent && self.departures.includes(&known.announced)
            });
        }
    }

    /// Waits, for a limited time, until it is safe to acknowledge that the upstream
    /// leaves. Returns at once if it does not.
    pub async fn confirm_departure(&self) {
        if self.current().is_some_and(|known| self.is_leaving(&known)) {
            self.departures.wait_until_stored().await;
        }
    }

    fn set_draining(&self, cause: &str, applies: impl Fn(&LocalUpstream) -> bool) {
        self.published.send_if_modified(|known| match known {
            Some(known) if known.phase != UpstreamPhase::Draining && applies(known) => {
                known.phase = UpstreamPhase::Draining;
                true
            }
            _ => false,
        });
        self.log_change(cause);
    }

    /// Records that the upstream refused a connection, which shows that it has
    /// ended. Ignored unless `process_number` is that of the current upstream
    /// process.
    pub fn record_refused_connection(&self, process_number: u64) {
        self.published.send_if_modified(|known| match known {
            Some(known) if known.process_number == process_number && !known.ended => {
                known.ended = true;
                known.phase = UpstreamPhase::Absent;
                true
            }
            _ => false,
        });
        self.log_change("refused a connection");
    }

    /// Records what a response of the upstream stated. Returns the upstream's
    /// condition if it has changed. Ignored unless `process_number` is that of the
    /// current upstream process.
    pub fn record_condition(
        &self,
        process_number: u64,
        condition: UpstreamCondition,
    ) -> Option<UpstreamCondition> {
        let changed = self.published.send_if_modified(|known| match known {
            Some(known) if known.process_number == process_number => {
                set_condition(known, condition)
            }
            _ => false,
        });
        self.follow_leaving(changed)
    }

    /// Records what the upstream stated to a peer. Returns the upstream's condition
    /// if it has changed. Ignored unless the peer names the current upstream process.
    /// Once that has responded to this sidecar, only its leaving counts, since that is
    /// final.
    pub fn recall_condition(&self, stated: StatedCondition) -> Option<UpstreamCondition> {
        let changed = self.published.send_if_modified(|known| match known {
            Some(known) if known.announced.tag() == stated.upstream => {
                let condition = match known.condition {
                    None => stated.condition,
                    Some(condition) => UpstreamCondition {
                        leaving: condition.leaving || stated.condition.leaving,
                        ..condition
                    },
                };
                set_condition(known, condition)
            }
            _ => false,
        });
        self.follow_leaving(changed)
    }

    /// Returns the upstream's condition if it has `changed`. Makes later announcements
    /// of an upstream that has stated that it leaves count as draining.
    fn follow_leaving(&self, changed: bool) -> Option<UpstreamCondition> {
        let known = self.current().filter(|_known| changed)?;
        let condition = known.condition?;
        if condition.leaving {
            let announced = &known.announced;
            self.departures
                .record(&announced.instance, announced.started_unix_ms);
            self.log_change("stated that it leaves");
        }
        Some(condition)
    }

    /// Returns whether an upstream has announced or stated that it leaves.
    pub fn is_leaving(&self, upstream: &LocalUpstream) -> bool {
        upstream.announced.draining
            || upstream.phase == UpstreamPhase::Draining
            || upstream
                .condition
                .is_some_and(|condition| condition.leaving)
            || self.departures.includes(&upstream.announced)
    }

    /// Marks the upstream absent if its announcements have stopped.
    pub fn check_timeout(&self) {
        let now = since_boot();
        self.published.send_if_modified(|known| match known {
            Some(known) => {
                let silent = now.saturating_sub(known.last_heard) > self.silence;
                let changed = silent && known.phase != UpstreamPhase::Absent;
                if changed {
                    known.phase = UpstreamPhase::Absent;
                }
                changed
            }
            None => false,
        });
        self.log_change("silent");
    }

    fn log_change(&self, cause: &str) {
        let Some(known) = self.current() else { return };
        let shown = (known.announced.instance.clone(), known.phase);
        let mut last = self
            .last_logged
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if last.as_ref() != Some(&shown) {
            log::info!(
                instance = &*known.announced.instance, life = known.process_number, number = known.announced.sequence,
                phase:? = known.phase, cause = cause;
                "upstream: changed"
            );
            *last = Some(shown);
        }
    }
}

/// Sets the condition of an upstream and returns whether it differs from before.
fn set_condition(known: &mut LocalUpstream, condition: UpstreamCondition) -> bool {
    let former = known.condition.unwrap_or_default();
    let condition = UpstreamCondition {
        // Responses may overtake each other.
        leaving: former.leaving || condition.leaving,
        ..condition
    };
    known.condition = Some(condition);
    if condition.leaving && known.phase != UpstreamPhase::Absent {
        known.phase = UpstreamPhase::Draining;
    }
    if former.rate_limit != condition.rate_limit {
        log_limit(known, former, condition);
    }
    former != condition
}

/// Logs that an upstream states another limit than before, unless it is only a
/// little higher or lower.
fn log_limit(known: &LocalUpstream, former: UpstreamCondition, condition: UpstreamCondition) {
    let per_second = |condition: UpstreamCondition| {
        let limit = condition.rate_limit;
        limit.map(RequestRate::per_second)
    };
    let (former, limit) = (per_second(former), per_second(condition));
    if let (Some(former), Some(limit)) = (former, limit)
        && (former - limit).abs() < former * LOGGED_LIMIT_CHANGE
    {
        return;
    }
    log::info!(
        instance = &*known.announced.instance, life = known.process_number,
        former_limit = former, limit = limit;
        "upstream: stated its limit"
    );
}
