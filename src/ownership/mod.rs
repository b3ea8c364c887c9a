//! Who may serve what: leases, witnesses, certificates and succession.
//!
//! The log says who stands in which chain, in which order. Everything that
//! has to be faster than the log, or to work without it, is here:
//!
//! * [`holder`]: the process's own lease, promised by its witnesses.
//! * [`witness`]: the leases that the process witnesses for others.
//! * [`certificate`]: from witnesses' statements to lapse certificates.
//! * [`succession`]: which chains the process may serve.
//! * [`machine`]: the four together, with neither clock nor I/O.
//! * [`actor`]: the machine with clocks, datagrams, metrics and log lines.
//! * [`view`]: what the rest of the process reads.
//! * [`gate`]: what the request path asks right before it dispatches.
//! * [`message`], [`timing`], [`rules`], [`event`]: datagrams, time limits,
//!   the rules as a parameter, and what the log shows.
//!
//! A lease is live while a quorum of witnesses has promised to state no lapse.
//! A certificate is a quorum of statements, so it excludes a live lease, and
//! the order of succession stands in the log beforehand, so a takeover needs
//! the certificate alone. The price is three renewals a round for each
//! process, and that a process which lost two witnesses together must join
//! anew.

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
