//! Generated client and server code of the operators' calls.
//!
//! The schema is `proto/operator.proto`. The code is committed, so a build
//! needs no generator; a test of the workspace holds it to the schema.

include!("generated/winch.operator.v1.rs");
