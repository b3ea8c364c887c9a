//! The routing table of the request path.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::base::collections::FastMap;
use crate::base::collections::FastSet;
use crate::base::hash::hash_key;
use crate::base::hash::slice_of;
use crate::base::ids::ClassName;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::ids::KeyHash;
use crate::base::ids::Offset;
use crate::base::ids::ServiceName;
use crate::declarations::ClassDeclaration;
use crate::declarations::ServiceDeclaration;
use crate::state::folded::FoldedState;
use crate::state::folded::HolderChain;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;
use crate::state::record::MemberInfo;
use crate::transport::link::PeerLink;

/// The current owner of a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerRoute {
    /// The holder that serves the chain.
    pub owner: Incarnation,
    /// Its epoch on the chain.
    pub epoch: Epoch,
}

/// A member that requests can be sent to.
#[derive(Debug, Clone)]
pub struct MemberRoute {
    /// What the member announced about itself.
    pub info: Arc<MemberInfo>,
    /// Whether it is draining, so that it only gets requests for keys that it
    /// still owns.
    pub draining: bool,
    /// The link to it; none for this process itself.
    pub link: Option<PeerLink>,
}

/// The routes of one service.
#[derive(Debug, Clone)]
pub struct ServiceRoute {
    /// The service's declaration.
    pub declaration: ServiceDeclaration,
    /// Owners by slice; none while a slice has no owner.
    slices: Vec<Option<OwnerRoute>>,
    /// Owners of the hot keys that were moved out of their slice.
    keys: FastMap<KeyHash, Option<OwnerRoute>>,
    /// Members that serve it, except draining ones.
    pub members: Vec<Incarnation>,
}

impl ServiceRoute {
    /// Returns the chain that a key belongs to: its own if it was moved out of
    /// its slice, otherwise that of its slice.
    pub fn chain_of(&self, key: &str) -> ChainKey {
        let hash = hash_key(key.as_bytes());
        let subject = if self.keys.contains_key(&hash) {
            ChainSubject::Key(hash)
        } else {
            ChainSubject::Slice(slice_of(hash, self.declaration.slices))
        };
        ChainKey {
            service: self.declaration.name.clone(),
            subject,
        }
    }

    /// Returns the owner of a chain of this service; none if it has no owner.
    pub fn owner_of(&self, subject: &ChainSubject) -> Option<OwnerRoute> {
        match subject {
            ChainSubject::Slice(slice) => self.slices.get(usize::from(*slice)).copied().flatten(),
            ChainSubject::Key(key) => self.keys.get(key).copied().flatten(),
            ChainSubject::Any => None,
        }
    }
}

/// The routes of all services.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// The next log offset of the folded state that the table is derived from.
    pub next: Offset,
    /// Routes by service.
    pub services: FastMap<ServiceName, ServiceRoute>,
    /// Declared priority classes by name.
    pub classes: FastMap<ClassName, ClassDeclaration>,
    /// Members by incarnation, except those known to have ended.
    pub members: FastMap<Incarnation, MemberRoute>,
}

/// Inputs that a table is derived from, besides the links.
#[derive(Debug, Clone, Copy)]
pub struct RouteInputs<'a> {
    /// The folded state.
    pub state: &'a FoldedState,
    /// Incarnations known to have ended, though not in the folded state yet.
    pub ended: &'a FastSet<Incarnation>,
    /// Positions known to have resigned, though not in the folded state yet.
    pub resigned: &'a FastSet<(ChainKey, Epoch)>,
}

impl RouteTable {
    /// Derives a table. `link_to` returns the link to a member; none for this
    /// process itself.
    pub fn derive(
        inputs: RouteInputs<'_>,
        mut link_to: impl FnMut(&MemberInfo) -> Option<PeerLink>,
    ) -> Self {
        let mut table = Self {
            next: inputs.state.next,
            ..Self::default()
        };
        table.add_members(inputs, &mut link_to);
        table.add_objects(inputs.state);
        table.add_chains(inputs);
        table
    }

    fn add_members(
        &mut self,
        inputs: RouteInputs<'_>,
        link_to: &mut impl FnMut(&MemberInfo) -> Option<PeerLink>,
    ) {
        for (&incarnation, member) in &inputs.state.members {
            if inputs.ended.contains(&incarnation) {
                continue;
            }
            let route = MemberRoute {
                info: Arc::new(member.info.clone()),
                draining: member.draining,
                link: link_to(&member.info),
            };
            self.members.insert(incarnation, route);
        }
    }

    fn add_objects(&mut self, state: &FoldedState) {
        for service in state.services() {
            self.add_service(service);
        }
        self.classes = state
            .classes()
            .map(|class| (class.name.clone(), class.clone()))
            .collect();
    }

    fn add_service(&mut self, service: &ServiceDeclaration) {
        let members = self
            .members
            .values()
            .filter(|member| !member.draining && member.info.upstream.service == service.name)
            .map(|member| member.info.incarnation)
            .collect();
        let route = ServiceRoute {
            declaration: service.clone(),
            slices: vec![None; usize::from(service.slices)],
            keys: FastMap::default(),
            members,
        };
        self.services.insert(service.name.clone(), route);
    }

    fn add_chains(&mut self, inputs: RouteInputs<'_>) {
        for (key, chain) in &inputs.state.chains {
            let Some(service) = self.services.get_mut(&key.service) else {
                continue;
            };
            let owner = serving_position(key, chain, inputs);
            match key.subject {
                ChainSubject::Slice(slice) => {
                    if let Some(place) = service.slices.get_mut(usize::from(slice)) {
                        *place = owner;
                    }
                }
                ChainSubject::Key(hash) => {
                    service.keys.insert(hash, owner);
                }
                ChainSubject::Any => {}
            }
        }
    }
}

/// Returns the owner of a chain: its first position that has neither resigned
/// nor ended; none if there is no such position.
pub fn serving_position(
    key: &ChainKey,
    chain: &HolderChain,
    inputs: RouteInputs<'_>,
) -> Option<OwnerRoute> {
    inputs
        .state
        .active_positions(chain, inputs.ended)
        .find(|(epoch, _owner)| {
            inputs.resigned.is_empty() || !inputs.resigned.contains(&(key.clone(), *epoch))
        })
        .map(|(epoch, owner)| OwnerRoute { owner, epoch })
}

/// Holds the current table and notifies subscribers of changes. Clones share
/// it.
#[derive(Debug, Clone)]
pub struct RoutePublisher {
    current: Arc<ArcSwap<RouteTable>>,
    changes: watch::Sender<u64>,
}

impl Default for RoutePublisher {
    fn default() -> Self {
        Self {
            current: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl RoutePublisher {
    /// Returns the current table; an empty one before the first
    /// [`Self::store`].
    pub fn load(&self) -> Arc<RouteTable> {
        self.current.load_full()
    }

    /// Replaces the table and notifies the subscribers.
    pub fn store(&self, table: RouteTable) {
        self.current.store(Arc::new(table));
        self.changes.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes. The value counts the tables stored so far.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
