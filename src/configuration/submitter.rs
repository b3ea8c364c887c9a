//! Submits operators' changes and returns their verdicts.

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

/// Maximum size of one append of changes, in bytes. Changes are judged
/// independently, so a larger set can be split.
const MAX_APPEND_BYTES: usize = 128 * 1024;

/// Submits operators' changes through this process's log writer.
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
    /// Creates a submitter from a process's follower and writer.
    pub fn new(follower: FollowerHandle, writer: WriterHandle<L>) -> Self {
        Self { follower, writer }
    }

    /// Submits changes and returns a verdict on each, in the same order.
    ///
    /// Returns after `timeout` at the latest, with unknown for changes whose
    /// verdict is not known by then. Fails only if none of the changes is in the
    /// log or can still get there, or if the fold ignored every one of the first
    /// append.
    pub async fn submit(
        &self,
        changes: Vec<ChangeRecord>,
        timeout: Duration,
    ) -> Result<Vec<SubmitVerdict>, BackendError> {
        let deadline = Instant::now() + timeout;
        let mut verdicts = Vec::with_capacity(changes.len());
        for group in group_by_size(changes, MAX_APPEND_BYTES) {
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
        let remaining = deadline.saturating_duration_since(Instant::now());
        // The last fifth of the time is kept to wait for the verdicts in the log
        // if the response is lost.
        match self.writer.append(records, remaining.mul_f64(0.8)).await {
            Ok(effects) => collect_verdicts(&effects),
            Err(AppendError::Unavailable) => Err(failure(
                "the log did not take the change; apply it again later",
            )),
            Err(AppendError::Unknown) => Ok(self.wait_for_verdicts(changes, deadline).await),
        }
    }

    /// Waits until every verdict is folded or the deadline has passed.
    async fn wait_for_verdicts(
        &self,
        changes: &[ChangeRecord],
        deadline: Instant,
    ) -> Vec<SubmitVerdict> {
        let mut states = self.follower.states();
        let settled = states.wait_for(|state| {
            changes
                .iter()
                .all(|change| find_verdict(state, &change.change).is_some())
        });
        // After a time-out, the verdicts that were folded by then are returned.
        drop(timeout_at(deadline, settled).await);
        let state = self.follower.state();
        changes
            .iter()
            .map(|change| settle_change(&state, &change.change))
            .collect()
    }
}

/// Returns the verdict in each effect, or unknown for a change that the fold
/// ignored. Fails only if the fold ignored every change.
fn collect_verdicts(effects: &[FoldEffect]) -> Result<Vec<SubmitVerdict>, BackendError> {
    let verdicts: Vec<Result<SubmitVerdict, BackendError>> =
        effects.iter().map(verdict_of).collect();
    if verdicts.iter().all(Result::is_err) {
        return verdicts.into_iter().collect();
    }
    let reported = verdicts
        .into_iter()
        .map(|verdict| verdict.unwrap_or_else(|error| unknown(&error.detail)));
    Ok(reported.collect())
}

fn verdict_of(effect: &FoldEffect) -> Result<SubmitVerdict, BackendError> {
    match effect {
        FoldEffect::Change(verdict) => Ok(SubmitVerdict::Settled(verdict.clone())),
        FoldEffect::Ignored(IgnoreReason::KeysOwned) => Err(failure(
            "the service's keys are owned; declare a service of another name in place of \
             changing slices or division",
        )),
        FoldEffect::Ignored(reason) => Err(failure(&format!(
            "the fold ignored the change ({reason:?}); apply it again through another process"
        ))),
        FoldEffect::Accepted | FoldEffect::Partial { .. } => {
            Err(failure("the fold returned no verdict on the change"))
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
