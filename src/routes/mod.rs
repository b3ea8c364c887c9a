//! Routes: which service takes a request, and under which terms.
//!
//! A [`RouteConfiguration`] is what an operator publishes as a whole; a newer
//! version replaces an older one. [`check`] refuses one that contradicts
//! itself, [`matcher`] compiles one for lookups by host and longest prefix, and
//! [`split`] divides the requests of a route among weighted services.

pub mod check;
pub mod configuration;
pub mod matcher;
pub mod split;
