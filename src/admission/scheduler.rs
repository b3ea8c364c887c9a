//! Which request starts next on one upstream, and which is refused.
//!
//! A pure slice: time is an argument, in [`Duration`] since an arbitrary
//! start, and the concurrency limit is set from outside.
//!
//! * Classes go strictly by rank, but a class that has had less than its share
//!   of the slot time goes first until it has caught up.
//! * A class's reserved slots are kept free for it, whatever waits elsewhere.
//! * A request whose predicted wait exceeds its deadline is refused at once.
//! * A class with deadlines keeps no more requests waiting than can start
//!   within half its target. Beyond that it is overloaded: the newest goes first
//!   and the oldest is given up.
//! * Work without deadline waits in its bounded queue and is never given up.

use std::time::Duration;

use super::class_queue::CallerHash;
use super::class_queue::ClassQueue;
use super::class_queue::TicketId;
use super::class_queue::WaitingEntry;
use super::class_state::ClassState;
use super::class_state::SlotMicros;
use crate::base::collections::FastMap;
use crate::base::error::ErrorKind;
use crate::base::ids::ClassName;
use crate::declarations::ClassDeclaration;

/// Position of a class among the scheduler's, the most urgent first.
pub type ClassIndex = usize;

/// A share of a hundred is the whole capacity.
const WHOLE_SHARE: u64 = 100;
/// A class with deadlines may always keep so many requests waiting.
const MIN_WAITING: usize = 2;
/// One part in so many of a class's target may be spent waiting.
const TARGET_PARTS: SlotMicros = 2;
/// The shortest and the longest time to retry that a refusal names.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequest {
    /// Its class.
    pub class: ClassIndex,
    /// Whose request it is.
    pub caller: CallerHash,
    /// When it must have started; none for work that may wait.
    pub deadline: Option<Duration>,
}

/// Why a request gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRefusal {
    /// [`ErrorKind::Overloaded`], [`ErrorKind::DeadlineBeforeStart`],
    /// [`ErrorKind::QueueFull`], [`ErrorKind::Draining`] or
    /// [`ErrorKind::UnknownClass`]; all mean "not run".
    pub kind: ErrorKind,
    /// When a retry is worth while.
    pub retry_after: Option<Duration>,
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotDecision<T> {
    /// It starts now.
    Start {
        /// What was attached to the request.
        payload: T,
        /// Its class.
        class: ClassIndex,
    },
    /// It will not start.
    Refuse {
        /// What was attached to the request.
        payload: T,
        /// Its class.
        class: ClassIndex,
        /// Why.
        refusal: SlotRefusal,
    },
}

/// Decides which request starts next.
#[derive(Debug)]
pub struct PriorityScheduler<T> {
    classes: Vec<ClassState>,
    queues: Vec<ClassQueue<T>>,
    tickets: FastMap<TicketId, (ClassIndex, CallerHash)>,
    next_ticket: TicketId,
    limit: u32,
}

impl<T> PriorityScheduler<T> {
    /// Creates a scheduler without slots.
    pub fn new(classes: &[ClassDeclaration]) -> Self {
        let states = sorted_classes(classes);
        let queues = states.iter().map(|_| ClassQueue::new()).collect();
        Self {
            classes: states,
            queues,
            tickets: FastMap::default(),
            next_ticket: 0,
            limit: 0,
        }
    }

    /// Returns the classes, the most urgent first.
    pub fn classes(&self) -> &[ClassState] {
        &self.classes
    }

    /// Finds a class.
    pub fn class_index(&self, name: &str) -> Option<ClassIndex> {
        self.classes
            .iter()
            .position(|class| &*class.declaration.name == name)
    }

    /// Returns how many requests of a class wait.
    pub fn waiting(&self, class: ClassIndex) -> usize {
        self.queues[class].len()
    }

    /// Returns how many requests wait.
    pub fn total_waiting(&self) -> usize {
        self.queues.iter().map(ClassQueue::len).sum()
    }

    /// Returns how many requests run.
    pub fn total_running(&self) -> u32 {
        self.classes.iter().map(|class| class.running).sum()
    }

