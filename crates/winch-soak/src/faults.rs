//! Injects faults and ends them.

use std::time::Duration;

use tokio::time::Instant;
use winch_bench::fleet::process::ProcessSignal;
use winch_standin::keyed_standin::KeyedFaults;
use winch_standin::relay::RelayFaults;
use winch_standin::relay::TcpRelay;
use winch_standin::sidecar_files::FLEET_TOPIC;
use winch_standin::sidecar_files::OPERATOR_TOPIC;
use winch_standin::store_standin::StoreCopy;
use winch_standin::store_standin::StoreFaults;

use crate::crowd::StalledCrowd;
use crate::fault_history::FaultTarget;
use crate::fault_history::SpanIndex;
use crate::fleet::SoakFleet;
use crate::ledger::SoakLedger;
use crate::plan::LinkFault;
use crate::plan::MachineIndex;
use crate::plan::PlannedFault;
use crate::plan::ProcessFault;
use crate::plan::SoakFault;
use crate::plan::StoreFault;
use crate::plan::UpstreamFault;

/// Shutdown grace period of the sidecars, the default of
/// [`SidecarFile`](winch_standin::sidecar_files::SidecarFile).
const SHUTDOWN_GRACE: Duration = Duration::from_secs(3);

/// Memory that a sidecar may use by its default settings, in bytes.
const MEMORY_BYTES: u64 = 160_000_000;

/// Time after the grace period by which a process must have ended.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(1);

/// Longer than any series takes.
const MAX_SERIES_TIME: Duration = Duration::from_mins(1);

/// Time after a pause or a link fault for which grants that were sent before it may
/// still arrive: the platform's bound for them.
const MAX_GRANT_DELAY: Duration = Duration::from_millis(300);

/// Interval between restarts of a process that is killed repeatedly.
const KILL_INTERVAL: Duration = Duration::from_millis(700);

/// Interval between configurations that are written in quick succession.
const CHANGE_INTERVAL: Duration = Duration::from_millis(80);

/// Time that an upstream still runs after it has announced that it drains.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Share of the requests or appends that a faulty stand-in fails or doesn't answer.
const FAULTY_SHARE: f64 = 0.3;

/// Maximum delay of a late append.
const MAX_APPEND_DELAY: Duration = Duration::from_secs(6);

/// A step of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultStep {
    /// The fault begins.
    Begin,
    /// The fault takes its next repeated action.
    Repeat,
    /// The fault ends.
    End,
}

/// Returns the steps of a fault with their times, measured from the start of the
/// series. The fault is extended if it needs more time than planned.
pub fn fault_steps(planned: &PlannedFault) -> Vec<(Duration, FaultStep)> {
    let min_duration = match &planned.fault {
        SoakFault::Process(_, ProcessFault::Terminate) => SHUTDOWN_GRACE + SHUTDOWN_MARGIN,
        SoakFault::Upstream(_, UpstreamFault::Drain) => DRAIN_TIME + CHANGE_INTERVAL,
        SoakFault::Configuration { changes } => CHANGE_INTERVAL * *changes,
        _ => Duration::ZERO,
    };
    let duration = planned.duration.max(min_duration);
    let interval = match &planned.fault {
        SoakFault::Process(_, ProcessFault::KillAgain) => Some(KILL_INTERVAL),
        SoakFault::Configuration { .. } => Some(CHANGE_INTERVAL),
        SoakFault::Upstream(_, UpstreamFault::Drain) => Some(DRAIN_TIME),
        _ => None,
    };
    let mut steps = vec![(planned.start, FaultStep::Begin)];
    if let Some(interval) = interval {
        let repeats = (1..).map(|number| interval * number);
        let repeats = repeats.take_while(|at| *at < duration);
        steps.extend(repeats.map(|at| (planned.start + at, FaultStep::Repeat)));
    }
    steps.push((planned.start + duration, FaultStep::End));
    steps
}

/// Injects the faults of one series.
#[derive(Debug)]
pub struct FaultInjector<'a> {
    /// Fleet into which faults are injected.
    pub fleet: &'a mut SoakFleet,
    /// Ledger that records the faults.
    pub ledger: &'a SoakLedger,
    /// Combination of the active store faults.
    store: StoreFaults,
    /// The copy that the store comes back from.
    copy: Option<StoreCopy>,
    /// The crowds at the machines.
    crowds: Vec<(MachineIndex, StalledCrowd)>,
}

impl<'a> FaultInjector<'a> {
    /// Creates the injector for one series, without active faults.
    pub fn new(fleet: &'a mut SoakFleet, ledger: &'a SoakLedger) -> Self {
        Self {
            fleet,
            ledger,
            store: StoreFaults::default(),
            copy: None,
            crowds: Vec::new(),
        }
    }

