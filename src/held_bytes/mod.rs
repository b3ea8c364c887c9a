//! Bounds what a process holds for its callers, peers and upstream.
//!
//! Whoever holds bytes for others takes a [`budget::ByteLease`] of the process's
//! [`budget::ByteBudget`] before it reads them. The lease becomes a part of the bytes
//! ([`budget::ByteLease::attach`]), so that the budget gets back its share wherever the
//! last copy is dropped. Where there is no room, the socket is not read; a wait for room
//! is bounded and ends with a refusal.
//!
//! [`body`] reads the bodies of messages within the budget.
//!
//! [`connections`] decides which connections of callers are closed: those that make too
//! little progress, and at the limit of connections the least useful ones.
//!
//! [`limits`] derives the bounds from the memory and descriptors of the VM.

pub mod body;
pub mod budget;
pub mod connections;
pub mod limits;
