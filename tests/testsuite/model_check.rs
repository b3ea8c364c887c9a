//! Bounded exploration of the ownership machines under faults.
//!
//! Time goes in steps. At each step the explorer switches at most one fault
//! on or off, or lets one planned event happen; every order of these within a
//! budget is explored, breadth first. The machines and the fold are those that
//! `winchd` runs. Each broken rule must be found, or the check checks nothing.

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::BuildHasher;
use std::hash::Hash;
use std::time::Duration;

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::ownership::rules::LeaseRules;
use buckthornwinch::ownership::rules::SoundRules;
use buckthornwinch::ownership::timing::ClockReading;
use buckthornwinch::ownership::timing::LeaseTiming;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::incarnation;
use winch_test_support::fleet::millis;
use winch_test_support::ownership_simulation::MessageEnvelope;
use winch_test_support::ownership_simulation::OwnershipSimulation;
use winch_test_support::ownership_simulation::SimulationCounts;
use winch_test_support::records::slice;

const STEP: u64 = 100;

/// How late a delayed message comes, in milliseconds.
const DELAY: u64 = 300;

/// Leases of the model, in steps of 100 ms.
fn model_timing() -> LeaseTiming {
    LeaseTiming::builder()
        .renew_interval(millis(STEP))
        .lease(millis(4 * STEP))
        .drift_margin(millis(STEP))
        .max_tick_gap(millis(2 * STEP))
        .resend_interval(millis(STEP))
        .max_resend_interval(millis(2 * STEP))
        .build()
}

/// A fault of one process, switched on and off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ProcessFault {
    Paused,
    CutOut,
    CutIn,
    LateIn,
    RepeatedIn,
    LogCut,
}

const FAULTS: [ProcessFault; 6] = [
    ProcessFault::Paused,
    ProcessFault::CutOut,
    ProcessFault::CutIn,
    ProcessFault::LateIn,
    ProcessFault::RepeatedIn,
    ProcessFault::LogCut,
];