    /// Returns how many requests may run at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Sets how many requests may run at once.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Takes a request, and refuses it or another one if there is no room.
    /// What may start does so with the next [`Self::start_ready`].
    pub fn offer(
        &mut self,
        now: Duration,
        request: SlotRequest,
        payload: T,
        decisions: &mut Vec<SlotDecision<T>>,
    ) -> TicketId {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        if let Some(refusal) = self.early_refusal(now, &request) {
            decisions.push(refuse(payload, request.class, refusal));
            return ticket;
        }
        self.enqueue(now, ticket, request, payload);
        if self.is_over_bound(request.class) {
            self.give_up_victim(request.class, decisions);
        }
        ticket
    }

    /// Takes back a request that still waits.
    pub fn cancel(&mut self, ticket: TicketId) -> Option<T> {
        let (class, caller) = self.tickets.remove(&ticket)?;
        let entry = self.queues[class].remove(caller, ticket)?;
        Some(entry.payload)
    }

    /// Takes back every waiting request whose payload nobody waits for.
    pub fn cancel_abandoned(&mut self, is_abandoned: impl Fn(&T) -> bool) {
        for queue in &mut self.queues {
            for (caller, ticket) in queue.find(|entry| is_abandoned(&entry.payload)) {
                self.tickets.remove(&ticket);
                queue.remove(caller, ticket);
            }
        }
    }

    /// Refuses what has waited in an overloaded class for half its target: newer
    /// requests go first, so that it would hardly start.
    pub fn refuse_stale(&mut self, now: Duration, decisions: &mut Vec<SlotDecision<T>>) {
        for class in 0..self.classes.len() {
            if !self.queues[class].is_newest_first() {
                continue;
            }
            let patience = self.classes[class].declaration.target / TARGET_PARTS as u32;
            let is_stale = |entry: &WaitingEntry<T>| now.saturating_sub(entry.arrived) >= patience;
            let mut stale = self.queues[class].find(is_stale);
            stale.sort_unstable_by_key(|(_, ticket)| *ticket);
            let refusal = self.refusal(ErrorKind::Overloaded, class);
            for (caller, ticket) in stale {
                self.tickets.remove(&ticket);
                if let Some(entry) = self.queues[class].remove(caller, ticket) {
                    decisions.push(refuse(entry.payload, class, refusal));
                }
            }
        }
    }

    /// Takes the end of a request that ran for `held`.
    pub fn finish(&mut self, class: ClassIndex, held: Duration) {
        let state = &mut self.classes[class];
        state.running = state.running.saturating_sub(1);
        state.record_hold_time(held);
    }

    /// Takes the end of a request that gave its slot back unused.
    pub fn finish_unused(&mut self, class: ClassIndex) {
        let state = &mut self.classes[class];
        state.running = state.running.saturating_sub(1);
    }

    /// Starts whatever may start.
    pub fn start_ready(&mut self, now: Duration, decisions: &mut Vec<SlotDecision<T>>) {
        while let Some(class) = self.next_class() {
            let Some((ticket, entry)) = self.queues[class].pop() else {
                return;
            };
            self.tickets.remove(&ticket);
            if entry.deadline.is_some_and(|deadline| deadline <= now) {
                decisions.push(refuse(entry.payload, class, late_refusal()));
                continue;
            }
            self.account_start(class);
            decisions.push(SlotDecision::Start {
                payload: entry.payload,
                class,
            });
        }
    }

    /// Refuses everything that waits, for instance because the upstream left.
    pub fn refuse_waiting(&mut self, refusal: SlotRefusal, decisions: &mut Vec<SlotDecision<T>>) {
        self.tickets.clear();
        for (class, queue) in self.queues.iter_mut().enumerate() {
            for (_, entry) in queue.drain() {
                decisions.push(refuse(entry.payload, class, refusal));
            }
        }
    }

