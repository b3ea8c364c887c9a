//! Fixture builders shared by the test programs.

pub mod fleet;
pub mod owner;
pub mod records;
