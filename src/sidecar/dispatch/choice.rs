//! Chooses the sidecar that is to run a request.

use std::time::Duration;

use super::AttemptTarget;
use super::MatchedRequest;
use super::SidecarDispatcher;
use crate::admission::load::class_tag;
use crate::base::boot_clock::since_boot;
use crate::base::hash::rendezvous_score;
use crate::load_balancing::UpstreamCandidate;
use crate::load_balancing::choose_upstream;
use crate::peers::directory::is_fresh;
use crate::quarantine::fingerprint::RequestFingerprint;
use crate::ranges::RangeKey;
use crate::sidecar::gossip::upstream_gauge;
use crate::sidecar::links::apply_observed_load;
use crate::sidecar::upstream::UpstreamClient;
use crate::state::record::ChainSubject;

impl<U: UpstreamClient> SidecarDispatcher<U> {
    pub(super) fn choose_target(
        &self,
        matched: &MatchedRequest<'_>,
        failed_at: &[AttemptTarget],
    ) -> Option<AttemptTarget> {
        match matched.subject {
            ChainSubject::Slice(key) => self.owner_of(&matched.service, key),
            ChainSubject::Key(_) | ChainSubject::Any => self.least_loaded(matched, failed_at),
        }
    }

    fn owner_of(&self, service: &str, key: RangeKey) -> Option<AttemptTarget> {
        let fleet = &self.shared.fleet;
        let owner = fleet.map().map.owner(service, key)?;
        if owner == fleet.own().incarnation {
            return Some(AttemptTarget::Local);
        }
        let is_evacuated = {
            let directory = fleet.directory();
            let owner = directory.find(owner);
            owner.is_some_and(|owner| fleet.is_evacuated(&owner.member.domain))
        };
        // The keys of an evacuated owner are about to move.
        (!is_evacuated && fleet.is_live(owner)).then_some(AttemptTarget::Peer(owner))
    }

    fn least_loaded(
        &self,
        matched: &MatchedRequest<'_>,
        failed_at: &[AttemptTarget],
    ) -> Option<AttemptTarget> {
        let shared = &self.shared;
        let fleet = &shared.fleet;
        let interval = fleet.report_interval();
        let now = since_boot();
        let class = class_tag(&matched.route.rule.name);
        let mut targets = Vec::new();
        let mut candidates = Vec::new();
        if let Some(gauge) = self.owner.ready_gauge(&matched.service) {
            targets.push(AttemptTarget::Local);
            candidates.push(UpstreamCandidate {
                gauge: upstream_gauge(gauge.0, gauge.1),
                age: Duration::ZERO,
                unreported: 0,
                same_domain: true,
                fresh: true,
                cost_ratio: None,
            });
        }
        {
            let links = shared.links.lock();
            let directory = fleet.directory();
            let serving = directory
                .peers()
                .filter(|peer| peer.member.service == matched.service && peer.accepts_requests())
                .filter(|peer| !fleet.is_evacuated(&peer.member.domain));
            for peer in serving {
                targets.push(AttemptTarget::Peer(peer.member.incarnation));
                let mut candidate = UpstreamCandidate {
                    gauge: peer.gauge,
                    age: now.saturating_sub(peer.last_report_at().unwrap_or_default()),
                    unreported: 0,
                    same_domain: peer.member.domain == fleet.own().domain,
                    fresh: is_fresh(peer, now, interval),
                    cost_ratio: None,
                };
                if let Some(link) = links.get(&peer.member.incarnation) {
                    apply_observed_load(&mut candidate, link, now, class);
                }
                candidates.push(candidate);
            }
        }
        // Targets that already failed are used only if there are no others.
        let untried: Vec<usize> = (0..targets.len())
            .filter(|index| !failed_at.contains(&targets[*index]))
            .collect();
        let pool: Vec<usize> = if untried.is_empty() {
            (0..targets.len()).collect()
        } else {
            untried
        };
        if let Some(fingerprint) = self.suspect_fingerprint(matched.request) {
            return self.choose_for_suspect(fingerprint, &targets, &candidates, &pool);
        }
        let offered: Vec<UpstreamCandidate> = pool.iter().map(|index| candidates[*index]).collect();
        let chosen = choose_upstream(&offered, matched.route.rule.target, rand::random())?;
        Some(targets[pool[chosen]])
    }

    /// Chooses the target of a request that was in a crash. Every entry chooses the
    /// same one as long as it sees the same upstreams, so that a request that crashes
    /// upstreams ends one at a time.
    fn choose_for_suspect(
        &self,
        fingerprint: RequestFingerprint,
        targets: &[AttemptTarget],
        candidates: &[UpstreamCandidate],
        pool: &[usize],
    ) -> Option<AttemptTarget> {
        let own = self.shared.fleet.own().incarnation;
        let score = |index: usize| {
            let incarnation = match targets[index] {
                AttemptTarget::Local => own,
                AttemptTarget::Peer(peer) => peer,
            };
            (
                candidates[index].fresh,
                rendezvous_score(fingerprint, incarnation),
            )
        };
        let chosen = pool.iter().max_by_key(|index| score(**index))?;
        Some(targets[*chosen])
    }
}
