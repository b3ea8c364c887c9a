//! Router for servers that own keys exclusively.
//!
//! One `winchd` process runs beside each upstream. Every process accepts
//! callers, routes each request to the owner of its key, and owns keys on
//! behalf of its own upstream. State that has to be agreed on or stored durably
//! is appended to the platform's log; every process derives the same state from
//! it by folding the log with the same deterministic rules.
//!
//! A sidecar of a service mesh is built from the same modules, see [`sidecar`].
//!
//! Modules:
//!
//! * [`base`]: identifiers, hashing, time and the closed list of error kinds.
//! * [`declarations`]: services, priority classes and ownership rules that
//!   operators declare.
//! * [`configuration`]: operators' changes to declarations, from the call to the
//!   outcome.
//! * [`handover`]: planned moves of chains between processes.
//! * [`hotkeys`]: detection of hot keys, which are moved out of their slice.
//! * [`log`]: the client of the platform's log.
//! * [`state`]: the records of the log and the state folded from them.
//! * [`ownership`]: leases, witnesses, certificates and succession.
//! * [`planner`]: placement of slices on processes.
//! * [`routing`]: lookup of the process that owns a request's key.
//! * [`transport`]: connections and datagrams between processes.
//! * [`entry`]: the callers' interface.
//! * [`admission`]: priority classes, queues and limits at the owner.
//! * [`delivery`]: stored outcomes, ownership check and dispatch to the upstream
//!   at the owner.
//! * [`upstream`]: announcements of upstreams and requests to them.
//! * [`held_bytes`], [`http_server`]: bounds on what a process holds for others, and
//!   the HTTP server that keeps to them.
//! * [`operator`]: the operators' interface.
//! * [`settings`]: the settings file of `winchd`.
//! * [`telemetry`]: logs and metrics.
//! * [`routes`], [`store`], [`ranges`], [`peers`], [`load_balancing`]: modules
//!   used by the sidecar.
//! * [`evacuation`]: operators' orders to evacuate failure domains.
//! * [`sidecar`]: the sidecar process of a service mesh.
//! * [`node`]: the `winchd` process.

pub mod admission;
pub mod base;
pub mod configuration;
pub mod declarations;
pub mod delivery;
pub mod entry;
pub mod evacuation;
pub mod handover;
pub mod held_bytes;
pub mod hotkeys;
pub mod http_server;
pub mod load_balancing;
pub mod log;
pub mod node;
pub mod operator;
pub mod ownership;
pub mod peers;
pub mod planner;
pub mod quarantine;
pub mod ranges;
pub mod routes;
pub mod routing;
pub mod settings;
pub mod sidecar;
pub mod state;
pub mod store;
pub mod telemetry;
pub mod transport;
pub mod upstream;
