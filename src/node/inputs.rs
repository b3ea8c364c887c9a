//! Combines the state that the components depend on into one watched value.

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
use crate::transport::link::EntryProcess;
use crate::transport::link::PeerLink;

/// Minimum time between two updates of the combined inputs.
const COALESCE_INTERVAL: Duration = Duration::from_millis(10);

/// The folded state and what this process knows in addition to it.
#[derive(Debug, Clone, Default)]
pub struct NodeInputs {
    /// State folded from the log so far.
    pub state: Arc<FoldedState>,
    /// What this process knows about ownership in addition to the folded state.
    pub view: Arc<OwnershipView>,
    /// Whether this process has begun to leave the fleet.
    pub is_leaving: bool,
}

/// Publishes the current values of the sources as one [`NodeInputs`], at most
/// once per coalescing interval. Returns when a source is closed.
pub async fn combine_inputs(
    mut states: watch::Receiver<Arc<FoldedState>>,
    mut views: watch::Receiver<Arc<OwnershipView>>,
    mut leaving: watch::Receiver<bool>,
    combined: watch::Sender<NodeInputs>,
) {
    loop {
        let inputs = NodeInputs {
            state: Arc::clone(&states.borrow_and_update()),
            view: Arc::clone(&views.borrow_and_update()),
            is_leaving: *leaving.borrow_and_update(),
        };
        combined.send_replace(inputs);
        // A drain or a plan changes the sources many times in a row. Coalescing
        // lets every component derive its tables once for all these changes.
        tokio::time::sleep(COALESCE_INTERVAL).await;
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

/// Derives the routing table from the inputs. Links to members are reused from
/// one table to the next.
#[derive(Debug)]
pub struct RouteUpdater {
    own: Incarnation,
    entry: EntryProcess,
    links: FastMap<Incarnation, PeerLink>,
    publisher: RoutePublisher,
}

impl RouteUpdater {
    /// Creates an updater of the process `own` that opens links of `entry` and publishes
    /// its tables through `publisher`.
    pub fn new(own: Incarnation, entry: EntryProcess, publisher: RoutePublisher) -> Self {
        Self {
            own,
            entry,
            links: FastMap::default(),
            publisher,
        }
    }

    /// Publishes a table now and after each change of the inputs. Returns when
    /// the inputs are closed.
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
            link_to(&mut self.links, self.own, &self.entry, member)
        });
        self.publisher.store(table);
    }
}

fn link_to(
    links: &mut FastMap<Incarnation, PeerLink>,
    own: Incarnation,
    entry: &EntryProcess,
    member: &MemberInfo,
) -> Option<PeerLink> {
    if member.incarnation == own {
        return None;
    }
    let link = links
        .entry(member.incarnation)
        .or_insert_with(|| PeerLink::start(entry, member.incarnation, member.peer_address));
    Some(link.clone())
}
