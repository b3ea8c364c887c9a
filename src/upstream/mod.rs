//! The upstreams' interface: announcements, orders and probes.