    /// Takes changed declarations. What runs or waits in a class that remains
    /// goes on in it; what waits in a class that is gone is refused. Returns
    /// where each former class is now.
    pub fn replace_classes(
        &mut self,
        declarations: &[ClassDeclaration],
        decisions: &mut Vec<SlotDecision<T>>,
    ) -> Vec<Option<ClassIndex>> {
        let former = std::mem::replace(&mut self.classes, sorted_classes(declarations));
        let queues = std::mem::take(&mut self.queues);
        self.queues = self.classes.iter().map(|_| ClassQueue::new()).collect();
        self.tickets.clear();
        let moved: Vec<_> = former
            .iter()
            .map(|class| self.class_index(&class.declaration.name))
            .collect();
        for ((state, queue), target) in former.into_iter().zip(queues).zip(&moved) {
            self.move_class(&state, queue, *target, decisions);
        }
        moved
    }

    /// Predicts how long a request of a class would wait at its queue's end.
    pub fn predicted_wait(&self, class: ClassIndex) -> Duration {
        if self.queues[class].is_empty() && self.can_start(class) {
            return Duration::ZERO;
        }
        let cost = self.classes[class].cost;
        let queue = &self.queues[class];
        // The newest of an overloaded class passes those that wait already.
        let passed = if queue.is_newest_first() {
            0
        } else {
            queue.len()
        };
        let own = cost.saturating_mul(passed as SlotMicros + 1);
        let by_rank = wait_of(
            own.saturating_add(self.urgent_work(class)),
            self.free_of_urgent(class),
        );
        let by_share = wait_of(own, self.guaranteed(class));
        Duration::from_micros(by_rank.min(by_share))
    }

    fn enqueue(&mut self, now: Duration, ticket: TicketId, request: SlotRequest, payload: T) {
        let entry = WaitingEntry {
            payload,
            caller: request.caller,
            deadline: request.deadline,
            arrived: now,
        };
        self.queues[request.class].push(ticket, entry);
        self.tickets.insert(ticket, (request.class, request.caller));
    }

    fn early_refusal(&self, now: Duration, request: &SlotRequest) -> Option<SlotRefusal> {
        if request.deadline.is_some_and(|deadline| deadline <= now) {
            return Some(late_refusal());
        }
        let class = request.class;
        let state = &self.classes[class];
        if state.may_wait() && self.queues[class].len() >= state.declaration.queue as usize {
            return Some(self.refusal(ErrorKind::QueueFull, class));
        }
        let wait = self.predicted_wait(class);
        let too_late = request
            .deadline
            .is_some_and(|deadline| now + wait > deadline);
        too_late.then(|| self.refusal(ErrorKind::Overloaded, class))
    }

    fn is_over_bound(&self, class: ClassIndex) -> bool {
        !self.classes[class].may_wait()
            && self.queues[class].len() > self.waiting_bound(class)
            && !self.can_start(class)
    }

    /// How many requests of a class with deadlines may wait: those that can
    /// start within half its target, by rank or by share, whichever is more.
    fn waiting_bound(&self, class: ClassIndex) -> usize {
        let state = &self.classes[class];
        let target = state.declaration.target.as_micros() as SlotMicros / TARGET_PARTS;
        let by_rank = (target.saturating_mul(self.free_of_urgent(class)) / WHOLE_SHARE)
            .saturating_sub(self.urgent_work(class));
        let by_share = target.saturating_mul(self.guaranteed(class)) / WHOLE_SHARE;
        let bound = (by_rank.max(by_share) / state.cost) as usize;
        let queue = (state.declaration.queue as usize).max(MIN_WAITING);
        bound.clamp(MIN_WAITING, queue)
    }

    fn give_up_victim(&mut self, class: ClassIndex, decisions: &mut Vec<SlotDecision<T>>) {
        self.queues[class].mark_overloaded();
        let refusal = self.refusal(ErrorKind::Overloaded, class);
        if let Some((ticket, entry)) = self.queues[class].pop_victim() {
            self.tickets.remove(&ticket);
            decisions.push(refuse(entry.payload, class, refusal));
        }
    }

    fn refusal(&self, kind: ErrorKind, class: ClassIndex) -> SlotRefusal {
        let wait = self.predicted_wait(class);
        SlotRefusal {
            kind,
            retry_after: Some(wait.clamp(RETRY_RANGE.0, RETRY_RANGE.1)),
        }
    }

    fn next_class(&self) -> Option<ClassIndex> {
        let ready = (0..self.classes.len())
            .filter(|class| !self.queues[*class].is_empty() && self.can_start(*class));
        ready.min_by_key(|class| self.classes[*class].dispatch_priority())
    }

