//! Generates the faults of a run from a seed.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use winch_standin::relay::RelayDirection;

/// Index of a machine in the fleet, from 0.
pub type MachineIndex = usize;

/// Maximum start of a fault, measured from the start of its series.
const MAX_FAULT_START: Duration = Duration::from_secs(4);

/// Minimum and maximum duration of a fault, so that some are shorter and some longer
/// than leases (about 1.5 s) and than grants (up to 10 s).
const FAULT_DURATION: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(7));

/// Minimum and maximum number of faults in a series. They may overlap.
const FAULTS_PER_SERIES: (usize, usize) = (2, 5);

/// Minimum and maximum number of configurations in a burst.
const CHANGES_PER_BURST: (u32, u32) = (4, 30);

/// Probability that a series also has an upstream with a limit, that it also has a store
/// that comes back from a copy, and that it also has a crowd.
const ADDED_FAULT_PROBABILITY: f64 = 0.4;

/// Lowest and highest limit of an upstream, in requests per second.
const UPSTREAM_LIMITS: (u32, u32) = (20, 60);

/// Distinguishes the random numbers of the added faults, which leave the other faults
/// of a seed as they are.
const ADDED_FAULT_STREAM: u64 = 0x6164_6465_6421;

/// Distinguishes the random numbers of the crowds.
const CROWD_STREAM: u64 = 0x6372_6f77_6421;

/// A fault of a sidecar's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// Kills it at the start of the fault and restarts it at the end.
    Kill,
    /// Kills it and restarts it again and again until the end.
    KillAgain,
    /// Sends SIGTERM and restarts it at the end.
    Terminate,
    /// Sends SIGSTOP, and SIGCONT at the end.
    Pause,
    /// Sends SIGHUP, on which it reloads its settings, at the start and the end.
    Hangup,
}

/// A fault of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFault {
    /// Stops it without notice and starts it again at the end.
    Crash {
        /// Whether it starts under a new name; otherwise it keeps the old one.
        renamed: bool,
    },
    /// Drains it, stops it later, and starts a new one at the end.
    Drain,
    /// Adds this time to each of its requests.
    Slow(Duration),
    /// It answers a share of its requests with status 500.
    Failing,
    /// It never answers a share of its requests.
    Mute,
    /// It states this limit on the rate of its requests, in requests per second.
    Limited(u32),
}

/// A fault of a TCP link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Delays each chunk of data by this time.
    Delay(Duration),
    /// Withholds all data in a direction until the fault ends.
    Stall(RelayDirection),
    /// Resets new connections, and the existing ones once at the start.
    Refuse,
    /// Resets the existing connections.
    Reset,
}

/// A fault of the datagrams between machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramFault {
    /// Drops all datagrams to a machine.
    Deaf(MachineIndex),
    /// Drops all datagrams from a machine.
    Mute(MachineIndex),
    /// Drops all datagrams between two machines.
    Pair(MachineIndex, MachineIndex),
    /// Drops this share of all datagrams, in thousandths.
    Loss(u16),
    /// Delays all datagrams by this time.
    Delay(Duration),
}

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It refuses every call.
    Down,
    /// It never answers.
    Silent,
    /// Delays each call by this time.
    Slow(Duration),
    /// A share of the appends takes effect and is never answered.
    LoseAnswers,
    /// A share of the appends takes effect with a delay and is never answered.
    Late,
    /// Truncates the history of both topics.
    DropHistory,
    /// It comes back from a copy at the end that was made at the start.
    Restored,
}

/// A fault and its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoakFault {
    /// Faults the sidecar processes of these machines.
    Process(Vec<MachineIndex>, ProcessFault),
    /// Faults the upstream of a machine.
    Upstream(MachineIndex, UpstreamFault),
    /// Faults the link from a machine's sidecar to the store.
    StoreLink(MachineIndex, LinkFault),
    /// Faults the link from a machine's sidecar to its upstream.
    UpstreamLink(MachineIndex, LinkFault),
    /// Faults the connections from other sidecars to a machine's.
    PeerLink(MachineIndex, LinkFault),
    /// Faults the datagrams between machines.
    Datagrams(DatagramFault),
    /// Faults the store.
    Store(StoreFault),
    /// A crowd of callers stops in large bodies at a machine's sidecar.
    Crowd(MachineIndex),
    /// Writes new configurations in quick succession.
    Configuration {
        /// Number of configurations.
        changes: u32,
    },
}

