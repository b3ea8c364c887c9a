//! Random walks of a simulated fleet, with lost, delayed and duplicated
//! messages, pauses, partitions, clock drift, log outages, restarts, moves and
//! witness changes at the same time. No chain may ever have two owners.
//!
//! `WINCH_WALK_SEEDS` sets the number of seeds to run; 12 by default.

use std::collections::BTreeMap;

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::ownership::rules::LeaseRules;
use buckthornwinch::ownership::rules::SoundRules;
use buckthornwinch::ownership::timing::LeaseTiming;
use buckthornwinch::state::record::ChainAppend;
use buckthornwinch::state::record::LogRecord;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::incarnation;
use winch_test_support::ownership_simulation::MessageEnvelope;
use winch_test_support::ownership_simulation::OwnershipSimulation;
use winch_test_support::ownership_simulation::SimulationCounts;
use winch_test_support::records::slice;

const NODES: u16 = 7;
const SLICES: u16 = 3;
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 30_000;
const DEFAULT_SEEDS: u64 = 12;

/// Time between two repairs of witness sets and chains.
const REPAIR_INTERVAL_MS: u64 = 200;

/// Number of witnesses of each process.
const WITNESS_COUNT: usize = 3;

/// Maximum number of holders of a chain.
const MAX_CHAIN_LENGTH: usize = 4;

/// Times at which a process ticks next and at which its faults end, in
/// milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct FaultSchedule {
    next_tick: u64,
    paused_until: u64,
    cut_in_until: u64,
    cut_out_until: u64,
    log_cut_until: u64,
}

struct RandomWalk<R> {
    random: SmallRng,
    simulation: OwnershipSimulation<R>,
    faults: BTreeMap<Incarnation, FaultSchedule>,
    /// Messages in transit, with the time at which each arrives.
    in_flight: Vec<(u64, MessageEnvelope)>,
    log_down_until: u64,
}

impl<R: LeaseRules> RandomWalk<R> {
    fn new(seed: u64) -> Self {
        let mut log = FleetLog::with_nodes(NODES);
        for node in 2..=NODES {
            let witness = |step: u16| 2 + (node - 2 + step) % (NODES - 1);
            log.name_witnesses(node, &[witness(1), witness(2), witness(3)]);
        }
        for index in 0..SLICES {
            log.assign(&slice(index), &[2 + index, 3 + index, 4 + index]);
        }
        let members: Vec<Incarnation> = (2..=NODES).map(incarnation).collect();
        let mut walk = Self {
            random: SmallRng::seed_from_u64(seed),
            simulation: OwnershipSimulation::new(log, &members, LeaseTiming::default()),
            faults: BTreeMap::new(),
            in_flight: Vec::new(),
            log_down_until: 0,
        };
        for member in members {
            walk.drift(member);
        }
        walk
    }

    /// Makes a process's clocks run up to 3 % fast or slow.
    fn drift(&mut self, member: Incarnation) {
        let rate = self.random.random_range(970..=1030);
        if let Some(process) = self.simulation.processes.get_mut(&member) {
            process.rate = rate;
        }
    }

    fn run(mut self) -> OwnershipSimulation<R> {
        while self.simulation.now < LENGTH_MS && self.simulation.violation.is_none() {
            self.simulation.now += STEP_MS;
            self.simulation.check_owners();
            self.apply_random_event();
            let members: Vec<Incarnation> = self.simulation.processes.keys().copied().collect();
            for member in members {
                self.run_process(member);
            }
            self.deliver_due();
        }
        self.simulation
    }

    fn run_process(&mut self, member: Incarnation) {
        let now = self.simulation.now;
        let jitter = self.random.random_range(0..20);
        let faults = self.faults.entry(member).or_default();
        if faults.paused_until > now {
            return;
        }
        let reads = faults.log_cut_until <= now && self.log_down_until <= now;
        let ticks = faults.next_tick <= now;
        if ticks {
            faults.next_tick = now + 40 + jitter;
        }
        if reads && self.random.random_bool(0.3) {
            self.simulation.fold_one(member);
        } else if reads && self.random.random_bool(0.1) {
            self.simulation.fold(member);
        }
        if ticks {
            self.simulation.tick(member);
        }
        self.send_all();
    }

