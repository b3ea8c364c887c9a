//! The integration test program: one module per feature.

mod declarations;
mod delivery;
mod error_table;
mod fold;
mod log_client;
mod settings;
mod snapshot;
mod standins;
mod telemetry;
