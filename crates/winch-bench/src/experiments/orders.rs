//! `orders`: orders with retries, while owners are killed and suspended and
//! upstreams respond late, fail, or lose responses.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use winch_standin::upstream_standin::UpstreamFaults;

use super::RunContext;
use super::support::add_guarantees;
use super::support::add_summary;
use super::support::declarations;
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
use crate::fleet::process::ProcessSignal;
use crate::load::generator::LoadGenerator;
use crate::load::record::AttemptEnd;
use crate::load::stream::TrafficStream;
use crate::load::stream::TrafficTarget;
use crate::load::summary::summarize;
use crate::results::ExperimentResult;

const LOAD_TIME: Duration = Duration::from_secs(30);
const MAX_EVENT_INTERVAL: Duration = Duration::from_secs(3);
const EVENT_COUNT: usize = 8;
const FREEZE_TIME: Duration = Duration::from_millis(1_200);
const DOWN_TIME: Duration = Duration::from_millis(1_500);
const ORDER_RATE: f64 = 200.0;
const ATTEMPTS: u16 = 4;
const DEADLINE: Duration = Duration::from_secs(2);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Fault of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultEvent {
    KillWinchd,
    KillBoth,
    Freeze,
    LoseAnswers,
    AnswerLate,
    Fail,
}

const EVENT_KINDS: [FaultEvent; 6] = [
    FaultEvent::KillWinchd,
    FaultEvent::Freeze,
    FaultEvent::LoseAnswers,
    FaultEvent::KillBoth,
    FaultEvent::AnswerLate,
    FaultEvent::Fail,
];

pub(super) async fn run(context: &RunContext) -> eyre::Result<ExperimentResult> {
    let mut result = ExperimentResult::new("orders", context.seed);
    for deployment in [hanmaru(), reykjanes()] {
        run_deployment(context, deployment, &mut result).await?;
    }
    Ok(result)
}

async fn run_deployment(
    context: &RunContext,
    deployment: DeploymentSize,
    result: &mut ExperimentResult,
) -> eyre::Result<()> {
    let name = deployment.name;
    let mut random = StdRng::seed_from_u64(context.seed);
    let service = deployment.service(WorkKind::Order).clone();
    let options = FleetOptions::builder()
        .declarations(declarations(context, &deployment))
        .deployment(deployment)
        .service_time(SERVICE_TIME)
        .build();
    let mut fleet = start_fleet(context, options).await?;
    let mut records = Vec::new();
    warm_up_fleet(&fleet, &mut records).await?;
    let stream = TrafficStream::builder()
        .name(service.name)
        .service(service.name)
        .class(service.class)
        .rate(ORDER_RATE)
        .target(TrafficTarget::Entries(fleet.entries()))
        .keys(service_keys(&service))
        .duration(LOAD_TIME)
        .with_idempotency_key(true)
        .attempts(ATTEMPTS)
        .deadline(DEADLINE)
        .timeout(REQUEST_TIMEOUT)
        .build();
    let generator = LoadGenerator::start(vec![stream], context.seed);

    let nodes = fleet.nodes_of(service.name);
    for number in 0..EVENT_COUNT {
        tokio::time::sleep(MAX_EVENT_INTERVAL.mul_f64(random.random_range(0.5..1.0))).await;
        let event = EVENT_KINDS[number % EVENT_KINDS.len()];
        let node = nodes[random.random_range(0..nodes.len())];
        eprintln!("orders: {name}: {event:?} at {}", fleet.nodes[node].name);
        inject_fault(&mut fleet, node, event).await?;
    }
    let load = generator.finish().await;

    let summaries = summarize(&load, 0, u64::MAX);
    let summary = &summaries[service.name];
    add_summary(result, &format!("{name}.orders"), summary);
    let unknown = summary.ended(AttemptEnd::Unknown) + summary.ended(AttemptEnd::Broken);
    result.figure(
        format!("{name}.unknown_share"),
        unknown as f64 / summary.sent as f64,
    );
    result.figure(format!("{name}.success_share"), summary.success_share());
    let mut promises = ExperimentResult::new("orders", context.seed);
    add_guarantees(&mut promises, &fleet, records, load)?;
    merge_guarantees(result, &promises, name);
    Ok(())
}

/// Injects a fault into a node and removes it after its duration.
async fn inject_fault(
    fleet: &mut FleetHarness,
    index: usize,
    event: FaultEvent,
) -> eyre::Result<()> {
    let faults = match event {
        FaultEvent::LoseAnswers => UpstreamFaults {
            lose_answer: 0.3,
            ..UpstreamFaults::default()
        },
        FaultEvent::AnswerLate => UpstreamFaults {
            late_ms: 2_500,
            ..UpstreamFaults::default()
        },
        FaultEvent::Fail => UpstreamFaults {
            fail: 0.3,
            ..UpstreamFaults::default()
        },
        _ => UpstreamFaults::default(),
    };
    match event {
        FaultEvent::KillWinchd | FaultEvent::KillBoth => {
            let node = &mut fleet.nodes[index];
            node.winchd.end();
            if event == FaultEvent::KillBoth {
                node.upstream.end();
            }
            tokio::time::sleep(DOWN_TIME).await;
            node.winchd.restart()?;
            if event == FaultEvent::KillBoth {
                node.restart_upstream()?;
            }
        }
        FaultEvent::Freeze => {
            let winchd = &mut fleet.nodes[index].winchd;
            winchd.signal(ProcessSignal::Stop)?;
            tokio::time::sleep(FREEZE_TIME).await;
            winchd.signal(ProcessSignal::Continue)?;
        }
        FaultEvent::LoseAnswers | FaultEvent::AnswerLate | FaultEvent::Fail => {
            fleet.set_upstream_faults(index, &faults).await?;
            tokio::time::sleep(DOWN_TIME).await;
            let none = UpstreamFaults::default();
            fleet.set_upstream_faults(index, &none).await?;
        }
    }
    Ok(())
}
