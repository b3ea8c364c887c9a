//! The integration test program: one module per feature.

mod admission_scheduler;
mod declarations;
mod delivery;
mod error_table;
mod fold;
mod settings;
mod standins;
mod telemetry;
