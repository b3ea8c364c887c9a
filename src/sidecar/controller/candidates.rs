//! Selects the members that may own ranges, and the voters of a holder.

use std::time::Duration;

use super::RangeController;
use crate::base::hash::rendezvous_score;
use crate::base::ids::Incarnation;
use crate::peers::directory::KnownPeer;
use crate::peers::message::UpstreamPhase;
use crate::ranges::edit::HolderCandidate;
use crate::ranges::lease::VOTER_COUNT;
use crate::ranges::lease::choose_voters;
use crate::ranges::map::RangeVoter;
use crate::sidecar::upstream::UpstreamClient;
use crate::store::StateStore;

/// Time after start that a sidecar waits for its peers' first reports before it
/// names fewer voters than [`VOTER_COUNT`].
const PEER_WAIT: Duration = Duration::from_millis(600);

impl<S: StateStore, U: UpstreamClient> RangeController<S, U> {
    /// Returns the services that are sharded by key.
    pub(super) fn sharded_services(&self) -> Vec<crate::base::ids::ServiceName> {
        let routes = self.fleet.routes();
        let services = routes
            .iter()
            .flat_map(|matcher| &matcher.configuration().services);
        services
            .filter(|policy| policy.sharded)
            .map(|policy| policy.name.clone())
            .collect()
    }

    /// Returns the live sidecars, including this one, that may own ranges:
    /// their upstream takes requests and serves a sharded service, and their failure
    /// domain is not evacuated. Their voters are
    /// chosen only when they become holders.
    pub(super) fn candidates(&self, now: Duration) -> Vec<HolderCandidate> {
        let sharded = self.sharded_services();
        let own = self.fleet.own();
        let ready = self.registry.current().is_some_and(|upstream| {
            upstream.phase == UpstreamPhase::Ready && upstream.announced.service == own.service
        });
        let interval = self.fleet.report_interval();
        let (mut members, known, live): (Vec<_>, usize, usize) = {
            let directory = self.fleet.directory();
            let live = directory.live(now, interval).count();
            let ready_peers = directory
                .live(now, interval)
                .filter(|peer| peer.accepts_requests())
                .filter(|peer| !self.fleet.is_evacuated(&peer.member.domain));
            let members = ready_peers.map(|peer| peer.member.clone()).collect();
            (members, directory.count(), live)
        };
        let may_name_voters =
            live >= known.min(VOTER_COUNT) || now.saturating_sub(self.started) > PEER_WAIT;
        if ready && may_name_voters && !*self.leaving.borrow() {
            members.push(own.clone());
        }
        members
            .into_iter()
            .filter(|member| sharded.contains(&member.service))
            .map(|member| HolderCandidate {
                incarnation: member.incarnation,
                address: member.address,
                voters: Vec::new(),
                service: member.service,
                domain: member.domain,
            })
            .collect()
    }

    /// Chooses voters for `holder` among the live members that are not leaving,
    /// including this sidecar.
    pub(super) fn choose_voters(&self, holder: Incarnation, now: Duration) -> Vec<RangeVoter> {
        let interval = self.fleet.report_interval();
        let own = self.fleet.own();
        let directory = self.fleet.directory();
        let live = directory.live(now, interval).filter(|peer| !peer.leaving);
        let members = live
            .map(|peer: &KnownPeer| &peer.member)
            .chain(std::iter::once(own))
            .filter(|member| member.incarnation != holder);
        let candidates = members.map(|member| {
            let voter = RangeVoter {
                incarnation: member.incarnation,
                address: member.address,
            };
            (voter, &*member.domain)
        });
        choose_voters(candidates, |voter| rendezvous_score(holder, voter))
    }
}
