//! Fixtures, fakes and reference implementations shared by the test programs.

pub mod classes;
pub mod client_crowd;
pub mod fake_backend;
pub mod fake_log;
pub mod fleet;
pub mod naive_planner;
pub mod naive_scheduler;
pub mod owner;
pub mod ownership_simulation;
pub mod process_memory;
pub mod records;
