//! A simulated fleet of ownership state machines with a log and a network.
//!
//! The simulation runs the same state machines and fold as `winchd`. The test
//! that drives it decides what happens to each message and process. After every
//! step of a machine, the simulation checks that no chain has two owners.

use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use buckthornwinch::base::ids::Epoch;
use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::ownership::event::OwnershipEvent;
use buckthornwinch::ownership::machine::MessageTarget;
use buckthornwinch::ownership::machine::OwnershipMachine;
use buckthornwinch::ownership::machine::OwnershipOutput;
use buckthornwinch::ownership::message::OwnershipMessage;
use buckthornwinch::ownership::rules::LeaseRules;
use buckthornwinch::ownership::succession::TenureCause;
use buckthornwinch::ownership::succession::TenureChange;
use buckthornwinch::ownership::timing::ClockReading;
use buckthornwinch::ownership::timing::LeaseTiming;
use buckthornwinch::state::folded::FoldedState;
use buckthornwinch::state::record::ChainKey;
use buckthornwinch::state::record::EndProof;
use buckthornwinch::state::record::LapseCertificate;
use buckthornwinch::state::record::LogRecord;

use crate::fleet::FleetLog;
use crate::fleet::at;
use crate::records::member_info;

/// Rate of a clock without drift: thousandths of simulated time.
pub const NOMINAL_CLOCK_RATE: u64 = 1000;

/// A message in transit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MessageEnvelope {
    /// The sender.
    pub from: Incarnation,
    /// The receiver, which may have stopped running.
    pub to: Incarnation,
    /// The payload.
    pub message: OwnershipMessage,
}

/// A running process of the simulation.
#[derive(Debug, Clone)]
pub struct ProcessState<R> {
    /// The machine under test.
    pub machine: OwnershipMachine<R>,
    /// Rate of its clocks, in thousandths of simulated time.
    pub rate: u64,
}

/// Counts of events, for tests to assert that these events have occurred.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SimulationCounts {
    /// Takeovers after a lapse certificate.
    pub certificates: u64,
    /// Takeovers after a resignation.
    pub resignations: u64,
    /// Leases whose active witness set was replaced by a newer one.
    pub set_changes: u64,
    /// Incarnations that permanently lost their lease.
    pub ends: u64,
}

impl SimulationCounts {
    /// Adds the counts of another simulation.
    pub fn add(&mut self, other: Self) {
        self.certificates += other.certificates;
        self.resignations += other.resignations;
        self.set_changes += other.set_changes;
        self.ends += other.ends;
    }
}

/// A simulated fleet of ownership state machines with a log and a network.
#[derive(Debug, Clone)]
pub struct OwnershipSimulation<R> {
    /// Simulated time, in milliseconds.
    pub now: u64,
    /// The running processes, by incarnation.
    pub processes: BTreeMap<Incarnation, ProcessState<R>>,
    /// The log, with the state folded from all of it.
    pub log: Arc<FleetLog>,
    /// The folded state after each change of the log, in order.
    pub states: Vec<Arc<FoldedState>>,
    /// Sent messages that the driver has not taken yet.
    pub outbox: Vec<MessageEnvelope>,
    /// Certificates that a process has to append, with the process.
    pub appends: Vec<(Incarnation, LapseCertificate)>,
    /// Events, with simulated time in milliseconds and process.
    pub events: Vec<(u64, Incarnation, OwnershipEvent)>,
    /// Counts of events since the start or since the driver last reset them.
    pub counts: SimulationCounts,
    /// The first violation of a safety property; `None` if there was none.
    pub violation: Option<String>,
    log_digest: u64,
    timing: LeaseTiming,
    served: BTreeMap<ChainKey, Epoch>,
    assigned: BTreeMap<(ChainKey, Epoch), Incarnation>,
}

impl<R: LeaseRules> OwnershipSimulation<R> {
    /// Creates a simulation in which the given members run and have read the
    /// log.
    pub fn new(log: FleetLog, members: &[Incarnation], timing: LeaseTiming) -> Self {
        let state = log.shared();
        let mut simulation = Self {
            now: 0,
            processes: BTreeMap::new(),
            states: vec![Arc::clone(&state)],
            log: Arc::new(log),
            log_digest: 0,
            outbox: Vec::new(),
            appends: Vec::new(),
            events: Vec::new(),
            counts: SimulationCounts::default(),
            violation: None,
            timing,
            served: BTreeMap::new(),
            assigned: BTreeMap::new(),
        };
        simulation.check_assignments();
        for member in members {
            simulation.start(*member);
        }
        simulation
    }

