//! Reference implementation of the priority scheduler, for comparison.
//!
//! It keeps all waiting requests in one list that it sorts at each step, and
//! recomputes costs and credits from the whole history. It shares no code with
//! the scheduler under test.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use buckthornwinch::base::error::ErrorKind;
use buckthornwinch::declarations::ClassDeclaration;

/// Virtual time of one round, in which each waiting caller is served once.
const ROUND: u64 = 1 << 20;

/// A waiting request.
#[derive(Debug, Clone)]
struct NaiveEntry {
    ticket: u64,
    class: usize,
    caller: u64,
    deadline: Option<Duration>,
    arrived: Duration,
}

/// Start or end of a request, in the history of all classes.
#[derive(Debug, Clone, Copy)]
enum NaiveEvent {
    /// Class, limit, and the slots not kept free as unused reserves.
    Started(usize, u64, u64),
    /// Class and hold time.
    Ended(usize, Duration),
}

/// Decision on the request with this ticket: refused with this kind, or started
/// if none.
pub type NaiveDecision = (u64, Option<ErrorKind>);

/// Reference implementation of the priority scheduler.
#[derive(Debug)]
pub struct NaiveScheduler {
    classes: Vec<ClassDeclaration>,
    waiting: Vec<NaiveEntry>,
    events: Vec<NaiveEvent>,
    /// Virtual time of each class.
    virtual_now: Vec<u64>,
    /// Virtual time from which a caller of a class may be served again.
    due: BTreeMap<(usize, u64), u64>,
    overloaded: Vec<bool>,
    /// Maximum number of concurrent requests; 0 at first.
    pub limit: u64,
    next_ticket: u64,
}

impl NaiveScheduler {
    /// Creates a scheduler. `classes` must be sorted, the most urgent first.
    pub fn new(classes: Vec<ClassDeclaration>) -> Self {
        Self {
            waiting: Vec::new(),
            events: Vec::new(),
            virtual_now: vec![0; classes.len()],
            due: BTreeMap::new(),
            overloaded: vec![false; classes.len()],
            classes,
            limit: 0,
            next_ticket: 0,
        }
    }

    /// Adds a request, and refuses it or another one if there is no room.
    /// Tickets are numbered from 0 in order of the calls.
    pub fn offer(
        &mut self,
        now: Duration,
        class: usize,
        caller: u64,
        deadline: Option<Duration>,
    ) -> Vec<NaiveDecision> {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        if deadline.is_some_and(|deadline| deadline <= now) {
            return vec![(ticket, Some(ErrorKind::DeadlineBeforeStart))];
        }
        let may_wait = self.classes[class].deadline.is_zero();
        if may_wait && self.count(class) >= self.classes[class].queue_limit as usize {
            return vec![(ticket, Some(ErrorKind::QueueFull))];
        }
        let left = deadline.map(|deadline| deadline.saturating_sub(now).as_micros());
        if left.is_some_and(|left| self.predicted_wait(class) > left) {
            return vec![(ticket, Some(ErrorKind::Overloaded))];
        }
        let due = self.virtual_now[class];
        self.due.entry((class, caller)).or_insert(due);
        self.waiting.push(NaiveEntry {
            ticket,
            class,
            caller,
            deadline,
            arrived: now,
        });
        if may_wait || self.can_start(class) || self.count(class) <= self.queue_bound(class) {
            return Vec::new();
        }
        self.overloaded[class] = true;
        let mut victims: Vec<_> = self.of_class(class).cloned().collect();
        victims.sort_by_key(|entry| (Reverse(self.count_of(class, entry.caller)), entry.ticket));
        let victim = victims.first().map(|entry| entry.ticket);
        self.cancel(victim.unwrap_or(ticket));
        vec![(victim.unwrap_or(ticket), Some(ErrorKind::Overloaded))]
    }

