//! Boot-time clock, which also advances while the VM is suspended.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the VM booted, including the time that it was
/// suspended. Setting the time of day does not affect it.
pub fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}
