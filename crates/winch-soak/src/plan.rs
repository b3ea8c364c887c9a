//! Which faults a seed stands for.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use winch_standin::relay::SilentDirection;

/// Index of a machine.
pub type MachineIndex = usize;

/// When the faults of a series begin, after the series does.
const BEGIN_WITHIN: Duration = Duration::from_secs(4);

/// How long a fault lasts: shorter and longer than leases, which hold about
/// 1.5 s, and than grants, which hold up to 10 s.
const FAULT_TIME: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(7));

/// How many faults overlap in a series.
const SERIES_FAULTS: (usize, usize) = (2, 5);

/// Changes of a storm of configurations.
const STORM_CHANGES: (u32, u32) = (4, 30);

/// How a process is harmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// Killed, and started again at the end.
    Kill,
    /// Killed and started again at once, until the end.
    KillAgain,
    /// Asked to leave, and started again at the end.
    Terminate,
    /// Stopped until the end.
    Pause,
    /// Asked to read its settings again.
    Hangup,
}

/// How an upstream is harmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFault {
    /// It ends, and starts again at the end, with a new name or its old one.
    Crash {
        /// Whether the name is new.
        renamed: bool,
    },
    /// It leaves, ends later, and a new one starts at the end.
    Drain,
    /// Its requests take this much longer.
    Slow(Duration),
    /// It answers a part of its requests with failures.
    Failing,
    /// It does not answer a part of its requests.
    Mute,
}

/// How a TCP link is harmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Everything is held up.
    Delay(Duration),
    /// Nothing arrives in a direction.
    Stall(SilentDirection),
    /// New connections are reset, and the present ones are reset once.
    Refuse,
    /// The present connections are reset.
    Reset,
}

/// How datagrams between machines are harmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramFault {
    /// A machine gets none.
    Deaf(MachineIndex),
    /// None of a machine's arrive.
    Mute(MachineIndex),
    /// Two machines do not hear each other.
    Pair(MachineIndex, MachineIndex),
    /// This part of them is lost, in thousandths.
    Loss(u16),
    /// They are held up for as long.
    Delay(Duration),
}

/// How the store is harmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It refuses every call.
    Down,
    /// It answers nothing.
    Silent,
    /// Its answers take this much longer.
    Slow(Duration),
    /// A part of the appends takes effect and is not answered.
    LoseAnswers,
    /// A part of the appends takes effect late and is not answered.
    Late,
    /// The history of both topics is dropped.
    DropHistory,
}

/// A fault, and where it strikes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoakFault {
    /// Harm to processes.
    Process(Vec<MachineIndex>, ProcessFault),
    /// Harm to an upstream.
    Upstream(MachineIndex, UpstreamFault),
    /// Harm to the link to the store.
    StoreLink(MachineIndex, LinkFault),
    /// Harm to the link to the upstream.
    UpstreamLink(MachineIndex, LinkFault),
    /// Harm to connections from other sidecars.
    PeerLink(MachineIndex, LinkFault),
    /// Harm to datagrams.
    Datagrams(DatagramFault),
    /// Harm to the store.
    Store(StoreFault),
    /// New configurations.
    Configuration {
        /// How many.
        changes: u32,
    },
}

impl SoakFault {
    /// Tells whether an operator does this in the course of normal work, during
    /// which no request may be cut.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Process(_, ProcessFault::Terminate | ProcessFault::Hangup)
                | Self::Upstream(_, UpstreamFault::Drain)
                | Self::Configuration { .. }
        )
    }
}

/// A fault of a series.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it begins, after the series does.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: SoakFault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} for {:?}: {:?}", self.at, self.lasts, self.fault)
    }
}

/// The faults of a run, in series with a rest after each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultPlan {
    /// The series.
    pub series: Vec<Vec<PlannedFault>>,
}

