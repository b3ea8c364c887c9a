//! One attempt to append a batch and wait until it is folded.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::RecvError;
use tokio::time::sleep;
use tokio::time::timeout;

use super::service::LogError;
use super::service::LogService;
use crate::state::effect::FoldEffect;

/// Receives the effects of a batch when it is folded.
pub(super) type EffectReceiver = oneshot::Receiver<Vec<FoldEffect>>;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The follower folded the batch, with these effects.
    Folded(Vec<FoldEffect>),
    /// The follower moved past the batch without its effects, for example
    /// because it installed a newer state.
    EffectsMissed,
    /// The log refused the batch: this attempt had no effect.
    Refused(Box<str>, EffectReceiver),
    /// The batch may or may not be in the log.
    Ambiguous(Box<str>, EffectReceiver),
}

/// Parameters of one attempt.
#[derive(Debug)]
pub(super) struct AppendAttempt<L> {
    pub(super) log: L,
    pub(super) data: Bytes,
    pub(super) delay: Duration,
    pub(super) fold_timeout: Duration,
}

impl<L: LogService> AppendAttempt<L> {
    /// Waits for the delay, appends, and waits until the batch is folded.
    ///
    /// Returns early if a copy from an earlier attempt is folded before the log
    /// responds.
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
                    let reason = format!("offset {offset} was not folded in time");
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
    folded.map_or(AttemptResult::EffectsMissed, AttemptResult::Folded)
}
