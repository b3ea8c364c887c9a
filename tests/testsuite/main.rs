//! The integration test program: one module per feature.

mod declarations;
mod delivery;
mod error_table;
mod fold;
mod ownership_actor;
mod ownership_certificate;
mod ownership_gate;
mod ownership_lease;
mod ownership_succession;
mod settings;
mod standins;
mod telemetry;
