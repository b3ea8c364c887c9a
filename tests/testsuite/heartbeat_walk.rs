//! Random walks of an owner and an upstream that takes its keys from the answers
//! to its heartbeats. Heartbeats and answers are late, lost or crossed, the
//! upstream's clock is slow, its processes end and the owner restarts.
//!
//! The walks guard against two holders of the same keys: the upstream must hold
//! nothing once the owner's lease has expired, nor keys that the owner has declared
//! free. A second test shows that each rule is needed: with the rule disabled, some
//! walk violates this.

use std::time::Duration;

use buckthornwinch::ranges::edit::RangeTransfer;
use buckthornwinch::ranges::grants::GrantTracker;
use buckthornwinch::ranges::grants::heartbeat::GrantSet;
use buckthornwinch::ranges::grants::heartbeat::HeldRange;
use buckthornwinch::ranges::grants::heartbeat::HeldReport;
use buckthornwinch::ranges::grants::heartbeat::ReleasedRange;
use buckthornwinch::ranges::map::KeyRange;
use buckthornwinch::sidecar::moves::MoveCause;
use buckthornwinch::sidecar::moves::RangeMove;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP: Duration = Duration::from_millis(20);

/// Steps per walk, which make twenty seconds.
const STEPS: u32 = 1_000;

const WALKS: u64 = 1_000;

const LEASE: Duration = Duration::from_millis(2_610);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(870);

const RELEASE_INTERVAL: Duration = Duration::from_millis(100);

/// How long an upstream waits for the answer to a heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// How much longer a slow upstream takes for the same time.
const SLOW_CLOCK: f64 = 1.02;

const KEYS: u16 = 100;

/// The rule that a walk disables. The comments state the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DisabledRule {
    Nothing,
    /// Free keys wait for answers that may still grant them.
    LateAnswer,
    /// Keys that the upstream holds by a grant of a former process of the owner are
    /// not free before that grant has expired.
    FormerGrants,
    /// The hold time leaves room for a slow clock.
    SlowClock,
    /// A heartbeat that arrives after a later one is ignored.
    HeartbeatOrder,
    /// The answer to a heartbeat of an earlier process of the upstream is not taken
    /// by the present one.
    UpstreamProcess,
}

#[derive(Debug, Clone, Copy)]
struct HeldRow {
    held: HeldRange,
    until: Duration,
    leaving: bool,
    /// Until when requests for it run that began before it was to be given up.
    busy_until: Duration,
}

#[derive(Debug, Clone)]
enum Message {
    Heartbeat(u64, Duration, HeldReport),
    Answer(u64, Duration, Option<GrantSet>),
}

struct HeartbeatWalk {
    rng: StdRng,
    disabled: DisabledRule,
    now: Duration,
    tracker: GrantTracker,
    lease: Duration,
    isolated: bool,
    /// Keys that the owner owns, and the base of their fence.
    owned: Vec<KeyRange>,
    next_base: u64,
    planned: Option<RangeMove>,
    /// Keys that were declared free, with the base of the fence under which the
    /// upstream must not hold them any more.
    freed: Vec<RangeTransfer>,
    /// Newest process of the upstream that the owner knows.
    known_process: u64,
    /// When the newest heartbeat that the owner knows was sent.
    last_sent: Duration,
    /// The heartbeat that waits for its answer.
    waiting: Option<(u64, Duration, Duration)>,
    upstream_process: u64,
    rows: Vec<HeldRow>,
    released: Vec<ReleasedRange>,
    next_heartbeat: Duration,
    messages: Vec<(Duration, Message)>,
    late_tenths: u32,
}

impl HeartbeatWalk {
    fn new(seed: u64, disabled: DisabledRule) -> Self {
        let owned = vec![KeyRange {
            first: 0,
            last: KEYS - 1,
            owner: Some(1),
            fence_base: 10,
            handover: None,
        }];
        let mut tracker = GrantTracker::default();
        tracker.upstream_started();
        tracker.update_owned(&owned);
        Self {
            rng: StdRng::seed_from_u64(seed),
            disabled,
            now: Duration::from_secs(1),
            tracker,
            lease: Duration::from_secs(1) + LEASE,
            isolated: false,
            owned,
            next_base: 11,
            planned: None,
            freed: Vec::new(),
            known_process: 1,
            last_sent: Duration::ZERO,
            waiting: None,
            upstream_process: 1,
            rows: Vec::new(),
            released: Vec::new(),
            next_heartbeat: Duration::from_secs(1),
            messages: Vec::new(),
            late_tenths: if seed.is_multiple_of(2) { 1 } else { 4 },
        }
    }

