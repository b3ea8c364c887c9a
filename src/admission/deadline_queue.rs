//! Which waiting request starts next on an upstream with a fixed number of
//! slots, and which is refused.
//!
//! A pure slice: time is an argument, in [`Duration`] since an arbitrary
//! start. It answers these load patterns:
//!
//! * More work of a low rank than fits, as in a flood of reports: ranks go
//!   strictly one after the other, and a request that would end after its
//!   deadline is refused on arrival, with the time after which there is room.
//! * Calls that running work makes, whose callers hold a slot elsewhere: they
//!   have the nearest target and so go first within their rank.
//! * More work than can be in time: a request that cannot meet its target any
//!   more steps behind all that can, so that lateness does not spread from one
//!   request to the next. It waits for what work in time leaves over, and is
//!   refused as soon as that is too little to end it before its deadline: a
//!   caller of a hot key hears at once what it would hear after seconds.

use std::time::Duration;

use crate::base::error::ErrorKind;

/// Service time assumed before the first request has ended.
const INITIAL_SERVICE: Duration = Duration::from_millis(50);

/// A new sample moves the smoothed service time by one part in so many.
const SERVICE_WEIGHT: u32 = 16;

/// A new sample moves a kind's service time by one part in so many.
const KIND_WEIGHT: u32 = 8;

/// The shortest and the longest time to retry that a refusal names.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(3));

/// Least part of the slots that late requests are taken to get: a measured
/// demand is never so exact that there is nothing left over.
const LEAST_SPARE: f32 = 0.05;

/// The slots that are left over are smoothed over so many times the time of the
/// other measures: late requests wait for seconds, and what a moment leaves over
/// tells little of them.
const SPARE_SLOWNESS: f32 = 4.0;

/// Index of a kind of requests.
pub type KindIndex = usize;

/// Requests that hold a slot about equally long.
#[derive(Debug, Clone)]
struct RequestKind {
    name: Box<str>,
    rank: u8,
    /// Smoothed time for which a request holds a slot; none before the first.
    service: Option<Duration>,
    /// Slot time that was asked for since the last sample.
    asked: Duration,
    /// Smoothed slots that the kind would keep busy.
    offered: f32,
}

/// Numbers the requests of a queue.
pub type QueueTicket = u64;

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Its kind.
    pub kind: KindIndex,
    /// When its answer is due to be worth most.
    pub target: Duration,
    /// When its answer is worth nothing any more.
    pub deadline: Duration,
}

/// Why a request gets no slot. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRefusal {
    /// [`ErrorKind::Overloaded`], [`ErrorKind::DeadlineBeforeStart`] or
    /// [`ErrorKind::Draining`].
    pub kind: ErrorKind,
    /// When there will be room.
    pub retry_after: Option<Duration>,
}

#[derive(Debug)]
struct WaitingRequest<T> {
    ticket: QueueTicket,
    request: QueuedRequest,
    rank: u8,
    service: Duration,
    payload: T,
}

/// Orders waiting requests: smaller goes first.
type QueueTurn = (bool, u8, Duration, QueueTicket);

impl<T> WaitingRequest<T> {
    fn turn(&self, now: Duration) -> QueueTurn {
        self.turn_if(self.is_late(now))
    }

    fn turn_if(&self, late: bool) -> QueueTurn {
        let due = if late {
            self.request.deadline
        } else {
            self.request.target
        };
        (late, self.rank, due, self.ticket)
    }

    fn is_hopeless(&self, now: Duration) -> bool {
        now + self.service / 2 > self.request.deadline
    }

    fn is_late(&self, start: Duration) -> bool {
        start + self.service > self.request.target
    }
}

