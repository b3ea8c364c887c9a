//! Exclusive ownership of chains: leases, witnesses, lapse certificates and
//! succession.
//!
//! The replicated log records the holders of each chain in order of
//! succession. This module implements the parts that must be faster than the
//! log, or work while the log is unavailable:
//!
//! * [`holder`]: the process's own lease, granted by its witnesses.
//! * [`witness`]: the leases that this process grants to other members.
//! * [`certificate`]: combines witness statements into lapse certificates.
//! * [`succession`]: determines which chains the process may serve.
//! * [`machine`]: the state machine that combines these four, without clocks
//!   or I/O.
//! * [`actor`]: runs the machine with clocks, datagrams, metrics and logging.
//! * [`view`]: ownership as published to the rest of the process.
//! * [`gate`]: the ownership check on the request path, directly before
//!   dispatch.
//! * [`message`], [`timing`], [`rules`], [`event`]: datagrams, time limits,
//!   the protocol rules as a type parameter, and the events that are logged.
//!
//! A lease is live while a quorum of its witnesses is bound by a promise not
//! to state a lapse. A lapse certificate is a quorum of lapse statements, so
//! it cannot coexist with a live lease. The order of succession is already in
//! the log, so a takeover needs only the certificate and no log append. The
//! cost is three renewal messages per process and round, and a process that
//! loses two of its three witnesses at the same time has to rejoin as a new
//! incarnation.

pub mod actor;
pub mod certificate;
pub mod event;
pub mod gate;
pub mod holder;
pub mod machine;
pub mod message;
pub mod rules;
pub mod succession;
pub mod timing;
pub mod view;
pub mod witness;
