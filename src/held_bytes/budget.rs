//! The bytes that a process holds for others, and leases on them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// A lease up to this size may use the reserve, so that large ones do not keep out
/// ordinary requests.
pub const SMALL_LEASE_BYTES: usize = 64 * 1024;

/// Part of the limit that is reserved for small leases: one eighth.
pub(super) const RESERVE_DIVISOR: usize = 8;

/// How long a budget counts as short after it had no room.
const SHORT_PERIOD: Duration = Duration::from_secs(1);

/// Least time between two log lines about refusals.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// There was no room in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// The account of a budget: decides whether a lease may grow.
#[derive(Debug, Clone, Copy)]
pub struct BudgetAccount {
    limit: usize,
    held: usize,
    short_until: Option<Instant>,
    refusals: u64,
    last_line: Option<Instant>,
}

impl BudgetAccount {
    /// Creates an account of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            short_until: None,
            refusals: 0,
            last_line: None,
        }
    }

    /// Lets a lease of `leased` bytes grow by `extra` bytes. Returns false, and takes
    /// nothing, if there is no room for them.
    pub fn grow(&mut self, leased: usize, extra: usize, now: Instant) -> bool {
        let reserve = if leased + extra <= SMALL_LEASE_BYTES {
            0
        } else {
            self.limit / RESERVE_DIVISOR
        };
        let room = self.limit.saturating_sub(reserve);
        let fits = self
            .held
            .checked_add(extra)
            .is_some_and(|total| total <= room);
        if fits {
            self.held += extra;
        } else {
            self.short_until = Some(now + SHORT_PERIOD);
        }
        fits
    }

    /// Gives back bytes of a lease.
    pub fn give_back(&mut self, bytes: usize) {
        self.held -= bytes;
    }

    /// Counts what was refused for lack of room. Returns whether to log it: at most once
    /// in a second.
    pub fn count_refusal(&mut self, now: Instant) -> bool {
        self.refusals += 1;
        let is_due = self
            .last_line
            .is_none_or(|last| now.duration_since(last) >= LINE_INTERVAL);
        if is_due {
            self.last_line = Some(now);
        }
        is_due
    }

    /// Returns the bytes that all leases hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns how much was refused for lack of room so far.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Returns whether a lease found no room within the last second.
    pub fn is_short(&self, now: Instant) -> bool {
        self.short_until.is_some_and(|until| now < until)
    }
}

#[derive(Debug)]
struct BudgetState {
    account: Mutex<BudgetAccount>,
    given_back: Notify,
}

/// The bytes that a process may hold for others. Clones share the account.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    state: Arc<BudgetState>,
}

impl Default for ByteBudget {
    /// Returns a budget without limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes. An eighth of it is reserved for leases of up
    /// to 64 KiB.
    pub fn new(limit: usize) -> Self {
        Self {
            state: Arc::new(BudgetState {
                account: Mutex::new(BudgetAccount::new(limit)),
                given_back: Notify::new(),
            }),
        }
    }

    /// Returns a lease that holds nothing yet.
    pub fn lease(&self) -> ByteLease {
        ByteLease {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes that all leases may hold.
    pub fn limit(&self) -> usize {
        self.account().limit
    }

    /// Returns the bytes that all leases hold.
    pub fn held(&self) -> usize {
        self.account().held()
    }

    /// Returns whether a lease found no room within the last second.
    pub fn is_short(&self, now: Instant) -> bool {
        self.account().is_short(now)
    }

    /// Returns how much was refused for lack of room so far.
    pub fn refusals(&self) -> u64 {
        self.account().refusals()
    }

    /// Counts that `what` was refused for lack of room, and logs it unless that was done
    /// within the last second.
    pub fn record_refusal(&self, what: &str) {
        let (is_due, account) = {
            let mut account = self.account();
            (account.count_refusal(Instant::now()), *account)
        };
        if is_due {
            log::warn!(
                held = account.held, limit = account.limit, refusals = account.refusals;
                "memory: no room for {what}"
            );
        }
    }

    fn account(&self) -> MutexGuard<'_, BudgetAccount> {
        let account = &self.state.account;
        account.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A part of a budget. Dropping it gives the bytes back.
#[derive(Debug)]
pub struct ByteLease {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteLease {
    /// Returns the size of the lease, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes `extra` bytes more.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for them. The lease stays as it was.
    pub fn try_grow(&mut self, extra: usize) -> Result<(), NoRoom> {
        let grown = self
            .budget
            .account()
            .grow(self.bytes, extra, Instant::now());
        if !grown {
            return Err(NoRoom);
        }
        self.bytes += extra;
        Ok(())
    }

    /// Takes `extra` bytes more, and waits for room until `deadline`.
    ///
    /// # Errors
    ///
    /// Fails if there is no room by then. The lease stays as it was.
    pub async fn grow_by(&mut self, extra: usize, deadline: Instant) -> Result<(), NoRoom> {
        let state = Arc::clone(&self.budget.state);
        loop {
            let given_back = state.given_back.notified();
            tokio::pin!(given_back);
            given_back.as_mut().enable();
            if self.try_grow(extra).is_ok() {
                return Ok(());
            }
            if timeout_at(deadline, given_back).await.is_err() {
                return self.try_grow(extra);
            }
        }
    }

    /// Gives back all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        if surplus > 0 {
            self.bytes -= surplus;
            self.budget.account().give_back(surplus);
            self.budget.state.given_back.notify_waiters();
        }
    }

    /// Makes the lease a part of `bytes`: it is given back when the last clone of them is
    /// dropped.
    pub fn attach(mut self, bytes: Bytes) -> Bytes {
        self.shrink_to(bytes.len());
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(LeasedBytes {
            bytes,
            _lease: self,
        })
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

struct LeasedBytes {
    bytes: Bytes,
    _lease: ByteLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
