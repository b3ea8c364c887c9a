//! The integration test program: one module per feature.

mod admission_scheduler;
mod bench_checks;
mod configuration;
mod declarations;
mod delivery;
mod dispatch;
mod error_table;
mod figures;
mod fold;
mod log_client;
mod operator_pages;
mod outcome_table;
mod outcomes;
mod ownership_actor;
mod ownership_certificate;
mod ownership_gate;
mod ownership_lease;
mod ownership_succession;
mod settings;
mod snapshot;
mod standins;
mod telemetry;
mod winchctl;