    /// Records that a fault begins and returns its spans, none for a planned
    /// operation.
    pub fn record_begin(&self, fault: &SoakFault) -> Vec<SpanIndex> {
        if fault.is_planned() {
            return Vec::new();
        }
        let targets: Vec<FaultTarget> = match fault {
            SoakFault::Process(machines, _) => {
                machines.iter().copied().map(FaultTarget::Machine).collect()
            }
            SoakFault::Upstream(machine, _)
            | SoakFault::StoreLink(machine, _)
            | SoakFault::UpstreamLink(machine, _)
            | SoakFault::PeerLink(machine, _) => vec![FaultTarget::Machine(*machine)],
            SoakFault::Datagrams(_) => vec![FaultTarget::All],
            SoakFault::Store(_) => vec![FaultTarget::Store],
            SoakFault::Crowd(_) | SoakFault::Configuration { .. } => Vec::new(),
        };
        self.ledger
            .with_fault_history(|spans| targets.iter().map(|target| spans.begin(*target)).collect())
    }

    /// Performs one step of a fault.
    ///
    /// # Errors
    ///
    /// Fails if a process or a stand-in cannot be started, or a signal cannot be
    /// sent.
    pub fn step(&mut self, fault: &SoakFault, step: FaultStep) -> eyre::Result<()> {
        match fault {
            SoakFault::Process(machines, kind) => {
                for machine in machines {
                    self.step_process(*machine, *kind, step)?;
                }
            }
            SoakFault::Upstream(machine, kind) => {
                self.step_upstream(*machine, *kind, step)?;
            }
            SoakFault::StoreLink(machine, kind) => {
                step_link(&self.fleet.machines[*machine].store_link, *kind, step);
            }
            SoakFault::PeerLink(machine, kind) => {
                step_link(&self.fleet.machines[*machine].peer_link, *kind, step);
            }
            SoakFault::UpstreamLink(machine, kind) => {
                step_link(&self.fleet.machines[*machine].upstream_link, *kind, step);
                self.ignore_delayed_grants(*machine, step);
            }
            SoakFault::Datagrams(kind) => match step {
                FaultStep::Begin => self.fleet.datagrams.begin(*kind),
                FaultStep::End => self.fleet.datagrams.end(*kind),
                FaultStep::Repeat => {}
            },
            SoakFault::Store(kind) => self.step_store(*kind, step),
            SoakFault::Crowd(machine) => self.step_crowd(*machine, step)?,
            SoakFault::Configuration { .. } => {
                if step != FaultStep::End {
                    self.fleet.change_configuration(self.ledger);
                }
            }
        }
        Ok(())
    }

    fn step_crowd(&mut self, machine: MachineIndex, step: FaultStep) -> eyre::Result<()> {
        let target = &mut self.fleet.machines[machine];
        if step == FaultStep::Begin {
            let crowd = StalledCrowd::start(target.ports.callers());
            self.crowds.push((machine, crowd));
        } else if step == FaultStep::End {
            // A process that a fault has ended uses no memory.
            if target.process.is_running() {
                let used = target.process.usage()?.resident_bytes;
                if used > MEMORY_BYTES {
                    self.ledger.record_violation(format!(
                        "MEMORY: machine {machine} uses {used} of {MEMORY_BYTES} bytes"
                    ));
                }
            }
            self.crowds.retain(|(other, _crowd)| *other != machine);
        }
        Ok(())
    }

    /// Ignores violations by grants that a faulty link may have delayed.
    fn ignore_delayed_grants(&self, machine: MachineIndex, step: FaultStep) {
        let until = if step == FaultStep::End {
            MAX_GRANT_DELAY
        } else {
            MAX_SERIES_TIME
        };
        self.fleet
            .ignore_grants_until(machine, Instant::now() + until);
    }

    fn step_process(
        &mut self,
        machine: MachineIndex,
        kind: ProcessFault,
        step: FaultStep,
    ) -> eyre::Result<()> {
        match (kind, step) {
            (ProcessFault::Kill | ProcessFault::KillAgain, FaultStep::Begin) => {
                self.fleet.kill(machine);
            }
            (ProcessFault::KillAgain, FaultStep::Repeat) => {
                self.fleet.restart(machine, self.ledger)?;
                // In half of the cases, the process is killed before it can reach the
                // store.
                if rand::random() {
                    self.fleet.kill(machine);
                }
            }
            (ProcessFault::Kill | ProcessFault::KillAgain, FaultStep::End) => {
                self.fleet.restart(machine, self.ledger)?;
            }
            (ProcessFault::Terminate, FaultStep::Begin) => {
                self.fleet.machines[machine].expected_running = false;
                self.fleet.signal(machine, ProcessSignal::Terminate)?;
            }
            (ProcessFault::Terminate, FaultStep::End) => {
                let target = &mut self.fleet.machines[machine];
                if target.process.is_running() {
                    self.ledger.record_violation(format!(
                        "DRAIN: machine {machine} still runs {:?} after SIGTERM",
                        SHUTDOWN_GRACE + SHUTDOWN_MARGIN
                    ));
                }
                self.fleet.restart(machine, self.ledger)?;
            }
            (ProcessFault::Pause, FaultStep::Begin) => {
                self.fleet.signal(machine, ProcessSignal::Stop)?;
            }
            (ProcessFault::Pause, FaultStep::End) => {
                self.fleet
                    .ignore_grants_until(machine, Instant::now() + MAX_GRANT_DELAY);
                self.fleet.signal(machine, ProcessSignal::Continue)?;
            }
            (ProcessFault::Hangup, FaultStep::Begin | FaultStep::End) => {
                self.fleet.signal(machine, ProcessSignal::Hangup)?;
            }
            (_, FaultStep::Repeat) => {}
        }
        Ok(())
    }

