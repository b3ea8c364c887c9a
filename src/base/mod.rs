//! Identifiers, hashing, clocks, sockets, document validation and error kinds, shared by
//! all other modules.

pub mod boot_clock;
pub mod collections;
pub mod document;
pub mod error;
pub mod fields;
pub mod hash;
pub mod ids;
pub mod milliseconds;
pub mod process_end;
pub mod shared_bytes;
pub mod sockets;
pub mod timer;
