//! The records that processes append to the platform's log.
//!
//! One entry of the log is one [`LogBatch`]. A record names what it is based
//! on; the fold ignores a record that is based on something stale.

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
/// The fold applies a batch once: it ignores a batch whose sequence is not
/// greater than that of the author's last applied batch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogBatch {
    /// The incarnation that appended the batch.
    pub author: Incarnation,
    /// Sequence number of the batch among the author's, from 1.
    pub sequence: Sequence,
    /// The records, in the order in which they are folded.
    pub records: Vec<LogRecord>,
}

/// What an upstream announced about itself to its router process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Maximum number of requests that it runs at once.
    pub slots: u16,
    /// Maximum number of connections that it accepts.
    pub connections: u16,
    /// Whether it checks the epoch and lease expiry of each request.
    pub checks_fence: bool,
    /// Whether it accepts the cancellation of a running request.
    pub accepts_cancel: bool,
    /// Maximum run time of one request.
    pub max_request_duration: Duration,
    /// Time that it needs to warm up after its start.
    pub cold_start: Duration,
}

/// What a process announces about itself when it joins.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberInfo {
    /// Name of the node, which is the same after a restart.
    pub node: NodeName,
    /// Identifies this run of the process; greater after each restart.
    pub incarnation: Incarnation,
    /// Address on which it accepts frames (TCP) and datagrams (UDP) from other
    /// processes.
    pub peer_address: SocketAddr,
    /// Address on which it accepts callers' requests.
    pub caller_address: SocketAddr,
    /// Address on which it accepts operators' calls.
    pub operator_address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: FailureDomainName,
    /// Region that it runs in.
    pub region: RegionName,
    /// The upstream that it serves.
    pub upstream: UpstreamInfo,
}

/// What a chain assigns: a slice, or a single key that was split off its slice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ChainSubject {
    /// A slice of a service's keys.
    Slice(SliceIndex),
    /// A single key, by its hash.
    Key(KeyHash),
    /// No exclusive ownership: any live member of the service may serve. It has
    /// no chain; the ownership gate checks only for a live lease, and the epoch
    /// is 0.
    Any,
}

/// Identifies a chain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ChainKey {
    /// The service.
    pub service: ServiceName,
    /// The slice or key of that service.
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
    /// Epoch of the first appended holder. The append is stale unless this is
    /// the chain's next epoch.
    pub first_epoch: Epoch,
    /// The appended holders, in order.
    pub holders: Vec<Incarnation>,
    /// Whether this is a planned move: every earlier holder is asked to resign
    /// in favour of the first appended one. See
    /// [`HolderChain::target_epoch`](super::folded::HolderChain::target_epoch).
    pub supersedes: bool,
}

/// The statement of a quorum of witnesses that an incarnation's lease has
/// lapsed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LapseCertificate {
    /// The incarnation whose lease lapsed.
    pub subject: Incarnation,
    /// The version of the witness set that the statements were made under.
    pub set_version: Version,
    /// The witnesses that stated it.
    pub witnesses: Vec<Incarnation>,
}

/// Why an incarnation has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndProof {
    /// A quorum of its witnesses certified that its lease has lapsed.
    Certificate(LapseCertificate),
    /// It left on its own; it must be the author of the batch.
    Left,
    /// An operator declared it lost.
    DeclaredLost {
        /// The operator who declared it.
        operator: Box<str>,
        /// Identifies the operator's call, as for a change of an object.
        change: ChangeId,
    },
}

/// An operator's change of one declared object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Identifies the change, also when it is submitted again.
    pub change: ChangeId,
    /// The operator who submitted it.
    pub operator: Box<str>,
    /// The object that is changed.
    pub object: ObjectKey,
    /// The version that the change is based on; 0 for an object that never
    /// existed. A deleted object keeps its version.
    pub base_version: Version,
    /// The new declaration; none deletes the object.
    pub declaration: Option<Declaration>,
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum LogRecord {
    /// A process joins, or updates what it announced about itself. Ends every
    /// older incarnation with the same peer address.
    Join(Box<MemberInfo>),
    /// The author drains itself, or drains another member for an operator: the
    /// member gets no new positions and its slices move away.
    Drain {
        /// The member to drain.
        member: Incarnation,
    },
    /// An incarnation has ended.
    Ended {
        /// The incarnation that has ended.
        member: Incarnation,
        /// The proof.
        proof: EndProof,
    },
    /// The author becomes the planner of a new term. Stale unless `term` is the
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
        /// The member whose witnesses are named.
        member: Incarnation,
        /// Version of the set.
        version: Version,
        /// The witnesses.
        witnesses: Vec<Incarnation>,
    },
    /// The planner appends holders to chains.
    Assign {
        /// The planner's term.
        term: Term,
        /// The appends; each takes effect or is ignored on its own.
        appends: Vec<ChainAppend>,
    },
    /// The author resigns positions that it holds.
    Resign {
        /// The chains, with the epoch that the author holds in each.
        positions: Vec<(ChainKey, Epoch)>,
    },
    /// The planner merges single keys back into their slices by dropping their
    /// chains. The serving holder of the key's slice must be the only one left
    /// in the key's chain, and neither its epoch nor the next epoch of the key's
    /// chain may exceed the slice's.
    Merge {
        /// The planner's term.
        term: Term,
        /// The dropped chains.
        chains: Vec<ChainKey>,
    },
    /// An operator changes a declared object.
    Change(Box<ChangeRecord>),
    /// The planner appends a chunk of a snapshot, or the marker before one.
    Snapshot(SnapshotChunk),
}

/// A chunk of a snapshot of the folded state.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The planner's term.
    pub term: Term,
    /// The snapshot covers every entry below this offset.
    pub end_offset: Offset,
    /// Index of the chunk, from 0.
    pub index: u32,
    /// Number of chunks in the snapshot; 0 in the marker that precedes them.
    pub count: u32,
    /// XXH3 digest of the whole encoded state.
    pub digest: u64,
    /// The chunk's part of the encoded state.
    pub data: Bytes,
}
