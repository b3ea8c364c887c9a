//! `steady`: throughput, and latency added to that of a direct call.
//!
//! The first part loads a pair of nodes at the design size: each receives 6,200
//! requests per second for keys that the other owns. The second part runs each
//! user's deployment in its current size under mixed traffic.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::RunContext;
use super::support::TimeWindow;
use super::support::add_guarantees;
use super::support::add_summary;
use super::support::declarations;
use super::support::keys_of;
use super::support::merge_guarantees;
use super::support::service_keys;
use super::support::start_fleet;
use super::support::warm_up_fleet;
use crate::fleet::deployment::DeploymentSize;
use crate::fleet::deployment::WorkKind;
use crate::fleet::deployment::hanmaru;
use crate::fleet::deployment::reykjanes;
use crate::fleet::harness::FleetHarness;
use crate::fleet::harness::FleetOptions;
use crate::fleet::process::ProcessUsage;
use crate::load::generator::LoadGenerator;
use crate::load::stream::TrafficStream;
use crate::load::stream::TrafficTarget;
use crate::load::summary::StreamSummary;
use crate::load::summary::summarize;
use crate::results::ExperimentResult;

/// Requests per second through one `winchd` at the design size.
const DESIGN_RATE: f64 = 6_200.0;

/// Limit of the p99 latency at the design size.
const DESIGN_P99_MS: f64 = 11.0;

const SETTLE_TIME: Duration = Duration::from_secs(2);
const MEASURE_TIME: Duration = Duration::from_secs(8);
const LOAD_TIME: Duration = Duration::from_secs(10);

/// Requests per second sent directly to upstreams, for comparison.
const DIRECT_RATE: f64 = 200.0;

const BYTES_PER_MB: f64 = 1e6;

pub(super) async fn run(context: &RunContext) -> eyre::Result<ExperimentResult> {
    let mut result = ExperimentResult::new("steady", context.seed);
    design_size(context, &mut result).await?;
    mixed(context, hanmaru(), 250.0, &mut result).await?;
    mixed(context, reykjanes(), 100.0, &mut result).await?;
    Ok(result)
}

/// Sends mixed traffic through a deployment, with `endpoint_rate` requests per
/// second for each endpoint.
async fn mixed(
    context: &RunContext,
    deployment: DeploymentSize,
    endpoint_rate: f64,
    result: &mut ExperimentResult,
) -> eyre::Result<()> {
    let name = deployment.name;
    let options = FleetOptions::builder()
        .declarations(declarations(context, &deployment))
        .deployment(deployment.clone())
        .build();
    let fleet = start_fleet(context, options).await?;
    let mut warm = Vec::new();
    warm_up_fleet(&fleet, &mut warm).await?;

    let mut streams: Vec<TrafficStream> = deployment
        .services
        .iter()
        .map(|service| {
            TrafficStream::builder()
                .name(service.name)
                .service(service.name)
                .class(service.class)
                .rate(endpoint_rate * service.endpoints as f64)
                .target(TrafficTarget::Entries(fleet.entries()))
                .keys(service_keys(service))
                .duration(LOAD_TIME)
                .with_idempotency_key(service.kind == WorkKind::Order)
                .build()
        })
        .collect();
    let lookups = deployment.service(WorkKind::Lookup);
    streams.push(direct_stream(&fleet, lookups.name, service_keys(lookups)));
    let figures = measure(context, &fleet, streams).await?;

    let direct = &figures.summary("direct").latency;
    for service in &deployment.services {
        let summary = figures.summary(service.name);
        let prefix = format!("{name}.{}", service.name);
        add_summary(result, &prefix, summary);
        if service.kind == WorkKind::Lookup {
            for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
                let added = summary.latency.quantile_ms(quantile) - direct.quantile_ms(quantile);
                result.figure(format!("{prefix}.added_{label}_ms"), added);
            }
        }
    }
    add_summary(result, &format!("{name}.direct"), figures.summary("direct"));
    figures.add_usage(result, name);
    let mut promises = ExperimentResult::new("steady", context.seed);
    add_guarantees(&mut promises, &fleet, warm, figures.load)?;
    merge_guarantees(result, &promises, name);
    Ok(())
}

