//! The experiments, one module each. [`support`] and [`probe`] hold shared code.

mod flood;
mod freeze;
mod log_trouble;
mod orders;
mod probe;
pub mod quickstart;
mod rolling;
mod slopes;
mod steady;
mod support;
mod takeover;

use std::path::PathBuf;

use eyre::eyre;

use crate::results::ExperimentResult;

use flood::FloodKind;
use takeover::LogCondition;

/// An experiment, as `winch-bench run` names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExperimentName {
    /// Throughput and added latency, compared with direct calls.
    Steady,
    /// Owners and their upstreams are killed.
    Takeover,
    /// Owners and their upstreams are killed while the log is down.
    TakeoverLogDown,
    /// Owners are suspended for 0.3, 1 and 5 s.
    Freeze,
    /// The log is down, then slow, then loses responses.
    LogTrouble,
    /// Orders with retries during kills, suspensions and upstream faults.
    Orders,
    /// Mixed load at 95 % of an owner's capacity.
    Classes,
    /// Batch work at 10 times an owner's capacity.
    FloodLow,
    /// Lookups at 10 times an owner's capacity.
    FloodHigh,
    /// Owners drain and restart one after the other.
    Rolling,
    /// Cost of planning, replay and encoding by numbers of members and slices.
    Slopes,
}

/// Parameters of a run, the same for every experiment.
#[derive(Debug, Clone)]
pub struct RunContext {
    /// Seed of the random choices.
    pub seed: u64,
    /// Directory that holds `NAME/declarations` for each deployment.
    pub examples: PathBuf,
    /// Whether logs and ledgers are kept after the run.
    pub keep: bool,
}

impl ExperimentName {
    /// Every experiment, in the order of `run all`.
    pub const ALL: [Self; 11] = [
        Self::Steady,
        Self::Takeover,
        Self::TakeoverLogDown,
        Self::Freeze,
        Self::LogTrouble,
        Self::Orders,
        Self::Classes,
        Self::FloodLow,
        Self::FloodHigh,
        Self::Rolling,
        Self::Slopes,
    ];

    /// Returns the name on the command line and in result files.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Takeover => "takeover",
            Self::TakeoverLogDown => "takeover-log-down",
            Self::Freeze => "freeze",
            Self::LogTrouble => "log-trouble",
            Self::Orders => "orders",
            Self::Classes => "classes",
            Self::FloodLow => "flood-low",
            Self::FloodHigh => "flood-high",
            Self::Rolling => "rolling",
            Self::Slopes => "slopes",
        }
    }

    /// Returns a one-line description for `winch-bench list`.
    pub fn summary(self) -> &'static str {
        match self {
            Self::Steady => "throughput and added latency beside a direct call",
            Self::Takeover => "owners and their upstreams killed, log up",
            Self::TakeoverLogDown => "owners and their upstreams killed, log down",
            Self::Freeze => "owners frozen for 0.3, 1 and 5 s while requests flow",
            Self::LogTrouble => "log down for 60 s, slow, and losing answers",
            Self::Orders => "orders repeated while owners are killed, frozen and answers lost",
            Self::Classes => "mixed load at 95 % of an owner's capacity",
            Self::FloodLow => "work that may wait at 10 times an owner's capacity",
            Self::Rolling => "every owner drains and starts again in turn, under load",
            Self::Slopes => "fold, plan, snapshot and datagrams against members and slices",
            Self::FloodHigh => "lookups at 10 times an owner's capacity",
        }
    }

    /// Finds an experiment by its name.
    ///
    /// # Errors
    ///
    /// When no experiment has that name.
    pub fn find(name: &str) -> eyre::Result<Self> {
        Self::ALL
            .into_iter()
            .find(|known| known.as_str() == name)
            .ok_or_else(|| eyre!("unknown experiment {name}; `winch-bench list` shows all names"))
    }

    /// Runs the experiment once.
    ///
    /// # Errors
    ///
    /// When the experiment could not be carried out. A missed bound is not an
    /// error; it gives a result with the verdict `fail`.
    pub async fn run(self, context: &RunContext) -> eyre::Result<ExperimentResult> {
        match self {
            Self::Steady => steady::run(context).await,
            Self::Takeover => takeover::run(context, self.as_str(), LogCondition::Up).await,
            Self::TakeoverLogDown => {
                takeover::run(context, self.as_str(), LogCondition::Down).await
            }
            Self::Freeze => freeze::run(context).await,
            Self::LogTrouble => log_trouble::run(context).await,
            Self::Orders => orders::run(context).await,
            Self::Classes => flood::run(context, self.as_str(), FloodKind::Classes).await,
            Self::FloodLow => flood::run(context, self.as_str(), FloodKind::Low).await,
            Self::Rolling => rolling::run(context).await,
            Self::Slopes => slopes::run(context).await,
            Self::FloodHigh => flood::run(context, self.as_str(), FloodKind::High).await,
        }
    }
}
