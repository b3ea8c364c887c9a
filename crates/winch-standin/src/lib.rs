//! Stand-ins for the platform's log and store and for upstreams.
//!
//! All of them serve HTTP, by default on loopback, inside the process of a test
//! or benchmark; the log and the plain upstream also run as the program
//! `winch-standin`. Faults can be injected at run time.
//!
//! * [`log_standin`]: an append-only log with offsets, a rate limit and bounded
//!   retention.
//! * [`upstream_standin`]: an upstream with slots, service time, cold start,
//!   fencing checks and a ledger of every request that it ran.
//! * [`store_standin`]: a store of keyed records with conditional appends.
//! * [`keyed_standin`]: an upstream that holds key ranges under fenced grants,
//!   and [`invariant_checker`], which checks invariants across all of them.
//! * [`sidecar_files`]: the settings and configuration that a sidecar reads.
//! * [`relay`]: a TCP relay that delays, stalls, drops and resets connections.
//! * [`echo`]: the response of the upstream, from which a caller verifies that
//!   it received its own response and that it is complete.

mod delay;
pub mod echo;
mod heartbeat_keys;
pub mod invariant_checker;
pub mod keyed_standin;
pub mod log_standin;
pub mod relay;
pub mod sidecar_files;
pub mod store_standin;
pub mod upstream_standin;
