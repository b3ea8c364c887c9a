//! Callers that send at a given rate, whatever the answers do.
//!
//! [`stream`] says what to send, [`generator`] when, [`caller`] sends one
//! request and repeats it as a careful caller would, [`record`] notes what
//! became of it, [`summary`] condenses the records,
//! [`gaps`] tells for how long keys were not served.
//!
//! Latency counts from the moment at which a request was due, so that a slow
//! generator shows as latency instead of as a lower rate.

pub mod caller;
pub mod gaps;
pub mod generator;
pub mod record;
pub mod stream;
pub mod summary;
