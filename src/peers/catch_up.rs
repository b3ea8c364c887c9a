//! When a process that is behind its peers fetches the state of one of them, and when
//! it reads the store anew.
//!
//! News of a configuration or a map reaches most processes directly: from the store,
//! or as an edit by datagram. This is the other way, for a process whose read of the
//! store hangs or is refused, or that lost the datagram. It is pure, so that a test can
//! run a fleet of hundreds.

use std::time::Duration;

use super::directory::CatchUpDraw;
use super::directory::PeerDirectory;
use super::message::KnownVersions;
use super::message::MemberRecord;
use crate::base::ids::Offset;

/// Number of peers to which a process offers its state when it has a new configuration or
/// has caught up. Each of them offers it to as many, so that news reaches a fleet of
/// hundreds within a few steps.
pub const OFFER_FANOUT: usize = 8;

/// Number of consecutive comparisons that show this process behind, and for its map also
/// without progress, after which it reads the store on a new connection. It does so again
/// each time that this number has doubled.
const REREAD_AFTER: u32 = 3;

/// What a process that compares itself with its peers is to do.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CatchUpStep {
    /// The member whose state is to be fetched.
    pub ask: Option<MemberRecord>,
    /// Whether to read the operator's topic on a new connection.
    pub read_operator: bool,
    /// Whether to read the fleet's topic on a new connection.
    pub read_fleet: bool,
}

/// What one process has found by comparing itself with its peers.
#[derive(Debug, Clone, Default)]
pub struct CatchUpPlan {
    times_behind: u32,
    /// Number of consecutive comparisons that showed this process behind with the same map.
    /// While the map changes all the time, a process is behind whenever it compares itself,
    /// though edits and peers' states reach it.
    times_stalled: u32,
    /// Offset of the map at the last comparison.
    last_map: Offset,
}

impl CatchUpPlan {
    /// Returns the number of consecutive comparisons that showed this process behind.
    pub fn times_behind(&self) -> u32 {
        self.times_behind
    }

    /// Compares this process, which knows `known`, with its peers at `now`, where
    /// `interval` is the time between two reports. `requested` tells that a change
    /// arrived that is based on a map which this process does not have. `draw` is
    /// random.
    pub fn compare(
        &mut self,
        directory: &PeerDirectory,
        known: KnownVersions,
        now: Duration,
        interval: Duration,
        requested: bool,
        draw: CatchUpDraw,
    ) -> CatchUpStep {
        let Some(ahead) = directory.choose_ahead(known, now, interval, draw) else {
            *self = Self::default();
            return CatchUpStep::default();
        };
        self.times_behind += 1;
        if known.map > self.last_map {
            self.times_stalled = 0;
        }
        self.times_stalled += 1;
        self.last_map = known.map;
        // After the first comparison the change may still be on its way here.
        let may_ask = ahead.is_turn && (self.times_behind >= 2 || requested);
        let has_news = ahead.peer.versions().has_operator_news(known);
        let has_map = ahead.peer.map > known.map;
        CatchUpStep {
            ask: may_ask.then(|| ahead.peer.member.clone()),
            read_operator: has_news && is_reread_due(self.times_behind),
            read_fleet: has_map && may_ask && is_reread_due(self.times_stalled),
        }
    }
}

fn is_reread_due(times: u32) -> bool {
    times.is_multiple_of(REREAD_AFTER) && (times / REREAD_AFTER).is_power_of_two()
}
