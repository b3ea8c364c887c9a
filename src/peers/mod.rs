//! The other processes, as this one knows them.
//!
//! Members announce themselves once in the store. What changes often travels
//! in datagrams between the processes: [`message`] has their types,
//! [`directory`] keeps the newest report of each member and tells who is
//! silent. A report counts for as long as it is fresh; nothing that must be
//! agreed on rests on it.

pub mod directory;
pub mod message;