/// The requests that wait for a slot of one upstream.
#[derive(Debug)]
pub struct DeadlineQueue<T> {
    slots: u32,
    running: u32,
    next_ticket: QueueTicket,
    waiting: Vec<WaitingRequest<T>>,
    service: Duration,
    kinds: Vec<RequestKind>,
    /// Slot time of the requests that started in time since the last sample.
    /// What is refused takes no slots, however often it comes back.
    started_in_time: Duration,
    /// Smoothed slots that such requests keep busy.
    busy_in_time: f32,
}

impl<T> DeadlineQueue<T> {
    /// Creates a queue without slots.
    pub fn new() -> Self {
        Self {
            slots: 0,
            running: 0,
            next_ticket: 0,
            waiting: Vec::new(),
            service: INITIAL_SERVICE,
            kinds: Vec::new(),
            started_in_time: Duration::ZERO,
            busy_in_time: 0.0,
        }
    }

    /// Returns the kind of a name, whose requests have a rank, 0 being the most
    /// urgent.
    pub fn register_kind(&mut self, name: &str, rank: u8) -> KindIndex {
        let known = self.kinds.iter().position(|kind| &*kind.name == name);
        let index = known.unwrap_or(self.kinds.len());
        if known.is_none() {
            self.kinds.push(RequestKind {
                name: name.into(),
                rank,
                service: None,
                asked: Duration::ZERO,
                offered: 0.0,
            });
        }
        self.kinds[index].rank = rank;
        index
    }

    /// Samples the work that was asked for in the last `interval`; a sample
    /// moves the smoothed values by the part `weight`.
    pub fn sample(&mut self, interval: Duration, weight: f32) {
        for kind in &mut self.kinds {
            let sample = kind.asked.as_secs_f32() / interval.as_secs_f32();
            kind.asked = Duration::ZERO;
            kind.offered += (sample - kind.offered) * weight;
        }
        let sample = self.started_in_time.as_secs_f32() / interval.as_secs_f32();
        self.started_in_time = Duration::ZERO;
        self.busy_in_time += (sample - self.busy_in_time) * weight / SPARE_SLOWNESS;
    }

    /// Returns the slots that all kinds together would keep busy.
    pub fn offered(&self) -> f32 {
        self.kinds.iter().map(|kind| kind.offered).sum()
    }

    /// Sets how many requests may run at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns how many requests may run at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how many requests run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the smoothed time for which a request holds a slot.
    pub fn service(&self) -> Duration {
        self.service
    }

    /// Takes a request, or refuses it at once with its payload.
    ///
    /// # Errors
    ///
    /// Returns the payload and the reason.
    pub fn offer(
        &mut self,
        now: Duration,
        request: QueuedRequest,
        payload: T,
    ) -> Result<QueueTicket, (T, QueueRefusal)> {
        let fallback = self.service;
        let kind = &mut self.kinds[request.kind];
        let service = kind.service.unwrap_or(fallback);
        kind.asked += service;
        let waiting = WaitingRequest {
            ticket: self.next_ticket,
            request,
            rank: kind.rank,
            service,
            payload,
        };
        let wait = self.wait_of(&waiting, now);
        if now + wait + service > request.deadline {
            let refusal = self.refusal(request.deadline.saturating_sub(now));
            return Err((waiting.payload, refusal));
        }
        self.next_ticket += 1;
        self.waiting.push(waiting);
        Ok(self.next_ticket - 1)
    }

    /// Removes a request that nobody waits for any more.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Starts the next request if a slot is free for it. Returns its kind too.
    pub fn start_next(&mut self, now: Duration) -> Option<(KindIndex, T)> {
        if self.running >= self.slots {
            return None;
        }
        let next = (0..self.waiting.len()).min_by_key(|index| self.waiting[*index].turn(now))?;
        let started = self.waiting.swap_remove(next);
        let kind = started.request.kind;
        self.running += 1;
        if !started.is_late(now) {
            self.started_in_time += started.service;
        }
        Some((kind, started.payload))
    }

