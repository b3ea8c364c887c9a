//! The safety rules of the lease protocol, as a type parameter of the state
//! machines.
//!
//! Every process runs [`SoundRules`]. The model check also runs the machines
//! with one rule broken at a time, to show that it detects the violation.

use std::fmt::Debug;
use std::hash::Hash;
use std::time::Duration;

use super::timing::ClockReading;
use super::timing::LeaseTiming;

/// The safety rules of the lease protocol. The default methods are the correct
/// rules; a test overrides one of them to break it.
pub trait LeaseRules: Debug + Clone + Default + PartialEq + Eq + Hash + Send + 'static {
    /// Returns the time from which a holder counts a promise. This is when the
    /// renewal was sent: the witness counts from its receipt, which is later,
    /// so the holder's lease ends first.
    fn promise_start(sent: ClockReading, _received: ClockReading) -> ClockReading {
        sent
    }

    /// Returns how long a witness waits for the first renewal of a holder that
    /// it starts to watch.
    fn first_renewal_timeout(timing: &LeaseTiming) -> Duration {
        timing.first_renewal_timeout()
    }

    /// Returns whether a witness that stated a holder's lapse may make it
    /// another promise.
    fn may_promise_after_lapse() -> bool {
        false
    }

    /// Returns whether enough members of the active witness set have
    /// acknowledged the next set for it to become active.
    fn is_set_change_acknowledged(acknowledged: usize, quorum: usize) -> bool {
        acknowledged >= quorum
    }

    /// Returns whether a certificate under the newest witness set also has to
    /// prove that the lease is not live under an earlier set.
    fn checks_former_sets() -> bool {
        true
    }

    /// Returns whether enough members of a witness set have stated a lapse.
    fn is_lapse_proven(stated: usize, quorum: usize) -> bool {
        stated >= quorum
    }
}

/// The correct rules, which every process runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct SoundRules;

impl LeaseRules for SoundRules {}
