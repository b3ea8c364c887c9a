//! The owner's side of a request: outcome table, gate and dispatch.
//!
//! [`message`] defines what an entry sends to an owner and what it gets back.
//! [`owner`] takes an order through its steps: gate, outcome table, admission,
//! gate again, dispatch. [`running`] keeps a started order alive when its
//! caller goes away, so that its outcome is never lost or misreported.
//! [`outcome_table`] keeps what became of orders that must not run twice,
//! [`outcome_store`] shards it and hands out claims, and [`handover`] is what
//! the next owner gets in a planned move. [`failure`] holds the proof of each outcome that is not an answer, and
//! [`retry`] decides what is tried again inside the system.

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
