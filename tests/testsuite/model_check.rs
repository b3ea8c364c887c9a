//! Bounded model check of the ownership state machines under faults.
//!
//! Time advances in steps. At each step, the explorer switches at most one
//! fault on or off or triggers one event. It explores all sequences of these
//! actions up to a limit, breadth first. The state machines and the fold are
//! those that `winchd` runs. The check also runs with each rule of the protocol
//! broken, and has to find a violation: otherwise it could not detect one.

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

const STEP_MS: u64 = 100;

/// Delay of late and duplicated messages.
const DELAY_MS: u64 = 300;

/// Returns lease timing in multiples of a step, to keep the model small.
fn model_timing() -> LeaseTiming {
    LeaseTiming::builder()
        .renew_interval(millis(STEP_MS))
        .lease(millis(4 * STEP_MS))
        .drift_margin(millis(STEP_MS))
        .max_tick_gap(millis(2 * STEP_MS))
        .resend_interval(millis(STEP_MS))
        .max_resend_interval(millis(2 * STEP_MS))
        .build()
}

/// A fault of one process, which an action switches on or off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ProcessFault {
    /// The process makes no steps.
    Paused,
    /// Messages from the process are lost.
    CutOut,
    /// Messages to the process are lost.
    CutIn,
    /// Messages to the process arrive late.
    LateIn,
    /// Messages to the process arrive twice.
    RepeatedIn,
    /// The process can neither read nor append to the log.
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
enum ModelEvent {
    Assign(&'static [u16]),
    NameWitnesses(u16, &'static [u16]),
    Resign(u16),
    Restart(u16),
    /// Restarts a process without a new incarnation, which the protocol
    /// forbids.
    RestartWithOldIncarnation(u16),
}

#[derive(Debug, Clone, Copy)]
enum ModelAction {
    Wait,
    ToggleFault(u16, ProcessFault),
    Trigger(usize),
}

/// A fleet, and the faults and events to explore.
#[derive(Debug, Clone)]
struct ModelScenario {
    log: FleetLog,
    running: Vec<u16>,
    initial_faults: Vec<(u16, ProcessFault)>,
    faults: Vec<(u16, ProcessFault)>,
    events: Vec<ModelEvent>,
    max_actions: usize,
    max_steps: usize,
    /// Whether messages that are due together are delivered newest first.
    newest_first: bool,
}

#[derive(Debug, Clone)]
struct ModelState<R> {
    simulation: OwnershipSimulation<R>,
    faults: HashSet<(u16, ProcessFault), FixedHasher>,
    /// Bit set of the events that have been triggered, by index.
    triggered: u32,
    actions_left: usize,
    newest_first: bool,
    in_flight: Vec<(u64, MessageEnvelope)>,
    trace: Vec<(u64, String)>,
}

type FixedHasher = std::hash::BuildHasherDefault<std::hash::DefaultHasher>;

impl<R: LeaseRules> ModelState<R> {
    fn is_faulty(&self, member: Incarnation, fault: ProcessFault) -> bool {
        self.faults.contains(&((member % 100) as u16, fault))
    }

    fn fingerprint(&self) -> u64 {
        let mut faults: Vec<_> = self.faults.iter().collect();
        faults.sort_unstable();
        let parts = (
            &self.simulation,
            faults,
            self.triggered,
            self.actions_left,
            &self.in_flight,
        );
        FixedHasher::default().hash_one(parts)
    }

    fn act(&mut self, action: ModelAction, scenario: &ModelScenario) {
        match action {
            ModelAction::Wait => return,
            ModelAction::ToggleFault(node, fault) => {
                if !self.faults.remove(&(node, fault)) {
                    self.faults.insert((node, fault));
                }
                self.trace
                    .push((self.simulation.now, format!("{fault:?} {node}")));
            }
            ModelAction::Trigger(index) => {
                let event = scenario.events[index];
                self.triggered |= 1 << index;
                self.trigger(event);
                self.trace.push((self.simulation.now, format!("{event:?}")));
            }
        }
        self.actions_left -= 1;
    }

    fn trigger(&mut self, event: ModelEvent) {
        let simulation = &mut self.simulation;
        match event {
            ModelEvent::Assign(nodes) => simulation.change_log(|log| {
                if are_members(log, nodes) {
                    log.assign(&slice(0), nodes);
                }
            }),
            ModelEvent::NameWitnesses(node, witnesses) => simulation.change_log(|log| {
                if are_members(log, witnesses) && are_members(log, &[node]) {
                    log.name_witnesses(node, witnesses);
                }
            }),
            ModelEvent::Resign(node) => {
                let member = incarnation(node);
                let can_append = !self.is_faulty(member, ProcessFault::LogCut);
                self.simulation.resign(member, &slice(0), can_append);
            }
            ModelEvent::Restart(node) => {
                let former = incarnation(node);
                simulation.restart(node, former, former + 100);
            }
            ModelEvent::RestartWithOldIncarnation(node) => simulation.start(incarnation(node)),
        }
    }

    /// Advances time by one step and runs every process that is not paused.
    fn advance(&mut self) {
        self.simulation.now += STEP_MS;
        self.simulation.check_owners();
        let members: Vec<Incarnation> = self.simulation.processes.keys().copied().collect();
        for member in members {
            if self.is_faulty(member, ProcessFault::Paused) {
                continue;
            }
            if !self.is_faulty(member, ProcessFault::LogCut) {
                self.simulation.fold(member);
            }
            self.simulation.tick(member);
            self.deliver_due();
        }
        self.deliver_due();
    }

    /// Delivers due messages until there are none.
    fn deliver_due(&mut self) {
        loop {
            for envelope in std::mem::take(&mut self.simulation.outbox) {
                self.route(envelope);
            }
            for (author, certificate) in std::mem::take(&mut self.simulation.appends) {
                if !self.is_faulty(author, ProcessFault::LogCut) {
                    self.simulation.append_end(author, certificate);
                }
            }
            let now = self.simulation.now;
            let in_flight = std::mem::take(&mut self.in_flight);
            let (mut due, later): (Vec<_>, Vec<_>) =
                in_flight.into_iter().partition(|(due, envelope)| {
                    *due <= now && !self.is_faulty(envelope.to, ProcessFault::Paused)
                });
            self.in_flight = later;
            if due.is_empty() && self.simulation.outbox.is_empty() {
                return;
            }
            if self.newest_first {
                due.reverse();
            }
            for (_, envelope) in due {
                self.simulation.deliver(envelope);
            }
        }
    }

    fn route(&mut self, envelope: MessageEnvelope) {
        let MessageEnvelope { from, to, .. } = envelope;
        let is_lost = self.is_faulty(from, ProcessFault::CutOut)
            || self.is_faulty(to, ProcessFault::CutIn)
            || !self.simulation.processes.contains_key(&to);
        if is_lost {
            return;
        }
        let now = self.simulation.now;
        if self.is_faulty(to, ProcessFault::RepeatedIn) {
            self.in_flight.push((now + DELAY_MS, envelope.clone()));
        }
        let is_late = self.is_faulty(to, ProcessFault::LateIn);
        let due = if is_late { now + DELAY_MS } else { now };
        self.in_flight.push((due, envelope));
    }
}

fn are_members(log: &FleetLog, nodes: &[u16]) -> bool {
    let mut members = nodes.iter().map(|node| incarnation(*node));
    members.all(|member| log.state.members.contains_key(&member))
}

/// The result of an exploration.
#[derive(Debug, Default)]
struct ModelReport {
    states: usize,
    counts: SimulationCounts,
    violation: Option<String>,
}

fn explore<R: LeaseRules>(scenario: &ModelScenario) -> ModelReport {
    let members: Vec<Incarnation> = scenario.running.iter().map(|it| incarnation(*it)).collect();
    let first: ModelState<R> = ModelState {
        simulation: OwnershipSimulation::new(scenario.log.clone(), &members, model_timing()),
        faults: scenario.initial_faults.iter().copied().collect(),
        triggered: 0,
        actions_left: scenario.max_actions,
        newest_first: scenario.newest_first,
        in_flight: Vec::new(),
        trace: Vec::new(),
    };
    let mut report = ModelReport::default();
    let mut seen: HashSet<u64, FixedHasher> = HashSet::default();
    let mut frontier = vec![first];
    for _ in 0..scenario.max_steps {
        let mut next = Vec::new();
        for state in &frontier {
            for action in actions_of(state, scenario) {
                let mut successor = state.clone();
                successor.act(action, scenario);
                successor.advance();
                if let Some(violation) = &successor.simulation.violation {
                    let trace = &successor.trace;
                    report.violation = Some(format!("{violation}, after {trace:?}"));
                    return report;
                }
                report.counts.add(successor.simulation.counts);
                successor.simulation.counts = SimulationCounts::default();
                successor.simulation.events.clear();
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
    let mut actions = vec![ModelAction::Wait];
    if state.actions_left == 0 {
        return actions;
    }
    for (node, fault) in &scenario.faults {
        actions.push(ModelAction::ToggleFault(*node, *fault));
    }
    for index in 0..scenario.events.len() {
        if state.triggered & (1 << index) == 0 {
            actions.push(ModelAction::Trigger(index));
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

/// Node 2 owns slice 0 and node 3 is its successor; nodes 3 to 5 witness node
/// 2.
fn takeover() -> ModelScenario {
    let mut log = FleetLog::with_nodes(5);
    log.name_witnesses(2, &[3, 4, 5]);
    log.name_witnesses(3, &[2, 4, 5]);
    log.assign(&slice(0), &[2, 3]);
    ModelScenario {
        log,
        running: vec![2, 3, 4, 5],
        initial_faults: Vec::new(),
        faults: all_faults(&[2, 3, 4]),
        events: vec![ModelEvent::Resign(2), ModelEvent::Restart(2)],
        max_actions: 2,
        max_steps: 10,
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
        initial_faults: Vec::new(),
        faults: all_faults(&[2, 3, 4]),
        events: vec![ModelEvent::Restart(4), ModelEvent::NameWitnesses(2, &[3])],
        max_actions: 2,
        max_steps: 10,
        newest_first: false,
    }
}

/// Node 2 owns slice 0, and its only witness changes from node 4 to node 5.
fn witness_change() -> ModelScenario {
    let mut log = FleetLog::with_nodes(5);
    log.name_witnesses(2, &[4]);
    log.name_witnesses(3, &[5]);
    log.assign(&slice(0), &[2, 3]);
    ModelScenario {
        log,
        running: vec![2, 3, 4, 5],
        initial_faults: Vec::new(),
        faults: all_faults(&[2, 3, 4, 5]),
        events: vec![ModelEvent::NameWitnesses(2, &[5])],
        max_actions: 2,
        max_steps: 10,
        newest_first: false,
    }
}

/// Node 2 owns slice 0. Nodes 3 and 2 are appended to its chain in turn, and
/// each owner resigns in favour of the next.
fn planned_move() -> ModelScenario {
    let mut log = FleetLog::with_nodes(4);
    log.name_witnesses(2, &[4]);
    log.name_witnesses(3, &[4]);
    log.assign(&slice(0), &[2]);
    ModelScenario {
        log,
        running: vec![2, 3, 4],
        initial_faults: Vec::new(),
        faults: all_faults(&[2, 3]),
        events: vec![
            ModelEvent::Assign(&[3]),
            ModelEvent::Resign(2),
            ModelEvent::Assign(&[2]),
            ModelEvent::Resign(3),
        ],
        max_actions: 3,
        max_steps: 6,
        newest_first: false,
    }
}

/// Returns the number of additional actions to explore, from the variable
/// `WINCH_MODEL_EXTRA_ACTIONS`; 0 by default.
fn extra_actions() -> usize {
    let extra = std::env::var("WINCH_MODEL_EXTRA_ACTIONS");
    extra.ok().and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Explores a scenario with messages that are due together delivered in order
/// and in reverse, and asserts that neither run finds a violation.
fn assert_no_violation(name: &str, mut scenario: ModelScenario) -> ModelReport {
    scenario.max_actions += extra_actions();
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
fn a_takeover_never_has_two_owners() {
    let report = assert_no_violation("takeover", takeover());

    assert!(report.counts.certificates > 0);
    assert!(report.counts.resignations > 0);
}

#[test]
fn a_restarted_witness_never_leads_to_two_owners() {
    let report = assert_no_violation("witness restart", witness_restart());

    assert!(report.counts.certificates > 0);
}

#[test]
fn a_witness_change_never_leads_to_two_owners() {
    let report = assert_no_violation("witness change", witness_change());

    assert!(report.counts.certificates > 0);
    assert!(report.counts.set_changes > 0);
}

#[test]
fn a_planned_move_never_has_two_owners() {
    let report = assert_no_violation("planned move", planned_move());

    assert!(report.counts.resignations > 0);
}

/// Declares lease rules that differ from [`SoundRules`] in one broken rule.
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
    /// A holder counts a promise from its receipt instead of the renewal's
    /// sending.
    CountFromReceipt,
    fn promise_start(_sent: ClockReading, received: ClockReading) -> ClockReading {
        received
    }
}

broken_rules! {
    /// A witness does not wait for the first renewal of a holder that it starts
    /// to watch.
    StateAtOnce,
    fn first_renewal_timeout(_timing: &LeaseTiming) -> Duration {
        Duration::ZERO
    }
}

broken_rules! {
    /// A witness promises again after it has stated a lapse.
    PromiseAfterLapse,
    fn may_promise_after_lapse() -> bool {
        true
    }
}

broken_rules! {
    /// A new witness set becomes active before the old one has acknowledged it.
    ChangeAtOnce,
    fn is_set_change_acknowledged(_acknowledged: usize, _quorum: usize) -> bool {
        true
    }
}

broken_rules! {
    /// A new witness set certifies a lapse while the old one may be active.
    NewSetCertifies,
    fn checks_former_sets() -> bool {
        false
    }
}

broken_rules! {
    /// A single statement proves a lapse.
    OneStatement,
    fn is_lapse_proven(stated: usize, _quorum: usize) -> bool {
        stated > 0
    }
}

/// Asserts that exploring a scenario with broken rules finds two owners.
fn assert_detected<R: LeaseRules>(scenario: &ModelScenario) {
    let report = explore::<R>(scenario);

    let violation = report.violation.expect("the broken rule is found");
    println!("{violation}");
    assert!(violation.contains("two owners"), "{violation}");
}

#[test]
fn counting_a_promise_from_receipt_is_detected() {
    assert_detected::<CountFromReceipt>(&takeover());
}

#[test]
fn promising_after_a_lapse_is_detected() {
    let mut scenario = takeover();
    scenario.faults = vec![
        (2, ProcessFault::Paused),
        (4, ProcessFault::CutIn),
        (5, ProcessFault::CutIn),
    ];
    scenario.events.clear();
    scenario.max_actions = 4;

    assert_detected::<PromiseAfterLapse>(&scenario);
}

#[test]
fn changing_witnesses_without_the_old_quorum_is_detected() {
    let mut scenario = witness_change();
    scenario.newest_first = true;

    assert_detected::<ChangeAtOnce>(&scenario);
}

#[test]
fn certifying_under_a_set_that_the_holder_does_not_know_is_detected() {
    let mut scenario = witness_change();
    scenario.newest_first = true;

    assert_detected::<NewSetCertifies>(&scenario);
}

#[test]
fn taking_over_on_one_statement_is_detected() {
    assert_detected::<OneStatement>(&takeover());
}

#[test]
fn a_witness_with_its_old_incarnation_that_states_a_lapse_at_once_is_detected() {
    let mut scenario = witness_restart();
    scenario.events = vec![ModelEvent::RestartWithOldIncarnation(4)];

    assert_detected::<StateAtOnce>(&scenario);
}

#[test]
fn a_witness_with_its_old_incarnation_that_promises_at_once_is_detected() {
    let mut scenario = witness_restart();
    scenario.events = vec![ModelEvent::RestartWithOldIncarnation(4)];
    scenario.faults = vec![(2, ProcessFault::CutOut), (2, ProcessFault::CutIn)];
    scenario.initial_faults = scenario.faults.clone();
    scenario.initial_faults.push((4, ProcessFault::LogCut));
    scenario.max_actions = 3;

    assert_detected::<SoundRules>(&scenario);
}
