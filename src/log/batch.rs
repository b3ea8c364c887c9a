//! What the writer has been asked to append, and the batch it is appending.

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
    /// The records are not in the log and never will be.
    Unavailable,
    /// The records may be in the log, now or later.
    Unknown,
}

/// Answers one append.
pub(super) type AppendReply = oneshot::Sender<Result<Vec<FoldEffect>, AppendError>>;

/// An append that was not answered yet.
#[derive(Debug)]
pub(super) struct WaitingAppend {
    pub(super) records: Vec<LogRecord>,
    pub(super) bytes: usize,
    pub(super) deadline: Instant,
    pub(super) reply: AppendReply,
}

impl WaitingAppend {
    /// Answers with an error.
    pub(super) fn fail(self, error: AppendError) {
        // The caller may have gone.
        let _ = self.reply.send(Err(error));
    }
}

/// The batch that is being appended.
#[derive(Debug)]
pub(super) struct OpenBatch {
    pub(super) sequence: Sequence,
    pub(super) data: Bytes,
    /// Its appends with the number of their records; an append leaves once it
    /// was answered.
    pub(super) parts: Vec<(usize, Option<WaitingAppend>)>,
    /// Receives the effects between attempts.
    pub(super) effects: Option<EffectReceiver>,
    pub(super) is_ambiguous: bool,
}

impl OpenBatch {
    /// Answers with an error.
    pub(super) fn fail(self, error: AppendError) {
        for append in self.parts.into_iter().filter_map(|(_, append)| append) {
            append.fail(error);
        }
    }

    /// Gives each append its share of the effects.
    pub(super) fn answer(self, mut effects: Vec<FoldEffect>) {
        for (count, append) in self.parts {
            let rest = effects.split_off(count.min(effects.len()));
            if let Some(append) = append {
                // The caller may have gone.
                let _ = append.reply.send(Ok(effects));
            }
            effects = rest;
        }
    }

    /// Answers the appends whose time has passed.
    pub(super) fn expire(&mut self, now: Instant) {
        for (_, append) in &mut self.parts {
            if let Some(append) = append.take_if(|it| it.deadline <= now) {
                append.fail(AppendError::Unknown);
            }
        }
    }

    /// Tells whether nobody waits for the batch any more.
    pub(super) fn is_abandoned(&self) -> bool {
        self.parts.iter().all(|(_, append)| append.is_none())
    }
}
