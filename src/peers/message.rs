//! Datagrams between sidecars.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::base::ids::DomainName;
use crate::base::ids::Incarnation;
use crate::base::ids::NodeName;
use crate::base::ids::Offset;
use crate::base::ids::ServiceName;
use crate::base::ids::Version;
use crate::ranges::edit::MapEdit;

/// What a process announces in the store when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// The process.
    pub incarnation: Incarnation,
    /// The node's name.
    pub node: NodeName,
    /// Where it talks to other processes, by TCP and UDP.
    pub address: SocketAddr,
    /// The service of the upstream beside it.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Whether an upstream takes new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum UpstreamPhase {
    /// No upstream is known.
    #[default]
    Absent,
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// How loaded an upstream and its queue are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamGauge {
    /// Whether it takes new requests.
    pub phase: UpstreamPhase,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Requests that run.
    pub running: u16,
    /// Requests that wait.
    pub waiting: u16,
    /// Smoothed time for which a request holds a slot, in microseconds.
    pub service_micros: u32,
    /// Smoothed slots in use and requests waiting over the slots, in
    /// thousandths.
    pub utilization_permille: u16,
    /// Smoothed requests a second.
    pub rate: u16,
    /// Smoothed part of its requests that fail or that it sheds, in
    /// thousandths.
    pub failing_permille: u16,
}

/// What a process tells the others about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerReport {
    /// Who it is.
    pub incarnation: Incarnation,
    /// The rest of who it is, for those that may not know it yet: names are
    /// much longer than all the numbers.
    pub member: Option<MemberRecord>,
    /// Grows with each report, so that a late one is recognised.
    pub sequence: u64,
    /// Its upstream.
    pub gauge: UpstreamGauge,
    /// Version of the configuration in force there; 0 for none.
    pub configuration: Version,
    /// Offset of the newest range map it knows; 0 for none.
    pub map: Offset,
    /// Whether the process is leaving.
    pub leaving: bool,
}

/// A datagram between sidecars.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerDatagram {
    /// A process reports about itself.
    Report(Box<PeerReport>),
    /// A process does not know who reported, and asks.
    AskMember,
    /// The range map was changed in the store.
    MapEdited {
        /// Offset of the map that was changed.
        base: Offset,
        /// Offset of the changed map.
        at: Offset,
        /// The change.
        edit: MapEdit,
    },
    /// An owner asks one process to write the changes of all, so that they do
    /// not get in each other's way.
    AskWrite {
        /// Who is to write.
        writer: Incarnation,
        /// The owner.
        owner: Incarnation,
        /// The change; harmless if it is written twice or late.
        edit: MapEdit,
    },
    /// A holder asks a voter to renew its lease.
    Renew {
        /// The holder.
        holder: Incarnation,
        /// The voter that is meant.
        voter: Incarnation,
        /// The holder's term.
        term: Offset,
        /// When this was sent, by the holder's clock.
        sent: Duration,
    },
    /// A voter answers a renewal.
    Vote {
        /// The voter.
        voter: Incarnation,
        /// The holder that asked.
        holder: Incarnation,
        /// The term that was asked about.
        term: Offset,
        /// When the renewal was sent, by the holder's clock.
        sent: Duration,
        /// Whether the lease is renewed.
        promised: bool,
    },
    /// A process asks a voter whether a holder has lapsed.
    AskLapse {
        /// Who asks.
        asker: Incarnation,
        /// The voter that is meant.
        voter: Incarnation,
        /// The holder.
        holder: Incarnation,
        /// The holder's term in the map.
        term: Offset,
    },
    /// A voter refuses a holder for good.
    Lapsed {
        /// The voter.
        voter: Incarnation,
        /// The holder.
        holder: Incarnation,
        /// The term that it refuses.
        term: Offset,
    },
}
