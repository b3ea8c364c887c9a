//! Fixture builders shared by the test programs.

pub mod owner;
pub mod records;
