//! The experiments, one module each. [`support`] holds what they share.

mod steady;
mod support;

use std::path::PathBuf;

use eyre::eyre;

use crate::results::ExperimentResult;

/// One experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExperimentName {
    /// Throughput and added latency.
    Steady,
}

/// What every experiment is given.
#[derive(Debug, Clone)]
pub struct RunContext {
    /// Seed of the run.
    pub seed: u64,
    /// Directory of the deployments' declarations.
    pub examples: PathBuf,
    /// Whether logs and ledgers are kept.
    pub keep: bool,
}

impl ExperimentName {
    /// Every experiment, in the order of `run all`.
    pub const ALL: [Self; 1] = [Self::Steady];

    /// Returns the name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
        }
    }

    /// Returns what the experiment does, in a line.
    pub fn summary(self) -> &'static str {
        match self {
            Self::Steady => "throughput and added latency beside a direct call",
        }
    }

    /// Finds an experiment by its name.
    ///
    /// # Errors
    ///
    /// When there is none of that name.
    pub fn find(name: &str) -> eyre::Result<Self> {
        Self::ALL
            .into_iter()
            .find(|known| known.as_str() == name)
            .ok_or_else(|| eyre!("no experiment is called {name}; `winch-bench list` names them"))
    }

    /// Runs the experiment once.
    ///
    /// # Errors
    ///
    /// When it could not be carried out; a missed bound is no error.
    pub async fn run(self, context: &RunContext) -> eyre::Result<ExperimentResult> {
        match self {
            Self::Steady => steady::run(context).await,
        }
    }
}
