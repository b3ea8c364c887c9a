//! Which process is to hold which slice.
