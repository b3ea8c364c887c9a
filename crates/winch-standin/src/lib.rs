//! Stand-ins of the platform's log and of an upstream.
