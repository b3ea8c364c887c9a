//! Appends snapshots while this process is the planner.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::batch::AppendError;
use super::follower::FollowerHandle;
use super::service::LogError;
use super::service::LogService;
use super::writer::WriterHandle;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::Term;
use crate::base::timer::TimerService;
use crate::state::codec::CodecError;
use crate::state::effect::FoldEffect;
use crate::state::effect::IgnoreReason;
use crate::state::folded::FoldedState;
use crate::state::record::LogRecord;
use crate::state::record::SnapshotChunk;
use crate::state::retention::RetentionView;
use crate::state::retention::SnapshotPolicy;
use crate::state::retention::SnapshotSchedule;
use crate::state::snapshot::CHUNK_BYTES;
use crate::state::snapshot::snapshot_marker;
use crate::state::snapshot::split_state;

/// Interval between checks of the schedule.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout of one append of a chunk.
const APPEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a snapshot was not written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotError {
    /// The log did not return its earliest retained offset.
    Log(LogError),
    /// The append of the marker or of a chunk was not confirmed.
    Append(AppendError),
    /// The fold ignored the marker or a chunk, usually because this process lost
    /// the planner's term.
    Ignored(IgnoreReason),
    /// The state cannot be encoded.
    Codec(CodecError),
    /// The follower moved past the marker without keeping its state, as when it
    /// installed a newer state.
    NoMarkedState,
}

/// Appends snapshots when they are due.
#[derive(Debug)]
pub struct SnapshotWriter<L: LogService> {
    log: L,
    follower: FollowerHandle,
    writer: WriterHandle<L>,
    incarnation: Incarnation,
    schedule: SnapshotSchedule,
    started: Instant,
}

impl<L: LogService> SnapshotWriter<L> {
    /// Creates the snapshot writer of an incarnation. The policy's times count
    /// from now.
    pub fn new(
        log: L,
        follower: FollowerHandle,
        writer: WriterHandle<L>,
        incarnation: Incarnation,
        policy: SnapshotPolicy,
    ) -> Self {
        Self {
            log,
            follower,
            writer,
            incarnation,
            schedule: SnapshotSchedule::new(policy, Duration::ZERO),
            started: Instant::now(),
        }
    }

    /// Checks the schedule periodically and writes snapshots; never returns.
    pub async fn run(mut self, timer: TimerService) {
        let mut ticks = timer.subscribe(CHECK_INTERVAL);
        loop {
            ticks.next().await;
            match self.write_if_due().await {
                Ok(None) => {}
                Ok(Some(offset)) => log::info!("log: wrote a snapshot below offset {offset}"),
                Err(error) => log::warn!("log: cannot write a snapshot: {error:?}"),
            }
        }
    }

    /// Writes a snapshot if this process is the planner and one is due.
    /// Returns the offset below which the snapshot covers every entry; none if
    /// no snapshot was written.
    pub async fn write_if_due(&mut self) -> Result<Option<Offset>, SnapshotError> {
        let state = self.follower.state();
        if state.planner != Some(self.incarnation) {
            return Ok(None);
        }
        let view = RetentionView {
            earliest: self.log.earliest().await.map_err(SnapshotError::Log)?,
            next: state.next,
            snapshot: self.follower.snapshots().await.newest_complete,
        };
        if !self.schedule.start_if_due(&view, self.started.elapsed()) {
            return Ok(None);
        }
        self.write(state.term).await.map(Some)
    }

    /// Writes a snapshot as the planner of `term`.
    async fn write(&self, term: Term) -> Result<Offset, SnapshotError> {
        self.append(snapshot_marker(term)).await?;
        let state = self.marker_state().await?;
        let chunks = split_state(&state, term, CHUNK_BYTES).map_err(SnapshotError::Codec)?;
        for chunk in chunks {
            self.append(chunk).await?;
        }
        Ok(state.next)
    }

    async fn marker_state(&self) -> Result<Arc<FoldedState>, SnapshotError> {
        let status = self.follower.snapshots().await;
        status.marker_state.ok_or(SnapshotError::NoMarkedState)
    }

    async fn append(&self, chunk: SnapshotChunk) -> Result<(), SnapshotError> {
        let records = vec![LogRecord::Snapshot(chunk)];
        let effects = self
            .writer
            .append(records, APPEND_TIMEOUT)
            .await
            .map_err(SnapshotError::Append)?;
        match effects.first() {
            Some(FoldEffect::Ignored(reason)) => Err(SnapshotError::Ignored(*reason)),
            _ => Ok(()),
        }
    }
}
