//! The kinds of requests of one upstream, with what is known of each.

use std::time::Duration;

use super::load::ClassTag;
use super::load::class_tag;
use super::slot_share::KindUsage;

/// Each sample has a weight of 1 / 8 in the smoothed service time of its kind.
const KIND_SAMPLE_DIVISOR: u32 = 8;

/// Each shorter target has a weight of 1 / 256 in the target of its kind.
const TARGET_SAMPLE_DIVISOR: u32 = 256;

/// Index of a kind of request.
pub type KindIndex = usize;

/// Requests of one route.
#[derive(Debug, Clone)]
struct RequestKind {
    name: Box<str>,
    /// Names the kind to other processes.
    tag: ClassTag,
    rank: u8,
    /// Smoothed service time; none before the first sample.
    service: Option<Duration>,
    /// Smoothed absolute difference between the service time and single samples of it.
    deviation: Duration,
    /// Slot time requested since the last sample.
    requested: Duration,
    /// Smoothed number of slots that the kind would keep busy.
    offered: f32,
    /// Slot time of the requests that started since the last sample.
    started: Duration,
    /// Smoothed number of slots that the kind keeps busy.
    busy: f32,
    /// Longest recent time from the arrival of a request to its target, which is that of
    /// its route: a request that comes again has less. None before the first request.
    target: Option<Duration>,
}

impl RequestKind {
    /// Returns how long its requests may wait without missing their target.
    fn slack(&self) -> Duration {
        let target = self.target.unwrap_or(Duration::MAX);
        target.saturating_sub(self.service.unwrap_or_default())
    }
}

/// All kinds, in the order of their first requests.
#[derive(Debug, Default)]
pub struct RequestKinds {
    kinds: Vec<RequestKind>,
}

impl RequestKinds {
    /// Returns the index of the kind called `name`, adding it if it is new, and sets
    /// its rank; 0 is the most urgent.
    pub fn register(&mut self, name: &str, rank: u8) -> KindIndex {
        let known = self.kinds.iter().position(|kind| &*kind.name == name);
        let index = known.unwrap_or(self.kinds.len());
        if known.is_none() {
            self.kinds.push(RequestKind {
                name: name.into(),
                tag: class_tag(name),
                rank,
                service: None,
                deviation: Duration::ZERO,
                requested: Duration::ZERO,
                offered: 0.0,
                started: Duration::ZERO,
                busy: 0.0,
                target: None,
            });
        }
        self.kinds[index].rank = rank;
        index
    }

    /// Returns the tags of all kinds, in the order of their indices.
    pub fn tags(&self) -> impl Iterator<Item = ClassTag> {
        self.kinds.iter().map(|kind| kind.tag)
    }

    /// Returns the rank of a kind.
    pub fn rank(&self, kind: KindIndex) -> u8 {
        self.kinds[kind].rank
    }

    /// Returns the smoothed service time of a kind; `None` before its first request
    /// has ended.
    pub fn service(&self, kind: KindIndex) -> Option<Duration> {
        self.kinds[kind].service
    }

    /// Returns by how much single service times differ from the smoothed one.
    pub fn deviation(&self, kind: KindIndex) -> Duration {
        self.kinds[kind].deviation
    }

    /// Records that a request of a kind arrived that needs `slot_time` and is due after
    /// `target`, whether it is refused or not.
    pub fn record_demand(&mut self, kind: KindIndex, slot_time: Duration, target: Duration) {
        let kind = &mut self.kinds[kind];
        kind.requested += slot_time;
        let known = kind.target.unwrap_or(target);
        kind.target = Some(target.max(smooth(known, target, TARGET_SAMPLE_DIVISOR)));
    }

    /// Records that a request of a kind started that needs `slot_time`.
    pub fn record_start(&mut self, kind: KindIndex, slot_time: Duration) {
        self.kinds[kind].started += slot_time;
    }

    /// Records that a request of a kind ran to its end and held its slot for `held`.
    pub fn learn(&mut self, kind: KindIndex, held: Duration) {
        let kind = &mut self.kinds[kind];
        let known = kind.service.unwrap_or(held);
        kind.deviation = smooth(kind.deviation, held.abs_diff(known), KIND_SAMPLE_DIVISOR);
        kind.service = Some(smooth(known, held, KIND_SAMPLE_DIVISOR));
    }

    /// Updates the smoothed demand with that of the last `interval`. `weight` is the
    /// weight of this sample, from 0 to 1.
    pub fn sample(&mut self, interval: Duration, weight: f32) {
        for kind in &mut self.kinds {
            let sample = kind.requested.as_secs_f32() / interval.as_secs_f32();
            kind.requested = Duration::ZERO;
            kind.offered += (sample - kind.offered) * weight;
            let sample = kind.started.as_secs_f32() / interval.as_secs_f32();
            kind.started = Duration::ZERO;
            kind.busy += (sample - kind.busy) * weight;
        }
    }

    /// Returns the smoothed number of slots that all requests together would keep
    /// busy, refused ones included.
    pub fn offered(&self) -> f32 {
        self.kinds.iter().map(|kind| kind.offered).sum()
    }

    /// Returns what each kind uses of the slots, of which `running` tells the number
    /// of its running requests.
    pub fn usage(
        &self,
        running: impl Fn(KindIndex) -> u32 + Clone,
    ) -> impl Iterator<Item = KindUsage> + Clone {
        let kinds = self.kinds.iter().enumerate();
        kinds.map(move |(index, kind)| KindUsage {
            rank: kind.rank,
            running: running(index),
            busy: kind.busy,
            slack: kind.slack(),
        })
    }
}

/// Returns the exponentially weighted moving average after a sample that has a
/// weight of 1 / `divisor`.
pub(super) fn smooth(smoothed: Duration, sample: Duration, divisor: u32) -> Duration {
    (smoothed * (divisor - 1) + sample) / divisor
}
