//! The integration test program: one module per feature.

mod declarations;
mod delivery;
mod error_table;
mod fold;
mod operator_api;
mod settings;
mod standins;
mod telemetry;
