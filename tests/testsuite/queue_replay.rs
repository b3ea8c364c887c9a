//! Worst loads replayed in virtual time through the sidecar's queue, against a
//! queue that serves in order of arrival.

use std::collections::VecDeque;
use std::time::Duration;

use buckthornwinch::admission::caller_age::CallerDeadlines;
use buckthornwinch::admission::deadline_queue::DeadlineQueue;
use buckthornwinch::admission::deadline_queue::QueuedRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SLOTS: usize = 8;

const TICK: Duration = Duration::from_millis(1);

/// How often the sidecar looks after its queue.
const CARE_INTERVAL: u64 = 50;

/// Weight of a sample, as in the sidecar.
const SAMPLE_WEIGHT: f32 = 0.1;

/// A kind of requests.
#[derive(Debug, Clone, Copy)]
struct LoadClass {
    name: &'static str,
    rank: u8,
    /// Requests a second, and how many times that while the burst lasts.
    rate: f64,
    burst: f64,
    service: u64,
    target: u64,
    deadline: u64,
}

const LOOKUP: LoadClass = LoadClass {
    name: "lookup",
    rank: 0,
    rate: 20.0,
    burst: 1.0,
    service: 190,
    target: 500,
    deadline: 3_000,
};

const REPORT: LoadClass = LoadClass {
    name: "report",
    rank: 2,
    rate: 5.0,
    burst: 1.0,
    service: 470,
    target: 2_500,
    deadline: 8_000,
};

/// A load: its classes, and the part of the callers that come back at once.
#[derive(Debug, Clone)]
struct LoadPattern {
    classes: Vec<LoadClass>,
    impatient: f64,
}

#[derive(Debug, Clone, Copy)]
struct CallerRequest {
    class: usize,
    first: u64,
    tries: u32,
    impatient: bool,
    offered: u64,
}

/// What became of a class's callers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct ClassOutcome {
    asked: u32,
    in_time: u32,
    late: u32,
    /// Longest time between an offer and its refusal, in milliseconds.
    longest_hold: u64,
}

impl ClassOutcome {
    fn in_time_part(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }
}

/// A queue under test. Refusals come with the time after which to return.
trait ReplayQueue {
    fn offer(&mut self, now: u64, request: CallerRequest) -> Option<Duration>;
    fn start(&mut self, now: u64) -> Option<CallerRequest>;
    fn finish(&mut self, class: usize, service: u64);
    fn care(&mut self, now: u64) -> Vec<(CallerRequest, Duration)>;
}

/// Serves in order of arrival and refuses at the deadline.
struct ArrivalOrder {
    classes: Vec<LoadClass>,
    waiting: VecDeque<CallerRequest>,
    running: usize,
}

impl ReplayQueue for ArrivalOrder {
    fn offer(&mut self, _now: u64, request: CallerRequest) -> Option<Duration> {
        self.waiting.push_back(request);
        None
    }

    fn start(&mut self, _now: u64) -> Option<CallerRequest> {
        if self.running >= SLOTS {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.running += 1;
        Some(next)
    }

    fn finish(&mut self, _class: usize, _service: u64) {
        self.running -= 1;
    }

    fn care(&mut self, now: u64) -> Vec<(CallerRequest, Duration)> {
        let classes = &self.classes;
        let ends = |request: &CallerRequest| {
            let class = classes[request.class];
            now + class.service > request.first + class.deadline
        };
        let hopeless = self.waiting.iter().copied().filter(|one| ends(one));
        let refused = hopeless
            .map(|one| (one, Duration::from_millis(150)))
            .collect();
        self.waiting.retain(|one| !ends(one));
        refused
    }
}

/// The sidecar's queue, with the callers' ages from its entry.
struct SidecarQueue {
    classes: Vec<LoadClass>,
    queue: DeadlineQueue<CallerRequest>,
    deadlines: Vec<CallerDeadlines>,
}

impl SidecarQueue {
    fn new(classes: &[LoadClass]) -> Self {
        let mut queue = DeadlineQueue::new();
        queue.set_slots(SLOTS as u32);
        for class in classes {
            queue.register_kind(class.name, class.rank);
        }
        Self {
            classes: classes.to_vec(),
            queue,
            deadlines: vec![CallerDeadlines::default(); classes.len()],
        }
    }
}

impl ReplayQueue for SidecarQueue {
    fn offer(&mut self, now: u64, request: CallerRequest) -> Option<Duration> {
        let class = self.classes[request.class];
        let left = Duration::from_millis(request.first + class.deadline - now);
        let age = self.deadlines[request.class].age(left);
        let at = Duration::from_millis(now);
        let queued = QueuedRequest {
            kind: request.class,
            target: at + Duration::from_millis(class.target).saturating_sub(age),
            deadline: at + left,
        };
        let offered = self.queue.offer(at, queued, request);
        offered.err()?.1.retry_after
    }

    fn start(&mut self, now: u64) -> Option<CallerRequest> {
        let started = self.queue.start_next(Duration::from_millis(now))?;
        Some(started.1)
    }

    fn finish(&mut self, class: usize, service: u64) {
        self.queue
            .finish(class, Some(Duration::from_millis(service)));
    }

    fn care(&mut self, now: u64) -> Vec<(CallerRequest, Duration)> {
        let interval = Duration::from_millis(CARE_INTERVAL);
        self.queue.sample(interval, SAMPLE_WEIGHT);
        let refused = self.queue.refuse_infeasible(Duration::from_millis(now));
        refused
            .into_iter()
            .map(|(request, refusal)| (request, refusal.retry_after.unwrap_or_default()))
            .collect()
    }
}

struct Replay<'a, Q> {
    pattern: &'a LoadPattern,
    queue: Q,
    rng: StdRng,
    running: Vec<(u64, CallerRequest)>,
    returning: Vec<(u64, CallerRequest)>,
    outcomes: Vec<ClassOutcome>,
}

