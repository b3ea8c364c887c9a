//! The rules that leases rest on, as a parameter of the state machines.
//!
//! Every process runs [`SoundRules`]. The model check also runs the same
//! machines with one rule broken, to show that it finds the fault.

use std::fmt::Debug;
use std::hash::Hash;
use std::time::Duration;

use super::timing::ClockReading;
use super::timing::LeaseTiming;

/// The rules that leases rest on.
pub trait LeaseRules: Debug + Clone + Default + PartialEq + Eq + Hash + Send + 'static {
    /// From when a holder counts a promise: the renewal's sending, since the
    /// witness counts from a later moment.
    fn promise_start(sent: ClockReading, _received: ClockReading) -> ClockReading {
        sent
    }

    /// How long a witness waits for the first renewal of a holder that it
    /// starts to watch.
    fn first_renewal_timeout(timing: &LeaseTiming) -> Duration {
        timing.first_renewal_timeout()
    }

    /// Whether a witness that stated a lapse may promise again.
    fn may_promise_after_lapse() -> bool {
        false
    }

    /// Whether enough members of the active witness set have acknowledged a
    /// new one.
    fn is_set_change_acknowledged(acknowledged: usize, quorum: usize) -> bool {
        acknowledged >= quorum
    }

    /// Whether a certificate under a new witness set needs to know that the
    /// lease does not rest on a former one.
    fn checks_former_sets() -> bool {
        true
    }

    /// Whether enough members of a witness set have stated a lapse.
    fn is_lapse_proven(stated: usize, quorum: usize) -> bool {
        stated >= quorum
    }
}

/// The rules that every process runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct SoundRules;

impl LeaseRules for SoundRules {}
