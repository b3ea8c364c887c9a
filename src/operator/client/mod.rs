//! The operations of `winchctl`, as plain functions.
//!
//! Most operations take a [`ClientContext`] and their options, and return an
//! [`OperationReport`], which is rendered as a table or as JSON and has an exit
//! code. The command line only parses arguments and prints reports, so scripts
//! and benchmarks written in Rust use the same operations.

pub mod apply;
pub mod ask;
pub mod context;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod fleet;
pub mod get;
pub mod plan;
pub mod report;
pub mod status;
pub mod validate;
pub mod watch;

pub use self::context::ClientContext;
pub use self::context::ConnectOptions;
pub use self::report::ExitKind;
pub use self::report::OperationReport;
