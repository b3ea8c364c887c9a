//! The waiting requests of one priority class, shared fairly between callers.
//!
//! Callers are served round robin in virtual time, which advances by one
//! [`ROUND`] while each waiting caller is served once. A caller is due again
//! one round after it was served; a caller that had nothing waiting is due at
//! once. A caller with many requests therefore delays the others by one request
//! per round, and cannot fill the class.
//!
//! Among the due callers, and among the requests of one caller, the oldest
//! request goes first (FIFO). Once the class is overloaded, the newest goes
//! first (LIFO): it has most of its time left, while the oldest has used it up.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::base::collections::FastMap;

/// Identifies a request; ids grow in order of arrival.
pub type TicketId = u64;
/// Hash of a caller's name.
pub type CallerHash = u64;
/// Virtual time of a class, in units of which one round takes [`ROUND`].
pub type VirtualTime = u64;

/// Virtual time of one round: how long a caller waits after it was served while
/// others are waiting.
pub const ROUND: VirtualTime = 1 << 20;

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingEntry<T> {
    /// Data attached by the user of the queue.
    pub payload: T,
    /// The caller that sent the request.
    pub caller: CallerHash,
    /// Latest time at which it may start; none if it may wait indefinitely.
    pub deadline: Option<Duration>,
    /// Time of arrival.
    pub arrived: Duration,
}

/// A caller's waiting requests, oldest first.
#[derive(Debug)]
struct CallerQueue<T> {
    entries: VecDeque<(TicketId, WaitingEntry<T>)>,
    /// Virtual time from which the caller may be served again.
    due: VirtualTime,
}

/// The waiting requests of one priority class, shared fairly between callers.
#[derive(Debug)]
pub struct ClassQueue<T> {
    callers: FastMap<CallerHash, CallerQueue<T>>,
    /// Due callers, by the request that each would be served with.
    ready: BTreeSet<(TicketId, CallerHash)>,
    /// Callers that are not due yet, by when they will be.
    served: BTreeSet<(VirtualTime, CallerHash)>,
    /// Callers by number of waiting requests, the most first, then by their
    /// oldest request.
    sizes: BTreeSet<(Reverse<usize>, TicketId, CallerHash)>,
    virtual_now: VirtualTime,
    len: usize,
    newest_first: bool,
}

impl<T> ClassQueue<T> {
    /// Creates an empty queue in FIFO order.
    pub fn new() -> Self {
        Self {
            callers: FastMap::default(),
            ready: BTreeSet::new(),
            served: BTreeSet::new(),
            sizes: BTreeSet::new(),
            virtual_now: 0,
            len: 0,
            newest_first: false,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns whether the newest request goes first, which is the case from
    /// [`Self::mark_overloaded`] until the queue is empty.
    pub fn is_newest_first(&self) -> bool {
        self.newest_first
    }

    /// Serves the newest request first until the queue is empty.
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

    /// Adds a request. `ticket` must be greater than that of any earlier
    /// request.
    pub fn push(&mut self, ticket: TicketId, entry: WaitingEntry<T>) {
        let caller = entry.caller;
        self.unindex(caller);
        let virtual_now = self.virtual_now;
        let queue = self.callers.entry(caller).or_insert_with(|| CallerQueue {
            entries: VecDeque::new(),
            due: virtual_now,
        });
        queue.entries.push_back((ticket, entry));
        self.len += 1;
        self.index(caller);
    }

    /// Removes and returns the next request to serve.
    pub fn pop(&mut self) -> Option<(TicketId, WaitingEntry<T>)> {
        self.advance_to_due();
        let (_, caller) = if self.newest_first {
            *self.ready.last()?
        } else {
            *self.ready.first()?
        };
        self.virtual_now += ROUND / self.callers.len() as VirtualTime;
        self.unindex(caller);
        let due = self.virtual_now + ROUND;
        let newest_first = self.newest_first;
        let queue = self.callers.get_mut(&caller)?;
        queue.due = due;
        let taken = if newest_first {
            queue.entries.pop_back()
        } else {
            queue.entries.pop_front()
        };
        self.finish_removal(caller);
        taken
    }

    /// Removes and returns the request to drop under overload: the oldest one
    /// of the caller with the most waiting requests.
    pub fn pop_victim(&mut self) -> Option<(TicketId, WaitingEntry<T>)> {
        let (_, ticket, caller) = *self.sizes.first()?;
        self.remove(caller, ticket).map(|entry| (ticket, entry))
    }

    /// Removes a waiting request; none if it is not waiting.
    pub fn remove(&mut self, caller: CallerHash, ticket: TicketId) -> Option<WaitingEntry<T>> {
        let queue = self.callers.get(&caller)?;
        let position = queue.entries.binary_search_by_key(&ticket, |entry| entry.0);
        let position = position.ok()?;
        self.unindex(caller);
        let queue = self.callers.get_mut(&caller)?;
        let removed = queue.entries.remove(position);
        self.finish_removal(caller);
        removed.map(|(_, entry)| entry)
    }

    /// Returns the requests that meet a condition, in no particular order.
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

    /// Removes and returns all requests, in order of arrival.
    pub fn drain(&mut self) -> Vec<(TicketId, WaitingEntry<T>)> {
        let former = std::mem::take(self);
        let queues = former.callers.into_values();
        let mut drained: Vec<_> = queues.flat_map(|queue| queue.entries).collect();
        drained.sort_by_key(|(ticket, _)| *ticket);
        drained
    }

    /// If no caller is due, advances virtual time to when the next one is.
    fn advance_to_due(&mut self) {
        if self.ready.is_empty()
            && let Some((due, _)) = self.served.first()
        {
            self.virtual_now = self.virtual_now.max(*due);
        }
        while let Some((due, caller)) = self.served.first().copied() {
            if due > self.virtual_now {
                return;
            }
            self.served.remove(&(due, caller));
            let newest_first = self.newest_first;
            if let Some(queue) = self.callers.get(&caller) {
                self.ready.insert((queue.next_ticket(newest_first), caller));
            }
        }
    }

    /// Updates length and indices after one request of `caller` was removed.
    fn finish_removal(&mut self, caller: CallerHash) {
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
        if queue.due <= self.virtual_now {
            self.ready
                .insert((queue.next_ticket(self.newest_first), caller));
        } else {
            self.served.insert((queue.due, caller));
        }
        self.sizes.insert(queue.size_key(caller));
    }

    fn unindex(&mut self, caller: CallerHash) {
        let Some(queue) = self.callers.get(&caller) else {
            return;
        };
        self.ready
            .remove(&(queue.next_ticket(self.newest_first), caller));
        self.served.remove(&(queue.due, caller));
        self.sizes.remove(&queue.size_key(caller));
    }
}

impl<T> CallerQueue<T> {
    /// Returns the request that the caller would be served with next.
    fn next_ticket(&self, newest_first: bool) -> TicketId {
        let entry = if newest_first {
            self.entries.back()
        } else {
            self.entries.front()
        };
        entry.map_or(0, |(ticket, _)| *ticket)
    }

    /// Returns the caller's key in [`ClassQueue::sizes`].
    fn size_key(&self, caller: CallerHash) -> (Reverse<usize>, TicketId, CallerHash) {
        (Reverse(self.entries.len()), self.next_ticket(false), caller)
    }
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}
