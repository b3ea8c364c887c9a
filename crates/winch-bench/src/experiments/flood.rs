//! `classes`, `flood-low` and `flood-high`: mixed load on one owner, near and far
//! beyond its capacity, compared with the naive router.
//!
//! All keys belong to one endpoint, so that one machine can generate ten times its
//! capacity; requests enter through the other nodes. The naive router gets the
//! same load, with one upstream of the same settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::bail;
use winch_standin::upstream_standin::UpstreamSettings;
use winch_standin::upstream_standin::UpstreamStandin;

use super::RunContext;
use super::support::TimeWindow;
use super::support::add_guarantees;
use super::support::declarations;
use super::support::keys_of;
use super::support::merge_guarantees;
use super::support::start_fleet;
use super::support::warm_up_fleet;
use crate::baseline::NaiveRouter;
use crate::baseline::UpstreamMap;
use crate::fleet::deployment::CHECK_CLASS;
use crate::fleet::deployment::DeploymentSize;
use crate::fleet::deployment::WorkKind;
use crate::fleet::deployment::hanmaru;
use crate::fleet::deployment::reykjanes;
use crate::fleet::harness::FleetOptions;
use crate::load::generator::LoadGenerator;
use crate::load::generator::LoadOutcome;
use crate::load::record::UnixMicros;
use crate::load::stream::TrafficStream;
use crate::load::stream::TrafficTarget;
use crate::load::summary::StreamSummary;
use crate::load::summary::summarize;
use crate::results::ExperimentResult;

const SERVICE_TIME: Duration = Duration::from_millis(20);
const SERVICE_JITTER: Duration = Duration::from_millis(10);
/// Mean time of a request at the upstream: 20 ms plus half of the jitter.
const MEAN_SERVICE_TIME_S: f64 = 0.025;
/// Maximum time of a request at the upstream: 20 ms plus the jitter.
const MAX_SERVICE_TIME_MS: f64 = 30.0;

const SETTLE_TIME: Duration = Duration::from_secs(2);
const CALM_TIME: Duration = Duration::from_secs(8);
const FLOOD_TIME: Duration = Duration::from_secs(10);
/// Time after a flood's start that its figures exclude.
const FLOOD_ONSET: Duration = Duration::from_secs(2);
const FLOOD_FACTOR: f64 = 10.0;
/// Limit of the flood's requests in flight; each needs a connection.
const FLOOD_IN_FLIGHT: usize = 3_000;
const FLOOD_TIMEOUT: Duration = Duration::from_secs(5);

/// Backlog of the upstream behind the naive router, which has no limit itself.
const BASELINE_BACKLOG: usize = 100;

/// Variant of the experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FloodKind {
    /// Mixed load at 95 % of capacity.
    Classes,
    /// Batch work at ten times the capacity.
    Low,
    /// Lookups at ten times the capacity.
    High,
}

