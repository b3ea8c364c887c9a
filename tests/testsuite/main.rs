//! The integration test program: one module per feature.

mod bench_checks;
mod declarations;
mod delivery;
mod error_table;
mod fold;
mod settings;
mod standins;
mod telemetry;
