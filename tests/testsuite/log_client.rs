//! Tests of the log client: follower and writer while the log fails.

use std::time::Duration;

use buckthornwinch::log::batch::AppendError;
use buckthornwinch::log::follower::FollowerHandle;
use buckthornwinch::log::follower::start_follower;
use buckthornwinch::log::http::HttpLogService;
use buckthornwinch::log::http::HttpLogSettings;
use buckthornwinch::log::service::LogError;
use buckthornwinch::log::service::LogService;
use buckthornwinch::log::settings::FollowerSettings;
use buckthornwinch::log::settings::WriterSettings;
use buckthornwinch::log::writer::WriterHandle;
use buckthornwinch::log::writer::start_writer;
use buckthornwinch::state::codec::MAX_ENTRY_BYTES;
use buckthornwinch::state::codec::encode_batch;
use buckthornwinch::state::effect::FoldEffect;
use buckthornwinch::state::effect::IgnoreReason;
use buckthornwinch::state::folded::ChangeVerdict;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::LogRecord;
use bytes::Bytes;
use futures_util::future::join_all;
use winch_standin::log_standin::LogFaults;
use winch_standin::log_standin::LogSettings;
use winch_standin::log_standin::LogStandin;
use winch_test_support::fake_log::FakeFaults;
use winch_test_support::fake_log::FakeLog;
use winch_test_support::records::batch;
use winch_test_support::records::change;
use winch_test_support::records::join;
use winch_test_support::records::service;
use winch_test_support::records::slice;

/// Timeout of appends and waits.
const TIMEOUT: Duration = Duration::from_secs(20);

fn follow<L: LogService>(log: L) -> FollowerHandle {
    let settings = FollowerSettings::builder()
        .poll_interval(Duration::from_millis(2))
        .initial_backoff(Duration::from_millis(2))
        .max_backoff(Duration::from_millis(10))
        .build();
    start_follower(log, FoldedState::default(), settings)
}

fn write<L: LogService>(log: L, follower: &FollowerHandle) -> WriterHandle<L> {
    let settings = WriterSettings::builder()
        .batches_per_second(10_000)
        .burst_batches(10_000)
        .initial_backoff(Duration::from_millis(1))
        .max_backoff(Duration::from_millis(10))
        .fold_timeout(Duration::from_millis(50))
        .build();
    start_writer(log, follower.clone(), 1, settings)
}

async fn joined<L: LogService>(log: L) -> (FollowerHandle, WriterHandle<L>) {
    let follower = follow(log.clone());
    let writer = write(log, &follower);
    let effects = writer.append(vec![join(1, 1)], TIMEOUT).await;
    assert_eq!(effects, Ok(vec![FoldEffect::Accepted]));
    (follower, writer)
}

async fn wait_for(follower: &FollowerHandle, test: impl FnMut(&FoldedState) -> bool) {
    let mut states = follower.states();
    let mut test = test;
    let found = tokio::time::timeout(TIMEOUT, states.wait_for(|state| test(state))).await;
    assert!(found.is_ok(), "the state was not reached");
}

#[tokio::test]
async fn append_returns_after_the_batch_is_folded() {
    let log = FakeLog::new(1);
    let (follower, writer) = joined(log).await;

    let records = vec![change("a", 0, service(4, 1)), change("b", 0, service(4, 2))];
    let effects = writer.append(records, TIMEOUT).await.unwrap();

    assert_eq!(effects[0], FoldEffect::Change(ChangeVerdict::Accepted(1)));
    let conflict = ChangeVerdict::Conflict {
        version: 1,
        change: "a".into(),
        operator: "operator-1".into(),
    };
    assert_eq!(effects[1], FoldEffect::Change(conflict));
    assert!(follower.state().verdict_of("a").is_some());
}

