//! Membership and load reports of the other processes of the fleet.
//!
//! Members announce themselves once in the store. Information that changes often
//! is sent in datagrams between the processes: [`message`] defines them, and
//! [`directory`] keeps the newest report of each member and tells which members
//! have fallen silent. A report counts only while it is fresh. Reports may be lost
//! or outdated, so no decision that needs agreement between processes relies on
//! them. [`catch_up`] decides when a process that is behind fetches a peer's state.

pub mod catch_up;
pub mod directory;
pub mod message;
