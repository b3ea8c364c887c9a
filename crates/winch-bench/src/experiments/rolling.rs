//! `rolling`: every owner's `winchd` drains and starts again in turn, with its
//! upstream, under load.

use std::sync::Arc;
use std::time::Duration;

use super::RunContext;
use super::support::add_guarantees;
use super::support::declarations;
use super::support::service_keys;
use super::support::start_fleet;
use super::support::warm_up_fleet;
use crate::fleet::deployment::DeploymentSize;
use crate::fleet::deployment::WorkKind;
use crate::fleet::deployment::hanmaru;
use crate::fleet::harness::FleetHarness;
use crate::fleet::harness::FleetOptions;
use crate::fleet::process::ProcessSignal;
use crate::load::generator::LoadGenerator;
use crate::load::generator::LoadOutcome;
use crate::load::record::AttemptEnd;
use crate::load::record::unix_micros;
use crate::load::stream::TrafficStream;
use crate::load::stream::TrafficTarget;
use crate::load::summary::summarize;
use crate::results::ExperimentResult;

/// Time after which a leaving upstream gets nothing new.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(2);

const LOAD_TIME: Duration = Duration::from_secs(6);
const TIME_BEFORE: Duration = Duration::from_secs(1);
const EXIT_LIMIT: Duration = Duration::from_secs(40);
const SETTLE_TIME: Duration = Duration::from_secs(2);
const RATE: f64 = 200.0;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// When a node was told to leave, and when it was started again, in
/// microseconds since the Unix epoch.
struct LeavePeriod {
    node: usize,
    told: u64,
    restarted: u64,
}

pub(super) async fn run(context: &RunContext) -> eyre::Result<ExperimentResult> {
    let mut result = ExperimentResult::new("rolling", context.seed);
    let deployment = hanmaru();
    let options = FleetOptions::builder()
        .declarations(declarations(context, &deployment))
        .deployment(deployment.clone())
        .build();
    let mut fleet = start_fleet(context, options).await?;
    let mut records = Vec::new();
    warm_up_fleet(&fleet, &mut records).await?;
    let mut load = LoadOutcome::default();
    let mut periods = Vec::new();
    let mut longest_drain = Duration::ZERO;
    for node in owners(&fleet, &deployment) {
        let generator = LoadGenerator::start(streams(&fleet, &deployment, node), context.seed);
        tokio::time::sleep(TIME_BEFORE).await;
        let told = unix_micros();
        let drain = leave(&mut fleet, node).await?;
        longest_drain = longest_drain.max(drain);
        let restarted = unix_micros();
        restart(&mut fleet, node).await?;
        periods.push(LeavePeriod {
            node,
            told,
            restarted,
        });
        let mut outcome = generator.finish().await;
        let name = &fleet.nodes[node].name;
        eprintln!(
            "rolling: {name} left after {:.0} ms",
            drain.as_secs_f64() * 1e3
        );
        let first = load.streams.len();
        for record in &mut outcome.records {
            record.stream += first;
        }
        load.streams.append(&mut outcome.streams);
        load.records.append(&mut outcome.records);
    }
    add_figures(&mut result, &fleet, &load, &periods)?;
    result.figure("longest_drain_ms", longest_drain.as_secs_f64() * 1e3);
    add_guarantees(&mut result, &fleet, records, load)?;
    Ok(result)
}

/// The nodes that own keys or orders.
fn owners(fleet: &FleetHarness, deployment: &DeploymentSize) -> Vec<usize> {
    let kinds = [WorkKind::Lookup, WorkKind::Order];
    let nodes = kinds.map(|kind| fleet.nodes_of(deployment.service(kind).name));
    nodes.concat()
}

/// Lookups and orders, by way of nodes that are not restarted.
fn streams(fleet: &FleetHarness, deployment: &DeploymentSize, round: usize) -> Vec<TrafficStream> {
    let entries: Arc<[_]> = fleet
        .nodes_of(deployment.service(WorkKind::Batch).name)
        .into_iter()
        .map(|node| fleet.nodes[node].addresses.callers)
        .collect();
    let kinds = [WorkKind::Lookup, WorkKind::Order];
    let streams = kinds.map(|kind| {
        let service = deployment.service(kind);
        TrafficStream::builder()
            .name(format!("{}-{round}", service.name))
            .service(service.name)
            .class(service.class)
            .rate(RATE)
            .target(TrafficTarget::Entries(Arc::clone(&entries)))
            .keys(service_keys(service))
            .duration(LOAD_TIME)
            .with_idempotency_key(kind == WorkKind::Order)
            .timeout(REQUEST_TIMEOUT)
            .build()
    });
    streams.into()
}

/// Tells a node to leave and returns how long it took.
async fn leave(fleet: &mut FleetHarness, node: usize) -> eyre::Result<Duration> {
    let told = std::time::Instant::now();
    let node = &mut fleet.nodes[node];
    node.winchd.signal(ProcessSignal::Terminate)?;
    node.winchd.wait(EXIT_LIMIT).await?;
    let drain = told.elapsed();
    node.upstream.end();
    Ok(drain)
}

async fn restart(fleet: &mut FleetHarness, node: usize) -> eyre::Result<()> {
    let node = &mut fleet.nodes[node];
    node.winchd.restart()?;
    node.restart_upstream()?;
    fleet.wait_until_ready().await?;
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(())
}

fn add_figures(
    result: &mut ExperimentResult,
    fleet: &FleetHarness,
    load: &LoadOutcome,
    periods: &[LeavePeriod],
) -> eyre::Result<()> {
    let mut cut = 0;
    let mut worst_share = 1.0_f64;
    for summary in summarize(load, 0, u64::MAX).values() {
        cut += summary.ended(AttemptEnd::Unknown) + summary.ended(AttemptEnd::Broken);
        worst_share = worst_share.min(summary.success_share());
    }
    result.figure("worst_success_share", worst_share);
    result.at_most("cut_requests", cut as f64, 0.0);
    let late = late_starts(fleet, periods)?;
    result.at_most("new_work_after_2_s", late as f64, 0.0);
    Ok(())
}

/// Counts orders that a leaving upstream started too late.
fn late_starts(fleet: &FleetHarness, periods: &[LeavePeriod]) -> eyre::Result<usize> {
    let ledgers = fleet.ledgers()?;
    let grace = NO_NEW_WORK_AFTER.as_micros() as u64;
    let late = periods.iter().map(|period| {
        let is_late = |started: u64| started > period.told + grace && started < period.restarted;
        let ledger = &ledgers[period.node];
        ledger
            .iter()
            .filter(|entry| is_late(entry.started_unix_us))
            .count()
    });
    Ok(late.sum())
}
