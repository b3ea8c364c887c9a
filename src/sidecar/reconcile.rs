//! Decides which change of the range map is due, if any.
//!
//! Pure functions of the map and the live members. Several sidecars may decide
//! on the same change; the store accepts the first write, and the others decide
//! again from the new map.

use std::time::Duration;

use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::ServiceName;
use crate::peers::message::MemberRecord;
use crate::ranges::edit::HolderCandidate;
use crate::ranges::edit::MapEdit;
use crate::ranges::edit::choose_targets;
use crate::ranges::map::KeyRange;
use crate::ranges::map::RangeMap;
use crate::ranges::share_out::NewHolders;

/// Time that unowned keys stay unassigned, so that sidecars that start together
/// all become holders and share the keys.
const ASSIGN_DELAY: Duration = Duration::from_millis(300);

/// Difference in delay between two sidecars that decide on the same change, so
/// that the second one usually sees the first one's write.
pub const STAGGER_STEP: Duration = Duration::from_millis(120);

/// Longest time that a candidate leaves its adoption to others.
const MAX_ADOPTION_DELAY: Duration = Duration::from_millis(900);

/// Decides on changes of the map, from the state that one sidecar sees.
#[derive(Debug)]
pub struct MapReconciler<'a> {
    /// This sidecar.
    pub own: Incarnation,
    /// Service that the local upstream serves.
    pub service: &'a str,
    /// The newest known map.
    pub map: &'a RangeMap,
    /// Services that are sharded by key.
    pub sharded: &'a [ServiceName],
    /// Live sidecars, including this one, whose upstream takes requests and
    /// serves a sharded service.
    pub candidates: &'a [HolderCandidate],
}

impl<'a> MapReconciler<'a> {
    /// Creates the reconciler of the sidecar `own`.
    pub fn new(
        own: &'a MemberRecord,
        map: &'a RangeMap,
        sharded: &'a [ServiceName],
        candidates: &'a [HolderCandidate],
    ) -> Self {
        Self {
            own: own.incarnation,
            service: &own.service,
            map,
            sharded,
            candidates,
        }
    }

    fn is_candidate(&self) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.incarnation == self.own)
    }

    /// Returns the live holders of this sidecar's service, sorted by
    /// incarnation. Includes this sidecar if it is one.
    pub fn service_holders(&self) -> Vec<Incarnation> {
        let mut holders: Vec<Incarnation> = self
            .candidates
            .iter()
            .filter(|candidate| &*candidate.service == self.service)
            .map(|candidate| candidate.incarnation)
            .filter(|candidate| self.map.holder(*candidate).is_some())
            .collect();
        holders.sort_unstable();
        holders
    }

    /// Returns how long this sidecar leaves a change to others: zero for the
    /// oldest live holder of the service, and a step more for each next one.
    pub fn stagger_delay(&self) -> Duration {
        let holders = self.service_holders();
        let rank = holders.iter().position(|holder| *holder == self.own);
        STAGGER_STEP * rank.unwrap_or(holders.len()) as u32
    }

    /// Returns the change that makes every candidate a holder; `None` unless
    /// this sidecar is a candidate and not a holder yet.
    pub fn adopt_candidates(&self) -> Option<MapEdit> {
        if !self.is_candidate() || self.map.holder(self.own).is_some() {
            return None;
        }
        let missing =
            |candidate: &&HolderCandidate| self.map.holder(candidate.incarnation).is_none();
        Some(MapEdit::Adopt {
            sharded: self.sharded.to_vec(),
            candidates: self.candidates.iter().filter(missing).cloned().collect(),
        })
    }

    /// Returns how long this sidecar leaves the adoption of the candidates to
    /// others: zero for the oldest candidate that is no holder, and a step more for
    /// each next one, so that one write adopts a fleet that starts together.
    pub fn adoption_delay(&self) -> Duration {
        let older = self.candidates.iter().filter(|candidate| {
            candidate.incarnation < self.own && self.map.holder(candidate.incarnation).is_none()
        });
        (STAGGER_STEP * older.count() as u32).min(MAX_ADOPTION_DELAY)
    }

    /// Returns the change that assigns the unowned keys of this sidecar's
    /// service to its holders; `None` if there are none, or if `noticed`, the
    /// time since they were first seen, is too short.
    pub fn assign_unowned(&self, noticed: Duration) -> Option<MapEdit> {
        if noticed < ASSIGN_DELAY + self.stagger_delay() || !self.has_unowned() {
            return None;
        }
        let keys: u32 = self.unowned().map(KeyRange::key_count).sum();
        Some(MapEdit::Assign {
            service: self.service.into(),
            targets: choose_targets(&self.service_holders(), keys, self.own),
        })
    }

    /// Returns whether any keys of this sidecar's service have no owner.
    pub fn has_unowned(&self) -> bool {
        self.unowned().next().is_some()
    }

    fn unowned(&self) -> impl Iterator<Item = &KeyRange> {
        let service = self.map.service(self.service);
        let ranges = service.into_iter().flat_map(|service| &service.ranges);
        ranges.filter(|range| range.owner.is_none())
    }

    /// Returns the change that removes a holder whose voters refuse it under
    /// `term`, and divides its keys among the others; `None` while `noticed`,
    /// the time since that was proven, is too short.
    pub fn expel(&self, holder: Incarnation, term: Offset, noticed: Duration) -> Option<MapEdit> {
        if noticed < self.stagger_delay() {
            return None;
        }
        let mut targets = self.service_holders();
        targets.retain(|target| *target != holder);
        let owned = self.map.owned_by(holder);
        let keys = owned.iter().map(KeyRange::key_count).sum();
        let targets = choose_targets(&targets, keys, holder);
        Some(MapEdit::Expel {
            holder,
            term,
            targets,
        })
    }

    /// Returns the holders without keys that this sidecar gives keys to; `None` if there
    /// are none.
    pub fn new_holders(&self) -> Option<NewHolders> {
        let holders = self.service_holders();
        let counted: Vec<(Incarnation, u32)> = holders
            .iter()
            .map(|holder| {
                let owned = self.map.owned_by(*holder);
                (*holder, owned.iter().map(KeyRange::key_count).sum())
            })
            .collect();
        NewHolders::of_owner(self.own, &counted)
    }
}