    /// Removes the requests that cannot end before their deadline any more, for
    /// want of time or of slots that work in time leaves over.
    pub fn refuse_infeasible(&mut self, now: Duration) -> Vec<(T, QueueRefusal)> {
        self.waiting.sort_by_key(|entry| entry.turn(now));
        let mut refused = Vec::new();
        let mut ahead = Duration::ZERO;
        let spare = self.spare_slots();
        let drained = self.drain_time();
        for entry in std::mem::take(&mut self.waiting) {
            let wait = ahead.div_f32(spare);
            let left = entry.request.deadline.saturating_sub(now);
            let starves = entry.is_late(now) && wait + entry.service > left;
            if entry.is_hopeless(now) || starves {
                let refusal = QueueRefusal {
                    kind: ErrorKind::DeadlineBeforeStart,
                    ..refusal(drained, left)
                };
                refused.push((entry.payload, refusal));
            } else {
                ahead += entry.service;
                self.waiting.push(entry);
            }
        }
        refused
    }

    /// Removes everything that waits, because the upstream takes no more.
    pub fn refuse_all(&mut self, refusal: QueueRefusal) -> Vec<(T, QueueRefusal)> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_iter()
            .map(|entry| (entry.payload, refusal))
            .collect()
    }

    /// Takes the end of a request of a kind that held its slot for `held`; none
    /// if it did not run.
    pub fn finish(&mut self, kind: KindIndex, held: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        let kind = &mut self.kinds[kind];
        if let Some(held) = held {
            self.service = smooth(self.service, held, SERVICE_WEIGHT);
            let known = kind.service.unwrap_or(held);
            kind.service = Some(smooth(known, held, KIND_WEIGHT));
        }
    }

    /// Predicts how long a request waits for its slot, behind all that go
    /// before it. One that starts too late to be in time goes behind all work
    /// that is in time, the coming one too.
    fn wait_of(&self, request: &WaitingRequest<T>, now: Duration) -> Duration {
        let wait = self.wait_at(request.turn(now), now, self.slots as f32);
        if !request.is_late(now + wait) {
            return wait;
        }
        self.wait_at(request.turn_if(true), now, self.spare_slots())
    }

    /// Predicts the wait for one of `slots` at a turn.
    fn wait_at(&self, turn: QueueTurn, now: Duration, slots: f32) -> Duration {
        let ahead = self.waiting.iter().filter(|entry| entry.turn(now) < turn);
        let (count, work) = ahead.fold((0, Duration::ZERO), |(count, work), entry| {
            (count + 1, work + entry.service)
        });
        if self.slots == 0 || self.running + count < self.slots {
            return Duration::ZERO;
        }
        // One of the running requests ends after a part of its service time.
        (work + self.service).div_f32(slots)
    }

    /// Returns how long the slots need for what waits.
    fn drain_time(&self) -> Duration {
        let work: Duration = self.waiting.iter().map(|entry| entry.service).sum();
        work / self.slots.max(1)
    }

    fn refusal(&self, left: Duration) -> QueueRefusal {
        refusal(self.drain_time(), left)
    }

    /// Returns the slots that requests in time leave over.
    fn spare_slots(&self) -> f32 {
        let slots = self.slots.max(1) as f32;
        (slots - self.busy_in_time).max(slots * LEAST_SPARE)
    }
}

/// Returns a refusal of a request whose caller waits for `left`, while what is
/// in the queue needs `drained`. A caller that comes back when that is done may
/// still be in time; one that is sent away for longer is late for certain.
fn refusal(drained: Duration, left: Duration) -> QueueRefusal {
    QueueRefusal {
        kind: ErrorKind::Overloaded,
        retry_after: Some(drained.min(left / 3).clamp(RETRY_RANGE.0, RETRY_RANGE.1)),
    }
}

impl<T> Default for DeadlineQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}

/// Moves a smoothed time by one part in `weight` towards a sample.
pub fn smooth(smoothed: Duration, sample: Duration, weight: u32) -> Duration {
    (smoothed * (weight - 1) + sample) / weight
}