#[tokio::test]
async fn each_append_takes_effect_once_when_answers_are_lost_and_entries_repeat() {
    for seed in 1..=5 {
        let log = FakeLog::new(seed);
        let (follower, writer) = joined(log.clone()).await;
        log.set_faults(FakeFaults {
            lose_answer: 0.3,
            lose_append: 0.2,
            duplicate: 0.3,
            refuse: 0.2,
            is_down: false,
        });

        for term in 1..=30 {
            let claim = LogRecord::Claim { term };
            let effects = writer.append(vec![claim], TIMEOUT).await;

            assert_eq!(effects, Ok(vec![FoldEffect::Accepted]), "seed {seed}");
        }

        assert_eq!(follower.state().term, 30);
        assert!(log.written().len() > 31, "no entry was repeated");
    }
}

#[tokio::test]
async fn refused_append_never_takes_effect() {
    let log = FakeLog::new(1);
    let (follower, _writer) = joined(log.clone()).await;
    // The append below times out during the wait of up to 2 s before its second
    // attempt.
    let settings = WriterSettings::builder()
        .initial_backoff(Duration::from_secs(2))
        .build();
    let writer = start_writer(log.clone(), follower.clone(), 3, settings);
    let records = vec![join(2, 3)];
    writer.append(records, TIMEOUT).await.unwrap();
    log.set_faults(FakeFaults {
        is_down: true,
        ..FakeFaults::default()
    });

    let record = change("refused", 0, service(4, 1));
    let refused = writer
        .append(vec![record], Duration::from_millis(300))
        .await;
    log.set_faults(FakeFaults::default());
    let record = change("later", 0, service(4, 1));
    let later = writer.append(vec![record], TIMEOUT).await;

    assert_eq!(refused, Err(AppendError::Unavailable));
    assert_eq!(
        later,
        Ok(vec![FoldEffect::Change(ChangeVerdict::Accepted(1))])
    );
    assert!(follower.state().verdict_of("refused").is_none());
}

#[tokio::test]
async fn append_without_a_response_is_unknown() {
    let log = FakeLog::new(1);
    let (_follower, writer) = joined(log.clone()).await;
    log.set_faults(FakeFaults {
        lose_append: 1.0,
        ..FakeFaults::default()
    });

    let record = change("unknown", 0, service(4, 1));
    let unknown = writer.append(vec![record], Duration::from_millis(50)).await;

    assert_eq!(unknown, Err(AppendError::Unknown));
}

#[tokio::test]
async fn pending_appends_are_combined_into_one_batch() {
    let log = FakeLog::new(1);
    let (_follower, writer) = joined(log.clone()).await;
    let appends = (0..100).map(|index| {
        let record = change(&format!("change-{index}"), 0, service(4, 1));
        writer.append(vec![record], TIMEOUT)
    });

    let effects = join_all(appends).await;

    let accepted = effects
        .iter()
        .filter(|it| it.as_ref().is_ok_and(|it| it[0].is_accepted()));
    assert_eq!(accepted.count(), 1);
    assert!(log.attempts() < 10, "{} appends", log.attempts());
}

#[tokio::test]
async fn records_that_exceed_a_batch_are_split_and_keep_their_order() {
    let log = FakeLog::new(1);
    let (_follower, writer) = joined(log.clone()).await;
    let mut records = Vec::new();
    for term in 1..=20 {
        let positions = vec![(slice(1), 1); 2_000];
        records.push(LogRecord::Resign { positions });
        records.push(LogRecord::Claim { term });
    }
    let positions = vec![(slice(1), 1); MAX_ENTRY_BYTES];

    let effects = writer.append(records, TIMEOUT).await.unwrap();
    let oversized = LogRecord::Resign { positions };
    let oversized = writer.append(vec![oversized], TIMEOUT).await;

    assert_eq!(effects.len(), 40);
    for pair in effects.chunks(2) {
        assert_eq!(pair[0], FoldEffect::Ignored(IgnoreReason::UnknownChain));
        assert_eq!(pair[1], FoldEffect::Accepted);
    }
    assert!(log.written().len() > 2);
    assert_eq!(oversized, Err(AppendError::Unavailable));
}

