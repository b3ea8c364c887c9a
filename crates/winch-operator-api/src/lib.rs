//! Generated gRPC client and server of the operator API.
//!
//! The schema is `proto/operator.proto`. The generated code is committed, so a
//! build needs no generator. `tests/schema.rs` fails if it differs from the
//! schema.

include!("generated/winch.operator.v1.rs");
