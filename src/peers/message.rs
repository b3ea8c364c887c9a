//! Datagrams between sidecars.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::base::ids::FailureDomainName;
use crate::base::ids::Incarnation;
use crate::base::ids::NodeName;
use crate::base::ids::Offset;
use crate::base::ids::ServiceName;
use crate::base::ids::Version;
use crate::quarantine::ledger::CrashRecord;
use crate::ranges::edit::MapEdit;
use crate::store::era::StoreEra;
use crate::upstream::condition::RequestRate;
use crate::upstream::departure::DepartedUpstream;

/// The member record of a process, which it announces in the store when it
/// starts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The name of its node, constant over restarts.
    pub node: NodeName,
    /// The address at which other processes reach it, by TCP and UDP.
    pub address: SocketAddr,
    /// The service of the upstream on its VM.
    pub service: ServiceName,
    /// The failure domain of its VM.
    pub domain: FailureDomainName,
}

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum UpstreamPhase {
    /// No upstream is known, or the known one is silent or has ended.
    #[default]
    Absent,
    /// It accepts requests.
    Ready,
    /// It finishes the requests that it has and accepts no new ones.
    Draining,
    /// It could accept requests, and its failure domain is evacuated: it finishes those
    /// that it has.
    Evacuated,
}

/// State and load of an upstream and its queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamGauge {
    /// Whether it accepts new requests.
    pub phase: UpstreamPhase,
    /// Number of requests that it runs at once.
    pub slots: u16,
    /// Number of requests that it is running.
    pub running: u16,
    /// Number of requests waiting for a slot.
    pub waiting: u16,
    /// Smoothed time for which a request holds a slot, in microseconds.
    pub service_micros: u32,
    /// Smoothed sum of slots in use and requests waiting, in thousandths of the
    /// slots.
    pub utilization_permille: u16,
    /// Smoothed requests per second.
    pub rate: u16,
    /// Smoothed fraction of requests that fail or are shed, in thousandths.
    pub failing_permille: u16,
    /// The rate of requests that it accepts; `None` without a limit.
    pub rate_limit: Option<RequestRate>,
    /// Expected slot time of its running and waiting requests that is still to
    /// come, in microseconds.
    pub work_micros: u32,
    /// How long work takes there now, in thousandths of the usual time.
    pub pace_permille: u16,
}

/// A periodic report of a process about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerReport {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// Its member record, sent only to members that may not know the process:
    /// the names in it are much longer than the rest of the report.
    pub member: Option<MemberRecord>,
    /// Number of the report, by which outdated reports are recognised. It grows
    /// with each report of the process.
    pub sequence: u64,
    /// State and load of its upstream.
    pub gauge: UpstreamGauge,
    /// Version of the configuration in force there; 0 for none.
    pub configuration: Version,
    /// Offset of the newest range map that it knows; 0 for none.
    pub map: Offset,
    /// Offset up to which it knows the orders to evacuate failure domains; 0 for none.
    pub evacuations: Offset,
    /// The newest era of the store that it knows of.
    pub era: StoreEra,
    /// Whether the process is leaving the fleet.
    pub leaving: bool,
    /// Requests that crash upstreams and may not run freely.
    pub restricted: Vec<CrashRecord>,
    /// Processes of its upstream that leave.
    pub departures: Vec<DepartedUpstream>,
}

impl PeerReport {
    /// Returns the versions of the shared state that the process knows.
    pub fn versions(&self) -> KnownVersions {
        KnownVersions {
            configuration: self.configuration,
            map: self.map,
            evacuations: self.evacuations,
        }
    }
}

/// Versions of the shared state that a process knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Version of the configuration in force; 0 for none.
    pub configuration: Version,
    /// Offset of the newest range map; 0 for none.
    pub map: Offset,
    /// Offset up to which the orders to evacuate failure domains are known; 0 for none.
    pub evacuations: Offset,
}

impl KnownVersions {
    /// Returns whether these are newer than `known` in what the operator decides: the
    /// configuration and the orders to evacuate failure domains.
    pub fn has_operator_news(&self, known: Self) -> bool {
        self.configuration > known.configuration || self.evacuations > known.evacuations
    }
}

/// A datagram between sidecars.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerDatagram {
    /// A report of the sender about itself.
    Report(Box<PeerReport>),
    /// Asks for a report with the member record, because the sender received a
    /// report from a process that it does not know.
    AskMember,
    /// Announces what is newly known of requests that were in crashes of upstreams.
    Crashes(Vec<CrashRecord>),
    /// Returns departures that the recipient does not report, but a former process of
    /// its node has reported.
    Departures(Vec<DepartedUpstream>),
    /// Announces an edit of the range map that the sender wrote to the store.
    MapEdited {
        /// Offset of the map that was edited.
        base: Offset,
        /// Offset of the new map.
        at: Offset,
        /// The edit.
        edit: MapEdit,
    },
    /// Asks a process to write an edit for its owner. One writer batches the edits
    /// of all owners, so that their writes do not conflict.
    AskWrite {
        /// The process that is to write.
        writer: Incarnation,
        /// The owner whose edit it is.
        owner: Incarnation,
        /// The edit; it has no further effect if it is written twice or late.
        edit: MapEdit,
    },
    /// Asks a voter to renew the sender's lease.
    Renew {
        /// The holder that sends the renewal.
        holder: Incarnation,
        /// The voter that it is addressed to. A later process at the voter's
        /// address ignores it.
        voter: Incarnation,
        /// The holder's term.
        term: Offset,
        /// When the renewal was sent, by the holder's clock.
        sent: Duration,
    },
    /// A voter's response to a renewal.
    Vote {
        /// The voter.
        voter: Incarnation,
        /// The holder that sent the renewal.
        holder: Incarnation,
        /// The term of the renewal.
        term: Offset,
        /// When the renewal was sent, by the holder's clock.
        sent: Duration,
        /// Whether the voter promises not to refuse the holder while the voter's
        /// lease lasts; `false` if it has refused the holder under this term or
        /// knows a later term.
        promised: bool,
    },
    /// Asks a voter whether a holder's lease has lapsed.
    AskLapse {
        /// The process that asks.
        asker: Incarnation,
        /// The voter that it is addressed to. A later process at the voter's
        /// address answers for it.
        voter: Incarnation,
        /// The holder.
        holder: Incarnation,
        /// The holder's term in the range map.
        term: Offset,
    },
    /// A voter's response that a holder's lease has lapsed. The voter refuses the
    /// holder under this term for good.
    Lapsed {
        /// The voter.
        voter: Incarnation,
        /// The holder.
        holder: Incarnation,
        /// The term under which the holder is refused.
        term: Offset,
    },
    /// A report of the sender about itself, which knows a newer configuration, map or
    /// order to evacuate a failure domain and
    /// offers its state to the recipient. It offers it to a few members.
    Offer(Box<PeerReport>),
}
