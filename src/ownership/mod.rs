//! Who may serve what: leases, witnesses, certificates and succession.
//!
//! [`gate`] is what the request path asks right before it dispatches.

pub mod gate;
