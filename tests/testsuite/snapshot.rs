//! Tests of snapshots: a snapshot taken at any offset and the entries after it
//! give the same state as the whole log.

use std::time::Duration;

use buckthornwinch::base::ids::Offset;
use buckthornwinch::log::follower::FollowerHandle;
use buckthornwinch::log::follower::start_follower;
use buckthornwinch::log::settings::FollowerSettings;
use buckthornwinch::log::settings::WriterSettings;
use buckthornwinch::log::snapshot_writer::SnapshotWriter;
use buckthornwinch::log::writer::WriterHandle;
use buckthornwinch::log::writer::start_writer;
use buckthornwinch::state::codec::encode_batch;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::LogBatch;
use buckthornwinch::state::record::LogRecord;
use buckthornwinch::state::record::SnapshotChunk;
use buckthornwinch::state::retention::RetentionView;
use buckthornwinch::state::retention::SnapshotPolicy;
use buckthornwinch::state::retention::SnapshotPosition;
use buckthornwinch::state::retention::SnapshotSchedule;
use buckthornwinch::state::snapshot::SnapshotAssembler;
use buckthornwinch::state::snapshot::decode_state;
use buckthornwinch::state::snapshot::encode_state;
use buckthornwinch::state::snapshot::snapshot_marker;
use buckthornwinch::state::snapshot::split_state;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use winch_test_support::fake_log::FakeFaults;
use winch_test_support::fake_log::FakeLog;
use winch_test_support::records::batch;
use winch_test_support::records::change;
use winch_test_support::records::join;
use winch_test_support::records::random_history;
use winch_test_support::records::service;

/// Timeout of appends and waits.
const TIMEOUT: Duration = Duration::from_secs(20);

fn replay(history: &[LogBatch]) -> FoldedState {
    let mut state = FoldedState::default();
    for batch in history {
        state.apply(state.next, batch);
    }
    state
}

fn assemble(chunks: &[SnapshotChunk]) -> Option<FoldedState> {
    let mut assembler = SnapshotAssembler::default();
    for chunk in chunks {
        assembler.add(Offset::MAX, chunk);
    }
    assembler.newest()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn any_snapshot_gives_the_state_of_the_whole_log(
        seed: u64,
        point in 0_usize..100,
        chunk_bytes in 100_usize..2_000,
    ) {
        let history = random_history(seed, 100);
        let (before, after) = history.split_at(point);
        let older = split_state(&replay(&before[..point / 2]), 1, chunk_bytes).unwrap();
        let mut chunks = split_state(&replay(before), 1, chunk_bytes).unwrap();
        chunks.extend(older);
        chunks.extend(chunks.clone());
        chunks.shuffle(&mut SmallRng::seed_from_u64(seed));

        let mut state = assemble(&chunks).unwrap();
        for batch in after {
            state.apply(state.next, batch);
        }

        prop_assert_eq!(state, replay(&history));
    }

    #[test]
    fn damaged_chunks_give_no_state(seed: u64, at: usize, bit in 0_u8..8) {
        let mut chunks = split_state(&replay(&random_history(seed, 50)), 1, 500).unwrap();
        let index = at % chunks.len();
        let mut data = chunks[index].data.to_vec();
        let position = at % data.len();
        data[position] ^= 1 << bit;
        chunks[index].data = data.into();

        let damaged = assemble(&chunks);
        let incomplete = assemble(&chunks[1..]);

        prop_assert_eq!(damaged, None);
        prop_assert_eq!(incomplete, None);
    }

    #[test]
    fn encoded_state_round_trips(seed: u64, cut: usize, garbage: Vec<u8>) {
        let state = replay(&random_history(seed, 50));
        let encoded = encode_state(&state).unwrap();

        let decoded = decode_state(&encoded);
        let truncated = decode_state(&encoded[..cut % encoded.len()]);
        let longer = decode_state(&[&*encoded, &[0]].concat());

        prop_assert_eq!(decoded, Ok(state));
        prop_assert!(truncated.is_err());
        prop_assert!(longer.is_err());
        // Only checks that decoding does not panic.
        let _ = decode_state(&garbage);
    }

    #[test]
    fn log_drops_only_entries_that_a_retained_snapshot_covers(
        keep_entries in 200_u64..20_000,
        entries_per_check in 0_u64..20,
        keep_checks in 720_u64..5_000,
    ) {
        let mut schedule = SnapshotSchedule::new(policy(1_000), Duration::ZERO);
        let mut log = SimulatedLog::new(keep_entries, keep_checks);
        for check in 0..10_000 {
            log.append(check, entries_per_check);
            log.expire(check);
            if schedule.start_if_due(&log.view(), Duration::from_secs(5 * check)) {
                log.append_snapshot(check);
                log.expire(check);
            }

            let view = log.view();
            let is_kept = view
                .snapshot
                .is_some_and(|it| it.end_offset.min(it.first_chunk) >= view.earliest);
            prop_assert!(view.earliest == 0 || is_kept, "check {check}: {view:?}");
        }
    }
}

fn policy(max_entries: u64) -> SnapshotPolicy {
    SnapshotPolicy {
        max_entries,
        max_age: Duration::from_hours(1) / 2,
        min_interval: Duration::ZERO,
    }
}

/// Simulates a log that retains a number of entries, each for a number of checks
/// of the schedule.
struct SimulatedLog {
    written: Vec<u64>,
    earliest: usize,
    keep_entries: u64,
    keep_checks: u64,
    snapshot: Option<SnapshotPosition>,
}

