//! Links to other sidecars, with the load that this entry has observed there.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::conditions::PeerConditions;
use super::fleet::FleetState;
use crate::admission::load::ClassTag;
use crate::admission::load::OwnerLoad;
use crate::base::boot_clock::since_boot;
use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;
use crate::base::ids::NodeName;
use crate::base::process_end::ProcessEnd;
use crate::held_bytes::budget::ByteBudget;
use crate::load_balancing::UpstreamCandidate;
use crate::transport::link::EntryProcess;
use crate::transport::link::PeerLink;

/// A link to another sidecar, with the requests that this entry has in flight
/// there.
#[derive(Debug, Clone)]
pub(super) struct TrackedLink {
    pub(super) link: PeerLink,
    pub(super) in_flight: Arc<AtomicU32>,
    pub(super) observed: Arc<Mutex<ObservedLoad>>,
    /// Node of the other sidecar.
    pub(super) node: NodeName,
}

/// The links of an entry, and what the upstreams at their ends stated.
#[derive(Debug)]
pub(super) struct PeerLinks {
    links: Mutex<FastMap<Incarnation, TrackedLink>>,
    pub(super) conditions: PeerConditions,
    entry: EntryProcess,
}

impl PeerLinks {
    /// Creates the links of the process `own`, which ends at `end` and holds what they
    /// carry within `budget`.
    pub(super) fn new(own: Incarnation, end: ProcessEnd, budget: ByteBudget) -> Self {
        Self {
            links: Mutex::default(),
            conditions: PeerConditions::default(),
            entry: EntryProcess::new(own, end).with_budget(budget),
        }
    }

    /// Returns the link to a peer, and opens it first if there is none; `None` if
    /// the peer is not known.
    pub(super) fn open(&self, fleet: &FleetState, peer: Incarnation) -> Option<TrackedLink> {
        let mut links = self.lock();
        if let Some(link) = links.get(&peer) {
            return Some(link.clone());
        }
        let directory = fleet.directory();
        let member = directory.find(peer)?.member.clone();
        links.retain(|incarnation, _link| directory.find(*incarnation).is_some());
        self.conditions.retain(|node| directory.has_node(node));
        drop(directory);
        let link = TrackedLink {
            link: PeerLink::start(&self.entry, peer, member.address),
            in_flight: Arc::default(),
            observed: Arc::default(),
            node: member.node,
        };
        links.insert(peer, link.clone());
        Some(link)
    }

    /// Locks and returns the open links. Must not be held across an await.
    pub(super) fn lock(&self) -> MutexGuard<'_, FastMap<Incarnation, TrackedLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The load that the newest response carried, and the number of requests sent
/// since.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ObservedLoad {
    pub(super) load: OwnerLoad,
    /// When the response arrived, by the clock of [`since_boot`].
    pub(super) at: Duration,
    pub(super) sent_since: u32,
}

impl TrackedLink {
    pub(super) fn observed(&self) -> MutexGuard<'_, ObservedLoad> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record_load(&self) {
        *self.observed() = ObservedLoad {
            load: self.link.load(),
            at: since_boot(),
            sent_since: 0,
        };
    }
}

/// Counts a request as in flight until dropped.
pub(super) struct InFlightGuard(Arc<AtomicU32>);

impl InFlightGuard {
    pub(super) fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Refines a candidate's reported load with this entry's own observations: the
/// load from the newest response, if it is newer than the report, and the
/// requests sent since that response. `class` is the kind of the new request.
pub(super) fn apply_observed_load(
    candidate: &mut UpstreamCandidate,
    link: &TrackedLink,
    now: Duration,
    class: ClassTag,
) {
    let observed = *link.observed();
    let in_flight = link.in_flight.load(Ordering::Relaxed);
    candidate.unreported = observed.sent_since.min(in_flight);
    candidate.observe(&observed.load, now.saturating_sub(observed.at), class);
}
