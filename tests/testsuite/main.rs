//! The integration test program: one module per feature.

mod delivery;
mod error_table;
mod fold;
