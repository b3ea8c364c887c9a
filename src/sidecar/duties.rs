//! Which change of the range map is due, if any.
//!
//! Pure: from what a process sees to the next map. Several processes may see
//! the same need; the store takes the first change and the others look again.

use std::time::Duration;

use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::ServiceName;
use crate::peers::message::MemberRecord;
use crate::ranges::edit::HolderCandidate;
use crate::ranges::edit::MapEdit;
use crate::ranges::map::KeyRange;
use crate::ranges::map::RangeMap;

/// How long keys without an owner wait for further holders of their service,
/// so that processes that start together share them.
const ASSIGN_DELAY: Duration = Duration::from_millis(300);

/// Time between two processes that see the same need.
const STAGGER: Duration = Duration::from_millis(120);

/// What a process sees when it looks for duties.
#[derive(Debug)]
pub struct DutyView<'a> {
    /// This process.
    pub own: Incarnation,
    /// The service of its upstream.
    pub service: &'a str,
    /// The newest map.
    pub map: &'a RangeMap,
    /// The services that are divided by key.
    pub divided: &'a [ServiceName],
    /// Live processes, this one included, whose upstream takes requests and
    /// serves a divided service.
    pub candidates: &'a [HolderCandidate],
}

impl<'a> DutyView<'a> {
    /// Creates the view of a process.
    pub fn new(
        own: &'a MemberRecord,
        map: &'a RangeMap,
        divided: &'a [ServiceName],
        candidates: &'a [HolderCandidate],
    ) -> Self {
        Self {
            own: own.incarnation,
            service: &own.service,
            map,
            divided,
            candidates,
        }
    }

    fn is_candidate(&self) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.incarnation == self.own)
    }

    /// Returns the candidates of this process's service that are holders.
    pub fn mates(&self) -> Vec<Incarnation> {
        let mut mates: Vec<Incarnation> = self
            .candidates
            .iter()
            .filter(|candidate| &*candidate.service == self.service)
            .map(|candidate| candidate.incarnation)
            .filter(|candidate| self.map.holder(*candidate).is_some())
            .collect();
        mates.sort_unstable();
        mates
    }

    /// Returns how long this process leaves a duty to the others.
    pub fn stagger(&self) -> Duration {
        let mates = self.mates();
        let rank = mates.iter().position(|mate| *mate == self.own);
        STAGGER * rank.unwrap_or(mates.len()) as u32
    }

    /// Makes every candidate a holder, if this process is one and is none yet.
    pub fn adopt_candidates(&self) -> Option<MapEdit> {
        if !self.is_candidate() || self.map.holder(self.own).is_some() {
            return None;
        }
        let missing =
            |candidate: &&HolderCandidate| self.map.holder(candidate.incarnation).is_none();
        Some(MapEdit::Adopt {
            sharded: self.divided.to_vec(),
            candidates: self.candidates.iter().filter(missing).cloned().collect(),
        })
    }

    /// Assigns the keys of this process's service that nobody owns, once that
    /// has been the case for `noticed`.
    pub fn assign_unowned(&self, noticed: Duration) -> Option<MapEdit> {
        if noticed < ASSIGN_DELAY + self.stagger() || !self.has_unowned() {
            return None;
        }
        Some(MapEdit::Assign {
            service: self.service.into(),
            targets: self.mates(),
        })
    }

    /// Tells whether keys of this process's service have no owner.
    pub fn has_unowned(&self) -> bool {
        let service = self.map.service(self.service);
        service.is_some_and(|service| service.ranges.iter().any(|range| range.owner.is_none()))
    }

    /// Ends a holder that its voters refuse, and divides its keys.
    pub fn expel(&self, holder: Incarnation, term: Offset, noticed: Duration) -> Option<MapEdit> {
        if noticed < self.stagger() {
            return None;
        }
        let mut targets = self.mates();
        targets.retain(|mate| *mate != holder);
        Some(MapEdit::Expel {
            holder,
            term,
            targets,
        })
    }

    /// Returns the keys that this process, as the owner of most, gives to a
    /// holder that has none: its even share.
    pub fn share_for_newcomer(&self) -> Option<(KeyRange, Incarnation)> {
        let mates = self.mates();
        let span_of = |mate: Incarnation| -> u32 {
            self.map
                .owned_by(mate)
                .iter()
                .map(KeyRange::key_count)
                .sum()
        };
        let newcomer = mates.iter().copied().find(|mate| span_of(*mate) == 0)?;
        let largest = mates
            .iter()
            .copied()
            .max_by_key(|mate| (span_of(*mate), *mate))?;
        if largest != self.own {
            return None;
        }
        let total: u32 = mates.iter().copied().map(span_of).sum();
        let share = (total / mates.len() as u32).min(span_of(self.own) / 2);
        let owned = self.map.owned_by(self.own);
        let range = owned.iter().max_by_key(|range| range.key_count())?;
        let keys = share.min(range.key_count() / 2 + 1).max(1);
        let first = u32::from(range.last) + 1 - keys;
        let part = range.intersection(first as u16, range.last)?;
        Some((part, newcomer))
    }
}
