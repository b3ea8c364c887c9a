//! The integration test program: one module per feature.

mod error_table;
mod standins;
