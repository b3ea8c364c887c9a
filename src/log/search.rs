//! Finds the newest complete snapshot among the retained log entries.

use super::service::LogEntry;
use super::service::LogError;
use super::service::LogService;
use crate::base::ids::Offset;
use crate::state::codec::decode_batch;
use crate::state::folded::FoldedState;
use crate::state::record::LogRecord;
use crate::state::snapshot::SnapshotAssembler;

/// Reads the log from `earliest` to its current end and returns the newest
/// complete snapshot whose following entries are all retained; none if there is
/// none.
pub async fn find_snapshot<L: LogService>(
    log: &L,
    earliest: Offset,
    page_limit: usize,
) -> Result<Option<FoldedState>, LogError> {
    let mut assembler = SnapshotAssembler::default();
    let mut next = earliest;
    loop {
        let page = log.read(next, page_limit).await?;
        for entry in &page.entries {
            add_chunks(&mut assembler, entry);
            next = next.max(entry.offset + 1);
        }
        if page.entries.is_empty() || next >= page.end {
            break;
        }
    }
    let kept = log.earliest().await?;
    Ok(assembler.newest().filter(|state| state.next >= kept))
}

fn add_chunks(assembler: &mut SnapshotAssembler, entry: &LogEntry) {
    let Ok(batch) = decode_batch(&entry.data) else {
        return;
    };
    for record in &batch.records {
        if let LogRecord::Snapshot(chunk) = record {
            assembler.add(entry.offset, chunk);
        }
    }
}
