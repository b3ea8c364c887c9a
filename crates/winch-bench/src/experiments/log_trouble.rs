//! `log-trouble`: under a load of lookups, the log is down, then slow, then loses
//! responses.

use std::time::Duration;

use winch_standin::log_standin::LogFaults;

use super::RunContext;
use super::support::add_guarantees;
use super::support::add_summary;
use super::support::declarations;
use super::support::service_keys;
use super::support::start_fleet;
use super::support::warm_up_fleet;
use crate::fleet::deployment::WorkKind;
use crate::fleet::deployment::hanmaru;
use crate::fleet::harness::FleetHarness;
use crate::fleet::harness::FleetOptions;
use crate::load::gaps::longest_gaps;
use crate::load::generator::LoadGenerator;
use crate::load::generator::LoadOutcome;
use crate::load::record::unix_micros;
use crate::load::stream::TrafficStream;
use crate::load::stream::TrafficTarget;
use crate::load::summary::summarize;
use crate::results::ExperimentResult;

const SERVICE_TIME: Duration = Duration::from_millis(2);
const SETTLE_TIME: Duration = Duration::from_secs(3);
const LOOKUP_RATE: f64 = 1_000.0;

/// Appends per second that the log accepts.
const LOG_RATE: u32 = 400;

struct FaultPhase {
    name: &'static str,
    faults: LogFaults,
    duration: Duration,
}

fn phases() -> [FaultPhase; 3] {
    let none = LogFaults::default();
    [
        FaultPhase {
            name: "down",
            faults: LogFaults { down: true, ..none },
            duration: Duration::from_mins(1),
        },
        FaultPhase {
            name: "slow",
            faults: LogFaults {
                slow_ms: 2_000,
                ..none
            },
            duration: Duration::from_secs(15),
        },
        FaultPhase {
            name: "answers-lost",
            faults: LogFaults {
                lose_answer: 0.5,
                duplicate: 0.2,
                ..none
            },
            duration: Duration::from_secs(15),
        },
    ]
}

pub(super) async fn run(context: &RunContext) -> eyre::Result<ExperimentResult> {
    let mut result = ExperimentResult::new("log-trouble", context.seed);
    let deployment = hanmaru();
    let options = FleetOptions::builder()
        .declarations(declarations(context, &deployment))
        .deployment(deployment)
        .service_time(SERVICE_TIME)
        .log_rate(LOG_RATE)
        .build();
    let fleet = start_fleet(context, options).await?;
    let mut records = Vec::new();
    warm_up_fleet(&fleet, &mut records).await?;
    let mut load = LoadOutcome::default();
    for phase in phases() {
        let mut outcome = run_phase(context, &fleet, &phase, &mut result).await?;
        load.records.append(&mut outcome.records);
    }
    let stats = fleet.log_stats().await?;
    result.at_most(
        "log.peak_appends_per_s",
        stats.peak_rate as f64,
        f64::from(LOG_RATE),
    );
    result.at_most("log.refused_beyond_rate", stats.refused as f64, 0.0);
    result.figure("log.appends", stats.appends as f64);
    add_guarantees(&mut result, &fleet, records, load)?;
    Ok(result)
}

async fn run_phase(
    context: &RunContext,
    fleet: &FleetHarness,
    phase: &FaultPhase,
    result: &mut ExperimentResult,
) -> eyre::Result<LoadOutcome> {
    let service = &fleet.nodes[0].service;
    debug_assert_eq!(
        service.kind,
        WorkKind::Lookup,
        "the first node serves lookups"
    );
    let stream = TrafficStream::builder()
        .name(format!("lookups-{}", phase.name))
        .service(service.name)
        .class(service.class)
        .rate(LOOKUP_RATE)
        .target(TrafficTarget::Entries(fleet.entries()))
        .keys(service_keys(service))
        .round_robin_keys(true)
        .duration(phase.duration + SETTLE_TIME)
        .build();
    let generator = LoadGenerator::start(vec![stream], context.seed);
    let from = unix_micros();
    fleet.set_log_faults(&phase.faults).await?;
    tokio::time::sleep(phase.duration).await;
    fleet.set_log_faults(&LogFaults::default()).await?;
    tokio::time::sleep(SETTLE_TIME.mul_f64(0.9)).await;
    let until = unix_micros();
    let outcome = generator.finish().await;

    let summaries = summarize(&outcome, 0, u64::MAX);
    for summary in summaries.values() {
        add_summary(result, phase.name, summary);
    }
    let failed = outcome.records.iter().filter(|record| !record.succeeded());
    let failed = failed.count();
    result.at_most(format!("{}.failed_lookups", phase.name), failed as f64, 0.0);
    let gaps = longest_gaps(outcome.records.iter(), from, until);
    result.figure(
        format!("{}.longest_time_without_answer_ms", phase.name),
        gaps.worst_ms(),
    );
    eprintln!(
        "log-trouble: {}: {failed} of {} lookups failed",
        phase.name,
        outcome.records.len()
    );
    Ok(outcome)
}
