//! The members that are known, and their newest reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::message::MemberRecord;
use super::message::PeerReport;
use super::message::UpstreamGauge;
use super::message::UpstreamPhase;
use crate::base::ids::Incarnation;
use crate::base::ids::NodeName;
use crate::base::ids::Offset;
use crate::base::ids::Version;

/// A member without a report for so many report intervals is silent. Two lost
/// datagrams in a row are common on a link that drops some.
const SILENT_INTERVALS: u32 = 3;

/// What a report told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Who reported is not known, and the report does not say.
    UnknownSender,
    /// Nothing that others should be told at once.
    Unchanged,
    /// The member, or what it takes, is news.
    Changed,
}

/// One known member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownPeer {
    /// What it announced.
    pub member: MemberRecord,
    /// Its upstream, by its newest report.
    pub gauge: UpstreamGauge,
    /// Version of the configuration in force there.
    pub configuration: Version,
    /// Offset of the newest range map it knows.
    pub map: Offset,
    /// Whether it is leaving.
    pub leaving: bool,
    number: u64,
    heard: Option<Duration>,
}

impl KnownPeer {
    fn announced(member: MemberRecord) -> Self {
        Self {
            member,
            gauge: UpstreamGauge::default(),
            configuration: 0,
            map: 0,
            leaving: false,
            number: 0,
            heard: None,
        }
    }

    /// Tells whether its upstream takes new requests, by its own word.
    pub fn accepts_requests(&self) -> bool {
        self.gauge.phase == UpstreamPhase::Ready && !self.leaving
    }

    /// Returns when it was last heard.
    pub fn last_report_at(&self) -> Option<Duration> {
        self.heard
    }
}

/// The other members.
#[derive(Debug, Clone)]
pub struct PeerDirectory {
    own: Incarnation,
    peers: BTreeMap<NodeName, KnownPeer>,
}

impl PeerDirectory {
    /// Creates the directory of a process.
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
        }
    }

    /// Takes what a member announced in the store. True if it is news.
    pub fn record_member(&mut self, member: MemberRecord) -> bool {
        if member.incarnation == self.own {
            return false;
        }
        let known = self.peers.get(&member.node);
        if known.is_some_and(|peer| peer.member.incarnation >= member.incarnation) {
            return false;
        }
        let node = member.node.clone();
        self.peers.insert(node, KnownPeer::announced(member));
        true
    }

    /// Forgets a member that left for good.
    pub fn remove(&mut self, node: &str) {
        self.peers.remove(node);
    }

    /// Takes a report.
    pub fn record_report(&mut self, report: PeerReport, now: Duration) -> ReportOutcome {
        let incarnation = report.incarnation;
        if incarnation == self.own {
            return ReportOutcome::Unchanged;
        }
        let is_new = report
            .member
            .is_some_and(|member| self.record_member(member));
        let mut known = self.peers.values_mut();
        let Some(peer) = known.find(|peer| peer.member.incarnation == incarnation) else {
            return ReportOutcome::UnknownSender;
        };
        if peer.number > report.sequence {
            return ReportOutcome::Unchanged;
        }
        let took = peer.accepts_requests();
        peer.gauge = report.gauge;
        peer.configuration = report.configuration;
        peer.map = report.map;
        peer.leaving = report.leaving;
        peer.number = report.sequence;
        let was_heard = peer.heard.replace(now).is_some();
        if is_new || !was_heard || took != peer.accepts_requests() {
            ReportOutcome::Changed
        } else {
            ReportOutcome::Unchanged
        }
    }

    /// A member does not know this process, so it has to be introduced again.
    pub fn clear_last_report(&mut self, address: SocketAddr) {
        for peer in self.peers.values_mut() {
            if peer.member.address == address {
                peer.heard = None;
            }
        }
    }

    /// Returns every known member but this process.
    pub fn peers(&self) -> impl Iterator<Item = &KnownPeer> {
        self.peers.values()
    }

    /// Finds a member by its incarnation.
    pub fn find(&self, incarnation: Incarnation) -> Option<&KnownPeer> {
        self.peers
            .values()
            .find(|peer| peer.member.incarnation == incarnation)
    }

    /// Tells whether a member has reported lately, at an interval between
    /// reports.
    pub fn is_live(&self, incarnation: Incarnation, now: Duration, interval: Duration) -> bool {
        self.find(incarnation)
            .is_some_and(|peer| is_fresh(peer, now, interval))
    }

    /// Tells whether a process is among the `count` oldest of itself and the
    /// members that have reported lately.
    pub fn is_among_oldest(
        &self,
        own: Incarnation,
        count: usize,
        now: Duration,
        interval: Duration,
    ) -> bool {
        let older = self
            .live(now, interval)
            .filter(|peer| peer.member.incarnation < own);
        older.count() < count
    }

    /// Returns the members that have reported lately.
    pub fn live(&self, now: Duration, interval: Duration) -> impl Iterator<Item = &KnownPeer> {
        self.peers
            .values()
            .filter(move |peer| is_fresh(peer, now, interval))
    }
}

/// Tells whether a member's newest report is fresh.
pub fn is_fresh(peer: &KnownPeer, now: Duration, interval: Duration) -> bool {
    peer.heard
        .is_some_and(|heard| now.saturating_sub(heard) <= interval * SILENT_INTERVALS)
}
