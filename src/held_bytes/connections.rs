//! Decides which connections of callers are closed.

use std::time::Duration;

use tokio::time::Instant;

/// Least average rate at which a body is sent or a response is read, in bytes per
/// second. It applies once [`RATE_GRACE`] has passed.
const MIN_BYTES_PER_SECOND: u64 = 1024;

/// Time after which [`MIN_BYTES_PER_SECOND`] applies.
const RATE_GRACE: Duration = Duration::from_secs(10);

/// Maximum time without progress while the budget of held bytes is short.
const SHORT_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time without progress of a body or of the reading of a response.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Added to the operator's time-outs, so that a caller at the limit is not cut off.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Why a connection of a caller is closed by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseCause {
    /// The head of a request took longer than the operator allows.
    HeadTimeout,
    /// A body made too little progress.
    SlowBody,
    /// A response was read too slowly.
    SlowReader,
    /// It was idle for longer than the operator allows.
    Idle,
    /// There were too many connections, and this one was the least useful.
    Crowded,
}

impl CloseCause {
    /// All causes.
    pub const ALL: [Self; 5] = [
        Self::HeadTimeout,
        Self::SlowBody,
        Self::SlowReader,
        Self::Idle,
        Self::Crowded,
    ];

    /// Returns the name of the cause in metrics and log lines.
    pub fn slug(self) -> &'static str {
        match self {
            Self::HeadTimeout => "head-timeout",
            Self::SlowBody => "slow-body",
            Self::SlowReader => "slow-reader",
            Self::Idle => "idle",
            Self::Crowded => "crowded",
        }
    }
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Nothing of a request has arrived.
    Idle,
    /// A part of a request's head has arrived.
    Head,
    /// A request's body arrives.
    Body,
    /// A request is being answered.
    Answering,
    /// A response is being written.
    Writing,
}

/// Time-outs that the operator sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OperatorTimeouts {
    /// Maximum time from the first byte of a head to its end.
    pub head: Duration,
    /// Maximum time without a request.
    pub idle: Duration,
}

/// What one connection has done so far.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionActivity {
    phase: ConnectionPhase,
    /// When the phase began.
    since: Instant,
    /// When bytes were last read or written in this phase, or when it began.
    last_progress: Instant,
    /// Bytes read or written in this phase.
    bytes: u64,
}

impl ConnectionActivity {
    /// Creates the activity of a connection that was opened at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            phase: ConnectionPhase::Idle,
            since: now,
            last_progress: now,
            bytes: 0,
        }
    }

    /// Returns what the connection does.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase
    }

    /// Records the begin of a phase.
    pub fn enter(&mut self, phase: ConnectionPhase, now: Instant) {
        *self = Self {
            phase,
            ..Self::new(now)
        };
    }

    /// Records bytes from the caller.
    pub fn record_read(&mut self, bytes: usize, now: Instant) {
        match self.phase {
            ConnectionPhase::Idle => self.enter(ConnectionPhase::Head, now),
            ConnectionPhase::Head | ConnectionPhase::Body => self.record_progress(bytes, now),
            ConnectionPhase::Answering | ConnectionPhase::Writing => {}
        }
    }

    /// Records bytes that the caller's socket took.
    pub fn record_write(&mut self, bytes: usize, now: Instant) {
        if self.phase == ConnectionPhase::Writing {
            self.record_progress(bytes, now);
        }
    }

    /// Records that all that was to be written has been written.
    pub fn record_flush(&mut self, now: Instant) {
        if self.phase == ConnectionPhase::Writing {
            self.enter(ConnectionPhase::Idle, now);
        }
    }

    fn record_progress(&mut self, bytes: usize, now: Instant) {
        self.bytes += bytes as u64;
        self.last_progress = now;
    }

    /// Returns why the connection is to be closed now; `None` if it stays.
    /// `is_short` tells whether the budget of held bytes is short.
    pub fn overdue(
        &self,
        now: Instant,
        timeouts: OperatorTimeouts,
        is_short: bool,
    ) -> Option<CloseCause> {
        let age = now.saturating_duration_since(self.since);
        match self.phase {
            ConnectionPhase::Idle => {
                (age > timeouts.idle + TIMEOUT_MARGIN).then_some(CloseCause::Idle)
            }
            ConnectionPhase::Head => {
                (age > timeouts.head + TIMEOUT_MARGIN).then_some(CloseCause::HeadTimeout)
            }
            ConnectionPhase::Body => self
                .is_slow(now, age, is_short)
                .then_some(CloseCause::SlowBody),
            // Its socket takes bytes in lumps of up to a large part of its buffer.
            ConnectionPhase::Writing => self
                .is_slow(now, age, false)
                .then_some(CloseCause::SlowReader),
            ConnectionPhase::Answering => None,
        }
    }

    fn is_slow(&self, now: Instant, age: Duration, is_short: bool) -> bool {
        let limit = if is_short {
            SHORT_STALL_TIMEOUT
        } else {
            STALL_TIMEOUT
        };
        let is_stalled = now.saturating_duration_since(self.last_progress) > limit;
        is_stalled || (age > RATE_GRACE && self.bytes < MIN_BYTES_PER_SECOND * age.as_secs())
    }

    /// Returns when the connection became useless, for [`choose_victim`]; `None` if it
    /// is in use.
    fn useless_since(&self) -> Option<(u8, Instant)> {
        match self.phase {
            ConnectionPhase::Head => Some((0, self.since)),
            ConnectionPhase::Idle => Some((1, self.since)),
            ConnectionPhase::Body => Some((2, self.last_progress)),
            ConnectionPhase::Answering | ConnectionPhase::Writing => None,
        }
    }
}

/// Chooses the connection that is closed for a new one when there are too many: the
/// oldest unfinished head, or else the connection that was idle for longest, or else the
/// body without progress for longest. `None` if all of them are being answered.
pub fn choose_victim<I: Copy>(
    connections: impl IntoIterator<Item = (I, ConnectionActivity)>,
) -> Option<I> {
    connections
        .into_iter()
        .filter_map(|(id, activity)| Some((activity.useless_since()?, id)))
        .min_by_key(|(useless_since, _id)| *useless_since)
        .map(|(_useless_since, id)| id)
}
