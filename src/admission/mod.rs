//! Priority classes, queues and limits at the owner.
//!
//! The decisions are pure slices that take time as an argument: [`scheduler`]
//! picks the next request out of one [`class_queue`] for each class, [`limit`]
//! follows what the upstream can bear, [`rate_meter`] measures what entries are
//! told, and [`entry_limiter`] acts on it at the entry. [`actor`] is the one
//! actor of a process that owns them, with a bounded mailbox: one upstream has
//! one queue, and messages to it are the only synchronisation between requests.

pub mod actor;
pub mod caller_age;
pub mod class_queue;
pub mod class_state;
pub mod deadline_queue;
pub mod entry_limiter;
pub mod failure_ratio;
pub mod limit;
pub mod load;
pub mod rate_meter;
pub mod scheduler;
pub mod slot_queue;
