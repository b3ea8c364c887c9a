//! The table that the request path routes by.

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

/// Who serves a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerRoute {
    /// The serving holder.
    pub owner: Incarnation,
    /// Its epoch.
    pub epoch: Epoch,
}

/// A member that requests can be sent to.
#[derive(Debug, Clone)]
pub struct MemberRoute {
    /// What it said about itself.
    pub info: Arc<MemberInfo>,
    /// Whether it is draining.
    pub draining: bool,
    /// The link to it; none to this process itself.
    pub link: Option<PeerLink>,
}

/// The routes of one service.
#[derive(Debug, Clone)]
pub struct ServiceRoute {
    /// The service's declaration.
    pub declaration: ServiceDeclaration,
    /// Owners by slice.
    slices: Vec<Option<OwnerRoute>>,
    /// Owners of single keys.
    keys: FastMap<KeyHash, Option<OwnerRoute>>,
    /// Members that serve it, draining ones excluded.
    pub members: Vec<Incarnation>,
}

impl ServiceRoute {
    /// Returns the chain that a key belongs to.
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

    /// Returns who serves a chain of this service.
    pub fn owner_of(&self, subject: &ChainSubject) -> Option<OwnerRoute> {
        match subject {
            ChainSubject::Slice(slice) => self.slices.get(usize::from(*slice)).copied().flatten(),
            ChainSubject::Key(key) => self.keys.get(key).copied().flatten(),
            ChainSubject::Any => None,
        }
    }
}

/// The routes of every service.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// The folded state's next offset.
    pub next: Offset,
    /// Routes by service.
    pub services: FastMap<ServiceName, ServiceRoute>,
    /// Declared priority classes.
    pub classes: FastMap<ClassName, ClassDeclaration>,
    /// Members by incarnation.
    pub members: FastMap<Incarnation, MemberRoute>,
}

/// What a table is derived from, besides the links.
#[derive(Debug, Clone, Copy)]
pub struct RouteInputs<'a> {
    /// The folded state.
    pub state: &'a FoldedState,
    /// Incarnations known to have ended beyond what is folded.
    pub ended: &'a FastSet<Incarnation>,
    /// Positions known to have resigned beyond what is folded.
    pub resigned: &'a FastSet<(ChainKey, Epoch)>,
}

impl RouteTable {
    /// Derives a table. `link_to` returns the link to a member.
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

/// Returns the first position that neither resigned nor ended.
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

/// Publishes the table. Cloning shares it.
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
    /// Returns the current table.
    pub fn load(&self) -> Arc<RouteTable> {
        self.current.load_full()
    }

    /// Replaces the table and wakes whoever waits for a change.
    pub fn store(&self, table: RouteTable) {
        self.current.store(Arc::new(table));
        self.changes.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
