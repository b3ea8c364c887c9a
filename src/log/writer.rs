//! Appends this incarnation's records to the log, one batch at a time.
//!
//! What waits is committed as one batch. A refused batch is dissolved and its
//! appends wait for the next; a batch whose answer was lost is appended again
//! with the same sequence, which the fold takes once. An append is answered
//! only when the follower has folded its batch.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout_at;
use xtra::Address;
use xtra::Mailbox;

use super::batch::AppendError;
use super::follower::FollowerHandle;
use super::service::LogService;
use super::settings::BATCH_OVERHEAD_BYTES;
use super::settings::WriterSettings;
use super::split::group_by_size;
use super::writer_actor::Append;
use super::writer_actor::LogWriter;
use crate::base::ids::Incarnation;
use crate::state::effect::FoldEffect;
use crate::state::record::LogRecord;

/// Messages that may wait for the writer.
const MAILBOX_CAPACITY: usize = 256;

/// Starts the writer of a new incarnation, which has appended nothing yet.
pub fn start_writer<L: LogService>(
    log: L,
    follower: FollowerHandle,
    author: Incarnation,
    settings: WriterSettings,
) -> WriterHandle<L> {
    let group_bytes = settings
        .batch_bytes
        .saturating_sub(2 * BATCH_OVERHEAD_BYTES);
    let actor = LogWriter::new(log, follower, author, settings);
    WriterHandle {
        address: xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY)),
        group_bytes,
    }
}

/// Access to a running writer.
#[derive(Debug)]
pub struct WriterHandle<L: LogService> {
    address: Address<LogWriter<L>>,
    /// Records that take more bytes are appended in several batches.
    group_bytes: usize,
}

impl<L: LogService> Clone for WriterHandle<L> {
    fn clone(&self) -> Self {
        Self {
            address: self.address.clone(),
            group_bytes: self.group_bytes,
        }
    }
}

impl<L: LogService> WriterHandle<L> {
    /// Appends records and returns their effects once they were folded here.
    ///
    /// Fails after `limit` at the latest. The records of one call stay
    /// together in one batch if they fit; otherwise several batches keep their
    /// order, and the call fails as unknown once one of them was taken.
    pub async fn append(
        &self,
        records: Vec<LogRecord>,
        limit: Duration,
    ) -> Result<Vec<FoldEffect>, AppendError> {
        let deadline = Instant::now() + limit;
        let mut effects = Vec::with_capacity(records.len());
        for group in group_by_size(records, self.group_bytes) {
            match self.append_group(group, deadline).await {
                Ok(folded) => effects.extend(folded),
                Err(error) if effects.is_empty() => return Err(error),
                Err(_later) => return Err(AppendError::Unknown),
            }
        }
        Ok(effects)
    }

    async fn append_group(
        &self,
        records: Vec<LogRecord>,
        deadline: Instant,
    ) -> Result<Vec<FoldEffect>, AppendError> {
        let message = Append { records, deadline };
        // A message that is handled after its deadline is refused, so nothing
        // is appended for a caller who was told so here.
        let reply = timeout_at(deadline, self.address.send(message))
            .await
            .map_err(|_elapsed| AppendError::Unavailable)?
            .map_err(|_stopped| AppendError::Unknown)?;
        reply.await.unwrap_or(Err(AppendError::Unknown))
    }
}
