//! Joins the figures of several processes.

use winch_operator_api as api;

/// The figures of one process or several.
///
/// Counts of requests are summed. Where processes see the same thing, as
/// churn, or where a sum would mean nothing, as a percentile or a time, the
/// greatest is kept.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetFigures {
    /// Whose figures these are.
    pub nodes: Vec<Box<str>>,
    /// Nodes that could not be asked.
    pub silent: Vec<Box<str>>,
    /// Figures by priority class, the most urgent first.
    pub classes: Vec<api::ClassStatus>,
    /// Chains whose owner changed, as the process that saw most folded them.
    pub chain_moves: u64,
    /// Chains that these processes began to serve after another holder.
    pub takeovers: u64,
    /// Requests that run.
    pub running: u64,
    /// Requests that wait at their owner.
    pub waiting: u64,
    /// Requests that may run at once.
    pub limit: u64,
    /// Greatest time in which one entry's requests found no owner, in seconds.
    pub unavailable_seconds: f64,
    /// Requests that wait for an owner that serves.
    pub stalled: u64,
}

impl FleetFigures {
    /// Takes the figures of one process.
    pub fn new(status: &api::StatusResponse) -> Self {
        let mut figures = Self::default();
        figures.add(status);
        figures
    }

    /// Adds the figures of another process.
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
        let known = self
            .classes
            .iter_mut()
            .find(|known| known.name == class.name);
        let Some(known) = known else {
            self.classes.push(class.clone());
            self.classes.sort_by_key(|class| class.rank);
            return;
        };
        known.answered += class.answered;
        known.not_run += class.not_run;
        known.unknown += class.unknown;
        known.p50_seconds = known.p50_seconds.max(class.p50_seconds);
        known.p99_seconds = known.p99_seconds.max(class.p99_seconds);
    }
}
