//! Snapshots of all messages and events of takeovers and a planned move, on a
//! network without faults.

use std::fmt::Write as _;

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::ownership::message::OwnershipMessage;
use buckthornwinch::ownership::rules::SoundRules;
use buckthornwinch::ownership::timing::LeaseTiming;
use buckthornwinch::state::record::MemberInfo;
use winch_test_support::fleet::FleetLog;
use winch_test_support::fleet::incarnation;
use winch_test_support::ownership_simulation::MessageEnvelope;
use winch_test_support::ownership_simulation::OwnershipSimulation;
use winch_test_support::records::member_info;
use winch_test_support::records::slice;

const TICK_MS: u64 = 50;

const LATENCY_MS: u64 = 2;

/// A fleet on a network without faults: node 2 owns slice 0, node 3 is its
/// successor, and nodes 4 and 5 witness both.
struct FleetSession {
    simulation: OwnershipSimulation<SoundRules>,
    in_flight: Vec<(u64, MessageEnvelope)>,
    log_is_up: bool,
    transcript: String,
}

impl FleetSession {
    fn start(members: impl Iterator<Item = MemberInfo>) -> Self {
        let mut log = FleetLog::with_members(members);
        log.name_witnesses(2, &[3, 4, 5]);
        log.name_witnesses(3, &[2, 4, 5]);
        log.assign(&slice(0), &[2, 3]);
        let members: Vec<Incarnation> = (2..=5).map(incarnation).collect();
        Self {
            simulation: OwnershipSimulation::new(log, &members, LeaseTiming::default()),
            in_flight: Vec::new(),
            log_is_up: true,
            transcript: String::new(),
        }
    }

    /// Runs until `end` in steps of a millisecond. Node n ticks n ms after each
    /// multiple of 50 ms.
    fn run_until(&mut self, end: u64) {
        while self.simulation.now < end {
            self.simulation.now += 1;
            let now = self.simulation.now;
            let members: Vec<Incarnation> = self.simulation.processes.keys().copied().collect();
            for member in members {
                if now % TICK_MS == member % 100 {
                    if self.log_is_up {
                        self.simulation.fold(member);
                    }
                    self.simulation.tick(member);
                }
                self.route_output();
            }
            let in_flight = std::mem::take(&mut self.in_flight);
            for (due, envelope) in in_flight {
                if due > now {
                    self.in_flight.push((due, envelope));
                } else {
                    self.simulation.deliver(envelope);
                    self.route_output();
                }
            }
        }
    }

    fn kill(&mut self, member: Incarnation) {
        self.simulation.processes.remove(&member);
        self.note(&format!("{member:x} is killed"));
    }

    fn route_output(&mut self) {
        for (time, member, event) in std::mem::take(&mut self.simulation.events) {
            let _ = writeln!(self.transcript, "{time:>5} {member:x} ownership: {event}");
        }
        for envelope in std::mem::take(&mut self.simulation.outbox) {
            let MessageEnvelope { from, to, message } = &envelope;
            let message = describe(message);
            self.note(&format!("{from:x} -> {to:x} {message}"));
            self.in_flight
                .push((self.simulation.now + LATENCY_MS, envelope));
        }
        for (author, certificate) in std::mem::take(&mut self.simulation.appends) {
            let subject = certificate.subject;
            if self.log_is_up {
                self.simulation.append_end(author, certificate);
                self.note(&format!("{author:x} appends the end of {subject:x}"));
            } else {
                self.note(&format!("{author:x} cannot append the end of {subject:x}"));
            }
        }
    }

    fn note(&mut self, line: &str) {
        let now = self.simulation.now;
        let _ = writeln!(self.transcript, "{now:>5} {line}");
    }
}

fn describe(message: &OwnershipMessage) -> String {
    match message {
        OwnershipMessage::Renew { number, active, .. } => {
            format!("renew #{number}, active set {active}")
        }
        OwnershipMessage::Promise { number, .. } => format!("promise #{number}"),
        OwnershipMessage::Refusal { .. } => "refusal".to_owned(),
        OwnershipMessage::Lapsed { subject, .. } => format!("lapsed {subject:x}"),
        OwnershipMessage::Certified(certificate) => format!("certified {:x}", certificate.subject),
        OwnershipMessage::Resigned { positions, .. } => {
            format!("resigned {} positions", positions.len())
        }
    }
}

fn fenced() -> impl Iterator<Item = MemberInfo> {
    (1..=5).map(|node| member_info(node, incarnation(node)))
}

fn unfenced() -> impl Iterator<Item = MemberInfo> {
    fenced().map(|mut info| {
        info.upstream.checks_fence = false;
        info
    })
}

/// Returns the transcript of a takeover after the owner is killed right after a
/// renewal, which is the worst case.
fn takeover_session(members: impl Iterator<Item = MemberInfo>, log_is_up: bool) -> String {
    let mut session = FleetSession::start(members);
    session.run_until(410);
    session.log_is_up = log_is_up;
    session.kill(incarnation(2));
    session.run_until(2_300);
    session.transcript
}

fn without_renewals(transcript: &str) -> String {
    let lines = transcript.lines();
    lines
        .filter(|line| !line.contains("renew #") && !line.contains("promise #"))
        .fold(String::new(), |text, line| text + line + "\n")
}

#[test]
fn takeover_with_the_log_up() {
    let transcript = takeover_session(fenced(), true);

    insta::assert_snapshot!(transcript);
}

#[test]
fn takeover_with_the_log_down() {
    let transcript = takeover_session(fenced(), false);

    insta::assert_snapshot!(without_renewals(&transcript));
}

#[test]
fn takeover_from_an_upstream_that_checks_no_fences() {
    let transcript = takeover_session(unfenced(), true);

    insta::assert_snapshot!(without_renewals(&transcript));
}

#[test]
fn planned_move_with_the_log_down() {
    let mut session = FleetSession::start(fenced());
    session.run_until(410);
    session.log_is_up = false;

    session.simulation.resign(incarnation(2), &slice(0), false);
    session.run_until(1_300);

    insta::assert_snapshot!(without_renewals(&session.transcript));
}

/// Returns how long slice 0 is without an owner after a kill, in milliseconds.
fn unavailable_after_kill(killed_at: u64) -> u64 {
    let mut session = FleetSession::start(fenced());
    session.run_until(killed_at);
    session.log_is_up = false;
    session.kill(incarnation(2));
    while session.simulation.owners(&slice(0)).is_empty() {
        session.run_until(session.simulation.now + 1);
    }
    session.simulation.now - killed_at
}

#[test]
fn a_takeover_takes_a_lease_and_a_tick_at_most() {
    let bound = 700 + TICK_MS + 2 * LATENCY_MS;

    let times: Vec<u64> = (400..600).map(unavailable_after_kill).collect();

    let worst = times.iter().max().copied().unwrap_or(0);
    let best = times.iter().min().copied().unwrap_or(0);
    let mean = times.iter().sum::<u64>() / times.len() as u64;
    println!("unavailable: best {best} ms, mean {mean} ms, worst {worst} ms");
    assert!(worst <= bound, "{worst} ms");
}
