//! Checks that deserialization does not make: ranges, names and settings that
//! depend on each other.

use std::net::SocketAddr;

use super::NodeSettings;
use super::fields::SETTING_FIELDS;
use crate::base::document::DocumentFault;
use crate::base::fields::check_fields;

/// Adds every fault of the deserialized settings to `faults`.
///
/// The range of a field that already has a fault is not checked.
pub(super) fn check_settings(
    location: &str,
    settings: &NodeSettings,
    faults: &mut Vec<DocumentFault>,
) {
    let Ok(tree) = serde_norway::to_value(settings) else {
        faults.push(DocumentFault::whole(location, "cannot be serialized"));
        return;
    };
    check_fields(location, SETTING_FIELDS, &tree, faults);
    check_addresses(location, settings, faults);
    check_lease(location, settings, faults);
    check_memory(location, settings, faults);
}

fn check_addresses(location: &str, settings: &NodeSettings, faults: &mut Vec<DocumentFault>) {
    let addresses = &settings.addresses;
    let named = [
        ("addresses.callers", addresses.callers),
        ("addresses.peers", addresses.peers),
        ("addresses.operators", addresses.operators),
        ("addresses.local", addresses.local),
    ];
    for (path, address) in &named[..3] {
        if address.ip().is_unspecified() {
            faults.push(address_fault(
                location,
                path,
                *address,
                "names no interface, and other processes are told to use it",
                "an IP address that other VMs can reach",
            ));
        }
    }
    for (index, (path, address)) in named.iter().enumerate() {
        let earlier = named[..index].iter().find(|(_, other)| other == address);
        if let (Some((other, _)), true) = (earlier, address.port() != 0) {
            faults.push(address_fault(
                location,
                path,
                *address,
                &format!("is also {other}"),
                "four different addresses",
            ));
        }
    }
}

fn address_fault(
    location: &str,
    path: &str,
    address: SocketAddr,
    problem: &str,
    allowed: &str,
) -> DocumentFault {
    let value = address.to_string().into();
    DocumentFault::field(location, path, Some(value), problem).with_allowed(allowed)
}

/// Checks that the memory bears a request with the largest body, which is held twice for a
/// moment, beside kept outcomes and other requests.
fn check_memory(location: &str, settings: &NodeSettings, faults: &mut Vec<DocumentFault>) {
    let limits = &settings.limits;
    let room = limits.process_limits().large_lease_bytes() as u64;
    let shares = [
        (
            "limits.max_body_bytes",
            u64::from(limits.max_body_bytes),
            room / 4,
        ),
        ("limits.outcome_bytes", limits.outcome_bytes, room / 2),
    ];
    for (path, value, most) in shares {
        if value > most {
            let value = value.to_string().into();
            faults.push(
                DocumentFault::field(
                    location,
                    path,
                    Some(value),
                    "does not fit limits.memory_bytes",
                )
                .with_allowed(format!("at most {most}, or more limits.memory_bytes")),
            );
        }
    }
}

fn check_lease(location: &str, settings: &NodeSettings, faults: &mut Vec<DocumentFault>) {
    let lease = &settings.lease;
    let mut require = |holds: bool, path: &str, value: u128, allowed: &str| {
        if !holds {
            let value = value.to_string().into();
            faults.push(
                DocumentFault::field(location, path, Some(value), "does not fit lease.lease_ms")
                    .with_allowed(allowed),
            );
        }
    };
    require(
        lease.renew_interval * 3 <= lease.lease,
        "lease.renew_interval_ms",
        lease.renew_interval.as_millis(),
        "at most a third of lease.lease_ms",
    );
    require(
        lease.margin * 2 < lease.lease,
        "lease.margin_ms",
        lease.margin.as_millis(),
        "less than half of lease.lease_ms",
    );
    require(
        lease.tick_gap < lease.lease,
        "lease.tick_gap_ms",
        lease.tick_gap.as_millis(),
        "less than lease.lease_ms",
    );
}