    fn deliver_due(&mut self) {
        let now = self.simulation.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(due, envelope)| {
                let faults = self.faults.get(&envelope.to).copied().unwrap_or_default();
                *due <= now && faults.paused_until <= now
            });
        self.in_flight = later;
        for (_, envelope) in due {
            self.simulation.deliver(envelope);
            self.send_all();
        }
    }

    fn send_all(&mut self) {
        let now = self.simulation.now;
        for envelope in std::mem::take(&mut self.simulation.outbox) {
            let sender = self.faults.get(&envelope.from).copied().unwrap_or_default();
            let receiver = self.faults.get(&envelope.to).copied().unwrap_or_default();
            let is_cut = sender.cut_out_until > now || receiver.cut_in_until > now;
            if is_cut || self.random.random_bool(0.03) {
                continue;
            }
            if self.random.random_bool(0.05) {
                let due = now + self.random.random_range(0..3_000);
                self.in_flight.push((due, envelope.clone()));
            }
            let max_delay = if self.random.random_bool(0.03) {
                2_000
            } else {
                20
            };
            let due = now + self.random.random_range(0..max_delay);
            self.in_flight.push((due, envelope));
        }
        for (author, certificate) in std::mem::take(&mut self.simulation.appends) {
            let faults = self.faults.get(&author).copied().unwrap_or_default();
            if self.log_down_until <= now && faults.log_cut_until <= now {
                self.simulation.append_end(author, certificate);
            }
        }
    }

    fn apply_random_event(&mut self) {
        let now = self.simulation.now;
        self.rejoin_ended();
        if now.is_multiple_of(REPAIR_INTERVAL_MS) && self.log_down_until <= now {
            self.repair();
        }
        let members: Vec<Incarnation> = self.simulation.processes.keys().copied().collect();
        let Some(member) = members.choose(&mut self.random).copied() else {
            return;
        };
        let until = now + self.random.random_range(100..3_000);
        let faults = self.faults.entry(member).or_default();
        match self.random.random_range(0..1_500) {
            0..4 => faults.paused_until = until,
            4..6 => faults.cut_in_until = until,
            6..8 => faults.cut_out_until = until,
            8..10 => {
                faults.cut_in_until = until;
                faults.cut_out_until = until;
            }
            10..12 => faults.log_cut_until = until,
            12 => self.log_down_until = now + 3 * (until - now),
            13..18 => self.change_random_witness(member),
            20..50 => {
                let can_append = faults.log_cut_until <= now && self.log_down_until <= now;
                if faults.paused_until <= now {
                    let chain = slice(self.random.random_range(0..SLICES));
                    self.simulation.resign(member, &chain, can_append);
                }
            }
            50..52 => self.restart(member),
            _ => {}
        }
    }

    /// Replaces ended witnesses and extends short chains, as the planner does.
    fn repair(&mut self) {
        let members = &self.simulation.log.state.members;
        let is_gone = |witness: &Incarnation| !members.contains_key(witness);
        let incomplete: Vec<Incarnation> = members
            .iter()
            .filter(|(_, member)| member.witnesses.members.iter().any(is_gone))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for member in incomplete {
            self.change_random_witness(member);
        }
        if let Some(member) = self.live_members().choose(&mut self.random).copied() {
            self.assign_random_chain(member);
        }
    }

    fn rejoin_ended(&mut self) {
        let processes = self.simulation.processes.iter();
        let ended: Vec<Incarnation> = processes
            .filter(|(_, process)| process.machine.end_cause().is_some())
            .map(|(member, _)| *member)
            .collect();
        // Restarts are spread out, because processes that restart at the same
        // time would take away each other's new witnesses.
        for member in ended {
            if self.random.random_bool(0.02) {
                self.restart(member);
            }
        }
    }

    /// Starts a new process of a node, if it can append its join to the log.
    fn restart(&mut self, member: Incarnation) {
        let now = self.simulation.now;
        let faults = self.faults.get(&member).copied().unwrap_or_default();
        if self.log_down_until > now || faults.log_cut_until > now || faults.paused_until > now {
            return;
        }
        let node = (member % 100) as u16;
        self.simulation.restart(node, member, member + 100);
        self.drift(member + 100);
        self.change_random_witness(member + 100);
    }

    fn live_members(&self) -> Vec<Incarnation> {
        let members = self.simulation.log.state.members.keys().copied();
        members.filter(|member| *member != incarnation(1)).collect()
    }

    fn change_random_witness(&mut self, member: Incarnation) {
        let Some(state) = self.simulation.log.state.members.get(&member) else {
            return;
        };
        let version = state.witnesses.version + 1;
        let members = &self.simulation.log.state.members;
        let mut witnesses = state.witnesses.members.clone();
        witnesses.retain(|witness| members.contains_key(witness));
        let mut others = self.live_members();
        others.retain(|other| *other != member && !witnesses.contains(other));
        if witnesses.len() == WITNESS_COUNT {
            witnesses.remove(self.random.random_range(0..WITNESS_COUNT));
        }
        let missing = WITNESS_COUNT - witnesses.len();
        witnesses.extend(others.sample(&mut self.random, missing).copied());
        let record = LogRecord::Witnesses {
            term: 1,
            member,
            version,
            witnesses,
        };
        self.simulation.append(incarnation(1), vec![record]);
    }

    fn assign_random_chain(&mut self, member: Incarnation) {
        let chain = slice(self.random.random_range(0..SLICES));
        let state = &self.simulation.log.state;
        let length = state.chains.get(&chain).map_or(0, |it| it.entries.len());
        if length >= MAX_CHAIN_LENGTH || !state.members.contains_key(&member) {
            return;
        }
        let append = ChainAppend {
            first_epoch: state.next_epoch_of(&chain).unwrap_or(0),
            chain,
            holders: vec![member],
            supersedes: false,
        };
        let record = LogRecord::Assign {
            term: 1,
            appends: vec![append],
        };
        self.simulation.append(incarnation(1), vec![record]);
    }
}

fn seeds() -> u64 {
    let seeds = std::env::var("WINCH_WALK_SEEDS");
    let seeds = seeds.ok().and_then(|it| it.parse().ok());
    seeds.unwrap_or(DEFAULT_SEEDS)
}

#[test]
fn random_walks_never_have_two_owners() {
    let mut counts = SimulationCounts::default();

    for seed in 0..seeds() {
        let simulation = RandomWalk::<SoundRules>::new(seed).run();
        assert_eq!(simulation.violation, None, "seed {seed}");
        counts.add(simulation.counts);
    }

    println!("{} seeds, {counts:?}", seeds());
    assert!(counts.certificates > 0);
    assert!(counts.resignations > 0);
    assert!(counts.set_changes > 0);
}

/// Broken rule: a single statement proves a lapse.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct OneStatement;

impl LeaseRules for OneStatement {
    fn is_lapse_proven(stated: usize, _quorum: usize) -> bool {
        stated > 0
    }
}

#[test]
fn random_walks_detect_certificates_from_one_statement() {
    let found = (0..DEFAULT_SEEDS).any(|seed| {
        let simulation = RandomWalk::<OneStatement>::new(seed).run();
        simulation.violation.is_some()
    });

    assert!(found);
}
