//! The upstream beside this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::sync::watch;

use crate::base::boot_clock::since_boot;
use crate::base::ids::InstanceId;
use crate::base::ids::ServiceName;
use crate::delivery::message::RoutedRequest;
use crate::delivery::message::UpstreamResponse;
use crate::peers::message::UpstreamPhase;
use crate::ranges::FenceNumber;
use crate::ranges::RangeKey;
use crate::ranges::grants::GrantOutcome;
use crate::ranges::grants::RangeGrant;
use crate::upstream::service::CallError;

/// An upstream that missed so many announcements is gone.
const MISSED_ANNOUNCEMENTS: u32 = 3;

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Its name, which a later life may have again.
    pub instance: InstanceId,
    /// When its life began, in milliseconds since the Unix epoch by its own
    /// clock; none if it did not say.
    pub born: Option<u64>,
    /// Grows with each notice of one life.
    pub number: u64,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
}

/// The upstream, as its newest notice and the calls to it show.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalUpstream {
    /// Its newest notice.
    pub notice: UpstreamNotice,
    /// Whether it takes requests.
    pub phase: UpstreamPhase,
    /// Whether it is known to have ended, so that it holds nothing.
    pub ended: bool,
    /// When it was last heard, by the clock of [`since_boot`].
    pub heard: Duration,
    /// Counts the lives that were seen.
    pub life: u64,
}

/// Takes a notice into account: pure, so that late and crossed notices can be
/// tried. Returns none if the notice is outdated.
pub fn merge_notice(
    known: Option<&LocalUpstream>,
    notice: &UpstreamNotice,
    now: Duration,
    silence: Duration,
) -> Option<LocalUpstream> {
    let phase = if notice.draining {
        UpstreamPhase::Draining
    } else {
        UpstreamPhase::Ready
    };
    let life = known.map_or(1, |known| known.life);
    let merged = |life| LocalUpstream {
        notice: notice.clone(),
        phase,
        ended: false,
        heard: now,
        life,
    };
    let Some(known) = known else {
        return Some(merged(life));
    };
    let same_life = known.notice.instance == notice.instance && known.notice.born == notice.born;
    if same_life {
        let late = notice.number <= known.notice.number;
        // Leaving is for good: a notice that was sent before it changes nothing.
        let returns = known.phase == UpstreamPhase::Draining && !notice.draining;
        return (!late && !returns).then(|| merged(life));
    }
    // A later life. One that claims to be older is a notice that was held up,
    // unless the known one has fallen silent: clocks may be set.
    let silent = known.ended || now.saturating_sub(known.heard) > silence;
    let older = notice.born < known.notice.born;
    (silent || !older).then(|| merged(life + 1))
}

/// Departures that are remembered: a VM has one upstream at a time.
const MOST_DEPARTED: usize = 8;

/// A later life under the same name begins with small numbers.
const FIRST_NUMBERS: u64 = 2;

/// An upstream that said that it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DepartedUpstream {
    /// Its name.
    pub instance: InstanceId,
    /// When it said so, in milliseconds since the Unix epoch.
    pub at: u64,
}

/// Tells whether a notice comes from a life that said that it leaves, and was
/// held up since. A process that has just started may hear the departure first.
pub fn is_departed(departed: &[DepartedUpstream], notice: &UpstreamNotice) -> bool {
    departed.iter().any(|former| {
        let later_life = notice.born.is_some_and(|born| born > former.at);
        let begins = later_life || notice.number <= FIRST_NUMBERS;
        former.instance == notice.instance && !begins
    })
}

/// Keeps what is known of the upstream. Cloning shares it.
#[derive(Debug, Clone)]
pub struct LocalRegistry {
    published: Arc<watch::Sender<Option<LocalUpstream>>>,
    silence: Duration,
    departed: Arc<Mutex<Vec<DepartedUpstream>>>,
    last_logged: Arc<Mutex<Option<(InstanceId, UpstreamPhase)>>>,
}

