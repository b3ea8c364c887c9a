//! Tests of operators' changes that race, while the log loses responses and goes
//! down.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use buckthornwinch::base::ids::ChangeId;
use buckthornwinch::base::ids::Version;
use buckthornwinch::configuration::settle::find_verdict;
use buckthornwinch::configuration::submitter::ChangeSubmitter;
use buckthornwinch::declarations::Declaration;
use buckthornwinch::declarations::ObjectKey;
use buckthornwinch::declarations::RuleDeclaration;
use buckthornwinch::log::follower::FollowerHandle;
use buckthornwinch::log::follower::start_follower;
use buckthornwinch::log::settings::FollowerSettings;
use buckthornwinch::log::settings::WriterSettings;
use buckthornwinch::log::writer::start_writer;
use buckthornwinch::operator::backend::BackendError;
use buckthornwinch::operator::backend::SubmitVerdict;
use buckthornwinch::state::folded::ChangeVerdict;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::ChangeRecord;
use futures_util::future::join_all;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinHandle;
use winch_test_support::fake_log::FakeFaults;
use winch_test_support::fake_log::FakeLog;
use winch_test_support::records::join;

const OPERATORS: u64 = 8;
/// Number of changes that each operator gets accepted.
const ACCEPTED_PER_OPERATOR: usize = 8;
const OBJECTS: u64 = 3;
/// Timeout of calls that are expected to succeed.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Short, so that many calls time out before the verdict is known.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(25);

#[derive(Clone)]
struct Process {
    follower: FollowerHandle,
    submitter: ChangeSubmitter<FakeLog>,
}

async fn start_process(log: &FakeLog, number: u16) -> Process {
    let settings = FollowerSettings::builder()
        .poll_interval(Duration::from_millis(2))
        .initial_backoff(Duration::from_millis(2))
        .max_backoff(Duration::from_millis(10))
        .build();
    let follower = start_follower(log.clone(), FoldedState::default(), settings);
    let settings = WriterSettings::builder()
        .batches_per_second(10_000)
        .burst_batches(10_000)
        .initial_backoff(Duration::from_millis(1))
        .max_backoff(Duration::from_millis(10))
        .build();
    let writer = start_writer(log.clone(), follower.clone(), u64::from(number), settings);
    let records = vec![join(number, u64::from(number))];
    writer.append(records, TIMEOUT).await.unwrap();
    Process {
        submitter: ChangeSubmitter::new(follower.clone(), writer),
        follower,
    }
}

fn rule(number: u64, domain: &str) -> Declaration {
    Declaration::OwnershipRule(RuleDeclaration {
        name: format!("rule-{number}").into(),
        service: "catalogue".into(),
        failure_domains: vec![domain.into()],
        regions: Vec::new(),
    })
}

fn change(id: &str, operator: &str, base: Version, declaration: Declaration) -> ChangeRecord {
    ChangeRecord {
        change: id.into(),
        operator: operator.into(),
        object: declaration.key(),
        base_version: base,
        declaration: Some(declaration),
    }
}

/// The verdicts that an operator received on its changes.
#[derive(Default)]
struct OperatorLedger {
    verdicts: Vec<(ChangeRecord, ChangeVerdict)>,
    unknown: usize,
}

/// Changes random objects until enough changes are accepted. While the verdict
/// on a change is unknown, submits it again through a random process.
async fn operate(processes: Vec<Process>, operator: u64, seed: u64) -> OperatorLedger {
    let mut random = SmallRng::seed_from_u64(seed * 100 + operator);
    let mut ledger = OperatorLedger::default();
    let mut accepted = 0;
    for attempt in 0.. {
        if accepted == ACCEPTED_PER_OPERATOR {
            break;
        }
        let id = format!("{operator}-{attempt}");
        let declaration = rule(random.random_range(0..OBJECTS), &id);
        let process = &processes[random.random_range(0..processes.len())];
        let state = process.follower.state();
        let version = state.objects.get(&declaration.key());
        let version = version.map_or(0, |object| object.version);
        let record = change(&id, &format!("operator-{operator}"), version, declaration);
        let verdict = loop {
            let process = &processes[random.random_range(0..processes.len())];
            let changes = vec![record.clone()];
            match process
                .submitter
                .submit(changes, SUBMIT_TIMEOUT)
                .await
                .as_deref()
            {
                Ok([SubmitVerdict::Settled(verdict)]) => break verdict.clone(),
                _ => ledger.unknown += 1,
            }
        };
        accepted += usize::from(matches!(verdict, ChangeVerdict::Accepted(_)));
        ledger.verdicts.push((record, verdict));
    }
    ledger
}

/// Checks that no object's version decreases in the states of a process.
fn watch_versions(process: &Process) -> JoinHandle<()> {
    let mut states = process.follower.states();
    tokio::spawn(async move {
        let mut last: Arc<FoldedState> = Arc::clone(&states.borrow());
        while states.changed().await.is_ok() {
            let state = Arc::clone(&states.borrow_and_update());
            for (key, object) in &last.objects {
                assert!(state.objects[key].version >= object.version, "{key:?}");
            }
            last = state;
        }
    })
}

