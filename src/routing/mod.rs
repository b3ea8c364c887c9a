//! From a request's key to the process that owns it.