impl SoakFault {
    /// Returns whether this is part of normal operation, during which no request
    /// may lose its connection.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Process(_, ProcessFault::Terminate | ProcessFault::Hangup)
                | Self::Upstream(_, UpstreamFault::Drain)
                | Self::Crowd(_)
                | Self::Configuration { .. }
        )
    }
}

/// A fault with its time in the series.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start of the fault, measured from the start of the series.
    pub start: Duration,
    /// Duration of the fault; [`fault_steps`](crate::faults::fault_steps) extends it
    /// where the fault needs more time.
    pub duration: Duration,
    /// The fault itself.
    pub fault: SoakFault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} for {:?}: {:?}",
            self.start, self.duration, self.fault
        )
    }
}

/// The faults of a run, in series that are separated by periods without faults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultPlan {
    /// The series in the order of their run; the faults of each are sorted by start.
    pub series: Vec<Vec<PlannedFault>>,
}

impl FaultPlan {
    /// Generates the plan of a seed. The same arguments give the same plan.
    pub fn generate(seed: u64, machines: usize, series: usize) -> Self {
        let mut generator = PlanGenerator {
            rng: StdRng::seed_from_u64(seed),
            added: StdRng::seed_from_u64(seed ^ ADDED_FAULT_STREAM),
            crowds: StdRng::seed_from_u64(seed ^ CROWD_STREAM),
            machines,
            used: Vec::new(),
        };
        let series = (0..series).map(|_number| generator.series()).collect();
        Self { series }
    }
}

struct PlanGenerator {
    rng: StdRng,
    /// Random numbers of the added faults.
    added: StdRng,
    /// Random numbers of the crowds.
    crowds: StdRng,
    machines: usize,
    /// Machines whose process or upstream already has a fault in this series.
    used: Vec<MachineIndex>,
}

impl PlanGenerator {
    fn series(&mut self) -> Vec<PlannedFault> {
        self.used.clear();
        let count = self
            .rng
            .random_range(FAULTS_PER_SERIES.0..=FAULTS_PER_SERIES.1);
        let mut faults: Vec<PlannedFault> = (0..count).map(|_number| self.fault()).collect();
        faults.extend(self.added_faults());
        faults.extend(self.crowd());
        faults.sort_by_key(|fault| fault.start);
        faults
    }

    fn crowd(&mut self) -> Option<PlannedFault> {
        let rng = &mut self.crowds;
        let (shortest, longest) = (FAULT_DURATION.0.as_millis(), FAULT_DURATION.1.as_millis());
        let planned = PlannedFault {
            start: Duration::from_millis(rng.random_range(0..=MAX_FAULT_START.as_millis() as u64)),
            duration: Duration::from_millis(rng.random_range(shortest as u64..=longest as u64)),
            fault: SoakFault::Crowd(rng.random_range(0..self.machines)),
        };
        rng.random_bool(ADDED_FAULT_PROBABILITY).then_some(planned)
    }

    fn added_faults(&mut self) -> Vec<PlannedFault> {
        let rng = &mut self.added;
        let limit = rng.random_range(UPSTREAM_LIMITS.0..=UPSTREAM_LIMITS.1);
        let limited = UpstreamFault::Limited(limit);
        let faults = [
            SoakFault::Upstream(rng.random_range(0..self.machines), limited),
            SoakFault::Store(StoreFault::Restored),
        ];
        let max_start = MAX_FAULT_START.as_millis() as u64;
        let (shortest, longest) = (FAULT_DURATION.0.as_millis(), FAULT_DURATION.1.as_millis());
        let planned = faults.map(|fault| {
            let start = rng.random_range(0..=max_start);
            let duration = rng.random_range(shortest as u64..=longest as u64);
            let chosen = rng.random_bool(ADDED_FAULT_PROBABILITY);
            chosen.then_some(PlannedFault {
                start: Duration::from_millis(start),
                duration: Duration::from_millis(duration),
                fault,
            })
        });
        planned.into_iter().flatten().collect()
    }

    fn fault(&mut self) -> PlannedFault {
        let start = self.time(Duration::ZERO, MAX_FAULT_START);
        let duration = self.time(FAULT_DURATION.0, FAULT_DURATION.1);
        let fault = match self.rng.random_range(0..16) {
            0..=3 => self.process_fault(),
            4 | 5 => self.upstream_fault(),
            6 => SoakFault::StoreLink(self.machine(), self.link_fault()),
            7 => SoakFault::UpstreamLink(self.machine(), self.link_fault()),
            8 => SoakFault::PeerLink(self.machine(), self.link_fault()),
            9..=11 => SoakFault::Datagrams(self.datagram_fault()),
            12 | 13 => SoakFault::Store(self.store_fault()),
            _ => SoakFault::Configuration {
                changes: self.change_count(),
            },
        };
        PlannedFault {
            start,
            duration,
            fault,
        }
    }

