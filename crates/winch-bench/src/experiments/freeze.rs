//! `freeze`: owners are suspended and resumed under load. Requests also pass
//! through the suspended process. Runs with and without upstreams that check
//! fencing tokens.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::RunContext;
use super::probe::ProbedNode;
use super::support::add_guarantees;
use super::support::declarations;
use super::support::merge_guarantees;
use super::support::service_keys;
use super::support::start_fleet;
use super::support::warm_up;
use crate::fleet::deployment::WorkKind;
use crate::fleet::deployment::hanmaru;
use crate::fleet::harness::FleetOptions;
use crate::fleet::process::ProcessSignal;
use crate::load::gaps::longest_gaps;
use crate::load::generator::LoadGenerator;
use crate::load::generator::LoadOutcome;
use crate::load::record::unix_micros;
use crate::results::ExperimentResult;

const PAUSES: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_secs(1),
    Duration::from_secs(5),
];

const TIME_BEFORE: Duration = Duration::from_secs(1);
const TIME_AFTER: Duration = Duration::from_secs(3);
const SETTLE_TIME: Duration = Duration::from_secs(2);
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Requests per second sent through the suspended process.
const THROUGH_VICTIM_RATE: f64 = 100.0;

pub(super) async fn run(context: &RunContext) -> eyre::Result<ExperimentResult> {
    let mut result = ExperimentResult::new("freeze", context.seed);
    for (label, checks_fence) in [("fenced", true), ("unfenced", false)] {
        freeze_owners(context, label, checks_fence, &mut result).await?;
    }
    Ok(result)
}

async fn freeze_owners(
    context: &RunContext,
    label: &str,
    checks_fence: bool,
    result: &mut ExperimentResult,
) -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(context.seed);
    let deployment = hanmaru();
    let service = deployment.service(WorkKind::Lookup).clone();
    let options = FleetOptions::builder()
        .declarations(declarations(context, &deployment))
        .deployment(deployment)
        .checks_fence(checks_fence)
        .service_time(SERVICE_TIME)
        .build();
    let mut fleet = start_fleet(context, options).await?;
    let mut records = Vec::new();
    let mut load = LoadOutcome::default();

    for pause in PAUSES {
        let owners = warm_up(
            &service,
            service_keys(&service),
            &fleet.entries(),
            &mut records,
        )
        .await?;
        let victim = ProbedNode::draw(&fleet, &service, &owners, &mut random)?;
        let duration = TIME_BEFORE + pause + TIME_AFTER;
        let name = format!("{label}-{}ms", pause.as_millis());
        let others = fleet.entries_except(victim.index);
        let probe = victim.stream(&format!("probe-{name}"), &service, others, duration);
        let own_entry = [fleet.nodes[victim.index].addresses.callers].into();
        let mut through = victim.stream(&format!("through-{name}"), &service, own_entry, duration);
        through.rate = THROUGH_VICTIM_RATE;
        through.timeout = duration;
        let generator = LoadGenerator::start(vec![probe, through], context.seed);

        tokio::time::sleep(TIME_BEFORE).await;
        let frozen_at = unix_micros();
        let winchd = &mut fleet.nodes[victim.index].winchd;
        winchd.signal(ProcessSignal::Stop)?;
        tokio::time::sleep(pause).await;
        winchd.signal(ProcessSignal::Continue)?;
        tokio::time::sleep(TIME_AFTER.mul_f64(0.9)).await;
        let observed_until = unix_micros();
        let mut outcome = generator.finish().await;

        let probes = outcome.records.iter().filter(|record| record.stream == 0);
        let gaps = longest_gaps(probes, frozen_at, observed_until);
        eprintln!(
            "freeze: {name}: worst {:.0} ms, median {:.0} ms",
            gaps.worst_ms(),
            gaps.median_ms()
        );
        result.figure(format!("{name}.unavailable_worst_ms"), gaps.worst_ms());
        result.figure(format!("{name}.unavailable_median_ms"), gaps.median_ms());
        load.records.append(&mut outcome.records);
        tokio::time::sleep(SETTLE_TIME).await;
    }

    let mut promises = ExperimentResult::new("freeze", context.seed);
    add_guarantees(&mut promises, &fleet, records, load)?;
    merge_guarantees(result, &promises, label);
    Ok(())
}
