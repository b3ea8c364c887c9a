//! The experiments, one module each. [`support`] and [`probe`] hold what they
//! share.

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

/// One experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExperimentName {
    /// Throughput and added latency.
    Steady,
    /// Owners are killed.
    Takeover,
    /// Owners are killed while the log is down.
    TakeoverLogDown,
    /// Owners are frozen.
    Freeze,
    /// The log is down, slow, and loses answers.
    LogTrouble,
    /// Orders while everything goes wrong.
    Orders,
    /// Mixed load near capacity.
    Classes,
    /// A flood of the least urgent work.
    FloodLow,
    /// A flood of lookups.
    FloodHigh,
    /// Every owner restarts in turn.
    Rolling,
    /// What sizes cost.
    Slopes,
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

    /// Returns the name.
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

    /// Returns what the experiment does, in a line.
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
