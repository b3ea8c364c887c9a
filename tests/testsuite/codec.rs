//! Tests of the codec: input that is not a valid batch or state is rejected with
//! the reason.

use buckthornwinch::state::codec::CodecError;
use buckthornwinch::state::codec::FORMAT_VERSION;
use buckthornwinch::state::codec::MAX_ENTRY_BYTES;
use buckthornwinch::state::codec::decode_batch;
use buckthornwinch::state::codec::encode_batch;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::LogRecord;
use buckthornwinch::state::snapshot::MAX_STATE_BYTES;
use buckthornwinch::state::snapshot::decode_state;
use proptest::collection::vec;
use proptest::prelude::*;
use winch_test_support::records::batch;
use winch_test_support::records::random_history;

proptest! {
    #[test]
    fn every_batch_round_trips(seed: u64) {
        for batch in random_history(seed, 30) {
            let encoded = encode_batch(&batch).unwrap();

            prop_assert_eq!(decode_batch(&encoded), Ok(batch));
        }
    }

    #[test]
    fn truncated_and_longer_entries_are_refused(seed: u64, cut: usize, tail in vec(any::<u8>(), 1..9)) {
        let encoded = encode_batch(&random_history(seed, 5)[4]).unwrap();

        let truncated = decode_batch(&encoded[..cut % encoded.len()]);
        let longer = decode_batch(&[&*encoded, &tail].concat());

        prop_assert!(truncated.is_err());
        prop_assert_eq!(longer, Err(CodecError::TrailingBytes { count: tail.len() }));
    }

    #[test]
    fn garbage_and_damage_never_stop_the_fold(
        seed: u64,
        garbage in vec(any::<u8>(), 0..400),
        at: usize,
        byte: u8,
    ) {
        let mut state = FoldedState::default();
        let mut damaged = encode_batch(&random_history(seed, 5)[4]).unwrap().to_vec();
        let position = at % damaged.len();
        damaged[position] = byte;
        let after_the_version = [&[FORMAT_VERSION], &*garbage].concat();

        for (offset, data) in (0..).zip([&garbage, &after_the_version, &damaged]) {
            match decode_batch(data) {
                Ok(batch) => drop(state.apply(offset, &batch)),
                Err(_) => state.skip(offset),
            }
        }
        // Only checks that decoding does not panic.
        let _ = decode_state(&after_the_version);

        prop_assert_eq!(state.next, 3);
    }

    #[test]
    fn other_versions_are_refused(version: u8, body in vec(any::<u8>(), 0..50)) {
        prop_assume!(version != FORMAT_VERSION);
        let entry = [&[version], &*body].concat();

        prop_assert_eq!(decode_batch(&entry), Err(CodecError::UnknownVersion(version)));
        prop_assert_eq!(decode_state(&entry), Err(CodecError::UnknownVersion(version)));
    }
}

#[test]
fn empty_and_oversized_entries_are_refused() {
    let size = MAX_ENTRY_BYTES + 1;
    let records = vec![
        LogRecord::Resign {
            positions: Vec::new()
        };
        size
    ];

    let encoded = encode_batch(&batch(1, 1, records));
    let entry = decode_batch(&vec![FORMAT_VERSION; size]);
    let state = decode_state(&vec![FORMAT_VERSION; MAX_STATE_BYTES + 1]);

    assert!(matches!(encoded, Err(CodecError::TooLarge { .. })));
    assert_eq!(entry, Err(CodecError::TooLarge { size }));
    assert!(matches!(state, Err(CodecError::TooLarge { .. })));
    assert_eq!(decode_batch(&[]), Err(CodecError::Empty));
}

#[test]
fn huge_length_prefix_is_rejected_without_allocating() {
    // Author 1, sequence 1, then a record count of 2^63 - 1 without any records.
    // Memory for that many must not be reserved before their bytes are read.
    let length = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f];
    let entry = [&[FORMAT_VERSION, 1, 1], &length[..]].concat();

    assert_eq!(decode_batch(&entry), Err(CodecError::Malformed));
    assert_eq!(decode_state(&entry), Err(CodecError::Malformed));
}
