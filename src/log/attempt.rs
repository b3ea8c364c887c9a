//! One attempt to append a batch and see it folded.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::RecvError;
use tokio::time::sleep;
use tokio::time::timeout;

use super::service::LogError;
use super::service::LogService;
use crate::state::effect::FoldEffect;

/// Receives the effects of the batch.
pub(super) type EffectReceiver = oneshot::Receiver<Vec<FoldEffect>>;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The follower has folded the batch.
    Folded(Vec<FoldEffect>),
    /// The batch was folded, but its effects were not seen.
    Passed,
    /// The log did not take the batch in this attempt.
    Refused(Box<str>, EffectReceiver),
    /// The batch may be in the log.
    Ambiguous(Box<str>, EffectReceiver),
}

/// One attempt.
#[derive(Debug)]
pub(super) struct LogAttempt<L> {
    pub(super) log: L,
    pub(super) data: Bytes,
    pub(super) delay: Duration,
    pub(super) fold_timeout: Duration,
}

impl<L: LogService> LogAttempt<L> {
    /// Waits for the delay, appends, and waits until the batch is folded.
    ///
    /// An earlier attempt's copy may be folded at any moment, which settles
    /// this attempt too.
    pub(super) async fn run(self, mut effects: EffectReceiver) -> AttemptResult {
        let appended = tokio::select! {
            biased;
            folded = &mut effects => return from_effects(folded),
            appended = self.append() => appended,
        };
        match appended {
            Err(LogError::Refused(reason)) => AttemptResult::Refused(reason, effects),
            Err(LogError::Ambiguous(reason)) => AttemptResult::Ambiguous(reason, effects),
            Err(error @ LogError::Expired { .. }) => {
                AttemptResult::Ambiguous(format!("{error:?}").into(), effects)
            }
            Ok(offset) => match timeout(self.fold_timeout, &mut effects).await {
                Ok(folded) => from_effects(folded),
                Err(_elapsed) => {
                    let reason = format!("offset {offset} was not read back in time");
                    AttemptResult::Ambiguous(reason.into(), effects)
                }
            },
        }
    }

    async fn append(&self) -> Result<u64, LogError> {
        sleep(self.delay).await;
        self.log.append(self.data.clone()).await
    }
}

fn from_effects(folded: Result<Vec<FoldEffect>, RecvError>) -> AttemptResult {
    folded.map_or(AttemptResult::Passed, AttemptResult::Folded)
}
