//! Each batch of a plan fits a log entry. A plan for every slice of a large
//! service exceeds the size limit of one entry.

use buckthornwinch::planner::plan::split_plan;
use buckthornwinch::state::codec::CodecError;
use buckthornwinch::state::codec::encode_batch;
use buckthornwinch::state::record::ChainAppend;
use buckthornwinch::state::record::ChainKey;
use buckthornwinch::state::record::ChainSubject;
use buckthornwinch::state::record::LogBatch;
use buckthornwinch::state::record::LogRecord;

/// Number of slices of the largest service.
const MAX_SLICES: u16 = 16_384;

/// Maximum number of chain appends in one record, as in the planner.
const APPENDS_PER_RECORD: usize = 512;

/// Returns the records that give every slice three holders.
fn plan_for_every_slice() -> Vec<LogRecord> {
    let appends: Vec<ChainAppend> = (0..MAX_SLICES)
        .map(|slice| ChainAppend {
            chain: ChainKey {
                service: "catalogue".into(),
                subject: ChainSubject::Slice(slice),
            },
            first_epoch: 0,
            holders: vec![u64::MAX, u64::MAX - 1, u64::MAX - 2],
            supersedes: false,
        })
        .collect();
    appends
        .chunks(APPENDS_PER_RECORD)
        .map(|part| LogRecord::Assign {
            term: 1,
            appends: part.to_vec(),
        })
        .collect()
}

fn batch(records: Vec<LogRecord>) -> LogBatch {
    LogBatch {
        author: 1,
        sequence: 1,
        records,
    }
}

#[test]
fn a_plan_for_every_slice_does_not_fit_one_entry() {
    let whole = encode_batch(&batch(plan_for_every_slice()));

    assert!(matches!(whole, Err(CodecError::TooLarge { .. })));
}

#[test]
fn every_batch_of_a_plan_fits_an_entry_and_no_record_is_lost() {
    let records = plan_for_every_slice();

    let batches = split_plan(records.clone());

    for part in &batches {
        encode_batch(&batch(part.clone())).expect("the batch fits an entry");
    }
    assert_eq!(batches.concat(), records);
}
