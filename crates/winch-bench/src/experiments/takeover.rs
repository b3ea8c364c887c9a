//! `takeover` and `takeover-log-down`: an owner's `winchd` and its upstream
//! are killed, several times.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use winch_standin::log_standin::LogFaults;

use super::RunContext;
use super::probe::ProbedNode;
use super::support::add_guarantees;
use super::support::declarations;
use super::support::service_keys;
use super::support::start_fleet;
use super::support::warm_up;
use crate::fleet::deployment::WorkKind;
use crate::fleet::deployment::hanmaru;
use crate::fleet::harness::FleetHarness;
use crate::fleet::harness::FleetOptions;
use crate::load::gaps::UnavailableTimes;
use crate::load::gaps::time_until_served;
use crate::load::generator::LoadGenerator;
use crate::load::generator::LoadOutcome;
use crate::load::record::unix_micros;
use crate::results::ExperimentResult;

/// Limit of the time until a killed owner's keys are served again.
const MAX_UNAVAILABLE_MS: f64 = 1_000.0;

const ROUNDS: usize = 4;
const TIME_BEFORE: Duration = Duration::from_secs(1);
const PROBE_TIME: Duration = Duration::from_secs(5);
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Whether the log is up while owners are killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LogCondition {
    /// Up during the whole run.
    Up,
    /// Down from before each kill until its takeover has been observed.
    Down,
}

pub(super) async fn run(
    context: &RunContext,
    name: &str,
    condition: LogCondition,
) -> eyre::Result<ExperimentResult> {
    let mut result = ExperimentResult::new(name, context.seed);
    let mut random = StdRng::seed_from_u64(context.seed);
    let deployment = hanmaru();
    let service = deployment.service(WorkKind::Lookup).clone();
    let options = FleetOptions::builder()
        .declarations(declarations(context, &deployment))
        .deployment(deployment)
        .build();
    let mut fleet = start_fleet(context, options).await?;
    let mut records = Vec::new();
    let mut load = LoadOutcome::default();
    let mut all_times = UnavailableTimes::default();

    for round in 0..ROUNDS {
        let owners = warm_up(
            &service,
            service_keys(&service),
            &fleet.entries(),
            &mut records,
        )
        .await?;
        let victim = ProbedNode::draw(&fleet, &service, &owners, &mut random)?;
        set_log(&fleet, condition == LogCondition::Down).await?;
        let entries = fleet.entries_except(victim.index);
        let stream = victim.stream(&format!("probe-{round}"), &service, entries, PROBE_TIME);
        let generator = LoadGenerator::start(vec![stream], context.seed);
        tokio::time::sleep(TIME_BEFORE).await;
        let killed_at = unix_micros();
        let node = &mut fleet.nodes[victim.index];
        node.winchd.end();
        node.upstream.end();
        let mut outcome = generator.finish().await;

        let times = time_until_served(outcome.records.iter(), killed_at);
        eprintln!(
            "{name}: round {round}: {} with {} keys: worst {:.0} ms, median {:.0} ms",
            fleet.nodes[victim.index].name,
            victim.keys.len(),
            times.worst_ms(),
            times.median_ms()
        );
        for (key, time) in times.by_key {
            all_times
                .by_key
                .insert(format!("{round}/{key}").into(), time);
        }
        load.records.append(&mut outcome.records);
        set_log(&fleet, false).await?;
        restart(&mut fleet, victim.index).await?;
    }

    result.at_most(
        "served_again_worst_ms",
        all_times.worst_ms(),
        MAX_UNAVAILABLE_MS,
    );
    result.figure("served_again_median_ms", all_times.median_ms());
    result.figure("keys_observed", all_times.by_key.len() as f64);
    add_guarantees(&mut result, &fleet, records, load)?;
    Ok(result)
}

async fn set_log(fleet: &FleetHarness, down: bool) -> eyre::Result<()> {
    let faults = LogFaults {
        down,
        ..LogFaults::default()
    };
    fleet.set_log_faults(&faults).await
}

/// Restarts a killed node and waits until the fleet has settled.
async fn restart(fleet: &mut FleetHarness, index: usize) -> eyre::Result<()> {
    let node = &mut fleet.nodes[index];
    node.winchd.restart()?;
    node.restart_upstream()?;
    fleet.wait_until_ready().await?;
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(())
}
