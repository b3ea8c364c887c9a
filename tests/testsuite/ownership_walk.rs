//! Long random histories of a fleet: lost, late and repeated messages, pauses,
//! partitions, drifting clocks, log outages, restarts, moves and changes of
//! witnesses, all at once. No chain ever has two owners.
//!
//! `WINCH_WALK_SEEDS` sets how many seeds are walked.

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
const STEP: u64 = 10;
const LENGTH: u64 = 30_000;
const DEFAULT_SEEDS: u64 = 12;

/// Time between two repairs of witness sets and chains, in milliseconds.
const REPAIR_INTERVAL: u64 = 200;

/// Witnesses of each process.
const WITNESSES: usize = 3;

/// How long a chain gets at most, in holders.
const LONGEST_CHAIN: usize = 4;

/// Until when each fault of a process lasts.
#[derive(Debug, Clone, Copy, Default)]
struct FaultSchedule {
    next_tick: u64,
    paused: u64,
    cut_in: u64,
    cut_out: u64,
    log_cut: u64,
}

struct RandomWalk<R> {
    random: SmallRng,
    world: OwnershipSimulation<R>,
    faults: BTreeMap<Incarnation, FaultSchedule>,
    flight: Vec<(u64, MessageEnvelope)>,
    log_down: u64,
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
            world: OwnershipSimulation::new(log, &members, LeaseTiming::default()),
            faults: BTreeMap::new(),
            flight: Vec::new(),
            log_down: 0,
        };
        for member in members {
            walk.drift(member);
        }
        walk
    }

    /// Clocks run up to 3 % fast or slow.
    fn drift(&mut self, member: Incarnation) {
        let rate = self.random.random_range(970..=1030);
        if let Some(process) = self.world.processes.get_mut(&member) {
            process.rate = rate;
        }
    }

    fn run(mut self) -> OwnershipSimulation<R> {
        while self.world.now < LENGTH && self.world.violation.is_none() {
            self.world.now += STEP;
            self.world.check_owners();
            self.any_event();
            let members: Vec<Incarnation> = self.world.processes.keys().copied().collect();
            for member in members {
                self.run_process(member);
            }
            self.deliver_due();
        }
        self.world
    }

    fn run_process(&mut self, member: Incarnation) {
        let now = self.world.now;
        let jitter = self.random.random_range(0..20);
        let faults = self.faults.entry(member).or_default();
        if faults.paused > now {
            return;
        }
        let reads = faults.log_cut <= now && self.log_down <= now;
        let ticks = faults.next_tick <= now;
        if ticks {
            faults.next_tick = now + 40 + jitter;
        }
        if reads && self.random.random_bool(0.3) {
            self.world.fold_one(member);
        } else if reads && self.random.random_bool(0.1) {
            self.world.fold(member);
        }
        if ticks {
            self.world.tick(member);
        }
        self.send_all();
    }

    fn deliver_due(&mut self) {
        let now = self.world.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flight)
            .into_iter()
            .partition(|(due, envelope)| {
                let faults = self.faults.get(&envelope.to).copied().unwrap_or_default();
                *due <= now && faults.paused <= now
            });
        self.flight = later;
        for (_, envelope) in due {
            self.world.deliver(envelope);
            self.send_all();
        }
    }

    fn send_all(&mut self) {
        let now = self.world.now;
        for envelope in std::mem::take(&mut self.world.outbox) {
            let sender = self.faults.get(&envelope.from).copied().unwrap_or_default();
            let receiver = self.faults.get(&envelope.to).copied().unwrap_or_default();
            let is_cut = sender.cut_out > now || receiver.cut_in > now;
            if is_cut || self.random.random_bool(0.03) {
                continue;
            }
            if self.random.random_bool(0.05) {
                let due = now + self.random.random_range(0..3_000);
                self.flight.push((due, envelope.clone()));
            }
            let longest = if self.random.random_bool(0.03) {
                2_000
            } else {
                20
            };
            let due = now + self.random.random_range(0..longest);
            self.flight.push((due, envelope));
        }
        for (author, certificate) in std::mem::take(&mut self.world.appends) {
            let faults = self.faults.get(&author).copied().unwrap_or_default();
            if self.log_down <= now && faults.log_cut <= now {
                self.world.append_end(author, certificate);
            }
        }
    }

    fn any_event(&mut self) {
        let now = self.world.now;
        self.rejoin_ended();
        if now.is_multiple_of(REPAIR_INTERVAL) && self.log_down <= now {
            self.repair();
        }
        let members: Vec<Incarnation> = self.world.processes.keys().copied().collect();
        let Some(member) = members.choose(&mut self.random).copied() else {
            return;
        };
        let until = now + self.random.random_range(100..3_000);
        let faults = self.faults.entry(member).or_default();
        match self.random.random_range(0..1_500) {
            0..4 => faults.paused = until,
            4..6 => faults.cut_in = until,
            6..8 => faults.cut_out = until,
            8..10 => {
                faults.cut_in = until;
                faults.cut_out = until;
            }
            10..12 => faults.log_cut = until,
            12 => self.log_down = now + 3 * (until - now),
            13..18 => self.any_witnesses(member),
            20..50 => {
                let can_append = faults.log_cut <= now && self.log_down <= now;
                if faults.paused <= now {
                    let chain = slice(self.random.random_range(0..SLICES));
                    self.world.resign(member, &chain, can_append);
                }
            }
            50..52 => self.restart(member),
            _ => {}
        }
    }

    /// Replaces ended witnesses and lengthens short chains, as a planner does.
    fn repair(&mut self) {
        let members = &self.world.log.state.members;
        let is_gone = |witness: &Incarnation| !members.contains_key(witness);
        let incomplete: Vec<Incarnation> = members
            .iter()
            .filter(|(_, member)| member.witnesses.members.iter().any(is_gone))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for member in incomplete {
            self.any_witnesses(member);
        }
        if let Some(member) = self.live_members().choose(&mut self.random).copied() {
            self.any_assign(member);
        }
    }

    fn rejoin_ended(&mut self) {
        let processes = self.world.processes.iter();
        let ended: Vec<Incarnation> = processes
            .filter(|(_, process)| process.machine.end_cause().is_some())
            .map(|(member, _)| *member)
            .collect();
        // Paced: processes that end together would take each other's new
        // witnesses away.
        for member in ended {
            if self.random.random_bool(0.02) {
                self.restart(member);
            }
        }
    }

    /// A new process of a node starts once it can join through the log.
    fn restart(&mut self, member: Incarnation) {
        let now = self.world.now;
        let faults = self.faults.get(&member).copied().unwrap_or_default();
        if self.log_down > now || faults.log_cut > now || faults.paused > now {
            return;
        }
        let node = (member % 100) as u16;
        self.world.restart(node, member, member + 100);
        self.drift(member + 100);
        self.any_witnesses(member + 100);
    }

    fn live_members(&self) -> Vec<Incarnation> {
        let members = self.world.log.state.members.keys().copied();
        members.filter(|member| *member != incarnation(1)).collect()
    }

    fn any_witnesses(&mut self, member: Incarnation) {
        let Some(state) = self.world.log.state.members.get(&member) else {
            return;
        };
        let version = state.witnesses.version + 1;
        let members = &self.world.log.state.members;
        let mut witnesses = state.witnesses.members.clone();
        witnesses.retain(|witness| members.contains_key(witness));
        let mut others = self.live_members();
        others.retain(|other| *other != member && !witnesses.contains(other));
        if witnesses.len() == WITNESSES {
            witnesses.remove(self.random.random_range(0..WITNESSES));
        }
        let missing = WITNESSES - witnesses.len();
        witnesses.extend(others.sample(&mut self.random, missing).copied());
        let record = LogRecord::Witnesses {
            term: 1,
            member,
            version,
            witnesses,
        };
        self.world.append(incarnation(1), vec![record]);
    }

    fn any_assign(&mut self, member: Incarnation) {
        let chain = slice(self.random.random_range(0..SLICES));
        let state = &self.world.log.state;
        let length = state.chains.get(&chain).map_or(0, |it| it.entries.len());
        if length >= LONGEST_CHAIN || !state.members.contains_key(&member) {
            return;
        }
        let append = ChainAppend {
            at: state.tail_of(&chain).unwrap_or(0),
            chain,
            holders: vec![member],
            supersedes: false,
        };
        let record = LogRecord::Assign {
            term: 1,
            appends: vec![append],
        };
        self.world.append(incarnation(1), vec![record]);
    }
}

fn seeds() -> u64 {
    let seeds = std::env::var("WINCH_WALK_SEEDS");
    let seeds = seeds.ok().and_then(|it| it.parse().ok());
    seeds.unwrap_or(DEFAULT_SEEDS)
}

#[test]
fn random_histories_never_make_two_owners() {
    let mut counts = SimulationCounts::default();

    for seed in 0..seeds() {
        let world = RandomWalk::<SoundRules>::new(seed).run();
        assert_eq!(world.violation, None, "seed {seed}");
        counts.add(world.counts);
    }

    println!("{} seeds, {counts:?}", seeds());
    assert!(counts.certificates > 0);
    assert!(counts.resignations > 0);
    assert!(counts.set_changes > 0);
}

/// A single statement makes a certificate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct OneStatement;

impl LeaseRules for OneStatement {
    fn is_lapse_proven(stated: usize, _quorum: usize) -> bool {
        stated > 0
    }
}

#[test]
fn random_histories_find_takeovers_on_one_statement() {
    let found = (0..DEFAULT_SEEDS).any(|seed| {
        let world = RandomWalk::<OneStatement>::new(seed).run();
        world.violation.is_some()
    });

    assert!(found);
}
