//! What the upstreams of a run held and ran, and the checks on that.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::record::Record;

#[derive(Debug, Clone, Copy, PartialEq)]
enum HoldChange {
    Granted { fence: u64, until: f64 },
    Released,
    Ended,
}

#[derive(Debug, Clone)]
struct HoldEvent {
    at: f64,
    instance: String,
    keys: (u16, u16),
    change: HoldChange,
}

/// A request that an upstream began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub path: String,
}

#[derive(Debug)]
pub struct Ledger {
    pub record: Arc<Record>,
    holds: Mutex<Vec<HoldEvent>>,
    runs: Mutex<Vec<Run>>,
    ends: Mutex<Vec<(f64, String)>>,
}

/// Keys that two upstreams held at the same time.
#[derive(Debug, Clone)]
pub struct Overlap {
    pub key: u16,
    pub from: f64,
    pub until: f64,
    pub holders: [String; 2],
}

impl Ledger {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            record,
            holds: Mutex::default(),
            runs: Mutex::default(),
            ends: Mutex::default(),
        })
    }

    fn add(&self, instance: &str, keys: (u16, u16), change: HoldChange) {
        let at = self.record.seconds();
        let event = HoldEvent {
            at,
            instance: instance.to_owned(),
            keys,
            change,
        };
        self.holds.lock().unwrap().push(event);
    }

    pub fn record_grant(&self, instance: &str, keys: (u16, u16), fence: u64, hold: Duration) {
        let until = self.record.seconds() + hold.as_secs_f64();
        let (first, last) = keys;
        self.record.line(&format!(
            "{instance} holds {first} to {last}, fence {fence}, until {until:.4}"
        ));
        self.add(instance, keys, HoldChange::Granted { fence, until });
    }

    pub fn record_release(&self, instance: &str, keys: (u16, u16)) {
        let (first, last) = keys;
        self.record
            .line(&format!("{instance} has released {first} to {last}"));
        self.add(instance, keys, HoldChange::Released);
    }

    /// Records the end of an upstream's process, which holds no keys any more.
    pub fn record_end(&self, instance: &str) {
        self.record.line(&format!("upstream {instance} ends"));
        self.add(instance, (0, u16::MAX), HoldChange::Ended);
        let ended = (self.record.seconds(), instance.to_owned());
        self.ends.lock().unwrap().push(ended);
    }

    pub fn record_run(&self, instance: &str, id: &str, path: &str, key: u16) {
        let at = self.record.seconds();
        self.record.line(&format!(
            "{instance} begins to run {id} ({path}, key {key})"
        ));
        self.runs.lock().unwrap().push(Run {
            at,
            id: id.to_owned(),
            path: path.to_owned(),
        });
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns when upstreams ended, with their names.
    pub fn ends(&self) -> Vec<(f64, String)> {
        self.ends.lock().unwrap().clone()
    }

    /// Returns where two upstreams held a key at the same time for longer than
    /// `limit`, for the first and last keys of all grants.
    pub fn overlaps(&self, limit: f64) -> Vec<Overlap> {
        let holds = self.holds.lock().unwrap().clone();
        let mut samples: Vec<u16> = holds
            .iter()
            .flat_map(|event| [event.keys.0, event.keys.1])
            .collect();
        samples.sort_unstable();
        samples.dedup();
        let mut found = Vec::new();
        for key in samples {
            let spans = spans_of(&holds, key);
            for (index, one) in spans.iter().enumerate() {
                for other in &spans[index + 1..] {
                    let from = one.1.max(other.1);
                    let until = one.2.min(other.2);
                    if one.0 != other.0 && until - from > limit {
                        found.push(Overlap {
                            key,
                            from,
                            until,
                            holders: [one.0.clone(), other.0.clone()],
                        });
                    }
                }
            }
        }
        found
    }

    /// Returns grants whose fence is not above all under which another upstream held
    /// the same key before.
    pub fn low_fences(&self) -> Vec<String> {
        let holds = self.holds.lock().unwrap().clone();
        let mut found = Vec::new();
        for (index, event) in holds.iter().enumerate() {
            let HoldChange::Granted { fence, .. } = event.change else {
                continue;
            };
            let is_low = holds[..index].iter().any(|former| {
                let overlaps = former.keys.0 <= event.keys.1 && event.keys.0 <= former.keys.1;
                matches!(former.change, HoldChange::Granted { fence: known, .. } if known >= fence)
                    && overlaps
                    && former.instance != event.instance
            });
            if is_low {
                found.push(format!("{event:?}"));
            }
        }
        found
    }
}

/// Returns the times in which each upstream held a key: its name, from, until.
fn spans_of(holds: &[HoldEvent], key: u16) -> Vec<(String, f64, f64)> {
    let mut spans: Vec<(String, f64, f64)> = Vec::new();
    for event in holds {
        if key < event.keys.0 || event.keys.1 < key {
            continue;
        }
        let open = spans
            .iter_mut()
            .rev()
            .find(|span| span.0 == event.instance && span.2 >= event.at);
        match (event.change, open) {
            (HoldChange::Granted { until, .. }, Some(span)) => span.2 = until,
            (HoldChange::Granted { until, .. }, None) => {
                spans.push((event.instance.clone(), event.at, until));
            }
            (HoldChange::Released | HoldChange::Ended, Some(span)) => span.2 = event.at,
            (HoldChange::Released | HoldChange::Ended, None) => {}
        }
    }
    spans
}
