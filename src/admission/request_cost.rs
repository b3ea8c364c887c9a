//! Learns from finished requests how much slot time a request is likely to cost.
//!
//! The usual cost of a kind is a mean of logarithms, in which a single outlier
//! counts no more than a sample at twice the usual spread. Within a kind, the
//! size of the body, the shape of the path and the key each have a factor,
//! learned from what the previous ones leave unexplained and shrunk towards 1
//! until there is enough evidence. Factors are kept in a table of fixed size, in
//! which rare values give way to frequent ones, so the memory is bounded however
//! many keys there are.
//!
//! How far costs stray from the usual ones is kept per kind as a histogram of
//! ratios. It tells the mean, which a long tail raises above the usual cost, and
//! what a request that has outlived its expectation still takes.
//!
//! The module is free of I/O and clocks. All costs are those at the usual pace of
//! the upstream.

use std::time::Duration;

use super::request_kinds::KindIndex;
use crate::base::hash::hash_key;

/// Number of factors kept for all kinds together; a power of two.
const FACTOR_CELLS: usize = 2048;

/// Samples over which the usual cost of a kind is averaged.
const KIND_SAMPLES: f32 = 32.0;

/// Samples over which a factor is averaged.
const FACTOR_SAMPLES: f32 = 16.0;

/// Largest number of samples that count as evidence for a factor, and of other
/// values' samples after which its cell is given away.
const MAX_EVIDENCE: f32 = 64.0;

/// Number of samples at which a factor is believed by half, for each of
/// [`RequestShape::tags`]. Keys are many and their samples few, so that the
/// spread of single costs would pass for a difference between keys.
const HALF_BELIEF_SAMPLES: [f32; 3] = [4.0, 4.0, 8.0];

/// A sample counts at most as this many times the spread.
const MAX_SPREADS: f32 = 2.0;

/// Spread of the logarithms of the costs of a kind before it is known, and the
/// smallest one, which lets a kind of constant cost follow a change.
const INITIAL_SPREAD: f32 = 0.5;
const MIN_SPREAD: f32 = 0.05;

/// Largest deviation of a logarithm that is considered: a factor of 20.
const MAX_DEVIATION: f32 = 3.0;

/// Buckets of the histogram of ratios, two for each doubling, from 1/16 to 64.
const RATIO_BUCKETS: usize = 20;
const MIN_RATIO_LOG2: f32 = -4.0;
const BUCKETS_PER_DOUBLING: f32 = 2.0;

/// What a sample in the histogram of ratios keeps of its weight at each later one.
const RATIO_DECAY: f32 = 1.0 - 1.0 / 512.0;

/// Smallest weight of the ratios above an age for which their mean is used.
const MIN_TAIL_WEIGHT: f32 = 0.5;

/// A tag of one property of a request; 0 if the request does not have it.
type FeatureTag = u32;

/// Properties of a request that may tell its cost within its kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestShape {
    tags: [FeatureTag; 3],
}

impl RequestShape {
    /// Returns the shape of a request with this path, which may include a query,
    /// and a body of this size in bytes. `key` tells what the request is about: its
    /// shard key, or `None` to take the whole path.
    pub fn new(path: &str, body_bytes: usize, key: Option<u64>) -> Self {
        let key = key.unwrap_or_else(|| hash_key(path.as_bytes()));
        Self {
            tags: [
                feature_tag(u64::from(
                    body_bytes.checked_ilog2().map_or(0, |log| log + 1),
                )),
                feature_tag(path_shape(path)),
                feature_tag(key),
            ],
        }
    }
}

fn feature_tag(value: u64) -> FeatureTag {
    hash_key(&value.to_le_bytes()) as FeatureTag | 1
}

/// Returns a hash of the path without the parts that name single objects:
/// segments with a digit and the values of query parameters.
fn path_shape(path: &str) -> u64 {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let names_object = |segment: &str| segment.bytes().any(|byte| byte.is_ascii_digit());
    let segments = path.split('/').map(|segment| match segment {
        segment if names_object(segment) => "*",
        segment => segment,
    });
    let parameters = query.split('&');
    let names = parameters.map(|pair| pair.split('=').next().unwrap_or_default());
    segments.chain(names).fold(0, |hash: u64, part| {
        hash.rotate_left(7) ^ hash_key(part.as_bytes())
    })
}

