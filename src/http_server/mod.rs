//! An HTTP/1.1 server whose clients are not trusted.
//!
//! [`server`] accepts connections and closes those that make too little progress or are
//! too many, by the rules of [`crate::held_bytes`]. [`watched_stream`] records what each
//! connection does. [`callers`] knows which connections still get a response during a
//! shutdown, and [`metrics`] counts what was closed.

pub mod callers;
pub mod metrics;
pub mod server;
pub mod watched_stream;
