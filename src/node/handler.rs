//! Runs the requests that this process owns, counted by chain.

use std::sync::Arc;

use bytes::Bytes;
use tokio_util::sync::CancellationToken;

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
use crate::transport::server::OwnerRequestHandler;

/// Runs the requests that this process owns. Cloning shares it.
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
    /// Creates the handler.
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
    /// Returns the hash of the key by which an order belongs to its chain.
    fn owner_key(&self, order: &RoutedRequest) -> Option<KeyHash> {
        let state = self.follower.state();
        let division = state.service_declaration(&order.chain.service)?.division;
        let key = division.owner_key(&order.key, order.idempotency_key.as_deref());
        Some(hash_key(key.as_bytes()))
    }
}

impl<G: OwnershipGate> OwnerRequestHandler for NodeHandler<G> {
    async fn handle(&self, request: RoutedRequest, cancelled: CancellationToken) -> RequestResult {
        if request.chain.subject == ChainSubject::Any {
            return self.owner.handle(request, cancelled).await;
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
        // After the request counts as running, so that a key which is taken out
        // of its slice from here on waits for it.
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
        self.owner.handle(request, cancelled).await
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