/// An event that happens at most once.
#[derive(Debug, Clone, Copy)]
enum PlannedEvent {
    Assign(&'static [u16]),
    NameWitnesses(u16, &'static [u16]),
    Resign(u16),
    Restart(u16),
    /// Breaks the rule that a new process is a new incarnation.
    RestartUnderOldIdentity(u16),
}

#[derive(Debug, Clone, Copy)]
enum ModelAction {
    Nothing,
    Switch(u16, ProcessFault),
    Happen(usize),
}

/// What is explored.
#[derive(Debug, Clone)]
struct ModelScenario {
    log: FleetLog,
    running: Vec<u16>,
    initial: Vec<(u16, ProcessFault)>,
    faults: Vec<(u16, ProcessFault)>,
    events: Vec<PlannedEvent>,
    actions: usize,
    steps: usize,
    /// Whether messages that are due together are delivered newest first.
    newest_first: bool,
}

#[derive(Debug, Clone)]
struct ModelState<R> {
    world: OwnershipSimulation<R>,
    faults: HashSet<(u16, ProcessFault), FixedState>,
    happened: u32,
    left: usize,
    newest_first: bool,
    flight: Vec<(u64, MessageEnvelope)>,
    trace: Vec<(u64, String)>,
}

type FixedState = std::hash::BuildHasherDefault<std::hash::DefaultHasher>;

impl<R: LeaseRules> ModelState<R> {
    fn is_faulty(&self, member: Incarnation, fault: ProcessFault) -> bool {
        self.faults.contains(&((member % 100) as u16, fault))
    }

    fn fingerprint(&self) -> u64 {
        let mut faults: Vec<_> = self.faults.iter().collect();
        faults.sort_unstable();
        let parts = (&self.world, faults, self.happened, self.left, &self.flight);
        FixedState::default().hash_one(parts)
    }

    fn act(&mut self, action: ModelAction, scenario: &ModelScenario) {
        match action {
            ModelAction::Nothing => return,
            ModelAction::Switch(node, fault) => {
                if !self.faults.remove(&(node, fault)) {
                    self.faults.insert((node, fault));
                }
                self.trace
                    .push((self.world.now, format!("{fault:?} {node}")));
            }
            ModelAction::Happen(index) => {
                let event = scenario.events[index];
                self.happened |= 1 << index;
                self.happen(event);
                self.trace.push((self.world.now, format!("{event:?}")));
            }
        }
        self.left -= 1;
    }

    fn happen(&mut self, event: PlannedEvent) {
        let world = &mut self.world;
        match event {
            PlannedEvent::Assign(nodes) => world.change_log(|log| {
                if are_members(log, nodes) {
                    log.assign(&slice(0), nodes);
                }
            }),
            PlannedEvent::NameWitnesses(node, witnesses) => world.change_log(|log| {
                if are_members(log, witnesses) && are_members(log, &[node]) {
                    log.name_witnesses(node, witnesses);
                }
            }),
            PlannedEvent::Resign(node) => {
                let member = incarnation(node);
                let can_append = !self.is_faulty(member, ProcessFault::LogCut);
                self.world.resign(member, &slice(0), can_append);
            }
            PlannedEvent::Restart(node) => {
                let former = incarnation(node);
                world.restart(node, former, former + 100);
            }
            PlannedEvent::RestartUnderOldIdentity(node) => world.start(incarnation(node)),
        }
    }

    /// Lets one step of time pass.
    fn advance(&mut self) {
        self.world.now += STEP;
        self.world.check_owners();
        let members: Vec<Incarnation> = self.world.processes.keys().copied().collect();
        for member in members {
            if self.is_faulty(member, ProcessFault::Paused) {
                continue;
            }
            if !self.is_faulty(member, ProcessFault::LogCut) {
                self.world.fold(member);
            }
            self.world.tick(member);
            self.settle();
        }
        self.settle();
    }

    /// Delivers whatever is due until nothing is.
    fn settle(&mut self) {
        loop {
            for envelope in std::mem::take(&mut self.world.outbox) {
                self.route(envelope);
            }
            for (author, certificate) in std::mem::take(&mut self.world.appends) {
                if !self.is_faulty(author, ProcessFault::LogCut) {
                    self.world.append_end(author, certificate);
                }
            }
            let now = self.world.now;
            let flight = std::mem::take(&mut self.flight);
            let (mut due, later): (Vec<_>, Vec<_>) =
                flight.into_iter().partition(|(due, envelope)| {
                    *due <= now && !self.is_faulty(envelope.to, ProcessFault::Paused)
                });
            self.flight = later;
            if due.is_empty() && self.world.outbox.is_empty() {
                return;
            }
            if self.newest_first {
                due.reverse();
            }
            for (_, envelope) in due {
                self.world.deliver(envelope);
            }
        }
    }

    fn route(&mut self, envelope: MessageEnvelope) {
        let MessageEnvelope { from, to, .. } = envelope;
        let is_lost = self.is_faulty(from, ProcessFault::CutOut)
            || self.is_faulty(to, ProcessFault::CutIn)
            || !self.world.processes.contains_key(&to);
        if is_lost {
            return;
        }
        let now = self.world.now;
        if self.is_faulty(to, ProcessFault::RepeatedIn) {
            self.flight.push((now + DELAY, envelope.clone()));
        }
        let is_late = self.is_faulty(to, ProcessFault::LateIn);
        let due = if is_late { now + DELAY } else { now };
        self.flight.push((due, envelope));
    }
}

fn are_members(log: &FleetLog, nodes: &[u16]) -> bool {
    let mut members = nodes.iter().map(|node| incarnation(*node));
    members.all(|member| log.state.members.contains_key(&member))
}

/// What an exploration found.
#[derive(Debug, Default)]
struct ModelReport {
    states: usize,
    counts: SimulationCounts,
    violation: Option<String>,
}

fn explore<R: LeaseRules>(scenario: &ModelScenario) -> ModelReport {
    let members: Vec<Incarnation> = scenario.running.iter().map(|it| incarnation(*it)).collect();
    let first: ModelState<R> = ModelState {
        world: OwnershipSimulation::new(scenario.log.clone(), &members, model_timing()),
        faults: scenario.initial.iter().copied().collect(),
        happened: 0,
        left: scenario.actions,
        newest_first: scenario.newest_first,
        flight: Vec::new(),
        trace: Vec::new(),
    };
    let mut report = ModelReport::default();
    let mut seen: HashSet<u64, FixedState> = HashSet::default();
    let mut frontier = vec![first];
    for _ in 0..scenario.steps {
        let mut next = Vec::new();
        for state in &frontier {
            for action in actions_of(state, scenario) {
                let mut successor = state.clone();
                successor.act(action, scenario);
                successor.advance();
                if let Some(violation) = &successor.world.violation {
                    let trace = &successor.trace;
                    report.violation = Some(format!("{violation}, after {trace:?}"));
                    return report;
                }
                report.counts.add(successor.world.counts);
                successor.world.counts = SimulationCounts::default();
                successor.world.events.clear();
                if seen.insert(successor.fingerprint()) {
                    next.push(successor);
                }
            }
        }
        report.states += next.len();
        frontier = next;
    }
    report
}

fn actions_of<R>(state: &ModelState<R>, scenario: &ModelScenario) -> Vec<ModelAction> {
    let mut actions = vec![ModelAction::Nothing];
    if state.left == 0 {
        return actions;
    }
    for (node, fault) in &scenario.faults {
        actions.push(ModelAction::Switch(*node, *fault));
    }
    for index in 0..scenario.events.len() {
        if state.happened & (1 << index) == 0 {
            actions.push(ModelAction::Happen(index));
        }
    }
    actions
}

fn all_faults(nodes: &[u16]) -> Vec<(u16, ProcessFault)> {
    let nodes = nodes.iter();
    nodes
        .flat_map(|node| FAULTS.map(|fault| (*node, fault)))
        .collect()
}

/// Node 2 owns slice 0 and node 3 succeeds it; nodes 3 to 5 witness node 2.
fn takeover() -> ModelScenario {
    let mut log = FleetLog::with_nodes(5);
    log.name_witnesses(2, &[3, 4, 5]);
    log.name_witnesses(3, &[2, 4, 5]);
    log.assign(&slice(0), &[2, 3]);
    ModelScenario {
        log,
        running: vec![2, 3, 4, 5],
        initial: Vec::new(),
        faults: all_faults(&[2, 3, 4]),
        events: vec![PlannedEvent::Resign(2), PlannedEvent::Restart(2)],
        actions: 2,
        steps: 10,
        newest_first: false,
    }
}

/// Node 2 owns slice 0 with a single witness, which may restart.
fn witness_restart() -> ModelScenario {
    let mut log = FleetLog::with_nodes(5);
    log.name_witnesses(2, &[4]);
    log.name_witnesses(3, &[5]);
    log.assign(&slice(0), &[2, 3]);
    ModelScenario {
        log,
        running: vec![2, 3, 4, 5],
        initial: Vec::new(),
        faults: all_faults(&[2, 3, 4]),
        events: vec![
            PlannedEvent::Restart(4),
            PlannedEvent::NameWitnesses(2, &[3]),
        ],
        actions: 2,
        steps: 10,
        newest_first: false,
    }
}

/// Node 2's only witness changes from node 4 to node 5.
fn witness_change() -> ModelScenario {
    let mut log = FleetLog::with_nodes(5);
    log.name_witnesses(2, &[4]);
    log.name_witnesses(3, &[5]);
    log.assign(&slice(0), &[2, 3]);
    ModelScenario {
        log,
        running: vec![2, 3, 4, 5],
        initial: Vec::new(),
        faults: all_faults(&[2, 3, 4, 5]),
        events: vec![PlannedEvent::NameWitnesses(2, &[5])],
        actions: 2,
        steps: 10,
        newest_first: false,
    }
}

/// Node 3 is appended, node 2 resigns in its favour.
fn planned_move() -> ModelScenario {
    let mut log = FleetLog::with_nodes(4);
    log.name_witnesses(2, &[4]);
    log.name_witnesses(3, &[4]);
    log.assign(&slice(0), &[2]);
    ModelScenario {
        log,
        running: vec![2, 3, 4],
        initial: Vec::new(),
        faults: all_faults(&[2, 3]),
        events: vec![
            PlannedEvent::Assign(&[3]),
            PlannedEvent::Resign(2),
            PlannedEvent::Assign(&[2]),
            PlannedEvent::Resign(3),
        ],
        actions: 3,
        steps: 6,
        newest_first: false,
    }
}

/// Returns how many more actions to explore, from `WINCH_MODEL_EXTRA_ACTIONS`.
fn extra_actions() -> usize {
    let extra = std::env::var("WINCH_MODEL_EXTRA_ACTIONS");
    extra.ok().and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Explores both orders of messages that are due together.
fn assert_sound(name: &str, mut scenario: ModelScenario) -> ModelReport {
    scenario.actions += extra_actions();
    let mut report = explore::<SoundRules>(&scenario);
    scenario.newest_first = true;
    let reversed = explore::<SoundRules>(&scenario);
    report.states += reversed.states;
    report.counts.add(reversed.counts);
    println!("{name}: {} states, {:?}", report.states, report.counts);

    assert_eq!(report.violation, None);
    assert_eq!(reversed.violation, None);
    report
}

#[test]
fn a_takeover_never_makes_two_owners() {
    let report = assert_sound("takeover", takeover());

    assert!(report.counts.certificates > 0);
    assert!(report.counts.resignations > 0);
}

#[test]
fn a_restarted_witness_never_makes_two_owners() {
    let report = assert_sound("witness restart", witness_restart());

    assert!(report.counts.certificates > 0);
}

#[test]
fn a_witness_change_never_makes_two_owners() {
    let report = assert_sound("witness change", witness_change());

    assert!(report.counts.certificates > 0);
    assert!(report.counts.set_changes > 0);
}

#[test]
fn a_planned_move_never_makes_two_owners() {
    let report = assert_sound("planned move", planned_move());

    assert!(report.counts.resignations > 0);
}

/// Declares the sound rules with one of them broken.
macro_rules! broken_rules {
    ($(#[$doc:meta])* $name:ident, $($rule:tt)*) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
        struct $name;

        impl LeaseRules for $name {
            $($rule)*
        }
    };
}

broken_rules! {
    /// A holder counts a promise from its receipt.
    CountFromReceipt,
    fn promise_start(_sent: ClockReading, received: ClockReading) -> ClockReading {
        received
    }
}

broken_rules! {
    /// A witness states the lapse of a holder that it does not know at once.
    StateAtOnce,
    fn first_renewal_timeout(_timing: &LeaseTiming) -> Duration {
        Duration::ZERO
    }
}

broken_rules! {
    /// A witness promises again after it stated a lapse.
    PromiseAfterLapse,
    fn may_promise_after_lapse() -> bool {
        true
    }
}

broken_rules! {
    /// A new witness set counts before the old one acknowledged it.
    ChangeAtOnce,
    fn is_set_change_acknowledged(_acknowledged: usize, _quorum: usize) -> bool {
        true
    }
}

broken_rules! {
    /// A new witness set certifies a lease that may rest on the old one.
    NewSetCertifies,
    fn checks_former_sets() -> bool {
        false
    }
}

broken_rules! {
    /// A single statement makes a certificate.
    OneStatement,
    fn is_lapse_proven(stated: usize, _quorum: usize) -> bool {
        stated > 0
    }
}

fn assert_found<R: LeaseRules>(scenario: &ModelScenario) {
    let report = explore::<R>(scenario);

    let violation = report.violation.expect("the broken rule is found");
    println!("{violation}");
    assert!(violation.contains("two owners"), "{violation}");
}

#[test]
fn counting_from_receipt_is_found() {
    assert_found::<CountFromReceipt>(&takeover());
}

#[test]
fn promising_after_a_lapse_is_found() {
    let mut scenario = takeover();
    scenario.faults = vec![
        (2, ProcessFault::Paused),
        (4, ProcessFault::CutIn),
        (5, ProcessFault::CutIn),
    ];
    scenario.events.clear();
    scenario.actions = 4;

    assert_found::<PromiseAfterLapse>(&scenario);
}

#[test]
fn changing_witnesses_without_the_old_quorum_is_found() {
    let mut scenario = witness_change();
    scenario.newest_first = true;

    assert_found::<ChangeAtOnce>(&scenario);
}

#[test]
fn certifying_under_a_set_that_the_holder_does_not_know_is_found() {
    let mut scenario = witness_change();
    scenario.newest_first = true;

    assert_found::<NewSetCertifies>(&scenario);
}

#[test]
fn taking_over_on_one_statement_is_found() {
    assert_found::<OneStatement>(&takeover());
}

#[test]
fn a_witness_restarted_under_its_old_identity_that_states_at_once_is_found() {
    let mut scenario = witness_restart();
    scenario.events = vec![PlannedEvent::RestartUnderOldIdentity(4)];

    assert_found::<StateAtOnce>(&scenario);
}

#[test]
fn a_witness_restarted_under_its_old_identity_that_promises_at_once_is_found() {
    let mut scenario = witness_restart();
    scenario.events = vec![PlannedEvent::RestartUnderOldIdentity(4)];
    scenario.faults = vec![(2, ProcessFault::CutOut), (2, ProcessFault::CutIn)];
    scenario.initial = scenario.faults.clone();
    scenario.initial.push((4, ProcessFault::LogCut));
    scenario.actions = 3;

    assert_found::<SoundRules>(&scenario);
}