/// Load of one priority class.
#[derive(Debug, Clone, Copy)]
struct ClassLoad {
    class: &'static str,
    kind: ClassKind,
    /// Offered load as a share of the capacity.
    share: f64,
    /// Latency target that the class declares.
    target_ms: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClassKind {
    Check,
    Lookup,
    Order,
    Batch,
}

/// Returns the loads of the classes. The targets repeat those in the deployment's
/// declarations.
fn class_loads(deployment: &DeploymentSize, kind: FloodKind) -> [ClassLoad; 4] {
    let [lookup_ms, order_ms, batch_ms] = match deployment.name {
        "hanmaru" => [50.0, 500.0, 3_600_000.0],
        _ => [100.0, 1_000.0, 5_000.0],
    };
    let shares = match kind {
        FloodKind::Classes => [0.05, 0.40, 0.20, 0.30],
        FloodKind::Low | FloodKind::High => [0.02, 0.30, 0.10, 0.08],
    };
    let class = |work| deployment.service(work).class;
    let load = |class, kind, share, target_ms| ClassLoad {
        class,
        kind,
        share,
        target_ms,
    };
    [
        load(
            CHECK_CLASS,
            ClassKind::Check,
            shares[0],
            MAX_SERVICE_TIME_MS + 10.0,
        ),
        load(
            class(WorkKind::Lookup),
            ClassKind::Lookup,
            shares[1],
            lookup_ms,
        ),
        load(
            class(WorkKind::Order),
            ClassKind::Order,
            shares[2],
            order_ms,
        ),
        load(
            class(WorkKind::Batch),
            ClassKind::Batch,
            shares[3],
            batch_ms,
        ),
    ]
}

/// Receiver of the load: the fleet or the naive router.
struct FloodTarget {
    entries: Arc<[SocketAddr]>,
    keys: Arc<[Box<str>]>,
    service: &'static str,
    capacity: f64,
}

/// Measurements of one receiver.
struct FloodFigures {
    load: LoadOutcome,
    calm: BTreeMap<Box<str>, StreamSummary>,
    flooded: BTreeMap<Box<str>, StreamSummary>,
    /// Successes per second during the flood; without a flood, over the calm
    /// window.
    useful_rate: f64,
}

pub(super) async fn run(
    context: &RunContext,
    name: &str,
    kind: FloodKind,
) -> eyre::Result<ExperimentResult> {
    let mut result = ExperimentResult::new(name, context.seed);
    for deployment in [hanmaru(), reykjanes()] {
        run_deployment(context, deployment, kind, &mut result).await?;
    }
    Ok(result)
}

async fn run_deployment(
    context: &RunContext,
    deployment: DeploymentSize,
    kind: FloodKind,
    result: &mut ExperimentResult,
) -> eyre::Result<()> {
    let name = deployment.name;
    let capacity = f64::from(deployment.slots) / MEAN_SERVICE_TIME_S;
    let classes = class_loads(&deployment, kind);
    let service = deployment.service(WorkKind::Lookup).clone();

    let options = FleetOptions::builder()
        .declarations(declarations(context, &deployment))
        .deployment(deployment.clone())
        .service_time(SERVICE_TIME)
        .service_jitter(SERVICE_JITTER)
        .build();
    let fleet = start_fleet(context, options).await?;
    let mut records = Vec::new();
    let owners = warm_up_fleet(&fleet, &mut records).await?;
    let owner = fleet.nodes_of(service.name)[0];
    let keys = keys_of(&owners, &fleet.nodes[owner].name);
    if keys.is_empty() {
        bail!("{} owns no key", fleet.nodes[owner].name);
    }
    let target = FloodTarget {
        entries: fleet.entries_except(owner),
        keys,
        service: service.name,
        capacity,
    };
    let figures = send_load(context, &target, &classes, kind).await;
    add_figures(result, name, &classes, kind, capacity, &figures);
    let mut promises = ExperimentResult::new(name, context.seed);
    add_guarantees(&mut promises, &fleet, records, figures.load)?;
    merge_guarantees(result, &promises, name);
    drop(fleet);

    let figures = send_to_baseline(context, &deployment, target, &classes, kind).await?;
    let mut baseline = ExperimentResult::new(name, context.seed);
    add_figures(&mut baseline, name, &classes, kind, capacity, &figures);
    result.baseline.extend(baseline.figures);
    Ok(())
}

/// Sends the same load through the naive router to one upstream.
async fn send_to_baseline(
    context: &RunContext,
    deployment: &DeploymentSize,
    target: FloodTarget,
    classes: &[ClassLoad],
    kind: FloodKind,
) -> eyre::Result<FloodFigures> {
    let settings = UpstreamSettings::builder()
        .service(target.service)
        .slots(deployment.slots)
        .backlog(BASELINE_BACKLOG)
        .service_time(SERVICE_TIME)
        .service_jitter(SERVICE_JITTER)
        .build();
    let upstream = UpstreamStandin::start(settings).await?;
    let mut upstreams = UpstreamMap::default();
    upstreams.insert(target.service.into(), vec![upstream.address()]);
    let router = NaiveRouter::start(upstreams).await?;
    let target = FloodTarget {
        entries: [router.address()].into(),
        ..target
    };
    Ok(send_load(context, &target, classes, kind).await)
}

async fn send_load(
    context: &RunContext,
    target: &FloodTarget,
    classes: &[ClassLoad],
    kind: FloodKind,
) -> FloodFigures {
    let flood_class = match kind {
        FloodKind::Classes => None,
        FloodKind::Low => Some(ClassKind::Batch),
        FloodKind::High => Some(ClassKind::Lookup),
    };
    let flood_time = flood_class.map_or(Duration::ZERO, |_| FLOOD_TIME);
    let mut streams: Vec<TrafficStream> = classes
        .iter()
        .map(|class| steady_stream(target, class, SETTLE_TIME + CALM_TIME + flood_time))
        .collect();
    let flooding = classes.iter().find(|class| Some(class.kind) == flood_class);
    if let Some(class) = flooding {
        streams.push(flood_stream(target, class));
    }
    let calm = TimeWindow::after(SETTLE_TIME, CALM_TIME);
    let flooded = TimeWindow::after(
        SETTLE_TIME + CALM_TIME + FLOOD_ONSET,
        FLOOD_TIME.saturating_sub(FLOOD_ONSET),
    );
    let load = LoadGenerator::start(streams, context.seed).finish().await;
    let busiest = if flooding.is_some() { flooded } else { calm };
    FloodFigures {
        calm: summarize(&load, calm.from, calm.until),
        flooded: summarize(&load, flooded.from, flooded.until),
        useful_rate: successes_per_second(&load, busiest),
        load,
    }
}

fn steady_stream(target: &FloodTarget, class: &ClassLoad, duration: Duration) -> TrafficStream {
    TrafficStream::builder()
        .name(class.class)
        .service(target.service)
        .class(class.class)
        .rate(target.capacity * class.share)
        .target(TrafficTarget::Entries(Arc::clone(&target.entries)))
        .keys(Arc::clone(&target.keys))
        .with_idempotency_key(class.kind == ClassKind::Order)
        .duration(duration)
        .build()
}

fn flood_stream(target: &FloodTarget, class: &ClassLoad) -> TrafficStream {
    TrafficStream::builder()
        .name("flood")
        .service(target.service)
        .class(class.class)
        .rate(target.capacity * FLOOD_FACTOR)
        .target(TrafficTarget::Entries(Arc::clone(&target.entries)))
        .keys(Arc::clone(&target.keys))
        .start(SETTLE_TIME + CALM_TIME)
        .duration(FLOOD_TIME)
        .timeout(FLOOD_TIMEOUT)
        .max_in_flight(FLOOD_IN_FLIGHT)
        .build()
}

/// Returns the successes per second in a window.
fn successes_per_second(load: &LoadOutcome, window: TimeWindow) -> f64 {
    let ended_within = |ended: UnixMicros| (window.from..window.until).contains(&ended);
    let successes = load.records.iter().filter(|record| {
        record.succeeded() && record.last().is_some_and(|last| ended_within(last.ended))
    });
    successes.count() as f64 / ((window.until - window.from) as f64 / 1e6)
}

fn add_figures(
    result: &mut ExperimentResult,
    name: &str,
    classes: &[ClassLoad],
    kind: FloodKind,
    capacity: f64,
    figures: &FloodFigures,
) {
    result.figure(format!("{name}.capacity_per_s"), capacity);
    result.figure(format!("{name}.useful_per_s"), figures.useful_rate);
    for class in classes {
        add_class(result, name, class, kind, figures);
    }
    if kind == FloodKind::Classes {
        return;
    }
    result.at_least(
        format!("{name}.useful_share_of_capacity"),
        figures.useful_rate / capacity,
        0.9,
    );
    let flood = &figures.flooded["flood"];
    result.figure(format!("{name}.flood.sent"), flood.sent as f64);
    result.figure(format!("{name}.flood.succeeded"), flood.succeeded as f64);
    result.figure(
        format!("{name}.flood.not_sent"),
        figures.load.not_sent as f64,
    );
    let refusal = flood.refusal.quantile_ms(0.99);
    if kind == FloodKind::High {
        result.at_most(format!("{name}.flood.refusal_p99_ms"), refusal, 50.0);
        let lookup = &classes[1];
        result.at_most(
            format!("{name}.flood.admitted_p99_ms"),
            flood.latency.quantile_ms(0.99),
            lookup.target_ms,
        );
    } else {
        result.figure(format!("{name}.flood.refusal_p99_ms"), refusal);
    }
}

fn add_class(
    result: &mut ExperimentResult,
    name: &str,
    class: &ClassLoad,
    kind: FloodKind,
    figures: &FloodFigures,
) {
    let prefix = format!("{name}.{}", class.class);
    let calm = &figures.calm[class.class];
    let calm_p99 = calm.latency.quantile_ms(0.99);
    result.figure(
        format!("{prefix}.calm_p50_ms"),
        calm.latency.quantile_ms(0.5),
    );
    if kind == FloodKind::Classes {
        result.at_most(format!("{prefix}.calm_p99_ms"), calm_p99, class.target_ms);
        result.figure(format!("{prefix}.success_share"), calm.success_share());
        return;
    }
    let flooded = &figures.flooded[class.class];
    let flooded_p99 = flooded.latency.quantile_ms(0.99);
    result.figure(format!("{prefix}.calm_p99_ms"), calm_p99);
    result.figure(format!("{prefix}.flooded_p99_ms"), flooded_p99);
    let ratio_name = format!("{prefix}.p99_ratio");
    let share_name = format!("{prefix}.flooded_success_share");
    let share = flooded.success_share();
    let is_urgent = matches!(class.kind, ClassKind::Check | ClassKind::Lookup);
    if kind == FloodKind::Low && is_urgent {
        result.at_most(ratio_name, flooded_p99 / calm_p99, 1.2);
    } else {
        result.figure(ratio_name, flooded_p99 / calm_p99);
    }
    // The loads of orders and checks are below their guaranteed shares, so
    // nearly all of their requests must be admitted during a flood of lookups.
    let is_guaranteed = matches!(class.kind, ClassKind::Check | ClassKind::Order);
    if kind == FloodKind::High && is_guaranteed {
        result.at_least(share_name, share, 0.99);
    } else {
        result.figure(share_name, share);
    }
}
