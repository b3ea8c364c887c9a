//! The upstreams' interface: announcements, requests and health checks.
//!
//! An upstream announces itself to the `winchd` on its VM ([`announce`]) and
//! keeps repeating the announcement. The process publishes the latest one, or
//! none once the upstream has withdrawn it or stopped repeating it.
//!
//! [`service`] is the only trait through which requests reach an upstream and
//! [`http`] implements it. No other module depends on the wire format. Towards
//! the upstream, one dispatch of a request is called an order. [`condition`] is what
//! an upstream states about itself in its responses, and [`departure`] recognises late
//! announcements of an upstream that leaves.

pub mod announce;
pub mod cold_start;
pub mod condition;
pub mod departure;
pub mod http;
pub mod service;
pub mod work_pace;
