//! Admission control: which requests may use an upstream, and in which order.
//!
//! The decisions are free of I/O and clocks; the caller passes the current time
//! as an argument. There are two queues:
//!
//! * `winchd` uses [`scheduler`], which picks the next request from one
//!   [`class_queue`] per priority class. [`limit`] adapts the number of
//!   concurrent requests to what the upstream can handle. [`rate_meter`]
//!   measures the admitted fraction of each class, and [`entry_limiter`]
//!   enforces it in the process that received the request (the entry).
//!   [`actor`] owns all of this for one upstream: requests synchronise only
//!   through its bounded mailbox.
//! * The sidecar uses [`deadline_queue`], shared behind a lock by
//!   [`slot_queue`]. [`start_pacer`] keeps a limit on the rate that the upstream
//!   states. [`request_cost`] learns what requests cost, and [`running_work`]
//!   tells when the running ones leave their slots. [`caller_age`] tells retries
//!   from first attempts.

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
pub mod request_cost;
pub mod request_kinds;
pub mod running_work;
pub mod scheduler;
pub mod slot_queue;
pub mod slot_share;
pub mod start_pacer;
