//! A clock that also counts while the VM is suspended.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the VM started, suspensions included. It is not
/// affected by changes of the time of day.
pub fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}
