//! Load and failure experiments against real processes.
