//! Runs the fleet, its callers and the faults of one seed.

use std::fmt::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::WrapErr;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::callers::SoakCaller;
use crate::faults::FaultInjector;
use crate::faults::FaultStep;
use crate::faults::fault_steps;
use crate::fleet::FleetSettings;
use crate::fleet::SoakFleet;
use crate::ledger::OutcomeCounts;
use crate::ledger::SoakLedger;
use crate::plan::FaultPlan;
use crate::plan::PlannedFault;

/// Maximum time after the faults of a series until every request is served again:
/// the platform's bound.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Number of evenly spaced keys that are probed.
const PROBED_KEYS: u16 = 16;

/// Pause between two probes of the unserved keys.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time without faults after a series, in which the guarantees of undisturbed
/// operation are checked.
const REST_TIME: Duration = Duration::from_secs(1);

/// Time after the callers' last request for which a refused one could still run.
const LATE_RUN_WAIT: Duration = Duration::from_secs(1);

/// Text of a log line that reports a panic.
const PANIC_MARKER: &str = "panicked at";

/// Settings of a run.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct SoakSettings {
    /// Seed of the faults, and of the callers' requests.
    pub seed: u64,
    /// Number of machines.
    pub machines: u8,
    /// Number of series of faults.
    pub series: usize,
    /// Number of callers per machine.
    pub callers: u32,
    /// Path of the sidecar's program.
    pub sidecar: PathBuf,
    /// Directory for the plan and for the processes' settings and logs.
    pub directory: PathBuf,
    /// Whether upstreams take their keys from the answers to their heartbeats.
    /// Default: false, by calls.
    #[builder(default)]
    pub grants_by_heartbeat: bool,
}

/// Results of a run.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// Violated guarantees; empty if the run passed.
    pub violations: Vec<Box<str>>,
    /// Number of the callers' requests by outcome.
    pub counts: OutcomeCounts,
    /// Longest time from the end of a series, or from the start of the fleet, until
    /// every request was served.
    pub longest_recovery: Duration,
}

/// Starts a fleet, injects the faults of a seed and checks the guarantees.
///
/// # Errors
///
/// Fails if the fleet cannot be started or a file of the run cannot be read or
/// written. Violated guarantees are part of the report.
pub async fn run_soak(settings: &SoakSettings) -> eyre::Result<SoakReport> {
    let machines = usize::from(settings.machines);
    let plan = FaultPlan::generate(settings.seed, machines, settings.series);
    write_plan(&plan, &settings.directory)?;
    let ledger = SoakLedger::default();
    let fleet_settings = FleetSettings {
        machines: settings.machines,
        sidecar: settings.sidecar.clone(),
        directory: settings.directory.clone(),
        grants_by_heartbeat: settings.grants_by_heartbeat,
    };
    let mut fleet = SoakFleet::start(&fleet_settings, &ledger).await?;
    let mut probe_callers = machine_callers(&fleet, settings.seed, "check", &ledger);
    let mut longest_recovery = wait_until_served(&mut probe_callers, &ledger).await;

    let stop = Arc::new(AtomicBool::default());
    let mut callers = JoinSet::new();
    for number in 0..settings.callers {
        let seed = settings.seed.wrapping_add(u64::from(number) + 1);
        for caller in machine_callers(&fleet, seed, &format!("caller-{number}"), &ledger) {
            callers.spawn(caller.run(Arc::clone(&stop)));
        }
    }
    for series in &plan.series {
        run_series(series, &mut fleet, &ledger).await?;
        let recovery = wait_until_served(&mut probe_callers, &ledger).await;
        longest_recovery = longest_recovery.max(recovery);
        sleep(REST_TIME).await;
        fleet.check_processes(&ledger)?;
    }
    stop.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    sleep(LATE_RUN_WAIT).await;
    fleet.check_processes(&ledger)?;
    ledger.check_after_run(&fleet.checker);
    drop(fleet);
    for panic in find_panics(&settings.directory)? {
        ledger.record_violation(panic);
    }
    Ok(SoakReport {
        violations: ledger.violations(),
        counts: ledger.counts(),
        longest_recovery,
    })
}

