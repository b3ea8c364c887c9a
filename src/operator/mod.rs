//! The operator API, served by every `winchd`.
//!
//! Any process answers any call. A change is appended to the platform's log and
//! acknowledged only after it was read back and folded, so an accepted change is
//! in force wherever the log has been read up to it. If the response to an
//! append is lost and the log cannot be read either, the verdict is "unknown",
//! and the caller asks for it later by the change's id.
//!
//! On the server's side, [`service`] dispatches calls to an [`OperatorBackend`].
//! [`explain`], [`status`], [`events`] and [`change_batch`] are pure functions of
//! the backend's snapshot, so operators see the state that also routes requests.
//! On the client's side, [`client`] holds each operation of `winchctl` as a plain
//! function, so scripts and benchmarks written in Rust can call it without
//! starting a process.
//!
//! Changes are accepted or refused one by one, because the log has no atomic
//! batches. An operator whose change lost a race gets the winner's name and
//! change id, and can inspect that change before trying again.

pub mod backend;
pub mod change_batch;
pub mod client;
pub mod convert;
pub mod events;
pub mod explain;
pub mod server;
pub mod service;
pub mod status;

pub use self::backend::BackendError;
pub use self::backend::BackendView;
pub use self::backend::LossDeclaration;
pub use self::backend::OperatorBackend;
pub use self::backend::SubmitVerdict;
pub use self::server::serve;