    fn time(&mut self, from: Duration, to: Duration) -> Duration {
        Duration::from_millis(
            self.rng
                .random_range(from.as_millis() as u64..=to.as_millis() as u64),
        )
    }

    fn machine(&mut self) -> MachineIndex {
        self.rng.random_range(0..self.machines)
    }

    /// Returns a machine without a process or upstream fault in this series and
    /// marks it as used; none if all are used.
    fn unused_machine(&mut self) -> Option<MachineIndex> {
        let free: Vec<MachineIndex> = (0..self.machines)
            .filter(|machine| !self.used.contains(machine))
            .collect();
        let machine = *free.choose(&mut self.rng)?;
        self.used.push(machine);
        Some(machine)
    }

    fn change_count(&mut self) -> u32 {
        if self.rng.random_bool(0.5) {
            1
        } else {
            self.rng
                .random_range(CHANGES_PER_BURST.0..=CHANGES_PER_BURST.1)
        }
    }

    fn process_fault(&mut self) -> SoakFault {
        let fault = *[
            ProcessFault::Kill,
            ProcessFault::Kill,
            ProcessFault::KillAgain,
            ProcessFault::Terminate,
            ProcessFault::Terminate,
            ProcessFault::Pause,
            ProcessFault::Pause,
            ProcessFault::Hangup,
        ]
        .choose(&mut self.rng)
        .unwrap_or(&ProcessFault::Kill);
        // One, half or all of the machines.
        let count = match self.rng.random_range(0..6) {
            0 => self.machines,
            1 => self.machines.div_ceil(2),
            _ => 1,
        };
        let targets: Vec<MachineIndex> = (0..count).map_while(|_n| self.unused_machine()).collect();
        SoakFault::Process(targets, fault)
    }

    fn upstream_fault(&mut self) -> SoakFault {
        let renamed = self.rng.random_bool(0.5);
        let slow = self.time(Duration::from_millis(20), Duration::from_millis(400));
        let Some(machine) = self.unused_machine() else {
            return SoakFault::Store(StoreFault::Down);
        };
        let fault = *[
            UpstreamFault::Crash { renamed },
            UpstreamFault::Crash { renamed },
            UpstreamFault::Drain,
            UpstreamFault::Slow(slow),
            UpstreamFault::Failing,
            UpstreamFault::Mute,
        ]
        .choose(&mut self.rng)
        .unwrap_or(&UpstreamFault::Drain);
        SoakFault::Upstream(machine, fault)
    }

    fn link_fault(&mut self) -> LinkFault {
        let direction = *[
            RelayDirection::Forward,
            RelayDirection::Back,
            RelayDirection::Both,
        ]
        .choose(&mut self.rng)
        .unwrap_or(&RelayDirection::Both);
        let delay = self.time(Duration::from_millis(5), Duration::from_millis(300));
        match self.rng.random_range(0..4) {
            0 => LinkFault::Delay(delay),
            1 => LinkFault::Stall(direction),
            2 => LinkFault::Refuse,
            _ => LinkFault::Reset,
        }
    }

    fn datagram_fault(&mut self) -> DatagramFault {
        let (first, second) = (self.machine(), self.machine());
        let loss = self.rng.random_range(20..=400);
        let delay = self.time(Duration::from_millis(5), Duration::from_millis(250));
        match self.rng.random_range(0..5) {
            0 => DatagramFault::Deaf(first),
            1 => DatagramFault::Mute(first),
            2 => DatagramFault::Pair(first, second),
            3 => DatagramFault::Loss(loss),
            _ => DatagramFault::Delay(delay),
        }
    }

    fn store_fault(&mut self) -> StoreFault {
        let slow = self.time(Duration::from_millis(50), Duration::from_millis(400));
        match self.rng.random_range(0..6) {
            0 => StoreFault::Down,
            1 => StoreFault::Silent,
            2 => StoreFault::Slow(slow),
            3 => StoreFault::LoseAnswers,
            4 => StoreFault::Late,
            _ => StoreFault::DropHistory,
        }
    }
}