impl<Q: ReplayQueue> Replay<'_, Q> {
    /// Replays twenty seconds, with the burst from the fifth to the tenth.
    fn run(mut self) -> Vec<ClassOutcome> {
        const LENGTH: u64 = 20_000;
        for now in 0..LENGTH + 10_000 {
            self.end_runs(now);
            if now < LENGTH {
                self.arrive(now);
            }
            self.come_back(now);
            if now % CARE_INTERVAL == 0 {
                for (request, after) in self.queue.care(now) {
                    self.refuse(now, request, after);
                }
            }
            while let Some(request) = self.queue.start(now) {
                let service = self.pattern.classes[request.class].service;
                self.running.push((now + service, request));
            }
        }
        self.outcomes
    }

    fn end_runs(&mut self, now: u64) {
        let ended = self.running.extract_if(.., |(end, _request)| *end <= now);
        for (_end, request) in ended.collect::<Vec<_>>() {
            let class = self.pattern.classes[request.class];
            self.queue.finish(request.class, class.service);
            let outcome = &mut self.outcomes[request.class];
            if now <= request.first + class.target {
                outcome.in_time += 1;
            } else {
                outcome.late += 1;
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        for index in 0..self.pattern.classes.len() {
            let class = self.pattern.classes[index];
            let burst = (5_000..10_000).contains(&now);
            let rate = class.rate * if burst { class.burst } else { 1.0 };
            if self.rng.random_bool(rate * TICK.as_secs_f64()) {
                let impatient = self.rng.random_bool(self.pattern.impatient);
                let tries = if impatient { 6 } else { 3 };
                self.outcomes[index].asked += 1;
                let request = CallerRequest {
                    class: index,
                    first: now,
                    tries,
                    impatient,
                    offered: now,
                };
                self.offer(now, request);
            }
        }
    }

    fn come_back(&mut self, now: u64) {
        let due = self.returning.extract_if(.., |(at, _request)| *at <= now);
        for (_at, request) in due.collect::<Vec<_>>() {
            self.offer(now, request);
        }
    }

    fn offer(&mut self, now: u64, mut request: CallerRequest) {
        request.offered = now;
        if let Some(after) = self.queue.offer(now, request) {
            self.refuse(now, request, after);
        }
    }

    fn refuse(&mut self, now: u64, mut request: CallerRequest, after: Duration) {
        let class = self.pattern.classes[request.class];
        let outcome = &mut self.outcomes[request.class];
        outcome.longest_hold = outcome.longest_hold.max(now - request.offered);
        let left = (request.first + class.deadline).saturating_sub(now);
        request.tries -= 1;
        if request.tries == 0 || left <= class.service {
            return;
        }
        let wait = if request.impatient {
            1
        } else {
            (after.as_millis() as u64).min(left / 3)
        };
        self.returning.push((now + wait.max(1), request));
    }
}

fn replay<Q: ReplayQueue>(pattern: &LoadPattern, queue: Q) -> Vec<ClassOutcome> {
    Replay {
        pattern,
        queue,
        rng: StdRng::seed_from_u64(7),
        running: Vec::new(),
        returning: Vec::new(),
        outcomes: vec![ClassOutcome::default(); pattern.classes.len()],
    }
    .run()
}

/// Returns the outcomes in order of arrival and of the sidecar's queue.
fn compare(pattern: &LoadPattern) -> (Vec<ClassOutcome>, Vec<ClassOutcome>) {
    let naive = ArrivalOrder {
        classes: pattern.classes.clone(),
        waiting: VecDeque::new(),
        running: 0,
    };
    let sidecar = SidecarQueue::new(&pattern.classes);
    (replay(pattern, naive), replay(pattern, sidecar))
}

#[test]
fn a_burst_of_the_lowest_class_costs_the_urgent_nothing() {
    let pattern = LoadPattern {
        classes: vec![
            LOOKUP,
            LoadClass {
                burst: 5.0,
                ..REPORT
            },
        ],
        impatient: 0.0,
    };

    let (naive, sidecar) = compare(&pattern);

    assert!(naive[0].in_time_part() < 0.85, "{naive:?}");
    assert!(sidecar[0].in_time_part() > 0.95, "{sidecar:?}");
}

#[test]
fn a_hot_key_beyond_its_upstream_keeps_the_upstream_at_work_in_time() {
    let pattern = LoadPattern {
        classes: vec![LoadClass {
            burst: 6.0,
            ..LOOKUP
        }],
        impatient: 0.0,
    };

    let (naive, sidecar) = compare(&pattern);

    assert!(
        sidecar[0].in_time > naive[0].in_time + naive[0].asked / 10,
        "{naive:?} {sidecar:?}"
    );
    assert!(sidecar[0].longest_hold < 2_500, "{sidecar:?}");
}

#[test]
fn callers_that_come_back_at_once_take_no_place_of_fresh_ones() {
    let pattern = LoadPattern {
        classes: vec![LoadClass {
            burst: 3.0,
            ..LOOKUP
        }],
        impatient: 0.3,
    };

    let (naive, sidecar) = compare(&pattern);

    assert!(
        sidecar[0].in_time > naive[0].in_time,
        "{naive:?} {sidecar:?}"
    );
}