impl SimulatedLog {
    const SNAPSHOT_ENTRIES: u64 = 10;

    fn new(keep_entries: u64, keep_checks: u64) -> Self {
        Self {
            written: vec![0],
            earliest: 0,
            keep_entries,
            keep_checks,
            snapshot: None,
        }
    }

    fn append(&mut self, check: u64, count: u64) {
        self.written.extend((0..count).map(|_| check));
    }

    fn append_snapshot(&mut self, check: u64) {
        let end_offset = self.written.len() as u64 + 1;
        self.append(check, Self::SNAPSHOT_ENTRIES);
        self.snapshot = Some(SnapshotPosition {
            end_offset,
            first_chunk: end_offset,
        });
    }

    fn expire(&mut self, check: u64) {
        let by_count = self
            .written
            .len()
            .saturating_sub(self.keep_entries as usize);
        let by_age = self
            .written
            .partition_point(|written| written + self.keep_checks < check);
        self.earliest = self.earliest.max(by_count).max(by_age);
    }

    fn view(&self) -> RetentionView {
        RetentionView {
            earliest: self.earliest as u64,
            next: self.written.len() as u64,
            snapshot: self.snapshot,
        }
    }
}

fn follow(log: &FakeLog) -> FollowerHandle {
    let settings = FollowerSettings::builder()
        .page_limit(7)
        .poll_interval(Duration::from_millis(2))
        .initial_backoff(Duration::from_millis(2))
        .max_backoff(Duration::from_millis(10))
        .build();
    start_follower(log.clone(), FoldedState::default(), settings)
}

/// Joins incarnation 1 as the only member and makes it the planner.
async fn planner(log: &FakeLog, follower: &FollowerHandle) -> WriterHandle<FakeLog> {
    let settings = WriterSettings::builder()
        .batches_per_second(10_000)
        .burst_batches(10_000)
        .initial_backoff(Duration::from_millis(1))
        .max_backoff(Duration::from_millis(10))
        .build();
    let writer = start_writer(log.clone(), follower.clone(), 1, settings);
    let records = vec![join(1, 1), LogRecord::Claim { term: 1 }];
    writer.append(records, TIMEOUT).await.unwrap();
    writer
}

async fn wait_for_offset(follower: &FollowerHandle, next: Offset) {
    let mut states = follower.states();
    let reached = tokio::time::timeout(TIMEOUT, states.wait_for(|state| state.next >= next)).await;
    assert!(reached.is_ok(), "offset {next} was not reached");
}

#[tokio::test]
async fn new_reader_starts_from_the_newest_snapshot_and_equals_a_full_replay() {
    for seed in 1..=5 {
        let log = FakeLog::new(seed);
        let follower = follow(&log);
        let writer = planner(&log, &follower).await;
        log.set_faults(FakeFaults {
            lose_answer: 0.2,
            duplicate: 0.2,
            ..FakeFaults::default()
        });
        let mut snapshots =
            SnapshotWriter::new(log.clone(), follower.clone(), writer.clone(), 1, policy(20));
        let mut end_offset = 0;

        for version in 0..60 {
            let record = change(&format!("change-{version}"), version, service(4, 1));
            writer.append(vec![record], TIMEOUT).await.unwrap();
            end_offset = snapshots
                .write_if_due()
                .await
                .unwrap()
                .unwrap_or(end_offset);
        }
        log.expire(end_offset);
        let late = follow(&log);
        wait_for_offset(&late, log.written().len() as Offset).await;

        assert!(end_offset > 20, "no snapshot was written");
        assert_eq!(late.counters().await.installed_states, 1);
        assert_eq!(*late.state(), log.replay(|_| {}), "seed {seed}");
        assert_eq!(follower.snapshots().await.mismatches, 0);
    }
}

#[tokio::test]
async fn reader_of_the_marker_rejects_a_snapshot_with_another_digest() {
    let log = FakeLog::new(1);
    let follower = follow(&log);
    let writer = planner(&log, &follower).await;
    let records = vec![LogRecord::Snapshot(snapshot_marker(1))];
    writer.append(records, TIMEOUT).await.unwrap();
    let marked = follower.snapshots().await.marker_state.unwrap();
    let mut wrong = FoldedState::clone(&marked);
    wrong.verdicts.clear();
    wrong.term = 7;

    for chunk in split_state(&wrong, 1, 1_000).unwrap() {
        let record = LogRecord::Snapshot(chunk);
        writer.append(vec![record], TIMEOUT).await.unwrap();
    }

    let status = follower.snapshots().await;
    assert!(status.mismatches > 0);
    assert_eq!(status.newest_complete, None);
}

#[tokio::test]
async fn reader_without_any_snapshot_waits_for_one() {
    let log = FakeLog::new(1);
    log.write(encode_batch(&batch(1, 1, vec![join(1, 1)])).unwrap());
    log.write(encode_batch(&batch(1, 2, vec![LogRecord::Claim { term: 1 }])).unwrap());
    let state = log.replay(|_| {});
    log.expire(2);

    let follower = follow(&log);
    let before = follower.state();
    for chunk in split_state(&state, 1, 1_000).unwrap() {
        let records = vec![LogRecord::Snapshot(chunk)];
        log.write(encode_batch(&batch(1, 3, records)).unwrap());
    }
    wait_for_offset(&follower, 3).await;

    assert_eq!(before.next, 0);
    assert_eq!(follower.state().planner, Some(1));
}
