//! Tests that the checks of the experiments find each kind of violated guarantee,
//! and that the load generator sends every scheduled request.

use std::time::Duration;

use winch_bench::baseline::NaiveRouter;
use winch_bench::baseline::UpstreamMap;
use winch_bench::checks::GuaranteeReport;
use winch_bench::checks::check_guarantees;
use winch_bench::load::generator::LoadGenerator;
use winch_bench::load::generator::LoadOutcome;
use winch_bench::load::record::AttemptEnd;
use winch_bench::load::record::AttemptRecord;
use winch_bench::load::record::RequestRecord;
use winch_bench::load::stream::TrafficStream;
use winch_bench::load::stream::TrafficTarget;
use winch_bench::load::stream::numbered_keys;
use winch_bench::results::ExperimentResult;
use winch_bench::results::RunVerdict;
use winch_standin::upstream_standin::LedgerEntry;
use winch_standin::upstream_standin::UpstreamFaults;
use winch_standin::upstream_standin::UpstreamSettings;
use winch_standin::upstream_standin::UpstreamStandin;

fn order(path: &str, epoch: u64, started: u64) -> LedgerEntry {
    LedgerEntry {
        order: path.into(),
        slice: "orders/1".into(),
        key: "shop-7".into(),
        epoch,
        idempotency_key: None,
        path: path.into(),
        started_unix_us: started,
        finished_unix_us: Some(started + 10),
    }
}

fn order_once(path: &str, idempotency_key: &str, started: u64) -> LedgerEntry {
    LedgerEntry {
        idempotency_key: Some(idempotency_key.into()),
        ..order(path, 1, started)
    }
}

fn request(path: &str, end: AttemptEnd, own_and_whole: bool) -> RequestRecord {
    let attempt = AttemptRecord {
        sent: 0,
        ended: 10,
        end,
        status: 200,
        error: Box::default(),
        epoch: 1,
        owner: Box::default(),
        own_and_whole,
    };
    RequestRecord {
        stream: 0,
        path: path.into(),
        key: "shop-7".into(),
        idempotency_key: None,
        due: 0,
        attempts: vec![attempt],
    }
}

fn report(records: &[RequestRecord], ledgers: &[Vec<LedgerEntry>]) -> GuaranteeReport {
    GuaranteeReport {
        examples: Vec::new(),
        orders: 0,
        ..check_guarantees(records, ledgers)
    }
}

#[test]
fn orderly_takeover_violates_no_guarantee() {
    let ledgers = [vec![order("/a", 1, 100)], vec![order("/b", 2, 200)]];
    let records = [
        request("/a", AttemptEnd::Answered, true),
        request("/b", AttemptEnd::Answered, true),
        request("/c", AttemptEnd::NotRun, false),
    ];

    let report = report(&records, &ledgers);

    assert_eq!(report, GuaranteeReport::default());
}

#[test]
fn second_run_of_an_idempotency_key_is_found() {
    let ledgers = [
        vec![order_once("/a", "reorder-1", 100)],
        vec![order_once("/a", "reorder-1", 200)],
    ];

    let report = check_guarantees(&[], &ledgers);

    assert_eq!(report.duplicate_runs, 1);
}

#[test]
fn start_under_a_superseded_epoch_is_found() {
    let ledgers = [
        vec![order("/a", 1, 100), order("/c", 1, 300)],
        vec![order("/b", 2, 200)],
    ];

    let report = check_guarantees(&[], &ledgers);

    assert_eq!(report.superseded_starts, 1);
}

#[test]
fn order_that_still_runs_under_the_next_epoch_is_found() {
    let ledgers = [vec![order("/a", 1, 195)], vec![order("/b", 2, 200)]];

    let report = check_guarantees(&[], &ledgers);

    assert_eq!(report.overlapping_runs, 1);
}

#[test]
fn epoch_shared_by_two_upstreams_is_found() {
    let ledgers = [vec![order("/a", 1, 100)], vec![order("/b", 1, 200)]];

    let report = check_guarantees(&[], &ledgers);

    assert_eq!(report.shared_epochs, 1);
}

#[test]
fn wrong_outcomes_and_foreign_responses_are_found() {
    let ledgers = [vec![order("/a", 1, 100), order("/b", 1, 200)]];
    let records = [
        request("/a", AttemptEnd::NotRun, false),
        request("/b", AttemptEnd::Answered, false),
        request("/c", AttemptEnd::Answered, true),
    ];

    let report = check_guarantees(&records, &ledgers);

    assert_eq!(report.run_though_not_run, 1);
    assert_eq!(report.foreign_answers, 1);
    assert_eq!(report.missing_runs, 1);
}

#[test]
fn missed_or_unmeasured_bound_fails_the_run() {
    let mut missed = ExperimentResult::new("takeover", 1);
    let mut unmeasured = ExperimentResult::new("takeover", 1);
    let mut met = ExperimentResult::new("takeover", 1);

    missed.at_most("unavailable_ms", 1_001.0, 1_000.0);
    unmeasured.at_most("unavailable_ms", f64::NAN, 1_000.0);
    met.at_most("unavailable_ms", 999.0, 1_000.0);

    assert_eq!(missed.verdict, RunVerdict::Fail);
    assert_eq!(unmeasured.verdict, RunVerdict::Fail);
    assert_eq!(met.verdict, RunVerdict::Pass);
}

/// Sends 200 requests through the naive router to one upstream.
async fn load_naive_router(faults: UpstreamFaults) -> (LoadOutcome, Vec<LedgerEntry>) {
    let settings = UpstreamSettings::builder()
        .service("orders")
        .slots(8)
        .backlog(1_000)
        .build();
    let upstream = UpstreamStandin::start(settings)
        .await
        .expect("the upstream starts");
    upstream.set_faults(faults);
    let mut upstreams = UpstreamMap::default();
    upstreams.insert("orders".into(), vec![upstream.address()]);
    let router = NaiveRouter::start(upstreams)
        .await
        .expect("the router starts");
    let stream = TrafficStream::builder()
        .name("reorder")
        .service("orders")
        .class("orders")
        .rate(1_000.0)
        .target(TrafficTarget::Entries([router.address()].into()))
        .keys(numbered_keys("shop", 16))
        .duration(Duration::from_millis(200))
        .with_idempotency_key(true)
        .build();
    let load = LoadGenerator::start(vec![stream], 1).finish().await;
    (load, upstream.ledger())
}

#[tokio::test]
async fn every_scheduled_request_is_sent_and_its_response_verified() {
    let (load, ledger) = load_naive_router(UpstreamFaults::default()).await;

    let report = report(&load.records, std::slice::from_ref(&ledger));

    assert_eq!(load.records.len(), 200);
    assert_eq!(load.not_sent, 0);
    assert_eq!(ledger.len(), 200);
    assert!(load.records.iter().all(RequestRecord::succeeded));
    assert_eq!(report, GuaranteeReport::default());
}

#[tokio::test]
async fn duplicate_runs_from_naive_retries_are_found() {
    let failing = UpstreamFaults {
        fail: 1.0,
        ..UpstreamFaults::default()
    };

    let (load, ledger) = load_naive_router(failing).await;
    let report = check_guarantees(&load.records, &[ledger]);

    assert!(report.duplicate_runs > 0);
}
