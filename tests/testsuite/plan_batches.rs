//! A plan of any size reaches the log: each of its batches fits an entry.

use buckthornwinch::planner::plan::split_plan;
use buckthornwinch::state::codec::CodecError;
use buckthornwinch::state::codec::encode_batch;
use buckthornwinch::state::record::ChainAppend;
use buckthornwinch::state::record::ChainKey;
use buckthornwinch::state::record::ChainSubject;
use buckthornwinch::state::record::LogBatch;
use buckthornwinch::state::record::LogRecord;

/// Slices of the largest service, and how many of them one record names.
const MOST_SLICES: u16 = 16_384;
const APPENDS_PER_RECORD: usize = 512;

/// Returns the records that give every slice three holders.
fn whole_plan() -> Vec<LogRecord> {
    let appends: Vec<ChainAppend> = (0..MOST_SLICES)
        .map(|slice| ChainAppend {
            chain: ChainKey {
                service: "catalogue".into(),
                subject: ChainSubject::Slice(slice),
            },
            at: 0,
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
fn plan_for_every_slice_does_not_fit_one_entry() {
    let whole = encode_batch(&batch(whole_plan()));

    assert!(matches!(whole, Err(CodecError::TooLarge { .. })));
}

#[test]
fn every_batch_of_a_plan_fits_an_entry_and_no_record_is_lost() {
    let records = whole_plan();

    let batches = split_plan(records.clone());

    for part in &batches {
        encode_batch(&batch(part.clone())).expect("the batch fits an entry");
    }
    assert_eq!(batches.concat(), records);
}