    fn step_upstream(
        &mut self,
        machine: MachineIndex,
        kind: UpstreamFault,
        step: FaultStep,
    ) -> eyre::Result<()> {
        let target = &mut self.fleet.machines[machine];
        let faults = match (kind, step) {
            (UpstreamFault::Crash { .. }, FaultStep::Begin)
            | (UpstreamFault::Drain, FaultStep::Repeat) => {
                target.upstream = None;
                return Ok(());
            }
            (UpstreamFault::Drain, FaultStep::Begin) => {
                if let Some(upstream) = &target.upstream {
                    upstream.drain();
                }
                return Ok(());
            }
            (UpstreamFault::Crash { renamed }, FaultStep::End) => {
                return self.fleet.start_upstream(machine, renamed);
            }
            (UpstreamFault::Drain, FaultStep::End) => {
                return self.fleet.start_upstream(machine, true);
            }
            (_, FaultStep::End) => KeyedFaults::default(),
            (_, FaultStep::Repeat) => return Ok(()),
            (UpstreamFault::Slow(extra_time), FaultStep::Begin) => KeyedFaults {
                extra_time,
                ..KeyedFaults::default()
            },
            (UpstreamFault::Failing, FaultStep::Begin) => KeyedFaults {
                fail: FAULTY_SHARE,
                ..KeyedFaults::default()
            },
            (UpstreamFault::Mute, FaultStep::Begin) => KeyedFaults {
                lose_response: FAULTY_SHARE,
                ..KeyedFaults::default()
            },
            (UpstreamFault::Limited(limit), FaultStep::Begin) => KeyedFaults {
                rate_limit: Some(f64::from(limit)),
                ..KeyedFaults::default()
            },
        };
        if let Some(upstream) = &target.upstream {
            upstream.set_faults(faults);
        }
        Ok(())
    }

    fn step_store(&mut self, kind: StoreFault, step: FaultStep) {
        let begins = step == FaultStep::Begin;
        let if_begins = |time: Duration| if begins { time } else { Duration::ZERO };
        let share = if begins { FAULTY_SHARE } else { 0.0 };
        match kind {
            StoreFault::Down => self.store.down = begins,
            StoreFault::Silent => self.store.silent = begins,
            StoreFault::Slow(delay) => self.store.delay = if_begins(delay),
            StoreFault::LoseAnswers => self.store.lose_response = share,
            StoreFault::Late => {
                self.store.lose_response = share;
                self.store.max_append_delay = if_begins(MAX_APPEND_DELAY);
            }
            StoreFault::DropHistory => {
                self.fleet.store.truncate_history(FLEET_TOPIC);
                self.fleet.store.truncate_history(OPERATOR_TOPIC);
            }
            StoreFault::Restored if begins => self.copy = Some(self.fleet.store.copy()),
            StoreFault::Restored => {
                if let Some(copy) = self.copy.take() {
                    self.fleet.restore_store(copy);
                }
            }
        }
        self.fleet.store.set_faults(self.store);
    }
}

fn step_link(link: &TcpRelay, kind: LinkFault, step: FaultStep) {
    let no_faults = RelayFaults::default();
    let faults = match (kind, step) {
        (_, FaultStep::End | FaultStep::Repeat) | (LinkFault::Reset, _) => no_faults,
        (LinkFault::Delay(delay), FaultStep::Begin) => RelayFaults { delay, ..no_faults },
        (LinkFault::Stall(direction), FaultStep::Begin) => RelayFaults {
            stalled: Some(direction),
            ..no_faults
        },
        (LinkFault::Refuse, FaultStep::Begin) => RelayFaults {
            refuse: true,
            ..no_faults
        },
    };
    link.set_faults(faults);
    if step == FaultStep::Begin && matches!(kind, LinkFault::Refuse | LinkFault::Reset) {
        link.reset();
    }
}
