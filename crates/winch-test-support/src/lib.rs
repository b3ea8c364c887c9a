//! Fixture builders shared by the test programs.
