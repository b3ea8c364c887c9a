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
//! * More work of one rank than can be in time: a request that cannot meet its
//!   target any more steps behind all that can, so that lateness does not
//!   spread from one request to the next. It is not refused: its caller would
//!   come back, and find the same overload.

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
        let late = self.is_late(now);
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
        }
    }

    /// Returns the kind of a name, whose requests have a rank, 0 being the most
    /// urgent.
    pub fn kind(&mut self, name: &str, rank: u8) -> KindIndex {
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
        let start = now + self.wait_ahead_of(&waiting, now);
        if start + service > request.deadline {
            let refusal = self.refusal(now, request.deadline);
            return Err((waiting.payload, refusal));
        }
        self.next_ticket += 1;
        self.waiting.push(waiting);
        Ok(self.next_ticket - 1)
    }

    /// Removes a request that nobody waits for any more.
    pub fn withdraw(&mut self, ticket: QueueTicket) {
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
        Some((kind, started.payload))
    }

    /// Removes the requests that cannot end before their deadline any more.
    pub fn refuse_hopeless(&mut self, now: Duration) -> Vec<(T, QueueRefusal)> {
        let mut refused = Vec::new();
        while let Some(index) = self.waiting.iter().position(|entry| entry.is_hopeless(now)) {
            let entry = self.waiting.swap_remove(index);
            let refusal = QueueRefusal {
                kind: ErrorKind::DeadlineBeforeStart,
                ..self.refusal(now, entry.request.deadline)
            };
            refused.push((entry.payload, refusal));
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
    /// before it.
    fn wait_ahead_of(&self, request: &WaitingRequest<T>, now: Duration) -> Duration {
        let turn = request.turn(now);
        let ahead = self.waiting.iter().filter(|entry| entry.turn(now) < turn);
        let (count, work) = ahead.fold((0, Duration::ZERO), |(count, work), entry| {
            (count + 1, work + entry.service)
        });
        if self.slots == 0 || self.running + count < self.slots {
            return Duration::ZERO;
        }
        // One of the running requests ends after a part of its service time.
        (work + self.service) / self.slots
    }

    fn refusal(&self, now: Duration, deadline: Duration) -> QueueRefusal {
        let work: Duration = self.waiting.iter().map(|entry| entry.service).sum();
        let drained = work / self.slots.max(1);
        let left = deadline.saturating_sub(now);
        QueueRefusal {
            kind: ErrorKind::Overloaded,
            retry_after: Some(drained.min(left / 3).clamp(RETRY_RANGE.0, RETRY_RANGE.1)),
        }
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
