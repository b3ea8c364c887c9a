//! Asks the voters of silent holders whether their leases have lapsed.

use std::time::Duration;

use super::LapseSuspicion;
use super::RangeController;
use crate::base::ids::Incarnation;
use crate::peers::message::PeerDatagram;
use crate::ranges::lease::quorum_of;
use crate::ranges::map::RangeHolder;
use crate::ranges::map::RangeVoter;
use crate::sidecar::upstream::UpstreamClient;
use crate::store::StateStore;

/// Time between two requests to a holder's voters.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

impl<S: StateStore, U: UpstreamClient> RangeController<S, U> {
    /// Returns whether this process answers questions to `voter` about `holder`: it
    /// is that voter, or a later process at that voter's address.
    ///
    /// The former process has ended, so it promises nothing any more, and its last
    /// promise was made before this process was first asked. Without this, a lost
    /// holder whose voters have all restarted could never be replaced.
    pub(super) fn votes_for(&self, voter: Incarnation, holder: Incarnation) -> bool {
        let own = self.fleet.own();
        let map = self.fleet.map().map;
        let is_former = |known: &RangeVoter| {
            known.incarnation == voter
                && known.address == own.address
                && known.incarnation < own.incarnation
        };
        voter == own.incarnation
            || map
                .holder(holder)
                .is_some_and(|holder| holder.voters.iter().any(is_former))
    }

    /// Asks the voters of this service's silent holders whether the holder's
    /// lease has lapsed. A lapse is proven once a quorum of the voters refuses
    /// the holder under its present term.
    pub(super) fn check_silent_holders(&mut self, now: Duration) {
        let map = self.fleet.map().map;
        let own = self.fleet.own().clone();
        let is_other_holder = |holder: &&RangeHolder| {
            holder.service == own.service && holder.incarnation != own.incarnation
        };
        for holder in map.holders.iter().filter(is_other_holder) {
            if self.fleet.is_live(holder.incarnation) {
                self.suspicions.remove(&holder.incarnation);
                continue;
            }
            // Too soon after this sidecar's start to call a holder silent.
            if now.saturating_sub(self.started) < self.settings.lease_times().voter {
                continue;
            }
            let own_votes: Vec<bool> = holder
                .voters
                .iter()
                .map(|voter| self.votes_for(voter.incarnation, holder.incarnation))
                .collect();
            let suspicion = self.suspicions.entry(holder.incarnation).or_default();
            if suspicion.term != holder.term {
                *suspicion = LapseSuspicion {
                    term: holder.term,
                    ..LapseSuspicion::default()
                };
            }
            if now < suspicion.next_ask {
                continue;
            }
            suspicion.next_ask = now + ASK_INTERVAL;
            for (voter, is_own) in holder.voters.iter().zip(own_votes) {
                if is_own {
                    if self
                        .voter_state
                        .refuse_if_lapsed(holder.incarnation, holder.term, now)
                    {
                        suspicion.refused.insert(voter.incarnation);
                    }
                    continue;
                }
                let ask = PeerDatagram::AskLapse {
                    asker: own.incarnation,
                    voter: voter.incarnation,
                    holder: holder.incarnation,
                    term: holder.term,
                };
                self.socket.send(voter.address, &ask);
            }
            let refused = holder
                .voters
                .iter()
                .filter(|voter| suspicion.refused.contains(&voter.incarnation))
                .count();
            if !holder.voters.is_empty() && refused >= quorum_of(holder.voters.len()) {
                suspicion.proven.get_or_insert(now);
            }
        }
    }
}
