//! How long work takes at an upstream now, by what it announces.
//!
//! An upstream whose VM is shared runs at a pace that changes several times a second.
//! Some state it in their responses. The rules are made for these situations:
//!
//! * Neighbours slow some of the upstreams for moments: the pace follows the statements
//!   within a few responses, and fades without them, so that a slowed upstream that gets
//!   no requests is tried again.
//! * A statement is false: it counts only while it predicts the measured service times
//!   better than no statement does, and only within bounds.
//!
//! The module is free of I/O and clocks: the caller passes the current time as a
//! [`Duration`] since an arbitrary start.

use std::time::Duration;

use super::condition::WorkPace;
use crate::base::collections::FastMap;

/// Lowest and highest pace that counts, as a factor on the usual service time.
const PACE_RANGE: (f64, f64) = (0.25, 8.0);

/// Time in which a newer statement replaces most of the older ones.
const SMOOTHING_TIME: Duration = Duration::from_millis(100);

/// Age at which a statement no longer counts. Until then it counts less and less.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// Weight of a sample in smoothed service times.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of a sample in smoothed prediction errors. Where a pace changes, both
/// predictions err for a moment, so that errors are compared over several changes.
const ERROR_WEIGHT: f64 = 1.0 / 64.0;

/// Measured service times after which statements count.
const MIN_SAMPLES: u32 = 32;

/// Statements count while their prediction error is below this fraction of the error
/// without them.
const MAX_ERROR_RATIO: f64 = 0.8;

/// Most kinds of requests whose service times are compared.
const MAX_KINDS: usize = 64;

/// What an upstream states about its load in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnnouncedLoad {
    /// Number of running requests, of all senders.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// How long work takes; `None` if it does not say.
    pub pace: Option<WorkPace>,
}

impl AnnouncedLoad {
    /// Parses running, waiting, slots and, in hundredths of the usual time, the pace,
    /// separated by commas. Further fields are ignored, and a pace that is not one
    /// counts as absent. Returns `None` if one of the first three is not a number.
    pub fn parse(text: &str) -> Option<Self> {
        const PERMILLE_PER_PERCENT: f64 = 10.0;
        let mut fields = text.split(',').map(str::trim);
        let mut count = || fields.next()?.parse().ok();
        let (running, waiting, slots) = (count()?, count()?, count()?);
        let percent = fields.next().and_then(|field| field.parse::<f64>().ok());
        let permille = percent.map(|percent| percent * PERMILLE_PER_PERCENT);
        Some(Self {
            running,
            waiting,
            slots,
            pace: permille.and_then(|permille| WorkPace::from_permille(permille as u16)),
        })
    }
}

/// Smoothed service times of a kind of request, in seconds.
#[derive(Debug, Clone, Copy)]
struct KindTimes {
    measured: f64,
    /// Divided by the stated pace.
    usual: f64,
}

/// Follows the pace that one upstream process states.
#[derive(Debug, Clone, Default)]
pub struct PaceTracker {
    /// The smoothed pace, as a factor, and when it was last stated.
    stated: Option<(f64, Duration)>,
    kinds: FastMap<Box<str>, KindTimes>,
    samples: u32,
    /// Smoothed errors of the predictions without and with the stated pace.
    errors: (f64, f64),
}

impl PaceTracker {
    /// Records the pace that a response stated at `now`.
    pub fn state(&mut self, now: Duration, pace: WorkPace) {
        let stated = pace.factor().clamp(PACE_RANGE.0, PACE_RANGE.1);
        let smoothed = self.stated.map_or(stated, |(known, since)| {
            let age = now.saturating_sub(since).as_secs_f64();
            let kept = (-age / SMOOTHING_TIME.as_secs_f64()).exp() / 2.0;
            stated + (known - stated) * kept
        });
        self.stated = Some((smoothed, now));
    }

    /// Compares the service time of a request that has just ended with what the stated
    /// pace predicts. `pace` is the mean pace during the request.
    pub fn measure(&mut self, kind: &str, held: Duration, pace: f64) {
        let held = held.as_secs_f64();
        let pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
        if held <= 0.0 || (self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind)) {
            return;
        }
        let Some(times) = self.kinds.get_mut(kind) else {
            let times = KindTimes {
                measured: held,
                usual: held / pace,
            };
            self.kinds.insert(kind.into(), times);
            return;
        };
        let without = (held / times.measured).ln().abs();
        let with = (held / (times.usual * pace)).ln().abs();
        self.errors.0 += (without - self.errors.0) * ERROR_WEIGHT;
        self.errors.1 += (with - self.errors.1) * ERROR_WEIGHT;
        times.measured += (held - times.measured) * SAMPLE_WEIGHT;
        times.usual += (held / pace - times.usual) * SAMPLE_WEIGHT;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the pace that was last stated, whether it counts or not, as a factor.
    pub fn stated(&self, now: Duration) -> f64 {
        self.stated.map_or(1.0, |(pace, since)| {
            let age = now.saturating_sub(since).as_secs_f64();
            let fresh = 1.0 - age / MAX_AGE.as_secs_f64();
            1.0 + (pace - 1.0) * fresh.max(0.0)
        })
    }

    /// Returns the pace to count with at `now`; the usual one unless statements predict
    /// the measured service times better than none.
    pub fn pace(&self, now: Duration) -> WorkPace {
        let is_proven =
            self.samples >= MIN_SAMPLES && self.errors.1 < self.errors.0 * MAX_ERROR_RATIO;
        if !is_proven {
            return WorkPace::USUAL;
        }
        let permille = self.stated(now) * f64::from(WorkPace::USUAL.permille());
        WorkPace::from_permille(permille as u16).unwrap_or_default()
    }
}
