//! The integration test program: one module per feature.

mod declarations;
mod error_table;
mod fold;
mod settings;
mod telemetry;
