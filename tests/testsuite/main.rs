//! The integration test program: one module per feature.

mod bench_checks;
mod error_table;
mod standins;
