//! Implements the operators' calls on this process's state and log writer.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::inputs::NodeInputs;
use crate::base::ids::Incarnation;
use crate::base::ids::NodeName;
use crate::base::ids::Offset;
use crate::configuration::submitter::ChangeSubmitter;
use crate::log::batch::AppendError;
use crate::log::follower::FollowerHandle;
use crate::log::service::LogService;
use crate::log::writer::WriterHandle;
use crate::operator::backend::BackendError;
use crate::operator::backend::BackendView;
use crate::operator::backend::LossDeclaration;
use crate::operator::backend::OperatorBackend;
use crate::operator::backend::SubmitVerdict;
use crate::state::effect::FoldEffect;
use crate::state::folded::ChangeVerdict;
use crate::state::record::ChangeRecord;
use crate::state::record::EndProof;
use crate::state::record::LogRecord;
use crate::telemetry::metrics::MetricRegistry;

/// Time-out of an operator's append.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Time-out of reading the log to its end.
const FRESH_VIEW_TIMEOUT: Duration = Duration::from_secs(3);

/// Operators' backend of one process. Clones share the same state.
#[derive(Debug)]
#[derive(bon::Builder)]
pub struct NodeBackend<L: LogService> {
    node: NodeName,
    own: Incarnation,
    log: L,
    writer: WriterHandle<L>,
    follower: FollowerHandle,
    inputs: watch::Receiver<NodeInputs>,
    offsets: watch::Receiver<Offset>,
    metrics: MetricRegistry,
}

impl<L: LogService> Clone for NodeBackend<L> {
    fn clone(&self) -> Self {
        Self {
            node: self.node.clone(),
            own: self.own,
            log: self.log.clone(),
            writer: self.writer.clone(),
            follower: self.follower.clone(),
            inputs: self.inputs.clone(),
            offsets: self.offsets.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

impl<L: LogService> NodeBackend<L> {
    async fn append(&self, records: Vec<LogRecord>) -> Result<Vec<SubmitVerdict>, BackendError> {
        let count = records.len();
        match self.writer.append(records, SUBMIT_TIMEOUT).await {
            Ok(effects) => effects.iter().map(submit_verdict).collect(),
            Err(AppendError::Unavailable) => Err(backend_error(
                "the change was not appended to the log; try again later",
            )),
            Err(AppendError::Unknown) => {
                let unknown = SubmitVerdict::Unknown(
                    "the log's response was lost; ask for the outcome by the change's id".into(),
                );
                Ok(vec![unknown; count])
            }
        }
    }

    async fn append_one(&self, record: LogRecord) -> Result<SubmitVerdict, BackendError> {
        let verdicts = self.append(vec![record]).await?;
        verdicts
            .into_iter()
            .next()
            .ok_or_else(|| backend_error("the append returned no outcome"))
    }

    async fn read_to_end(&self) -> Result<(), BackendError> {
        let next = self.follower.state().next;
        let page = self
            .log
            .read(next, 1)
            .await
            .map_err(|error| backend_error(&format!("the log cannot be read: {error:?}")))?;
        self.follower.wake_if_behind(page.end);
        let mut states = self.follower.states();
        let folded = states.wait_for(|state| state.next >= page.end).await;
        folded
            .map(drop)
            .map_err(|_closed| backend_error("the process is stopping"))
    }
}

fn backend_error(detail: &str) -> BackendError {
    BackendError {
        detail: detail.into(),
    }
}

/// Converts the effect of a folded record. A record that is not a change of a
/// declaration, such as a drain, has no version and counts as accepted in
/// version 0.
fn submit_verdict(effect: &FoldEffect) -> Result<SubmitVerdict, BackendError> {
    match effect {
        FoldEffect::Change(verdict) => Ok(SubmitVerdict::Settled(verdict.clone())),
        FoldEffect::Accepted | FoldEffect::Partial { .. } => {
            Ok(SubmitVerdict::Settled(ChangeVerdict::Accepted(0)))
        }
        FoldEffect::Ignored(reason) => Err(backend_error(&format!(
            "the fold ignored the change: {reason:?}"
        ))),
    }
}

impl<L: LogService> OperatorBackend for NodeBackend<L> {
    async fn view(&self) -> BackendView {
        let inputs = self.inputs.borrow().clone();
        BackendView {
            node: self.node.clone(),
            incarnation: self.own,
            state: inputs.state,
            ended: Arc::new(inputs.view.ended.clone()),
            resigned: Arc::new(inputs.view.resigned.clone()),
            metrics: self.metrics.clone(),
        }
    }

    async fn fresh_view(&self) -> Result<BackendView, BackendError> {
        timeout(FRESH_VIEW_TIMEOUT, self.read_to_end())
            .await
            .map_err(|_elapsed| {
                backend_error("reading the log to its end timed out; try again later")
            })??;
        let mut view = self.view().await;
        view.state = self.follower.state();
        Ok(view)
    }

    async fn submit(&self, changes: Vec<ChangeRecord>) -> Result<Vec<SubmitVerdict>, BackendError> {
        let submitter = ChangeSubmitter::new(self.follower.clone(), self.writer.clone());
        submitter.submit(changes, SUBMIT_TIMEOUT).await
    }

    async fn drain(&self, member: Incarnation) -> Result<SubmitVerdict, BackendError> {
        self.append_one(LogRecord::Drain { member }).await
    }

    async fn declare_lost(
        &self,
        declaration: LossDeclaration,
    ) -> Result<SubmitVerdict, BackendError> {
        let record = LogRecord::Ended {
            member: declaration.member,
            proof: EndProof::DeclaredLost {
                operator: declaration.operator,
                change: declaration.change,
            },
        };
        self.append_one(record).await
    }

    fn subscribe(&self) -> watch::Receiver<Offset> {
        self.offsets.clone()
    }
}

/// Publishes the folded state's next offset whenever it changes.
pub async fn follow_offsets(
    mut inputs: watch::Receiver<NodeInputs>,
    offsets: watch::Sender<Offset>,
) {
    loop {
        let next = inputs.borrow_and_update().state.next;
        offsets.send_if_modified(|current| std::mem::replace(current, next) != next);
        if inputs.changed().await.is_err() {
            return;
        }
    }
}
