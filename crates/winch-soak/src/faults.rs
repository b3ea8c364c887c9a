//! Carries out faults and undoes them.

use std::time::Duration;

use tokio::time::Instant;
use winch_bench::fleet::process::ProcessSignal;
use winch_standin::keyed_standin::KeyedFaults;
use winch_standin::relay::RelayFaults;
use winch_standin::relay::TcpRelay;
use winch_standin::sidecar_files::FLEET_TOPIC;
use winch_standin::sidecar_files::OPERATOR_TOPIC;
use winch_standin::store_standin::StoreFaults;

use crate::fleet::SoakFleet;
use crate::ledger::SoakLedger;
use crate::plan::LinkFault;
use crate::plan::MachineIndex;
use crate::plan::PlannedFault;
use crate::plan::ProcessFault;
use crate::plan::SoakFault;
use crate::plan::StoreFault;
use crate::plan::UpstreamFault;
use crate::spans::FaultTarget;
use crate::spans::SpanNumber;

/// Time to leave, as in the settings of the fleet.
const GRACE: Duration = Duration::from_secs(3);

/// Time after its grace by which a process has ended.
const GRACE_MARGIN: Duration = Duration::from_secs(1);

/// Longer than any series.
const LONGEST_SERIES: Duration = Duration::from_mins(1);

/// Time for which grants that were sent before a freeze or a cut may still
/// arrive after it: the platform's bound for them.
const THAW: Duration = Duration::from_millis(300);

/// Pause between two kills of a process that is killed again and again.
const AGAIN_PAUSE: Duration = Duration::from_millis(700);

/// Pause between two configurations of a storm.
const STORM_PAUSE: Duration = Duration::from_millis(80);

/// Time that a leaving upstream goes on after it has announced that.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Part of the requests or appends that a failing stand-in spoils.
const SPOILT_PART: f64 = 0.3;

/// Longest time after which a late append takes effect.
const LATEST_APPEND: Duration = Duration::from_secs(6);

/// A part of a fault, at a time after the series began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultStep {
    /// It begins.
    Begin,
    /// It strikes again.
    Again,
    /// It ends.
    End,
}

/// Returns the steps of a fault with their times.
pub fn steps_of(planned: &PlannedFault) -> Vec<(Duration, FaultStep)> {
    let least = match &planned.fault {
        SoakFault::Process(_, ProcessFault::Terminate) => GRACE + GRACE_MARGIN,
        SoakFault::Upstream(_, UpstreamFault::Drain) => DRAIN_TIME + STORM_PAUSE,
        SoakFault::Configuration { changes } => STORM_PAUSE * *changes,
        _ => Duration::ZERO,
    };
    let lasts = planned.lasts.max(least);
    let pause = match &planned.fault {
        SoakFault::Process(_, ProcessFault::KillAgain) => Some(AGAIN_PAUSE),
        SoakFault::Configuration { .. } => Some(STORM_PAUSE),
        SoakFault::Upstream(_, UpstreamFault::Drain) => Some(DRAIN_TIME),
        _ => None,
    };
    let mut steps = vec![(planned.at, FaultStep::Begin)];
    if let Some(pause) = pause {
        let again = (1..).map(|number| pause * number);
        let again = again.take_while(|at| *at < lasts);
        steps.extend(again.map(|at| (planned.at + at, FaultStep::Again)));
    }
    steps.push((planned.at + lasts, FaultStep::End));
    steps
}

/// Carries out the faults of one series.
#[derive(Debug)]
pub struct FaultDriver<'a> {
    /// What is harmed.
    pub fleet: &'a mut SoakFleet,
    /// Who is told.
    pub ledger: &'a SoakLedger,
    /// The present store faults; those of a series add up.
    store: StoreFaults,
}

impl<'a> FaultDriver<'a> {
    /// Creates the driver of a series.
    pub fn new(fleet: &'a mut SoakFleet, ledger: &'a SoakLedger) -> Self {
        Self {
            fleet,
            ledger,
            store: StoreFaults::default(),
        }
    }