#[tokio::test]
async fn append_of_an_ended_author_is_ignored() {
    let log = FakeLog::new(1);
    let (_follower, writer) = joined(log.clone()).await;
    let newer = batch(2, 1, vec![join(1, 2)]);
    log.write(encode_batch(&newer).unwrap());

    let record = change("late", 0, service(4, 1));
    let effects = writer.append(vec![record], TIMEOUT).await;

    let ignored = FoldEffect::Ignored(IgnoreReason::AuthorNotMember);
    assert_eq!(effects, Ok(vec![ignored]));
}

#[tokio::test]
async fn undecodable_entries_never_stop_the_fold() {
    let log = FakeLog::new(1);
    log.write(Bytes::from_static(b""));
    log.write(Bytes::from_static(b"\x01garbage"));
    log.write(vec![7; 1_000]);
    let valid = encode_batch(&batch(1, 1, vec![join(1, 1)])).unwrap();
    log.write(valid.slice(..valid.len() - 1));
    log.write(valid);
    log.write(Bytes::from_static(b"\x02"));

    let follower = follow(log);
    wait_for(&follower, |state| state.next == 6).await;

    assert_eq!(follower.counters().await.undecodable, 5);
    assert!(follower.state().members.contains_key(&1));
}

#[tokio::test]
async fn only_a_newer_state_is_installed_while_the_log_is_down() {
    let log = FakeLog::new(1);
    log.set_faults(FakeFaults {
        is_down: true,
        ..FakeFaults::default()
    });
    let follower = follow(log);
    let mut newer = FoldedState::default();
    newer.apply(4, &batch(1, 1, vec![join(1, 1)]));
    let mut older = FoldedState::default();
    older.skip(3);

    let installed_newer = follower.install(newer.clone()).await;
    let installed_older = follower.install(older).await;

    assert!(installed_newer);
    assert!(!installed_older);
    assert_eq!(*follower.state(), newer);
}

async fn standin() -> (LogStandin, HttpLogService) {
    let settings = LogSettings::builder().keep_entries(3).build();
    let standin = LogStandin::start(settings).await.unwrap();
    let settings = HttpLogSettings::builder()
        .base_url(format!("http://{}", standin.address()))
        .append_timeout(Duration::from_millis(300))
        .read_wait(Duration::from_millis(20))
        .build();
    (standin, HttpLogService::new(settings).unwrap())
}

#[tokio::test]
async fn http_log_reads_back_appended_entries_and_reports_expired_offsets() {
    let (_standin, log) = standin().await;

    let mut offsets = Vec::new();
    for byte in 0..5 {
        offsets.push(log.append(vec![byte, 0xff].into()).await.unwrap());
    }
    let earliest = log.earliest().await.unwrap();
    let page = log.read(earliest, 2).await.unwrap();
    let expired = log.read(0, 2).await;

    assert_eq!(offsets, [0, 1, 2, 3, 4]);
    assert_eq!((earliest, page.end, page.entries.len()), (2, 5, 2));
    assert_eq!(page.entries[0].data, Bytes::from_static(&[2, 0xff]));
    assert_eq!(expired, Err(LogError::Expired { earliest: 2 }));
}

#[tokio::test]
async fn http_log_distinguishes_refused_from_ambiguous() {
    let (standin, log) = standin().await;
    let nowhere = HttpLogSettings::builder()
        .base_url("http://127.0.0.1:1")
        .build();
    let nowhere = HttpLogService::new(nowhere).unwrap();

    let unreachable = nowhere.append(Bytes::new()).await;
    standin.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });
    let down = log.append(Bytes::from_static(b"a")).await;
    standin.set_faults(LogFaults {
        lose_answer: 1.0,
        ..LogFaults::default()
    });
    let lost = log.append(Bytes::from_static(b"b")).await;

    assert!(matches!(unreachable, Err(LogError::Refused(_))));
    assert!(matches!(down, Err(LogError::Refused(_))));
    assert!(matches!(lost, Err(LogError::Ambiguous(_))));
    assert_eq!(standin.stats().appends, 1);
}
