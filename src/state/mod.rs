//! The records of the platform's log and the state folded from them.
//!
//! [`record`] defines what is appended, [`codec`] its bytes, [`folded`] the
//! state, [`fold`] the pure rules that fold a batch of records into it, and
//! [`effect`] what they made of each record. The rules on chains and on
//! operators' changes stand in [`fold_chain`] and [`fold_change`]. [`snapshot`]
//! turns a state into chunks and back, and [`retention`] tells when the next
//! snapshot is due.
//!
//! Every process folds the same stream by the same rules, so the log is the
//! only arbiter: a record names what it was based on, and one that is based on
//! something stale folds to nothing everywhere.

pub mod codec;
pub mod effect;
pub mod fold;
pub mod fold_chain;
pub mod fold_change;
pub mod folded;
pub mod record;
pub mod retention;
pub mod snapshot;