    /// A class may use every slot but those reserved for others, and always
    /// its own reserve, even above a lowered limit. One slot is reserved for
    /// nobody, however low the limit.
    fn can_start(&self, class: ClassIndex) -> bool {
        let state = &self.classes[class];
        if state.running < u32::from(state.declaration.reserve) && self.limit > 0 {
            return true;
        }
        let reserved: u32 = self
            .classes
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != class)
            .map(|(_, other)| other.unused_reserve())
            .sum();
        let kept = reserved.min(self.limit.saturating_sub(1));
        self.total_running() + kept < self.limit
    }

    fn account_start(&mut self, class: ClassIndex) {
        let cost = self.classes[class].cost;
        let unused: u32 = self.classes.iter().map(ClassState::unused_reserve).sum();
        let usable = self.limit.saturating_sub(unused).max(1);
        // Shares are of the whole capacity, idle reserves included.
        let earned = cost.saturating_mul(u64::from(self.limit)) / u64::from(usable);
        for state in &mut self.classes {
            state.accrue_credit(earned);
        }
        self.classes[class].charge(cost);
        self.classes[class].running += 1;
    }

    /// Slot time that waits in more urgent classes.
    fn urgent_work(&self, class: ClassIndex) -> SlotMicros {
        let rank = self.classes[class].declaration.rank;
        self.classes
            .iter()
            .zip(&self.queues)
            .filter(|(state, _)| state.declaration.rank < rank)
            .map(|(state, queue)| state.cost.saturating_mul(queue.len() as SlotMicros))
            .sum()
    }

    /// Slots that more urgent classes do not use, in hundredths.
    fn free_of_urgent(&self, class: ClassIndex) -> u64 {
        let rank = self.classes[class].declaration.rank;
        let busy: u32 = self
            .classes
            .iter()
            .filter(|state| state.declaration.rank < rank)
            .map(|state| state.running)
            .sum();
        u64::from(self.limit.saturating_sub(busy)) * WHOLE_SHARE
    }

    /// Slots that a class is guaranteed, in hundredths.
    fn guaranteed(&self, class: ClassIndex) -> u64 {
        u64::from(self.limit) * u64::from(self.classes[class].declaration.share)
    }

    fn move_class(
        &mut self,
        former: &ClassState,
        mut queue: ClassQueue<T>,
        target: Option<ClassIndex>,
        decisions: &mut Vec<SlotDecision<T>>,
    ) {
        if let Some(class) = target {
            self.classes[class].carry_over(former);
        }
        for (ticket, entry) in queue.drain() {
            let Some(class) = target else {
                let refusal = SlotRefusal {
                    kind: ErrorKind::UnknownClass,
                    retry_after: None,
                };
                decisions.push(refuse(entry.payload, 0, refusal));
                continue;
            };
            self.tickets.insert(ticket, (class, entry.caller));
            self.queues[class].push(ticket, entry);
        }
    }
}

fn sorted_classes(declarations: &[ClassDeclaration]) -> Vec<ClassState> {
    let mut sorted: Vec<ClassName> = Vec::new();
    let mut states: Vec<ClassState> = Vec::new();
    for declaration in declarations {
        if sorted.contains(&declaration.name) {
            continue;
        }
        sorted.push(declaration.name.clone());
        states.push(ClassState::new(declaration.clone()));
    }
    states.sort_by(|left, right| left.order().cmp(&right.order()));
    states
}

/// Time that some slots, in hundredths, take for some slot time.
fn wait_of(work: SlotMicros, slots: u64) -> SlotMicros {
    work.saturating_mul(WHOLE_SHARE)
        .checked_div(slots)
        .unwrap_or(SlotMicros::MAX)
}

fn late_refusal() -> SlotRefusal {
    SlotRefusal {
        kind: ErrorKind::DeadlineBeforeStart,
        retry_after: None,
    }
}

fn refuse<T>(payload: T, class: ClassIndex, refusal: SlotRefusal) -> SlotDecision<T> {
    SlotDecision::Refuse {
        payload,
        class,
        refusal,
    }
}
