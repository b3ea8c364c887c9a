//! Fixture builders shared by the test programs.

pub mod fake_log;
pub mod owner;
pub mod records;
