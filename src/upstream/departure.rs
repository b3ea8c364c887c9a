//! Upstream processes that leave, and how their late announcements are recognised.
//!
//! Everything here is pure, so that tests can pass departures and announcements that
//! are late, repeated or out of order.

use serde::Deserialize;
use serde::Serialize;

use crate::base::ids::InstanceId;

/// Most departures that are kept. A VM has one upstream at a time, so a few are
/// enough.
pub const MAX_DEPARTURES: usize = 8;

/// Announcements with a sequence number up to this come from an upstream process that
/// has just started, since each process starts over with small numbers.
const MAX_INITIAL_SEQUENCE: u64 = 2;

/// An upstream process that leaves: it finishes its requests and takes no new ones.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DepartedUpstream {
    /// Name of the upstream. A restarted upstream may reuse it.
    pub instance: InstanceId,
    /// Start time of the process by its own clock, in milliseconds since the Unix
    /// epoch; `None` if it is not known.
    pub started_unix_ms: Option<u64>,
    /// Time of the departure by the VM's clock, in milliseconds since the Unix epoch.
    pub departed_unix_ms: u64,
}

impl DepartedUpstream {
    /// Returns whether an announcement was sent by this process, or by an earlier one
    /// with the same name.
    ///
    /// Both start times are by the upstream's clock, so they are compared if they are
    /// known. Otherwise a later process is recognised by a start after the departure
    /// or by its small sequence numbers.
    fn has_sent(&self, instance: &str, started_unix_ms: Option<u64>, sequence: u64) -> bool {
        let is_later = match (self.started_unix_ms, started_unix_ms) {
            (Some(departed), Some(started)) => started > departed,
            (None, Some(started)) if started > self.departed_unix_ms => true,
            _ => sequence <= MAX_INITIAL_SEQUENCE,
        };
        *self.instance == *instance && !is_later
    }

    fn is_same_process(&self, other: &Self) -> bool {
        self.instance == other.instance && self.started_unix_ms == other.started_unix_ms
    }
}

/// The newest departures of one VM's upstreams, at most [`MAX_DEPARTURES`], in the
/// order of their time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DepartureList(Vec<DepartedUpstream>);

impl DepartureList {
    /// Adds departures. Returns whether any was not known.
    pub fn merge(&mut self, departures: &[DepartedUpstream]) -> bool {
        let former = self.0.clone();
        for departed in departures {
            let known = self.0.iter_mut();
            match known
                .into_iter()
                .find(|known| known.is_same_process(departed))
            {
                Some(known) if known.started_unix_ms.is_none() => {
                    // Possibly another process with the same name.
                    known.departed_unix_ms = known.departed_unix_ms.max(departed.departed_unix_ms);
                }
                Some(_) => {}
                None => self.0.push(departed.clone()),
            }
        }
        self.0.sort_by_key(|departed| departed.departed_unix_ms);
        let surplus = self.0.len().saturating_sub(MAX_DEPARTURES);
        self.0.drain(..surplus);
        self.0 != former
    }

    /// Returns whether an announcement was sent by a process that has departed.
    pub fn includes(&self, instance: &str, started_unix_ms: Option<u64>, sequence: u64) -> bool {
        self.0
            .iter()
            .any(|departed| departed.has_sent(instance, started_unix_ms, sequence))
    }

    /// Returns the departures that `other` lacks. A full list lacks none, since it
    /// may have dropped them.
    pub fn missing_in(&self, other: &[DepartedUpstream]) -> Vec<DepartedUpstream> {
        if other.len() >= MAX_DEPARTURES {
            return Vec::new();
        }
        let is_missing = |departed: &&DepartedUpstream| {
            !other.iter().any(|known| known.is_same_process(departed))
        };
        self.0.iter().filter(is_missing).cloned().collect()
    }

    /// Returns all departures.
    pub fn entries(&self) -> &[DepartedUpstream] {
        &self.0
    }

    /// Returns whether there are no departures.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
