//! The state that is folded from the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::record::ChainKey;
use super::record::MemberInfo;
use crate::base::ids::ChangeId;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::Sequence;
use crate::base::ids::Term;
use crate::base::ids::Version;
use crate::declarations::ClassDeclaration;
use crate::declarations::Declaration;
use crate::declarations::ObjectKey;
use crate::declarations::RuleDeclaration;
use crate::declarations::ServiceDeclaration;

/// One position of a chain: a holder at an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChainEntry {
    /// The process that holds the position.
    pub holder: Incarnation,
    /// Whether the holder has resigned the position, which is irrevocable.
    pub resigned: bool,
}

/// The ordered holders of a slice or key: owner, then successors.
///
/// Position `i` may serve while its holder's lease is live and every earlier
/// position is vacated: resigned, or its holder has ended. Vacated positions
/// are trimmed from the front.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderChain {
    /// Epoch of the first entry.
    pub first_epoch: Epoch,
    /// The positions, with consecutive epochs.
    pub entries: Vec<ChainEntry>,
    /// Holders at epochs below this one are asked to resign: successors at once,
    /// the serving holder after it has finished its running requests and handed
    /// over. Zero if no move was ever planned.
    pub target_epoch: Epoch,
}

impl HolderChain {
    /// Returns the epoch of the next appended holder.
    pub fn next_epoch(&self) -> Epoch {
        self.first_epoch + self.entries.len() as Epoch
    }
}

/// The witnesses whose quorum can certify that a member's lease has lapsed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WitnessSet {
    /// Version of the set; 0 before the planner has named any.
    pub version: Version,
    /// The witnesses, at most one per failure domain where possible.
    pub members: Vec<Incarnation>,
}

impl WitnessSet {
    /// Returns the number of witnesses in a quorum: a majority of the set.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// A member that has joined and not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberState {
    /// What it announced in its latest join record.
    pub info: MemberInfo,
    /// Its current witnesses.
    pub witnesses: WitnessSet,
    /// Its witnesses before the latest change; they may still certify that its
    /// lease has lapsed.
    pub previous_witnesses: WitnessSet,
    /// Whether it is draining and gets no new positions.
    pub draining: bool,
    /// Offset of its first join record.
    pub joined_at: Offset,
    /// Sequence of its last folded batch.
    pub sequence: Sequence,
}

/// One version of a declared object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectState {
    /// The version; the first one is 1.
    pub version: Version,
    /// The change that created this version.
    pub change: ChangeId,
    /// The operator who submitted that change.
    pub operator: Box<str>,
    /// The declaration; none if the object is deleted.
    pub declaration: Option<Declaration>,
}

/// The verdict on an operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ChangeVerdict {
    /// Accepted as this version of the object; 0 if the change declared an
    /// incarnation lost.
    Accepted(Version),
    /// Rejected, because the change was not based on the current version.
    Conflict {
        /// The current version; 0 if the object never existed.
        version: Version,
        /// The change that created it; empty if the object never existed.
        change: ChangeId,
        /// The operator who submitted that change; empty if the object never
        /// existed.
        operator: Box<str>,
    },
}

/// Ended incarnations, which a late copy of a join record must not revive.
///
/// The set is bounded: the smallest incarnations, which started first, are
/// replaced by a floor. An incarnation at or below the floor cannot join.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndedSet {
    floor: Incarnation,
    recent: BTreeSet<Incarnation>,
}

impl EndedSet {
    /// Number of incarnations that are stored individually.
    pub const CAPACITY: usize = 4096;

    /// Adds an incarnation, raising the floor if the set is full.
    pub fn insert(&mut self, incarnation: Incarnation) {
        self.recent.insert(incarnation);
        while self.recent.len() > Self::CAPACITY {
            if let Some(smallest) = self.recent.pop_first() {
                self.floor = self.floor.max(smallest);
            }
        }
    }

    /// Returns whether an incarnation has ended or is too old to join.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        incarnation <= self.floor || self.recent.contains(&incarnation)
    }

    /// Returns the greatest incarnation that is too old to join; 0 if none is.
    pub fn floor(&self) -> Incarnation {
        self.floor
    }
}

/// The result of folding every log entry below `next`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FoldedState {
    /// The next offset to read.
    pub next: Offset,
    /// The current planner term; 0 before the first claim.
    pub term: Term,
    /// The holder of the term; none before the first claim or after the holder
    /// has ended.
    pub planner: Option<Incarnation>,
    /// The live members.
    pub members: BTreeMap<Incarnation, MemberState>,
    /// The ended incarnations.
    pub ended: EndedSet,
    /// The declared objects, deleted ones included.
    pub objects: BTreeMap<ObjectKey, ObjectState>,
    /// The chains of slices and single keys.
    pub chains: BTreeMap<ChainKey, HolderChain>,
    /// Verdicts on the latest changes, oldest first; at most
    /// [`MAX_VERDICTS`](super::fold_change::MAX_VERDICTS).
    pub verdicts: Vec<(ChangeId, ChangeVerdict)>,
}

impl FoldedState {
    /// Returns the declarations in force; deleted objects have none.
    pub fn declarations(&self) -> impl Iterator<Item = &Declaration> {
        self.objects
            .values()
            .filter_map(|object| object.declaration.as_ref())
    }

    /// Returns the declared services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceDeclaration> {
        self.declarations()
            .filter_map(|declaration| match declaration {
                Declaration::Service(service) => Some(service),
                Declaration::PriorityClass(_) | Declaration::OwnershipRule(_) => None,
            })
    }

    /// Returns the declared priority classes.
    pub fn classes(&self) -> impl Iterator<Item = &ClassDeclaration> {
        self.declarations()
            .filter_map(|declaration| match declaration {
                Declaration::PriorityClass(class) => Some(class),
                Declaration::Service(_) | Declaration::OwnershipRule(_) => None,
            })
    }

    /// Returns the ownership rules of a service.
    pub fn rules_of(&self, service: &str) -> impl Iterator<Item = &RuleDeclaration> {
        self.declarations()
            .filter_map(move |declaration| match declaration {
                Declaration::OwnershipRule(rule) if rule.service.as_ref() == service => Some(rule),
                _ => None,
            })
    }
}
