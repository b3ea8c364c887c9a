//! Fixture builders shared by the test programs.

pub mod records;
