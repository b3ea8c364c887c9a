//! What the operators' interface needs of the process.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::sync::Arc;

use tokio::sync::watch;

use crate::base::collections::FastSet;
use crate::base::ids::ChangeId;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::ids::NodeName;
use crate::base::ids::Offset;
use crate::routing::table::RouteInputs;
use crate::state::folded::ChangeVerdict;
use crate::state::folded::FoldedState;
use crate::state::record::ChainKey;
use crate::state::record::ChangeRecord;
use crate::telemetry::metrics::MetricRegistry;

/// What the process knows at one moment.
#[derive(Debug, Clone)]
pub struct BackendView {
    /// Name of this process's node.
    pub node: NodeName,
    /// This process.
    pub incarnation: Incarnation,
    /// The folded state.
    pub state: Arc<FoldedState>,
    /// Incarnations known to have ended beyond what is folded.
    pub ended: Arc<FastSet<Incarnation>>,
    /// Positions known to have resigned beyond what is folded.
    pub resigned: Arc<FastSet<(ChainKey, Epoch)>>,
    /// This process's figures.
    pub metrics: MetricRegistry,
}

impl BackendView {
    /// Returns what decides who serves a chain.
    pub fn route_inputs(&self) -> RouteInputs<'_> {
        RouteInputs {
            state: &self.state,
            ended: &self.ended,
            resigned: &self.resigned,
        }
    }
}

/// What became of something that an operator asked to be appended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitVerdict {
    /// It was read back, and the fold has judged it.
    Settled(ChangeVerdict),
    /// It may or may not be in the log. The text says why.
    Unknown(Box<str>),
}

/// An operator's statement that an incarnation is lost for good.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LossDeclaration {
    /// Who is lost.
    pub member: Incarnation,
    /// Who states it.
    pub operator: Box<str>,
    /// The operator's change.
    pub change: ChangeId,
}

/// The process could not append, and nothing was appended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendError {
    /// One sentence that names the cause.
    pub detail: Box<str>,
}

impl Display for BackendError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for BackendError {}

/// The process behind the operators' interface.
///
/// A call that appends returns only after the append was read back, or when
/// that has taken too long.
pub trait OperatorBackend: Clone + Send + Sync + 'static {
    /// Returns what the process knows now.
    fn view(&self) -> impl Future<Output = BackendView> + Send;

    /// Reads the log to its end as far as it can be read, then returns what
    /// the process knows. Fails when the log cannot be read.
    fn fresh_view(&self) -> impl Future<Output = Result<BackendView, BackendError>> + Send;

    /// Appends changes and returns their verdicts in the same order.
    fn submit(
        &self,
        changes: Vec<ChangeRecord>,
    ) -> impl Future<Output = Result<Vec<SubmitVerdict>, BackendError>> + Send;

    /// Appends that a member is draining.
    fn drain(
        &self,
        member: Incarnation,
    ) -> impl Future<Output = Result<SubmitVerdict, BackendError>> + Send;

    /// Appends that a member is lost.
    fn declare_lost(
        &self,
        declaration: LossDeclaration,
    ) -> impl Future<Output = Result<SubmitVerdict, BackendError>> + Send;

    /// Returns a receiver of the folded state's next offset, which changes
    /// whenever the state does.
    fn subscribe(&self) -> watch::Receiver<Offset>;
}
