//! Connections and datagrams between processes.
//!
//! An entry keeps one [`link::PeerLink`] to each owner that it talks to. A
//! link multiplexes requests over one TCP connection at a time: a message is
//! cut into chunks that take turns ([`frame::ChunkQueue`]), so that a large
//! body does not delay a small urgent request. When a connection goes silent
//! the link replaces it and asks again, with the same numbers, for whatever is
//! outstanding; the owner ([`server`]) knows every number it has seen from an
//! incarnation, so asking again never runs a request twice.
//!
//! [`state`] asks another process for its folded state, for one that cannot
//! read the log.
//!
//! [`datagram`] carries the small messages of leases and planning over UDP.
//! A lost datagram is never repeated by this layer.

pub mod connection;
pub mod datagram;
pub mod frame;
pub mod inbound;
pub mod link;
pub mod server;
pub mod state;
