//! The records that processes append to the platform's log.
//!
//! One entry of the log is one [`LogBatch`]. A record names what it was based
//! on; the fold ignores one that is based on something stale.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::base::ids::ChangeId;
use crate::base::ids::Epoch;
use crate::base::ids::FailureDomainName;
use crate::base::ids::Incarnation;
use crate::base::ids::KeyHash;
use crate::base::ids::NodeName;
use crate::base::ids::Offset;
use crate::base::ids::RegionName;
use crate::base::ids::Sequence;
use crate::base::ids::ServiceName;
use crate::base::ids::SliceIndex;
use crate::base::ids::Term;
use crate::base::ids::Version;
use crate::declarations::Declaration;
use crate::declarations::ObjectKey;

/// The records of one append.
///
/// The fold takes a batch once: a second batch with the same author and a
/// sequence that is not greater than the last one taken folds to nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogBatch {
    /// Who appended.
    pub author: Incarnation,
    /// Number of this batch among the author's, from 1.
    pub sequence: Sequence,
    /// What was appended, in order.
    pub records: Vec<LogRecord>,
}

/// What an upstream announced about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: u16,
    /// How many connections it accepts.
    pub connections: u16,
    /// Whether it checks the epoch and expiry of each order.
    pub checks_fence: bool,
    /// Whether it accepts cancellation.
    pub accepts_cancel: bool,
    /// How long one order may run at most.
    pub longest_order: Duration,
    /// How long it takes to warm up.
    pub cold_start: Duration,
}

/// What a process says about itself when it joins.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberInfo {
    /// Name of the node, constant over restarts.
    pub node: NodeName,
    /// The process.
    pub incarnation: Incarnation,
    /// Where it takes frames (TCP) and datagrams (UDP) of other processes.
    pub peer_address: SocketAddr,
    /// Where it takes callers.
    pub caller_address: SocketAddr,
    /// Where it takes operators' calls.
    pub operator_address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomainName,
    /// Its region.
    pub region: RegionName,
    /// Its upstream.
    pub upstream: UpstreamInfo,
}

/// Names what a chain assigns: a slice, or a single key taken out of one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ChainSubject {
    /// A slice of a service's keys.
    Slice(SliceIndex),
    /// A single key, by its hash.
    Key(KeyHash),
    /// No exclusive ownership: any live member of the service may serve. Never
    /// has a chain; the gate asks for a live lease only and the epoch is 0.
    Any,
}

/// Names one chain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ChainKey {
    /// The service.
    pub service: ServiceName,
    /// The slice or key.
    pub subject: ChainSubject,
}

/// Appends holders to a chain's tail.
///
/// A key's chain starts as a copy of its slice's chain, so that whoever may
/// serve the key as part of the slice precedes the appended holders.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChainAppend {
    /// The chain.
    pub chain: ChainKey,
    /// The epoch that the first appended holder gets. Stale if the chain's
    /// tail is elsewhere.
    pub at: Epoch,
    /// The holders.
    pub holders: Vec<Incarnation>,
    /// Whether this is a planned move: every earlier holder is asked to resign
    /// in favour of the first appended one. See
    /// [`HolderChain::target`](super::folded::HolderChain::target).
    pub supersedes: bool,
}

/// Two witnesses' statement that an incarnation's lease has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LapseCertificate {
    /// Whose lease ended.
    pub subject: Incarnation,
    /// The version of the witness set that the statements were made under.
    pub set_version: Version,
    /// Who stated it.
    pub witnesses: Vec<Incarnation>,
}

/// Why an incarnation has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndProof {
    /// A quorum of its witnesses stated so.
    Certificate(LapseCertificate),
    /// It left by itself; the batch's author is the incarnation.
    Left,
    /// An operator declared it lost.
    DeclaredLost {
        /// Who declared it.
        operator: Box<str>,
        /// The operator's change.
        change: ChangeId,
    },
}

/// An operator's change of one declared object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Identifies the change.
    pub change: ChangeId,
    /// Who changes.
    pub operator: Box<str>,
    /// The object.
    pub object: ObjectKey,
    /// The version that the change is based on; 0 for an object that never
    /// existed. A deleted object keeps its version.
    pub base: Version,
    /// The new declaration; none deletes the object.
    pub declaration: Option<Declaration>,
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum LogRecord {
    /// A process joins. Ends every smaller incarnation of the same peer address. Also announces changes of the process's own facts.
    Join(Box<MemberInfo>),
    /// The author, or an operator on its behalf, drains a member: it gets no
    /// new assignments and its slices move away.
    Drain {
        /// Who is drained.
        member: Incarnation,
    },
    /// An incarnation has ended.
    Ended {
        /// Who ended.
        member: Incarnation,
        /// The proof.
        proof: EndProof,
    },
    /// The author claims the planner's term. Stale unless `term` is the
    /// current term plus one.
    Claim {
        /// The claimed term.
        term: Term,
    },
    /// The planner names a member's witnesses. Stale unless `version` is the
    /// current version plus one.
    Witnesses {
        /// The planner's term.
        term: Term,
        /// Whose witnesses.
        member: Incarnation,
        /// Version of the set.
        version: Version,
        /// The witnesses.
        witnesses: Vec<Incarnation>,
    },
    /// The planner appends to chains.
    Assign {
        /// The planner's term.
        term: Term,
        /// The appended holders.
        appends: Vec<ChainAppend>,
    },
    /// The author resigns positions that it holds.
    Resign {
        /// The chains with the author's epoch in each.
        positions: Vec<(ChainKey, Epoch)>,
    },
    /// The planner drops the chains of single keys. The serving holder of the
    /// key's slice must be the only one left in the key's chain, and neither
    /// its epoch nor the tail of the key's chain may exceed the slice's.
    Merge {
        /// The planner's term.
        term: Term,
        /// The dropped chains.
        chains: Vec<ChainKey>,
    },
    /// An operator's change.
    Change(Box<ChangeRecord>),
    /// A part of a snapshot of the folded state.
    Snapshot(SnapshotChunk),
}

/// A part of a snapshot of the folded state.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The planner's term.
    pub term: Term,
    /// The snapshot holds every entry below this offset.
    pub through: Offset,
    /// Index of the chunk.
    pub index: u32,
    /// How many chunks the snapshot has.
    pub count: u32,
    /// Digest of the whole snapshot.
    pub digest: u64,
    /// The chunk's bytes.
    pub data: Bytes,
}
