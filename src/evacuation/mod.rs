//! Operators' orders to evacuate failure domains.
//!
//! The operator writes one record for each failure domain to the operator's topic of
//! the store and deletes it to end the evacuation. Until then, no request may be sent
//! to the upstreams of that failure domain. Their sidecars and the callers on their
//! VMs stay in service.
//!
//! This slice is the state only: which orders are in force, up to which offset of the
//! topic that is known, and how news from the store and from peers are merged. It is
//! pure; [`crate::sidecar`] reads, spreads and applies it.

pub mod orders;
