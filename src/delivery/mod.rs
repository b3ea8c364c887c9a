//! The owner's side of a request: outcome table, gate and dispatch.
//!
//! [`message`] defines what an entry sends to an owner and what it gets back.

pub mod message;
