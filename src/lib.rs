//! Router for servers that own keys exclusively.
//!
//! One `winchd` process runs beside each upstream. Every process accepts
//! callers, routes each request to the owner of its key, and owns keys on
//! behalf of its own upstream. What has to be agreed or kept is appended to
//! the platform's log; every process folds that log with the same pure rules.
//!
//! The library is split by duty:
//!
//! * [`base`]: identifiers, hashing, time and the closed list of error kinds.
//! * [`declarations`]: what operators declare.
//! * [`configuration`]: operators' changes, from the call to the verdict.
//! * [`handover`]: planned moves of chains.
//! * [`hotkeys`]: keys that are too hot for their slice.
//! * [`log`]: the client of the platform's log.
//! * [`state`]: the records of the log and the state folded from them.
//! * [`ownership`]: leases, witnesses, certificates and succession.
//! * [`planner`]: which process is to hold which slice.
//! * [`routing`]: from a request's key to the process that owns it.
//! * [`transport`]: connections and datagrams between processes.
//! * [`entry`]: the callers' interface.
//! * [`admission`]: priority classes, queues and limits at the owner.
//! * [`delivery`]: outcome table, gate and dispatch at the owner.
//! * [`upstream`]: the upstreams' interface.
//! * [`operator`]: the operators' interface.
//! * [`settings`]: the settings of a process.
//! * [`telemetry`]: logs and metrics.
//! * [`routes`], [`store`], [`ranges`], [`peers`], [`load_balancing`]: what a
//!   sidecar of a mesh rests on.
//! * [`sidecar`]: one whole process of a mesh.
//! * [`node`]: one whole process.

pub mod admission;
pub mod base;
pub mod configuration;
pub mod declarations;
pub mod delivery;
pub mod entry;
pub mod handover;
pub mod hotkeys;
pub mod load_balancing;
pub mod log;
pub mod node;
pub mod operator;
pub mod ownership;
pub mod peers;
pub mod planner;
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
