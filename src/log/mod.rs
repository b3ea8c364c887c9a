//! The client of the platform's append-only log.
//!
//! [`service`] defines the trait that hides the platform's wire format, and
//! [`http`] implements it; [`metered`] counts the calls. [`follower`] reads the
//! log, folds it and publishes the state; [`writer`] appends this incarnation's
//! records and returns once the follower has folded them. [`snapshot_writer`]
//! appends snapshots before the log drops the entries that they cover, and
//! [`search`] finds one when the beginning of the log has been dropped.
//!
//! The log may be down, slow, or lose a response after the write took effect.
//! The writer therefore appends a batch again with the same sequence number
//! until the batch is folded: the fold applies the first copy and ignores the
//! others. A result that is not known in time is reported as unknown, never as
//! refused.

mod attempt;
pub mod backoff;
pub mod batch;
pub mod follower;
pub mod http;
pub mod metered;
mod reader;
pub mod search;
pub mod service;
pub mod settings;
pub mod snapshot_tracker;
pub mod snapshot_writer;
pub mod split;
pub mod token_bucket;
pub mod writer;
mod writer_actor;
