//! Builds the log of a small fleet and the state folded from it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use buckthornwinch::base::ids::Epoch;
use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::ownership::timing::ClockReading;
use buckthornwinch::state::effect::FoldEffect;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::ChainAppend;
use buckthornwinch::state::record::ChainKey;
use buckthornwinch::state::record::LogRecord;
use buckthornwinch::state::record::MemberInfo;

use crate::records::batch;
use crate::records::change;
use crate::records::member_info;
use crate::records::service;

/// Returns the incarnation of a node's first process: 100 plus the node number.
pub fn incarnation(node: u16) -> Incarnation {
    100 + Incarnation::from(node)
}

/// Shorthand for [`Duration::from_millis`].
pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a clock reading at `time` milliseconds.
///
/// The wall clock is always 1,000,000 ms ahead of the monotonic clock.
pub fn at(time: u64) -> ClockReading {
    ClockReading {
        monotonic: millis(time),
        wall: millis(1_000_000 + time),
    }
}

/// The log of a fleet in which node 1 is the planner, in term 1.
#[derive(Debug, Clone, Default)]
pub struct FleetLog {
    /// The state folded from the whole log.
    pub state: FoldedState,
    sequences: BTreeMap<Incarnation, u64>,
}

impl FleetLog {
    /// Joins nodes 1 to `nodes`, makes node 1 the planner and declares the test
    /// service.
    pub fn with_nodes(nodes: u16) -> Self {
        Self::with_members((1..=nodes).map(|node| member_info(node, incarnation(node))))
    }

    /// Like [`with_nodes`](Self::with_nodes), with the given member information
    /// for each node.
    pub fn with_members(members: impl Iterator<Item = MemberInfo>) -> Self {
        let mut log = Self::default();
        for info in members {
            log.append(info.incarnation, vec![LogRecord::Join(Box::new(info))]);
        }
        let declared = change("declare", 0, service(4, 1000));
        log.append(incarnation(1), vec![LogRecord::Claim { term: 1 }, declared]);
        log
    }

    /// Appends a batch and returns the resulting state.
    ///
    /// # Panics
    ///
    /// Panics if the fold rejects any record of the batch.
    pub fn append(&mut self, author: Incarnation, records: Vec<LogRecord>) -> Arc<FoldedState> {
        let effects = self.try_append(author, records);
        assert!(effects.iter().all(FoldEffect::is_accepted), "{effects:?}");
        self.shared()
    }

    /// Appends a batch and returns the effects, whether accepted or rejected.
    pub fn try_append(&mut self, author: Incarnation, records: Vec<LogRecord>) -> Vec<FoldEffect> {
        let sequence = self.sequences.entry(author).or_default();
        *sequence += 1;
        let batch = batch(author, *sequence, records);
        self.state.apply(self.state.next, &batch)
    }

    /// Appends the next version of a node's witness set, as the planner.
    pub fn name_witnesses(&mut self, node: u16, witnesses: &[u16]) -> Arc<FoldedState> {
        let member = incarnation(node);
        let version = self.state.members[&member].witnesses.version + 1;
        let witnesses = witnesses.iter().map(|node| incarnation(*node)).collect();
        let record = LogRecord::Witnesses {
            term: 1,
            member,
            version,
            witnesses,
        };
        self.append(incarnation(1), vec![record])
    }

    /// Appends nodes to the tail of a chain, as the planner.
    pub fn assign(&mut self, chain: &ChainKey, nodes: &[u16]) -> Arc<FoldedState> {
        let append = ChainAppend {
            chain: chain.clone(),
            first_epoch: self.state.next_epoch_of(chain).unwrap_or(0),
            holders: nodes.iter().map(|node| incarnation(*node)).collect(),
            supersedes: false,
        };
        let record = LogRecord::Assign {
            term: 1,
            appends: vec![append],
        };
        self.append(incarnation(1), vec![record])
    }

    /// Resigns the position that a node holds in a chain at `epoch`.
    pub fn resign(&mut self, node: u16, chain: &ChainKey, epoch: Epoch) -> Arc<FoldedState> {
        let positions = vec![(chain.clone(), epoch)];
        self.append(incarnation(node), vec![LogRecord::Resign { positions }])
    }

    /// Returns a shared copy of the current state.
    pub fn shared(&self) -> Arc<FoldedState> {
        Arc::new(self.state.clone())
    }
}
