//! Fixture builders shared by the test programs.

pub mod fleet;
pub mod classes;
pub mod fleet;
pub mod naive_scheduler;
pub mod fake_log;
pub mod owner;
pub mod records;
