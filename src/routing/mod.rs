//! Routing of a request by its key to the process that owns it.
//!
//! [`table`] is derived from the folded state, plus certificates and
//! resignations that this process knows of and that are not in the folded state
//! yet. The request path reads it without a lock; other tasks can subscribe to
//! changes. [`target`] chooses the process for one request, and
//! [`slice_counts`] counts the slices that each member serves.

pub mod slice_counts;
pub mod table;
pub mod target;
