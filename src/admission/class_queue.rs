//! The waiting requests of one priority class.
//!
//! Callers take turns by a virtual time that passes by one [`ROUND`] while each
//! waiting caller is served once. A caller that was served is due again one
//! turn later; one with nothing waiting is due at once. So a caller with many
//! requests delays the others by one request a turn, and cannot fill the class.
//!
//! Among callers that are due, and among a caller's own requests, the oldest
//! goes first, or the newest once the class is overloaded: the newest still has
//! the time that the oldest has used up.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::base::collections::FastMap;

/// Numbers the requests in order of arrival.
pub type TicketId = u64;
/// Hash of a caller's name.
pub type CallerHash = u64;
/// Virtual time; a turn of all callers takes one [`ROUND`].
pub type VirtualTime = u64;

/// Virtual time between two services of one caller.
pub const ROUND: VirtualTime = 1 << 20;

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingEntry<T> {
    /// What the caller of the scheduler attached.
    pub payload: T,
    /// Whose request it is.
    pub caller: CallerHash,
    /// When it must have started; none for work that may wait.
    pub deadline: Option<Duration>,
    /// When it arrived.
    pub arrived: Duration,
}

/// A caller's waiting requests, oldest first.
#[derive(Debug)]
struct CallerQueue<T> {
    entries: VecDeque<(TicketId, WaitingEntry<T>)>,
    due: VirtualTime,
}

/// The waiting requests of one priority class.
#[derive(Debug)]
pub struct ClassQueue<T> {
    callers: FastMap<CallerHash, CallerQueue<T>>,
    /// Callers that are due, in the order of their turns.
    ready: BTreeSet<(TicketId, CallerHash)>,
    /// Callers that were served lately, by when they are due.
    served: BTreeSet<(VirtualTime, CallerHash)>,
    /// Callers by how many requests they have waiting, and the oldest.
    sizes: BTreeSet<(Reverse<usize>, TicketId, CallerHash)>,
    now: VirtualTime,
    len: usize,
    newest_first: bool,
}

impl<T> ClassQueue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            callers: FastMap::default(),
            ready: BTreeSet::new(),
            served: BTreeSet::new(),
            sizes: BTreeSet::new(),
            now: 0,
            len: 0,
            newest_first: false,
        }
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Tells whether the newest goes first.
    pub fn is_newest_first(&self) -> bool {
        self.newest_first
    }

    /// Lets the newest go first until the queue is empty.
    pub fn mark_overloaded(&mut self) {
        if self.newest_first {
            return;
        }
        self.newest_first = true;
        let ready = std::mem::take(&mut self.ready);
        for (_, caller) in ready {
            self.index(caller);
        }
    }

    /// Adds a request. Tickets grow with every request.
    pub fn push(&mut self, ticket: TicketId, entry: WaitingEntry<T>) {
        let caller = entry.caller;
        self.unindex(caller);
        let now = self.now;
        let queue = self.callers.entry(caller).or_insert_with(|| CallerQueue {
            entries: VecDeque::new(),
            due: now,
        });
        queue.entries.push_back((ticket, entry));
        self.len += 1;
        self.index(caller);
    }

    /// Removes the request whose turn it is.
    pub fn pop(&mut self) -> Option<(TicketId, WaitingEntry<T>)> {
        self.advance_to_due();
        let (_, caller) = if self.newest_first {
            *self.ready.last()?
        } else {
            *self.ready.first()?
        };
        self.now += ROUND / self.callers.len() as VirtualTime;
        self.unindex(caller);
        let due = self.now + ROUND;
        let newest_first = self.newest_first;
        let queue = self.callers.get_mut(&caller)?;
        queue.due = due;
        let taken = if newest_first {
            queue.entries.pop_back()
        } else {
            queue.entries.pop_front()
        };
        self.settle(caller);
        taken
    }

    /// Removes the request that an overloaded class gives up first: the oldest
    /// of the caller with the most.
    pub fn pop_victim(&mut self) -> Option<(TicketId, WaitingEntry<T>)> {
        let (_, ticket, caller) = *self.sizes.first()?;
        self.remove(caller, ticket).map(|entry| (ticket, entry))
    }

    /// Removes a request.
    pub fn remove(&mut self, caller: CallerHash, ticket: TicketId) -> Option<WaitingEntry<T>> {
        let queue = self.callers.get(&caller)?;
        let position = queue.entries.binary_search_by_key(&ticket, |entry| entry.0);
        let position = position.ok()?;
        self.unindex(caller);
        let queue = self.callers.get_mut(&caller)?;
        let removed = queue.entries.remove(position);
        self.settle(caller);
        removed.map(|(_, entry)| entry)
    }

    /// Finds the requests that meet a condition.
    pub fn find(
        &self,
        condition: impl Fn(&WaitingEntry<T>) -> bool,
    ) -> Vec<(CallerHash, TicketId)> {
        self.callers
            .iter()
            .flat_map(|(caller, queue)| queue.entries.iter().map(move |entry| (*caller, entry)))
            .filter(|(_, (_, entry))| condition(entry))
            .map(|(caller, (ticket, _))| (caller, *ticket))
            .collect()
    }

    /// Removes every request, in order of arrival.
    pub fn drain(&mut self) -> Vec<(TicketId, WaitingEntry<T>)> {
        let former = std::mem::take(self);
        let queues = former.callers.into_values();
        let mut drained: Vec<_> = queues.flat_map(|queue| queue.entries).collect();
        drained.sort_by_key(|(ticket, _)| *ticket);
        drained
    }

    /// Lets virtual time pass until some caller is due.
    fn advance_to_due(&mut self) {
        if self.ready.is_empty()
            && let Some((due, _)) = self.served.first()
        {
            self.now = self.now.max(*due);
        }
        while let Some((due, caller)) = self.served.first().copied() {
            if due > self.now {
                return;
            }
            self.served.remove(&(due, caller));
            let newest_first = self.newest_first;
            if let Some(queue) = self.callers.get(&caller) {
                self.ready.insert((queue.turn(newest_first), caller));
            }
        }
    }

    /// Counts a removed request, and forgets a caller with nothing waiting.
    fn settle(&mut self, caller: CallerHash) {
        self.len -= 1;
        let emptied = self.callers.get(&caller);
        if emptied.is_some_and(|queue| queue.entries.is_empty()) {
            self.callers.remove(&caller);
        }
        self.index(caller);
        if self.len == 0 {
            self.newest_first = false;
        }
    }

    fn index(&mut self, caller: CallerHash) {
        let Some(queue) = self.callers.get(&caller) else {
            return;
        };
        if queue.due <= self.now {
            self.ready.insert((queue.turn(self.newest_first), caller));
        } else {
            self.served.insert((queue.due, caller));
        }
        self.sizes.insert(queue.size(caller));
    }

    fn unindex(&mut self, caller: CallerHash) {
        let Some(queue) = self.callers.get(&caller) else {
            return;
        };
        self.ready.remove(&(queue.turn(self.newest_first), caller));
        self.served.remove(&(queue.due, caller));
        self.sizes.remove(&queue.size(caller));
    }
}

impl<T> CallerQueue<T> {
    fn turn(&self, newest_first: bool) -> TicketId {
        let entry = if newest_first {
            self.entries.back()
        } else {
            self.entries.front()
        };
        entry.map_or(0, |(ticket, _)| *ticket)
    }

    fn size(&self, caller: CallerHash) -> (Reverse<usize>, TicketId, CallerHash) {
        (Reverse(self.entries.len()), self.turn(false), caller)
    }
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}
