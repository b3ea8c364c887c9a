//! Identifiers, hashing, time and error kinds shared by every slice.

pub mod collections;
pub mod error;
pub mod hash;
pub mod ids;
pub mod timer;
