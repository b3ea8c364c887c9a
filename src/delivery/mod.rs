//! Processes requests at the owner, from arrival to outcome.
//!
//! [`message`] defines the request that an entry node sends to an owner and
//! the result that it gets back. [`owner`] takes a request through the gate,
//! the outcome table, admission, the gate again and the dispatch to the
//! upstream. [`running`] follows a dispatched request to its end when its
//! caller goes away, so that its outcome is never lost or misreported.
//!
//! [`outcome_table`] keeps the outcomes of requests that must not run twice,
//! [`outcome_store`] shards it and issues claims, and [`handover`] holds the
//! records that the next owner gets in a planned move. [`failure`] builds each
//! failure and states why its outcome is known or unknown. [`retry`] decides
//! what is retried inside the system. [`classes`] and [`settings`] hold the
//! settings that the path depends on.

pub mod classes;
pub mod failure;
pub mod handover;
pub mod message;
pub mod outcome_store;
pub mod outcome_table;
pub mod owner;
pub mod retry;
pub mod running;
pub mod settings;
