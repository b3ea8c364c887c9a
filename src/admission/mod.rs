//! Priority classes, queues and limits at the owner.

pub mod load;