    /// Sends a message. Most arrive soon, some late, and some are lost.
    fn send(&mut self, message: Message) {
        let delay = match self.rng.random_range(0..10) {
            0 => return,
            part if part <= self.late_tenths => self.rng.random_range(0..3_000),
            _ => self.rng.random_range(0..30),
        };
        let at = self.now + Duration::from_millis(delay);
        self.messages.push((at, message));
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let due = self.messages.extract_if(.., |(at, _message)| *at <= now);
        let due: Vec<Message> = due.map(|(_at, message)| message).collect();
        for message in due {
            match message {
                Message::Heartbeat(process, sent, report) => {
                    self.receive_heartbeat(process, sent, &report);
                }
                Message::Answer(process, sent, answer) => {
                    self.receive_answer(process, sent, answer);
                }
            }
        }
        match self.rng.random_range(0..600) {
            0..=2 => self.isolated = !self.isolated,
            3 => self.restart_upstream(),
            4 => self.restart_owner(),
            5..=30 => self.begin_move(),
            _ => {}
        }
        if !self.isolated && self.rng.random_ratio(1, 15) {
            self.lease = now + LEASE;
        }
        self.step_owner();
        self.step_upstream();
    }

    fn restart_upstream(&mut self) {
        self.upstream_process += 1;
        self.rows.clear();
        self.released.clear();
        self.next_heartbeat = self.now;
    }

    /// Starts a new process of the owner, which gets the keys under a higher fence
    /// and knows no grants of the former one.
    fn restart_owner(&mut self) {
        let base = self.next_base;
        self.next_base += 1;
        for range in &mut self.owned {
            range.fence_base = base;
        }
        self.tracker = GrantTracker::default();
        self.tracker.upstream_started();
        self.tracker.update_owned(&self.owned);
        self.known_process = 0;
        self.last_sent = Duration::ZERO;
        self.planned = None;
        self.waiting = None;
    }

    fn begin_move(&mut self) {
        if self.planned.is_some() || self.waiting.is_none() {
            return;
        }
        let first = self.rng.random_range(0..KEYS - 10);
        let part = RangeTransfer {
            first,
            last: first + self.rng.random_range(0..10),
            target: Some(2),
            fence_base: 0,
            handover: None,
        };
        let moved = RangeMove::begin(
            "catalogue".into(),
            MoveCause::Load,
            &[part],
            &mut self.tracker,
            self.now,
        );
        self.planned = Some(moved);
    }

    fn receive_heartbeat(&mut self, process: u64, sent: Duration, report: &HeldReport) {
        if process < self.known_process || process < self.upstream_process {
            return;
        }
        if process > self.known_process {
            let is_first = self.known_process == 0;
            self.known_process = process;
            if !is_first {
                self.tracker.upstream_started();
                if let Some(planned) = &mut self.planned {
                    planned.mark_all_free();
                }
            }
        }
        if sent < self.last_sent && self.disabled != DisabledRule::HeartbeatOrder {
            return;
        }
        self.last_sent = sent;
        if self.disabled != DisabledRule::FormerGrants {
            self.tracker.record_report(report, self.now, LEASE);
        }
        if let Some(planned) = &mut self.planned {
            let mut known = self.tracker.clone();
            if self.disabled == DisabledRule::LateAnswer {
                known.upstream_started();
            }
            planned.record_report(report, &known);
        }
        self.waiting = Some((process, sent, self.now));
    }

    fn step_owner(&mut self) {
        let now = self.now;
        if let Some((process, sent, received)) = self.waiting
            && self.rng.random_ratio(1, 8)
        {
            self.waiting = None;
            let lease = match self.disabled {
                DisabledRule::SlowClock => self.lease + self.lease.saturating_sub(received) / 50,
                _ => self.lease,
            };
            let answer = (now < self.lease)
                .then(|| self.tracker.answer_heartbeat(received, now, lease))
                .flatten();
            if let (Some(_set), Some(planned)) = (&answer, &mut self.planned) {
                planned.record_answer(&self.tracker);
            }
            self.send(Message::Answer(process, sent, answer));
        }
        let Some(planned) = &mut self.planned else {
            return;
        };
        planned.free_expired(&self.tracker, now);
        let Some(transfers) = planned.transfers(now) else {
            return;
        };
        self.planned = None;
        // The keys come back at once as another grant would bring them, so that the
        // walk does not run out of keys.
        let base = self.next_base;
        self.next_base += 1;
        let mut kept = Vec::new();
        for range in &self.owned {
            let mut next = u32::from(range.first);
            for part in &transfers {
                if part.last < range.first || part.first > range.last {
                    continue;
                }
                if next < u32::from(part.first) {
                    kept.extend(range.intersection(next as u16, part.first - 1));
                }
                kept.extend(
                    range
                        .intersection(part.first, part.last)
                        .map(|piece| KeyRange {
                            fence_base: base,
                            ..piece
                        }),
                );
                next = u32::from(part.last) + 1;
            }
            if next <= u32::from(range.last) {
                kept.extend(range.intersection(next as u16, range.last));
            }
        }
        self.freed
            .extend(transfers.into_iter().map(|part| RangeTransfer {
                fence_base: base,
                ..part
            }));
        self.owned = kept;
        self.tracker.update_owned(&self.owned);
    }

