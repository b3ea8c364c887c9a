//! From a request's key to the process that owns it.
//!
//! [`table`] is derived from the folded state and from what this process knows
//! besides: certificates and resignations that are not folded yet. The request
//! path reads it without a lock; whoever waits for a change subscribes.
//! [`target`] chooses where one request goes, and [`slice_counts`] counts who serves
//! what.

pub mod slice_counts;
pub mod table;
pub mod target;
