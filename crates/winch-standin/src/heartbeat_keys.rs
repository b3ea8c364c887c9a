//! Keys that an upstream stand-in takes from the answers to its heartbeats.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::invariant_checker::GrantCall;
use crate::invariant_checker::InvariantChecker;

/// The state that is handed over for released keys.
const HANDOVER: &str = "state";

/// A range that the stand-in holds or still works on.
#[derive(Debug, Clone, PartialEq, Eq)]
struct HeldRow {
    first: u16,
    last: u16,
    fence: u64,
    until: Instant,
    /// Whether an answer left the range out, so that it is given up once no
    /// request for it runs.
    leaving: bool,
}

/// First key, last key, fence and handed over state of a range to hold.
type GrantedRow = (u16, u16, u64, Box<str>);

/// The answer to a heartbeat, as far as it concerns keys.
#[derive(Debug, Deserialize)]
pub struct HeartbeatAnswer {
    /// The ranges to hold; absent if the answer renews nothing.
    holds: Option<Vec<GrantedRow>>,
    /// How long the ranges are held, from the sending of the heartbeat, in
    /// milliseconds with the unit.
    #[serde(default)]
    hold_time: Box<str>,
}

#[derive(Debug, Default)]
struct HeartbeatState {
    held: Vec<HeldRow>,
    /// Released ranges that no answered heartbeat has reported.
    released: Vec<(u16, u16)>,
    /// Keys of the requests that run.
    running: Vec<u16>,
}

/// The keys of one stand-in that takes them from answers to heartbeats.
#[derive(Debug, Default)]
pub struct HeartbeatKeys {
    state: Mutex<HeartbeatState>,
}

impl HeartbeatKeys {
    /// Records that a request for a key begins to run.
    pub fn begin_request(&self, key: u16) {
        self.lock().running.push(key);
    }

    /// Records that a request for a key has ended.
    pub fn end_request(&self, key: u16) {
        let mut state = self.lock();
        if let Some(index) = state.running.iter().position(|running| *running == key) {
            state.running.swap_remove(index);
        }
    }

    /// Returns the fields of the next heartbeat about keys, and whether a range is
    /// still being given up. Ranges that have expired are dropped without a report.
    pub fn report(&self) -> (Value, Value, bool) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let running = state.running.clone();
        let is_running = |row: &HeldRow| {
            running
                .iter()
                .any(|key| row.first <= *key && *key <= row.last)
        };
        state.held.retain(|row| row.until > now || is_running(row));
        let given_up = state
            .held
            .extract_if(.., |row| row.leaving && !is_running(row));
        let given_up: Vec<HeldRow> = given_up.collect();
        state
            .released
            .extend(given_up.iter().map(|row| (row.first, row.last)));
        let holds: Vec<_> = state
            .held
            .iter()
            .map(|row| (row.first, row.last, row.fence))
            .collect();
        let released: Vec<_> = state
            .released
            .iter()
            .map(|(first, last)| (first, last, HANDOVER))
            .collect();
        let is_leaving = state.held.iter().any(|row| row.leaving);
        (json!(holds), json!(released), is_leaving)
    }

    /// Applies the answer to a heartbeat that was sent at `sent`. Returns whether
    /// it left out a range that the stand-in holds.
    pub fn apply(
        &self,
        instance: &str,
        checker: &InvariantChecker,
        sent: Instant,
        answer: &HeartbeatAnswer,
    ) -> bool {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.released.clear();
        let Some(rows) = &answer.holds else {
            return false;
        };
        let hold = GrantCall::hold_of(&answer.hold_time);
        let until = sent + hold;
        let mut left_out = Vec::new();
        for row in std::mem::take(&mut state.held) {
            let mut next = u32::from(row.first);
            let mut kept: Vec<_> = rows.iter().map(|(from, to, ..)| (*from, *to)).collect();
            kept.sort_unstable();
            for (from, to) in kept {
                if to < row.first || from > row.last {
                    continue;
                }
                if u32::from(from) > next {
                    left_out.push(HeldRow {
                        first: next as u16,
                        last: from - 1,
                        leaving: true,
                        ..row.clone()
                    });
                }
                next = next.max(u32::from(to) + 1);
            }
            if next <= u32::from(row.last) {
                left_out.push(HeldRow {
                    first: next as u16,
                    leaving: true,
                    ..row
                });
            }
        }
        for row in &left_out {
            checker.release(instance, row.first, row.last);
        }
        for (first, last, fence, _handover) in rows {
            let call = GrantCall {
                from: *first,
                to: *last,
                fence: *fence,
                hold_time: format!("{}ms", until.saturating_duration_since(now).as_millis()).into(),
            };
            if until > now && checker.grant(instance, &call) {
                state.held.push(HeldRow {
                    first: *first,
                    last: *last,
                    fence: *fence,
                    until,
                    leaving: false,
                });
            }
        }
        let is_leaving = !left_out.is_empty();
        state.held.extend(left_out);
        is_leaving
    }

    fn lock(&self) -> MutexGuard<'_, HeartbeatState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
