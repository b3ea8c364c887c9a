//! The callers' interface: HTTP, any method and path.
//!
//! [`request`] checks a caller's headers, [`dispatch`] routes the request and
//! repeats it where that is safe, [`response`] tells the outcome in status and
//! headers, and [`server`] bounds connections, headers and bodies.

pub mod dispatch;
pub mod headers;
pub mod request;
pub mod response;
pub mod server;
