//! What the rest of the process reads about ownership.

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
    /// The epoch.
    pub epoch: Epoch,
    /// Since when.
    pub since: Instant,
}

/// What this process knows about ownership beyond the folded state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnershipView {
    /// Members that are certified but not ended in the folded state yet.
    pub ended: FastSet<Incarnation>,
    /// Positions that their holders resigned but the folded state does not
    /// show yet.
    pub resigned: FastSet<(ChainKey, Epoch)>,
    /// The chains that this process serves while its lease is live.
    pub serving: FastMap<ChainKey, ServedChain>,
    /// Whether this process's lease was live when the view was made. The gate
    /// knows better.
    pub lease_live: bool,
    /// Why this process cannot hold its lease any more. It has to join anew.
    pub end_cause: Option<EndCause>,
}
