//! The records of the platform's log and the state folded from them.
//!
//! [`record`] defines what is appended, [`folded`] the state and the pure
//! rules that fold a record into it.

pub mod folded;
pub mod record;
