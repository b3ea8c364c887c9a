//! What the parts of a process depend on, in one place.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;
use crate::ownership::view::OwnershipView;
use crate::routing::table::RouteInputs;
use crate::routing::table::RoutePublisher;
use crate::routing::table::RouteTable;
use crate::state::folded::FoldedState;
use crate::state::record::MemberInfo;
use crate::transport::link::PeerLink;
use crate::transport::link::RequestIdGenerator;

/// Least time between two changes of the inputs.
const COALESCE_TIME: Duration = Duration::from_millis(10);

/// The folded state and what this process knows beyond it.
#[derive(Debug, Clone, Default)]
pub struct NodeInputs {
    /// The folded state.
    pub state: Arc<FoldedState>,
    /// What is known beyond it.
    pub view: Arc<OwnershipView>,
    /// Whether this process is leaving.
    pub is_leaving: bool,
}

/// Joins the sources until all of them have ended.
pub async fn join_inputs(
    mut states: watch::Receiver<Arc<FoldedState>>,
    mut views: watch::Receiver<Arc<OwnershipView>>,
    mut leaving: watch::Receiver<bool>,
    joined: watch::Sender<NodeInputs>,
) {
    loop {
        let inputs = NodeInputs {
            state: Arc::clone(&states.borrow_and_update()),
            view: Arc::clone(&views.borrow_and_update()),
            is_leaving: *leaving.borrow_and_update(),
        };
        joined.send_replace(inputs);
        // A drain or a plan changes the sources many times in a row; every
        // part derives its tables once for all of them.
        tokio::time::sleep(COALESCE_TIME).await;
        let changed = tokio::select! {
            changed = states.changed() => changed,
            changed = views.changed() => changed,
            changed = leaving.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Keeps the links to other members over changes of the table.
#[derive(Debug)]
pub struct RouteKeeper {
    own: Incarnation,
    numbers: RequestIdGenerator,
    links: FastMap<Incarnation, PeerLink>,
    publisher: RoutePublisher,
}

impl RouteKeeper {
    /// Creates a keeper that publishes tables.
    pub fn new(own: Incarnation, publisher: RoutePublisher) -> Self {
        Self {
            own,
            numbers: RequestIdGenerator::default(),
            links: FastMap::default(),
            publisher,
        }
    }

    /// Publishes a table after each change of the inputs.
    pub async fn run(mut self, mut inputs: watch::Receiver<NodeInputs>) {
        loop {
            let current = inputs.borrow_and_update().clone();
            self.publish(&current);
            if inputs.changed().await.is_err() {
                return;
            }
        }
    }

    fn publish(&mut self, inputs: &NodeInputs) {
        let state = &inputs.state;
        self.links
            .retain(|member, _link| state.members.contains_key(member));
        let route_inputs = RouteInputs {
            state,
            ended: &inputs.view.ended,
            resigned: &inputs.view.resigned,
        };
        let table = RouteTable::derive(route_inputs, |member| {
            link_to(&mut self.links, self.own, &self.numbers, member)
        });
        self.publisher.store(table);
    }
}

fn link_to(
    links: &mut FastMap<Incarnation, PeerLink>,
    own: Incarnation,
    numbers: &RequestIdGenerator,
    member: &MemberInfo,
) -> Option<PeerLink> {
    if member.incarnation == own {
        return None;
    }
    let link = links.entry(member.incarnation).or_insert_with(|| {
        PeerLink::start(
            own,
            member.incarnation,
            member.peer_address,
            numbers.clone(),
        )
    });
    Some(link.clone())
}
