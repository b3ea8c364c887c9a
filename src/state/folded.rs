//! The state folded from the log.

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

/// One position of a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChainEntry {
    /// Who holds the position.
    pub holder: Incarnation,
    /// Whether the holder has resigned it, for good.
    pub resigned: bool,
}

/// The ordered holders of a slice or key: owner, then successors.
///
/// Position `i` may serve while its holder's lease is live and every earlier
/// position has resigned or its holder has ended. Positions that resigned or
/// ended are trimmed from the front.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderChain {
    /// Epoch of the first entry.
    pub base: Epoch,
    /// The positions.
    pub entries: Vec<ChainEntry>,
    /// Holders below this epoch are asked to resign: successors at once, the
    /// serving holder when it has finished what runs and handed over. Zero
    /// when no move was planned.
    pub target: Epoch,
}

impl HolderChain {
    /// Returns the epoch of the next appended holder.
    pub fn tail(&self) -> Epoch {
        self.base + self.entries.len() as Epoch
    }
}

/// A member's witnesses.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WitnessSet {
    /// Version; 0 before the planner named any.
    pub version: Version,
    /// The witnesses, at most one per failure domain where possible.
    pub members: Vec<Incarnation>,
}

impl WitnessSet {
    /// Returns how many witnesses make a quorum.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// A live member.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberState {
    /// What it said about itself.
    pub info: MemberInfo,
    /// Its witnesses.
    pub witnesses: WitnessSet,
    /// Its previous witnesses, until a later change.
    pub previous_witnesses: WitnessSet,
    /// Whether it is draining.
    pub draining: bool,
    /// Offset of its join.
    pub joined_at: Offset,
    /// Sequence of its last batch.
    pub sequence: Sequence,
}

/// One version of a declared object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectState {
    /// The version.
    pub version: Version,
    /// The change that made it.
    pub change: ChangeId,
    /// Who made it.
    pub operator: Box<str>,
    /// The declaration; none when deleted.
    pub declaration: Option<Declaration>,
}

/// What became of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ChangeVerdict {
    /// Accepted, as this version.
    Accepted(Version),
    /// Refused: another change won.
    Conflict {
        /// The version that won.
        version: Version,
        /// The change that won.
        change: ChangeId,
        /// Whose change won.
        operator: Box<str>,
    },
}

/// Incarnations that ended, so that a late copy of a join brings none back.
///
/// Bounded: the smallest incarnations, which started first, are remembered by
/// a floor alone. An incarnation at or below the floor cannot join.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndedSet {
    floor: Incarnation,
    recent: BTreeSet<Incarnation>,
}

impl EndedSet {
    /// How many incarnations are remembered one by one.
    pub const CAPACITY: usize = 4096;

    /// Adds an incarnation.
    pub fn insert(&mut self, incarnation: Incarnation) {
        self.recent.insert(incarnation);
        while self.recent.len() > Self::CAPACITY {
            if let Some(smallest) = self.recent.pop_first() {
                self.floor = self.floor.max(smallest);
            }
        }
    }

    /// Tells whether an incarnation ended or is too old to join.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        incarnation <= self.floor || self.recent.contains(&incarnation)
    }

    /// Returns the greatest incarnation that is too old to join.
    pub fn floor(&self) -> Incarnation {
        self.floor
    }
}

/// The state folded from the log below `next`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FoldedState {
    /// The next offset to read.
    pub next: Offset,
    /// The planner's term; 0 before the first claim.
    pub term: Term,
    /// Who holds the term.
    pub planner: Option<Incarnation>,
    /// The live members.
    pub members: BTreeMap<Incarnation, MemberState>,
    /// The incarnations that ended.
    pub ended: EndedSet,
    /// The declared objects, deleted ones included.
    pub objects: BTreeMap<ObjectKey, ObjectState>,
    /// The chains of slices and single keys.
    pub chains: BTreeMap<ChainKey, HolderChain>,
    /// Verdicts on the latest changes, oldest first.
    pub verdicts: Vec<(ChangeId, ChangeVerdict)>,
}

impl FoldedState {
    /// Returns the declarations in force.
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
