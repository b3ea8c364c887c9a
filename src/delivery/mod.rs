//! The owner's side of a request: outcome table, gate and dispatch.
//!
//! [`message`] defines what an entry sends to an owner and what it gets back.
//! [`owner`] takes an order through its steps: gate, outcome table, admission,
//! gate again, dispatch. [`running`] keeps a started order alive when its
//! caller goes away, so that its outcome is never lost or misreported.

pub mod message;
pub mod owner;
pub mod running;
pub mod settings;