impl LocalRegistry {
    /// Creates an empty registry of an upstream that announces itself every
    /// `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            published: Arc::new(watch::channel(None).0),
            silence: interval * MISSED_ANNOUNCEMENTS,
            departed: Arc::default(),
            last_logged: Arc::default(),
        }
    }

    /// Subscribes to changes.
    pub fn subscribe(&self) -> watch::Receiver<Option<LocalUpstream>> {
        self.published.subscribe()
    }

    /// Returns what is known.
    pub fn current(&self) -> Option<LocalUpstream> {
        self.published.borrow().clone()
    }

    /// Takes a notice.
    pub fn announce(&self, notice: &UpstreamNotice) {
        let now = since_boot();
        let departed = is_departed(&self.departed(), notice);
        let notice = &UpstreamNotice {
            draining: notice.draining || departed,
            ..notice.clone()
        };
        self.published.send_if_modified(|known| {
            let Some(merged) = merge_notice(known.as_ref(), notice, now, self.silence) else {
                return false;
            };
            // The time heard alone is no news to subscribers.
            let news = known.as_ref().is_none_or(|known| {
                known.life != merged.life
                    || known.phase != merged.phase
                    || known.notice.slots != merged.notice.slots
                    || known.ended != merged.ended
            });
            *known = Some(merged);
            news
        });
        self.log_change("announced");
    }

    /// The upstream says that it leaves; it still finishes what it has.
    pub fn leave(&self, instance: &str) {
        self.remember_departure(instance);
        self.published.send_if_modified(|known| match known {
            Some(known) if &*known.notice.instance == instance => {
                let news = known.phase != UpstreamPhase::Draining;
                known.phase = UpstreamPhase::Draining;
                news
            }
            _ => false,
        });
        self.log_change("deregistered");
    }

    fn remember_departure(&self, instance: &str) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let mut departed = self.departed();
        departed.retain(|former| &*former.instance != instance);
        if departed.len() == MOST_DEPARTED {
            departed.remove(0);
        }
        departed.push(DepartedUpstream {
            instance: instance.into(),
            at: since_epoch.unwrap_or_default().as_millis() as u64,
        });
    }

    fn departed(&self) -> MutexGuard<'_, Vec<DepartedUpstream>> {
        self.departed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection to the upstream was refused: it has ended.
    pub fn note_refused(&self, life: u64) {
        self.published.send_if_modified(|known| match known {
            Some(known) if known.life == life && !known.ended => {
                known.ended = true;
                known.phase = UpstreamPhase::Absent;
                true
            }
            _ => false,
        });
        self.log_change("refused a connection");
    }

    /// Looks whether the upstream has fallen silent.
    pub fn check_silence(&self) {
        let now = since_boot();
        self.published.send_if_modified(|known| match known {
            Some(known) => {
                let silent = now.saturating_sub(known.heard) > self.silence;
                let news = silent && known.phase != UpstreamPhase::Absent;
                if news {
                    known.phase = UpstreamPhase::Absent;
                }
                news
            }
            None => false,
        });
        self.log_change("silent");
    }

    fn log_change(&self, cause: &str) {
        let Some(known) = self.current() else { return };
        let shown = (known.notice.instance.clone(), known.phase);
        let mut last = self
            .last_logged
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if last.as_ref() != Some(&shown) {
            log::info!(
                instance = &*known.notice.instance, life = known.life, number = known.notice.number,
                phase:? = known.phase, cause = cause;
                "upstream: changed"
            );
            *last = Some(shown);
        }
    }
}

/// A request on its way to the upstream.
#[derive(Debug, Clone)]
pub struct UpstreamCall {
    /// The life of the upstream that is meant.
    pub upstream: LocalUpstream,
    /// The request.
    pub order: Arc<RoutedRequest>,
    /// Time left until nobody waits any more.
    pub remaining: Duration,
}

/// What became of a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReleaseVerdict {
    /// The upstream holds the keys no longer, and hands this over.
    Released(Option<Box<str>>),
    /// No answer.
    Unknown,
}

/// Talks to the upstream beside this process.
pub trait UpstreamPort: Clone + Send + Sync + 'static {
    /// Runs a request and returns the whole answer. Dropping the future breaks
    /// the request off.
    fn run(
        &self,
        call: UpstreamCall,
    ) -> impl Future<Output = Result<UpstreamResponse, CallError>> + Send + 'static;

    /// Grants a range.
    fn grant(
        &self,
        address: SocketAddr,
        grant: RangeGrant,
    ) -> impl Future<Output = GrantOutcome> + Send + 'static;

    /// Takes keys back. Answers when no work on them runs any more.
    fn release(
        &self,
        address: SocketAddr,
        first: RangeKey,
        last: RangeKey,
        fence: FenceNumber,
    ) -> impl Future<Output = ReleaseVerdict> + Send + 'static;
}
