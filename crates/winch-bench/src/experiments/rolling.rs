//! `rolling`: each owner's `winchd` drains and restarts, with its upstream, one
//! after the other under load.

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

/// Time from the drain signal after which the node's upstream must get no new
/// requests.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

const LOAD_TIME: Duration = Duration::from_secs(6);
const TIME_BEFORE: Duration = Duration::from_secs(1);
const EXIT_TIMEOUT: Duration = Duration::from_secs(40);
const SETTLE_TIME: Duration = Duration::from_secs(2);
const RATE: f64 = 200.0;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Times at which a node was signalled to drain and restarted, in microseconds
/// since the Unix epoch.
struct DrainPeriod {
    node: usize,
    signalled: u64,
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
        let signalled = unix_micros();
        let drain = drain_node(&mut fleet, node).await?;
        longest_drain = longest_drain.max(drain);
        let restarted = unix_micros();
        restart(&mut fleet, node).await?;
        periods.push(DrainPeriod {
            node,
            signalled,
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

/// Returns the nodes of the services for lookups and orders.
fn owners(fleet: &FleetHarness, deployment: &DeploymentSize) -> Vec<usize> {
    let kinds = [WorkKind::Lookup, WorkKind::Order];
    let nodes = kinds.map(|kind| fleet.nodes_of(deployment.service(kind).name));
    nodes.concat()
}

/// Returns streams of lookups and orders that enter through nodes that are not
/// restarted.
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

/// Signals a node to drain, waits until it has exited, and returns the time that
/// took.
async fn drain_node(fleet: &mut FleetHarness, node: usize) -> eyre::Result<Duration> {
    let signalled = std::time::Instant::now();
    let node = &mut fleet.nodes[node];
    node.winchd.signal(ProcessSignal::Terminate)?;
    node.winchd.wait(EXIT_TIMEOUT).await?;
    let drain = signalled.elapsed();
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
    periods: &[DrainPeriod],
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

/// Counts requests that a draining node's upstream started after the grace
/// period.
fn late_starts(fleet: &FleetHarness, periods: &[DrainPeriod]) -> eyre::Result<usize> {
    let ledgers = fleet.ledgers()?;
    let grace = DRAIN_GRACE.as_micros() as u64;
    let late = periods.iter().map(|period| {
        let is_late =
            |started: u64| started > period.signalled + grace && started < period.restarted;
        let ledger = &ledgers[period.node];
        ledger
            .iter()
            .filter(|entry| is_late(entry.started_unix_us))
            .count()
    });
    Ok(late.sum())
}
