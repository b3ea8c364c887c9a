//! TCP connections and UDP datagrams between processes.
//!
//! An entry node keeps one [`link::PeerLink`] to each owner that it sends
//! requests to. A link multiplexes requests over one TCP connection at a time.
//! Messages are split into chunks that are interleaved ([`frame::ChunkQueue`]),
//! so that a large body does not delay a small urgent request. When a
//! connection goes silent, the link replaces it and resends the outstanding
//! requests under their original ids. The owner ([`server`]) tracks the ids
//! that it has seen from each incarnation ([`inbound`]), so that a resent
//! request never runs twice. [`kept_results`] bounds the results that it keeps for that,
//! and [`handshakes`] the connections whose handshake is not complete.
//!
//! [`state`] fetches the folded state of another process, for a process that
//! cannot read the log.
//!
//! [`datagram`] carries the small messages of leases and planning over UDP.
//! This layer never resends a lost datagram.

pub mod connection;
pub mod datagram;
pub mod encoded;
pub mod frame;
pub mod handshakes;
pub mod inbound;
pub mod kept_results;
pub mod link;
mod link_limiter;
pub mod server;
pub mod state;
