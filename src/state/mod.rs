//! The records of the platform's log and the state folded from them.
//!
//! [`record`] defines the records, [`codec`] their encoding, [`folded`] the
//! state, [`fold`] the deterministic rules that fold a batch of records into
//! it, and [`effect`] the result for each record. [`fold_chain`] and
//! [`fold_change`] hold the rules for chains and for operators' changes.
//! [`snapshot`] splits a state into chunks and reassembles it, and
//! [`retention`] decides when the next snapshot is due.
//!
//! Every process folds the same stream by the same rules, so the order of the
//! log alone resolves conflicts: a record names what it is based on, and every
//! process ignores a record that is based on something stale.

pub mod codec;
pub mod effect;
pub mod fold;
pub mod fold_chain;
pub mod fold_change;
pub mod folded;
pub mod record;
pub mod retention;
pub mod snapshot;
