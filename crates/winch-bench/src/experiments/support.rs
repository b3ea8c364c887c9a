//! Code shared by the experiments.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::bail;
use tokio::time::Instant;

use super::RunContext;
use crate::checks::check_guarantees;
use crate::fleet::deployment::DeploymentSize;
use crate::fleet::deployment::ServiceSize;
use crate::fleet::deployment::WorkKind;
use crate::fleet::harness::FleetHarness;
use crate::fleet::harness::FleetOptions;
use crate::load::caller::CallerRequest;
use crate::load::caller::send;
use crate::load::generator::LoadOutcome;
use crate::load::generator::new_client;
use crate::load::record::AttemptEnd;
use crate::load::record::RequestRecord;
use crate::load::record::UnixMicros;
use crate::load::record::unix_micros;
use crate::load::stream::TrafficStream;
use crate::load::stream::TrafficTarget;
use crate::load::stream::numbered_keys;
use crate::load::summary::StreamSummary;
use crate::results::ExperimentResult;

const WARM_UP_TIMEOUT: Duration = Duration::from_secs(30);
const WARM_UP_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// First tag of warm-up requests, above the tags of every load.
const WARM_UP_TAGS: u64 = 1 << 40;

/// Number of distinct keys in each service's load.
pub(super) const KEYS_PER_SERVICE: usize = 512;

/// Name of the node that owns each key.
pub(super) type OwnerMap = BTreeMap<Box<str>, Box<str>>;

/// Starts a fleet. Keeps its directory and prints the path if the run keeps
/// logs.
pub(super) async fn start_fleet(
    context: &RunContext,
    options: FleetOptions,
) -> eyre::Result<FleetHarness> {
    let name = options.deployment.name;
    let mut fleet = FleetHarness::start(options).await?;
    if context.keep {
        fleet.keep_directory();
        eprintln!(
            "{name}: logs and ledgers in {}",
            fleet.directory().display()
        );
    }
    Ok(fleet)
}

/// Returns the directory of a deployment's declarations.
pub(super) fn declarations(
    context: &RunContext,
    deployment: &DeploymentSize,
) -> std::path::PathBuf {
    context.examples.join(deployment.name).join("declarations")
}

/// Returns a service's keys.
pub(super) fn service_keys(service: &ServiceSize) -> Arc<[Box<str>]> {
    numbered_keys(service.name, KEYS_PER_SERVICE)
}

/// Sends requests for every key until each succeeds, and returns the owners.
/// The records are added to `records`.
pub(super) async fn warm_up(
    service: &ServiceSize,
    keys: Arc<[Box<str>]>,
    entries: &Arc<[SocketAddr]>,
    records: &mut Vec<RequestRecord>,
) -> eyre::Result<OwnerMap> {
    let stream = TrafficStream::builder()
        .name(format!("warm-up-{}", service.name))
        .service(service.name)
        .class(service.class)
        .rate(0.0)
        .target(TrafficTarget::Entries(Arc::clone(entries)))
        .keys(keys)
        .duration(Duration::ZERO)
        .with_idempotency_key(service.kind == WorkKind::Order)
        .timeout(PROBE_TIMEOUT)
        .build();
    let client = new_client();
    let mut owners = OwnerMap::new();
    let deadline = Instant::now() + WARM_UP_TIMEOUT;
    for key in stream.keys.iter() {
        loop {
            let request = CallerRequest {
                stream: usize::MAX,
                tag: WARM_UP_TAGS + records.len() as u64,
                key: key.clone(),
                due: unix_micros(),
                caller: records.len(),
            };
            let record = send(&client, &stream, request).await;
            let owner = record.last().map(|last| last.owner.clone());
            let succeeded = record.succeeded();
            records.push(record);
            if succeeded {
                owners.insert(key.clone(), owner.unwrap_or_default());
                break;
            }
            if Instant::now() >= deadline {
                let last = records.last().and_then(RequestRecord::last);
                bail!("key {key} is not served after {WARM_UP_TIMEOUT:?}; last attempt: {last:?}");
            }
            tokio::time::sleep(WARM_UP_RETRY_INTERVAL).await;
        }
    }
    Ok(owners)
}

/// Warms up every service of a fleet.
pub(super) async fn warm_up_fleet(
    fleet: &FleetHarness,
    records: &mut Vec<RequestRecord>,
) -> eyre::Result<OwnerMap> {
    let entries = fleet.entries();
    let mut owners = OwnerMap::new();
    let mut services: Vec<&ServiceSize> = fleet.nodes.iter().map(|node| &node.service).collect();
    services.dedup_by_key(|service| service.name);
    for service in services {
        owners.append(&mut warm_up(service, service_keys(service), &entries, records).await?);
    }
    Ok(owners)
}

/// Returns the keys that a node owns.
pub(super) fn keys_of(owners: &OwnerMap, node: &str) -> Arc<[Box<str>]> {
    owners
        .iter()
        .filter(|(_, owner)| &***owner == node)
        .map(|(key, _)| key.clone())
        .collect()
}

/// Adds a stream's counts and latencies to a result.
pub(super) fn add_summary(result: &mut ExperimentResult, prefix: &str, summary: &StreamSummary) {
    result.figure(format!("{prefix}.sent"), summary.sent as f64);
    result.figure(format!("{prefix}.succeeded"), summary.succeeded as f64);
    for end in [AttemptEnd::NotRun, AttemptEnd::Unknown, AttemptEnd::Broken] {
        let count = summary.ended(end);
        if count > 0 {
            result.figure(
                format!("{prefix}.ended_{end:?}").to_lowercase(),
                count as f64,
            );
        }
    }
    for (error, count) in &summary.errors {
        result.figure(format!("{prefix}.error.{error}"), *count as f64);
    }
    result.figure(format!("{prefix}.p50_ms"), summary.latency.quantile_ms(0.5));
    result.figure(
        format!("{prefix}.p99_ms"),
        summary.latency.quantile_ms(0.99),
    );
    result.figure(format!("{prefix}.max_ms"), summary.latency.max_ms());
}

/// Checks the guarantees over the warm-up and the load, and adds the counts.
pub(super) fn add_guarantees(
    result: &mut ExperimentResult,
    fleet: &FleetHarness,
    warm_up: Vec<RequestRecord>,
    load: LoadOutcome,
) -> eyre::Result<()> {
    let mut records = warm_up;
    records.extend(load.records);
    let report = check_guarantees(&records, &fleet.ledgers()?);
    report.add_to(result);
    Ok(())
}

/// Adds the bounds and notes of one part of an experiment, with a prefix. Each
/// bound becomes an upper bound, as the guarantees' bounds are.
pub(super) fn merge_guarantees(
    result: &mut ExperimentResult,
    part: &ExperimentResult,
    prefix: &str,
) {
    for bound in &part.bounds {
        let value = part.figures[&bound.figure];
        result.at_most(format!("{prefix}.{}", bound.figure), value, bound.limit);
    }
    for note in &part.notes {
        result.note(format!("{prefix}: {note}"));
    }
}

/// A window of time, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TimeWindow {
    /// Start, inclusive.
    pub(super) from: UnixMicros,
    /// End, exclusive.
    pub(super) until: UnixMicros,
}

impl TimeWindow {
    /// Returns the window that starts `skip` from now and lasts `length`.
    pub(super) fn after(skip: Duration, length: Duration) -> Self {
        let from = unix_micros() + skip.as_micros() as UnixMicros;
        Self {
            from,
            until: from + length.as_micros() as UnixMicros,
        }
    }
}
