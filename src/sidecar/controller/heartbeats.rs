//! Answers the local upstream's heartbeats with the keys that it is to hold.
//!
//! An answer is the only way to reach such an upstream, so a heartbeat is kept
//! waiting for news as long as its answer is still in time. Keys that change owner
//! then reach the new owner's upstream at once instead of a heartbeat later.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::ControllerEvent;
use super::RangeController;
use crate::base::boot_clock::since_boot;
use crate::peers::message::UpstreamPhase;
use crate::ranges::grants::heartbeat::GrantSet;
use crate::ranges::grants::heartbeat::HeldReport;
use crate::ranges::lease::HolderLease;
use crate::sidecar::settings::GrantDelivery;
use crate::sidecar::upstream::UpstreamClient;
use crate::store::StateStore;

/// Longest time that an answer is kept back when there is nothing new to tell. The
/// upstream waits one second for it, and this process may pause.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(700);

/// Part of the upstream's heartbeat interval that an answer is kept back at most,
/// so that it never takes the place of the next heartbeat's.
const ANSWER_DELAY_FRACTION: f64 = 0.8;

/// Grants that expire within this time are renewed without waiting for news.
const MIN_USABLE_TIME: Duration = Duration::from_millis(500);

/// A heartbeat that waits for its answer.
#[derive(Debug)]
pub struct PendingHeartbeat {
    /// What the upstream reported.
    pub report: HeldReport,
    /// When the heartbeat arrived.
    pub received: Duration,
    /// Takes the answer; `None` renews nothing.
    pub reply: oneshot::Sender<Option<GrantSet>>,
}

/// Passes the upstream's heartbeats to the controller. Clones share the
/// controller.
#[derive(Debug, Clone)]
pub struct HeartbeatPort {
    sender: mpsc::Sender<ControllerEvent>,
    delivery: GrantDelivery,
}

impl HeartbeatPort {
    pub(in crate::sidecar) fn new(
        sender: mpsc::Sender<ControllerEvent>,
        delivery: GrantDelivery,
    ) -> Self {
        Self { sender, delivery }
    }

    /// Passes on a heartbeat that the registry has accepted, and waits for the
    /// keys to answer with. `None` if the answer is to renew nothing, or if grants
    /// reach the upstream by calls.
    pub fn exchange(
        &self,
        report: HeldReport,
    ) -> impl Future<Output = Option<GrantSet>> + Send + use<> {
        let (reply, answer) = oneshot::channel();
        let heartbeat = PendingHeartbeat {
            report,
            received: since_boot(),
            reply,
        };
        let is_passed = self.delivery == GrantDelivery::Heartbeats
            && self
                .sender
                .try_send(ControllerEvent::Heartbeat(heartbeat))
                .inspect_err(|_error| {
                    log::warn!("ranges: too many events, a heartbeat is answered without grants");
                })
                .is_ok();
        async move {
            if !is_passed {
                return None;
            }
            answer.await.unwrap_or_default()
        }
    }
}

impl<S: StateStore, U: UpstreamClient> RangeController<S, U> {
    /// Records the reports of heartbeats that have arrived. The newest one waits
    /// for its answer; an earlier one that still waits renews nothing.
    pub(super) fn take_heartbeats(&mut self) {
        let lease = self.settings.lease_times().holder;
        for heartbeat in std::mem::take(&mut self.arrived_heartbeats) {
            self.grants
                .record_report(&heartbeat.report, heartbeat.received, lease);
            if let Some(planned) = &mut self.planned {
                planned.record_report(&heartbeat.report, &self.grants);
            }
            if let Some(earlier) = self.pending_heartbeat.replace(heartbeat) {
                // The upstream may have given up waiting.
                drop(earlier.reply.send(None));
            }
        }
    }

    /// Answers the waiting heartbeat if its answer is due.
    pub(super) fn answer_heartbeat(&mut self, now: Duration) {
        let Some(waiting) = &self.pending_heartbeat else {
            return;
        };
        if !self.is_answer_due(waiting, now) {
            return;
        }
        let Some(PendingHeartbeat {
            received, reply, ..
        }) = self.pending_heartbeat.take()
        else {
            return;
        };
        let lease = self.lease.as_ref().and_then(HolderLease::valid_until);
        let max_hold = self.settings.max_grant_duration;
        let answer = lease.and_then(|lease| {
            let until = lease.min(received + max_hold);
            self.grants.answer_heartbeat(received, now, until)
        });
        if let Some(set) = &answer {
            self.metrics.grants.inc();
            if let Some(planned) = &mut self.planned {
                planned.record_answer(&self.grants);
            }
            log::debug!(ranges = set.ranges.len(), hold_ms = set.hold.as_millis() as u64; "ranges: granted in a heartbeat's answer");
        }
        if reply.send(answer).is_err() {
            log::warn!("ranges: a heartbeat's connection closed before its answer");
        }
    }

    /// Returns whether keys that are closed now can be released now. If the
    /// upstream can be told only in the answer to its next heartbeat, it would hold
    /// closed keys until then, so they stay open instead.
    pub(super) fn can_release(&self) -> bool {
        let is_present = self
            .registry
            .current()
            .is_some_and(|upstream| upstream.phase != UpstreamPhase::Absent);
        self.settings.grant_delivery == GrantDelivery::Calls
            || self.pending_heartbeat.is_some()
            || !is_present
    }

    fn is_answer_due(&self, waiting: &PendingHeartbeat, now: Duration) -> bool {
        let interval = self.settings.announce_interval;
        let delay = MAX_ANSWER_DELAY.min(interval.mul_f64(ANSWER_DELAY_FRACTION));
        if now >= waiting.received + delay {
            return true;
        }
        let is_ready = self
            .registry
            .current()
            .is_some_and(|upstream| upstream.phase == UpstreamPhase::Ready);
        let is_sharded = self.sharded_services().contains(&self.fleet.own().service);
        if !is_ready || !is_sharded || *self.leaving.borrow() {
            return true;
        }
        // Without a lease there is nothing to grant yet.
        let is_granting = self
            .lease
            .as_ref()
            .and_then(HolderLease::valid_until)
            .is_some_and(|until| now < until);
        let expires_soon = self
            .grants
            .first_expiry()
            .is_some_and(|expiry| expiry < now + MIN_USABLE_TIME);
        is_granting && (expires_soon || self.grants.differs_from(&waiting.report))
    }
}
