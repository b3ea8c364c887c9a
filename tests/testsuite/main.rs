//! The integration test program: one module per feature.

mod admission_scheduler;
mod delivery;
mod error_table;
