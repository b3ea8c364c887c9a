//! Random walks through the lease protocol: a holder, its voters, a process that
//! suspects the holder, and a store, with messages that are lost or delayed.
//!
//! The walks guard against two owners of the same keys: the keys must not be
//! reassigned while the holder still relies on its lease. A second test shows that
//! each rule of the protocol is needed: with the rule disabled, some walk violates
//! this.

use std::collections::BTreeSet;
use std::time::Duration;

use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::base::ids::Offset;
use buckthornwinch::ranges::lease::HolderLease;
use buckthornwinch::ranges::lease::RENEW_INTERVAL;
use buckthornwinch::ranges::lease::VOTER_COUNT;
use buckthornwinch::ranges::lease::VOTER_LEASE;
use buckthornwinch::ranges::lease::quorum_of;
use buckthornwinch::ranges::map::RangeVoter;
use buckthornwinch::ranges::voter::VoterState;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

const HOLDER: Incarnation = 1;

const VOTERS: usize = 5;

const STEP: Duration = Duration::from_millis(20);

/// Steps per walk, which make twelve seconds.
const STEPS: u32 = 600;

const WALKS: u64 = 1_500;

/// Largest relative error of a clock's rate.
const CLOCK_DRIFT: f64 = 0.02;

/// The rule of the protocol that a walk disables. The comments state the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DisabledRule {
    Nothing,
    /// A voter refuses a holder only after its promise has expired.
    VoterWait,
    /// A voter without a renewal in a term counts from the first question.
    UnknownTerm,
    /// A holder that has named other voters counts no later promises.
    Freeze,
    /// A holder counts its lease from the sending of the renewal.
    SentTime,
    /// A map is written only if nothing was written since it was read.
    Condition,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct MapRecord {
    end: Offset,
    term: Offset,
    voters: Vec<Incarnation>,
    owned: bool,
}

#[derive(Debug, Clone)]
enum Message {
    Renew(Incarnation, Offset, Duration),
    Vote(Incarnation, Offset, Duration, bool),
    Ask(Incarnation, Offset),
    Lapsed(Incarnation, Offset),
    NameVoters(Offset, Vec<Incarnation>),
    Expel(Offset),
}

struct VoterProcess {
    incarnation: Incarnation,
    /// Former processes at the same address, for which it answers questions.
    former: Vec<Incarnation>,
    ledger: VoterState,
    rate: f64,
}

struct LeaseWalk {
    rng: StdRng,
    disabled: DisabledRule,
    now: Duration,
    holder_rate: f64,
    store: MapRecord,
    /// The map as the holder and the suspecting process last read it.
    known: [MapRecord; 2],
    lease: HolderLease,
    next_renewal: Duration,
    /// Offset that the holder's change of voters gets if it takes effect; `None`
    /// if no change is in flight.
    open_voters: Option<Offset>,
    voters: Vec<VoterProcess>,
    next_incarnation: Incarnation,
    /// Voters that refused the holder under `refused_term`.
    refused: BTreeSet<Incarnation>,
    refused_term: Offset,
    /// Messages in flight and when they arrive.
    messages: Vec<(Duration, Message)>,
    /// Number of messages in ten that arrive late.
    delayed_tenths: u32,
    is_holder_isolated: bool,
}

fn range_voters(voters: &[Incarnation]) -> Vec<RangeVoter> {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    voters
        .iter()
        .map(|incarnation| RangeVoter {
            incarnation: *incarnation,
            address,
        })
        .collect()
}