fn machine_callers(
    fleet: &SoakFleet,
    seed: u64,
    name: &str,
    ledger: &SoakLedger,
) -> Vec<SoakCaller> {
    let machines = fleet.machines.iter().enumerate();
    machines
        .map(|(index, machine)| {
            let name = format!("{name}-at-{index}");
            let seed = seed.wrapping_mul(31).wrapping_add(index as u64);
            SoakCaller::new(&name, seed, index, machine.ports.callers(), ledger.clone())
        })
        .collect()
}

/// Runs the steps of a series in the order of their times.
async fn run_series(
    series: &[PlannedFault],
    fleet: &mut SoakFleet,
    ledger: &SoakLedger,
) -> eyre::Result<()> {
    let mut steps: Vec<(Duration, usize, FaultStep)> = Vec::new();
    for (index, fault) in series.iter().enumerate() {
        let timed_steps = fault_steps(fault).into_iter();
        steps.extend(timed_steps.map(|(at, step)| (at, index, step)));
    }
    steps.sort_by_key(|(at, _index, _step)| *at);
    let mut spans = vec![Vec::new(); series.len()];
    let started = Instant::now();
    let mut injector = FaultInjector::new(fleet, ledger);
    for (at, index, step) in steps {
        sleep_until(started + at).await;
        let fault = &series[index].fault;
        if step == FaultStep::Begin {
            spans[index] = injector.record_begin(fault);
        }
        injector.fleet.check_processes(ledger)?;
        injector.step(fault, step)?;
        if step == FaultStep::End {
            ledger.with_fault_history(|all| {
                for span in &spans[index] {
                    all.end(*span);
                }
            });
        }
    }
    Ok(())
}

/// Waits until every machine serves all probed keys and a request without a key,
/// and returns how long that took.
async fn wait_until_served(probe_callers: &mut [SoakCaller], ledger: &SoakLedger) -> Duration {
    let started = Instant::now();
    let keys = (0..PROBED_KEYS).map(|index| Some(index * (u16::MAX / PROBED_KEYS)));
    let probes: Vec<Option<u16>> = keys.chain([None]).collect();
    let mut unserved = vec![probes; probe_callers.len()];
    loop {
        for (caller, unserved) in probe_callers.iter_mut().zip(&mut unserved) {
            caller.retry_unserved(unserved).await;
        }
        let took = started.elapsed();
        if unserved.iter().all(Vec::is_empty) {
            return took;
        }
        if took > MAX_RECOVERY_TIME {
            ledger.record_violation(format!(
                "RECOVER: not all requests served {took:?} after the faults; unserved keys by machine: {unserved:?}"
            ));
            return took;
        }
        sleep(RECOVERY_POLL_INTERVAL).await;
    }
}

fn write_plan(plan: &FaultPlan, directory: &Path) -> eyre::Result<()> {
    let mut text = String::new();
    for (number, series) in plan.series.iter().enumerate() {
        for fault in series {
            writeln!(text, "series {number}: {fault}")?;
        }
    }
    std::fs::write(directory.join("plan.txt"), text).wrap_err("cannot write the plan")
}

/// Returns the lines that report a panic in the logs of a directory.
fn find_panics(directory: &Path) -> eyre::Result<Vec<String>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(directory).wrap_err("cannot list the logs")? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let bytes = std::fs::read(&path).wrap_err("cannot read a log")?;
        let text = String::from_utf8_lossy(&bytes);
        let panics = text.lines().filter(|line| line.contains(PANIC_MARKER));
        found.extend(panics.map(|line| format!("{}: {line}", path.display())));
    }
    Ok(found)
}
