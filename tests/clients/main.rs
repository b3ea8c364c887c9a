//! Crowds of callers that stay outside the limits of `winchd`, or at their edge.
//!
//! Each test starts real processes between stand-ins on loopback addresses and checks
//! what does not depend on the machine's speed: that the process lives, that its memory
//! and descriptors stay within bounds, and that an ordinary request is answered
//! afterwards. The tests take turns.

mod bodies;
mod fixture;
mod responses;
