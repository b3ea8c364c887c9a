//! The known members of the fleet and their newest reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::message::KnownVersions;
use super::message::MemberRecord;
use super::message::PeerReport;
use super::message::UpstreamGauge;
use super::message::UpstreamPhase;
use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;
use crate::base::ids::NodeName;
use crate::base::ids::Offset;
use crate::base::ids::Version;
use crate::upstream::departure::DepartedUpstream;
use crate::upstream::departure::DepartureList;

/// Number of report intervals without a report after which a member counts as
/// silent. It exceeds 2 because two lost datagrams in a row are common on a lossy
/// link.
const SILENT_INTERVALS: u32 = 3;

/// What a report changed in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Nothing: the sender is not known, and the report has no member record.
    UnknownSender,
    /// Nothing that calls for a report to the member ahead of schedule.
    Unchanged,
    /// The member is new or reports for the first time, or it started or stopped
    /// accepting requests. This process should report to it at once.
    Changed,
}

/// A known member and its newest report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownPeer {
    /// The record that it announced.
    pub member: MemberRecord,
    /// State and load of its upstream, by its newest report.
    pub gauge: UpstreamGauge,
    /// Version of the configuration in force there; 0 for none.
    pub configuration: Version,
    /// Offset of the newest range map that it knows; 0 for none.
    pub map: Offset,
    /// Offset up to which it knows the orders to evacuate failure domains; 0 for none.
    pub evacuations: Offset,
    /// Whether the process is leaving the fleet.
    pub leaving: bool,
    /// Processes of its upstream that leave, also by the reports of former processes
    /// of the node.
    departures: DepartureList,
    /// Sequence number of its newest report.
    sequence: u64,
    /// When its newest report was received.
    last_report_at: Option<Duration>,
    /// The state that it has offered to send to this process.
    offered: KnownVersions,
}

impl KnownPeer {
    fn announced(member: MemberRecord) -> Self {
        Self {
            member,
            gauge: UpstreamGauge::default(),
            configuration: 0,
            map: 0,
            evacuations: 0,
            leaving: false,
            departures: DepartureList::default(),
            sequence: 0,
            last_report_at: None,
            offered: KnownVersions::default(),
        }
    }

    /// Returns whether it accepts new requests, by its newest report.
    pub fn accepts_requests(&self) -> bool {
        self.gauge.phase == UpstreamPhase::Ready && !self.leaving
    }

    /// Returns the versions of the shared state that it knows, by its newest report.
    pub fn versions(&self) -> KnownVersions {
        KnownVersions {
            configuration: self.configuration,
            map: self.map,
            evacuations: self.evacuations,
        }
    }

    /// Returns when its newest report was received; `None` before the first one.
    pub fn last_report_at(&self) -> Option<Duration> {
        self.last_report_at
    }
}

/// How many processes that are behind may ask one member that is ahead at the same
/// time.
const ASKS_PER_PEER: usize = 8;

/// Random numbers from 0 to 1 for one choice of a member to ask.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CatchUpDraw {
    /// Decides which member is asked.
    pub member: f64,
    /// Decides whether to ask now.
    pub turn: f64,
}

/// A member that knows more than this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AheadPeer<'a> {
    /// The member.
    pub peer: &'a KnownPeer,
    /// Whether this process may ask it now.
    pub is_turn: bool,
}

/// The other members of the fleet, by the names of their nodes.
#[derive(Debug, Clone)]
pub struct PeerDirectory {
    own: Incarnation,
    peers: BTreeMap<NodeName, KnownPeer>,
    /// Nodes of the members in `peers`.
    nodes: FastMap<Incarnation, NodeName>,
}