/// Expected slot time of a request, at the usual pace of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CostEstimate {
    /// What about half of such requests take. A long tail does not raise it.
    pub usual: Duration,
    /// What such requests take on average, the long tail included.
    pub mean: Duration,
}

/// How the costs of a kind relate to the expected ones.
#[derive(Debug, Clone, Copy, Default)]
struct RatioBucket {
    weight: f32,
    sum: f32,
}

#[derive(Debug, Clone, Default)]
struct KindCost {
    samples: f32,
    /// Logarithm of the usual cost in microseconds.
    log_usual: f32,
    /// Smoothed absolute deviation of the logarithms of single costs.
    spread: f32,
    ratios: [RatioBucket; RATIO_BUCKETS],
}

impl KindCost {
    fn record_ratio(&mut self, ratio: f32) {
        let position =
            (ratio.max(f32::MIN_POSITIVE).log2() - MIN_RATIO_LOG2) * BUCKETS_PER_DOUBLING;
        let index = (position.max(0.0) as usize).min(RATIO_BUCKETS - 1);
        for bucket in &mut self.ratios {
            bucket.weight *= RATIO_DECAY;
            bucket.sum *= RATIO_DECAY;
        }
        self.ratios[index].weight += 1.0;
        self.ratios[index].sum += ratio;
    }

    /// Returns the mean ratio of the costs to the expected ones.
    fn mean_ratio(&self) -> f32 {
        let weight: f32 = self.ratios.iter().map(|bucket| bucket.weight).sum();
        let sum: f32 = self.ratios.iter().map(|bucket| bucket.sum).sum();
        if weight > 0.0 { sum / weight } else { 1.0 }
    }

    /// Returns what a request still takes on average that has run for `age`, both
    /// as ratios to its usual cost.
    fn mean_residual(&self, age: f32) -> f32 {
        let (mut weight, mut residual) = (0.0, 0.0);
        let mut longest: f32 = 1.0;
        for bucket in self.ratios.iter().filter(|bucket| bucket.weight > 0.0) {
            let ratio = bucket.sum / bucket.weight;
            if ratio > age {
                weight += bucket.weight;
                residual += bucket.weight * (ratio - age);
            } else {
                longest = longest.max(ratio);
            }
        }
        if weight >= MIN_TAIL_WEIGHT {
            residual / weight
        } else if age < longest {
            longest - age
        } else {
            // Longer than all others: as long again as it is overdue.
            (age - longest).min(age / 2.0)
        }
    }
}

/// The learned factor of one value of one feature.
#[derive(Debug, Clone, Copy, Default)]
struct FactorCell {
    /// Tells the values apart that share a cell.
    check: u32,
    /// Number of samples, at most [`MAX_EVIDENCE`].
    samples: f32,
    log_factor: f32,
}

/// What requests have cost so far.
#[derive(Debug, Clone)]
pub struct CostModel {
    kinds: Vec<KindCost>,
    cells: Box<[FactorCell]>,
}

impl CostModel {
    /// Creates a model that knows nothing.
    pub fn new() -> Self {
        Self {
            kinds: Vec::new(),
            cells: vec![FactorCell::default(); FACTOR_CELLS].into(),
        }
    }

    /// Returns the expected cost of a request; `None` before the first of its kind
    /// has ended.
    pub fn estimate(&self, kind: KindIndex, shape: RequestShape) -> Option<CostEstimate> {
        let cost = self.kinds.get(kind).filter(|cost| cost.samples > 0.0)?;
        let usual = (cost.log_usual + self.log_factor(kind, shape)).exp();
        Some(CostEstimate {
            usual: micros(usual),
            mean: micros(usual * cost.mean_ratio()),
        })
    }