    /// Starts a process, which reads the whole log.
    pub fn start(&mut self, member: Incarnation) {
        let machine = OwnershipMachine::new(member, self.timing);
        let process = ProcessState {
            machine,
            rate: NOMINAL_CLOCK_RATE,
        };
        self.processes.insert(member, process);
        self.fold(member);
    }

    /// Stops a node's process and starts a new incarnation, which joins through
    /// the log.
    pub fn restart(&mut self, node: u16, former: Incarnation, next: Incarnation) {
        self.processes.remove(&former);
        let join = LogRecord::Join(Box::new(member_info(node, next)));
        self.append(next, vec![join]);
        self.start(next);
    }

    /// Appends records to the log and saves the folded state.
    pub fn append(&mut self, author: Incarnation, records: Vec<LogRecord>) {
        self.change_log(|log| {
            log.try_append(author, records);
        });
    }

    /// Changes the log by a function and saves the folded state.
    pub fn change_log(&mut self, change: impl FnOnce(&mut FleetLog)) {
        change(Arc::make_mut(&mut self.log));
        self.states.push(self.log.shared());
        let content = format!("{:?}", self.log.state);
        let parts = (self.log_digest, content);
        self.log_digest = BuildHasherDefault::<DefaultHasher>::default().hash_one(parts);
        self.check_assignments();
    }

    /// Appends the end of the member whose lapse a certificate proves.
    pub fn append_end(&mut self, author: Incarnation, certificate: LapseCertificate) {
        let member = certificate.subject;
        let proof = EndProof::Certificate(certificate);
        self.append(author, vec![LogRecord::Ended { member, proof }]);
    }

    /// Makes a process fold the log to its end.
    pub fn fold(&mut self, member: Incarnation) {
        let newest = self.log.state.next;
        let process = self.processes.get(&member);
        if process.is_some_and(|process| process.machine.state().next == newest) {
            return;
        }
        let state = Arc::clone(&self.states[self.states.len() - 1]);
        self.step(member, |machine, now| machine.apply_state(state, now));
    }

    /// Makes a process fold the next change of the log.
    pub fn fold_one(&mut self, member: Incarnation) {
        let Some(process) = self.processes.get(&member) else {
            return;
        };
        let known = process.machine.state().next;
        let next = self.states.iter().find(|state| state.next > known);
        if let Some(state) = next.cloned() {
            self.step(member, |machine, now| machine.apply_state(state, now));
        }
    }

    /// Sends a process a timer tick.
    pub fn tick(&mut self, member: Incarnation) {
        self.step(member, OwnershipMachine::tick);
    }

    /// Delivers a message to its receiver, if that is running.
    pub fn deliver(&mut self, envelope: MessageEnvelope) {
        self.step(envelope.to, |machine, now| {
            machine.deliver(envelope.message, now)
        });
    }

    /// Makes a process resign the position under which it serves a chain, if
    /// the chain has a later one. The resignation is also appended to the log
    /// if `can_append`.
    pub fn resign(&mut self, member: Incarnation, chain: &ChainKey, can_append: bool) {
        let Some(process) = self.processes.get(&member) else {
            return;
        };
        let now = self.clock(process);
        let Some(epoch) = process.machine.may_serve(chain, now) else {
            return;
        };
        let has_successor = process.machine.state().chains[chain].next_epoch() > epoch + 1;
        if !has_successor {
            return;
        }
        let positions = vec![(chain.clone(), epoch)];
        let resigned = positions.clone();
        self.step(member, |machine, now| machine.resign(resigned, now));
        if can_append {
            self.append(member, vec![LogRecord::Resign { positions }]);
        }
    }

    /// Returns the processes that may serve a chain now, with their epochs.
    pub fn owners(&self, chain: &ChainKey) -> Vec<(Incarnation, Epoch)> {
        let processes = self.processes.iter();
        processes
            .filter_map(|(member, process)| {
                let now = self.clock(process);
                let epoch = process.machine.may_serve(chain, now)?;
                Some((*member, epoch))
            })
            .collect()
    }

