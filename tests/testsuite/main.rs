//! The integration test program: one module per feature.

mod admission_scheduler;
mod bench_checks;
mod declarations;
mod delivery;
mod error_table;
mod fold;
mod model_check;
mod operator_api;
mod ownership_actor;
mod ownership_certificate;
mod ownership_gate;
mod ownership_lease;
mod ownership_succession;
mod ownership_walk;
mod settings;
mod standins;
mod telemetry;