impl FaultPlan {
    /// Draws the plan of a seed for a number of machines.
    pub fn draw(seed: u64, machines: usize, series: usize) -> Self {
        let mut draw = PlanDraw {
            rng: StdRng::seed_from_u64(seed),
            machines,
            taken: Vec::new(),
        };
        let series = (0..series).map(|_number| draw.series()).collect();
        Self { series }
    }
}

struct PlanDraw {
    rng: StdRng,
    machines: usize,
    /// Machines whose process or upstream is harmed in this series already.
    taken: Vec<MachineIndex>,
}

impl PlanDraw {
    fn series(&mut self) -> Vec<PlannedFault> {
        self.taken.clear();
        let count = self.rng.random_range(SERIES_FAULTS.0..=SERIES_FAULTS.1);
        let mut faults: Vec<PlannedFault> = (0..count).map(|_number| self.fault()).collect();
        faults.sort_by_key(|fault| fault.at);
        faults
    }

    fn fault(&mut self) -> PlannedFault {
        let at = self.time(Duration::ZERO, BEGIN_WITHIN);
        let lasts = self.time(FAULT_TIME.0, FAULT_TIME.1);
        let fault = match self.rng.random_range(0..16) {
            0..=3 => self.process_fault(),
            4 | 5 => self.upstream_fault(),
            6 => SoakFault::StoreLink(self.machine(), self.link_fault()),
            7 => SoakFault::UpstreamLink(self.machine(), self.link_fault()),
            8 => SoakFault::PeerLink(self.machine(), self.link_fault()),
            9..=11 => SoakFault::Datagrams(self.datagram_fault()),
            12 | 13 => SoakFault::Store(self.store_fault()),
            _ => SoakFault::Configuration {
                changes: self.storm(),
            },
        };
        PlannedFault { at, lasts, fault }
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

    /// Returns a machine that no other process or upstream fault has taken; none
    /// if all are.
    fn fresh_machine(&mut self) -> Option<MachineIndex> {
        let free: Vec<MachineIndex> = (0..self.machines)
            .filter(|machine| !self.taken.contains(machine))
            .collect();
        let machine = *free.choose(&mut self.rng)?;
        self.taken.push(machine);
        Some(machine)
    }

    fn storm(&mut self) -> u32 {
        if self.rng.random_bool(0.5) {
            1
        } else {
            self.rng.random_range(STORM_CHANGES.0..=STORM_CHANGES.1)
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
        // One, a few or all of them.
        let count = match self.rng.random_range(0..6) {
            0 => self.machines,
            1 => self.machines.div_ceil(2),
            _ => 1,
        };
        let struck: Vec<MachineIndex> = (0..count).map_while(|_n| self.fresh_machine()).collect();
        SoakFault::Process(struck, fault)
    }

    fn upstream_fault(&mut self) -> SoakFault {
        let renamed = self.rng.random_bool(0.5);
        let slow = self.time(Duration::from_millis(20), Duration::from_millis(400));
        let Some(machine) = self.fresh_machine() else {
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
            SilentDirection::Forward,
            SilentDirection::Back,
            SilentDirection::Both,
        ]
        .choose(&mut self.rng)
        .unwrap_or(&SilentDirection::Both);
        let delay = self.time(Duration::from_millis(5), Duration::from_millis(300));
        match self.rng.random_range(0..4) {
            0 => LinkFault::Delay(delay),
            1 => LinkFault::Stall(direction),
            2 => LinkFault::Refuse,
            _ => LinkFault::Reset,
        }
    }

    fn datagram_fault(&mut self) -> DatagramFault {
        let (one, other) = (self.machine(), self.machine());
        let loss = self.rng.random_range(20..=400);
        let delay = self.time(Duration::from_millis(5), Duration::from_millis(250));
        match self.rng.random_range(0..5) {
            0 => DatagramFault::Deaf(one),
            1 => DatagramFault::Mute(one),
            2 => DatagramFault::Pair(one, other),
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
