//! Converts the process's settings to those of its components.

use crate::entry::server::EntryLimits;
use crate::log::http::HttpLogSettings;
use crate::ownership::timing::LeaseTiming;
use crate::settings::NodeSettings;

pub(super) fn log_settings(settings: &NodeSettings) -> HttpLogSettings {
    HttpLogSettings::builder()
        .base_url(settings.log.address.clone())
        .read_timeout(settings.log.read_timeout)
        .append_timeout(settings.log.append_timeout)
        .build()
}

pub(super) fn lease_timing(settings: &NodeSettings) -> LeaseTiming {
    LeaseTiming::builder()
        .renew_interval(settings.lease.renew_interval)
        .lease(settings.lease.lease)
        .drift_margin(settings.lease.margin)
        .max_tick_gap(settings.lease.tick_gap)
        .build()
}

pub(super) fn entry_limits(settings: &NodeSettings) -> EntryLimits {
    let by_memory = settings.limits.process_limits().connections_by_memory();
    EntryLimits::builder()
        .max_connections(by_memory.min(settings.limits.max_connections as usize))
        .max_deadline(settings.limits.max_deadline)
        .max_body_bytes(settings.limits.max_body_bytes as usize)
        .header_timeout(settings.limits.header_timeout)
        .body_timeout(settings.limits.body_timeout)
        .build()
}
