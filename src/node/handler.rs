//! Runs requests for keys that this process owns.

use std::sync::Arc;

use bytes::Bytes;

use crate::admission::load::OwnerLoad;
use crate::base::error::ErrorKind;
use crate::base::hash::hash_key;
use crate::base::ids::KeyHash;
use crate::base::ids::Offset;
use crate::delivery::message::RequestFailure;
use crate::delivery::message::RequestResult;
use crate::delivery::message::RoutedRequest;
use crate::delivery::owner::OwnerService;
use crate::handover::activity::ChainActivity;
use crate::hotkeys::report::KeySampler;
use crate::log::follower::FollowerHandle;
use crate::ownership::gate::OwnershipGate;
use crate::state::record::ChainSubject;
use crate::state::snapshot::encode_state;
use crate::transport::server::EntrySignals;
use crate::transport::server::OwnerRequestHandler;

/// Handles requests on the owner. A request of a chain of keys is counted as
/// running for its chain and runs only if the key belongs to that chain. Clones
/// share the same state.
#[derive(Debug)]
pub struct NodeHandler<G: OwnershipGate> {
    gate: G,
    owner: Arc<OwnerService<G>>,
    activity: ChainActivity,
    sampler: KeySampler,
    follower: FollowerHandle,
}

impl<G: OwnershipGate> Clone for NodeHandler<G> {
    fn clone(&self) -> Self {
        Self {
            gate: self.gate.clone(),
            owner: Arc::clone(&self.owner),
            activity: self.activity.clone(),
            sampler: self.sampler.clone(),
            follower: self.follower.clone(),
        }
    }
}

impl<G: OwnershipGate> NodeHandler<G> {
    /// Creates a handler that admits requests through `gate`, runs them on
    /// `owner` and looks up keys in the state that `follower` folds.
    pub fn new(
        gate: G,
        owner: Arc<OwnerService<G>>,
        activity: ChainActivity,
        sampler: KeySampler,
        follower: FollowerHandle,
    ) -> Self {
        Self {
            gate,
            owner,
            activity,
            sampler,
            follower,
        }
    }
}

impl<G: OwnershipGate> NodeHandler<G> {
    /// Returns the hash of the key that determines the request's chain, or none
    /// if the service is not declared in the folded state.
    fn owner_key(&self, request: &RoutedRequest) -> Option<KeyHash> {
        let state = self.follower.state();
        let division = state.service_declaration(&request.chain.service)?.division;
        let key = division.owner_key(&request.key, request.idempotency_key.as_deref());
        Some(hash_key(key.as_bytes()))
    }
}

impl<G: OwnershipGate> OwnerRequestHandler for NodeHandler<G> {
    async fn handle(&self, request: RoutedRequest, signals: EntrySignals) -> RequestResult {
        if request.chain.subject == ChainSubject::Any {
            return self.owner.handle(request, signals.cancelled).await;
        }
        let Some(key) = self.owner_key(&request) else {
            return Err(RequestFailure::new(
                ErrorKind::NotOwner,
                "the service is not declared here",
            ));
        };
        self.sampler.count(&request.chain.service, key);
        let token = match self.gate.admit(&request.chain) {
            Ok(token) => token,
            Err(kind) => {
                return Err(RequestFailure::new(
                    kind,
                    "this process does not serve the key now",
                ));
            }
        };
        let Some(_running) = self.activity.enter_key(&request.chain, key, token.epoch) else {
            return Err(RequestFailure::new(
                ErrorKind::NotOwner,
                "the key is moving away",
            ));
        };
        // Checked only after the request counts as running: if the key is moved
        // out of its slice from here on, the move waits for this request.
        let chain = self
            .follower
            .state()
            .chain_of_key(&request.chain.service, key);
        if chain.as_ref() != Some(&request.chain) {
            return Err(RequestFailure::new(
                ErrorKind::NotOwner,
                "the key belongs to another chain",
            ));
        }
        self.owner.handle(request, signals.cancelled).await
    }

    fn load(&self) -> OwnerLoad {
        self.owner.load()
    }

    fn newer_state(&self, newer_than: Offset) -> Option<Bytes> {
        let state = self.follower.state();
        if state.next <= newer_than {
            return None;
        }
        encode_state(&state).ok()
    }
}
