//! Appends this incarnation's records to the log, one batch at a time.
//!
//! Pending appends are combined into one batch. If the log refuses a batch, its
//! appends return to the queue for the next batch; if the response is lost, the
//! batch is appended again with the same sequence number, which the fold applies
//! once. An append succeeds only when the follower has folded its batch.

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

/// Maximum number of messages that wait for the writer.
const MAILBOX_CAPACITY: usize = 256;

/// Starts the writer of a new incarnation that has not appended anything yet.
pub fn start_writer<L: LogService>(
    log: L,
    follower: FollowerHandle,
    author: Incarnation,
    settings: WriterSettings,
) -> WriterHandle<L> {
    let group_bytes = settings
        .max_batch_bytes
        .saturating_sub(2 * BATCH_OVERHEAD_BYTES);
    let actor = LogWriter::new(log, follower, author, settings);
    WriterHandle {
        address: xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY)),
        group_bytes,
    }
}

/// Handle of a running writer.
#[derive(Debug)]
pub struct WriterHandle<L: LogService> {
    address: Address<LogWriter<L>>,
    /// Maximum encoded size of the records that are appended together; more are
    /// split over several batches.
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
    /// Appends records and returns their effects once they are folded here.
    ///
    /// Fails after `timeout` at the latest. The records of one call are appended
    /// in one batch if they fit, otherwise in several batches in order. If a
    /// batch fails after an earlier one succeeded, the call fails as
    /// [`AppendError::Unknown`].
    pub async fn append(
        &self,
        records: Vec<LogRecord>,
        timeout: Duration,
    ) -> Result<Vec<FoldEffect>, AppendError> {
        let deadline = Instant::now() + timeout;
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
        // The writer refuses a message that it handles after its deadline, so
        // nothing is appended after this time-out was reported as unavailable.
        let reply = timeout_at(deadline, self.address.send(message))
            .await
            .map_err(|_elapsed| AppendError::Unavailable)?
            .map_err(|_stopped| AppendError::Unknown)?;
        reply.await.unwrap_or(Err(AppendError::Unknown))
    }
}
