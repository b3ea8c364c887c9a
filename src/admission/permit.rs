//! The right to occupy one slot of the upstream.

use std::pin::Pin;
use std::task::Context;
use std::task::Waker;

use tokio::time::Instant;
use xtra::WeakAddress;

use super::actor::AdmissionActor;
use super::actor::ReleaseSlot;
use super::limit::SlotVerdict;
use super::load::ClassTag;

/// The right to occupy one slot; given back when dropped.
#[derive(Debug)]
pub struct SlotPermit {
    actor: WeakAddress<AdmissionActor>,
    class: ClassTag,
    since: Instant,
    verdict: SlotVerdict,
}

impl SlotPermit {
    /// Creates the permit of a class.
    pub(super) fn new(actor: WeakAddress<AdmissionActor>, class: ClassTag) -> Self {
        Self {
            actor,
            class,
            since: Instant::now(),
            verdict: SlotVerdict::Unused,
        }
    }

    /// Notes that the slot is used from now on; without a later verdict, its
    /// request counts as lost.
    pub fn begin(&mut self) {
        self.since = Instant::now();
        self.verdict = SlotVerdict::Lost;
    }

    /// Gives the slot back.
    pub fn finish(mut self, verdict: SlotVerdict) {
        self.verdict = verdict;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let release = ReleaseSlot {
            class: self.class,
            held: self.since.elapsed(),
            verdict: self.verdict,
        };
        let mut sending = Box::pin(self.actor.send(release).detach());
        let mut context = Context::from_waker(Waker::noop());
        // The mailbox takes the message at once unless it is full.
        let polled = Pin::new(&mut sending).poll(&mut context);
        if polled.is_pending() {
            tokio::spawn(async move {
                let _gone = sending.await.is_err();
            });
        }
    }
}
