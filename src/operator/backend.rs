//! Interface between the operator API and the process that serves it.

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

/// Snapshot of what the process knows about the fleet.
#[derive(Debug, Clone)]
pub struct BackendView {
    /// Node that the process runs on.
    pub node: NodeName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// State folded from the log so far.
    pub state: Arc<FoldedState>,
    /// Incarnations known to have ended, in addition to those that the folded
    /// state records.
    pub ended: Arc<FastSet<Incarnation>>,
    /// Positions known to have resigned, in addition to those that the folded
    /// state records.
    pub resigned: Arc<FastSet<(ChainKey, Epoch)>>,
    /// Metrics of the process.
    pub metrics: MetricRegistry,
}

impl BackendView {
    /// Returns the inputs that determine which position serves a chain.
    pub fn route_inputs(&self) -> RouteInputs<'_> {
        RouteInputs {
            state: &self.state,
            ended: &self.ended,
            resigned: &self.resigned,
        }
    }
}

/// Outcome of an append that an operator requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitVerdict {
    /// The record was read back from the log, and the fold accepted or refused
    /// it.
    Settled(ChangeVerdict),
    /// The record may or may not be in the log. The text names the cause.
    Unknown(Box<str>),
}

/// An operator's declaration that an incarnation is permanently lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LossDeclaration {
    /// The lost incarnation.
    pub member: Incarnation,
    /// Name of the operator, recorded in the log.
    pub operator: Box<str>,
    /// Id of the change, chosen by the operator's client.
    pub change: ChangeId,
}

/// The log could not be read or written. Nothing was appended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendError {
    /// Cause of the failure, as one sentence.
    pub detail: Box<str>,
}

impl Display for BackendError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for BackendError {}

/// Process that serves the operator API.
///
/// A call that appends returns after the append was read back from the log, or
/// with [`SubmitVerdict::Unknown`] if that takes too long.
pub trait OperatorBackend: Clone + Send + Sync + 'static {
    /// Returns the current snapshot without reading the log.
    fn view(&self) -> impl Future<Output = BackendView> + Send;

    /// Reads the log up to its end, then returns the snapshot. Fails if the log
    /// cannot be read.
    fn fresh_view(&self) -> impl Future<Output = Result<BackendView, BackendError>> + Send;

    /// Appends changes and returns one verdict for each, in the same order.
    /// Fails if nothing was appended.
    fn submit(
        &self,
        changes: Vec<ChangeRecord>,
    ) -> impl Future<Output = Result<Vec<SubmitVerdict>, BackendError>> + Send;

    /// Appends a record that marks a member as draining. Fails if nothing was
    /// appended.
    fn drain(
        &self,
        member: Incarnation,
    ) -> impl Future<Output = Result<SubmitVerdict, BackendError>> + Send;

    /// Appends a record that ends a lost member. Fails if nothing was appended.
    fn declare_lost(
        &self,
        declaration: LossDeclaration,
    ) -> impl Future<Output = Result<SubmitVerdict, BackendError>> + Send;

    /// Returns a receiver of the folded state's next offset, which is notified
    /// of every change of the state.
    fn subscribe(&self) -> watch::Receiver<Offset>;
}
