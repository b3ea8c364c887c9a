//! The operators' interface.
//!
//! Any `winchd` answers operators' calls; none of them is special. A change is
//! appended to the platform's log and answered only after it was read back and
//! folded, so an accepted change is in force wherever the log has been read.
//! Where the answer of an append is lost and the log cannot be read either,
//! the verdict is "unknown", and the caller settles it later by the change's
//! id.
//!
//! On the server's side, [`service`] turns calls into questions to an
//! [`OperatorBackend`], and [`explain`], [`status`], [`events`] and [`judge`]
//! are pure functions of the folded state, so what an operator is told follows
//! from the same state that routes requests. On the client's side, [`client`]
//! holds each operation of `winchctl` as a plain function, so that scripts and
//! measurements written in Rust need no process.
//!
//! Changes are judged one by one: the log has no batch that is taken whole or
//! not at all, and an operator whose change lost a race against another's is
//! told by name and can look before repeating it.

pub mod backend;

pub mod client;
pub mod convert;
pub mod events;
pub mod explain;
pub mod judge;
pub mod server;
pub mod service;
pub mod status;

pub use self::backend::BackendError;
pub use self::backend::BackendView;
pub use self::backend::LossDeclaration;
pub use self::backend::OperatorBackend;
pub use self::backend::SubmitVerdict;
pub use self::server::serve;
