//! Generated client and server code of the operators' calls.