    /// Notes that a fault begins, unless it is planned work.
    pub fn open_spans(&self, fault: &SoakFault) -> Vec<SpanNumber> {
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
            SoakFault::Configuration { .. } => Vec::new(),
        };
        self.ledger
            .with_spans(|spans| targets.iter().map(|target| spans.begin(*target)).collect())
    }

    /// Carries out one step of a fault.
    ///
    /// # Errors
    ///
    /// Fails if a program or a stand-in cannot be started.
    pub fn step(&mut self, fault: &SoakFault, step: FaultStep) -> eyre::Result<()> {
        match fault {
            SoakFault::Process(machines, harm) => {
                for machine in machines {
                    self.step_process(*machine, *harm, step)?;
                }
            }
            SoakFault::Upstream(machine, harm) => {
                self.step_upstream(*machine, *harm, step)?;
            }
            SoakFault::StoreLink(machine, harm) => {
                step_link(&self.fleet.machines[*machine].store_link, *harm, step);
            }
            SoakFault::PeerLink(machine, harm) => {
                step_link(&self.fleet.machines[*machine].peer_link, *harm, step);
            }
            SoakFault::UpstreamLink(machine, harm) => {
                step_link(&self.fleet.machines[*machine].upstream_link, *harm, step);
                self.excuse_grants(*machine, step);
            }
            SoakFault::Datagrams(harm) => match step {
                FaultStep::Begin => self.fleet.datagrams.begin(*harm),
                FaultStep::End => self.fleet.datagrams.end(*harm),
                FaultStep::Again => {}
            },
            SoakFault::Store(harm) => self.step_store(*harm, step),
            SoakFault::Configuration { .. } => {
                if step != FaultStep::End {
                    self.fleet.change_configuration(self.ledger);
                }
            }
        }
        Ok(())
    }

    /// Grants that a harmed link holds up are not held against their sender.
    fn excuse_grants(&self, machine: MachineIndex, step: FaultStep) {
        let until = if step == FaultStep::End {
            THAW
        } else {
            LONGEST_SERIES
        };
        self.fleet.excuse(machine, Instant::now() + until);
    }

    fn step_process(
        &mut self,
        machine: MachineIndex,
        harm: ProcessFault,
        step: FaultStep,
    ) -> eyre::Result<()> {
        match (harm, step) {
            (ProcessFault::Kill | ProcessFault::KillAgain, FaultStep::Begin) => {
                self.fleet.kill(machine);
            }
            (ProcessFault::KillAgain, FaultStep::Again) => {
                self.fleet.restart(machine, self.ledger)?;
                // Every second life is too short to reach the store.
                if rand::random() {
                    self.fleet.kill(machine);
                }
            }
            (ProcessFault::Kill | ProcessFault::KillAgain, FaultStep::End) => {
                self.fleet.restart(machine, self.ledger)?;
            }
            (ProcessFault::Terminate, FaultStep::Begin) => {
                self.fleet.machines[machine].runs = false;
                self.fleet.signal(machine, ProcessSignal::Terminate)?;
            }
            (ProcessFault::Terminate, FaultStep::End) => {
                let struck = &mut self.fleet.machines[machine];
                if struck.process.is_running() {
                    self.ledger.violation(format!(
                        "DRAIN: machine {machine} runs {:?} after SIGTERM",
                        GRACE + GRACE_MARGIN
                    ));
                }
                self.fleet.restart(machine, self.ledger)?;
            }
            (ProcessFault::Pause, FaultStep::Begin) => {
                self.fleet.signal(machine, ProcessSignal::Stop)?;
            }
            (ProcessFault::Pause, FaultStep::End) => {
                self.fleet.excuse(machine, Instant::now() + THAW);
                self.fleet.signal(machine, ProcessSignal::Continue)?;
            }
            (ProcessFault::Hangup, FaultStep::Begin | FaultStep::End) => {
                self.fleet.signal(machine, ProcessSignal::Hangup)?;
            }
            (_, FaultStep::Again) => {}
        }
        Ok(())
    }

    fn step_upstream(
        &mut self,
        machine: MachineIndex,
        harm: UpstreamFault,
        step: FaultStep,
    ) -> eyre::Result<()> {
        let struck = &mut self.fleet.machines[machine];
        let faults = match (harm, step) {
            (UpstreamFault::Crash { .. }, FaultStep::Begin)
            | (UpstreamFault::Drain, FaultStep::Again) => {
                struck.upstream = None;
                return Ok(());
            }
            (UpstreamFault::Drain, FaultStep::Begin) => {
                if let Some(upstream) = &struck.upstream {
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
            (_, FaultStep::Again) => return Ok(()),
            (UpstreamFault::Slow(slower), FaultStep::Begin) => KeyedFaults {
                slower,
                ..KeyedFaults::default()
            },
            (UpstreamFault::Failing, FaultStep::Begin) => KeyedFaults {
                fail: SPOILT_PART,
                ..KeyedFaults::default()
            },
            (UpstreamFault::Mute, FaultStep::Begin) => KeyedFaults {
                lose_answer: SPOILT_PART,
                ..KeyedFaults::default()
            },
        };
        if let Some(upstream) = &struck.upstream {
            upstream.set_faults(faults);
        }
        Ok(())
    }

    fn step_store(&mut self, harm: StoreFault, step: FaultStep) {
        let begins = step == FaultStep::Begin;
        let while_on = |time: Duration| if begins { time } else { Duration::ZERO };
        let part = if begins { SPOILT_PART } else { 0.0 };
        match harm {
            StoreFault::Down => self.store.down = begins,
            StoreFault::Silent => self.store.silent = begins,
            StoreFault::Slow(delay) => self.store.delay = while_on(delay),
            StoreFault::LoseAnswers => self.store.lose_answer = part,
            StoreFault::Late => {
                self.store.lose_answer = part;
                self.store.late = while_on(LATEST_APPEND);
            }
            StoreFault::DropHistory => {
                self.fleet.store.drop_history(FLEET_TOPIC);
                self.fleet.store.drop_history(OPERATOR_TOPIC);
            }
        }
        self.fleet.store.set_faults(self.store);
    }
}

fn step_link(link: &TcpRelay, harm: LinkFault, step: FaultStep) {
    let healthy = RelayFaults::default();
    let faults = match (harm, step) {
        (_, FaultStep::End | FaultStep::Again) | (LinkFault::Reset, _) => healthy,
        (LinkFault::Delay(delay), FaultStep::Begin) => RelayFaults { delay, ..healthy },
        (LinkFault::Stall(direction), FaultStep::Begin) => RelayFaults {
            stalled: Some(direction),
            ..healthy
        },
        (LinkFault::Refuse, FaultStep::Begin) => RelayFaults {
            refuse: true,
            ..healthy
        },
    };
    link.set_faults(faults);
    if step == FaultStep::Begin && matches!(harm, LinkFault::Refuse | LinkFault::Reset) {
        link.reset();
    }
}