    /// Removes a waiting request. Returns whether it was waiting.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        let position = self.waiting.iter().position(|entry| entry.ticket == ticket);
        position.map(|position| self.take(position)).is_some()
    }

    /// Refuses the requests that have waited in an overloaded class for half
    /// its target.
    pub fn refuse_stale(&mut self, now: Duration) -> Vec<NaiveDecision> {
        let overloaded = self.overloaded.clone();
        let mut stale = self.waiting.clone();
        stale.retain(|entry| {
            let target = self.classes[entry.class].target;
            overloaded[entry.class] && now.saturating_sub(entry.arrived) >= target / 2
        });
        stale.sort_by_key(|entry| (entry.class, entry.ticket));
        let tickets: Vec<u64> = stale.iter().map(|entry| entry.ticket).collect();
        for ticket in &tickets {
            self.cancel(*ticket);
        }
        let refused = tickets.into_iter();
        refused
            .map(|ticket| (ticket, Some(ErrorKind::Overloaded)))
            .collect()
    }

    /// Frees the slot of a request that ran for `held`.
    pub fn finish(&mut self, class: usize, held: Duration) {
        self.events.push(NaiveEvent::Ended(class, held));
    }

    /// Starts requests until the limit is reached. Refuses those whose deadline
    /// has passed.
    pub fn start_ready(&mut self, now: Duration) -> Vec<NaiveDecision> {
        let mut decisions = Vec::new();
        loop {
            let mut order: Vec<(_, usize)> = Vec::new();
            for (position, entry) in self.waiting.iter().enumerate() {
                if !self.can_start(entry.class) {
                    continue;
                }
                let (credit, cost, running) = self.replay(entry.class);
                let credit_percent = credit / cost;
                let urgency = if credit_percent >= 100 {
                    200 - credit_percent
                } else {
                    u64::MAX
                };
                let age = if self.overloaded[entry.class] {
                    u64::MAX - entry.ticket
                } else {
                    entry.ticket
                };
                let rank = self.classes[entry.class].rank;
                let due = self.due[&(entry.class, entry.caller)];
                let wait = due.saturating_sub(self.virtual_now[entry.class]);
                order.push(((urgency, rank, running, entry.class, wait, age), position));
            }
            order.sort_unstable();
            let Some(((.., wait, _), position)) = order.first().copied() else {
                return decisions;
            };
            let class = self.waiting[position].class;
            self.advance_virtual_time(class, self.waiting[position].caller, wait);
            let entry = self.take(position);
            if entry.deadline.is_some_and(|deadline| deadline <= now) {
                decisions.push((entry.ticket, Some(ErrorKind::DeadlineBeforeStart)));
                continue;
            }
            let idle: u64 = (0..self.classes.len())
                .map(|class| {
                    u64::from(self.classes[class].reserve_slots).saturating_sub(self.running(class))
                })
                .sum();
            let usable = self.limit.saturating_sub(idle).max(1);
            self.events
                .push(NaiveEvent::Started(class, self.limit, usable));
            decisions.push((entry.ticket, None));
        }
    }

    /// Advances the virtual time of a class by `wait`, until `caller` is due,
    /// and then by its part of a round for serving it.
    fn advance_virtual_time(&mut self, class: usize, caller: u64, wait: u64) {
        let callers: BTreeSet<u64> = self.of_class(class).map(|entry| entry.caller).collect();
        self.virtual_now[class] += wait + ROUND / callers.len() as u64;
        self.due
            .insert((class, caller), self.virtual_now[class] + ROUND);
    }

    fn of_class(&self, class: usize) -> impl Iterator<Item = &NaiveEntry> {
        self.waiting
            .iter()
            .filter(move |entry| entry.class == class)
    }

    fn count(&self, class: usize) -> usize {
        self.of_class(class).count()
    }

    fn count_of(&self, class: usize, caller: u64) -> usize {
        self.of_class(class)
            .filter(|entry| entry.caller == caller)
            .count()
    }

    fn take(&mut self, position: usize) -> NaiveEntry {
        let entry = self.waiting.remove(position);
        if self.count_of(entry.class, entry.caller) == 0 {
            self.due.remove(&(entry.class, entry.caller));
        }
        if self.count(entry.class) == 0 {
            self.overloaded[entry.class] = false;
        }
        entry
    }

    /// Replays the history and returns a class's credit in hundredths of slot
    /// time, its cost and its number of running requests.
    fn replay(&self, class: usize) -> (u64, u64, u64) {
        let mut costs = vec![5_000_u64; self.classes.len()];
        let mut seen = vec![false; self.classes.len()];
        let (mut credit, mut running) = (0_u64, 0_u64);
        for event in &self.events {
            match *event {
                NaiveEvent::Started(started, limit, usable) => {
                    let share = u64::from(self.classes[class].share_percent);
                    let earned = costs[started] * limit / usable * share;
                    credit = (credit + earned).min(costs[class] * 200);
                    if started == class {
                        credit = credit.saturating_sub(costs[class] * 100);
                        running += 1;
                    }
                }
                NaiveEvent::Ended(ended, held) => {
                    let sample = (held.as_micros() as u64).max(1);
                    costs[ended] = if seen[ended] {
                        ((costs[ended] * 15 + sample) / 16).max(1)
                    } else {
                        sample
                    };
                    seen[ended] = true;
                    if ended == class {
                        credit = credit.min(costs[class] * 200);
                        running -= 1;
                    }
                }
            }
        }
        (credit, costs[class], running)
    }

    fn running(&self, class: usize) -> u64 {
        self.replay(class).2
    }

    fn can_start(&self, class: usize) -> bool {
        let reserve = |class: usize| u64::from(self.classes[class].reserve_slots);
        let others = (0..self.classes.len()).filter(|other| *other != class);
        let kept: u64 = others
            .map(|other| reserve(other).saturating_sub(self.running(other)))
            .sum();
        let all: u64 = (0..self.classes.len())
            .map(|class| self.running(class))
            .sum();
        let own_reserve = self.limit > 0 && self.running(class) < reserve(class);
        own_reserve || (self.limit > 0 && all + kept.min(self.limit - 1) < self.limit)
    }

    /// Returns the slots available to a class by rank and by share, both in
    /// hundredths, and the waiting work of more urgent classes.
    fn capacity(&self, class: usize) -> (u128, u128, u128) {
        let rank = self.classes[class].rank;
        let urgent = (0..self.classes.len()).filter(|other| self.classes[*other].rank < rank);
        let (mut busy, mut work) = (0, 0);
        for other in urgent {
            let (_, cost, running) = self.replay(other);
            busy += running;
            work += u128::from(cost) * self.count(other) as u128;
        }
        let free = u128::from(self.limit.saturating_sub(busy)) * 100;
        let share = u128::from(self.limit) * u128::from(self.classes[class].share_percent);
        (free, share, work)
    }

    /// Predicts the wait of a new request, in microseconds.
    fn predicted_wait(&self, class: usize) -> u128 {
        if self.count(class) == 0 && self.can_start(class) {
            return 0;
        }
        let (free, share, work) = self.capacity(class);
        let ahead = if self.overloaded[class] {
            0
        } else {
            self.count(class)
        };
        let own = u128::from(self.replay(class).1) * (ahead as u128 + 1);
        let never = u128::from(u64::MAX);
        let by_rank = ((own + work) * 100).checked_div(free).unwrap_or(never);
        let by_share = (own * 100).checked_div(share).unwrap_or(never);
        by_rank.min(by_share)
    }

    /// Returns how many requests of a class with a deadline may wait.
    fn queue_bound(&self, class: usize) -> usize {
        let (free, share, work) = self.capacity(class);
        let target = self.classes[class].target.as_micros() / 2;
        let by_rank = (target * free / 100).saturating_sub(work);
        let by_share = target * share / 100;
        let bound = by_rank.max(by_share) / u128::from(self.replay(class).1);
        let queue = (self.classes[class].queue_limit as usize).max(2);
        (bound as usize).clamp(2, queue)
    }
}