    fn clock(&self, process: &ProcessState<R>) -> ClockReading {
        at(self.now * process.rate / NOMINAL_CLOCK_RATE)
    }

    fn step(
        &mut self,
        member: Incarnation,
        run: impl FnOnce(&mut OwnershipMachine<R>, ClockReading) -> OwnershipOutput,
    ) {
        let Some(process) = self.processes.get(&member) else {
            return;
        };
        let now = self.clock(process);
        let Some(process) = self.processes.get_mut(&member) else {
            return;
        };
        let before = process.machine.active_version();
        let output = run(&mut process.machine, now);
        let after = process.machine.active_version();
        if before > 0 && after > before {
            self.counts.set_changes += 1;
        }
        self.apply_output(member, output);
        self.check_owners();
    }

    fn apply_output(&mut self, from: Incarnation, output: OwnershipOutput) {
        for (target, message) in output.messages {
            let everyone = self.processes.keys().copied();
            let targets: Vec<Incarnation> = match target {
                MessageTarget::Member(to) => vec![to],
                MessageTarget::Everyone => everyone.filter(|to| *to != from).collect(),
            };
            for to in targets {
                let message = message.clone();
                self.outbox.push(MessageEnvelope { from, to, message });
            }
        }
        for certificate in output.appends {
            self.appends.push((from, certificate));
        }
        for event in output.events {
            self.count(&event);
            self.events.push((self.now, from, event));
        }
    }

    fn count(&mut self, event: &OwnershipEvent) {
        match event {
            OwnershipEvent::Tenure(TenureChange::Started(_, tenure)) => match tenure.cause {
                TenureCause::Certificate => self.counts.certificates += 1,
                TenureCause::Resignation => self.counts.resignations += 1,
                TenureCause::First | TenureCause::Log => {}
            },
            OwnershipEvent::Ended(_) => self.counts.ends += 1,
            _ => {}
        }
    }

    /// Checks that each chain has at most one owner, and that the epochs under
    /// which it is served never decrease.
    pub fn check_owners(&mut self) {
        let mut violation = None;
        let mut owners: BTreeMap<&ChainKey, Incarnation> = BTreeMap::new();
        for (member, process) in &self.processes {
            if process.machine.remaining(self.clock(process)).is_zero() {
                continue;
            }
            for (chain, tenure) in process.machine.serving() {
                if let Some(other) = owners.insert(chain, *member) {
                    violation = Some(format!("two owners: {other} and {member}"));
                }
                let highest = self.served.get(chain).copied().unwrap_or(0);
                if tenure.epoch < highest {
                    violation = Some(format!("{member} serves {} after {highest}", tenure.epoch));
                } else if tenure.epoch > highest {
                    self.served.insert(chain.clone(), tenure.epoch);
                }
            }
        }
        if let Some(violation) = violation {
            self.record_violation(&violation);
        }
    }

    /// Checks that an assigned position stays in its chain until its holder has
    /// resigned it or ended, and records new ones.
    fn check_assignments(&mut self) {
        let state = &self.log.state;
        let mut lost = None;
        for ((key, epoch), holder) in &self.assigned {
            let chain = &state.chains[key];
            let index = epoch.checked_sub(chain.first_epoch);
            let entry = index.and_then(|index| chain.entries.get(index as usize));
            let stays = index.is_none() || entry.is_some_and(|it| it.holder == *holder);
            if !stays {
                lost = Some(format!(
                    "the assignment of epoch {epoch} to {holder} is lost"
                ));
            }
        }
        for (key, chain) in &state.chains {
            for (epoch, entry) in (chain.first_epoch..).zip(&chain.entries) {
                self.assigned.insert((key.clone(), epoch), entry.holder);
            }
        }
        if let Some(lost) = lost {
            self.record_violation(&lost);
        }
    }

    fn record_violation(&mut self, violation: &str) {
        let now = self.now;
        self.violation
            .get_or_insert_with(|| format!("at {now} ms: {violation}"));
    }
}

/// Hashes what determines the further course of the simulation. Events and
/// counts do not.
impl<R: LeaseRules> Hash for OwnershipSimulation<R> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.now.hash(state);
        for process in self.processes.values() {
            process.machine.hash(state);
            process.rate.hash(state);
        }
        self.log_digest.hash(state);
        self.served.hash(state);
    }
}
