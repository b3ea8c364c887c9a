//! The upstreams' interface: announcements, orders and probes.
//!
//! An upstream announces itself to the `winchd` on its VM ([`announce`]) and
//! repeats that; the process publishes the latest announcement, or none once
//! the upstream left or went silent. [`service`] is the one trait through
//! which orders reach an upstream, [`http`] its implementation. Nothing else
//! knows the wire format.

pub mod announce;
pub mod http;
pub mod service;