impl LeaseWalk {
    fn new(seed: u64, disabled: DisabledRule) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut drift = || rng.random_range(1.0 - CLOCK_DRIFT..=1.0 + CLOCK_DRIFT);
        let holder_rate = drift();
        let voters: Vec<VoterProcess> = (0..VOTERS)
            .map(|number| VoterProcess {
                incarnation: 10 + number as Incarnation,
                former: Vec::new(),
                ledger: VoterState::default(),
                rate: drift(),
            })
            .collect();
        let first: Vec<Incarnation> = voters.iter().map(|voter| voter.incarnation).collect();
        let record = MapRecord {
            end: 1,
            term: 0,
            voters: first[..VOTER_COUNT].to_vec(),
            owned: true,
        };
        Self {
            rng,
            disabled,
            now: Duration::ZERO,
            holder_rate,
            lease: HolderLease::new(0, &range_voters(&record.voters), Duration::ZERO),
            known: [record.clone(), record.clone()],
            store: record,
            next_renewal: Duration::ZERO,
            open_voters: None,
            voters,
            next_incarnation: 100,
            refused: BTreeSet::new(),
            refused_term: 0,
            messages: Vec::new(),
            delayed_tenths: if seed.is_multiple_of(2) { 1 } else { 6 },
            is_holder_isolated: false,
        }
    }

    fn holder_now(&self) -> Duration {
        self.now.mul_f64(self.holder_rate)
    }

    /// Sends a message. Most messages arrive soon, some late, and some are lost.
    fn send(&mut self, message: Message) {
        let delay = match self.rng.random_range(0..10) {
            0 => return,
            part if part <= self.delayed_tenths => self.rng.random_range(0..3_000),
            _ => self.rng.random_range(0..60),
        };
        let at = self.now + Duration::from_millis(delay);
        self.messages.push((at, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<Message> = self
            .messages
            .extract_if(.., |(at, _message)| *at <= now)
            .map(|(_at, message)| message)
            .collect();
        for message in due {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Renew(voter, term, sent) => {
                let now = self.now;
                let Some(process) = self.voter(voter) else {
                    return;
                };
                let local = now.mul_f64(process.rate);
                let granted = process.ledger.renew(HOLDER, term, local);
                self.send(Message::Vote(voter, term, sent, granted));
            }
            Message::Vote(voter, term, sent, granted) => {
                if self.is_holder_isolated {
                    return;
                }
                let counted = if self.disabled == DisabledRule::SentTime {
                    self.holder_now()
                } else {
                    sent
                };
                if granted {
                    self.lease.record_promise(voter, term, counted);
                } else {
                    self.lease.record_refusal(voter, term);
                }
            }
            Message::Ask(voter, term) => {
                let (now, disabled) = (self.now, self.disabled);
                let answers = |process: &&mut VoterProcess| {
                    process.incarnation == voter || process.former.contains(&voter)
                };
                let Some(process) = self.voters.iter_mut().find(answers) else {
                    return;
                };
                let local = now.mul_f64(process.rate);
                let refuses = match disabled {
                    DisabledRule::VoterWait => {
                        process.ledger.refuse_if_lapsed(HOLDER, term, local);
                        process
                            .ledger
                            .refuse_if_lapsed(HOLDER, term, local + VOTER_LEASE)
                    }
                    DisabledRule::UnknownTerm => {
                        let mut fresh = process.ledger.clone();
                        let knows = !fresh.refuse_if_lapsed(HOLDER, term, local)
                            && process.ledger.renew(HOLDER, term, local)
                            && term == 0;
                        !knows || process.ledger.refuse_if_lapsed(HOLDER, term, local)
                    }
                    _ => process.ledger.refuse_if_lapsed(HOLDER, term, local),
                };
                if refuses {
                    self.send(Message::Lapsed(voter, term));
                }
            }
            Message::Lapsed(voter, term) => {
                if term == self.refused_term {
                    self.refused.insert(voter);
                }
            }
            Message::NameVoters(at, voters) => {
                if self.may_write(at) {
                    self.store.term = self.store.end;
                    self.store.voters = voters;
                    self.store.end += 1;
                }
            }
            Message::Expel(at) => {
                if self.may_write(at) {
                    self.store.owned = false;
                    self.store.end += 1;
                }
            }
        }
    }

    fn may_write(&self, at: Offset) -> bool {
        self.store.owned && (at == self.store.end || self.disabled == DisabledRule::Condition)
    }

    fn voter(&mut self, incarnation: Incarnation) -> Option<&mut VoterProcess> {
        self.voters
            .iter_mut()
            .find(|voter| voter.incarnation == incarnation)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        match self.rng.random_range(0..400) {
            0..=3 => self.is_holder_isolated = !self.is_holder_isolated,
            4 | 5 => self.restart_voter(),
            // Another process appends a record to the topic.
            6..=9 => self.store.end += 1,
            _ => {}
        }
        if !self.is_holder_isolated {
            self.step_holder();
        }
        self.step_suspector();
    }

    fn restart_voter(&mut self) {
        let index = self.rng.random_range(0..VOTERS);
        let process = &mut self.voters[index];
        process.former.push(process.incarnation);
        process.incarnation = self.next_incarnation;
        process.ledger = VoterState::default();
        self.next_incarnation += 1;
    }

    fn step_holder(&mut self) {
        let now = self.holder_now();
        if self.rng.random_ratio(1, 15) {
            self.known[0] = self.store.clone();
            let record = &self.known[0];
            if record.term != self.lease.term() {
                self.lease = HolderLease::new(record.term, &range_voters(&record.voters), now);
                self.open_voters = None;
            }
            if self.open_voters.is_some_and(|at| record.end > at) {
                self.open_voters = None;
                self.lease.unfreeze();
            }
        }
        if now >= self.next_renewal {
            self.next_renewal = now + RENEW_INTERVAL;
            let term = self.lease.term();
            for voter in self.known[0].voters.clone() {
                self.send(Message::Renew(voter, term, now));
            }
        }
        let names = self.lease.needs_new_voters(now) && self.open_voters.is_none();
        if names && self.rng.random_ratio(1, 4) {
            if self.disabled != DisabledRule::Freeze {
                self.lease.freeze(now);
            }
            let live: Vec<Incarnation> = self.voters.iter().map(|one| one.incarnation).collect();
            let voters = live.sample(&mut self.rng, VOTER_COUNT).copied().collect();
            let at = self.known[0].end;
            self.open_voters = Some(at);
            self.send(Message::NameVoters(at, voters));
        }
    }

    fn step_suspector(&mut self) {
        if self.rng.random_ratio(1, 15) {
            self.known[1] = self.store.clone();
        }
        let MapRecord {
            end, term, voters, ..
        } = self.known[1].clone();
        if self.refused_term != term {
            self.refused_term = term;
            self.refused.clear();
        }
        if self.rng.random_ratio(1, 8) {
            for voter in &voters {
                self.send(Message::Ask(*voter, term));
            }
        }
        let refused = voters
            .iter()
            .filter(|voter| self.refused.contains(voter))
            .count();
        if refused >= quorum_of(voters.len()) && self.rng.random_ratio(1, 4) {
            self.send(Message::Expel(end));
        }
    }

    /// Returns whether the holder still relies on its lease although its keys were
    /// reassigned.
    fn is_violated(&self) -> bool {
        let relies = self
            .lease
            .valid_until()
            .is_some_and(|until| self.holder_now() < until);
        !self.store.owned && relies
    }
}

/// Returns the number of walks that expelled the holder, and the seeds of those in
/// which the holder relied on its lease after that.
fn run_walks(disabled: DisabledRule) -> (usize, Vec<u64>) {
    let mut expelled = 0;
    let mut violations = Vec::new();
    for seed in 0..WALKS {
        let mut walk = LeaseWalk::new(seed, disabled);
        let is_violated = (0..STEPS).any(|_step| {
            walk.step();
            walk.is_violated()
        });
        expelled += usize::from(!walk.store.owned);
        if is_violated {
            violations.push(seed);
        }
    }
    (expelled, violations)
}

#[test]
fn keys_are_not_reassigned_while_their_holder_relies_on_its_lease() {
    let (expelled, violations) = run_walks(DisabledRule::Nothing);

    assert_eq!(violations, Vec::<u64>::new());
    assert!(expelled > 100, "only {expelled} walks expelled the holder");
}

#[test]
fn each_rule_of_the_lease_protocol_is_needed() {
    for rule in [
        DisabledRule::VoterWait,
        DisabledRule::UnknownTerm,
        DisabledRule::Freeze,
        DisabledRule::SentTime,
        DisabledRule::Condition,
    ] {
        let (_expelled, violations) = run_walks(rule);

        assert!(
            !violations.is_empty(),
            "no walk violates exclusive ownership without {rule:?}"
        );
    }
}
