//! Ownership as published to the rest of the process.

use std::time::Instant;

use super::holder::EndCause;
use crate::base::collections::FastMap;
use crate::base::collections::FastSet;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::state::record::ChainKey;

/// A chain that this process serves while its lease is live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServedChain {
    /// The epoch under which the chain is served.
    pub epoch: Epoch,
    /// When this process became entitled to serve the chain.
    pub since: Instant,
}

/// What this process knows about ownership in addition to the folded state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnershipView {
    /// Members whose lapse is certified but whose end is not in the folded
    /// state yet.
    pub ended: FastSet<Incarnation>,
    /// Positions whose resignation is known but not in the folded state yet.
    pub resigned: FastSet<(ChainKey, Epoch)>,
    /// The chains that this process serves while its lease is live.
    pub serving: FastMap<ChainKey, ServedChain>,
    /// Whether this process's lease was live when the view was published. It
    /// may be stale: the request path has to ask the gate.
    pub lease_live: bool,
    /// Why this incarnation permanently lost its lease and has to rejoin as a
    /// new one; `None` while it may hold it.
    pub end_cause: Option<EndCause>,
}
