//! Priority classes, queues and limits at the owner.

pub mod class_queue;
pub mod class_state;
pub mod load;
pub mod scheduler;