/// Alternates between injected faults and outages until it is stopped.
fn inject_faults(log: &FakeLog) -> JoinHandle<()> {
    let log = log.clone();
    tokio::spawn(async move {
        for is_down in [false, true].into_iter().cycle() {
            log.set_faults(FakeFaults {
                is_down,
                lose_answer: 0.25,
                lose_append: 0.1,
                duplicate: 0.25,
                refuse: 0.1,
            });
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    })
}

/// Returns the change that created each version of each object, from the log
/// alone.
fn versions_of(log: &FakeLog) -> BTreeMap<(ObjectKey, Version), ChangeId> {
    let mut versions = BTreeMap::new();
    log.replay(|state| {
        for (key, object) in &state.objects {
            let made = versions
                .entry((key.clone(), object.version))
                .or_insert_with(|| object.change.clone());
            assert_eq!(*made, object.change, "a version was created twice");
        }
    });
    versions
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_operators_get_the_verdicts_that_follow_from_the_log() {
    for seed in 1..=3 {
        let log = FakeLog::new(seed);
        let mut processes = Vec::new();
        for number in 1..=3 {
            processes.push(start_process(&log, number).await);
        }
        let watchers: Vec<JoinHandle<()>> = processes.iter().map(watch_versions).collect();
        let faults = inject_faults(&log);
        let operators = (0..OPERATORS).map(|operator| operate(processes.clone(), operator, seed));

        let ledgers = join_all(operators).await;
        faults.abort();

        let versions = versions_of(&log);
        let mut accepted = BTreeSet::new();
        for (record, verdict) in ledgers.iter().flat_map(|ledger| &ledger.verdicts) {
            let id = &record.change;
            match verdict {
                ChangeVerdict::Accepted(version) => {
                    let made = &versions[&(record.object.clone(), *version)];
                    assert_eq!(made, id, "seed {seed}: an accepted change is lost");
                    assert_eq!(
                        *version,
                        record.base_version + 1,
                        "seed {seed}: a change was overwritten"
                    );
                    accepted.insert(id.clone());
                }
                ChangeVerdict::Conflict { .. } => {
                    let is_in_force = versions.values().any(|change| change == id);
                    assert!(
                        !is_in_force,
                        "seed {seed}: a change in conflict took effect"
                    );
                }
            }
        }
        let made: BTreeSet<ChangeId> = versions.values().cloned().collect();
        assert_eq!(
            made, accepted,
            "seed {seed}: a change took effect without a verdict"
        );
        let unknown: usize = ledgers.iter().map(|ledger| ledger.unknown).sum();
        assert!(unknown > 0, "seed {seed}: no verdict was unknown");

        log.set_faults(FakeFaults::default());
        let end = log.replay(|_| {});
        for process in &processes {
            let mut states = process.follower.states();
            let reached = states.wait_for(|state| state.next >= end.next);
            let state = tokio::time::timeout(TIMEOUT, reached)
                .await
                .unwrap()
                .unwrap();
            assert_eq!(state.objects, end.objects, "seed {seed}");
        }
        drop(processes);
        for watcher in watchers {
            watcher.await.unwrap();
        }
    }
}

#[tokio::test]
async fn conflict_names_who_and_which_version_won() {
    let log = FakeLog::new(1);
    let process = start_process(&log, 1).await;
    let changes = vec![
        change("a", "first", 0, rule(0, "x")),
        change("b", "second", 0, rule(0, "y")),
    ];

    let verdicts = process.submitter.submit(changes, TIMEOUT).await.unwrap();

    let conflict = ChangeVerdict::Conflict {
        version: 1,
        change: "a".into(),
        operator: "first".into(),
    };
    assert_eq!(
        verdicts,
        [
            SubmitVerdict::Settled(ChangeVerdict::Accepted(1)),
            SubmitVerdict::Settled(conflict),
        ]
    );
}

#[tokio::test]
async fn change_that_the_fold_ignores_hides_no_other_verdict() {
    let log = FakeLog::new(1);
    let process = start_process(&log, 1).await;
    let mut wrong = change("wrong", "first", 0, rule(1, "x"));
    wrong.object = rule(2, "x").key();
    let valid = change("sound", "first", 0, rule(0, "x"));

    let alone = process.submitter.submit(vec![wrong.clone()], TIMEOUT).await;
    let changes = vec![wrong, valid];
    let together = process.submitter.submit(changes, TIMEOUT).await.unwrap();

    assert!(matches!(alone, Err(BackendError { .. })));
    assert!(matches!(together[0], SubmitVerdict::Unknown(_)));
    let accepted = ChangeVerdict::Accepted(1);
    assert_eq!(together[1], SubmitVerdict::Settled(accepted));
}

#[tokio::test]
async fn nothing_is_acknowledged_while_the_log_is_down() {
    let log = FakeLog::new(1);
    let process = start_process(&log, 1).await;
    log.set_faults(FakeFaults {
        is_down: true,
        ..FakeFaults::default()
    });

    let record = change("a", "first", 0, rule(0, "x"));
    let down = process.submitter.submit(vec![record], SUBMIT_TIMEOUT).await;

    let is_settled = down.is_ok_and(|verdicts| matches!(verdicts[0], SubmitVerdict::Settled(_)));
    assert!(!is_settled);
}

#[tokio::test]
async fn many_changes_are_split_and_keep_their_order() {
    let log = FakeLog::new(1);
    let process = start_process(&log, 1).await;
    let domain = "x".repeat(2_000);
    let changes =
        (0..300).map(|number| change(&number.to_string(), "first", 0, rule(number, &domain)));

    let verdicts = process
        .submitter
        .submit(changes.collect(), TIMEOUT)
        .await
        .unwrap();

    assert_eq!(verdicts.len(), 300);
    let state = process.follower.state();
    for number in 0..300 {
        let object = &state.objects[&rule(number, &domain).key()];
        assert_eq!(*object.change, *number.to_string());
    }
    assert_eq!(
        find_verdict(&state, "299"),
        Some(ChangeVerdict::Accepted(1))
    );
}
