//! Stand-ins of the platform's log and of an upstream.
//!
//! Both serve HTTP on loopback, run inside another process or as the program
//! `winch-standin`, and have faults that are switched at run time.
//!
//! * [`log_standin`]: an append-only log with offsets, bounded rate and
//!   bounded retention.
//! * [`upstream_standin`]: an upstream with slots, service time, cold start,
//!   fence checks and a ledger of every order that it ran.
//! * [`store_standin`]: a store of keyed records with conditional appends.
//! * [`keyed_standin`]: an upstream that holds key ranges under fenced grants,
//!   and [`key_world`], where all of them check each other.
//! * [`sidecar_files`]: the settings and configuration that a sidecar reads.
//! * [`relay`]: a TCP relay that delays, stalls, silences and resets.
//! * [`echo`]: the answer of the upstream, by which a caller verifies that it
//!   got its own answer, and the whole of it.

mod delay;
pub mod echo;
pub mod key_world;
pub mod keyed_standin;
pub mod log_standin;
pub mod relay;
pub mod sidecar_files;
pub mod store_standin;
pub mod upstream_standin;
