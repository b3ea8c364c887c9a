//! Takes newer states from other processes while the log cannot be read.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rng;
use rand::seq::IndexedRandom;

use crate::base::timer::TimerService;
use crate::log::follower::FollowerHandle;
use crate::transport::state::fetch_state;

/// How often others are asked while the log cannot be read.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// How many processes are asked at a time.
const ASKED_AT_ONCE: usize = 3;

/// How long one may take to answer.
const ASK_LIMIT: Duration = Duration::from_secs(2);

/// Asks other processes for a newer state while the log cannot be read. Of
/// their states the one at the highest offset wins.
#[derive(Debug)]
pub struct PeerCatchUp {
    follower: FollowerHandle,
    own: SocketAddr,
    peers: Vec<SocketAddr>,
}

impl PeerCatchUp {
    /// Creates the part of the process at `own`. `peers` are asked besides the
    /// members that are known.
    pub fn new(follower: FollowerHandle, own: SocketAddr, peers: Vec<SocketAddr>) -> Self {
        Self {
            follower,
            own,
            peers,
        }
    }

    /// Asks on every tick on which the log cannot be read, for good.
    pub async fn run(self, timer: TimerService) {
        let mut ticks = timer.subscribe(ASK_INTERVAL);
        loop {
            ticks.next().await;
            if !*self.follower.reachable().borrow() {
                self.ask().await;
            }
        }
    }

    /// Asks some processes once.
    pub async fn ask(&self) {
        let candidates = self.candidates();
        let chosen = candidates.sample(&mut rng(), ASKED_AT_ONCE);
        for address in chosen {
            let above = self.follower.state().next;
            match fetch_state(*address, above, ASK_LIMIT).await {
                Ok(Some(state)) => {
                    let next = state.next;
                    if self.follower.install(state).await {
                        log::info!("node: took the state at offset {next} from {address}");
                    }
                }
                Ok(None) => {}
                Err(error) => log::debug!("node: {address} gave no state: {error}"),
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
