//! Submits operators' changes and reads their verdicts back.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout_at;

use super::settle::find_verdict;
use super::settle::settle_change;
use crate::log::batch::AppendError;
use crate::log::follower::FollowerHandle;
use crate::log::service::LogService;
use crate::log::split::group_by_size;
use crate::log::writer::WriterHandle;
use crate::operator::backend::BackendError;
use crate::operator::backend::SubmitVerdict;
use crate::state::effect::FoldEffect;
use crate::state::effect::IgnoreReason;
use crate::state::record::ChangeRecord;
use crate::state::record::LogRecord;

/// Largest append of changes, in bytes. Each change is judged by itself, so
/// many of them need not stay together.
const APPEND_BYTES: usize = 128 * 1024;

/// Submits changes through this process's writer.
#[derive(Debug)]
pub struct ChangeSubmitter<L: LogService> {
    follower: FollowerHandle,
    writer: WriterHandle<L>,
}

impl<L: LogService> Clone for ChangeSubmitter<L> {
    fn clone(&self) -> Self {
        Self {
            follower: self.follower.clone(),
            writer: self.writer.clone(),
        }
    }
}

impl<L: LogService> ChangeSubmitter<L> {
    /// Creates the clerk of a process.
    pub fn new(follower: FollowerHandle, writer: WriterHandle<L>) -> Self {
        Self { follower, writer }
    }

    /// Submits changes and returns a verdict on each, in the same order.
    ///
    /// Takes `limit` at most. Fails only if none of the changes is in the log
    /// or ever will be.
    pub async fn submit(
        &self,
        changes: Vec<ChangeRecord>,
        limit: Duration,
    ) -> Result<Vec<SubmitVerdict>, BackendError> {
        let deadline = Instant::now() + limit;
        let mut verdicts = Vec::with_capacity(changes.len());
        for group in group_by_size(changes, APPEND_BYTES) {
            match self.submit_group(&group, deadline).await {
                Ok(settled) => verdicts.extend(settled),
                Err(error) if verdicts.is_empty() => return Err(error),
                Err(error) => verdicts.extend(group.iter().map(|_| unknown(&error.detail))),
            }
        }
        Ok(verdicts)
    }

    async fn submit_group(
        &self,
        changes: &[ChangeRecord],
        deadline: Instant,
    ) -> Result<Vec<SubmitVerdict>, BackendError> {
        let records = changes.iter().cloned().map(Box::new);
        let records = records.map(LogRecord::Change).collect();
        let left = deadline.saturating_duration_since(Instant::now());
        // What is left after a lost answer is spent on reading back.
        match self.writer.append(records, left.mul_f64(0.8)).await {
            Ok(effects) => collect_verdicts(&effects),
            Err(AppendError::Unavailable) => Err(failure(
                "the log did not take the change; apply it again later",
            )),
            Err(AppendError::Unknown) => Ok(self.read_back(changes, deadline).await),
        }
    }

    /// Waits until the verdicts are folded or the time is over.
    async fn read_back(&self, changes: &[ChangeRecord], deadline: Instant) -> Vec<SubmitVerdict> {
        let mut states = self.follower.states();
        let settled = states.wait_for(|state| {
            changes
                .iter()
                .all(|change| find_verdict(state, &change.change).is_some())
        });
        // Whatever was folded by then is told.
        drop(timeout_at(deadline, settled).await);
        let state = self.follower.state();
        changes
            .iter()
            .map(|change| settle_change(&state, &change.change))
            .collect()
    }
}

/// Fails only if the fold ignored every change.
fn collect_verdicts(effects: &[FoldEffect]) -> Result<Vec<SubmitVerdict>, BackendError> {
    let verdicts: Vec<Result<SubmitVerdict, BackendError>> =
        effects.iter().map(verdict_of).collect();
    if verdicts.iter().all(Result::is_err) {
        return verdicts.into_iter().collect();
    }
    let told = verdicts
        .into_iter()
        .map(|verdict| verdict.unwrap_or_else(|error| unknown(&error.detail)));
    Ok(told.collect())
}

fn verdict_of(effect: &FoldEffect) -> Result<SubmitVerdict, BackendError> {
    match effect {
        FoldEffect::Change(verdict) => Ok(SubmitVerdict::Settled(verdict.clone())),
        FoldEffect::Ignored(IgnoreReason::KeysOwned) => Err(failure(
            "the service's keys are owned; declare a service of another name in place of \
             changing slices or division",
        )),
        FoldEffect::Ignored(reason) => Err(failure(&format!(
            "the fold ignored the change ({reason:?}); apply it again at another process"
        ))),
        FoldEffect::Accepted | FoldEffect::Partial { .. } => {
            Err(failure("the fold took the change for another record"))
        }
    }
}

fn failure(detail: &str) -> BackendError {
    BackendError {
        detail: detail.into(),
    }
}

fn unknown(detail: &str) -> SubmitVerdict {
    SubmitVerdict::Unknown(detail.into())
}
