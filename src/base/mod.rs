//! Identifiers, hashing, time, documents and error kinds shared by every
//! slice.

pub mod boot_clock;
pub mod collections;
pub mod document;
pub mod error;
pub mod fields;
pub mod hash;
pub mod ids;
pub mod milliseconds;
pub mod timer;
