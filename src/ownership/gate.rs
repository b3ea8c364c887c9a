//! The last check before a dispatch.

use std::time::SystemTime;

use crate::base::error::ErrorKind;
use crate::base::ids::Epoch;
use crate::state::record::ChainKey;

/// Proof that this process may dispatch for a chain, at the moment it was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceToken {
    /// The epoch under which the order runs.
    pub epoch: Epoch,
    /// When the lease ends, by the VM's wall clock, for an upstream on the
    /// same VM that checks it.
    pub expires_at: SystemTime,
}

/// Tells whether this process may serve a chain now.
pub trait OwnershipGate: Clone + Send + Sync + 'static {
    /// Returns the token, or why the process may not serve the chain:
    /// [`ErrorKind::NotOwner`], [`ErrorKind::LeaseLapsed`] or
    /// [`ErrorKind::Draining`].
    fn admit(&self, chain: &ChainKey) -> Result<FenceToken, ErrorKind>;
}
