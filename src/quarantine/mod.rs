//! Keeps requests that crash upstreams away from further ones.
//!
//! A request may crash every upstream that begins to run it, and its caller may
//! send it again at any VM. Each sidecar counts, per [`fingerprint`] of a request,
//! the upstreams that ended while they ran it. The counts are shared with all
//! sidecars, and the [`ledger`] decides from them how a request may run.

pub mod fingerprint;
pub mod ledger;
