//! The client of the platform's append-only log.
//!
//! [`service`] is the one trait behind which the platform's wire format stays.

pub mod service;
