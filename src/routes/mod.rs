//! HTTP routes of the mesh: which service handles a request, and with which
//! timeout, rank and number of attempts.
//!
//! Operators publish a
//! [`RouteConfiguration`](configuration::RouteConfiguration) as a whole; a
//! newer version replaces an older one. [`check`] validates it, [`matcher`]
//! compiles it for lookups by host and longest path prefix, and [`split`]
//! divides the requests of a route among weighted services.

pub mod check;
pub mod configuration;
pub mod matcher;
pub mod split;
