//! Fetches the folded state from other processes while the log is unreachable.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rng;
use rand::seq::IndexedRandom;

use crate::base::timer::TimerService;
use crate::log::follower::FollowerHandle;
use crate::transport::state::fetch_state;

/// Interval between fetches while the log is unreachable.
const FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Number of processes asked in one round.
const PEERS_PER_ROUND: usize = 3;

/// Time-out of one process's response.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches a newer folded state from other processes while the log is
/// unreachable. A fetched state is installed only if its offset is greater than
/// that of the state held.
#[derive(Debug)]
pub struct PeerCatchUp {
    follower: FollowerHandle,
    own: SocketAddr,
    peers: Vec<SocketAddr>,
}

impl PeerCatchUp {
    /// Creates the catch-up of the process that listens at `own`. Candidates are
    /// the members of the folded state and `peers`, which are known from the
    /// settings.
    pub fn new(follower: FollowerHandle, own: SocketAddr, peers: Vec<SocketAddr>) -> Self {
        Self {
            follower,
            own,
            peers,
        }
    }

    /// Fetches once per interval while the log is unreachable. Never returns.
    pub async fn run(self, timer: TimerService) {
        let mut ticks = timer.subscribe(FETCH_INTERVAL);
        loop {
            ticks.next().await;
            if !*self.follower.reachable().borrow() {
                self.fetch_newer_state().await;
            }
        }
    }

    /// Asks a random sample of processes, one after the other, for a newer state.
    pub async fn fetch_newer_state(&self) {
        let candidates = self.candidates();
        let chosen = candidates.sample(&mut rng(), PEERS_PER_ROUND);
        for address in chosen {
            let above = self.follower.state().next;
            match fetch_state(*address, above, FETCH_TIMEOUT).await {
                Ok(Some(state)) => {
                    let next = state.next;
                    if self.follower.install(state).await {
                        log::info!("node: installed the state at offset {next} from {address}");
                    }
                }
                Ok(None) => {}
                Err(error) => log::debug!("node: cannot fetch the state from {address}: {error}"),
            }
        }
    }

    fn candidates(&self) -> Vec<SocketAddr> {
        let state = self.follower.state();
        let members = state.members.values();
        let mut addresses: BTreeSet<SocketAddr> =
            members.map(|member| member.info.peer_address).collect();
        addresses.extend(&self.peers);
        addresses.remove(&self.own);
        addresses.into_iter().collect()
    }
}
