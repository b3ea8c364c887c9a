//! Aggregation of the statistics of several processes.

use winch_operator_api as api;

/// Statistics of one or several processes.
///
/// Request counts are summed. The maximum is kept where all processes observe
/// the same events, as with churn, and where a sum has no meaning, as with
/// percentiles and durations.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetStats {
    /// Nodes whose statistics are included.
    pub nodes: Vec<Box<str>>,
    /// Nodes that did not answer.
    pub unreachable: Vec<Box<str>>,
    /// Statistics by priority class, most urgent class first.
    pub classes: Vec<api::ClassStatus>,
    /// Number of owner changes of chains, from the process that folded the most.
    pub chain_moves: u64,
    /// Number of chains that these processes took over from another holder.
    pub takeovers: u64,
    /// Requests in progress at their upstreams.
    pub running: u64,
    /// Requests queued at their owners.
    pub waiting: u64,
    /// Sum of the concurrency limits of the upstreams.
    pub limit: u64,
    /// Time in which requests found no serving owner, in seconds; the maximum
    /// over the processes.
    pub unavailable_seconds: f64,
    /// Requests waiting for a serving owner.
    pub stalled: u64,
}

impl FleetStats {
    /// Creates the statistics of one process.
    pub fn new(status: &api::StatusResponse) -> Self {
        let mut fleet_stats = Self::default();
        fleet_stats.add(status);
        fleet_stats
    }

    /// Adds the statistics of another process.
    pub fn add(&mut self, status: &api::StatusResponse) {
        self.nodes.push(status.node.as_str().into());
        self.chain_moves = self.chain_moves.max(status.chain_moves);
        self.takeovers += status.takeovers;
        self.running += status.running;
        self.waiting += status.waiting;
        self.limit += status.limit;
        self.unavailable_seconds = self.unavailable_seconds.max(status.unavailable_seconds);
        self.stalled += status.stalled;
        for class in &status.classes {
            self.add_class(class);
        }
    }

    fn add_class(&mut self, class: &api::ClassStatus) {
        let existing = self
            .classes
            .iter_mut()
            .find(|existing| existing.name == class.name);
        let Some(existing) = existing else {
            self.classes.push(class.clone());
            self.classes.sort_by_key(|class| class.rank);
            return;
        };
        existing.answered += class.answered;
        existing.not_run += class.not_run;
        existing.unknown += class.unknown;
        existing.p50_seconds = existing.p50_seconds.max(class.p50_seconds);
        existing.p99_seconds = existing.p99_seconds.max(class.p99_seconds);
    }
}
