//! Answers operators' calls out of this process.

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

/// How long an operator's append may take.
const SUBMIT_LIMIT: Duration = Duration::from_secs(8);

/// How long reading the log to its end may take.
const FRESH_LIMIT: Duration = Duration::from_secs(3);

/// Answers operators' calls. Cloning shares it.
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
        match self.writer.append(records, SUBMIT_LIMIT).await {
            Ok(effects) => effects.iter().map(settle).collect(),
            Err(AppendError::Unavailable) => {
                Err(failure("the log did not take the change; try again later"))
            }
            Err(AppendError::Unknown) => {
                let unknown = SubmitVerdict::Unknown(
                    "the log's answer was lost; ask again by the change's id".into(),
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
            .ok_or_else(|| failure("the log took nothing"))
    }

    async fn read_to_end(&self) -> Result<(), BackendError> {
        let next = self.follower.state().next;
        let page = self
            .log
            .read(next, 1)
            .await
            .map_err(|error| failure(&format!("the log cannot be read: {error:?}")))?;
        self.follower.wake_if_behind(page.end);
        let mut states = self.follower.states();
        let folded = states.wait_for(|state| state.next >= page.end).await;
        folded
            .map(drop)
            .map_err(|_closed| failure("the process is stopping"))
    }
}

fn failure(detail: &str) -> BackendError {
    BackendError {
        detail: detail.into(),
    }
}

/// A record that is no operator's change counts as accepted in version 0.
fn settle(effect: &FoldEffect) -> Result<SubmitVerdict, BackendError> {
    match effect {
        FoldEffect::Change(verdict) => Ok(SubmitVerdict::Settled(verdict.clone())),
        FoldEffect::Accepted | FoldEffect::Partial { .. } => {
            Ok(SubmitVerdict::Settled(ChangeVerdict::Accepted(0)))
        }
        FoldEffect::Ignored(reason) => {
            Err(failure(&format!("the fold ignored the change: {reason:?}")))
        }
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
        timeout(FRESH_LIMIT, self.read_to_end())
            .await
            .map_err(|_elapsed| failure("the log was not read to its end in time"))??;
        let mut view = self.view().await;
        view.state = self.follower.state();
        Ok(view)
    }

    async fn submit(&self, changes: Vec<ChangeRecord>) -> Result<Vec<SubmitVerdict>, BackendError> {
        let submitter = ChangeSubmitter::new(self.follower.clone(), self.writer.clone());
        submitter.submit(changes, SUBMIT_LIMIT).await
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

/// Publishes the folded state's next offset.
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