    fn step_upstream(&mut self) {
        let now = self.now;
        self.rows
            .retain(|row| row.until > now || (row.leaving && row.busy_until > now));
        let given_up = self
            .rows
            .extract_if(.., |row| row.leaving && row.busy_until <= now);
        let given_up: Vec<HeldRow> = given_up.collect();
        self.released
            .extend(given_up.iter().map(|row| ReleasedRange {
                first: row.held.first,
                last: row.held.last,
                handover: Some("state".into()),
            }));
        if now < self.next_heartbeat {
            return;
        }
        let is_leaving = self.rows.iter().any(|row| row.leaving) || !given_up.is_empty();
        let interval = if is_leaving {
            RELEASE_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        self.next_heartbeat = now + interval;
        let report = HeldReport {
            holds: self.rows.iter().map(|row| row.held).collect(),
            released: self.released.clone(),
        };
        self.send(Message::Heartbeat(self.upstream_process, now, report));
    }

    fn receive_answer(&mut self, process: u64, sent: Duration, answer: Option<GrantSet>) {
        let is_present =
            process == self.upstream_process || self.disabled == DisabledRule::UpstreamProcess;
        if !is_present || self.now > sent + ANSWER_TIMEOUT {
            return;
        }
        self.released.clear();
        let Some(granted) = answer else { return };
        let until = sent + granted.hold.mul_f64(SLOW_CLOCK);
        let former = std::mem::take(&mut self.rows);
        for row in former {
            for key in row.held.first..=row.held.last {
                let is_kept = granted
                    .ranges
                    .iter()
                    .any(|range| range.first <= key && key <= range.last);
                if !is_kept {
                    let busy = Duration::from_millis(self.rng.random_range(0..200));
                    self.rows.push(HeldRow {
                        held: HeldRange {
                            first: key,
                            last: key,
                            ..row.held
                        },
                        leaving: true,
                        busy_until: if row.leaving {
                            row.busy_until
                        } else {
                            (self.now + busy).min(row.until)
                        },
                        ..row
                    });
                }
            }
        }
        self.next_heartbeat = self.next_heartbeat.min(self.now + RELEASE_INTERVAL);
        for range in granted.ranges {
            self.rows.push(HeldRow {
                held: HeldRange {
                    first: range.first,
                    last: range.last,
                    fence: range.fence,
                },
                until,
                leaving: false,
                busy_until: Duration::ZERO,
            });
        }
    }

    /// Returns what the upstream holds although it must not.
    fn violation(&self) -> Option<String> {
        let now = self.now;
        let held = self
            .rows
            .iter()
            .filter(|row| row.until > now && !row.leaving);
        for row in held {
            if self.lease < now {
                return Some(format!("{row:?} is held after the lease at {now:?}"));
            }
            let stale = self.freed.iter().find(|part| {
                let overlaps = part.first <= row.held.last && row.held.first <= part.last;
                overlaps && row.held.fence >> 10 <= part.fence_base
            });
            if let Some(part) = stale {
                return Some(format!("{row:?} is held at {now:?}, though free: {part:?}"));
            }
        }
        None
    }
}

fn first_violation(disabled: DisabledRule) -> Option<String> {
    (0..WALKS).find_map(|seed| {
        let mut walk = HeartbeatWalk::new(seed, disabled);
        (0..STEPS).find_map(|_step| {
            walk.step();
            walk.violation().map(|text| format!("seed {seed}: {text}"))
        })
    })
}

#[test]
fn an_upstream_holds_nothing_that_its_owner_may_not_grant() {
    assert_eq!(first_violation(DisabledRule::Nothing), None);
}

#[test]
fn each_rule_of_grants_by_heartbeat_is_needed() {
    let rules = [
        DisabledRule::LateAnswer,
        DisabledRule::FormerGrants,
        DisabledRule::SlowClock,
        DisabledRule::HeartbeatOrder,
        DisabledRule::UpstreamProcess,
    ];

    for rule in rules {
        assert!(first_violation(rule).is_some(), "{rule:?}");
    }
}
