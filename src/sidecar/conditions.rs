//! What other sidecars' upstreams stated in the responses that this entry passed
//! on to callers.
//!
//! The sidecar beside an upstream keeps what the upstream stated, and forgets it
//! when it restarts. So each request that an entry forwards carries what the entry
//! knows, and the restarted sidecar keeps to it from its first request on.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::base::collections::FastMap;
use crate::base::ids::NodeName;
use crate::upstream::condition::StatedCondition;

/// The newest stated conditions, by the nodes of their sidecars.
#[derive(Debug, Default)]
pub(super) struct PeerConditions {
    by_node: Mutex<FastMap<NodeName, StatedCondition>>,
}

impl PeerConditions {
    /// Returns what the upstream beside the sidecar of `node` last stated; `None`
    /// if that was nothing.
    pub(super) fn find(&self, node: &str) -> Option<StatedCondition> {
        self.lock().get(node).copied()
    }

    /// Records what the upstream beside the sidecar of `node` stated. That it leaves
    /// is final, since responses may overtake each other.
    pub(super) fn record(&self, node: &NodeName, mut stated: StatedCondition) {
        let mut by_node = self.lock();
        if let Some(former) = by_node.get(node)
            && former.upstream == stated.upstream
        {
            stated.condition.leaving |= former.condition.leaving;
        }
        if stated.condition.is_plain() {
            by_node.remove(node);
        } else {
            by_node.insert(node.clone(), stated);
        }
    }

    /// Removes the conditions of all nodes that are not `known`.
    pub(super) fn retain(&self, known: impl Fn(&str) -> bool) {
        self.lock().retain(|node, _stated| known(node));
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<NodeName, StatedCondition>> {
        self.by_node.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