    /// Returns what a request of a kind still takes on average, given its usual
    /// cost and the slot time that it has used.
    pub fn remaining(&self, kind: KindIndex, usual: Duration, used: Duration) -> Duration {
        let usual = usual.max(Duration::from_micros(1));
        let age = used.as_secs_f32() / usual.as_secs_f32();
        let residual = match self.kinds.get(kind) {
            Some(cost) => cost.mean_residual(age),
            None => KindCost::default().mean_residual(age),
        };
        usual.mul_f32(residual)
    }

    /// Learns the cost of a request that has run to its end.
    pub fn learn(&mut self, kind: KindIndex, shape: RequestShape, cost: Duration) {
        if self.kinds.len() <= kind {
            self.kinds.resize_with(kind + 1, KindCost::default);
        }
        let cost = cost.as_secs_f32().max(1e-6) * 1e6;
        let log_factor = self.log_factor(kind, shape);
        let known = &mut self.kinds[kind];
        if known.samples == 0.0 {
            known.log_usual = cost.ln() - log_factor;
            known.spread = INITIAL_SPREAD;
        }
        known.record_ratio(cost / (known.log_usual + log_factor).exp());
        let deviation = (cost.ln() - known.log_usual).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        let limit = known.spread.max(MIN_SPREAD) * MAX_SPREADS;
        let clipped = deviation.clamp(-limit, limit);
        known.samples = (known.samples + 1.0).min(KIND_SAMPLES);
        known.log_usual += clipped / known.samples;
        known.spread += (deviation.abs() - known.spread) / KIND_SAMPLES;
        self.learn_factors(kind, shape, deviation, limit);
    }

    /// Learns from a request that deviates from its kind. Samples count at most `limit`
    /// away from the known factor.
    fn learn_factors(&mut self, kind: KindIndex, shape: RequestShape, deviation: f32, limit: f32) {
        let mut unexplained = deviation;
        for (feature, tag) in shape
            .tags
            .into_iter()
            .enumerate()
            .filter(|(_, tag)| *tag != 0)
        {
            let (index, check) = cell_position(kind, feature, tag);
            let cell = &mut self.cells[index];
            if cell.check != check {
                cell.samples -= 1.0;
                if cell.samples > 0.0 {
                    continue;
                }
                *cell = FactorCell {
                    check,
                    ..FactorCell::default()
                };
            }
            cell.samples = (cell.samples + 1.0).min(MAX_EVIDENCE);
            let clipped = (unexplained - cell.log_factor).clamp(-limit, limit);
            cell.log_factor += clipped / cell.samples.min(FACTOR_SAMPLES);
            unexplained -= cell.believed(feature);
        }
    }

    fn log_factor(&self, kind: KindIndex, shape: RequestShape) -> f32 {
        let tags = shape.tags.into_iter().enumerate();
        let factors = tags.filter(|(_, tag)| *tag != 0).map(|(feature, tag)| {
            let (index, check) = cell_position(kind, feature, tag);
            let cell = self.cells[index];
            if cell.check == check {
                cell.believed(feature)
            } else {
                0.0
            }
        });
        factors.sum()
    }
}

impl Default for CostModel {
    fn default() -> Self {
        Self::new()
    }
}

impl FactorCell {
    /// Returns the logarithm of the factor, shrunk towards 0 while samples are few.
    fn believed(self, feature: usize) -> f32 {
        self.log_factor * self.samples / (self.samples + HALF_BELIEF_SAMPLES[feature])
    }
}

/// Returns the cell of a value, and the check by which it is recognised there.
fn cell_position(kind: KindIndex, feature: usize, tag: FeatureTag) -> (usize, u32) {
    let value = (kind as u64) << 40 | (feature as u64) << 32 | u64::from(tag);
    let hash = hash_key(&value.to_le_bytes());
    (hash as usize % FACTOR_CELLS, (hash >> 32) as u32)
}

fn micros(micros: f32) -> Duration {
    Duration::from_micros(micros.clamp(1.0, 1e9).round() as u64)
}
