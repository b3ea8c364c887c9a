//! The operations of `winchctl`, as plain functions.
//!
//! Each takes a shared [`ClientContext`] and an options struct, and returns a
//! report that can be written as a table or as JSON and knows its exit code.
//! The command line only reads arguments and prints reports, so scripts and
//! measurements written in Rust use the same operations.

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