impl PeerDirectory {
    /// Creates an empty directory of the process with the incarnation `own`.
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
            nodes: FastMap::default(),
        }
    }

    /// Records what a member announced. Returns `true` if the member is new, and
    /// `false` if it is this process or a known or older incarnation of its node.
    pub fn record_member(&mut self, member: MemberRecord) -> bool {
        if member.incarnation == self.own {
            return false;
        }
        let known = self.peers.get(&member.node);
        if known.is_some_and(|peer| peer.member.incarnation >= member.incarnation) {
            return false;
        }
        let node = member.node.clone();
        self.nodes.insert(member.incarnation, node.clone());
        let mut peer = KnownPeer::announced(member);
        if let Some(former) = self.peers.remove(&node) {
            self.nodes.remove(&former.member.incarnation);
            peer.departures = former.departures;
        }
        self.peers.insert(node, peer);
        true
    }

    /// Removes the member of a node that has left the fleet.
    pub fn remove(&mut self, node: &str) {
        if let Some(former) = self.peers.remove(node) {
            self.nodes.remove(&former.member.incarnation);
        }
    }

    /// Records a report that was received at `now`. One with a smaller sequence
    /// number than the newest report of the member is ignored.
    pub fn record_report(&mut self, report: PeerReport, now: Duration) -> ReportOutcome {
        let incarnation = report.incarnation;
        if incarnation == self.own {
            return ReportOutcome::Unchanged;
        }
        let is_new = report
            .member
            .is_some_and(|member| self.record_member(member));
        let node = self.nodes.get(&incarnation);
        let Some(peer) = node.and_then(|node| self.peers.get_mut(node)) else {
            return ReportOutcome::UnknownSender;
        };
        if peer.sequence > report.sequence {
            return ReportOutcome::Unchanged;
        }
        let accepted = peer.accepts_requests();
        peer.gauge = report.gauge;
        peer.configuration = report.configuration;
        peer.map = report.map;
        peer.evacuations = report.evacuations;
        peer.leaving = report.leaving;
        peer.departures.merge(&report.departures);
        peer.sequence = report.sequence;
        let has_reported = peer.last_report_at.replace(now).is_some();
        if is_new || !has_reported || accepted != peer.accepts_requests() {
            ReportOutcome::Changed
        } else {
            ReportOutcome::Unchanged
        }
    }

    /// Records that a member offers to send the state with these versions to this
    /// process. It offers that to a few members only.
    pub fn record_offer(&mut self, incarnation: Incarnation, offered: KnownVersions) {
        if let Some(peer) = self.find_mut(incarnation) {
            peer.offered = offered;
        }
    }

    /// Discards the offer of a member that did not send its state.
    pub fn discard_offer(&mut self, incarnation: Incarnation) {
        self.record_offer(incarnation, KnownVersions::default());
    }

    /// Returns the departures that a former process of a report's sender has reported
    /// and the report lacks.
    pub fn missing_departures(&self, report: &PeerReport) -> Vec<DepartedUpstream> {
        self.find(report.incarnation).map_or_else(Vec::new, |peer| {
            peer.departures.missing_in(&report.departures)
        })
    }

    /// Clears the time of the newest report of the member at an address, which does
    /// not know this process. Reports to members without such a time carry the
    /// member record of this process.
    pub fn clear_last_report(&mut self, address: SocketAddr) {
        for peer in self.peers.values_mut() {
            if peer.member.address == address {
                peer.last_report_at = None;
            }
        }
    }

    /// Returns all known members, without this process.
    pub fn peers(&self) -> impl Iterator<Item = &KnownPeer> {
        self.peers.values()
    }

    /// Returns the member with an incarnation; `None` if it is not known.
    pub fn find(&self, incarnation: Incarnation) -> Option<&KnownPeer> {
        self.peers.get(self.nodes.get(&incarnation)?)
    }

    fn find_mut(&mut self, incarnation: Incarnation) -> Option<&mut KnownPeer> {
        self.peers.get_mut(self.nodes.get(&incarnation)?)
    }

    /// Returns whether a member of the node is known.
    pub fn has_node(&self, node: &str) -> bool {
        self.peers.contains_key(node)
    }

    /// Returns the number of known members, without this process.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether a member's newest report is fresh at `now`, where
    /// `interval` is the time between two reports; see [`is_fresh`].
    pub fn is_live(&self, incarnation: Incarnation, now: Duration, interval: Duration) -> bool {
        self.find(incarnation)
            .is_some_and(|peer| is_fresh(peer, now, interval))
    }

    /// Returns a live member that knows more than a process with these versions; `None`
    /// if there is none.
    ///
    /// Members with a newer configuration or order to evacuate a failure domain go before
    /// those with a newer map only, which may lack the former. `draw` is random. It
    /// decides between several members: if all processes that are behind asked the same
    /// one, it could not serve them in time, and one that does not respond would be asked
    /// again and again.
    ///
    /// A member that has offered its state may be asked at once, as it offers it to few.
    /// Otherwise `draw` decides whether it is this process's turn to ask, so that a few
    /// members that are ahead are not asked by all others at once.
    pub fn choose_ahead(
        &self,
        known: KnownVersions,
        now: Duration,
        interval: Duration,
        draw: CatchUpDraw,
    ) -> Option<AheadPeer<'_>> {
        let live: Vec<&KnownPeer> = self.live(now, interval).collect();
        let is_newer = |versions: KnownVersions| versions.has_operator_news(known);
        let mut ahead = select(&live, |peer| is_newer(peer.versions()));
        let mut offers = select(&ahead, |peer| is_newer(peer.offered));
        if ahead.is_empty() {
            ahead = select(&live, |peer| peer.map > known.map);
            offers = select(&ahead, |peer| peer.offered.map > known.map);
        }
        let is_offered = !offers.is_empty();
        let asked = if is_offered { &offers } else { &ahead };
        let last = asked.len().checked_sub(1)?;
        let chosen = (draw.member * asked.len() as f64) as usize;
        let turns = (ahead.len() * ASKS_PER_PEER) as f64;
        Some(AheadPeer {
            peer: asked[chosen.min(last)],
            is_turn: is_offered || draw.turn * live.len() as f64 <= turns,
        })
    }

    /// Returns whether the process `own` is among the `count` oldest of itself and
    /// the live members.
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

    /// Returns the members whose newest report is fresh; see [`is_fresh`].
    pub fn live(&self, now: Duration, interval: Duration) -> impl Iterator<Item = &KnownPeer> {
        self.peers
            .values()
            .filter(move |peer| is_fresh(peer, now, interval))
    }
}

fn select<'a>(
    peers: &[&'a KnownPeer],
    is_selected: impl Fn(&KnownPeer) -> bool,
) -> Vec<&'a KnownPeer> {
    let selected = peers.iter().copied();
    selected.filter(|peer| is_selected(peer)).collect()
}

/// Returns whether a member's newest report is at most three report intervals
/// old. A member that has not reported is not fresh.
pub fn is_fresh(peer: &KnownPeer, now: Duration, interval: Duration) -> bool {
    peer.last_report_at
        .is_some_and(|received| now.saturating_sub(received) <= interval * SILENT_INTERVALS)
}
