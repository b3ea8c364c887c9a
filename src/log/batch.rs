//! Pending appends of the writer, and the batch that is in flight.

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::attempt::EffectReceiver;
use crate::base::ids::Sequence;
use crate::state::effect::FoldEffect;
use crate::state::record::LogRecord;

/// Why an append was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendError {
    /// The records are not in the log and will not be; the append may be tried
    /// again.
    Unavailable,
    /// The records may be in the log already, or may still get there.
    Unknown,
}

/// Sends the result of one append to its caller.
pub(super) type AppendReply = oneshot::Sender<Result<Vec<FoldEffect>, AppendError>>;

/// An append that has not been completed.
#[derive(Debug)]
pub(super) struct PendingAppend {
    pub(super) records: Vec<LogRecord>,
    pub(super) bytes: usize,
    pub(super) deadline: Instant,
    pub(super) reply: AppendReply,
}

impl PendingAppend {
    /// Completes the append with an error.
    pub(super) fn fail(self, error: AppendError) {
        // The caller may have stopped waiting.
        let _ = self.reply.send(Err(error));
    }
}

/// The batch that is being appended.
#[derive(Debug)]
pub(super) struct InFlightBatch {
    pub(super) sequence: Sequence,
    pub(super) data: Bytes,
    /// The number of records of each append, and the append until it is
    /// completed.
    pub(super) parts: Vec<(usize, Option<PendingAppend>)>,
    /// Receiver of the effects; none while an attempt holds it.
    pub(super) effects: Option<EffectReceiver>,
    /// Whether an earlier attempt may have put the batch into the log.
    pub(super) is_ambiguous: bool,
}

impl InFlightBatch {
    /// Completes every append with an error.
    pub(super) fn fail(self, error: AppendError) {
        for append in self.parts.into_iter().filter_map(|(_, append)| append) {
            append.fail(error);
        }
    }

    /// Completes each append with the effects of its own records.
    pub(super) fn complete(self, mut effects: Vec<FoldEffect>) {
        for (count, append) in self.parts {
            let rest = effects.split_off(count.min(effects.len()));
            if let Some(append) = append {
                // The caller may have stopped waiting.
                let _ = append.reply.send(Ok(effects));
            }
            effects = rest;
        }
    }

    /// Completes the appends whose deadline has passed, as
    /// [`AppendError::Unknown`].
    pub(super) fn expire(&mut self, now: Instant) {
        for (_, append) in &mut self.parts {
            if let Some(append) = append.take_if(|it| it.deadline <= now) {
                append.fail(AppendError::Unknown);
            }
        }
    }

    /// Returns whether no append of the batch is waiting any more.
    pub(super) fn is_abandoned(&self) -> bool {
        self.parts.iter().all(|(_, append)| append.is_none())
    }
}
