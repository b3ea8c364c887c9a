//! One run: a fleet, its callers, and the faults of a seed.

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
use crate::faults::FaultDriver;
use crate::faults::FaultStep;
use crate::faults::steps_of;
use crate::fleet::FleetShape;
use crate::fleet::SoakFleet;
use crate::ledger::OutcomeCounts;
use crate::ledger::SoakLedger;
use crate::plan::FaultPlan;
use crate::plan::PlannedFault;

/// Time after faults by which everything is served again: the platform's bound.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Parts of the keys that are looked at.
const KEY_PARTS: u16 = 16;

/// Pause between two looks whether everything is served.
const RECOVERY_POLL: Duration = Duration::from_millis(50);

/// Rest after a series, in which the promises of calm times hold.
const REST: Duration = Duration::from_secs(1);

/// Time after the callers' last request in which a refused one might still run.
const LAST_RUNS: Duration = Duration::from_secs(1);

/// Words that a log shows only when the program is at fault.
const PANIC: &str = "panicked at";

/// What is run.
#[derive(Debug, Clone)]
#[derive(bon::Builder)]
pub struct SoakSettings {
    /// Determines the faults.
    pub seed: u64,
    /// Number of machines.
    pub machines: u8,
    /// Number of series of faults.
    pub series: usize,
    /// Callers of each machine.
    pub callers: u32,
    /// The sidecar's program.
    pub sidecar: PathBuf,
    /// Where the processes' files go.
    pub directory: PathBuf,
}

/// What a run showed.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// What must not have happened.
    pub violations: Vec<Box<str>>,
    /// How many requests ended how.
    pub counts: OutcomeCounts,
    /// The longest time after a series until everything was served.
    pub longest_recovery: Duration,
}

/// Runs the faults of a seed.
///
/// # Errors
///
/// Fails if the run cannot be carried out.
pub async fn run_soak(settings: &SoakSettings) -> eyre::Result<SoakReport> {
    let machines = usize::from(settings.machines);
    let plan = FaultPlan::draw(settings.seed, machines, settings.series);
    write_plan(&plan, &settings.directory)?;
    let ledger = SoakLedger::default();
    let shape = FleetShape {
        machines: settings.machines,
        sidecar: settings.sidecar.clone(),
        directory: settings.directory.clone(),
    };
    let mut fleet = SoakFleet::start(&shape, &ledger).await?;
    let mut checkers = callers_of(&fleet, settings.seed, "check", &ledger);
    let mut longest_recovery = wait_until_served(&mut checkers, &ledger).await;

    let stop = Arc::new(AtomicBool::default());
    let mut callers = JoinSet::new();
    for number in 0..settings.callers {
        let seed = settings.seed.wrapping_add(u64::from(number) + 1);
        for caller in callers_of(&fleet, seed, &format!("caller-{number}"), &ledger) {
            callers.spawn(caller.run(Arc::clone(&stop)));
        }
    }
    for series in &plan.series {
        run_series(series, &mut fleet, &ledger).await?;
        let recovery = wait_until_served(&mut checkers, &ledger).await;
        longest_recovery = longest_recovery.max(recovery);
        sleep(REST).await;
        fleet.check_processes(&ledger)?;
    }
    stop.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    sleep(LAST_RUNS).await;
    fleet.check_processes(&ledger)?;
    ledger.close(&fleet.world);
    drop(fleet);
    for panic in find_panics(&settings.directory)? {
        ledger.violation(panic);
    }
    Ok(SoakReport {
        violations: ledger.violations(),
        counts: ledger.counts(),
        longest_recovery,
    })
}

fn callers_of(fleet: &SoakFleet, seed: u64, name: &str, ledger: &SoakLedger) -> Vec<SoakCaller> {
    let machines = fleet.machines.iter().enumerate();
    machines
        .map(|(index, machine)| {
            let name = format!("{name}-at-{index}");
            let seed = seed.wrapping_mul(31).wrapping_add(index as u64);
            SoakCaller::new(&name, seed, index, machine.ports.callers(), ledger.clone())
        })
        .collect()
}

/// Carries out the steps of a series in the order of their times.
async fn run_series(
    series: &[PlannedFault],
    fleet: &mut SoakFleet,
    ledger: &SoakLedger,
) -> eyre::Result<()> {
    let mut steps: Vec<(Duration, usize, FaultStep)> = Vec::new();
    for (index, fault) in series.iter().enumerate() {
        let of_fault = steps_of(fault).into_iter();
        steps.extend(of_fault.map(|(at, step)| (at, index, step)));
    }
    steps.sort_by_key(|(at, _index, _step)| *at);
    let mut spans = vec![Vec::new(); series.len()];
    let started = Instant::now();
    let mut driver = FaultDriver::new(fleet, ledger);
    for (at, index, step) in steps {
        sleep_until(started + at).await;
        let fault = &series[index].fault;
        if step == FaultStep::Begin {
            spans[index] = driver.open_spans(fault);
        }
        driver.fleet.check_processes(ledger)?;
        driver.step(fault, step)?;
        if step == FaultStep::End {
            ledger.with_spans(|all| {
                for span in &spans[index] {
                    all.end(*span);
                }
            });
        }
    }
    Ok(())
}

/// Waits until every machine serves every part of the keys, and returns how
/// long that took.
async fn wait_until_served(checkers: &mut [SoakCaller], ledger: &SoakLedger) -> Duration {
    let started = Instant::now();
    let keys = (0..KEY_PARTS).map(|part| Some(part * (u16::MAX / KEY_PARTS)));
    let all: Vec<Option<u16>> = keys.chain([None]).collect();
    let mut unserved = vec![all; checkers.len()];
    loop {
        for (checker, unserved) in checkers.iter_mut().zip(&mut unserved) {
            checker.ask_for(unserved).await;
        }
        let took = started.elapsed();
        if unserved.iter().all(Vec::is_empty) {
            return took;
        }
        if took > RECOVERY_TIME {
            ledger.violation(format!(
                "RECOVER: not served {took:?} after the faults, by machine: {unserved:?}"
            ));
            return took;
        }
        sleep(RECOVERY_POLL).await;
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

fn find_panics(directory: &Path) -> eyre::Result<Vec<String>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(directory).wrap_err("cannot list the logs")? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let bytes = std::fs::read(&path).wrap_err("cannot read a log")?;
        let text = String::from_utf8_lossy(&bytes);
        let panics = text.lines().filter(|line| line.contains(PANIC));
        found.extend(panics.map(|line| format!("{}: {line}", path.display())));
    }
    Ok(found)
}
