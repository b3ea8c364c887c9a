//! The client of the platform's append-only log.
//!
//! [`service`] is the one trait behind which the platform's wire format stays,
//! and [`http`] the one place that knows it; [`metered`] counts the calls.
//! [`follower`] reads the log, folds
//! it and publishes the state; [`writer`] appends this incarnation's records
//! and answers once the follower has folded them. [`snapshot_keeper`] appends
//! snapshots before the log drops what they hold, and [`search`] finds one
//! when the beginning has been dropped.
//!
//! The log may be down, slow, or lose an answer after the write took effect.
//! The writer therefore appends a batch again under the same sequence until it
//! sees it folded: the fold takes the first copy and ignores the others. What
//! it cannot settle in time it reports as unknown, never as refused.

mod attempt;
pub mod backoff;
pub mod batch;
pub mod follower;
pub mod http;
pub mod metered;
pub mod rate;
mod reader;
pub mod search;
pub mod service;
pub mod settings;
pub mod snapshot_keeper;
pub mod snapshots;
pub mod split;
pub mod writer;
mod writer_actor;