/// Sends the design rate through each of a pair of nodes.
async fn design_size(context: &RunContext, result: &mut ExperimentResult) -> eyre::Result<()> {
    let deployment = hanmaru();
    let options = FleetOptions::builder()
        .declarations(declarations(context, &deployment))
        .deployment(deployment.clone())
        // Only the path to the upstream is measured. With requests of more than
        // 3 ms, 20 slots could not sustain the rate.
        .service_time(Duration::ZERO)
        .build();
    let fleet = start_fleet(context, options).await?;
    let mut warm = Vec::new();
    let owners = warm_up_fleet(&fleet, &mut warm).await?;
    let service = deployment.service(WorkKind::Lookup);
    let pair = fleet.nodes_of(service.name);
    let [first, second] = [&fleet.nodes[pair[0]], &fleet.nodes[pair[1]]];

    let stream = |name: &str, entry: SocketAddr, keys: Arc<[Box<str>]>| {
        TrafficStream::builder()
            .name(name)
            .service(service.name)
            .class(service.class)
            .rate(DESIGN_RATE)
            .target(TrafficTarget::Entries(Arc::new([entry])))
            .keys(keys)
            .duration(LOAD_TIME)
            .build()
    };
    let streams = vec![
        stream(
            "first",
            first.addresses.callers,
            keys_of(&owners, &second.name),
        ),
        stream(
            "second",
            second.addresses.callers,
            keys_of(&owners, &first.name),
        ),
        direct_stream(&fleet, service.name, service_keys(service)),
    ];
    let figures = measure(context, &fleet, streams).await?;

    let direct = figures.summary("direct");
    add_summary(result, "design.direct", direct);
    for name in ["first", "second"] {
        let summary = figures.summary(name);
        let prefix = format!("design.{name}");
        add_summary(result, &prefix, summary);
        let rate = summary.succeeded as f64 / MEASURE_TIME.as_secs_f64();
        // All requests of the window must succeed; the last one of the schedule
        // may fall outside it.
        result.at_least(format!("{prefix}.rate_per_s"), rate, DESIGN_RATE - 1.0);
        let p99 = summary.latency.quantile_ms(0.99);
        result.at_most(format!("{prefix}.p99_ms"), p99, DESIGN_P99_MS);
        let added = p99 - direct.latency.quantile_ms(0.99);
        result.figure(format!("{prefix}.added_p99_ms"), added);
    }
    figures.add_usage(result, "design");
    let mut promises = ExperimentResult::new("steady", context.seed);
    add_guarantees(&mut promises, &fleet, warm, figures.load)?;
    merge_guarantees(result, &promises, "design");
    Ok(())
}

fn direct_stream(fleet: &FleetHarness, service: &str, keys: Arc<[Box<str>]>) -> TrafficStream {
    let upstreams = fleet
        .nodes_of(service)
        .into_iter()
        .map(|index| fleet.nodes[index].upstream_address)
        .collect();
    TrafficStream::builder()
        .name("direct")
        .service(service)
        .class("")
        .rate(DIRECT_RATE)
        .target(TrafficTarget::Upstreams(upstreams))
        .keys(keys)
        .duration(LOAD_TIME)
        .build()
}

/// Measurements of one load.
struct SteadyFigures {
    load: crate::load::generator::LoadOutcome,
    summaries: std::collections::BTreeMap<Box<str>, StreamSummary>,
    /// CPU time of each node over the window, in seconds.
    cpu_seconds: Vec<f64>,
    resident_bytes: Vec<u64>,
}

async fn measure(
    context: &RunContext,
    fleet: &FleetHarness,
    streams: Vec<TrafficStream>,
) -> eyre::Result<SteadyFigures> {
    let window = TimeWindow::after(SETTLE_TIME, MEASURE_TIME);
    let load = LoadGenerator::start(streams, context.seed);
    tokio::time::sleep(SETTLE_TIME).await;
    let before = usages(fleet)?;
    tokio::time::sleep(MEASURE_TIME).await;
    let after = usages(fleet)?;
    let load = load.finish().await;
    let summaries = summarize(&load, window.from, window.until);
    let cpu_seconds = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after.cpu_seconds - before.cpu_seconds)
        .collect();
    Ok(SteadyFigures {
        load,
        summaries,
        cpu_seconds,
        resident_bytes: after.iter().map(|usage| usage.resident_bytes).collect(),
    })
}

fn usages(fleet: &FleetHarness) -> eyre::Result<Vec<ProcessUsage>> {
    fleet.nodes.iter().map(|node| node.winchd.usage()).collect()
}

impl SteadyFigures {
    fn summary(&self, name: &str) -> &StreamSummary {
        &self.summaries[name]
    }

    /// Adds the CPU time and memory of the `winchd` processes.
    fn add_usage(&self, result: &mut ExperimentResult, prefix: &str) {
        let routed: u64 = self
            .summaries
            .iter()
            .filter(|(name, _)| &***name != "direct")
            .map(|(_, summary)| summary.succeeded)
            .sum();
        let cpu_seconds: f64 = self.cpu_seconds.iter().sum();
        let busiest = self.cpu_seconds.iter().copied().fold(0.0, f64::max);
        let resident = self.resident_bytes.iter().copied().max().unwrap_or(0);
        let requests_per_second = routed as f64 / cpu_seconds;
        result.figure(
            format!("{prefix}.requests_per_cpu_second"),
            requests_per_second,
        );
        result.figure(
            format!("{prefix}.busiest_winchd_cores"),
            busiest / MEASURE_TIME.as_secs_f64(),
        );
        result.figure(
            format!("{prefix}.largest_winchd_rss_mb"),
            resident as f64 / BYTES_PER_MB,
        );
        result.figure(format!("{prefix}.not_sent"), self.load.not_sent as f64);
    }
}
